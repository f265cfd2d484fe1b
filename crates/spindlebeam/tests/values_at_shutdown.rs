//! Large values that are still on their way when a process that got SIGTERM has answered all else.

mod platform;
use platform::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const LENGTH: usize = 4 << 20;
/// The longest deadline of a request.
const DEADLINE_US: u64 = 1_300_000;
/// The platform may end the process this long after SIGTERM. Until then, it must not end an answer by itself.
const KILL_AFTER: Duration = Duration::from_millis(1_300 + 700);
/// How long the process may take to end once its work is done.
const EXIT_WITHIN: Duration = Duration::from_millis(500);

/// Who takes long over the value.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Slow {
    CacheNode,
    Origin,
    /// The client, which begins to read when the platform may end the process.
    Client,
}

/// Guards against values that are cut off by the end of the process while their server still gives them, or their client
/// still reads them.
#[rstest]
fn value_in_progress_is_passed_on_whole_after_sigterm(
    #[values(Slow::CacheNode, Slow::Origin, Slow::Client)] slow: Slow,
) {
    let mut platform = Platform::with_config(1, 1024, |config| {
        for class in config["settings"]["profiles"].as_array_mut().unwrap() {
            class["deadlineUs"] = DEADLINE_US.into();
            class["onTimeUs"] = 1_000_000.into();
        }
    });
    let mut client = platform.balancer.client_with_receive_buffer(4 * 1024);
    client.get("leer", "1");
    let mut request = platform.peers[0].next_request();
    let (head, tail) = match slow {
        Slow::CacheNode | Slow::Client => (format!("*3\r\n${LENGTH}\r\n"), "\r\n$3\r\nhit\r\n$-1\r\n"),
        Slow::Origin => {
            request.respond_miss();
            request = platform.origin.next_request();
            (format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"), "")
        }
    };
    request.write_part(&head);
    assert_eq!(client.read_line(), format!("${LENGTH}"));
    platform.balancer.terminate();
    let signalled_at = Instant::now();
    let mut sent = 0;
    if slow == Slow::Client {
        let value = "v".repeat(LENGTH);
        std::thread::spawn(move || request.respond(&format!("{value}{tail}")));
        wait_until(|| signalled_at.elapsed() > KILL_AFTER);
    } else {
        wait_until(|| {
            request.write_part("v");
            sent += 1;
            signalled_at.elapsed() > KILL_AFTER
        });
        let rest = "v".repeat(LENGTH - sent);
        std::thread::spawn(move || request.respond(&format!("{rest}{tail}")));
    }
    assert!(client.read_bulk(LENGTH) == "v".repeat(LENGTH));
    let done_at = Instant::now();
    assert!(client.reads_end());
    assert!(platform.balancer.wait_for_exit().success());
    assert!(done_at.elapsed() < EXIT_WITHIN, "the process ended {:?} after its work", done_at.elapsed());
}
