//! Responses that are truncated, never end, or are followed by further bytes: which are valid and which are not.

mod fake_endpoint;

use decide::api::Outcome;
use fake_endpoint::*;
use proto::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};
use rstest::rstest;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use upstream::connection::{AttemptResult, ConnectionSource, REST_PERIOD, StreamedValue};

#[derive(Debug, Clone, Copy, PartialEq)]
enum EndpointAction {
    Resets,
    Ends,
    StaysSilent,
}

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED_CLOSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const FIVE_BYTES: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

/// Guards against serving a truncated value: a reset is not the end of a response, nor is the end of the connection
/// before the stated length.
#[rstest]
#[case(WITHOUT_LENGTH, 3, EndpointAction::Ends, Outcome::Ok)]
#[case(WITHOUT_LENGTH, 3, EndpointAction::Resets, Outcome::Reset)]
#[case(WITHOUT_LENGTH, 0, EndpointAction::Resets, Outcome::Reset)]
#[case(WITHOUT_LENGTH, MAX_BUFFERED_VALUE_BYTES + 9, EndpointAction::Ends, Outcome::Ok)]
#[case(WITHOUT_LENGTH, MAX_BUFFERED_VALUE_BYTES + 9, EndpointAction::Resets, Outcome::Reset)]
#[case(WITHOUT_LENGTH, 3, EndpointAction::StaysSilent, Outcome::Timeout)]
#[case("HTTP/1.1 200 OK\r\n\r\n", 3, EndpointAction::Ends, Outcome::Error)]
#[case("HTTP/1.1 200 OK\r\nConnection: close\r\n", 0, EndpointAction::Resets, Outcome::Reset)]
#[case("HTTP/1.1 200 OK\r\nConnection: close\r\n", 0, EndpointAction::Ends, Outcome::Reset)]
#[case(FIVE_BYTES, 3, EndpointAction::Ends, Outcome::Reset)]
#[case(FIVE_BYTES, 3, EndpointAction::Resets, Outcome::Reset)]
#[case(FIVE_BYTES, 5, EndpointAction::Resets, Outcome::Ok)]
#[case(CHUNKED, 0, EndpointAction::Ends, Outcome::Reset)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
    0,
    EndpointAction::Ends,
    Outcome::Reset
)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
    0,
    EndpointAction::Resets,
    Outcome::Reset
)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
    0,
    EndpointAction::Ends,
    Outcome::Reset
)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    0,
    EndpointAction::Resets,
    Outcome::Ok
)]
#[case(CHUNKED_CLOSE, 0, EndpointAction::Ends, Outcome::Reset)]
#[case(
    "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
    0,
    EndpointAction::Ends,
    Outcome::Rejected
)]
#[case(
    "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\n",
    0,
    EndpointAction::Resets,
    Outcome::Reset
)]
#[case("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 0, EndpointAction::Ends, Outcome::Error)]
#[tokio::test]
async fn response_is_served_only_if_complete(
    #[case] head: &str, #[case] body: usize, #[case] action: EndpointAction, #[case] outcome: Outcome,
) {
    let mut fake = FakeEndpoint::new("origin");
    let (source, remote) = fake.idle_connection().await;
    let attempt = fake.attempt(source, None, Instant::now() + LONG_TIMEOUT);
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let mut remote = remote.unwrap();
    remote.write_all(&[head.as_bytes(), &vec![b'x'; body]].concat()).unwrap();
    match action {
        EndpointAction::Resets => reset(remote),
        EndpointAction::Ends => remote.shutdown(Shutdown::Write).unwrap(),
        EndpointAction::StaysSilent => advance_paused(LONG_TIMEOUT).await,
    }
    let result = run.await;
    assert_eq!(result.outcome, outcome);
    let served = result.large.map_or(result.value.len(), |large| large.length());
    assert!((served > 0) == (outcome == Outcome::Ok), "{served} bytes");
    assert!(body == 0 || served == if outcome == Outcome::Ok { body } else { 0 });
}

