//! A holder's request for slices, sent to the leader.

use crate::booking::BookingId;
use crate::rate::Rate;
use crate::slice::Holder;
use crate::span::{Micros, Revision};
use serde::{Deserialize, Serialize};

/// The rate that a holder could use of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The booking.
    pub booking: BookingId,
    /// The rate of recent requests, admitted or not.
    pub rate: Rate,
}

/// A holder's request for slices. It also renews the holder's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRequest {
    /// The holder.
    pub holder: Holder,
    /// When it sent the request, on its own clock.
    pub requested_at: Micros,
    /// The revision that it has applied.
    pub applied: Revision,
    /// Its demands; it has none for other bookings.
    pub demands: Vec<Demand>,
}
