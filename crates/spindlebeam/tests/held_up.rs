//! Requests that arrive while the process is stalled: their deadlines count from when they arrived, not from when they
//! are read.

mod platform;

use platform::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Duration of the stall. Operators allow 0.15 s; a longer stall distinguishes the two starting times even on a busy
/// machine.
const STALL: Duration = Duration::from_millis(400);
/// The deadline of the request.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Allowance of the rule, and for other load on the machine.
const ALLOWANCE: Duration = Duration::from_millis(200);

/// The connection that the request arrives on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestConnection {
    /// A connection with an answered request.
    Open,
    /// A connection that is opened during the stall.
    New,
    /// A connection on which another request arrives before it during the stall.
    Pipelined,
}

#[rstest]
fn request_arriving_during_stall_is_answered_by_its_deadline(
    #[values(RequestConnection::Open, RequestConnection::New, RequestConnection::Pipelined)]
    connection: RequestConnection,
    #[values("alta", "folio")] class: &str,
) {
    let platform = Platform::start(1);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].next_request().respond_value("x");
    assert_eq!(client.read_answer(), "x");
    let mut written = Instant::now();
    platform.balancer.while_stopped(|| {
        if connection == RequestConnection::New {
            client = platform.balancer.client();
        }
        if connection == RequestConnection::Pipelined {
            client.get_with_deadline("leer", &key, DEADLINE);
        }
        client.get_with_deadline(class, &key, DEADLINE);
        written = Instant::now();
        assert!(!client.has_answer_within(STALL), "a stopped process answered");
    });
    let _unanswered = platform.peers[0].next_request();
    let answers: Vec<String> = (0..if connection == RequestConnection::Pipelined { 2 } else { 1 })
        .map(|_| client.read_answer())
        .collect();
    let elapsed = written.elapsed();
    let is_refusal_or_failure = |answer: &String| answer.starts_with("-BUSY") || answer == "-ERR failed";
    assert!(answers.iter().all(is_refusal_or_failure), "{answers:?}");
    assert!(
        elapsed < DEADLINE + ALLOWANCE,
        "answered {elapsed:?} after it was written; its deadline is {DEADLINE:?}"
    );
}

#[test]
fn request_read_after_its_deadline_is_refused() {
    let platform = Platform::start(1);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].next_request().respond_value("x");
    assert_eq!(client.read_answer(), "x");
    platform.balancer.while_stopped(|| {
        client.get_with_deadline("leer", &key, STALL / 4);
        assert!(!client.has_answer_within(STALL), "a stopped process answered");
    });
    let answer = client.read_answer();
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert!(platform.peers[0].has_no_more_requests(), "it must not be forwarded");
}
