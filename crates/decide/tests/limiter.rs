//! The warm-up limiter against numbers worked out by hand from the formulas of the design.
//!
//! At 20 permits a second with a warm-up of 500 ms: stable 50 ms, cold 150 ms, threshold 5 permits,
//! maximum 5 + 2 * 500 / (50 + 150) = 10 permits, slope (150 - 50) / 5 = 20 ms a permit.

use decide::policy::WarmUpLimiter;

const MS: u64 = 1_000;

#[test]
fn cold_start_costs_the_area_under_the_slope_and_the_next_caller_waits_for_it() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    assert_eq!(limiter.reserve(0), 0, "the first caller waits for nothing");
    // From 10 stored permits to 9: 5 and 4 above the threshold, (150 + 130) / 2 = 140 ms.
    assert_eq!(limiter.reserve(0), 140 * MS);
    // From 9 to 8: (130 + 110) / 2 = 120 ms.
    assert_eq!(limiter.reserve(0), 260 * MS);
}

#[test]
fn crossing_the_threshold_ends_the_cold_intervals() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    let at: Vec<u64> = (0..12).map(|_| limiter.reserve(0)).collect();
    // The whole warm-up: 140 + 120 + 100 + 80 + 60 = 500 ms for the five permits above the threshold.
    assert_eq!(at[5], 500 * MS);
    // Then stored permits below it cost the stable interval, and so do fresh ones after the tenth.
    assert_eq!(
        at[6..].iter().map(|t| t - 500 * MS).collect::<Vec<_>>(),
        [50, 100, 150, 200, 250, 300].map(|t| t * MS)
    );
}

#[test]
fn steady_use_keeps_the_stable_interval() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    for _ in 0..10 {
        limiter.reserve(0);
    }
    let first = limiter.next_free_at();
    assert_eq!(first, 750 * MS, "500 ms of warm-up and five permits at 50 ms");
    for n in 0..5 {
        assert_eq!(limiter.reserve(first + n * 50 * MS), first + n * 50 * MS);
    }
}

#[test]
fn idle_time_refills_the_store() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    for _ in 0..10 {
        limiter.reserve(0);
    }
    // The store is empty at 750 ms; one permit comes back each 500 / 10 = 50 ms of idleness.
    // After 350 ms there are 7, two of them above the threshold: from 7 to 6, (90 + 70) / 2 = 80 ms.
    assert_eq!(limiter.reserve(1_100 * MS), 1_100 * MS);
    assert_eq!(limiter.next_free_at(), 1_180 * MS);
    // Idleness beyond the warm-up fills it to the maximum and no further: 140 ms again.
    assert_eq!(limiter.reserve(60_000 * MS), 60_000 * MS);
    assert_eq!(limiter.next_free_at(), 60_140 * MS);
}

#[test]
fn permit_is_split_between_the_slope_and_the_level() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    for _ in 0..10 {
        limiter.reserve(0);
    }
    // 275 ms of idleness store 5.5 permits; half a permit lies above the threshold:
    // 0.5 * (60 + 50) / 2 = 27.5 ms, and the other half costs 25 ms.
    limiter.reserve(1_025 * MS);
    assert_eq!(limiter.next_free_at(), 1_025 * MS + 52_500);
}

#[test]
fn rejected_reservation_takes_no_permit() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    limiter.reserve(0);
    assert_eq!(limiter.try_reserve(0, 139 * MS), None);
    assert_eq!(limiter.try_reserve(0, 0), None);
    assert_eq!(limiter.try_reserve(0, 140 * MS), Some(140 * MS), "still the second permit's time");
}

#[test]
fn rate_change_keeps_the_fill_and_the_debt() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    for _ in 0..5 {
        limiter.reserve(0);
    }
    // Half full at 500 ms; at 40 a second half of the maximum (20) is the threshold: 25 ms each from here.
    limiter.set_rate(40.0, 0);
    assert_eq!(limiter.reserve(0), 500 * MS, "time already owed stays owed");
    assert_eq!(limiter.next_free_at(), 525 * MS);
}
