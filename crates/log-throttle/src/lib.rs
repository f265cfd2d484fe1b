//! Log lines that others can cause at any rate: a few a second are written, the rest are counted.
//!
//! It leaves to its owner the writing itself. Owners on every floor that opens sockets use it: a try, a front, the door,
//! the other balancers.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Lines of one kind that are written a second.
const A_SECOND: u32 = 5;

/// Says which lines of one kind to write. Guards the fraction of a core, and the log, against abuse.
#[derive(Debug, Default)]
pub struct LogThrottle {
    since: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl LogThrottle {
    /// Whether to write a line now: if so, what to put behind it (how many were left out since the last, if any).
    pub fn line(&self) -> Option<String> {
        let now = Instant::now();
        if self.since.get().is_none_or(|since| now - since >= Duration::from_secs(1)) {
            self.since.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= A_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(match self.left_out.take() {
            0 => String::new(),
            n => format!(" (and {n} such lines left out)"),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_flood_of_lines_is_counted_and_the_next_second_tells() {
        let seldom = LogThrottle::default();
        let written = (0..1000).filter(|_| seldom.line().is_some()).count();
        assert_eq!(written, 5);
        tokio::time::advance(Duration::from_secs(1)).await;
        assert_eq!(seldom.line().as_deref(), Some(" (and 995 such lines left out)"));
        assert_eq!(seldom.line().as_deref(), Some(""));
    }
}
