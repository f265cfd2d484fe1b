//! The token bucket of one slice, and the measurement of its use and demand.

use crate::booking::{BookingId, RequestClasses};
use crate::limits::{BURST_US, DYNAMIC_PARTS, MAX_RATE, RATE_ERROR, TOTAL_PARTS};
use crate::rate::{Parts, PerKind, Rate, RequestKind};
use crate::span::{Micros, Span};

/// Tokens that one request takes. The unit is a thousandth of a request a second times a microsecond.
const TOKENS_PER_REQUEST: u64 = 1_000_000_000;
/// Minimum time after which a retry is suggested, in milliseconds: one iteration of the fleet's thread.
const MIN_RETRY_AFTER_MS: u64 = 5;
/// Maximum time after which a retry is suggested, in milliseconds: the duration of a new allocation.
pub(crate) const MAX_RETRY_AFTER_MS: u64 = 500;
/// Minimum rate that counts as demand, in thousandths of a request a second. The static parts serve a lower rate.
const MIN_DEMAND: u64 = 500;

// Tokens must not overflow.
const _: () = assert!(MAX_RATE as u128 * BURST_US as u128 + (MAX_RATE as u128) < u64::MAX as u128 / 2);
const _: () = assert!(TOTAL_PARTS > DYNAMIC_PARTS);

/// The terms of a slice according to the book.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SliceTerms {
    /// The rate of the whole booking.
    pub(crate) rate: Rate,
    /// When that rate is in force, in fleet time.
    pub(crate) span: Span,
    /// The holder's parts.
    pub(crate) parts: Parts,
    /// The holder's share of the parts that no balancer holds.
    pub(crate) unallocated: Parts,
}

/// The token bucket of one slice on its holder.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    pub(crate) booking: BookingId,
    pub(crate) classes: RequestClasses,
    /// When the slice is in force, on this balancer's own clock.
    valid: Span,
    pub(crate) rate: Rate,
    /// The rate of this balancer's share of the parts that no balancer holds.
    pub(crate) unallocated: Rate,
    parts: Parts,
    tokens: PerKind<u64>,
    refilled_at: Micros,
    /// Requests that arrived since the last measurement.
    arrived: PerKind<u64>,
    /// Requests that were admitted since the last measurement.
    admitted: PerKind<u64>,
    /// The measured rate of arrivals, which falls by at most half with each measurement.
    pub(crate) demand: Rate,
    /// The rate that was not used at the last measurement.
    pub(crate) unused: Rate,
    /// Whether the last refresh found the booking in the book. Each refresh resets it.
    pub(crate) is_refreshed: bool,
}

impl TokenBucket {
    pub(crate) fn new(booking: BookingId, classes: RequestClasses, now: Micros) -> Self {
        Self {
            booking,
            classes,
            valid: Span { from: Micros::MAX, to: 0 },
            rate: Rate::default(),
            unallocated: Rate::default(),
            parts: Parts::default(),
            tokens: PerKind::default(),
            refilled_at: now,
            arrived: PerKind::default(),
            admitted: PerKind::default(),
            demand: Rate::default(),
            unused: Rate::default(),
            is_refreshed: false,
        }
    }

    /// Whether the slice is in force.
    pub(crate) fn is_valid_at(&self, now: Micros) -> bool {
        self.valid.contains(now)
    }

    /// Whether the current parts exceed `parts`, of either kind.
    pub(crate) fn exceeds(&self, parts: Parts) -> bool {
        parts.reads < self.parts.reads || parts.fetches < self.parts.fetches
    }

    /// Adopts the terms of the book. `earliest` and `latest` bound the current fleet time.
    pub(crate) fn update(&mut self, now: Micros, terms: &SliceTerms, earliest: Micros, latest: Micros) {
        self.parts = terms.parts;
        self.rate = terms.rate.part(terms.parts);
        self.unallocated = terms.rate.part(terms.unallocated);
        // Both ends allow for the largest error of the clock rates, so that the slice is never used outside of its
        // span.
        let until_start = terms.span.from.saturating_sub(earliest);
        let from = now.saturating_add(until_start).saturating_add(until_start.div_ceil(RATE_ERROR));
        let until_end = terms.span.to.saturating_sub(latest);
        let to = now.saturating_add(until_end - until_end / RATE_ERROR);
        self.valid = Span { from, to };
        self.is_refreshed = true;
        self.refill(now, now);
    }

    /// Adds the tokens for the time since the last call. Adds none for times outside of the valid span or after
    /// `lease_end`, when another holder may have the same parts.
    pub(crate) fn refill(&mut self, now: Micros, lease_end: Micros) {
        let since = self.refilled_at.max(self.valid.from);
        let elapsed = now.min(self.valid.to).min(lease_end).saturating_sub(since).min(BURST_US);
        self.refilled_at = now.max(self.refilled_at);
        let capacity = |rate: u64| if rate == 0 { 0 } else { (rate * BURST_US).max(TOKENS_PER_REQUEST) };
        let refilled = self.tokens.zip_with(self.rate, |tokens, rate| tokens + rate * elapsed);
        self.tokens = refilled.zip_with(self.rate.map(capacity), u64::min);
    }

    /// Counts a request that arrived, and takes the tokens for it if there are enough.
    pub(crate) fn try_take(&mut self, now: Micros, kind: RequestKind) -> bool {
        self.refill(now, now);
        self.count_arrival(kind);
        let tokens = self.tokens.get_mut(kind);
        if *tokens < TOKENS_PER_REQUEST {
            return false;
        }
        *tokens -= TOKENS_PER_REQUEST;
        *self.admitted.get_mut(kind) += 1;
        true
    }

    /// Counts a request that arrived.
    pub(crate) fn count_arrival(&mut self, kind: RequestKind) {
        *self.arrived.get_mut(kind) += 1;
    }

    /// The time in milliseconds until the tokens suffice for another request, within the limits for suggested retries.
    pub(crate) fn retry_after_ms(&self, kind: RequestKind) -> u64 {
        let rate = self.rate.get(kind);
        if rate == 0 {
            return MAX_RETRY_AFTER_MS;
        }
        let missing = TOKENS_PER_REQUEST.saturating_sub(self.tokens.get(kind));
        let wait_us = missing.div_ceil(rate);
        wait_us.div_ceil(1_000).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Completes a measurement of `elapsed` microseconds and starts the next one.
    pub(crate) fn measure(&mut self, elapsed: Micros) {
        let per_second = |count: u64| count.saturating_mul(TOKENS_PER_REQUEST) / elapsed.max(1);
        let arrived = self.arrived.map(per_second);
        let admitted = self.admitted.map(per_second);
        let smoothed = self.demand.zip_with(arrived, |previous, arrived| arrived.max(previous / 2));
        self.demand = smoothed.map(|rate| if rate < MIN_DEMAND { 0 } else { rate });
        self.unused = self.rate.zip_with(admitted, u64::saturating_sub);
        self.arrived = PerKind::default();
        self.admitted = PerKind::default();
    }
}