/// Guards against an endpoint that sends without end: the attempt must fail and close the connection after a bounded
/// number of bytes.
#[rstest]
#[case("origin", "HTTP/1.1 200 OK\r\nA: ", "b", 64 << 10)]
#[case("origin", "", "HTTP/1.1 100 Continue\r\n\r\n", 64 << 10)]
#[case("origin", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "b", 64 << 10)]
#[case("origin", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", MAX_VALUE_BYTES)]
#[case("origin", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b", 64 << 10)]
#[case("origin", WITHOUT_LENGTH, "b", MAX_VALUE_BYTES)]
#[case("m", "-", "b", 64 << 10)]
#[case("m", "*3\r\n$", "1", 64 << 10)]
#[case("m", "*99999999\r\n", "$-1\r\n", 1 << 20)]
#[case("m", "*3\r\n$1\r\na\r\n+", "b", 1 << 20)]
#[tokio::test]
async fn endless_response_closes_connection(
    #[case] flavor: &str, #[case] first: &str, #[case] repeated: &str, #[case] max_bytes: usize,
) {
    let mut fake = FakeEndpoint::new(flavor);
    let (source, remote) = fake.idle_connection().await;
    let attempt = fake.attempt(source, None, Instant::now() + LONG_TIMEOUT);
    let (_keep, cancelled) = oneshot::channel();
    let (mut remote, piece) = (remote.unwrap(), repeated.repeat(512));
    // Bounds the bytes that are buffered between the two sides.
    SockRef::from(&remote).set_send_buffer_size(16 << 10).unwrap();
    let mut run = pin!(attempt.run(cancelled, |_| panic!("a response without a stated length was streamed")));
    poll_until_blocked(&mut run).await;
    remote.write_all(first.as_bytes()).unwrap();
    let endless = thread::spawn(move || {
        let mut written = 0;
        while remote.write_all(piece.as_bytes()).is_ok() {
            written += piece.len();
        }
        written
    });
    let result = run.await;
    assert_eq!(result.outcome, Outcome::Error);
    assert!(result.connection.is_none());
    let written = endless.join().unwrap();
    assert!(written < max_bytes + (8 << 20), "{written} bytes were read");
}

/// Runs an attempt until its large response is streamed, after the endpoint has sent `first_bytes`. Returns the value,
/// the endpoint's side of the connection and the attempt.
async fn start_streaming(
    fake: &mut FakeEndpoint, first_bytes: &[u8],
) -> (Box<StreamedValue>, TcpStream, impl Future<Output = AttemptResult> + use<>) {
    let (source, remote) = fake.idle_connection().await;
    let (large, mut remote) = (Rc::new(RefCell::new(None)), remote.unwrap());
    let received = large.clone();
    let attempt = fake.attempt(source, None, Instant::now() + LONG_TIMEOUT);
    let mut run = Box::pin(async move {
        let (_keep, cancelled) = oneshot::channel();
        attempt.run(cancelled, |value| *received.borrow_mut() = Some(value)).await
    });
    poll_until_blocked(&mut run.as_mut()).await;
    remote.write_all(first_bytes).unwrap();
    while large.borrow().is_none() {
        poll_until_blocked(&mut run.as_mut()).await;
        tokio::task::yield_now().await;
    }
    let value = large.borrow_mut().take().unwrap();
    (value, remote, run)
}

#[rstest]
#[case("m", "*3\r\n$100000\r\n", EndpointAction::Resets)]
#[case("m", "*3\r\n$100000\r\n", EndpointAction::Ends)]
#[case("origin", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", EndpointAction::Resets)]
#[case(
    "origin",
    "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n",
    EndpointAction::Ends
)]
#[case(
    "origin",
    "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n",
    EndpointAction::Resets
)]
#[tokio::test]
async fn truncated_large_response_is_never_complete(
    #[case] flavor: &str, #[case] head: &str, #[case] action: EndpointAction,
) {
    let mut fake = FakeEndpoint::new(flavor);
    let (mut large, remote, run) =
        start_streaming(&mut fake, &[head.as_bytes(), &[b'x'; 70_000]].concat()).await;
    if action == EndpointAction::Resets {
        reset(remote)
    } else {
        drop(remote)
    }
    while let Ok(length) = large.next_chunk().await.map(<[u8]>::len) {
        large.consume(length);
        assert!(!large.is_consumed());
    }
    drop(large);
    let result = run.await;
    assert_eq!((result.outcome, result.connection.is_some()), (Outcome::Reset, false));
}

