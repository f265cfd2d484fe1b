//! A holder's request for slices, sent to the leader.

use crate::booking::BookingId;
use crate::rate::Rate;
use crate::slice::Holder;
use crate::span::{Micros, Revision};
use serde::{Deserialize, Serialize};

/// A holder's demand for a booking.
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
    /// When the holder sent the request, on its own clock.
    pub requested_at: Micros,
    /// The revision that the holder had applied.
    pub applied: Revision,
    /// The holder's demands. It has no demand for bookings that are not listed.
    pub demands: Vec<Demand>,
}
