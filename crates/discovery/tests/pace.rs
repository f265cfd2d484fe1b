//! The pauses between calls, by themselves: how soon, how often, and how far apart.

use discovery::Way;
use discovery::pace::{AGAIN, Failure, Pace, REJECTED_MOST};
use rstest::rstest;
use std::time::Duration;

/// A change counts as told by then, and a call that discovery answers may take so long.
const TOLD: Duration = Duration::from_secs(6);
const ANSWERED: Duration = Duration::from_secs(1);
/// What a call may wait in turn.
const IN_TURN: Duration = Duration::from_secs(2);

/// When each of so many balancers calls, from the time on at which all are turned away, each time after this wait.
fn calls(balancers: u32, wait: Duration) -> Vec<Vec<Duration>> {
    let mut rng = fastrand::Rng::with_seed(1);
    let one = |_| {
        let (mut pace, mut at, mut calls) = (Pace::new(Way::Asked, balancers), Duration::ZERO, Vec::new());
        while at < Duration::from_secs(60) {
            calls.push(at);
            at += wait + pace.backoff(Failure::Rejected, wait, rng.f64());
        }
        calls
    };
    (0..balancers).map(one).collect()
}

/// Before, the pauses grew with the number of balancers, to 45 s for 300: a change was heard long after it counted as told.
/// Now each asks within the 6 s, no oftener than these ask of it, and no two seconds see more than their share.
#[rstest]
#[case::ten_at_once(10, Duration::ZERO)]
#[case::ten_in_turn(10, IN_TURN)]
#[case::hundreds_at_once(300, Duration::ZERO)]
#[case::hundreds_in_turn(300, IN_TURN)]
fn balancers_that_are_turned_away_ask_each_in_time_and_not_as_one(
    #[case] balancers: u32, #[case] wait: Duration,
) {
    let calls = calls(balancers, wait);
    for one in &calls {
        let apart = one.windows(2).map(|pair| pair[1] - pair[0]);
        // Discovery may be back just after a call was made, and let the next one wait in turn as well.
        assert!(apart.clone().max().unwrap() + IN_TURN.max(ANSWERED) < TOLD, "{:?}", apart.max());
        // One in 1.6 s in the long run, which no pause that fits the 6 s makes much less; and a few quick ones at first.
        assert!(one.len() <= 60 * 10 / 16 + 8, "{} calls in a minute", one.len());
    }
    // All began at once: by the second call they are spread, and stay so.
    let mut all: Vec<_> =
        calls.iter().flat_map(|one| one.iter().skip(if balancers < 100 { 4 } else { 1 })).collect();
    all.sort();
    let most = all.iter().map(|from| all.iter().filter(|at| **at >= *from && ***at < **from + AGAIN).count());
    let even = f64::from(balancers) * AGAIN.as_secs_f64() / wait.max(REJECTED_MOST / 2).as_secs_f64();
    assert!((most.max().unwrap() as f64) < 2.5 * even + 5.0, "{balancers} balancers, {even} a tenth evenly");
}

/// The whole clock where calls cost: a watch fell silent as the change came, the first call is lost, the next one answered.
#[test]
fn a_silence_and_a_lost_call_fit_the_six_seconds() {
    let mut pace = Pace::new(Way::Asked, 300);
    let lost = pace.answer() + pace.backoff(Failure::NoAnswer, pace.answer(), 1.0);
    assert!(pace.silence(1.0) + lost + ANSWERED < TOLD);
    // A head alone costs no more than a lost call.
    assert!(pace.again() <= lost && pace.unspoken().is_none());
    // And a dial that is lost costs no turn.
    assert!(pace.dial() < pace.answer());
}

#[rstest]
#[case::asked(Way::Asked, Duration::from_millis(750))]
#[case::pushed(Way::Pushed, AGAIN)]
fn what_fails_is_tried_again_soon_and_success_begins_anew(#[case] way: Way, #[case] most: Duration) {
    let mut pace = Pace::new(way, 100);
    let first = pace.backoff(Failure::NoAnswer, Duration::ZERO, 0.5);
    assert!((0..50).all(|_| pace.backoff(Failure::NoAnswer, Duration::ZERO, 1.0) <= most));
    pace.sound();
    assert_eq!(pace.backoff(Failure::NoAnswer, Duration::ZERO, 0.5), first);
    // An agent on this machine that turns a call away has no more to do than one that fails otherwise.
    let rejected: Vec<_> = (0..50).map(|_| pace.backoff(Failure::Rejected, Duration::ZERO, 1.0)).collect();
    let longest = if way == Way::Pushed { AGAIN } else { REJECTED_MOST.mul_f64(1.5) };
    assert!(rejected.iter().all(|pause| *pause <= longest) && rejected[0] > first);
}

#[rstest]
fn a_list_that_cannot_be_used_is_asked_for_at_growing_pauses(#[values(Way::Pushed, Way::Asked)] way: Way) {
    let mut pace = Pace::new(way, 1);
    let pauses: Vec<_> =
        (0..6).map(|_| pace.backoff(Failure::Unusable, Duration::ZERO, 0.5).as_millis()).collect();
    assert_eq!(pauses, [200, 400, 800, 1_600, 1_600, 1_600]);
}
