//! The warm-up limiter, checked against numbers calculated by hand from its formulas.
//!
//! At 20 permits per second with a warm-up of 500 ms, the stable interval is 50 ms, the cold interval 150 ms, the
//! threshold 5 permits, the maximum 5 + 2 * 500 / (50 + 150) = 10 permits, and the slope (150 - 50) / 5 = 20 ms per
//! permit.

use decide::policy::WarmUpLimiter;

const MS: u64 = 1_000;

#[test]
fn cold_permit_costs_the_area_under_the_slope() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    assert_eq!(limiter.reserve(0), 0, "the first caller does not wait");
    // From 10 stored permits to 9, which are 5 and 4 above the threshold: (150 + 130) / 2 = 140 ms.
    assert_eq!(limiter.reserve(0), 140 * MS);
    // From 9 to 8: (130 + 110) / 2 = 120 ms.
    assert_eq!(limiter.reserve(0), 260 * MS);
}

#[test]
fn permits_below_the_threshold_cost_the_stable_interval() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    let at: Vec<u64> = (0..12).map(|_| limiter.reserve(0)).collect();
    // The whole warm-up: 140 + 120 + 100 + 80 + 60 = 500 ms for the five permits above the threshold.
    assert_eq!(at[5], 500 * MS);
    // Stored permits below the threshold cost the stable interval, and so do new permits after the tenth.
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
    // The store is empty at 750 ms and gains one permit per 500 / 10 = 50 ms of idle time.
    // After 350 ms it holds 7, two of them above the threshold. From 7 to 6: (90 + 70) / 2 = 80 ms.
    assert_eq!(limiter.reserve(1_100 * MS), 1_100 * MS);
    assert_eq!(limiter.next_free_at(), 1_180 * MS);
    // Idle time beyond the warm-up fills the store to the maximum and no further: 140 ms again.
    assert_eq!(limiter.reserve(60_000 * MS), 60_000 * MS);
    assert_eq!(limiter.next_free_at(), 60_140 * MS);
}

#[test]
fn cost_of_a_permit_is_split_at_the_threshold() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    for _ in 0..10 {
        limiter.reserve(0);
    }
    // 275 ms of idle time store 5.5 permits. The half permit above the threshold costs 0.5 * (60 + 50) / 2 = 27.5 ms,
    // and the other half costs 25 ms.
    limiter.reserve(1_025 * MS);
    assert_eq!(limiter.next_free_at(), 1_025 * MS + 52_500);
}

#[test]
fn rejected_reservation_takes_no_permit() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    limiter.reserve(0);
    assert_eq!(limiter.try_reserve(0, 139 * MS), None);
    assert_eq!(limiter.try_reserve(0, 0), None);
    assert_eq!(
        limiter.try_reserve(0, 140 * MS),
        Some(140 * MS),
        "the second permit is still free at its time"
    );
}

#[test]
fn rate_change_keeps_fill_level_and_reserved_time() {
    let mut limiter = WarmUpLimiter::new(20.0, 0);
    for _ in 0..5 {
        limiter.reserve(0);
    }
    // The store is half full at 500 ms. At 40 permits per second the threshold is half of the maximum of 20, so each
    // further permit costs 25 ms.
    limiter.set_rate(40.0, 0);
    assert_eq!(limiter.reserve(0), 500 * MS, "time reserved before the change is kept");
    assert_eq!(limiter.next_free_at(), 525 * MS);
}
