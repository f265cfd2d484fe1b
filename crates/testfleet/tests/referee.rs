//! Tests of the referee: each rule, kept and violated.

use std::time::{Duration, Instant};
use testfleet::cache_node::{Attempt, Ending};
use testfleet::clients::{Call, Outcome, PipelinePosition};
use testfleet::discovery::{EndpointNotification, Phase};
use testfleet::referee::{Evidence, Interruption, Violation, check_evidence};
use testfleet::runtime::Stall;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The deadline of the calls.
const DEADLINE: Duration = ms(1_000);

fn call(id: &str, at: Instant, answers: &[(u64, Outcome)]) -> Call {
    let answers = answers.iter().map(|(after, answer)| (at + ms(*after), answer.clone())).collect();
    let (written_at, deadline) = (Some(at), DEADLINE);
    let (id, class) = (id.into(), "once".into());
    Call {
        id,
        class,
        balancer: 1,
        at,
        written_at,
        deadline,
        answers,
        pipeline_position: PipelinePosition::First,
        disconnected_at: None,
    }
}

fn attempt(id: &str, endpoint: &str, at: Instant, took: Option<u64>) -> Attempt {
    let ended = took.map(|took| (at + ms(took), Ending::Answered));
    let (key, class) = ("7f".into(), "once".into());
    Attempt {
        endpoint: endpoint.into(),
        id: id.into(),
        key,
        class,
        remaining_time: None,
        balancer: Some(1),
        connection: 0,
        sent: at,
        received: at,
        ended,
    }
}

fn closed() -> Outcome {
    Outcome::Closed("end".into())
}

fn notification(at: Instant, phase: Phase) -> EndpointNotification {
    EndpointNotification { balancer: 1, endpoint: "s-0".into(), phase, at }
}

fn interruption(killed: bool, from: Instant, until: Option<Instant>) -> Interruption {
    Interruption { balancer: 1, killed, from, until, restarted: killed.then_some(until).flatten() }
}

fn violations(evidence: &Evidence) -> Vec<Violation> {
    check_evidence(&Evidence { non_idempotent: vec!["once".into()], ..evidence.clone() }).violations
}

#[test]
fn request_has_one_answer_unless_its_balancer_is_killed() {
    let at = Instant::now();
    let lost = Outcome::Lost("ended".into());
    let calls = vec![
        call("good", at, &[(5, Outcome::Served)]),
        call("none", at, &[]),
        call("two", at, &[(5, Outcome::Rejected), (6, Outcome::Served)]),
        call("lost", at, &[(10, lost)]),
    ];
    let mut evidence = Evidence { calls, ..Evidence::default() };
    let mut expected = vec![
        Violation::Unanswered("none".into()),
        Violation::AnsweredTwice("two".into()),
        Violation::Lost("lost".into(), "ended".into()),
    ];
    assert_eq!(violations(&evidence), expected);
    evidence.interruptions = vec![interruption(false, at + ms(5), None)];
    assert_eq!(violations(&evidence), expected, "a stopped balancer loses no requests");
    evidence.interruptions = vec![interruption(true, at + ms(11), None)];
    assert_eq!(violations(&evidence), expected, "killed after the request was lost");
    evidence.interruptions = vec![interruption(true, at + ms(5), Some(at + ms(7)))];
    expected.pop();
    assert_eq!(violations(&evidence), expected);
}

#[test]
fn repeated_execution_of_non_idempotent_request_is_a_violation() {
    let at = Instant::now();
    let again = |class: &str| {
        let run = |at| Attempt { class: class.into(), ..attempt("x", "origin", at, Some(1)) };
        Evidence { runs: vec![run(at), run(at + ms(500))], ..Evidence::default() }
    };
    assert_eq!(violations(&again("once")), [Violation::NonIdempotentRetried("x".into(), 2)]);
    assert!(violations(&again("read")).is_empty());
}

#[test]
fn concurrent_attempts_of_one_request_are_a_violation() {
    let at = Instant::now();
    let pair = |took| Evidence {
        attempts: vec![attempt("x", "s-1", at, took)],
        runs: vec![attempt("x", "origin", at + ms(200), Some(1))],
        ..Evidence::default()
    };
    let endpoints = ["s-1".to_owned(), "origin".to_owned()];
    let expected = [Violation::ConcurrentAttempts("x".into(), endpoints)];
    assert_eq!(violations(&pair(None)), expected);
    assert_eq!(violations(&pair(Some(260))), expected);
    assert!(violations(&pair(Some(230))).is_empty(), "within the tolerance for records");
}

