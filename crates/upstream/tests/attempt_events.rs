//! The outcome of an attempt for each event at each stage, and whether it proves that the request was not executed.

mod fake_endpoint;

use bytes::{Bytes, BytesMut};
use decide::api::Outcome;
use fake_endpoint::*;
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

/// The length of a value that does not fit into the buffers between two sockets.
const LONG_VALUE_BYTES: usize = 32 << 20;

/// Reads until the connection ends, on a thread. Returns all bytes received.
fn read_to_end_in_background(mut remote: TcpStream) -> thread::JoinHandle<BytesMut> {
    thread::spawn(move || {
        let mut received = Vec::new();
        let _ = remote.read_to_end(&mut received);
        BytesMut::from(&received[..])
    })
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Connecting,
    Writing,
    LastByte,
    Written,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Resets,
    Closes,
    Sends(&'static str),
    SendsAndResets(&'static str),
    Deadline,
    Cancelled,
    Drains,
    ClientLeaves,
    WindowEnds,
}

#[rstest]
#[case(Stage::Connecting, Event::Resets, Outcome::ConnectFailed)]
#[case(Stage::Connecting, Event::Closes, Outcome::ConnectFailed)]
#[case(Stage::Connecting, Event::Sends("+"), Outcome::ConnectFailed)]
#[case(Stage::Connecting, Event::Deadline, Outcome::NotSent)]
#[case(Stage::Connecting, Event::Cancelled, Outcome::Cancelled)]
#[case(Stage::Connecting, Event::Drains, Outcome::Rejected)]
#[case(Stage::Connecting, Event::ClientLeaves, Outcome::NotSent)]
#[case(Stage::Connecting, Event::WindowEnds, Outcome::NotSent)]
#[case(Stage::Writing, Event::Resets, Outcome::ConnectFailed)]
#[case(Stage::Writing, Event::Closes, Outcome::ConnectFailed)]
#[case(Stage::Writing, Event::Sends(VALUE), Outcome::ConnectFailed)]
#[case(Stage::Writing, Event::Deadline, Outcome::ConnectFailed)]
#[case(Stage::Writing, Event::Cancelled, Outcome::Cancelled)]
#[case(Stage::Writing, Event::Drains, Outcome::Timeout)]
#[case(Stage::Writing, Event::ClientLeaves, Outcome::NotSent)]
#[case(Stage::Writing, Event::WindowEnds, Outcome::NotSent)]
#[case(Stage::LastByte, Event::Resets, Outcome::ConnectFailed)]
#[case(Stage::LastByte, Event::Closes, Outcome::ConnectFailed)]
#[case(Stage::LastByte, Event::Sends(VALUE), Outcome::ConnectFailed)]
#[case(Stage::LastByte, Event::Deadline, Outcome::ConnectFailed)]
#[case(Stage::LastByte, Event::Cancelled, Outcome::Cancelled)]
#[case(Stage::LastByte, Event::Drains, Outcome::Timeout)]
#[case(Stage::LastByte, Event::ClientLeaves, Outcome::NotSent)]
#[case(Stage::LastByte, Event::WindowEnds, Outcome::NotSent)]
#[case(Stage::Written, Event::Resets, Outcome::Reset)]
#[case(Stage::Written, Event::Closes, Outcome::Reset)]
#[case(Stage::Written, Event::Sends(VALUE), Outcome::Ok)]
#[case(Stage::Written, Event::Sends("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"), Outcome::Miss)]
#[case(Stage::Written, Event::Sends("-BUSY\r\n"), Outcome::Rejected)]
#[case(Stage::Written, Event::Sends("-ERR failed\r\n"), Outcome::Error)]
#[case(Stage::Written, Event::Sends("?\r\n"), Outcome::Error)]
#[case(Stage::Written, Event::SendsAndResets("*3\r\n$1\r"), Outcome::Reset)]
#[case(Stage::Written, Event::SendsAndResets("-BUS"), Outcome::Reset)]
#[case(Stage::Written, Event::Deadline, Outcome::Timeout)]
#[case(Stage::Written, Event::Cancelled, Outcome::Cancelled)]
#[case(Stage::Written, Event::Drains, Outcome::Timeout)]
#[case(Stage::Written, Event::ClientLeaves, Outcome::Timeout)]
#[case(Stage::Written, Event::WindowEnds, Outcome::Timeout)]
#[tokio::test]
async fn attempt_outcome_at_each_stage_and_event(
    #[case] stage: Stage, #[case] event: Event, #[case] outcome: Outcome,
) {
    let mut fake = FakeEndpoint::new("m");
    let (source, mut remote) = match stage {
        Stage::Connecting => (fake.pools.check_out_new(&fake.endpoint), None),
        _ => fake.idle_connection().await,
    };
    let value = (stage == Stage::Writing).then(|| Bytes::from(vec![b'x'; LONG_VALUE_BYTES]));
    let mut attempt = fake.attempt(source, value, Instant::now() + 2 * LONG_TIMEOUT);
    attempt.is_non_idempotent = stage == Stage::LastByte;
    attempt.permit.deduplication_ends = (event == Event::WindowEnds).then(|| Instant::now() + LONG_TIMEOUT);
    let (awaited, written) = (attempt.permit.awaited.clone(), attempt.written_count.clone());
    let (cancel, cancelled) = oneshot::channel();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let (mut cancel, mut reader) = (Some(cancel), None);
    let mut take_remote = || remote.take().unwrap_or_else(|| fake.listener.accept().unwrap().0);
    match event {
        Event::Resets => reset(take_remote()),
        Event::Closes | Event::Sends(_) => {
            let mut remote = take_remote();
            if let Event::Sends(bytes) = event {
                remote.write_all(bytes.as_bytes()).unwrap();
            } else {
                remote.shutdown(Shutdown::Write).unwrap();
            }
            reader = Some(read_to_end_in_background(remote));
        }
        Event::SendsAndResets(bytes) => {
            let mut remote = take_remote();
            remote.write_all(bytes.as_bytes()).unwrap();
            reset(remote);
        }
        Event::Deadline => advance_paused(2 * LONG_TIMEOUT).await,
        Event::Cancelled => cancel.take().unwrap().send(()).unwrap(),
        Event::Drains => drop(fake.endpoints.apply(&list(&fake.listener, "m", Phase::Draining), false)),
        Event::ClientLeaves => awaited.set(false),
        Event::WindowEnds => advance_paused(LONG_TIMEOUT).await,
    }
    if outcome == Outcome::Timeout && event != Event::Deadline {
        // The event does not end the attempt: only its deadline does.
        let sent = read_to_end_in_background(take_remote());
        while written.get() == 0 {
            poll_until_blocked(&mut run).await;
            tokio::task::yield_now().await;
        }
        advance_paused(2 * LONG_TIMEOUT).await;
        assert_eq!(run.await.outcome, outcome);
        return assert!(is_complete_request(&mut sent.join().unwrap()), "the request was sent completely");
    }
    if reader.is_none()
        && !matches!(event, Event::Resets | Event::SendsAndResets(_))
        && stage == Stage::Writing
    {
        // The endpoint reads again, but the attempt must send no more.
        reader = Some(read_to_end_in_background(take_remote()));
    }
    let result = run.await;
    assert_eq!(result.outcome, outcome);
    let not_executed = matches!(stage, Stage::Connecting | Stage::Writing | Stage::LastByte);
    assert_eq!(written.get() == 0, not_executed, "an endpoint executes nothing before the last byte");
    assert!(!not_executed || outcome == Outcome::Cancelled || outcome.proves_never_ran());
    match (stage, event, result.connection.is_some()) {
        // Depends on whether the connection or the clock is polled first.
        (Stage::Connecting, Event::Deadline | Event::WindowEnds, _) => {}
        (Stage::Connecting, Event::ClientLeaves, has_connection) => {
            assert!(has_connection, "the connection can serve another request")
        }
        (Stage::Written, Event::Sends(bytes), has_connection) => assert_eq!(has_connection, bytes != "?\r\n"),
        (.., has_connection) => assert!(!has_connection),
    }
    drop(result);
    if let Some(reader) = reader {
        assert_eq!(is_complete_request(&mut reader.join().unwrap()), !not_executed);
    }
}

#[rstest]
#[tokio::test]
async fn failed_connection_proves_request_was_not_executed(#[values(false, true)] refused: bool) {
    let mut fake = FakeEndpoint::new("m");
    SockRef::from(&fake.listener).listen(0).unwrap();
    let _fills_the_backlog = TcpStream::connect(fake.endpoint.addr).unwrap();
    let source = fake.pools.check_out_new(&fake.endpoint);
    let mut attempt = fake.attempt(source, None, Instant::now() + 2 * LONG_TIMEOUT);
    attempt.connect_timeout = LONG_TIMEOUT;
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    if refused {
        drop(fake.listener);
    } else {
        poll_until_blocked(&mut run).await;
        advance_paused(LONG_TIMEOUT).await;
    }
    let result = run.await;
    assert_eq!((result.outcome, result.connection.is_some()), (Outcome::ConnectFailed, false));
}

fn is_complete_request(sent: &mut BytesMut) -> bool {
    // The long value exceeds the maximum length of a command, so it cannot be decoded.
    match sent.len() {
        0..=MAX_BUFFERED_VALUE_BYTES => proto::resp::decode_command(sent).unwrap().is_some(),
        length => length > LONG_VALUE_BYTES,
    }
}
