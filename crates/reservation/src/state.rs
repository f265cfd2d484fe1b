//! The replicated state of the book, which is the content of a snapshot.

use crate::booking::{BookingId, BookingRequest, Tenant};
use crate::capacity_schedule::CapacitySchedule;
use crate::outcome::Outcome;
use crate::rate::{Parts, Rate};
use crate::slice::{AllocationId, Holder, HolderLease, Slice};
use crate::span::{Micros, Revision, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A window of a booking.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Window {
    pub(crate) span: Span,
    /// Whether the booking was used in the window.
    pub(crate) used: bool,
    /// The revision at which the window was released. Its rate is free only after a lease has passed since then.
    pub(crate) released_at: Option<Revision>,
}

/// A part of a window with a lower rate than granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Reduction {
    pub(crate) span: Span,
    pub(crate) rate: Rate,
}

/// A rate and the span around a time in which it is constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateSpan {
    pub(crate) rate: Rate,
    pub(crate) span: Span,
}

/// A granted booking.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Booking {
    pub(crate) request: BookingRequest,
    pub(crate) granted_at: Revision,
    /// The number of balancers that share the static parts. It is fixed, because shares of two different numbers could
    /// sum up to more than all static parts.
    pub(crate) static_shares: u16,
    pub(crate) windows: Vec<Window>,
    pub(crate) reductions: Vec<Reduction>,
    pub(crate) slices: BTreeMap<u16, Slice>,
    /// The sum of the reserved parts of all slices.
    pub(crate) allocated: Parts,
}

impl Booking {
    /// The rate at `time`; `None` outside of its windows.
    pub(crate) fn rate_at(&self, time: Micros) -> Option<RateSpan> {
        let started = self.windows.partition_point(|window| window.span.from <= time);
        let window = self.windows[..started].last()?;
        if window.released_at.is_some() || !window.span.contains(time) {
            return None;
        }
        let mut span = window.span;
        for reduction in self.reductions.iter().filter(|reduction| reduction.span.overlaps(window.span)) {
            if reduction.span.contains(time) {
                return Some(RateSpan { rate: reduction.rate, span: reduction.span });
            }
            if reduction.span.to <= time {
                span.from = span.from.max(reduction.span.to);
            } else {
                span.to = span.to.min(reduction.span.from);
            }
        }
        Some(RateSpan { rate: self.request.rate, span })
    }

    /// The window that contains `time`, released or not.
    pub(crate) fn window_at(&self, time: Micros) -> Option<&Window> {
        self.windows.iter().find(|window| window.span.contains(time))
    }
}

/// The outcome of a booking request, recorded to answer duplicates.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RecordedOutcome {
    pub(crate) outcome: Outcome,
    pub(crate) tenant: Tenant,
    pub(crate) until: Micros,
}

/// The replicated state. The book derives everything else from it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct State {
    pub(crate) revision: Revision,
    /// Fleet time of the last entry.
    pub(crate) time: Micros,
    pub(crate) fleet_size: u16,
    pub(crate) capacity: CapacitySchedule,
    pub(crate) bookings: BTreeMap<BookingId, Booking>,
    pub(crate) outcomes: BTreeMap<BookingId, RecordedOutcome>,
    pub(crate) leases: BTreeMap<u16, HolderLease>,
    /// Released windows whose rate is not free yet, by the revision of their release.
    pub(crate) released: BTreeSet<(Revision, BookingId)>,
    /// Leases renewed at or before this revision have expired.
    pub(crate) expired: Revision,
    pub(crate) last_allocation: AllocationId,
    /// When the next window or recorded outcome ends.
    pub(crate) next_expiry: Micros,
}

impl State {
    /// The lease of this incarnation of a balancer.
    pub(crate) fn lease_of(&self, holder: Holder) -> Option<&HolderLease> {
        self.leases.get(&holder.node_id).filter(|lease| lease.incarnation == holder.incarnation)
    }
}