/// The length of the large value in the tests of its end.
const LARGE_BYTES: usize = 100_000;

/// Returns the start of a response with a value of [`LARGE_BYTES`] whose stated length is off by `error_bytes`.
fn large_value_with_length_error(error_bytes: isize) -> Vec<u8> {
    let stated = LARGE_BYTES.checked_add_signed(error_bytes).unwrap();
    [format!("*3\r\n${stated}\r\n").as_bytes(), &[b'x'; LARGE_BYTES]].concat()
}

/// Consumes all bytes of a large value.
async fn consume(large: &mut StreamedValue) {
    while !large.is_consumed() {
        let length = large.next_chunk().await.unwrap().len();
        large.consume(length);
    }
}

/// Guards against serving a large value that is truncated or continues with other bytes: its stated length was trusted,
/// and the bytes after it were checked only once the client had its end.
#[rstest]
#[case(-30_000)]
#[case(-1_000)]
#[case(-1)]
#[case(1)]
#[case(2)]
#[case(7)]
#[case(11)]
#[tokio::test]
async fn large_value_with_wrong_length_is_not_served_as_complete(#[case] error_bytes: isize) {
    let mut fake = FakeEndpoint::new("m");
    let response = [&large_value_with_length_error(error_bytes)[..], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
    let (mut large, _remote, run) = start_streaming(&mut fake, &response).await;
    consume(&mut large).await;
    assert!(large.finish().await.is_err());
    let result = run.await;
    assert_eq!((result.outcome, result.connection.is_some()), (Outcome::Error, false));
}

/// Guards against serving a large value as complete after its connection broke, and against losing one that is complete.
#[rstest]
#[case("", EndpointAction::Ends, false)]
#[case("", EndpointAction::Resets, false)]
#[case("\r", EndpointAction::Ends, false)]
#[case("\r\n$3\r\nh", EndpointAction::Ends, false)]
#[case("\r\n$3\r\nh", EndpointAction::Resets, false)]
#[case("\r\n$3\r\nhit\r\n$-1\r\n", EndpointAction::Ends, true)]
#[case("\r\n$3\r\nhit\r\n$-1\r\n", EndpointAction::StaysSilent, true)]
#[tokio::test]
async fn large_value_is_complete_only_with_rest_of_response(
    #[case] rest: &str, #[case] action: EndpointAction, #[case] complete: bool,
) {
    let mut fake = FakeEndpoint::new("m");
    let response = [&large_value_with_length_error(0)[..], rest.as_bytes()].concat();
    let (mut large, remote, run) = start_streaming(&mut fake, &response).await;
    consume(&mut large).await;
    match action {
        EndpointAction::Resets => reset(remote),
        EndpointAction::Ends => remote.shutdown(Shutdown::Write).unwrap(),
        EndpointAction::StaysSilent => {}
    }
    assert_eq!(large.finish().await.is_ok(), complete);
    let result = run.await;
    assert_eq!(result.outcome, if complete { Outcome::Ok } else { Outcome::Reset });
    assert_eq!(result.connection.is_some(), complete);
}

/// Guards against holding back a value for 2 s behind a slow rest of its response, and against reusing its connection.
#[tokio::test]
async fn large_value_with_late_rest_of_response_ends_within_two_seconds() {
    let mut fake = FakeEndpoint::new("m");
    let response = [&large_value_with_length_error(0)[..], b"\r\n$3\r\nh"].concat();
    let (mut large, remote, run) = start_streaming(&mut fake, &response).await;
    consume(&mut large).await;
    let mut finish = pin!(large.finish());
    for (advance, ends) in [(0, false), (1_000, false), (950, true)] {
        advance_paused(Duration::from_millis(advance)).await;
        let poll = poll_fn(|cx| Poll::Ready(finish.as_mut().poll(cx))).await;
        assert_eq!(matches!(poll, Poll::Ready(Ok(()))), ends, "{poll:?} after {advance} ms more");
    }
    let result = run.await;
    assert_eq!((result.outcome, result.connection.is_some()), (Outcome::Ok, false));
    drop(remote);
}

#[tokio::test]
async fn trickling_large_response_times_out() {
    let mut fake = FakeEndpoint::new("m");
    let (mut large, mut remote, _run) = start_streaming(&mut fake, b"*3\r\n$100000\r\n").await;
    for waits in 0..20 {
        {
            let mut next = pin!(large.next_chunk());
            let poll = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx).map(|chunk| chunk.is_err()))).await;
            match poll {
                Poll::Ready(timed_out) => return assert!(timed_out && waits >= 7, "after {waits} waits"),
                Poll::Pending => advance_paused(Duration::from_secs(4)).await,
            }
            remote.write_all(b"x").unwrap();
            if next.await.is_err() {
                return assert!(waits >= 7, "after {waits} waits");
            }
        }
        large.consume(1);
    }
    panic!("the read did not time out in 20 waits of 4 s");
}

