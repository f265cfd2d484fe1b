//! A process that is held up for a moment: what comes meanwhile is counted from when it came, not from when it is read.

mod platform;

use platform::*;
use std::time::{Duration, Instant};

/// How long the process stands still. The operators allow for 0.15 s; more sets the two clocks apart on a busy machine as well.
const HELD_UP: Duration = Duration::from_millis(400);
/// The time that the request gives.
const TIME: Duration = Duration::from_millis(1_000);
/// The rule's slack, and what a busy machine may take.
const SLACK: Duration = Duration::from_millis(200);

#[test]
fn a_request_that_comes_while_the_process_is_held_up_is_answered_in_its_time() {
    let platform = Platform::start(1);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].asked().value("x");
    assert_eq!(client.answer(), "x");
    let mut asked = Instant::now();
    platform.balancer.stopped(|| {
        client.get_within("alta", &key, TIME);
        asked = Instant::now();
        assert!(!client.answered_within(HELD_UP), "it stands still");
    });
    let _hangs = platform.peers[0].asked();
    let answer = client.answer();
    let took = asked.elapsed();
    assert!(answer.starts_with("-BUSY") || answer == "-ERR failed", "{answer}");
    assert!(took < TIME + SLACK, "answered {took:?} after it was written: it gave {TIME:?}");
}
