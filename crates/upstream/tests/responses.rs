//! Responses that break off, never end, or follow another one: which are valid, and which are not.

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
use upstream::connection::{AttemptResult, ConnectionSource, StreamedValue};

#[derive(Debug, Clone, Copy, PartialEq)]
enum EndpointThen {
    Resets,
    Ends,
    StaysSilent,
}

const LENGTHLESS: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED_CLOSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const FIVE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

/// A reset does not end a response, nor does the end of a connection before the stated length.
#[rstest]
#[case(LENGTHLESS, 3, EndpointThen::Ends, Outcome::Ok)]
#[case(LENGTHLESS, 3, EndpointThen::Resets, Outcome::Reset)]
#[case(LENGTHLESS, 0, EndpointThen::Resets, Outcome::Reset)]
#[case(LENGTHLESS, MAX_BUFFERED_VALUE_BYTES + 9, EndpointThen::Ends, Outcome::Ok)]
#[case(LENGTHLESS, MAX_BUFFERED_VALUE_BYTES + 9, EndpointThen::Resets, Outcome::Reset)]
#[case(LENGTHLESS, 3, EndpointThen::StaysSilent, Outcome::Timeout)]
#[case("HTTP/1.1 200 OK\r\n\r\n", 3, EndpointThen::Ends, Outcome::Error)]
#[case("HTTP/1.1 200 OK\r\nConnection: close\r\n", 0, EndpointThen::Resets, Outcome::Reset)]
#[case("HTTP/1.1 200 OK\r\nConnection: close\r\n", 0, EndpointThen::Ends, Outcome::Reset)]
#[case(FIVE, 3, EndpointThen::Ends, Outcome::Reset)]
#[case(FIVE, 3, EndpointThen::Resets, Outcome::Reset)]
#[case(FIVE, 5, EndpointThen::Resets, Outcome::Ok)]
#[case(CHUNKED, 0, EndpointThen::Ends, Outcome::Reset)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
    0,
    EndpointThen::Ends,
    Outcome::Reset
)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
    0,
    EndpointThen::Resets,
    Outcome::Reset
)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
    0,
    EndpointThen::Ends,
    Outcome::Reset
)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    0,
    EndpointThen::Resets,
    Outcome::Ok
)]
#[case(CHUNKED_CLOSE, 0, EndpointThen::Ends, Outcome::Reset)]
#[case(
    "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
    0,
    EndpointThen::Ends,
    Outcome::Rejected
)]
#[case(
    "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\n",
    0,
    EndpointThen::Resets,
    Outcome::Reset
)]
#[case("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 0, EndpointThen::Ends, Outcome::Error)]
#[tokio::test]
async fn reset_is_not_an_end_of_response(
    #[case] head: &str, #[case] body: usize, #[case] then: EndpointThen, #[case] outcome: Outcome,
) {
    let mut host = FakeEndpoint::new("origin");
    let (source, far) = host.idle().await;
    let attempt = host.attempt(source, None, Instant::now() + SPAN);
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let mut far = far.unwrap();
    far.write_all(&[head.as_bytes(), &vec![b'x'; body]].concat()).unwrap();
    match then {
        EndpointThen::Resets => reset(far),
        EndpointThen::Ends => far.shutdown(Shutdown::Write).unwrap(),
        EndpointThen::StaysSilent => advance_paused(SPAN).await,
    }
    let ended = run.await;
    assert_eq!(ended.outcome, outcome);
    let served = ended.large.map_or(ended.value.len(), |large| large.length());
    assert!((served > 0) == (outcome == Outcome::Ok), "{served} bytes");
    assert!(body == 0 || served == if outcome == Outcome::Ok { body } else { 0 });
}

/// An endless response closes its connection, and needs no more memory and time than one that ends.
#[rstest]
#[case("origin", "HTTP/1.1 200 OK\r\nA: ", "b", 64 << 10)]
#[case("origin", "", "HTTP/1.1 100 Continue\r\n\r\n", 64 << 10)]
#[case("origin", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "b", 64 << 10)]
#[case("origin", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", MAX_VALUE_BYTES)]
#[case("origin", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b", 64 << 10)]
#[case("origin", LENGTHLESS, "b", MAX_VALUE_BYTES)]
#[case("m", "-", "b", 64 << 10)]
#[case("m", "*3\r\n$", "1", 64 << 10)]
#[case("m", "*99999999\r\n", "$-1\r\n", 1 << 20)]
#[case("m", "*3\r\n$1\r\na\r\n+", "b", 1 << 20)]
#[tokio::test]
async fn endless_response_closes_connection(
    #[case] flavor: &str, #[case] first: &str, #[case] then: &str, #[case] most: usize,
) {
    let mut host = FakeEndpoint::new(flavor);
    let (source, far) = host.idle().await;
    let attempt = host.attempt(source, None, Instant::now() + SPAN);
    let (_keep, cancelled) = oneshot::channel();
    let (mut far, piece) = (far.unwrap(), then.repeat(512));
    // Bounds what is buffered between the two sides.
    SockRef::from(&far).set_send_buffer_size(16 << 10).unwrap();
    let mut run = pin!(attempt.run(cancelled, |_| panic!("its length is not stated")));
    poll_until_blocked(&mut run).await;
    far.write_all(first.as_bytes()).unwrap();
    let endless = thread::spawn(move || {
        let mut written = 0;
        while far.write_all(piece.as_bytes()).is_ok() {
            written += piece.len();
        }
        written
    });
    let ended = run.await;
    assert_eq!(ended.outcome, Outcome::Error);
    assert!(ended.connection.is_none());
    let written = endless.join().unwrap();
    assert!(written < most + (8 << 20), "{written} bytes were read");
}

