//! Single tries: what our own limits look like to the decision module.

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
use upstream::connection::{Attempt, ConnectionChoice, ConnectionPools, Permit};
use upstream::endpoints::{Endpoint, EndpointSet, endpoint_id};
use upstream::memory::MemoryBudget;
use upstream::setup::{Bounds, Names};

const MINUTE: Duration = Duration::from_secs(60);

/// A peer that no further connection reaches: its backlog is full.
fn unreachable() -> (SocketAddr, Vec<Socket>) {
    let tcp = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let listener = tcp();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut kept = vec![listener];
    for _ in 0..4 {
        let client = tcp();
        client.set_nonblocking(true).unwrap();
        let _ = client.connect(&addr); // under way, or waiting for ever
        kept.push(client);
    }
    (addr.as_socket().unwrap(), kept)
}

fn peer(addr: SocketAddr, flavor: &str) -> Rc<Endpoint> {
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
    let mut group = EndpointSet::new(Names { kinds: vec!["origin".into()], ..Names::default() }, Some(0));
    group.apply(&EndpointList { revision: 1, complete: true, members: vec![member] }, false);
    group.endpoint(endpoint_id("s-1")).unwrap().clone()
}

async fn outcome(peer: &Rc<Endpoint>, line: ConnectionChoice, until: Instant) -> Outcome {
    let word = Bytes::from_static(b"1");
    let options = Bytes::from_static(b"c=leer,d=60000,k=1");
    let call =
        Call { command: word.clone(), key: word.clone(), id: word, options, time_at: 9..14, value: None };
    let (_keep, cancelled) = oneshot::channel();
    let lines = Rc::default();
    Attempt {
        peer: peer.clone(),
        call: Rc::new(call),
        line,
        dial: MINUTE,
        until,
        permit: Permit { owed: Rc::new(Cell::new(true)), by: None },
        fragile: false,
        lines,
        budget: MemoryBudget::new(0),
        written: Rc::default(),
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

/// Found on the bench: the origin was told the client's time as it had arrived, though the tries before had used it up.
#[rstest]
#[tokio::test]
async fn a_try_tells_its_peer_no_more_time_than_it_has(#[values("", "origin")] flavor: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = peer(listener.local_addr().unwrap(), flavor);
    let far = thread::spawn(move || {
        let mut lines = BufReader::new(listener.accept().unwrap().0).lines().map_while(Result::ok);
        lines.find(|line| line.contains("c=leer")).unwrap_or_default()
    });
    let left = Duration::from_secs(20);
    let answered = outcome(&peer, pools().line(&peer), Instant::now() + left).await;
    assert_eq!(answered, Outcome::Reset, "it hangs up when it was asked");
    let asked = far.join().unwrap();
    let told = asked.split_once("c=leer,d=").and_then(|(_, rest)| rest.split_once(",k=1")).expect("its form");
    let told = Duration::from_millis(told.0.parse().unwrap());
    assert!(Duration::ZERO < told && told <= left, "{asked}");
}

#[tokio::test]
async fn our_own_limits_are_no_fault_of_a_peer() {
    // Found by reading: no place for a connection counted as turned away by the peer, and a dial that the request's
    // own time cut short as proof that the peer cannot be reached.
    let (addr, _kept) = unreachable();
    let peer = peer(addr, "");
    let mut pools = pools();
    let only = pools.line(&peer);
    let none = pools.line(&peer);
    assert_eq!(outcome(&peer, none, Instant::now() + MINUTE).await, Outcome::NotSent);
    assert_eq!(outcome(&peer, only, Instant::now()).await, Outcome::NotSent, "the dial had no time");
}
