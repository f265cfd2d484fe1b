//! Tests which lines are written, and the text that is appended to them.

use log_throttle::LogThrottle;
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn suppressed_lines_are_counted_on_first_line_of_next_window() {
    let throttle = LogThrottle::default();
    let written = (0..1000).filter(|_| throttle.admit_line().is_some()).count();
    assert_eq!(written, 5);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(throttle.admit_line().as_deref(), Some(" (995 similar lines suppressed)"));
    assert_eq!(throttle.admit_line().as_deref(), Some(""));
}