/// The large response of an attempt whose endpoint has sent its first bytes.
async fn streamed(
    host: &mut FakeEndpoint, said: &[u8],
) -> (Box<StreamedValue>, TcpStream, impl Future<Output = AttemptResult> + use<>) {
    let (source, far) = host.idle().await;
    let (large, mut far) = (Rc::new(RefCell::new(None)), far.unwrap());
    let given = large.clone();
    let attempt = host.attempt(source, None, Instant::now() + SPAN);
    let mut run = Box::pin(async move {
        let (_keep, cancelled) = oneshot::channel();
        attempt.run(cancelled, |it| *given.borrow_mut() = Some(it)).await
    });
    poll_until_blocked(&mut run.as_mut()).await;
    far.write_all(said).unwrap();
    while large.borrow().is_none() {
        poll_until_blocked(&mut run.as_mut()).await;
        tokio::task::yield_now().await;
    }
    let it = large.borrow_mut().take().unwrap();
    (it, far, run)
}

#[rstest]
#[case("m", "*3\r\n$100000\r\n", EndpointThen::Resets)]
#[case("m", "*3\r\n$100000\r\n", EndpointThen::Ends)]
#[case("origin", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", EndpointThen::Resets)]
#[case(
    "origin",
    "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n",
    EndpointThen::Ends
)]
#[case(
    "origin",
    "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n",
    EndpointThen::Resets
)]
#[tokio::test]
async fn truncated_large_response_is_never_complete(
    #[case] flavor: &str, #[case] head: &str, #[case] then: EndpointThen,
) {
    let mut host = FakeEndpoint::new(flavor);
    let (mut large, far, run) = streamed(&mut host, &[head.as_bytes(), &[b'x'; 70_000]].concat()).await;
    if then == EndpointThen::Resets {
        reset(far)
    } else {
        drop(far)
    }
    while let Ok(come) = large.next_chunk().await.map(<[u8]>::len) {
        large.consume(come);
        assert!(!large.is_finished());
    }
    drop(large);
    let ended = run.await;
    assert_eq!((ended.outcome, ended.connection.is_some()), (Outcome::Reset, false));
}

#[tokio::test]
async fn trickling_large_response_is_given_up() {
    let mut host = FakeEndpoint::new("m");
    let (mut large, mut far, _run) = streamed(&mut host, b"*3\r\n$100000\r\n").await;
    for waits in 0..20 {
        {
            let mut next = pin!(large.next_chunk());
            let come = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx).map(|come| come.is_err()))).await;
            match come {
                Poll::Ready(given_up) => return assert!(given_up && waits >= 7, "after {waits} waits"),
                Poll::Pending => advance_paused(Duration::from_secs(4)).await,
            }
            far.write_all(b"x").unwrap();
            if next.await.is_err() {
                return assert!(waits >= 7, "after {waits} waits");
            }
        }
        large.consume(1);
    }
    panic!("it is never given up");
}

/// Bytes after a response make its connection unusable whenever they arrive: before it is pooled, while it is idle, and
/// between its choice and the next request.
#[rstest]
#[tokio::test]
async fn bytes_after_response_do_not_answer_next_request(#[values(0, 1, 2)] when: usize) {
    let mut host = FakeEndpoint::new("m");
    let (source, far) = host.idle().await;
    let (_keep, cancelled) = oneshot::channel();
    let attempt = host.attempt(source, None, Instant::now() + SPAN);
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let mut far = far.unwrap();
    far.write_all(VALUE.as_bytes()).unwrap();
    let ended = run.await;
    if when == 0 {
        far.write_all(b"*3\r\n$5\r\nhal").unwrap();
    }
    host.pools.check_in(&host.endpoint, ended.connection);
    if when == 1 {
        far.write_all(VALUE.as_bytes()).unwrap();
    }
    let source = host.pools.check_out(&host.endpoint);
    assert_eq!(matches!(source, ConnectionSource::Idle(_)), when == 2);
    if when == 2 {
        far.write_all(VALUE.as_bytes()).unwrap();
    }
    let (_keep, cancelled) = oneshot::channel();
    let attempt = host.attempt(source, None, Instant::now() + SPAN);
    let mut run = pin!(attempt.run(cancelled, |_| ()));
    poll_until_blocked(&mut run).await;
    let mut second = host.listener.accept().unwrap().0; // the request is sent on a new connection
    second.set_nonblocking(true).unwrap();
    while second.peek(&mut [0]).is_err() {
        poll_until_blocked(&mut run).await;
        tokio::task::yield_now().await;
    }
    second.write_all(&VALUE.replace('v', "w").into_bytes()).unwrap();
    drop(far);
    let ended = run.await;
    assert_eq!((ended.outcome, &ended.value[..]), (Outcome::Ok, &b"w"[..]));
}
