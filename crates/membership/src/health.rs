//! Local health (Lifeguard): a member that is slow itself stretches its timeouts before it suspects other members.

use crate::Micros;

/// Upper bound on the score. Timeouts are multiplied by at most `MAX_SCORE + 1`, so that a member that is
/// always slow still probes.
pub const MAX_SCORE: u64 = 4;

/// A member's estimate of its own health. A score of 0 means healthy.
#[derive(Debug, Default)]
pub struct Health {
    score: u64,
    quiet_until: Micros,
}

impl Health {
    /// Records a probe timer that fired `late` after it was due. A delay below `tolerance` is normal. Returns
    /// true if the delay reached `tolerance`.
    pub fn record_timer(&mut self, late: Micros, tolerance: Micros) -> bool {
        let increase = late.checked_div(tolerance.max(1)).unwrap_or(0).min(MAX_SCORE);
        let score = if increase == 0 { self.score.saturating_sub(1) } else { self.score + increase };
        self.score = score.min(MAX_SCORE);
        increase > 0
    }

    /// Records that other members suspected this one.
    pub fn record_suspicion(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records a stall of the process. The member suspects nobody until `quiet_until`, because answers to its
    /// probes may still be queued unread.
    pub fn record_stall(&mut self, quiet_until: Micros) {
        self.score = MAX_SCORE;
        self.quiet_until = quiet_until;
    }

    /// Returns `timeout`, stretched by the score.
    pub fn stretch(&self, timeout: Micros) -> Micros {
        timeout.saturating_mul(self.score + 1)
    }

    /// Returns the time left in which nobody may be suspected; `None` if suspicions are allowed.
    pub fn quiet_for(&self, now: Micros) -> Option<Micros> {
        self.quiet_until.checked_sub(now).filter(|&left| left > 0)
    }
}
