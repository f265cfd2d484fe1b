//! The durations and quorums of leases.

use crate::Micros;

/// The rates of two monotonic clocks differ by at most one part in `RATE_ERROR`.
pub const RATE_ERROR: u64 = 1_000;

/// Number of requests sent during one lease, of which three in a row may be lost.
pub const REQUESTS_PER_LEASE: u64 = 4;

/// Upper bound on [`LeaseSettings::orphan_quorum`]. Each balancer reports to a few randomly drawn peers only, so in a
/// large fleet no report arrives from most peers within [`LeaseSettings::report_ttl`]. Four peers that hear only each
/// other are assumed to be cut off by a fault that is not theirs alone.
pub const MAX_ORPHAN_QUORUM: u16 = 3;

/// Number of requests that the quorum group may leave unanswered before it counts as lost. One would be too few: in the
/// smallest fleets a request may be late, or this process may have been stopped briefly.
const REQUESTS_BEFORE_LOST: Micros = 2;

/// Number of balancers in the roster for each report that [`LeaseSettings::orphan_quorum`] requires, within its bounds.
const ROSTER_PER_REPORT: u16 = 4;

/// Durations of leases and reports, and the number of reports that show the loss of the quorum group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Duration of a lease.
    pub lease: Micros,
    /// The rates of two clocks differ by at most one part in `rate_error`.
    pub rate_error: u64,
    /// The longest interval between two requests.
    pub request_interval: Micros,
    /// How long a peer's report of its last grant is valid.
    pub report_ttl: Micros,
    /// The number of balancers, which are numbered from 0.
    pub roster: u16,
    /// Number of peers that must report, none of them a new grant, before the quorum group counts as lost.
    pub orphan_quorum: u16,
}

impl LeaseSettings {
    /// Derives the settings from the duration of a lease, the validity of a report and the number of balancers.
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
        span.saturating_add(self.max_clock_error(span))
    }

    /// The shortest duration that another clock may measure while this one measures `span`.
    pub fn min_elapsed(&self, span: Micros) -> Micros {
        span - self.max_clock_error(span)
    }

    /// How long peers may report without any new grant before the quorum group counts as lost.
    ///
    /// Leases end no sooner than three request intervals after the last grant, so the loss is known before the first
    /// lease ends.
    pub fn max_grant_gap(&self) -> Micros {
        self.request_interval.saturating_mul(REQUESTS_BEFORE_LOST).max(self.report_ttl)
    }

    /// The largest measurement error over `span`, rounded up so that a short duration is never treated as exact.
    fn max_clock_error(&self, span: Micros) -> Micros {
        span.div_ceil(self.rate_error.max(1))
    }
}
