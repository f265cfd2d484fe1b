//! Every event at every stage of an attempt: its outcome, and whether that proves that the request was not executed.

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

/// Longer than all buffers between two sockets.
const LONG: usize = 32 << 20;

/// Reads until the connection ends.
fn read_on(mut far: TcpStream) -> thread::JoinHandle<BytesMut> {
    thread::spawn(move || {
        let mut got = Vec::new();
        let _ = far.read_to_end(&mut got);
        BytesMut::from(&got[..])
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
    let mut host = FakeEndpoint::new("m");
    let (source, mut far) = match stage {
        Stage::Connecting => (host.pools.check_out_new(&host.endpoint), None),
        _ => host.idle().await,
    };
    let value = (stage == Stage::Writing).then(|| Bytes::from(vec![b'x'; LONG]));
    let mut attempt = host.attempt(source, value, Instant::now() + 2 * SPAN);
    attempt.is_non_idempotent = stage == Stage::LastByte;
    attempt.permit.deduplication_ends = (event == Event::WindowEnds).then(|| Instant::now() + SPAN);
    let (awaited, written) = (attempt.permit.awaited.clone(), attempt.written_count.clone());
    let (cancel, cancelled) = oneshot::channel();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let (mut cancel, mut reading) = (Some(cancel), None);
    let mut take = || far.take().unwrap_or_else(|| host.listener.accept().unwrap().0);
    match event {
        Event::Resets => reset(take()),
        Event::Closes | Event::Sends(_) => {
            let mut far = take();
            if let Event::Sends(words) = event {
                far.write_all(words.as_bytes()).unwrap();
            } else {
                far.shutdown(Shutdown::Write).unwrap();
            }
            reading = Some(read_on(far));
        }
        Event::SendsAndResets(words) => {
            let mut far = take();
            far.write_all(words.as_bytes()).unwrap();
            reset(far);
        }
        Event::Deadline => advance_paused(2 * SPAN).await,
        Event::Cancelled => cancel.take().unwrap().send(()).unwrap(),
        Event::Drains => drop(host.endpoints.apply(&list(&host.listener, "m", Phase::Draining), false)),
        Event::ClientLeaves => awaited.set(false),
        Event::WindowEnds => advance_paused(SPAN).await,
    }
    if outcome == Outcome::Timeout && event != Event::Deadline {
        // Only its deadline ends it.
        let sent = read_on(take());
        while written.get() == 0 {
            poll_until_blocked(&mut run).await;
            tokio::task::yield_now().await;
        }
        advance_paused(2 * SPAN).await;
        assert_eq!(run.await.outcome, outcome);
        return assert!(is_complete(&mut sent.join().unwrap()), "it was sent completely");
    }
    if reading.is_none()
        && !matches!(event, Event::Resets | Event::SendsAndResets(_))
        && stage == Stage::Writing
    {
        reading = Some(read_on(take())); // the endpoint reads on, but the attempt sends no more
    }
    let ended = run.await;
    assert_eq!(ended.outcome, outcome);
    let not_executed = matches!(stage, Stage::Connecting | Stage::Writing | Stage::LastByte);
    assert_eq!(written.get() == 0, not_executed, "an endpoint executes nothing before the last byte");
    assert!(!not_executed || outcome == Outcome::Cancelled || outcome.proves_never_ran());
    match (stage, event, ended.connection.is_some()) {
        (Stage::Connecting, Event::Deadline | Event::WindowEnds, _) => {} // depends on whether the connection or the clock is polled first
        (Stage::Connecting, Event::ClientLeaves, kept) => assert!(kept, "it can serve another request"),
        (Stage::Written, Event::Sends(words), kept) => assert_eq!(kept, words != "?\r\n"),
        (.., kept) => assert!(!kept),
    }
    drop(ended);
    if let Some(reading) = reading {
        assert_eq!(is_complete(&mut reading.join().unwrap()), !not_executed);
    }
}

#[rstest]
#[tokio::test]
async fn failed_connection_proves_request_was_not_executed(#[values(false, true)] refused: bool) {
    let mut host = FakeEndpoint::new("m");
    SockRef::from(&host.listener).listen(0).unwrap();
    let _fills_the_backlog = TcpStream::connect(host.endpoint.addr).unwrap();
    let source = host.pools.check_out_new(&host.endpoint);
    let mut attempt = host.attempt(source, None, Instant::now() + 2 * SPAN);
    attempt.connect_timeout = SPAN;
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    if refused {
        drop(host.listener);
    } else {
        poll_until_blocked(&mut run).await;
        advance_paused(SPAN).await;
    }
    let ended = run.await;
    assert_eq!((ended.outcome, ended.connection.is_some()), (Outcome::ConnectFailed, false));
}

fn is_complete(sent: &mut BytesMut) -> bool {
    // The long value is longer than a command may be.
    match sent.len() {
        0..=MAX_BUFFERED_VALUE_BYTES => proto::resp::decode_command(sent).unwrap().is_some(),
        length => length > LONG,
    }
}
