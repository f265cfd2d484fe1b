//! The version of the state that a balancer acts on: one revision for each source of its decisions.

use serde::{Deserialize, Serialize};

/// The state that a decision was made from. Two balancers with equal versions decide from the same state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Hash of the program's name and build.
    pub program: u64,
    /// Hash of the configuration.
    pub configuration: u64,
    /// Hash of the name of the source of the endpoint list.
    pub list_source: u64,
    /// Revision of the endpoint list.
    pub list_revision: u64,
    /// Revision of the calendar of freezes.
    pub calendar: u64,
    /// Revision of the reservations.
    pub bookings: u64,
    /// Epoch of the quorum group.
    pub epoch: u64,
}

impl Version {
    /// The lag behind another version in revisions: the largest lag of any source. Endpoint lists of different
    /// sources are not compared.
    pub fn lag_behind(&self, other: &Self) -> u64 {
        let list = if self.list_source == other.list_source {
            other.list_revision.saturating_sub(self.list_revision)
        } else {
            0
        };
        let calendar = other.calendar.saturating_sub(self.calendar);
        let bookings = other.bookings.saturating_sub(self.bookings);
        list.max(calendar).max(bookings).max(other.epoch.saturating_sub(self.epoch))
    }
}
