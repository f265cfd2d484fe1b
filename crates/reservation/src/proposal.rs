//! The entries of the log.

use crate::booking::{BookingId, BookingRequest};
use crate::capacity::{Capacity, Freeze};
use crate::limits::MAX_FREEZES;
use crate::slice::SliceAllocation;
use crate::span::Micros;
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// A team requests a booking.
    Book(BookingRequest),
    /// A team releases the rest of a booking.
    Cancel(BookingId),
    /// The capacity changes.
    SetCapacity(Capacity),
    /// Replaces all freezes.
    SetFreezes(Vec<Freeze>),
    /// The number of balancers; later bookings divide their static parts among that many.
    SetFleetSize(u16),
    /// The leader allocates slices.
    AllocateSlices(SliceAllocation),
    /// A booking has not been used in its current window.
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
