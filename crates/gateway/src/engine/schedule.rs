//! The periodic tasks of the engine.

use super::{fleet, overrides};
use std::time::Duration;
use tokio::time::{Interval, MissedTickBehavior, interval};

/// The interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a summary is logged.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// The interval timers of the periodic tasks.
pub(super) struct Schedule {
    pub(super) sweep: Interval,
    pub(super) summary: Interval,
    pub(super) overrides: Interval,
    pub(super) fleet: Interval,
}

impl Schedule {
    /// Starts all interval timers.
    pub(super) fn start() -> Self {
        let mut overrides = interval(overrides::POLL_INTERVAL);
        let mut fleet = interval(fleet::POLL_INTERVAL);
        overrides.set_missed_tick_behavior(MissedTickBehavior::Delay);
        fleet.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self { sweep: interval(SWEEP_INTERVAL), summary: interval(SUMMARY_INTERVAL), overrides, fleet }
    }
}
