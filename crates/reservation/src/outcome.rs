//! Outcomes of proposals, and events of bookings.

use crate::booking::BookingId;
use crate::rate::Rate;
use crate::span::{Micros, Span};
use serde::{Deserialize, Serialize};

/// The reason for which a booking was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// The booking does not fit into the capacity.
    Capacity,
    /// The freeze with this id rejects the booking, or no later time was found to move the booking to.
    Freeze(u32),
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The booking is granted.
    Granted {
        /// The granted windows, without the parts that have already ended.
        windows: Vec<Span>,
        /// The id of the freeze that moved the windows, if any.
        moved_by: Option<u32>,
    },
    /// The booking is rejected.
    Rejected {
        /// The reason.
        reason: RejectReason,
        /// The highest rate that fits in the requested windows.
        largest: Rate,
        /// The first window of the nearest later time at which all windows fit, if one was found within the
        /// bounds.
        next: Option<Span>,
    },
    /// No outcome is recorded: the book is full (for this tenant), all windows have ended, or the revision is
    /// already applied.
    NotRecorded,
    /// The proposal is accepted.
    Accepted,
    /// The proposal is invalid, refers to something unknown, or does not apply (a no-show of a booking in use).
    Invalid,
    /// The allocation is accepted.
    Allocated {
        /// Number of slice changes that were skipped, because the holder has no lease, the booking is unknown, or the
        /// sum would have exceeded the booking.
        skipped: u32,
    },
}

/// An event of a booking, for its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BookingEvent {
    /// The rate is reduced below the granted rate.
    Reduced {
        /// The booking.
        booking: BookingId,
        /// The reduced rate.
        rate: Rate,
        /// The start of the reduction, in fleet time.
        from: Micros,
        /// The end of the reduction, in fleet time.
        until: Micros,
    },
    /// The rate is restored to the granted rate.
    Restored {
        /// The booking.
        booking: BookingId,
        /// The end of the former reduction.
        until: Micros,
    },
}
