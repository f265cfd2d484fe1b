//! How long connections without a slot stay open for the rest of a batch. No test waits in real time.

use front::shutdown::{Activity, Schedule, Stage};
use front::slotless::{Crowding, SlotlessTimes};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const SLOT_WAIT: Duration = ms(500);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn schedule(opened: Instant, input_at: Option<u64>, crowding: Crowding) -> Schedule {
    let input_at = input_at.map(|at| opened + ms(at));
    let activity =
        Activity { opened, has_asked: input_at.is_some(), answered_at: None, input_at, pipelines: false };
    Schedule::default().without_slot(&activity, SlotlessTimes::new(crowding, SLOT_WAIT))
}

#[rstest]
#[case::few(8, 10_000, Crowding::Few)]
#[case::many(9, 749, Crowding::Many)]
#[case::overdue(9, 750, Crowding::Overdue)]
fn crowding_grows_with_the_number_of_connections_and_their_wait(
    #[case] slotless: usize, #[case] waited_ms: u64, #[case] crowding: Crowding,
) {
    assert_eq!(Crowding::assess(slotless, ms(waited_ms), SLOT_WAIT), crowding);
}

#[rstest]
#[case::few(Crowding::Few, 50)]
#[case::many(Crowding::Many, 50)]
#[case::overdue(Crowding::Overdue, 5)]
fn answered_connection_waits_for_the_rest_of_its_batch(#[case] crowding: Crowding, #[case] gap_ms: u64) {
    let opened = Instant::now();
    for input_at in [0, 1, 20] {
        let idle = schedule(opened, Some(input_at), crowding).idle;
        assert_eq!(idle, Some(opened + ms(input_at + gap_ms)), "after input at {input_at} ms");
    }
}

#[rstest]
#[case::few(Crowding::Few, 300)]
#[case::many(Crowding::Many, 50)]
#[case::overdue(Crowding::Overdue, 10)]
fn silent_connection_is_closed_when_its_first_command_is_overdue(
    #[case] crowding: Crowding, #[case] until_ms: u64,
) {
    let opened = Instant::now();
    let schedule = schedule(opened, None, crowding);
    assert_eq!(schedule.idle, Some(opened + ms(until_ms)));
    assert_eq!(schedule.stage(opened + ms(until_ms) - ms(1)), Stage::Shedding);
    assert_eq!(schedule.stage(opened + ms(until_ms)), Stage::Finishing);
}

#[rstest]
#[case::few(Crowding::Few, 425, 50)]
#[case::many(Crowding::Many, 125, 50)]
#[case::overdue(Crowding::Overdue, 25, 5)]
fn connection_that_goes_on_sending_is_closed_behind_an_answer_and_in_the_end_at_once(
    #[case] crowding: Crowding, #[case] last_batch_ms: u64, #[case] gap_ms: u64,
) {
    let opened = Instant::now();
    let schedule = schedule(opened, Some(last_batch_ms), crowding);
    assert_eq!(schedule.idle, Some(opened + ms(last_batch_ms)));
    assert_eq!(schedule.stage(opened + ms(last_batch_ms + gap_ms) - ms(1)), Stage::Shedding);
    assert_eq!(schedule.stage(opened + ms(last_batch_ms + gap_ms)), Stage::Finishing);
}

/// Sixteen connections without a slot at a time must not delay the others past their deadlines: 80 ms here, a quarter
/// of which is the wait for a slot.
#[rstest]
#[case::many(Crowding::Many)]
#[case::overdue(Crowding::Overdue)]
fn times_are_short_where_deadlines_are(#[case] crowding: Crowding) {
    let times = SlotlessTimes::new(crowding, ms(20));
    assert_eq!((times.first_command, times.batch_gap, times.batch_span), (ms(3), ms(2), ms(5)));
}
