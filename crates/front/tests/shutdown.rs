//! The schedule of a client connection in each kind of shutdown and each stage. No test waits in real time.

use front::shutdown::{Activity, Schedule, Shutdown, Stage};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const HOUR: u64 = 3_600_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A connection whose requests were all answered before any shutdown.
fn answered_connection(start: Instant) -> Activity {
    Activity {
        opened_at: start,
        has_sent_command: true,
        last_answered_at: None,
        last_input_at: None,
        pipelines: false,
    }
}

/// A change of the shutdown state, at this many milliseconds after the start.
#[derive(Debug, Clone, Copy)]
enum Change {
    Drain(u64),
    Undrain(u64),
    /// All requests must be answered 3.5 s later.
    Terminate(u64),
}

fn shutdown_after(start: Instant, changes: &[Change]) -> Shutdown {
    let mut shutdown = Shutdown::default();
    for change in changes {
        match *change {
            Change::Drain(at) => shutdown.set_draining(start + ms(at), true),
            Change::Undrain(at) => shutdown.set_draining(start + ms(at), false),
            Change::Terminate(at) => shutdown.terminate(start + ms(at), ms(500), start + ms(at + 3_500)),
        }
    }
    shutdown
}

/// At each listed time the connection is in the listed stage.
#[rstest]
#[case::none(&[], &[(0, Stage::Serving), (HOUR, Stage::Serving)])]
#[case::drain(
    &[Change::Drain(0)],
    &[(0, Stage::Serving), (1_500, Stage::Finishing), (2_500, Stage::Abandoning), (HOUR, Stage::Abandoning)]
)]
#[case::drain_twice(
    &[Change::Drain(0), Change::Drain(1_000)],
    &[(1_499, Stage::Serving), (1_500, Stage::Finishing), (2_500, Stage::Abandoning)]
)]
#[case::undrain(&[Change::Drain(0), Change::Undrain(2_000)], &[(2_000, Stage::Serving), (HOUR, Stage::Serving)])]
#[case::undrain_without_drain(&[Change::Undrain(0)], &[(0, Stage::Serving), (HOUR, Stage::Serving)])]
#[case::second_drain(
    &[Change::Drain(0), Change::Undrain(1_000), Change::Drain(1_000)],
    &[(2_499, Stage::Serving), (2_500, Stage::Finishing), (3_500, Stage::Abandoning)]
)]
#[case::terminate(&[Change::Terminate(0)], &[(0, Stage::Serving), (3_499, Stage::Serving), (3_500, Stage::Failing)])]
#[case::drain_then_terminate(
    &[Change::Drain(0), Change::Terminate(1_000)],
    &[(1_500, Stage::Finishing), (2_500, Stage::Abandoning), (4_500, Stage::Failing)]
)]
#[case::terminate_then_drain(
    &[Change::Terminate(0), Change::Drain(1_000)],
    &[(2_499, Stage::Serving), (2_500, Stage::Finishing), (3_500, Stage::Failing)]
)]
#[case::undrain_ends_no_termination(
    &[Change::Terminate(0), Change::Drain(100), Change::Undrain(200)],
    &[(2_000, Stage::Serving), (3_500, Stage::Failing)]
)]
fn stages_begin_on_schedule_in_each_kind_of_shutdown(
    #[case] changes: &[Change], #[case] stages: &[(u64, Stage)],
) {
    let start = Instant::now();
    let schedule = shutdown_after(start, changes).schedule(&answered_connection(start));
    for (at, stage) in stages {
        assert_eq!(schedule.stage(start + ms(*at)), *stage, "{at} ms");
    }
}

