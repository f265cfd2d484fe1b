//! Which lines are written, and what is appended to them.

use log_throttle::LogThrottle;
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn flood_of_lines_is_counted_and_the_count_is_appended_in_the_next_second() {
    let throttle = LogThrottle::default();
    let written = (0..1000).filter(|_| throttle.admit_line().is_some()).count();
    assert_eq!(written, 5);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(throttle.admit_line().as_deref(), Some(" (995 similar lines suppressed)"));
    assert_eq!(throttle.admit_line().as_deref(), Some(""));
}
