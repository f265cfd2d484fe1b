//! The heartbeat of the thread: how late it comes to what it waits for.
//!
//! The program is one thread, and a process may be held up: by the system, or by a long piece of its own work. Nothing is
//! read meanwhile. A timer that falls due every [`CHECK_INTERVAL`] shows for how long: it runs that much late. [`StallMonitor`] keeps the
//! figures, and knows no timer; [`run_stall_monitor`] is the driver.
//!
//! What is read now may have come so long ago ([`StallMonitor::overdue`]): the time that a request gives counts from when it came.

use log_throttle::LogThrottle;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// How often the timer falls due. What it costs is some 40 wake-ups a second; what is known of a hold-up is exact to this.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Timers are exact to a millisecond, and a wake-up takes a part of one.
const TICK: Duration = Duration::from_millis(2);
/// A delay of the timer from which on a hold-up is logged: a tenth of the grace that drains leave.
const LOGGED: Duration = Duration::from_millis(25);

/// How late the thread runs.
#[derive(Debug)]
pub struct StallMonitor {
    /// When the timer falls due next.
    due: Cell<Instant>,
    /// The longest delay since the last report.
    longest: Cell<Duration>,
    lines: LogThrottle,
}

impl StallMonitor {
    /// A heartbeat that begins now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { due: Cell::new(now + CHECK_INTERVAL), longest: Cell::default(), lines: LogThrottle::default() }
    }

    /// When the timer falls due next.
    #[must_use]
    pub fn next_run_at(&self) -> Instant {
        self.due.get()
    }

    /// How long the timer has been overdue: what is read now came no earlier than that ago, but for a beat. None in a thread
    /// that keeps up, whose timer is off by a tick of the clock at most.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Duration {
        let late = now.saturating_duration_since(self.due.get());
        if late >= TICK { late } else { Duration::ZERO }
    }

    /// Takes in that the timer has run: yields how late it was, and is due again a beat later.
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

/// Runs the timer for as long as the program does.
pub async fn run_stall_monitor(heartbeat: Rc<StallMonitor>) {
    loop {
        sleep_until(heartbeat.next_run_at()).await;
        // What the same wake-up has brought is read first: it may have come during the hold-up.
        yield_now().await;
        let late = heartbeat.record_run(Instant::now());
        if late >= LOGGED
            && let Some(more) = heartbeat.lines.line()
        {
            log::info!("the thread was held up for {late:?}{more}");
        }
    }
}
