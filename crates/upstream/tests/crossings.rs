//! One try against every event that may cross it: what it comes to, and whether that proves that it never ran.

mod host;

use bytes::{Bytes, BytesMut};
use decide::api::Outcome;
use host::*;
use proto::MAX_BUFFERED_VALUE_BYTES;
use proto::discovery::Phase;
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::thread;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Longer than all buffers between two sockets.
const LONG: usize = 32 << 20;

/// What comes until the connection ends, one way or the other.
fn read_on(mut far: TcpStream) -> thread::JoinHandle<BytesMut> {
    thread::spawn(move || {
        let mut got = Vec::new();
        let _ = far.read_to_end(&mut got);
        BytesMut::from(&got[..])
    })
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum At {
    Dial,
    Write,
    LastByte,
    Written,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum What {
    Reset,
    End,
    Says(&'static str),
    Breaks(&'static str),
    Time,
    Cancel,
    Drain,
    Left,
    Window,
}

#[rstest]
#[case(At::Dial, What::Reset, Outcome::ConnectFailed)]
#[case(At::Dial, What::End, Outcome::ConnectFailed)]
#[case(At::Dial, What::Says("+"), Outcome::ConnectFailed)]
#[case(At::Dial, What::Time, Outcome::NotSent)]
#[case(At::Dial, What::Cancel, Outcome::Cancelled)]
#[case(At::Dial, What::Drain, Outcome::Rejected)]
#[case(At::Dial, What::Left, Outcome::NotSent)]
#[case(At::Dial, What::Window, Outcome::NotSent)]
#[case(At::Write, What::Reset, Outcome::ConnectFailed)]
#[case(At::Write, What::End, Outcome::ConnectFailed)]
#[case(At::Write, What::Says(VALUE), Outcome::ConnectFailed)]
#[case(At::Write, What::Time, Outcome::ConnectFailed)]
#[case(At::Write, What::Cancel, Outcome::Cancelled)]
#[case(At::Write, What::Drain, Outcome::Timeout)]
#[case(At::Write, What::Left, Outcome::NotSent)]
#[case(At::Write, What::Window, Outcome::NotSent)]
#[case(At::LastByte, What::Reset, Outcome::ConnectFailed)]
#[case(At::LastByte, What::End, Outcome::ConnectFailed)]
#[case(At::LastByte, What::Says(VALUE), Outcome::ConnectFailed)]
#[case(At::LastByte, What::Time, Outcome::ConnectFailed)]
#[case(At::LastByte, What::Cancel, Outcome::Cancelled)]
#[case(At::LastByte, What::Drain, Outcome::Timeout)]
#[case(At::LastByte, What::Left, Outcome::NotSent)]
#[case(At::LastByte, What::Window, Outcome::NotSent)]
#[case(At::Written, What::Reset, Outcome::Reset)]
#[case(At::Written, What::End, Outcome::Reset)]
#[case(At::Written, What::Says(VALUE), Outcome::Ok)]
#[case(At::Written, What::Says("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"), Outcome::Miss)]
#[case(At::Written, What::Says("-BUSY\r\n"), Outcome::Rejected)]
#[case(At::Written, What::Says("-ERR failed\r\n"), Outcome::Error)]
#[case(At::Written, What::Says("?\r\n"), Outcome::Error)]
#[case(At::Written, What::Breaks("*3\r\n$1\r"), Outcome::Reset)]
#[case(At::Written, What::Breaks("-BUS"), Outcome::Reset)]
#[case(At::Written, What::Time, Outcome::Timeout)]
#[case(At::Written, What::Cancel, Outcome::Cancelled)]
#[case(At::Written, What::Drain, Outcome::Timeout)]
#[case(At::Written, What::Left, Outcome::Timeout)]
#[case(At::Written, What::Window, Outcome::Timeout)]
#[tokio::test]
async fn a_try_comes_to_what_has_become_of_it(#[case] at: At, #[case] what: What, #[case] outcome: Outcome) {
    let mut host = Host::new("m");
    let (line, mut far) = match at {
        At::Dial => (host.pools.dial(&host.peer), None),
        _ => host.idle().await,
    };
    let value = (at == At::Write).then(|| Bytes::from(vec![b'x'; LONG]));
    let mut one = host.make_try(line, value, Instant::now() + 2 * SPAN);
    one.fragile = at == At::LastByte;
    one.permit.by = (what == What::Window).then(|| Instant::now() + SPAN);
    let (owed, written) = (one.permit.owed.clone(), one.written.clone());
    let (cancel, cancelled) = oneshot::channel();
    let mut run = pin!(one.run(cancelled, |_| ()));
    begin(&mut run).await;
    let (mut cancel, mut reading) = (Some(cancel), None);
    let mut take = || far.take().unwrap_or_else(|| host.listener.accept().unwrap().0);
    match what {
        What::Reset => reset(take()),
        What::End | What::Says(_) => {
            let mut far = take();
            if let What::Says(words) = what {
                far.write_all(words.as_bytes()).unwrap();
            } else {
                far.shutdown(Shutdown::Write).unwrap();
            }
            reading = Some(read_on(far));
        }
        What::Breaks(words) => {
            let mut far = take();
            far.write_all(words.as_bytes()).unwrap();
            reset(far);
        }
        What::Time => pass(2 * SPAN).await,
        What::Cancel => cancel.take().unwrap().send(()).unwrap(),
        What::Drain => drop(host.group.apply(&list(&host.listener, "m", Phase::Draining), false)),
        What::Left => owed.set(false),
        What::Window => pass(SPAN).await,
    }
    if outcome == Outcome::Timeout && what != What::Time {
        // Nothing ends it but its time: what was begun goes on.
        let sent = read_on(take());
        while written.get() == 0 {
            begin(&mut run).await;
            tokio::task::yield_now().await;
        }
        pass(2 * SPAN).await;
        assert_eq!(run.await.outcome, outcome);
        return assert!(whole(&mut sent.join().unwrap()), "it was sent whole");
    }
    if reading.is_none() && !matches!(what, What::Reset | What::Breaks(_)) && at == At::Write {
        reading = Some(read_on(take())); // the far end reads on, and the try goes no further
    }
    let ended = run.await;
    assert_eq!(ended.outcome, outcome);
    let never = matches!(at, At::Dial | At::Write | At::LastByte);
    assert_eq!(written.get() == 0, never, "a server begins with the last byte, not before");
    assert!(!never || outcome == Outcome::Cancelled || outcome.proves_never_ran());
    match (at, what, ended.connection.is_some()) {
        (At::Dial, What::Time | What::Window, _) => {} // as the dial or the clock is seen first
        (At::Dial, What::Left, kept) => assert!(kept, "it serves another"),
        (At::Written, What::Says(words), kept) => assert_eq!(kept, words != "?\r\n"),
        (.., kept) => assert!(!kept),
    }
    drop(ended);
    if let Some(reading) = reading {
        assert_eq!(whole(&mut reading.join().unwrap()), !never);
    }
}

#[rstest]
#[tokio::test]
async fn a_dial_that_fails_proves_that_nothing_ran(#[values(false, true)] refused: bool) {
    let mut host = Host::new("m");
    SockRef::from(&host.listener).listen(0).unwrap();
    let _fills_the_backlog = TcpStream::connect(host.peer.addr).unwrap();
    let line = host.pools.dial(&host.peer);
    let mut one = host.make_try(line, None, Instant::now() + 2 * SPAN);
    one.dial = SPAN;
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(one.run(cancelled, |_| ()));
    if refused {
        drop(host.listener);
    } else {
        begin(&mut run).await;
        pass(SPAN).await;
    }
    let ended = run.await;
    assert_eq!((ended.outcome, ended.connection.is_some()), (Outcome::ConnectFailed, false));
}

fn whole(sent: &mut BytesMut) -> bool {
    // The value that is written for long is longer than a command may be.
    match sent.len() {
        0..=MAX_BUFFERED_VALUE_BYTES => proto::resp::decode_command(sent).unwrap().is_some(),
        length => length > LONG,
    }
}