/// Guards against values that are cut off while their endpoint still sends them slowly.
#[tokio::test]
async fn slow_large_response_is_read_to_its_end() {
    const PIECE: usize = 8 * 1024;
    let mut fake = FakeEndpoint::new("m");
    let (mut large, mut remote, _run) = start_streaming(&mut fake, b"*3\r\n$100000\r\n").await;
    while !large.is_consumed() {
        let read = {
            let mut next = pin!(large.next_chunk());
            let is_pending = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx).is_pending())).await;
            assert!(is_pending, "no byte has been sent");
            advance_paused(Duration::from_secs(4)).await;
            remote.write_all(&[b'x'; PIECE]).unwrap();
            next.await.expect("an endpoint that goes on sending is waited for").len()
        };
        large.consume(read);
    }
    assert!(large.is_consumed());
}

/// When the endpoint sends bytes that belong to no response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ExtraBytes {
    BeforeCheckIn,
    WhileIdle,
    AfterCheckOut,
}

/// Guards against reading leftover bytes as the response to the next request: bytes after a response make its
/// connection unusable, whenever they arrive.
#[rstest]
#[tokio::test]
async fn bytes_after_response_are_not_read_as_next_response(
    #[values(ExtraBytes::BeforeCheckIn, ExtraBytes::WhileIdle, ExtraBytes::AfterCheckOut)] extra: ExtraBytes,
) {
    let mut fake = FakeEndpoint::new("m");
    let (source, remote) = fake.idle_connection().await;
    let (_keep, cancelled) = oneshot::channel();
    let attempt = fake.attempt(source, None, Instant::now() + LONG_TIMEOUT);
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let mut remote = remote.unwrap();
    remote.write_all(VALUE.as_bytes()).unwrap();
    let result = run.await;
    if extra == ExtraBytes::BeforeCheckIn {
        remote.write_all(b"*3\r\n$5\r\nhal").unwrap();
    }
    fake.pools.check_in(&fake.endpoint, result.connection);
    if extra == ExtraBytes::WhileIdle {
        remote.write_all(VALUE.as_bytes()).unwrap();
    }
    advance_paused(REST_PERIOD).await;
    let source = fake.pools.check_out(&fake.endpoint);
    assert_eq!(matches!(source, ConnectionSource::Idle(_)), extra == ExtraBytes::AfterCheckOut);
    if extra == ExtraBytes::AfterCheckOut {
        remote.write_all(VALUE.as_bytes()).unwrap();
    }
    let (_keep, cancelled) = oneshot::channel();
    let attempt = fake.attempt(source, None, Instant::now() + LONG_TIMEOUT);
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let mut second = fake.listener.accept().unwrap().0; // the request is sent on a new connection
    second.set_nonblocking(true).unwrap();
    while second.peek(&mut [0]).is_err() {
        poll_until_blocked(&mut run).await;
        tokio::task::yield_now().await;
    }
    second.write_all(&VALUE.replace('v', "w").into_bytes()).unwrap();
    drop(remote);
    let result = run.await;
    assert_eq!((result.outcome, &result.value[..]), (Outcome::Ok, &b"w"[..]));
}

