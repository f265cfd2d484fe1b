//! Throttles log lines that clients or peers can cause at any rate: a few per second are written, the others are
//! counted.
//!
//! The caller writes the lines, and keeps one throttle for each kind of line.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The most lines of one kind that are written in one [`WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 5;
/// The length of the window in which the written lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Decides which lines of one kind are written. Protects the log and the thread against floods of lines.
#[derive(Debug, Default)]
pub struct LogThrottle {
    window_started_at: Cell<Option<Instant>>,
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogThrottle {
    /// Returns `None`, and counts the line as suppressed, if a line must not be written now. Otherwise returns the text
    /// to append to the line: the number of lines suppressed since the last written one, or an empty string.
    pub fn admit_line(&self) -> Option<String> {
        let now = Instant::now();
        if self.window_started_at.get().is_none_or(|started_at| now - started_at >= WINDOW) {
            self.window_started_at.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= MAX_LINES_PER_WINDOW {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(match self.suppressed.take() {
            0 => String::new(),
            suppressed => format!(" ({suppressed} similar lines suppressed)"),
        })
    }
}
