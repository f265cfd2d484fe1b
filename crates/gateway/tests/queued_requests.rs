//! Requests that are queued for the engine while their client leaves, their endpoint drains, or their time limit
//! passes.

mod support;

use bytes::BytesMut;
use gateway::Answer;
use gateway::engine::{Engine, Handle, Ticket};
use proto::discovery::{EndpointList, EndpointRecord, Phase, WatchEvent};
use std::io::Read;
use std::net::TcpListener;
use support::{MINUTE, config};
use tokio::task::{LocalSet, spawn_blocking};
use tokio::time::Instant;

/// Returns a list with one ready endpoint at the listener's address.
fn list(listener: &TcpListener) -> EndpointList {
    let member = EndpointRecord {
        id: "s-1".into(),
        host_port: listener.local_addr().unwrap(),
        locality: String::new(),
        flavor: String::new(),
        cell: 0,
        phase: Phase::Ready,
        size: 1.0,
        up_since_ms: 0,
    };
    EndpointList { revision: 1, complete: true, members: vec![member] }
}

fn submit(handle: &Handle, text: &str) -> Ticket {
    support::submit(handle, 1, text, Instant::now())
}

/// Accepts a connection, and returns the name of the first command on it.
fn first_command(listener: &TcpListener) -> bytes::Bytes {
    let mut stream = listener.accept().unwrap().0;
    stream.set_read_timeout(Some(MINUTE)).unwrap();
    let mut buffer = BytesMut::new();
    loop {
        if let Some(command) = proto::resp::decode_command(&mut buffer).unwrap() {
            return command.0[0].clone();
        }
        let mut chunk = [0; 512];
        let n = stream.read(&mut chunk).unwrap();
        assert!(n > 0, "the connection was closed before a complete command");
        buffer.extend_from_slice(&chunk[..n]);
    }
}

#[tokio::test]
async fn request_whose_client_left_while_queued_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (engine, handle) = Engine::new(&config(Some(list(&listener))));
    let (left, _waiting) = (submit(&handle, "left"), submit(&handle, "stays"));
    drop(left);
    let received = spawn_blocking(move || first_command(&listener));
    let tasks = LocalSet::new();
    tasks.spawn_local(engine.run());
    assert_eq!(
        tasks.run_until(received).await.unwrap(),
        "stays",
        "the first command sent is that of the waiting client"
    );
}

#[tokio::test]
async fn drain_overtakes_queued_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let (engine, handle) = Engine::new(&config(Some(list(&listener))));
    let queued: Vec<_> = ["1", "2", "3"].map(|text| submit(&handle, text)).into();
    let mut draining = list(&listener);
    draining.members[0].phase = Phase::Draining;
    handle.publish_watch_event(WatchEvent::List(draining));
    let tasks = LocalSet::new();
    tasks.spawn_local(engine.run());
    for ticket in queued {
        tasks.run_until(ticket).await;
    }
    assert!(listener.accept().is_err(), "the endpoint is not connected to");
}

#[tokio::test]
async fn request_whose_time_ended_while_queued_is_rejected_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let (engine, handle) = Engine::new(&config(Some(list(&listener))));
    let expired = support::submit(&handle, 1, "expired", Instant::now() - MINUTE);
    let tasks = LocalSet::new();
    tasks.spawn_local(engine.run());
    assert!(matches!(tasks.run_until(expired).await, Answer::Rejected(0)));
    assert!(listener.accept().is_err(), "the endpoint is not connected to");
}