/// Runs an attempt on a connection from the pool, answers it with `response` on `remote`, and returns the connection to
/// the pool.
async fn answer_attempt(
    fake: &mut FakeEndpoint, source: ConnectionSource, remote: &mut TcpStream, response: &str,
) -> AttemptResult {
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(fake.attempt(source, None, Instant::now() + LONG_TIMEOUT).run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    remote.write_all(response.as_bytes()).unwrap();
    let mut result = run.await;
    fake.pools.check_in(&fake.endpoint, result.connection.take());
    result
}

/// Guards against a late second copy of a response that is read as the next response: the connection was reused at once.
/// A connection rests after a response, and is closed if bytes arrive meanwhile.
#[rstest]
#[case("m", VALUE)]
#[case("m", "-BUSY\r\n")]
#[case("origin", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")]
#[case("origin", "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn connection_is_reused_only_after_its_rest_period(
    #[case] flavor: &str, #[case] response: &str, #[values(false, true)] late_copy: bool,
) {
    let mut fake = FakeEndpoint::new(flavor);
    let (source, remote) = fake.idle_connection().await;
    let mut remote = remote.unwrap();
    let responded_at = Instant::now();
    let first = answer_attempt(&mut fake, source, &mut remote, response).await;
    assert!(!first.doubtful, "the connection had carried no response before");
    let source = fake.pools.check_out(&fake.endpoint);
    if responded_at.elapsed() >= REST_PERIOD {
        return; // the machine was too busy to ask before the end of the rest
    }
    assert!(matches!(source, ConnectionSource::Dial(_)));
    if late_copy {
        remote.write_all(response.as_bytes()).unwrap();
    }
    advance_paused(REST_PERIOD).await;
    let source = fake.pools.check_out(&fake.endpoint);
    assert_eq!(matches!(source, ConnectionSource::Idle(_)), !late_copy);
    assert_eq!(fake.pools.counters().unexpected_input, u64::from(late_copy));
    if !late_copy {
        assert!(answer_attempt(&mut fake, source, &mut remote, response).await.doubtful);
    }
}

/// Guards against a new connection for a request that follows closely at a slow endpoint, which costs the endpoint work:
/// the request waits until the connection has rested, and is sent on another one if a late second copy arrives.
#[rstest]
#[tokio::test]
async fn request_waits_until_connection_to_slow_endpoint_has_rested(#[values(false, true)] late_copy: bool) {
    let mut fake = FakeEndpoint::new("m");
    let (source, remote) = fake.idle_connection().await;
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(fake.attempt(source, None, Instant::now() + LONG_TIMEOUT).run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    advance_paused(2 * REST_PERIOD).await;
    let mut remote = remote.unwrap();
    remote.write_all(VALUE.as_bytes()).unwrap();
    fake.pools.check_in(&fake.endpoint, run.await.connection);

    let source = fake.pools.check_out(&fake.endpoint);
    let (_keep, cancelled) = oneshot::channel();
    let attempt = fake.attempt(source, None, Instant::now() + LONG_TIMEOUT);
    let written_count = attempt.written_count.clone();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    assert_eq!(written_count.get(), 0, "the connection rests");
    if late_copy {
        remote.write_all(VALUE.as_bytes()).unwrap();
    }
    advance_paused(REST_PERIOD).await;
    while written_count.get() == 0 {
        poll_until_blocked(&mut run).await;
        tokio::task::yield_now().await;
    }
    let mut used = if late_copy { fake.listener.accept().unwrap().0 } else { remote };
    used.write_all(VALUE.replace('v', "w").as_bytes()).unwrap();
    let result = run.await;
    assert_eq!((result.outcome, &result.value[..]), (Outcome::Ok, &b"w"[..]));
}

/// Guards against a non-idempotent request on a connection that has carried a response: a late second copy could say
/// that the request was declined. The pool does not grow by such requests.
#[tokio::test]
async fn unused_connection_replaces_one_that_carried_a_response() {
    let mut fake = FakeEndpoint::new("origin");
    let (source, remote) = fake.idle_connection().await;
    answer_attempt(&mut fake, source, &mut remote.unwrap(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .await;
    advance_paused(REST_PERIOD).await;
    let source = fake.pools.check_out_unused(&fake.endpoint);
    assert!(matches!(source, ConnectionSource::Dial(_)));
    assert_eq!(fake.pools.open_connections(), 1);
    drop(source);
    let (unused, _remote) = fake.idle_connection().await;
    assert!(matches!(unused, ConnectionSource::Idle(_)), "a connection without a response may be used");
}
