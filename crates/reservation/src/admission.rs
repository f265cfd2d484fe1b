//! Admits requests by booking: the token buckets of this balancer's slices, and its slice requests to the leader.

use crate::book::ReservationBook;
use crate::booking::{BookingId, Tenant};
use crate::limits::{
    DYNAMIC_PARTS, MAX_DEMANDS, MEASURE_US, REQUEST_INTERVAL_US, URGENT_REQUEST_INTERVAL_US,
};
use crate::rate::{Rate, RequestKind};
use crate::slice::Holder;
use crate::slice_request::{Demand, SliceRequest};
use crate::span::{Micros, Revision};
use crate::state::Booking;
use crate::token_bucket::{MAX_RETRY_AFTER_MS, SliceTerms, TokenBucket};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;

/// The bounds of the current fleet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeInterval {
    /// The earliest possible time.
    pub earliest: Micros,
    /// The latest possible time.
    pub latest: Micros,
}

/// The priority of a request, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Writes.
    Write,
    /// Unbooked reads within the tenant's quota.
    WithinShare,
    /// Requests that a booking admits.
    Booked,
    /// Requests over the tenant's quota.
    OverShare,
}

/// Whether a request is admitted by a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Admitted by the slice of this booking.
    Booked {
        /// The booking.
        booking: BookingId,
        /// The priority of the request.
        priority: Priority,
    },
    /// A booking applies, but its slice is exhausted. The request is treated like any other traffic.
    Exhausted {
        /// The booking.
        booking: BookingId,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No booking in force applies.
    NotBooked,
}

/// Admits requests under this balancer's slices.
#[derive(Clone, Debug)]
pub struct Admission {
    holder: Holder,
    buckets: FxHashMap<Tenant, Vec<TokenBucket>>,
    lease_end: Micros,
    measured_at: Micros,
    requested_at: Option<Micros>,
    /// Whether demand or slices have changed. If so, the next request is sent after the shorter interval.
    is_urgent: bool,
}

impl Admission {
    /// Creates the admission of this incarnation of a balancer, without slices.
    pub fn new(holder: Holder) -> Self {
        Self {
            holder,
            buckets: FxHashMap::default(),
            lease_end: 0,
            measured_at: 0,
            requested_at: None,
            is_urgent: true,
        }
    }

    /// Updates the token buckets from this balancer's slices in the book. The caller calls this after each applied
    /// entry, and at least every [`MEASURE_US`].
    pub fn refresh(&mut self, now: Micros, time: TimeInterval, book: &ReservationBook) {
        let previous_lease_end = self.lease_end;
        let lease = book.state.lease_of(self.holder).filter(|lease| lease.requested_at <= now);
        self.lease_end = lease.and_then(|_| book.lease_end(self.holder)).unwrap_or(0);
        for (id, booking) in &book.state.bookings {
            let Some(terms) = self.slice_terms(time.latest, book, *id, booking) else { continue };
            let buckets = self.buckets.entry(booking.request.tenant).or_default();
            let index = buckets.iter().position(|bucket| bucket.booking == *id).unwrap_or_else(|| {
                buckets.push(TokenBucket::new(*id, booking.request.classes, now));
                buckets.len() - 1
            });
            let bucket = &mut buckets[index];
            bucket.refill(now, previous_lease_end);
            // The leader can allocate the parts that this balancer loses only after the next request confirms it.
            self.is_urgent |= bucket.exceeds(terms.parts);
            bucket.update(now, &terms, time.earliest, time.latest);
        }
        self.remove_stale_buckets();
    }

    /// The terms of a booking that is in force or starts within [`MEASURE_US`]; `None` for any other.
    fn slice_terms(
        &self, fleet_time: Micros, book: &ReservationBook, id: BookingId, booking: &Booking,
    ) -> Option<SliceTerms> {
        let soon = fleet_time.saturating_add(MEASURE_US);
        let current = booking.rate_at(fleet_time).or_else(|| booking.rate_at(soon))?;
        let shares = u32::from(booking.static_shares);
        Some(SliceTerms {
            rate: current.rate,
            span: current.span,
            parts: book.parts(self.holder, id),
            unallocated: booking.allocated.map(|allocated| DYNAMIC_PARTS.saturating_sub(allocated) / shares),
        })
    }

