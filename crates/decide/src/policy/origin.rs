//! Fetches from the origin: their rate is learned from its answers and enforced by the warm-up limiter.

use super::context::Context;
use super::limiter::WarmUpLimiter;
use super::windows::RATE_WINDOW_US;
use crate::api::{Micros, Outcome, Settings};
use crate::decaying_counter::DecayingCounter;
use crate::in_flight::{InFlightRequest, Priority};

const INITIAL_PER_ENDPOINT: f64 = 10.0; // initial rate: fetches/s per endpoint, divided among the balancers
const MIN_INITIAL_PER_OBJECTIVE: f64 = 2.0; // lowest initial rate: fetches per shortest latency objective
const MIN_RATE_FRACTION: f64 = 0.1; // of the initial rate: fewer fetches would not show a recovery
const RAISE_FACTOR: f64 = 1.5; // per round trip, while the limiter binds and outcomes are good
const CUT_FACTOR: f64 = 0.7; // after errors and timeouts: this part of the served rate, per round trip
const LATE_CUT_FACTOR: f64 = 0.95; // CUT_FACTOR for late answers: higher, as they were served and stored
const MIN_SERVED_FRACTION: f64 = 0.5; // of the rate: the lowest served rate that is assumed
const MAX_BAD_SHARE: f64 = 0.45; // a higher bad share cuts the rate: one slow fetch is no congestion
const BAD_GAIN: f64 = 0.3; // weight of one outcome in the smoothed share of bad outcomes
const RESET_GAIN: f64 = 0.1; // weight of a reset in the bad share: connections also break without congestion
const LATENCY_GAIN: f64 = 0.15; // weight of one outcome in the smoothed latency
const CLOSE_IDLE_SHARE: f64 = 0.3; // above this bad share idle connections to the origin are closed
const FETCH_FRACTION_PER_BALANCER: f64 = 0.02; // of the time to the objective, for the fetch alone
const FETCH_FRACTION_FROM_BALANCERS: u32 = 10; // balancers up to this many add nothing to that fraction

/// The fetch rate: raised while the limiter binds and fetches are good, cut when they are not.
#[derive(Debug, Default)]
struct FetchRate {
    per_s: f64,
    initial_per_s: f64,
    latency_us: f64,
    bad_share: f64,
    is_binding: bool,
    next_change_at: Micros,
    served: DecayingCounter,
}

impl FetchRate {
    /// Adjusts the rate after an outcome of the origin. The limiter's own rejections do not count.
    fn record_outcome(&mut self, now: Micros, latency_us: Micros, outcome: Outcome, in_time: bool) {
        let gain = if self.latency_us == 0.0 { 1.0 } else { LATENCY_GAIN };
        self.latency_us += (latency_us as f64 - self.latency_us) * gain;
        let served = outcome == Outcome::Ok;
        let good = served && in_time;
        let weight = if outcome == Outcome::Reset { RESET_GAIN } else { BAD_GAIN };
        self.bad_share += (f64::from(u8::from(!good)) - self.bad_share) * weight;
        if served {
            self.served.increment(now, RATE_WINDOW_US);
        }
        if now < self.next_change_at {
            return; // fetches sent before the last change do not show its effect
        }
        let congested = self.bad_share > MAX_BAD_SHARE;
        if good && !congested && self.is_binding {
            self.set_rate(self.per_s * RAISE_FACTOR, now);
        } else if !good && congested {
            let cut = if served { LATE_CUT_FACTOR } else { CUT_FACTOR };
            let min_per_s = MIN_RATE_FRACTION * self.initial_per_s;
            self.set_rate((cut * self.served_per_s(now)).max(min_per_s), now);
        }
    }

    fn served_per_s(&self, now: Micros) -> f64 {
        let served = self.served.value(now, RATE_WINDOW_US);
        served.clamp(MIN_SERVED_FRACTION * self.per_s, self.per_s)
    }

    /// Sets the rate and postpones the next change by one round trip.
    fn set_rate(&mut self, per_s: f64, now: Micros) {
        self.per_s = per_s;
        self.is_binding = false;
        self.next_change_at = now + self.latency_us as Micros;
    }
}

/// Limits fetches to the rate that the origin serves well.
#[derive(Debug, Default)]
pub(super) struct OriginLimiter {
    rate: FetchRate,
    limiter: WarmUpLimiter,
}

impl OriginLimiter {
    /// Returns whether [`OriginLimiter::start`] was called.
    pub(super) fn is_started(&self) -> bool {
        self.rate.per_s != 0.0
    }

    /// Sets the initial rate, by the number of ready cache endpoints and the shortest latency objective.
    pub(super) fn start(&mut self, ready: u32, objective_us: f64, context: &Context) {
        let share = INITIAL_PER_ENDPOINT * f64::from(ready) / f64::from(context.settings.balancers);
        let per_s = share.max(MIN_INITIAL_PER_OBJECTIVE * 1e6 / objective_us);
        self.rate.per_s = per_s;
        self.rate.initial_per_s = per_s;
        self.limiter = WarmUpLimiter::new(per_s, context.now);
    }

    /// Adjusts the rate after the outcome of a request's fetch or write.
    pub(super) fn record(
        &mut self, in_flight: &InFlightRequest, outcome: Outcome, latency_us: Micros, context: &Context,
    ) {
        // A fetch that took a small part of the time is not to blame for time lost at slow cache endpoints.
        let max_us = fetch_fraction(&context.settings) * in_flight.objective_span_us();
        let in_time = context.now <= in_flight.objective_at || latency_us as f64 <= max_us;
        self.rate.record_outcome(context.now, latency_us, outcome, in_time);
        self.limiter.set_rate(self.rate.per_s, context.now);
    }

    /// Returns whether to close idle connections to the origin: so many fetches fail that they would take up
    /// connections that a struggling origin needs.
    pub(super) fn should_close_idle(&self) -> bool {
        self.rate.bad_share > CLOSE_IDLE_SHARE
    }

    /// Reserves a permit for a fetch, and returns when it may be sent; `None` if that would be too late.
    pub(super) fn try_reserve(&mut self, in_flight: &InFlightRequest, context: &Context) -> Option<Micros> {
        let now = context.now;
        let latest = in_flight.useful_until.saturating_sub(self.latency_us());
        // A permit within the same tick is no wait: the times in a batch of events are no finer.
        let max_wait_us = match in_flight.priority {
            Priority::Normal => latest.saturating_sub(now),
            Priority::Low | Priority::OverQuota => context.settings.tick_us,
        };
        let granted = self.limiter.try_reserve(now, max_wait_us);
        self.rate.is_binding |= granted.is_none_or(|at| at > now);
        granted
    }

    /// Takes a permit for a write, which loads the origin like a fetch but is sent at once.
    pub(super) fn reserve_for_write(&mut self, now: Micros) {
        self.limiter.reserve(now);
    }

    /// Returns how long a rejected client should wait before a retry.
    pub(super) fn retry_after_us(&self, context: &Context) -> Micros {
        let until_permit_us = self.limiter.next_free_at().saturating_sub(context.now);
        until_permit_us.min(context.settings.max_retry_after_us)
    }

    /// Returns the smoothed latency of the origin.
    pub(super) fn latency_us(&self) -> Micros {
        self.rate.latency_us as Micros
    }
}

/// Returns the fraction of the time to the objective within which a fetch by itself counts as in time.
fn fetch_fraction(settings: &Settings) -> f64 {
    let balancers = settings.balancers.saturating_sub(FETCH_FRACTION_FROM_BALANCERS);
    (FETCH_FRACTION_PER_BALANCER * f64::from(balancers)).min(1.0)
}
