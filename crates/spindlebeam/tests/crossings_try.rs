//! Attempts that wait for a connection and are no longer needed when it is established.

mod platform;
use platform::*;
use rstest::rstest;
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[rstest]
fn keyed_retry_waiting_for_dial_is_not_sent_after_its_window(
    #[values(("all", "-BUSY"), ("zone", "-ERR"), ("cell", "-ERR"))] case: (&str, &str),
) {
    let (scope, prefix) = case;
    let (origin, permit) = Peer::with_short_backlog(true);
    permit.send(()).unwrap(); // accepts the connection that is opened before the first request
    let platform = Platform::with_servers(vec![Peer::start(false)], origin, 1024, |config| {
        let settings = &mut config["settings"];
        settings["profiles"][1]["memorySpanUs"] = json!(800_000);
        settings["profiles"][1]["keyScope"] = json!(scope);
        settings["permissions"]["dialTimeoutUs"] = json!(15_000_000);
    });
    let mut client = platform.balancer.client();
    client.set("alta", "first");
    let put = platform.origin.next_request();
    let _backlog_filler = TcpStream::connect(platform.origin.addr).unwrap();
    put.hang_up(); // the write may have run
    let has_answer = client.has_answer_within(Duration::from_secs(5));
    (0..9).for_each(|_| permit.send(()).unwrap());
    assert!(has_answer, "the client waits although no retry can be sent any more");
    assert!(client.read_answer().starts_with(prefix));
    client.set("alta", "second");
    assert_eq!(platform.origin.next_request().words.last().unwrap(), "second");
    assert!(platform.origin.has_no_more_requests());
}

#[rstest]
fn attempt_waiting_for_dial_is_not_sent_after_client_left(#[values(false, true)] cancel: bool) {
    let (cache_node, permit) = Peer::with_short_backlog(false);
    permit.send(()).unwrap();
    let platform = Platform::with_servers(vec![cache_node], Peer::start(true), 1024, |config| {
        config["operator"] = json!("127.0.0.1:0");
        config["settings"]["permissions"]["cancel"] = json!(cancel);
        config["settings"]["permissions"]["dialTimeoutUs"] = json!(15_000_000);
    });
    let (mut stays, mut leaves) = (platform.balancer.client(), platform.balancer.client());
    stays.get("leer", "1");
    let request = platform.peers[0].next_request(); // uses the only connection
    let _backlog_filler = TcpStream::connect(platform.peers[0].addr).unwrap();
    leaves.get("leer", "2");
    wait_until(|| platform.metric("in_flight") == 2);
    drop(leaves);
    wait_until(|| platform.metric("in_flight") == 1);
    (0..9).for_each(|_| permit.send(()).unwrap());
    assert!(
        platform.peers[0].wait_for_connection() && platform.peers[0].wait_for_connection(),
        "the filler of the backlog and then the waiting connection are accepted"
    );
    let mut third = platform.balancer.client();
    third.get("leer", "3");
    let next = platform.peers[0].next_request();
    assert_eq!(next.words[1], "3", "no client waits for the request before it");
    assert!(
        !platform.peers[0].has_new_connection(),
        "the connection that is no longer needed serves the next request"
    );
    next.respond_value("v");
    assert_eq!(third.read_answer(), "v");
    request.respond_value("v");
    assert_eq!(stays.read_answer(), "v");
    assert!(platform.peers[0].has_no_more_requests());
}

/// Returns whether a connection to this address waits to be established.
fn is_dialing(addr: SocketAddr) -> bool {
    let held = format!("0100007F:{:04X} 02", addr.port()); // remote address and the state SYN_SENT
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(|line| line.contains(&held))
}

#[test]
fn hedged_request_waiting_for_dial_is_not_sent_after_answer() {
    let (cache_node, permit) = Peer::with_short_backlog(false);
    permit.send(()).unwrap();
    let platform =
        Platform::with_servers(vec![Peer::start(false), cache_node], Peer::start(true), 1024, |config| {
            let settings = &mut config["settings"];
            settings["permissions"]["secondCopies"] = json!(true);
            settings["permissions"]["cancel"] = json!(false);
            settings["permissions"]["dialTimeoutUs"] = json!(15_000_000);
            settings["profiles"][3]["onTimeUs"] = json!(1_000_000); // the hedged request is sent after half of it
        });
    let (key, other) = (platform.key_of(0), platform.key_of(1));
    let (mut client, mut busy) = (platform.balancer.client(), platform.balancer.client());
    busy.get("leer", &other);
    let kept = platform.peers[1].next_request(); // uses the only connection
    let _backlog_filler = TcpStream::connect(platform.peers[1].addr).unwrap();
    client.get("prisa", &key);
    let first = platform.peers[0].next_request();
    wait_until(|| is_dialing(platform.peers[1].addr));
    first.respond_value("v");
    assert_eq!(client.read_answer(), "v");
    (0..9).for_each(|_| permit.send(()).unwrap());
    assert!(
        platform.peers[1].wait_for_connection() && platform.peers[1].wait_for_connection(),
        "the filler of the backlog and then the waiting connection are accepted"
    );
    kept.respond_value("w");
    assert_eq!(busy.read_answer(), "w");
    busy.get("leer", &other);
    assert_eq!(platform.peers[1].next_request().words[1], other, "the unneeded hedged request is not sent");
}
