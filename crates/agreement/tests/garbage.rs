//! Malformed and forged messages never make a balancer panic.
mod common;
use agreement::Message;
use common::{Entry, SECOND, Sim};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn test_runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn recorded_run() -> Sim {
    let mut sim = Sim::new(1, 5, 3);
    sim.loss = 0.1;
    sim.snapshot_interval = 10;
    sim.run(3 * SECOND);
    for n in 0..30 {
        sim.propose(4, vec![n; 1_500]);
        sim.run(SECOND / 5);
    }
    sim.change_voters_at(4, Some(2), Some(3));
    sim.run(3 * SECOND);
    sim
}

/// Lets `to` handle the bytes, advances time and drops all actions. Returns whether the bytes could be decoded.
/// The effect of forged messages is not checked.
fn handle_bytes(sim: &mut Sim, from: u16, to: u16, bytes: &[u8]) -> bool {
    let Ok(message) = postcard::from_bytes::<Message<Entry>>(bytes) else { return false };
    let now = sim.now;
    sim.node(to).handle_message(now, from, message);
    sim.now += 1_000;
    let now = sim.now;
    sim.node(to).tick(now, now);
    while sim.node(to).poll().is_some() {}
    true
}

#[test]
fn random_bytes_never_panic() {
    let sim = std::cell::RefCell::new(recorded_run());
    let strategy = (0..11_u8, prop::collection::vec(any::<u8>(), 0..200), 0..4_u16, 0..4_u16);
    let result = test_runner(20_000).run(&strategy, |(kind, mut bytes, from, to)| {
        bytes.insert(0, kind);
        handle_bytes(&mut sim.borrow_mut(), from, to, &bytes);
        Ok(())
    });
    result.expect("no message makes a balancer panic");
}

#[test]
fn recorded_messages_with_changed_bytes_never_panic() {
    let mut recorded_sim = recorded_run();
    let recorded = std::mem::take(&mut recorded_sim.recorded);
    let sim = std::cell::RefCell::new(recorded_sim);
    let decoded = std::cell::Cell::new(0);
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let strategy = (any::<prop::sample::Index>(), prop::collection::vec(change, 0..3));
    let result = test_runner(40_000).run(&strategy, |(message_index, changes)| {
        let (from, to, mut bytes) = recorded[message_index.index(recorded.len())].clone();
        for (position, byte) in changes {
            let length = bytes.len();
            bytes[position.index(length)] = byte;
        }
        decoded.set(decoded.get() + u32::from(handle_bytes(&mut sim.borrow_mut(), from, to, &bytes)));
        Ok(())
    });
    result.expect("no message makes a balancer panic");
    assert!(decoded.get() > 20_000, "only {} of 40,000 messages could be decoded", decoded.get());
}
