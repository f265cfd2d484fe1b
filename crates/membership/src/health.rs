//! Local health (Lifeguard): how far a member may trust its own timing before it suspects others.

use crate::Micros;

/// Upper bound on the score. Timeouts are stretched to at most one more than this many times, so that a member that is always
/// slow still probes.
pub const MAX_SCORE: u64 = 4;

/// A member's estimate of its own health. Score 0 is healthy.
#[derive(Debug, Default)]
pub struct Health {
    score: u64,
    quiet_until: Micros,
}

impl Health {
    /// Records that a probe timer fired `late`, where less than `tolerance` is normal. Returns whether it was too late.
    pub fn record_timer(&mut self, late: Micros, tolerance: Micros) -> bool {
        let worse = late.checked_div(tolerance.max(1)).unwrap_or(0).min(MAX_SCORE);
        let score = if worse == 0 { self.score.saturating_sub(1) } else { self.score + worse };
        self.score = score.min(MAX_SCORE);
        worse > 0
    }

    /// Records that other members suspected this one.
    pub fn record_suspicion(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records a stall of the process. Until `quiet_until` it suspects nobody, since their answers may be queued unread.
    pub fn record_stall(&mut self, quiet_until: Micros) {
        self.score = MAX_SCORE;
        self.quiet_until = quiet_until;
    }

    /// A timeout, stretched by the score.
    pub fn stretch(&self, timeout: Micros) -> Micros {
        timeout.saturating_mul(self.score + 1)
    }

    /// How much longer not to suspect anybody; `None` if suspicions are allowed.
    pub fn quiet_for(&self, now: Micros) -> Option<Micros> {
        self.quiet_until.checked_sub(now).filter(|&left| left > 0)
    }
}
