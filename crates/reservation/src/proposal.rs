//! Proposals: the log entries that change the book.

use crate::booking::{BookingId, BookingRequest};
use crate::capacity::{Capacity, Freeze};
use crate::limits::MAX_FREEZES;
use crate::slice::SliceAllocation;
use crate::span::Micros;
use serde::{Deserialize, Serialize};

/// A log entry that changes the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Requests a booking for a team.
    Book(BookingRequest),
    /// Releases the remaining windows of a team's booking.
    Cancel(BookingId),
    /// Changes the capacity.
    SetCapacity(Capacity),
    /// Replaces all freezes.
    SetFreezes(Vec<Freeze>),
    /// Sets the number of balancers, among which later bookings divide their static parts.
    SetFleetSize(u16),
    /// Allocates slices; proposed by the leader.
    AllocateSlices(SliceAllocation),
    /// Releases the current window of a booking that has not been used in it.
    NoShow {
        /// The booking.
        booking: BookingId,
        /// The start of the window.
        from: Micros,
    },
}

impl Proposal {
    pub(crate) fn is_valid(&self) -> bool {
        match self {
            Proposal::SetCapacity(capacity) => capacity.is_valid(),
            Proposal::SetFreezes(freezes) => {
                freezes.len() <= MAX_FREEZES && freezes.iter().all(|freeze| freeze.span.from < freeze.span.to)
            }
            _ => true,
        }
    }
}
