//! The share of idle connections that are used again, estimated from those that were left open.

use crate::Micros;

/// The time constant of the estimate. It is short because a whole population of clients can change its behaviour from one
/// second to the next.
const TIME_CONSTANT_US: f64 = 2e6;

/// How a first idle period ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleEnd {
    /// A command arrived.
    Reused,
    /// The client closed the connection.
    ClosedByClient,
    /// We ended it, which says nothing of the client.
    EndedByUs,
}

/// Estimates the share of first idle periods that end in a further command.
///
/// Periods that we end ourselves are not counted. Neither are those that begin while connections are closed for want of
/// reuse, except for samples that are left open: otherwise the estimate would see only what the closing leaves. Periods
/// that still last count as not reused.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReuseEstimate {
    reused: f64,
    unused: f64,
    lasting: usize,
    decayed_at: Micros,
}

impl ReuseEstimate {
    /// Records that a counted idle period begins.
    pub(crate) fn begin(&mut self) {
        self.lasting += 1;
    }

    /// Records that a counted idle period ends.
    pub(crate) fn end(&mut self, now: Micros, how: IdleEnd) {
        let retained = self.retained(now);
        self.reused *= retained;
        self.unused *= retained;
        self.decayed_at = now;
        self.lasting -= 1;
        match how {
            IdleEnd::Reused => self.reused += 1.0,
            IdleEnd::ClosedByClient => self.unused += 1.0,
            IdleEnd::EndedByUs => {}
        }
    }

    /// The fraction of earlier counts that is left by now.
    fn retained(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.decayed_at) as f64) / TIME_CONSTANT_US).exp()
    }

    /// The share of recent idle periods that ended in a command, from 0 to 1; 0 when there were none.
    pub(crate) fn share(&self, now: Micros) -> f64 {
        let retained = self.retained(now);
        let reused = self.reused * retained;
        let unused = self.unused * retained + self.lasting as f64;
        if reused + unused > 0.0 { reused / (reused + unused) } else { 0.0 }
    }
}
