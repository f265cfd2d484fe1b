//! Tests the retry schedule in isolation: the delays, the number of requests, and how they are spread out.

use discovery::Delivery;
use discovery::pace::{Failure, REJECTED_BACKOFF_MAX, RETRY_INTERVAL, RetrySchedule};
use rstest::rstest;
use std::time::Duration;

/// How long a change may take to be applied.
const DEADLINE: Duration = Duration::from_secs(6);
/// How long discovery may take to answer a request.
const RESPONSE_TIME: Duration = Duration::from_secs(1);
/// How long a request may be queued.
const QUEUEING_TIME: Duration = Duration::from_secs(2);

/// Returns the times of the requests of each balancer while every request is rejected after `wait`.
fn rejected_requests(balancers: u32, wait: Duration) -> Vec<Vec<Duration>> {
    let mut rng = fastrand::Rng::with_seed(1);
    let requests_of_one = |_| {
        let (mut schedule, mut at, mut requests) =
            (RetrySchedule::new(Delivery::Poll, balancers), Duration::ZERO, Vec::new());
        while at < Duration::from_secs(60) {
            requests.push(at);
            at += wait + schedule.next_backoff(Failure::Rejected, wait, rng.f64());
        }
        requests
    };
    (0..balancers).map(requests_of_one).collect()
}

/// Guards against pauses that grow with the number of balancers: they reached 45 s for 300 balancers, and changes were
/// received too late. Each balancer must retry within 6 s, and the requests must be spread out.
#[rstest]
#[case::ten_at_once(10, Duration::ZERO)]
#[case::ten_in_turn(10, QUEUEING_TIME)]
#[case::hundreds_at_once(300, Duration::ZERO)]
#[case::hundreds_in_turn(300, QUEUEING_TIME)]
fn rejected_balancers_retry_in_time_and_spread_out(#[case] balancers: u32, #[case] wait: Duration) {
    let requests = rejected_requests(balancers, wait);
    for balancer_requests in &requests {
        let intervals = balancer_requests.windows(2).map(|pair| pair[1] - pair[0]);
        // Discovery may recover just after a request was sent, and may queue the next one.
        assert!(
            intervals.clone().max().unwrap() + QUEUEING_TIME.max(RESPONSE_TIME) < DEADLINE,
            "{:?}",
            intervals.max()
        );
        // One request per 1.6 s in the long run, which no pause that fits into 6 s can reduce much, and a few more at
        // first.
        assert!(
            balancer_requests.len() <= 60 * 10 / 16 + 8,
            "{} requests in a minute",
            balancer_requests.len()
        );
    }
    // All balancers start at the same time: after the first requests they are spread out.
    let mut all: Vec<_> =
        requests.iter().flat_map(|one| one.iter().skip(if balancers < 100 { 4 } else { 1 })).collect();
    all.sort();
    let counts = all
        .iter()
        .map(|from| all.iter().filter(|at| **at >= *from && ***at < **from + RETRY_INTERVAL).count());
    let even_share = f64::from(balancers) * RETRY_INTERVAL.as_secs_f64()
        / wait.max(REJECTED_BACKOFF_MAX / 2).as_secs_f64();
    assert!(
        (counts.max().unwrap() as f64) < 2.5 * even_share + 5.0,
        "{balancers} balancers, {even_share} per retry interval if spread evenly"
    );
}

/// With poll delivery the sum of the delays is less than 6 s when the watch falls silent as a change arrives, the first
/// request is lost, and the next one is answered.
#[test]
fn silence_and_lost_request_fit_six_seconds() {
    let mut schedule = RetrySchedule::new(Delivery::Poll, 300);
    let lost = schedule.response_timeout()
        + schedule.next_backoff(Failure::NoResponse, schedule.response_timeout(), 1.0);
    assert!(schedule.silence_timeout(1.0) + lost + RESPONSE_TIME < DEADLINE);
    // A response head alone costs no more time than a lost request.
    assert!(schedule.retry_interval() <= lost && schedule.second_watch_silence_timeout().is_none());
    // A lost connection attempt is detected before a queued request times out.
    assert!(schedule.connect_timeout() < schedule.response_timeout());
}

#[rstest]
#[case::poll(Delivery::Poll, Duration::from_millis(750))]
#[case::push(Delivery::Push, RETRY_INTERVAL)]
fn failed_request_is_retried_soon_and_success_resets_backoff(
    #[case] delivery: Delivery, #[case] max_pause: Duration,
) {
    let mut schedule = RetrySchedule::new(delivery, 100);
    let first = schedule.next_backoff(Failure::NoResponse, Duration::ZERO, 0.5);
    assert!((0..50).all(|_| schedule.next_backoff(Failure::NoResponse, Duration::ZERO, 1.0) <= max_pause));
    schedule.reset();
    assert_eq!(schedule.next_backoff(Failure::NoResponse, Duration::ZERO, 0.5), first);
    // An agent on this machine is not overloaded by retries: a rejection has the same backoff as any other failure.
    let rejected: Vec<_> =
        (0..50).map(|_| schedule.next_backoff(Failure::Rejected, Duration::ZERO, 1.0)).collect();
    let max_rejected_pause =
        if delivery == Delivery::Push { RETRY_INTERVAL } else { REJECTED_BACKOFF_MAX.mul_f64(1.5) };
    assert!(rejected.iter().all(|pause| *pause <= max_rejected_pause) && rejected[0] > first);
}

#[rstest]
fn invalid_list_is_retried_with_growing_backoff(
    #[values(Delivery::Push, Delivery::Poll)] delivery: Delivery,
) {
    let mut schedule = RetrySchedule::new(delivery, 1);
    let pauses: Vec<_> = (0..6)
        .map(|_| schedule.next_backoff(Failure::InvalidList, Duration::ZERO, 0.5).as_millis())
        .collect();
    assert_eq!(pauses, [200, 400, 800, 1_600, 1_600, 1_600]);
}
