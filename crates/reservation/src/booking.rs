//! Requests for a booking.

use crate::limits::{MAX_WINDOW_US, MAX_WINDOWS};
use crate::rate::Rate;
use crate::span::Span;
use serde::{Deserialize, Serialize};

/// Identifies a booking. The requesting team chooses it and never uses it twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BookingId(pub u64);

/// A tenant of the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tenant(pub u32);

/// A set of request classes, one bit each. Class 32 and above is in no set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClasses(pub u32);

impl RequestClasses {
    /// Whether `class` is in the set.
    pub fn contains(self, class: u8) -> bool {
        class < 32 && self.0 >> class & 1 == 1
    }
}

/// A request for a booking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookingRequest {
    /// The booking.
    pub id: BookingId,
    /// The tenant that the booking is for.
    pub tenant: Tenant,
    /// The classes of requests that the booking admits.
    pub classes: RequestClasses,
    /// The rate in each window.
    pub rate: Rate,
    /// The windows, in order and disjoint. The caller expands recurring windows.
    pub windows: Vec<Span>,
}

impl BookingRequest {
    pub(crate) fn is_valid(&self) -> bool {
        self.has_valid_windows()
            && self.classes.0 != 0
            && self.rate != Rate::default()
            && self.rate.is_valid()
    }

    fn has_valid_windows(&self) -> bool {
        let windows = &self.windows;
        let is_ordered = windows.windows(2).all(|pair| pair[0].to <= pair[1].from);
        let has_empty = windows.iter().any(|window| window.from >= window.to);
        if windows.is_empty() || windows.len() > MAX_WINDOWS || has_empty || !is_ordered {
            return false;
        }
        let total = windows.iter().try_fold(0_u64, |sum, window| sum.checked_add(window.to - window.from));
        total.is_some_and(|total| total <= MAX_WINDOW_US)
    }
}
