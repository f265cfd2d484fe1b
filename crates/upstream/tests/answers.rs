//! Answers that break off, never end, or come behind another: what is one, and what is none.

mod host;

use decide::api::Outcome;
use host::*;
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
use upstream::connection::{AttemptResult, ConnectionChoice, StreamedValue};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Then {
    Resets,
    Ends,
    Rests,
}

const LENGTHLESS: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED_CLOSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const FIVE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

/// A reset is no end, and neither is the end of a connection ahead of a stated one.
#[rstest]
#[case(LENGTHLESS, 3, Then::Ends, Outcome::Ok)]
#[case(LENGTHLESS, 3, Then::Resets, Outcome::Reset)]
#[case(LENGTHLESS, 0, Then::Resets, Outcome::Reset)]
#[case(LENGTHLESS, MAX_BUFFERED_VALUE_BYTES + 9, Then::Ends, Outcome::Ok)]
#[case(LENGTHLESS, MAX_BUFFERED_VALUE_BYTES + 9, Then::Resets, Outcome::Reset)]
#[case(LENGTHLESS, 3, Then::Rests, Outcome::Timeout)]
#[case("HTTP/1.1 200 OK\r\n\r\n", 3, Then::Ends, Outcome::Error)]
#[case("HTTP/1.1 200 OK\r\nConnection: close\r\n", 0, Then::Resets, Outcome::Reset)]
#[case("HTTP/1.1 200 OK\r\nConnection: close\r\n", 0, Then::Ends, Outcome::Reset)]
#[case(FIVE, 3, Then::Ends, Outcome::Reset)]
#[case(FIVE, 3, Then::Resets, Outcome::Reset)]
#[case(FIVE, 5, Then::Resets, Outcome::Ok)]
#[case(CHUNKED, 0, Then::Ends, Outcome::Reset)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", 0, Then::Ends, Outcome::Reset)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", 0, Then::Resets, Outcome::Reset)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", 0, Then::Ends, Outcome::Reset)]
#[case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    0,
    Then::Resets,
    Outcome::Ok
)]
#[case(CHUNKED_CLOSE, 0, Then::Ends, Outcome::Reset)]
#[case("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", 0, Then::Ends, Outcome::Rejected)]
#[case("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\n", 0, Then::Resets, Outcome::Reset)]
#[case("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 0, Then::Ends, Outcome::Error)]
#[tokio::test]
async fn a_reset_is_no_end(
    #[case] head: &str, #[case] body: usize, #[case] then: Then, #[case] outcome: Outcome,
) {
    let mut host = Host::new("origin");
    let (line, far) = host.idle().await;
    let one = host.make_try(line, None, Instant::now() + SPAN);
    let (_keep, cancelled) = oneshot::channel();
    let mut run = pin!(one.run(cancelled, |_| ()));
    begin(&mut run).await;
    let mut far = far.unwrap();
    far.write_all(&[head.as_bytes(), &vec![b'x'; body]].concat()).unwrap();
    match then {
        Then::Resets => reset(far),
        Then::Ends => far.shutdown(Shutdown::Write).unwrap(),
        Then::Rests => pass(SPAN).await,
    }
    let ended = run.await;
    assert_eq!(ended.outcome, outcome);
    let served = ended.large.map_or(ended.value.len(), |large| large.length());
    assert!((served > 0) == (outcome == Outcome::Ok), "{served} bytes");
    assert!(body == 0 || served == if outcome == Outcome::Ok { body } else { 0 });
}

/// What has no end costs its connection, and no more memory and time than one that has.
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
async fn an_answer_that_never_ends_costs_its_connection(
    #[case] flavor: &str, #[case] first: &str, #[case] then: &str, #[case] most: usize,
) {
    let mut host = Host::new(flavor);
    let (line, far) = host.idle().await;
    let one = host.make_try(line, None, Instant::now() + SPAN);
    let (_keep, cancelled) = oneshot::channel();
    let (mut far, piece) = (far.unwrap(), then.repeat(512));
    // Bounds what is under way between the two.
    SockRef::from(&far).set_send_buffer_size(16 << 10).unwrap();
    let mut run = pin!(one.run(cancelled, |_| panic!("it is not large")));
    begin(&mut run).await;
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
    assert!(written < most + (8 << 20), "{written} bytes were taken");
}