#[test]
fn idle_connection_closes_after_answer_or_idle_timeout() {
    let start = Instant::now();
    let shutdown = shutdown_after(start, &[Change::Drain(0)]);
    let idle = |activity: Activity| shutdown.schedule(&activity).close_idle_at;
    assert_eq!(idle(answered_connection(start)), Some(start + ms(1_000)));
    let answered = |at| Activity { last_answered_at: Some(start + ms(at)), ..answered_connection(start) };
    assert_eq!(idle(answered(700)), Some(start + ms(700)));
    let silent = |at| Activity {
        opened_at: start + ms(at),
        has_sent_command: false,
        last_answered_at: None,
        last_input_at: None,
        pipelines: false,
    };
    assert_eq!(idle(silent(0)), Some(start + ms(1_000)));
    assert_eq!(idle(silent(900)), Some(start + ms(1_200)), "the first command may be in transit");
    assert_eq!(Shutdown::default().schedule(&answered_connection(start)), Schedule::default());
}

#[test]
fn pipelined_batch_stays_open_until_its_input_pauses() {
    let start = Instant::now();
    let shutdown = shutdown_after(start, &[Change::Terminate(1_000)]);
    let at = |answered: Option<u64>, input: u64, pipelines| {
        let last_answered_at = answered.map(|at| start + ms(at));
        let activity = Activity {
            last_answered_at,
            last_input_at: Some(start + ms(input)),
            pipelines,
            ..answered_connection(start)
        };
        shutdown.schedule(&activity).close_idle_at
    };
    assert_eq!(at(Some(1_200), 1_190, true), Some(start + ms(1_240)), "the batch gap after the last input");
    assert_eq!(
        at(Some(1_300), 1_190, true),
        Some(start + ms(1_300)),
        "the input has paused for longer than the batch gap"
    );
    assert_eq!(at(Some(1_200), 1_190, false), Some(start + ms(1_200)), "a client that waits for each answer");
    assert_eq!(
        at(None, 1_480, false),
        Some(start + ms(1_530)),
        "input just before the idle timeout extends it"
    );
    let evictable = |pipelines| {
        Activity { last_input_at: Some(start + ms(10)), pipelines, ..answered_connection(start) }
            .evictable_from()
    };
    assert_eq!((evictable(true), evictable(false)), (start + ms(60), start));
}

/// The first command of a connection accepted after the end of reading is read and shed.
#[test]
fn connection_accepted_late_in_drain_is_shed_then_closed() {
    let start = Instant::now();
    let late = Activity {
        opened_at: start + ms(10_000),
        has_sent_command: false,
        last_answered_at: None,
        last_input_at: None,
        pipelines: false,
    };
    let schedule = shutdown_after(start, &[Change::Drain(0)]).schedule(&late);
    assert_eq!(schedule.stage(start + ms(10_000)), Stage::Shedding);
    assert_eq!(schedule.stage(start + ms(10_300)), Stage::Abandoning);
    assert_eq!(schedule.next_stage(Stage::Shedding), Some(start + ms(10_300)));
}

#[test]
fn lingering_close_ends_on_schedule_but_lasts_minimum() {
    let start = Instant::now();
    let schedule = shutdown_after(start, &[Change::Drain(0)]).schedule(&answered_connection(start));
    let until = |at| schedule.linger_until(start + ms(at), ms(100), ms(2_000));
    assert_eq!(until(0), start + ms(2_000));
    assert_eq!(until(2_500), start + ms(3_250));
    assert_eq!(until(6_000), start + ms(6_100), "the minimum applies after the scheduled end");
    let serving = Schedule::default().linger_until(start, ms(100), ms(2_000));
    assert_eq!(serving, start + ms(2_000));
}

#[test]
fn drain_and_termination_are_reported_together() {
    let start = Instant::now();
    for changes in [[Change::Drain(0), Change::Terminate(1)], [Change::Terminate(0), Change::Drain(1)]] {
        let shutdown = shutdown_after(start, &changes);
        assert!(shutdown.is_draining() && shutdown.is_closing());
        assert_eq!(shutdown.reason(), Some("this process is ending"));
    }
    let draining = shutdown_after(start, &[Change::Drain(0)]);
    assert_eq!(draining.reason(), Some("draining"));
    assert!(
        !draining.rejects_without_slot(start + ms(1_499)) && draining.rejects_without_slot(start + ms(1_500))
    );
    assert!(!shutdown_after(start, &[Change::Terminate(0)]).rejects_without_slot(start + ms(3_000)));
}
