//! Single attempts: the time limit sent to the endpoint, and the outcome when a limit of the balancer itself ends the
//! attempt.

use bytes::Bytes;
use decide::api::Outcome;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use upstream::call::Call;
use upstream::connection::{Attempt, ConnectionPools, ConnectionSource, SendPermit};
use upstream::endpoints::{Endpoint, EndpointSet, endpoint_id};
use upstream::memory::MemoryBudget;
use upstream::setup::{Bounds, Names};

const MINUTE: Duration = Duration::from_secs(60);

/// Returns the address of an endpoint that accepts no further connection, because its backlog is full. It stays so
/// while the sockets exist.
fn unreachable_endpoint() -> (SocketAddr, Vec<Socket>) {
    let tcp = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let listener = tcp();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let client = tcp();
        client.set_nonblocking(true).unwrap();
        let _ = client.connect(&addr); // the connection stays in progress, or waits in the backlog forever
        sockets.push(client);
    }
    (addr.as_socket().unwrap(), sockets)
}

fn endpoint(addr: SocketAddr, flavor: &str) -> Rc<Endpoint> {
    let member = EndpointRecord {
        id: "s-1".into(),
        host_port: addr,
        locality: String::new(),
        flavor: flavor.into(),
        cell: 0,
        phase: Phase::Ready,
        size: 1.0,
        up_since_ms: 0,
    };
    let mut endpoints = EndpointSet::new(Names { kinds: vec!["origin".into()], ..Names::default() }, Some(0));
    endpoints.apply(&EndpointList { revision: 1, complete: true, members: vec![member] }, false);
    endpoints.endpoint(endpoint_id("s-1")).unwrap().clone()
}

async fn run_attempt(endpoint: &Rc<Endpoint>, source: ConnectionSource, deadline: Instant) -> Outcome {
    let word = Bytes::from_static(b"1");
    let options = Bytes::from_static(b"c=leer,d=60000,k=1");
    let call = Call {
        command: word.clone(),
        key: word.clone(),
        id: word,
        options,
        time_limit_range: 9..14,
        value: None,
    };
    let (_keep, cancelled) = oneshot::channel();
    Attempt {
        endpoint: endpoint.clone(),
        call: Rc::new(call),
        source,
        connect_timeout: MINUTE,
        deadline,
        permit: SendPermit { awaited: Rc::new(Cell::new(true)), deduplication_ends: None },
        is_non_idempotent: false,
        throttles: Rc::default(),
        budget: MemoryBudget::new(0),
        written_count: Rc::default(),
    }
    .run(cancelled, |_| ())
    .await
    .outcome
}

fn pools() -> ConnectionPools {
    ConnectionPools::new(Bounds {
        clients: 1,
        peers: 1,
        held_bytes: 0,
        open: 1,
        answer_bytes: 0,
        dial: MINUTE,
        idle: MINUTE,
        longest: MINUTE,
        shortest: MINUTE,
    })
}

/// Guards against a regression: the origin once received the client's original time limit, although earlier attempts
/// had used it up.
#[rstest]
#[tokio::test]
async fn attempt_sends_remaining_time_limit(#[values("", "origin")] flavor: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = endpoint(listener.local_addr().unwrap(), flavor);
    let server = thread::spawn(move || {
        let mut lines = BufReader::new(listener.accept().unwrap().0).lines().map_while(Result::ok);
        lines.find(|line| line.contains("c=leer")).unwrap_or_default()
    });
    let time_left = Duration::from_secs(20);
    let result = run_attempt(&endpoint, pools().check_out(&endpoint), Instant::now() + time_left).await;
    assert_eq!(result, Outcome::Reset, "the endpoint closes the connection after the request");
    let request = server.join().unwrap();
    let sent = request
        .split_once("c=leer,d=")
        .and_then(|(_, rest)| rest.split_once(",k=1"))
        .unwrap_or_else(|| panic!("the request has no time limit: {request:?}"));
    let sent = Duration::from_millis(sent.0.parse().unwrap());
    assert!(Duration::ZERO < sent && sent <= time_left, "{request}");
}

/// Guards against a regression: a missing connection permit once counted as a rejection by the endpoint, and a
/// connection attempt that the request's own deadline ended as proof of an unreachable endpoint.
#[tokio::test]
async fn balancer_limits_are_not_reported_as_endpoint_failures() {
    let (addr, _sockets) = unreachable_endpoint();
    let endpoint = endpoint(addr, "");
    let mut pools = pools();
    let permitted = pools.check_out(&endpoint);
    let unavailable = pools.check_out(&endpoint);
    assert_eq!(run_attempt(&endpoint, unavailable, Instant::now() + MINUTE).await, Outcome::NotSent);
    assert_eq!(
        run_attempt(&endpoint, permitted, Instant::now()).await,
        Outcome::NotSent,
        "there was no time to connect"
    );
}
