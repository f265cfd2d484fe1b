//! What comes while a request still waits to be taken by the core: its client leaves, or its host drains.

use bytes::{Bytes, BytesMut};
use decide::api::{Class, ClassId, Effect, Key, Settings, TenantId};
use gateway::engine::{Engine, Handle, IncomingRequest, Ticket};
use gateway::setup::{Bounds, Config, Names};
use proto::discovery::{EndpointList, EndpointRecord, Phase, WatchEvent};
use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use upstream::call::{Answer, Call};

const MINUTE: Duration = Duration::from_secs(60);

fn config(host: &TcpListener) -> Config {
    let (latency_objective_us, deadline_us, effect) = (60_000_000, 60_000_000, Effect::Idempotent);
    let class = Class { latency_objective_us, deadline_us, priority_weight: 1.0, late_weight: 0.0, effect };
    let (id, host_port, phase) = ("s-1".into(), host.local_addr().unwrap(), Phase::Ready);
    let (locality, flavor) = (String::new(), String::new());
    let member =
        EndpointRecord { id, host_port, locality, flavor, cell: 0, phase, size: 1.0, up_since_ms: 0 };
    let nowhere = ([127, 0, 0, 1], 1).into();
    Config {
        name: "n0".into(),
        listen: nowhere,
        inherited_descriptor: None,
        operator: None,
        folder: None,
        discovery: nowhere,
        seed: 1,
        known: Some(EndpointList { revision: 1, complete: true, members: vec![member] }),
        settings: Settings { classes: vec![class], ..Settings::default() },
        names: Names::default(),
        bounds: Bounds {
            clients: 1,
            peers: 9,
            held_bytes: 1 << 20,
            open: 9,
            answer_bytes: usize::MAX,
            dial: MINUTE,
            idle: MINUTE,
            longest: MINUTE,
            shortest: MINUTE,
        },
        gossip: None,
    }
}

fn submitted(handle: &Handle, word: &'static str) -> Ticket {
    submitted_late(handle, word, Duration::ZERO)
}

/// A request that came so long ago.
fn submitted_late(handle: &Handle, word: &'static str, ago: Duration) -> Ticket {
    let word = Bytes::from_static(word.as_bytes());
    let (command, key, id, options) = (word.clone(), word.clone(), word.clone(), word);
    let call = Rc::new(Call { command, key, id, options, time_at: 0..0, value: None });
    let (class, tenant, key) = (ClassId(0), TenantId(0), Some(Key(1)));
    handle
        .submit(IncomingRequest {
            class,
            tenant,
            key,
            received: Instant::now() - ago,
            time_limit: MINUTE,
            call,
            memory: None,
        })
        .unwrap()
}

#[tokio::test]
async fn a_request_whose_client_left_before_the_core_came_to_it_is_not_sent() {
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    let (engine, handle) = Engine::new(&config(&host));
    let (left, _stays) = (submitted(&handle, "left"), submitted(&handle, "stays"));
    drop(left);
    let asked = tokio::task::spawn_blocking(move || {
        let mut stream = host.accept().unwrap().0;
        stream.set_read_timeout(Some(MINUTE)).unwrap();
        let mut buffer = BytesMut::new();
        loop {
            if let Some(command) = proto::resp::decode_command(&mut buffer).unwrap() {
                return command.0[0].clone();
            }
            let mut chunk = [0; 512];
            let n = stream.read(&mut chunk).unwrap();
            assert!(n > 0, "a connection that is opened is used");
            buffer.extend_from_slice(&chunk[..n]);
        }
    });
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(engine.run());
    assert_eq!(tasks.run_until(asked).await.unwrap(), "stays", "the first that is asked anything");
}

#[tokio::test]
async fn a_drain_that_is_told_goes_before_the_requests_that_wait_for_the_core() {
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    host.set_nonblocking(true).unwrap();
    let config = config(&host);
    let (engine, handle) = Engine::new(&config);
    let waiting: Vec<_> = ["1", "2", "3"].map(|word| submitted(&handle, word)).into();
    let mut list = config.known.unwrap();
    list.members[0].phase = Phase::Draining;
    handle.handle_watch_event(WatchEvent::List(list));
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(engine.run());
    for ticket in waiting {
        tasks.run_until(ticket).await;
    }
    assert!(host.accept().is_err(), "it is not dialled");
}

#[tokio::test]
async fn a_request_whose_time_is_over_as_the_core_comes_to_it_is_refused_unsent() {
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    host.set_nonblocking(true).unwrap();
    let (engine, handle) = Engine::new(&config(&host));
    let over = submitted_late(&handle, "over", MINUTE);
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(engine.run());
    assert!(matches!(tasks.run_until(over).await, Answer::Refused(0)));
    assert!(host.accept().is_err(), "its host is not dialled");
}
