//! Configurations and requests for tests of the engine.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use bytes::Bytes;
use decide::api::{Class, ClassId, Effect, Key, Settings, TenantId};
use gateway::engine::{Handle, IncomingRequest, Ticket};
use gateway::setup::{Bounds, Config, Names};
use gateway::{Answer, Call};
use proto::discovery::EndpointList;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

pub const MINUTE: Duration = Duration::from_secs(60);

/// Returns a configuration with one class of requests and timeouts of one minute.
pub fn config(known: Option<EndpointList>) -> Config {
    let class = Class {
        latency_objective_us: 1_000_000,
        deadline_us: 60_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        effect: Effect::Idempotent,
    };
    let bounds = Bounds {
        clients: 1,
        peers: 9,
        held_bytes: 1 << 20,
        open: 1 << 20,
        answer_bytes: usize::MAX,
        dial: MINUTE,
        idle: MINUTE,
        longest: MINUTE,
        shortest: MINUTE,
    };
    let unused_address = ([127, 0, 0, 1], 1).into();
    Config {
        name: "n0".into(),
        listen_address: unused_address,
        inherited_descriptor: None,
        admin_address: None,
        state_folder: None,
        discovery: unused_address,
        seed: 1,
        known_endpoints: known,
        settings: Settings { classes: vec![class], ..Settings::default() },
        names: Names::default(),
        bounds,
        gossip: None,
    }
}

/// Submits a read of key `key_number`. `text` is used as the command, the key, the client's id and the options.
pub fn submit(handle: &Handle, key_number: u64, text: &str, received: Instant) -> Ticket {
    let text = Bytes::copy_from_slice(text.as_bytes());
    let (command, key, id, options) = (text.clone(), text.clone(), text.clone(), text);
    let call = Rc::new(Call { command, key, id, options, time_limit_range: 0..0, value: None });
    let request = IncomingRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some(Key(key_number)),
        received,
        time_limit: MINUTE,
        call,
        memory: None,
    };
    handle.submit(request).unwrap()
}

/// Returns the answer, which must have been sent: a paused clock advances to the timeout at once.
pub async fn final_answer(ticket: Ticket) -> Answer {
    timeout(Duration::from_secs(10), ticket).await.expect("the request has no answer after 10 s")
}
