//! Leases: who may serve, who grants, and who holds one in the others' eyes.

mod granter;
mod hearing;
mod holders;
mod holding;

pub use granter::{GRANT_EVERY, LeaseGranter};
pub use holders::LeaseHolders;
pub use holding::{Lease, LeaseState};

use crate::{FleetMicros, Micros};
use serde::{Deserialize, Serialize};

/// The rates of two monotonic clocks differ by at most one part in so many.
pub const RATE_ERROR: u64 = 1_000;

/// Asks in the span of one lease: three may be lost in a row.
pub const ASKS_PER_LEASE: u64 = 4;

/// The most others whose word is needed to say that the council is lost. Each tells only a few drawn others, so that a part of
/// a large roster is never heard within `fresh`; four of which nobody else is heard are taken for cut off by more than their own fault.
pub const MOST_WITNESSES: u16 = 3;

/// How long leases last, and how long what was heard counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a lease lasts.
    pub lease: Micros,
    /// The rates of two clocks differ by one part in so many.
    pub rate_error: u64,
    /// The longest pause between two asks.
    pub ask_every: Micros,
    /// How long another's word on its lease counts.
    pub fresh: Micros,
    /// How many balancers there are, numbered from 0.
    pub roster: u16,
    /// How many others must be heard, none granted anything new, for the council to count as lost.
    pub witnesses: u16,
}

impl Settings {
    /// The settings that follow from a lease's length, how long a word counts, and the number of balancers.
    pub fn new(lease: Micros, fresh: Micros, roster: u16) -> Self {
        Self {
            lease,
            rate_error: RATE_ERROR,
            ask_every: (lease / ASKS_PER_LEASE).max(1),
            fresh,
            roster,
            witnesses: (roster / 4).clamp(1, MOST_WITNESSES),
        }
    }

    /// The longest that another's clock may show for a span on ours.
    pub fn longer(&self, span: Micros) -> Micros {
        span.saturating_add(self.error(span))
    }

    /// The shortest that another's clock may show for a span on ours.
    pub fn shorter(&self, span: Micros) -> Micros {
        span - self.error(span)
    }

    /// How long no new grant may be known of while others are heard, until the council counts as lost. Twice the pause between asks:
    /// in the smallest of fleets an other's ask may be late or we may have been stopped a moment. Leases end no sooner than thrice that
    /// pause after the last grant, so that this is known before the first of them does.
    pub fn still(&self) -> Micros {
        self.ask_every.saturating_mul(2).max(self.fresh)
    }

    /// Rounded up, so that a short span is never taken for exact.
    fn error(&self, span: Micros) -> Micros {
        span.div_ceil(self.rate_error.max(1))
    }
}

/// A balancer asks for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks: its place in the fleet file.
    pub number: u16,
    /// Drawn at its start.
    pub incarnation: u64,
    /// Counted up with each ask of a life.
    pub serial: u64,
}

/// A lease for what was asked under this serial, once the log entry that holds it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Whose lease.
    pub number: u16,
    /// In which life: a restart inherits nothing.
    pub incarnation: u64,
    /// The ask that it answers.
    pub serial: u64,
}

/// What fleet time is, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TimeInterval {
    /// It is not earlier.
    pub earliest: FleetMicros,
    /// It is not later.
    pub latest: FleetMicros,
}