/// Yields the large answer of a try whose far end has said its first bytes.
async fn streamed(
    host: &mut Host, said: &[u8],
) -> (Box<StreamedValue>, TcpStream, impl Future<Output = AttemptResult> + use<>) {
    let (line, far) = host.idle().await;
    let (large, mut far) = (Rc::new(RefCell::new(None)), far.unwrap());
    let given = large.clone();
    let one = host.make_try(line, None, Instant::now() + SPAN);
    let mut run = Box::pin(async move {
        let (_keep, cancelled) = oneshot::channel();
        one.run(cancelled, |it| *given.borrow_mut() = Some(it)).await
    });
    begin(&mut run.as_mut()).await;
    far.write_all(said).unwrap();
    while large.borrow().is_none() {
        begin(&mut run.as_mut()).await;
        tokio::task::yield_now().await;
    }
    let it = large.borrow_mut().take().unwrap();
    (it, far, run)
}

#[rstest]
#[case("m", "*3\r\n$100000\r\n", Then::Resets)]
#[case("m", "*3\r\n$100000\r\n", Then::Ends)]
#[case("origin", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", Then::Resets)]
#[case("origin", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n", Then::Ends)]
#[case("origin", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n", Then::Resets)]
#[tokio::test]
async fn a_large_answer_that_breaks_off_is_never_whole(
    #[case] flavor: &str, #[case] head: &str, #[case] then: Then,
) {
    let mut host = Host::new(flavor);
    let (mut large, far, run) = streamed(&mut host, &[head.as_bytes(), &[b'x'; 70_000]].concat()).await;
    if then == Then::Resets {
        reset(far)
    } else {
        drop(far)
    }
    while let Ok(come) = large.next().await.map(<[u8]>::len) {
        large.take(come);
        assert!(!large.done());
    }
    drop(large);
    let ended = run.await;
    assert_eq!((ended.outcome, ended.connection.is_some()), (Outcome::Reset, false));
}

#[tokio::test]
async fn a_large_answer_by_a_byte_now_and_then_is_given_up() {
    let mut host = Host::new("m");
    let (mut large, mut far, _run) = streamed(&mut host, b"*3\r\n$100000\r\n").await;
    for waits in 0..20 {
        {
            let mut next = pin!(large.next());
            let come = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx).map(|come| come.is_err()))).await;
            match come {
                Poll::Ready(given_up) => return assert!(given_up && waits >= 7, "after {waits} waits"),
                Poll::Pending => pass(Duration::from_secs(4)).await,
            }
            far.write_all(b"x").unwrap();
            if next.await.is_err() {
                return assert!(waits >= 7, "after {waits} waits");
            }
        }
        large.take(1);
    }
    panic!("it goes on for ever");
}

/// Bytes behind an answer void its connection wherever they are seen: before it is kept, while it rests, and between its
/// choice and the next request.
#[rstest]
#[tokio::test]
async fn what_comes_behind_an_answer_is_no_answer_to_another(#[values(0, 1, 2)] when: usize) {
    let mut host = Host::new("m");
    let (line, far) = host.idle().await;
    let (_keep, cancelled) = oneshot::channel();
    let one = host.make_try(line, None, Instant::now() + SPAN);
    let mut run = pin!(one.run(cancelled, |_| ()));
    begin(&mut run).await;
    let mut far = far.unwrap();
    far.write_all(VALUE.as_bytes()).unwrap();
    let ended = run.await;
    if when == 0 {
        far.write_all(b"*3\r\n$5\r\nhal").unwrap();
    }
    host.pools.put(&host.peer, ended.connection);
    if when == 1 {
        far.write_all(VALUE.as_bytes()).unwrap();
    }
    let line = host.pools.line(&host.peer);
    assert_eq!(matches!(line, ConnectionChoice::Open(_)), when == 2);
    if when == 2 {
        far.write_all(VALUE.as_bytes()).unwrap();
    }
    let (_keep, cancelled) = oneshot::channel();
    let one = host.make_try(line, None, Instant::now() + SPAN);
    let mut run = pin!(one.run(cancelled, |_| ()));
    begin(&mut run).await;
    let mut second = host.listener.accept().unwrap().0; // it is asked on a new connection
    second.set_nonblocking(true).unwrap();
    while second.peek(&mut [0]).is_err() {
        begin(&mut run).await;
        tokio::task::yield_now().await;
    }
    second.write_all(&VALUE.replace('v', "w").into_bytes()).unwrap();
    drop(far);
    let ended = run.await;
    assert_eq!((ended.outcome, &ended.value[..]), (Outcome::Ok, &b"w"[..]));
}