#[test]
fn attempt_after_drain_notification_and_slack_is_a_violation() {
    let at = Instant::now();
    let sent = |after| vec![attempt("x", "s-0", at + ms(after), Some(1))];
    let mut evidence = Evidence {
        notifications: vec![notification(at, Phase::Draining)],
        attempts: sent(301),
        ..Evidence::default()
    };
    let expected = |after| {
        let (id, endpoint) = ("x".into(), "s-0".into());
        [Violation::SentToDrainingEndpoint { id, balancer: 1, endpoint, after: ms(after) }]
    };
    assert_eq!(violations(&evidence), expected(301));
    evidence.notifications.push(notification(at + ms(200), Phase::Gone));
    assert_eq!(violations(&evidence), expected(301), "a second notification does not extend the time");
    evidence.notifications.push(notification(at + ms(250), Phase::Ready));
    assert!(violations(&evidence).is_empty(), "notified that the endpoint is ready again");
    evidence.notifications.truncate(1);
    evidence.interruptions = vec![interruption(false, at + ms(100), Some(at + ms(900)))];
    evidence.attempts = sent(1_100);
    assert!(violations(&evidence).is_empty(), "read the notification only after it was continued");
    evidence.attempts = sent(1_300);
    assert_eq!(violations(&evidence), expected(400));
    evidence.interruptions = vec![interruption(true, at + ms(100), Some(at + ms(900)))];
    assert!(violations(&evidence).is_empty(), "its successor was not notified");
    evidence.attempts = sent(299);
    evidence.interruptions.clear();
    assert!(violations(&evidence).is_empty());
}

#[test]
fn dropped_records_are_a_violation() {
    assert_eq!(violations(&Evidence { dropped: 3, ..Evidence::default() }), [Violation::RecordsDropped(3)]);
}

#[test]
fn late_answer_is_a_violation_unless_balancer_was_stopped() {
    let at = Instant::now();
    let calls = vec![
        call("in time", at, &[(1_090, Outcome::Rejected)]),
        call("late", at, &[(1_400, Outcome::Rejected)]),
    ];
    let mut evidence = Evidence { calls, ..Evidence::default() };
    let late = |by| vec![Violation::AnsweredLate("late".into(), ms(by))];
    assert_eq!(violations(&evidence), late(400));
    evidence.interruptions = vec![interruption(false, at, Some(at + ms(500)))];
    assert_eq!(violations(&evidence), late(400), "stopped only before the deadline");
    evidence.interruptions = vec![interruption(false, at + ms(900), Some(at + ms(1_200)))];
    assert_eq!(violations(&evidence), late(200));
    evidence.interruptions = vec![interruption(false, at + ms(900), Some(at + ms(1_350)))];
    assert_eq!(violations(&evidence), []);
}

#[test]
fn notification_of_killed_process_does_not_bind_its_successor() {
    let at = Instant::now();
    let killed = Interruption { restarted: Some(at + ms(50)), ..interruption(true, at, Some(at + ms(200))) };
    let attempts = vec![attempt("7f", "s-0", at + ms(1_020), Some(5))];
    let draining_at = |after| notification(at + ms(after), Phase::Draining);
    let violations_with = |notifications| {
        violations(&Evidence {
            interruptions: vec![killed],
            attempts: attempts.clone(),
            notifications,
            ..Evidence::default()
        })
    };
    assert_eq!(
        violations_with(vec![draining_at(1), draining_at(1_000)]),
        [],
        "written to the killed process, then to its successor"
    );
    assert_eq!(
        violations_with(vec![draining_at(1), draining_at(60)]).len(),
        1,
        "written to the successor before it was ready"
    );
}

#[test]
fn attempt_after_disconnect_or_raced_close_is_a_violation() {
    let at = Instant::now();
    let disconnected =
        Call { disconnected_at: Some(at + ms(10)), ..call("left", at, &[(10, Outcome::ClientDisconnected)]) };
    let evidence = |after| Evidence {
        calls: vec![disconnected.clone()],
        attempts: vec![attempt("left", "s-1", at + ms(after), Some(1))],
        ..Evidence::default()
    };
    assert_eq!(violations(&evidence(160)), []);
    assert_eq!(violations(&evidence(210)), [Violation::SentAfterDisconnect("left".into(), ms(100))]);
    let stopped = vec![interruption(false, at, Some(at + ms(150)))];
    assert_eq!(violations(&Evidence { interruptions: stopped, ..evidence(190) }), []);
    let forwarded_after_close = Evidence {
        calls: vec![call("x", at, &[(10, closed())])],
        attempts: vec![attempt("x", "s-1", at, Some(1))],
        ..Evidence::default()
    };
    assert_eq!(violations(&forwarded_after_close), [Violation::ForwardedAfterClose("x".into())]);
}

