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
fn used(start: Instant) -> Activity {
    Activity { opened: start, has_asked: true, answered_at: None, input_at: None, pipelines: false }
}

/// A change of the shutdown state, at this many milliseconds after the start.
#[derive(Debug, Clone, Copy)]
enum Order {
    Drain(u64),
    Undrain(u64),
    /// All requests must be answered 3.5 s later.
    Terminate(u64),
}

fn ordered(start: Instant, orders: &[Order]) -> Shutdown {
    let mut shutdown = Shutdown::default();
    for order in orders {
        match *order {
            Order::Drain(at) => shutdown.set_draining(start + ms(at), true),
            Order::Undrain(at) => shutdown.set_draining(start + ms(at), false),
            Order::Terminate(at) => shutdown.terminate(start + ms(at), ms(500), start + ms(at + 3_500)),
        }
    }
    shutdown
}

/// Each listed time is in the listed stage.
#[rstest]
#[case::none(&[], &[(0, Stage::Serving), (HOUR, Stage::Serving)])]
#[case::drain(
    &[Order::Drain(0)],
    &[(0, Stage::Serving), (1_500, Stage::Finishing), (2_500, Stage::Abandoning), (HOUR, Stage::Abandoning)]
)]
#[case::drain_twice(
    &[Order::Drain(0), Order::Drain(1_000)],
    &[(1_499, Stage::Serving), (1_500, Stage::Finishing), (2_500, Stage::Abandoning)]
)]
#[case::undrain(&[Order::Drain(0), Order::Undrain(2_000)], &[(2_000, Stage::Serving), (HOUR, Stage::Serving)])]
#[case::undrain_without_drain(&[Order::Undrain(0)], &[(0, Stage::Serving), (HOUR, Stage::Serving)])]
#[case::drain_anew(
    &[Order::Drain(0), Order::Undrain(1_000), Order::Drain(1_000)],
    &[(2_499, Stage::Serving), (2_500, Stage::Finishing), (3_500, Stage::Abandoning)]
)]
#[case::terminate(&[Order::Terminate(0)], &[(0, Stage::Serving), (3_499, Stage::Serving), (3_500, Stage::Failing)])]
#[case::drain_then_terminate(
    &[Order::Drain(0), Order::Terminate(1_000)],
    &[(1_500, Stage::Finishing), (2_500, Stage::Abandoning), (4_500, Stage::Failing)]
)]
#[case::terminate_then_drain(
    &[Order::Terminate(0), Order::Drain(1_000)],
    &[(2_499, Stage::Serving), (2_500, Stage::Finishing), (3_500, Stage::Failing)]
)]
#[case::undrain_ends_no_termination(
    &[Order::Terminate(0), Order::Drain(100), Order::Undrain(200)],
    &[(2_000, Stage::Serving), (3_500, Stage::Failing)]
)]
fn every_shutdown_in_every_stage(#[case] orders: &[Order], #[case] stages: &[(u64, Stage)]) {
    let start = Instant::now();
    let schedule = ordered(start, orders).schedule(&used(start));
    for (at, stage) in stages {
        assert_eq!(schedule.stage(start + ms(*at)), *stage, "{at} ms");
    }
}

#[test]
fn idle_connection_closes_after_its_answer_or_when_its_time_is_over() {
    let start = Instant::now();
    let shutdown = ordered(start, &[Order::Drain(0)]);
    let idle = |activity: Activity| shutdown.schedule(&activity).idle;
    assert_eq!(idle(used(start)), Some(start + ms(1_000)));
    let answered = |at| Activity { answered_at: Some(start + ms(at)), ..used(start) };
    assert_eq!(idle(answered(700)), Some(start + ms(700)));
    let silent = |at| Activity {
        opened: start + ms(at),
        has_asked: false,
        answered_at: None,
        input_at: None,
        pipelines: false,
    };
    assert_eq!(idle(silent(0)), Some(start + ms(1_000)));
    assert_eq!(idle(silent(900)), Some(start + ms(1_200)), "the first command may be in transit");
    assert_eq!(Shutdown::default().schedule(&used(start)), Schedule::default());
}

#[test]
fn batch_in_pieces_is_not_closed_under_before_its_input_has_paused() {
    let start = Instant::now();
    let shutdown = ordered(start, &[Order::Terminate(1_000)]);
    let at = |answered: Option<u64>, input: u64, pipelines| {
        let answered_at = answered.map(|at| start + ms(at));
        let activity = Activity { answered_at, input_at: Some(start + ms(input)), pipelines, ..used(start) };
        shutdown.schedule(&activity).idle
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
    let evictable =
        |pipelines| Activity { input_at: Some(start + ms(10)), pipelines, ..used(start) }.evictable_from();
    assert_eq!((evictable(true), evictable(false)), (start + ms(60), start));
}

/// The first command of a connection accepted after the end of reading is read and shed.
#[test]
fn connection_accepted_late_is_read_for_a_moment_and_closed() {
    let start = Instant::now();
    let late = Activity {
        opened: start + ms(10_000),
        has_asked: false,
        answered_at: None,
        input_at: None,
        pipelines: false,
    };
    let schedule = ordered(start, &[Order::Drain(0)]).schedule(&late);
    assert_eq!(schedule.stage(start + ms(10_000)), Stage::Shedding);
    assert_eq!(schedule.stage(start + ms(10_300)), Stage::Abandoning);
    assert_eq!(schedule.next_stage(Stage::Shedding), Some(start + ms(10_300)));
}

#[test]
fn lingering_close_ends_in_time_and_lasts_a_moment_at_least() {
    let start = Instant::now();
    let schedule = ordered(start, &[Order::Drain(0)]).schedule(&used(start));
    let until = |at| schedule.linger_until(start + ms(at), ms(100), ms(2_000));
    assert_eq!(until(0), start + ms(2_000));
    assert_eq!(until(2_500), start + ms(3_250));
    assert_eq!(until(6_000), start + ms(6_100), "the minimum applies after the scheduled end");
    let serving = Schedule::default().linger_until(start, ms(100), ms(2_000));
    assert_eq!(serving, start + ms(2_000));
}

#[test]
fn drain_is_known_during_the_end_of_the_process() {
    let start = Instant::now();
    for orders in [[Order::Drain(0), Order::Terminate(1)], [Order::Terminate(0), Order::Drain(1)]] {
        let shutdown = ordered(start, &orders);
        assert!(shutdown.is_draining() && shutdown.is_closing());
        assert_eq!(shutdown.reason(), Some("this process is ending"));
    }
    let draining = ordered(start, &[Order::Drain(0)]);
    assert_eq!(draining.reason(), Some("draining"));
    assert!(
        !draining.rejects_without_slot(start + ms(1_499)) && draining.rejects_without_slot(start + ms(1_500))
    );
    assert!(!ordered(start, &[Order::Terminate(0)]).rejects_without_slot(start + ms(3_000)));
}
