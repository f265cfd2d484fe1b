//! Monitors how late the event loop runs.
//!
//! The program is one thread, and may stall: because of the system, or because of a long task of its own. Nothing is read meanwhile.
//! A timer that is due every [`CHECK_INTERVAL`] shows for how long: it runs that much late. [`StallMonitor`] keeps the measurements
//! and knows no timer; [`run_stall_monitor`] is the driver.
//!
//! What is read now may have arrived as long ago as [`StallMonitor::overdue`] says. The time limit of a request starts when it
//! arrived.

use log_throttle::LogThrottle;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// How often the timer is due: the resolution of a stall, at the cost of 40 wake-ups a second.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The resolution of timers, with the time of a wake-up.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// The delay from which on a stall is logged: a tenth of the time that a drain allows.
const LOGGED_STALL: Duration = Duration::from_millis(25);

/// How late the event loop runs.
#[derive(Debug)]
pub struct StallMonitor {
    /// When the timer is due next.
    due: Cell<Instant>,
    /// The longest delay since it was last taken.
    longest: Cell<Duration>,
    log_throttle: LogThrottle,
}

impl StallMonitor {
    /// A monitor that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            due: Cell::new(now + CHECK_INTERVAL),
            longest: Cell::default(),
            log_throttle: LogThrottle::default(),
        }
    }

    /// When the timer is due next.
    #[must_use]
    pub fn next_run_at(&self) -> Instant {
        self.due.get()
    }

    /// How long the timer has been overdue: what is read now arrived no earlier than that, give or take an interval. Zero in an
    /// event loop that keeps up, whose timer is late by its resolution at most.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Duration {
        let late = now.saturating_duration_since(self.due.get());
        if late >= TIMER_RESOLUTION { late } else { Duration::ZERO }
    }

    /// Records a run of the timer, and returns how late it was. It is due again after an interval.
    pub fn record_run(&self, now: Instant) -> Duration {
        let late = now.saturating_duration_since(self.due.get());
        self.longest.set(self.longest.get().max(late));
        self.due.set(now + CHECK_INTERVAL);
        late
    }

    /// The longest delay since the last call.
    pub fn take_longest_stall(&self) -> Duration {
        self.longest.take()
    }
}

/// Runs the timer until it is dropped.
pub async fn run_stall_monitor(monitor: Rc<StallMonitor>) {
    loop {
        sleep_until(monitor.next_run_at()).await;
        // Tasks of the same wake-up run first: they read what arrived during the stall, and need its length.
        yield_now().await;
        let late = monitor.record_run(Instant::now());
        if late >= LOGGED_STALL
            && let Some(more) = monitor.log_throttle.admit_line()
        {
            log::info!("stall monitor: the event loop stalled for {late:?}{more}");
        }
    }
}