    fn remove_stale_buckets(&mut self) {
        self.buckets.retain(|_, buckets| {
            buckets.retain_mut(|bucket| std::mem::take(&mut bucket.is_refreshed));
            !buckets.is_empty()
        });
    }

    /// Decides whether a request is admitted by a booking. The first booking with enough tokens admits it.
    pub fn admit(&mut self, now: Micros, tenant: Tenant, class: u8, kind: RequestKind) -> AdmissionDecision {
        let has_lease = now < self.lease_end;
        let mut decision = AdmissionDecision::NotBooked;
        let Some(buckets) = self.buckets.get_mut(&tenant) else { return decision };
        let applies = |bucket: &&mut TokenBucket| bucket.classes.contains(class) && bucket.is_valid_at(now);
        for bucket in buckets.iter_mut().filter(applies) {
            let booking = bucket.booking;
            if has_lease && bucket.try_take(now, kind) {
                return AdmissionDecision::Booked { booking, priority: Priority::Booked };
            }
            if !has_lease {
                bucket.count_arrival(kind);
            }
            if decision == AdmissionDecision::NotBooked {
                let retry_after_ms = if has_lease { bucket.retry_after_ms(kind) } else { MAX_RETRY_AFTER_MS };
                decision = AdmissionDecision::Exhausted { booking, retry_after_ms };
            }
            self.is_urgent = true;
        }
        decision
    }

    /// The rate that bookings did not use on this balancer over the last [`MEASURE_US`], plus this balancer's share of
    /// the parts that no balancer holds. All traffic may use this rate until a booking demands it.
    pub fn unused_rate(&self, now: Micros) -> Rate {
        let has_lease = now < self.lease_end;
        let buckets = self.buckets.values().flatten().filter(|bucket| bucket.is_valid_at(now));
        buckets.fold(Rate::default(), |sum, bucket| {
            let slice = if has_lease { bucket.unused } else { Rate::default() };
            sum.zip_with(slice, u64::saturating_add).zip_with(bucket.unallocated, u64::saturating_add)
        })
    }

    /// The rate that this balancer may use of a booking now.
    pub fn usable_rate(&self, now: Micros, booking: BookingId) -> Rate {
        let mut buckets = self.buckets.values().flatten();
        let bucket = buckets.find(|bucket| bucket.booking == booking && bucket.is_valid_at(now));
        bucket.filter(|_| now < self.lease_end).map_or(Rate::default(), |bucket| bucket.rate)
    }

    /// Returns the request to send to the leader, if one is due. `applied` is the revision of the book at the last
    /// [`Admission::refresh`].
    pub fn poll_request(&mut self, now: Micros, applied: Revision) -> Option<SliceRequest> {
        self.measure_if_due(now);
        let interval = if self.is_urgent { URGENT_REQUEST_INTERVAL_US } else { REQUEST_INTERVAL_US };
        if self.requested_at.is_some_and(|requested_at| now < requested_at.saturating_add(interval)) {
            return None;
        }
        self.requested_at = Some(now);
        self.is_urgent = false;
        Some(SliceRequest { holder: self.holder, requested_at: now, applied, demands: self.demands() })
    }

    fn measure_if_due(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.measured_at);
        let is_due = elapsed >= MEASURE_US || (self.is_urgent && elapsed >= URGENT_REQUEST_INTERVAL_US);
        if is_due {
            self.measured_at = now;
            for bucket in self.buckets.values_mut().flatten() {
                bucket.measure(elapsed);
            }
        }
    }

    /// The demands, the largest first, at most [`MAX_DEMANDS`].
    fn demands(&self) -> Vec<Demand> {
        let in_demand = self.buckets.values().flatten().filter(|bucket| bucket.demand != Rate::default());
        let demands = in_demand.map(|bucket| Demand { booking: bucket.booking, rate: bucket.demand });
        let mut demands: Vec<_> = demands.collect();
        demands.sort_by_key(|demand| {
            let Demand { booking, rate } = *demand;
            (Reverse(rate.reads.max(rate.fetches)), booking)
        });
        demands.truncate(MAX_DEMANDS);
        demands
    }

    /// The number of token buckets, for limits and metrics.
    pub fn bucket_count(&self) -> usize {
        self.buckets.values().map(Vec::len).sum()
    }
}
