//! A lower bound of fleet time: the timestamp that this balancer would use if it were the leader.
use crate::types::Micros;

/// The latest fleet time observed, and when it was observed on the local clock.
///
/// A leader whose clock is behind continues from this time. Only an observation ahead of the extrapolated time
/// changes it. If every timestamp from the log set it back, fleet time would fall behind by the delay of each
/// entry, and freezes would start late.
#[derive(Debug, Default)]
pub(crate) struct FleetClock {
    fleet_time: u64,
    observed_at: Micros,
}

impl FleetClock {
    /// The extrapolated fleet time; 0 before the first observation.
    pub(crate) fn now(&self, now: Micros) -> u64 {
        match self.fleet_time {
            0 => 0,
            fleet_time => fleet_time.saturating_add(now.saturating_sub(self.observed_at)),
        }
    }

    /// Raises the lower bound to `fleet_time`.
    pub(crate) fn observe(&mut self, now: Micros, fleet_time: u64) {
        if fleet_time > self.now(now) {
            self.fleet_time = fleet_time;
            self.observed_at = now;
        }
    }
}
