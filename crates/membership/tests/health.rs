//! A member whose own timers fire late stretches its timeouts.

use membership::health::{Health, MAX_SCORE};

#[test]
fn late_timers_stretch_timeouts_and_punctual_ones_restore_them() {
    let mut health = Health::default();
    assert!(!health.record_timer(49, 50));
    assert_eq!(health.stretch(100), 100);
    assert!(health.record_timer(50, 50));
    assert_eq!(health.stretch(100), 200);
    assert!(health.record_timer(1_000_000, 50));
    assert_eq!(health.stretch(100), 500);
    for _ in 0..MAX_SCORE {
        health.record_timer(0, 50);
    }
    assert_eq!(health.stretch(100), 100);
}
