//! An origin that reads a large write slowly: the final answer comes by the deadline all the same.

mod platform;
use platform::*;
use rstest::rstest;
use std::io::Read;
use std::net::{Shutdown, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 4 << 20;
const DEADLINE: Duration = Duration::from_secs(1);
/// How late after its deadline an answer may come.
const LATEST: Duration = Duration::from_millis(500);

/// How the origin reads a write.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Pace {
    /// Some kilobytes each 20 ms.
    Slow,
    /// Nothing.
    Stalled,
}

/// Guards against final answers that come seconds after their time while the request is still being written.
#[rstest]
fn slowly_read_write_is_answered_by_its_deadline(
    #[values(Pace::Slow, Pace::Stalled)] pace: Pace, #[values("folio", "alta", "leer")] class: &str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_recv_buffer_size(16 * 1024).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut platform = Platform::start(1);
    let origin = member("o-2", addr, "ready");
    let mut origin = origin;
    origin["flavor"] = "origin".into();
    let gone = member("origin", platform.origin.addr, "gone");
    push(&mut platform.watch, &list(2, false, &[origin, gone]).to_string());
    platform.balancer.wait_for_log("o-2 is Ready");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                while pace == Pace::Slow && stream.read(&mut [0; 4 * 1024]).is_ok_and(|bytes| bytes > 0) {
                    thread::park_timeout(Duration::from_millis(20));
                }
                thread::park_timeout(WAIT_TIMEOUT);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    let mut client = platform.balancer.client();
    let options = format!("c={class},t=acme,d={},k=5c0f", DEADLINE.as_millis());
    client.write_raw(&encode_command(&["CACHE.SET", "7f", "a1", &options, &"v".repeat(VALUE_BYTES)]));
    let written_at = Instant::now();
    let answer = client.read_answer();
    let answered_after = written_at.elapsed();
    assert!(answer.starts_with("-ERR failed") || answer.starts_with("-BUSY"), "{answer}");
    assert!(answered_after < DEADLINE + LATEST, "{answer} after {answered_after:?}");
}
