//! Measures stalls of the event loop.
//!
//! The event loop is one thread. It stalls when the system does not schedule it or when one of its tasks runs for long,
//! and reads no input meanwhile. A timer that is due every [`CHECK_INTERVAL`] measures a stall by the delay with which
//! it runs. [`StallMonitor`] keeps the measurements; [`run_stall_monitor`] drives the timer.
//!
//! Input that is read now may have arrived up to [`StallMonitor::overdue`] ago. This matters because the time limit of
//! a request starts at its arrival.

use log_throttle::LogThrottle;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// The interval of the timer. It is the resolution of the measurement, and costs 40 wake-ups per second.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The resolution of Tokio timers, plus the time of a wake-up.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// Stalls of at least this length are logged: a tenth of the time within which a drain must be in force.
const STALL_LOG_THRESHOLD: Duration = Duration::from_millis(25);

/// Measures how late the event loop runs.
#[derive(Debug)]
pub struct StallMonitor {
    /// When the timer is due next.
    due_at: Cell<Instant>,
    /// The longest delay since the last call of [`StallMonitor::take_longest_stall`].
    longest_stall: Cell<Duration>,
    log_throttle: LogThrottle,
}

impl StallMonitor {
    /// Creates a monitor whose timer is first due one interval after `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            due_at: Cell::new(now + CHECK_INTERVAL),
            longest_stall: Cell::default(),
            log_throttle: LogThrottle::default(),
        }
    }

    /// Returns when the timer is due next.
    #[must_use]
    pub fn next_run_at(&self) -> Instant {
        self.due_at.get()
    }

    /// Returns how long the timer has been overdue. Input that is read now arrived no longer ago than that, within one
    /// interval. Zero if the event loop has not stalled: its timer is then late by the resolution of timers at most.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Duration {
        let late = now.saturating_duration_since(self.due_at.get());
        if late >= TIMER_RESOLUTION { late } else { Duration::ZERO }
    }

    /// Records a run of the timer, and returns how late it was. The timer is due again after [`CHECK_INTERVAL`].
    pub fn record_run(&self, now: Instant) -> Duration {
        let late = now.saturating_duration_since(self.due_at.get());
        self.longest_stall.set(self.longest_stall.get().max(late));
        self.due_at.set(now + CHECK_INTERVAL);
        late
    }

    /// Returns the longest delay since the last call.
    pub fn take_longest_stall(&self) -> Duration {
        self.longest_stall.take()
    }
}

/// Runs the timer of a monitor until the future is dropped.
pub async fn run_stall_monitor(monitor: Rc<StallMonitor>) {
    loop {
        sleep_until(monitor.next_run_at()).await;
        // Tasks of the same wake-up run first: they read the input that arrived during the stall, and need the overdue
        // time before it is reset.
        yield_now().await;
        let late = monitor.record_run(Instant::now());
        if late >= STALL_LOG_THRESHOLD
            && let Some(more) = monitor.log_throttle.admit_line()
        {
            log::info!("stall monitor: the event loop stalled for {late:?}{more}");
        }
    }
}
