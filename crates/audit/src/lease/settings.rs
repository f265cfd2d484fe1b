//! The durations and quorums of leases.

use crate::Micros;

/// The rates of two monotonic clocks differ by at most one part in this many.
pub const RATE_ERROR: u64 = 1_000;

/// Requests sent during one lease: three in a row may be lost.
pub const REQUESTS_PER_LEASE: u64 = 4;

/// Upper bound on [`Settings::orphan_quorum`]. Each balancer reports to a few randomly drawn peers only, so in a large fleet
/// most peers are never heard within [`Settings::report_ttl`]. Four peers that hear nobody else are assumed to be cut off
/// by more than their own fault.
pub const MAX_ORPHAN_QUORUM: u16 = 3;

/// Requests that the quorum group may leave unanswered before it counts as lost. In the smallest fleets one request may be
/// late, or this process may have been stopped for a moment.
const REQUESTS_BEFORE_LOST: Micros = 2;

/// Large fleets need one report in this many balancers before the quorum group counts as lost.
const ROSTER_PER_REPORT: u16 = 4;

/// How long leases last, and how long the reports of peers count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Duration of a lease.
    pub lease: Micros,
    /// The rates of two clocks differ by at most one part in this many.
    pub rate_error: u64,
    /// The longest interval between two requests.
    pub request_interval: Micros,
    /// How long a peer's report on its lease counts.
    pub report_ttl: Micros,
    /// The number of balancers, which are numbered from 0.
    pub roster: u16,
    /// How many peers must report, none with a new grant, for the quorum group to count as lost.
    pub orphan_quorum: u16,
}

impl Settings {
    /// Derives the settings from the duration of a lease, the time that a report counts and the number of balancers.
    pub fn new(lease: Micros, report_ttl: Micros, roster: u16) -> Self {
        Self {
            lease,
            rate_error: RATE_ERROR,
            request_interval: (lease / REQUESTS_PER_LEASE).max(1),
            report_ttl,
            roster,
            orphan_quorum: (roster / ROSTER_PER_REPORT).clamp(1, MAX_ORPHAN_QUORUM),
        }
    }

    /// The longest duration that another clock may measure while this one measures `span`.
    pub fn max_elapsed(&self, span: Micros) -> Micros {
        span.saturating_add(self.error(span))
    }

    /// The shortest duration that another clock may measure while this one measures `span`.
    pub fn min_elapsed(&self, span: Micros) -> Micros {
        span - self.error(span)
    }

    /// How long peers may report without any new grant before the quorum group counts as lost.
    ///
    /// Leases end no sooner than three request intervals after the last grant, so the loss is known before the first lease
    /// ends.
    pub fn max_grant_gap(&self) -> Micros {
        self.request_interval.saturating_mul(REQUESTS_BEFORE_LOST).max(self.report_ttl)
    }

    /// Rounded up, so that a short duration is never taken as exact.
    fn error(&self, span: Micros) -> Micros {
        span.div_ceil(self.rate_error.max(1))
    }
}
