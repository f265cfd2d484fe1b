//! Estimates the share of idle connections that are reused, from those that were left open.

use crate::Micros;

/// The time constant of the estimate. It is short because all clients together can change their behaviour from one
/// second to the next.
const TIME_CONSTANT_US: f64 = 2e6;

/// The end of a first idle period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleEnd {
    /// A command arrived.
    Reused,
    /// The client closed the connection.
    ClosedByClient,
    /// The front closed the connection, or a command began that is not complete. This says nothing about reuse.
    Inconclusive,
}

/// Estimates the share of first idle periods that end in a further command.
///
/// Periods that the front ends are not counted. Periods that begin while the front closes idle connections early are
/// not counted either, except for samples that are left open: otherwise the estimate would include only the
/// connections that the closing leaves. Periods still in progress count as not reused.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReuseEstimate {
    reused: f64,
    unused: f64,
    in_progress: usize,
    decayed_at: Micros,
}

impl ReuseEstimate {
    /// Records that a counted idle period begins.
    pub(crate) fn begin(&mut self) {
        self.in_progress += 1;
    }

    /// Records that a counted idle period ends.
    pub(crate) fn end(&mut self, now: Micros, end: IdleEnd) {
        let retained = self.retained(now);
        self.reused *= retained;
        self.unused *= retained;
        self.decayed_at = now;
        self.in_progress -= 1;
        match end {
            IdleEnd::Reused => self.reused += 1.0,
            IdleEnd::ClosedByClient => self.unused += 1.0,
            IdleEnd::Inconclusive => {}
        }
    }

    /// The fraction of earlier counts that is left at `now`.
    fn retained(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.decayed_at) as f64) / TIME_CONSTANT_US).exp()
    }

    /// The share of recent idle periods that ended in a command, from 0 to 1; 0 when there were none.
    pub(crate) fn share(&self, now: Micros) -> f64 {
        let retained = self.retained(now);
        let reused = self.reused * retained;
        let unused = self.unused * retained + self.in_progress as f64;
        if reused + unused > 0.0 { reused / (reused + unused) } else { 0.0 }
    }
}
