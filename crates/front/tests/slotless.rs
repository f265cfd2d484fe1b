//! How long connections without a slot stay open for the rest of a batch. No test waits in real time.

use front::shutdown::{Activity, Schedule, Stage};
use front::slotless::{SlotlessLoad, SlotlessTimeouts};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const SLOT_WAIT: Duration = ms(500);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn schedule(opened_at: Instant, last_input_at: Option<u64>, load: SlotlessLoad) -> Schedule {
    let last_input_at = last_input_at.map(|at| opened_at + ms(at));
    let activity = Activity {
        opened_at,
        has_sent_command: last_input_at.is_some(),
        last_answered_at: None,
        last_input_at,
        pipelines: false,
    };
    Schedule::default().without_slot(&activity, SlotlessTimeouts::new(load, SLOT_WAIT))
}

#[rstest]
#[case::low(8, 10_000, SlotlessLoad::Low)]
#[case::high(9, 749, SlotlessLoad::High)]
#[case::overdue(9, 750, SlotlessLoad::Overdue)]
fn load_grows_with_connections_and_their_wait(
    #[case] slotless: usize, #[case] waited_ms: u64, #[case] load: SlotlessLoad,
) {
    assert_eq!(SlotlessLoad::assess(slotless, ms(waited_ms), SLOT_WAIT), load);
}

#[rstest]
#[case::low(SlotlessLoad::Low, 50)]
#[case::high(SlotlessLoad::High, 50)]
#[case::overdue(SlotlessLoad::Overdue, 5)]
fn answered_connection_waits_for_rest_of_batch(#[case] load: SlotlessLoad, #[case] gap_ms: u64) {
    let opened_at = Instant::now();
    for last_input_at in [0, 1, 20] {
        let idle = schedule(opened_at, Some(last_input_at), load).close_idle_at;
        assert_eq!(idle, Some(opened_at + ms(last_input_at + gap_ms)), "after input at {last_input_at} ms");
    }
}

#[rstest]
#[case::low(SlotlessLoad::Low, 300)]
#[case::high(SlotlessLoad::High, 50)]
#[case::overdue(SlotlessLoad::Overdue, 10)]
fn silent_connection_closes_when_first_command_is_overdue(#[case] load: SlotlessLoad, #[case] until_ms: u64) {
    let opened_at = Instant::now();
    let schedule = schedule(opened_at, None, load);
    assert_eq!(schedule.close_idle_at, Some(opened_at + ms(until_ms)));
    assert_eq!(schedule.stage(opened_at + ms(until_ms) - ms(1)), Stage::Shedding);
    assert_eq!(schedule.stage(opened_at + ms(until_ms)), Stage::Finishing);
}

#[rstest]
#[case::low(SlotlessLoad::Low, 425, 50)]
#[case::high(SlotlessLoad::High, 125, 50)]
#[case::overdue(SlotlessLoad::Overdue, 25, 5)]
fn sending_connection_closes_after_answer_or_at_limit(
    #[case] load: SlotlessLoad, #[case] last_batch_ms: u64, #[case] gap_ms: u64,
) {
    let opened_at = Instant::now();
    let schedule = schedule(opened_at, Some(last_batch_ms), load);
    assert_eq!(schedule.close_idle_at, Some(opened_at + ms(last_batch_ms)));
    assert_eq!(schedule.stage(opened_at + ms(last_batch_ms + gap_ms) - ms(1)), Stage::Shedding);
    assert_eq!(schedule.stage(opened_at + ms(last_batch_ms + gap_ms)), Stage::Finishing);
}

/// Sixteen connections without a slot at a time must not delay the others past their deadlines: 80 ms here, a quarter
/// of which is the wait for a slot.
#[rstest]
#[case::high(SlotlessLoad::High)]
#[case::overdue(SlotlessLoad::Overdue)]
fn timeouts_shrink_with_short_deadlines(#[case] load: SlotlessLoad) {
    let timeouts = SlotlessTimeouts::new(load, ms(20));
    assert_eq!((timeouts.first_command, timeouts.batch_gap, timeouts.batch_span), (ms(3), ms(2), ms(5)));
}
