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

/// A configuration with one class of requests, whose timeouts are a minute.
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
    let nowhere = ([127, 0, 0, 1], 1).into();
    Config {
        name: "n0".into(),
        listen: nowhere,
        inherited_descriptor: None,
        operator: None,
        folder: None,
        discovery: nowhere,
        seed: 1,
        known,
        settings: Settings { classes: vec![class], ..Settings::default() },
        names: Names::default(),
        bounds,
        gossip: None,
    }
}

/// Submits a read of key `n`, with `word` as its text and its client's id.
pub fn submit(handle: &Handle, n: u64, word: &str, received: Instant) -> Ticket {
    let word = Bytes::copy_from_slice(word.as_bytes());
    let (command, key, id, options) = (word.clone(), word.clone(), word.clone(), word);
    let call = Rc::new(Call { command, key, id, options, time_at: 0..0, value: None });
    let request = IncomingRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some(Key(n)),
        received,
        time_limit: MINUTE,
        call,
        memory: None,
    };
    handle.submit(request).unwrap()
}

/// The answer, which must be given already: a paused clock advances at once to the end of this wait.
pub async fn final_answer(ticket: Ticket) -> Answer {
    timeout(Duration::from_secs(10), ticket).await.expect("the request is answered")
}
