//! A process that is held up for a moment: what comes meanwhile is counted from when it came, not from when it is read.

mod platform;

use platform::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// How long the process stands still. The operators allow for 0.15 s; more sets the two clocks apart on a busy machine as well.
const HELD_UP: Duration = Duration::from_millis(400);
/// The time that the request gives.
const TIME: Duration = Duration::from_millis(1_000);
/// The rule's slack, and what a busy machine may take.
const SLACK: Duration = Duration::from_millis(200);

/// On what connection the request comes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum On {
    /// One that has been answered before.
    Open,
    /// One that is dialled meanwhile.
    New,
    /// One on which another request came before it, and waits as well.
    Behind,
}

#[rstest]
fn a_request_that_comes_while_the_process_is_held_up_is_answered_in_its_time(
    #[values(On::Open, On::New, On::Behind)] on: On, #[values("alta", "folio")] class: &str,
) {
    let platform = Platform::start(1);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].asked().value("x");
    assert_eq!(client.answer(), "x");
    let mut asked = Instant::now();
    platform.balancer.stopped(|| {
        if on == On::New {
            client = platform.balancer.client();
        }
        if on == On::Behind {
            client.get_within("leer", &key, TIME);
        }
        client.get_within(class, &key, TIME);
        asked = Instant::now();
        assert!(!client.answered_within(HELD_UP), "it stands still");
    });
    let _hangs = platform.peers[0].asked();
    let answers: Vec<String> = (0..if on == On::Behind { 2 } else { 1 }).map(|_| client.answer()).collect();
    let took = asked.elapsed();
    let sound = |answer: &String| answer.starts_with("-BUSY") || answer == "-ERR failed";
    assert!(answers.iter().all(sound), "{answers:?}");
    assert!(took < TIME + SLACK, "answered {took:?} after it was written: it gave {TIME:?}");
}

#[test]
fn a_request_whose_time_is_over_as_it_is_read_is_refused_and_sent_nowhere() {
    let platform = Platform::start(1);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].asked().value("x");
    assert_eq!(client.answer(), "x");
    platform.balancer.stopped(|| {
        client.get_within("leer", &key, HELD_UP / 4);
        assert!(!client.answered_within(HELD_UP), "it stands still");
    });
    let answer = client.answer();
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert!(platform.peers[0].heard_of_nothing_more(), "it is sent nowhere");
}
