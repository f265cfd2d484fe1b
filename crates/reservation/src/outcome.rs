//! Outcomes of proposals, and events of bookings.

use crate::booking::BookingId;
use crate::rate::Rate;
use crate::span::{Micros, Span};
use serde::{Deserialize, Serialize};

/// Why a booking was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// It does not fit the capacity.
    Capacity,
    /// This freeze rejects it, or there is no time to move it to.
    Freeze(u32),
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The booking is granted.
    Granted {
        /// The granted windows, without the parts that are past.
        windows: Vec<Span>,
        /// The freeze whose policy moved them.
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
    /// No outcome is recorded: the book is full (for this tenant), all windows are past, or the revision was
    /// applied before.
    NotRecorded,
    /// The proposal is accepted.
    Accepted,
    /// The proposal is invalid, names something unknown, or does not hold (a no-show of a booking in use).
    Invalid,
    /// The allocation is accepted.
    Allocated {
        /// Changes that were not accepted, because the sum would have exceeded the booking.
        skipped: u32,
    },
}

/// An event of a booking, for its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BookingEvent {
    /// The rate is lower than granted.
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
    /// The rate is as granted again.
    Restored {
        /// The booking.
        booking: BookingId,
        /// The end of the former reduction.
        until: Micros,
    },
}