#[test]
fn overstated_remaining_time_is_a_violation() {
    let at = Instant::now();
    let evidence = |remaining_time| Evidence {
        calls: vec![call("x", at, &[(10, Outcome::Served)])],
        attempts: vec![Attempt {
            remaining_time: Some(ms(remaining_time)),
            ..attempt("x", "s-1", at + ms(400), Some(1))
        }],
        ..Evidence::default()
    };
    assert_eq!(violations(&evidence(800)), []);
    assert_eq!(violations(&evidence(850)), [Violation::DeadlineOverstated("x".into(), ms(250))]);
}

#[test]
fn event_loop_stalls_do_not_count_as_lateness() {
    let at = Instant::now();
    let calls = vec![call("late", at, &[(1_400, Outcome::Rejected)])];
    let stall = |from, until| vec![Stall { from: at + ms(from), until: at + ms(until) }];
    let evidence = |stalls| Evidence { calls: calls.clone(), stalls, ..Evidence::default() };
    assert_eq!(violations(&evidence(stall(0, 900))).len(), 1, "stalled only before the deadline");
    assert_eq!(violations(&evidence(stall(1_200, 1_250))).len(), 1, "shorter than the delay");
    assert_eq!(violations(&evidence(stall(900, 1_350))), []);
}

#[test]
fn time_behind_earlier_pipelined_answers_does_not_count() {
    let at = Instant::now();
    let violations_with = |pipeline_position| {
        let calls = vec![Call { pipeline_position, ..call("late", at, &[(1_400, Outcome::Served)]) }];
        violations(&Evidence { calls, ..Evidence::default() })
    };
    assert_eq!(violations_with(PipelinePosition::UnblockedAt(at + ms(1_390))), []);
    assert_eq!(
        violations_with(PipelinePosition::UnblockedAt(at + ms(1_200))),
        [Violation::AnsweredLate("late".into(), ms(200))]
    );
    assert_eq!(violations_with(PipelinePosition::First), [Violation::AnsweredLate("late".into(), ms(400))]);
    assert_eq!(
        violations_with(PipelinePosition::Blocked),
        [],
        "the delay is attributed to the request before it"
    );
}

#[test]
fn late_close_is_not_a_race_unless_event_loop_stalled() {
    let at = Instant::now();
    let mut evidence = Evidence { calls: vec![call("x", at, &[(138, closed())])], ..Evidence::default() };
    assert_eq!(violations(&evidence), [Violation::Lost("x".into(), "end".into())]);
    evidence.stalls = vec![Stall { from: at + ms(10), until: at + ms(60) }];
    assert_eq!(check_evidence(&evidence).raced_close, 1);
    assert_eq!(violations(&evidence), []);
    evidence.stalls = vec![Stall { from: at + ms(10), until: at + ms(40) }];
    assert_eq!(
        violations(&evidence),
        [Violation::Lost("x".into(), "end".into())],
        "0.108 s without the stall"
    );
}

#[test]
fn request_closed_by_kill_is_lost_and_did_not_race_a_close() {
    let at = Instant::now();
    let mut evidence = Evidence {
        calls: vec![call("x", at, &[(7, closed())])],
        runs: vec![attempt("x", "origin", at + ms(6), Some(1))],
        ..Evidence::default()
    };
    let forwarded_after_close = [Violation::ForwardedAfterClose("x".into())];
    evidence.interruptions = vec![interruption(true, at + ms(5), Some(at + ms(300)))];
    let verdict = check_evidence(&evidence);
    assert_eq!(verdict.violations, []);
    assert_eq!((verdict.lost_with_killed, verdict.raced_close), (1, 0));
    evidence.interruptions = vec![interruption(true, at + ms(8), Some(at + ms(300)))];
    assert_eq!(violations(&evidence), forwarded_after_close, "killed after the close");
    evidence.interruptions = vec![interruption(true, at - ms(5), Some(at + ms(300)))];
    assert_eq!(
        violations(&evidence),
        forwarded_after_close,
        "written to the next process, which closed the connection"
    );
    evidence.interruptions = vec![interruption(false, at + ms(5), Some(at + ms(300)))];
    assert_eq!(violations(&evidence), forwarded_after_close, "a stopped process closes no connection");
}
