//! The capacity of the fleet, and freezes.

use crate::rate::Rate;
use crate::span::{Micros, Span};
use serde::{Deserialize, Serialize};

/// Number of hours in a week.
pub(crate) const HOURS_PER_WEEK: usize = 168;

/// The capacity of the fleet from a given time until the next capacity takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// When the capacity takes effect. A time in the past is replaced by the time of the commit.
    pub from: Micros,
    /// The total rate, configured or measured.
    pub total: Rate,
    /// The rate of unbooked traffic by hour of the week: 168 values or none. Hour 0 is the hour of the Unix epoch,
    /// Thursday 0:00 UTC; the owner converts from its own week.
    pub baseline: Vec<Rate>,
}

impl Capacity {
    pub(crate) fn is_valid(&self) -> bool {
        self.total.is_valid() && (self.baseline.is_empty() || self.baseline.len() == HOURS_PER_WEEK)
    }
}

/// The effect of a freeze on a booking that overlaps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FreezePolicy {
    /// The booking is granted.
    Allow,
    /// The booking is rejected.
    Reject,
    /// All windows of the booking are moved together to the next time at which they overlap no freeze and
    /// fit.
    Move,
}

/// A span in which the fleet is frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// The owner's identifier of the freeze.
    pub id: u32,
    /// When the freeze is in force.
    pub span: Span,
    /// The policy for bookings that overlap the freeze.
    pub policy: FreezePolicy,
}
