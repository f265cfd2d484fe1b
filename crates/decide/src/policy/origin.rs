//! When the origin is asked: a fetch rate that is learned from its answers, enforced by the warm-up limiter.

use super::context::Context;
use super::limiter::WarmUpLimiter;
use super::windows::RATE_WINDOW_US;
use crate::api::{Micros, Outcome, Settings};
use crate::decaying_counter::DecayingCounter;
use crate::in_flight::{InFlightRequest, Priority};

const START_PER_ENDPOINT: f64 = 10.0; // first rate: fetches/s per endpoint, split over balancers ...
const START_PER_OBJECTIVE: f64 = 2.0; // ... and at least this many within the shortest latency objective
const FLOOR_FRACTION: f64 = 0.1; // lowest rate, of the first: fewer fetches would not show a recovery
const RAISE: f64 = 1.5; // rate raise per round trip, while the limiter binds and outcomes are good
const CUT: f64 = 0.7; // after errors and timeouts: to this part of what the origin serves, per round trip
const LATE_CUT: f64 = 0.95; // and after late answers, which were served and stored: gently
const MIN_SERVED_FRACTION: f64 = 0.5; // of the rate: the least that the origin is taken to serve
const BAD_SHARE: f64 = 0.45; // smoothed share of bad outcomes that cuts: one slow fetch is no congestion
const BAD_GAIN: f64 = 0.3; // weight of one outcome in that share
const RESET_GAIN: f64 = 0.1; // weight of a reset in it: connections also break when nothing is slow
const LATENCY_GAIN: f64 = 0.15; // weight of one outcome in the smoothed latency
const CLOSE_IDLE_SHARE: f64 = 0.3; // from this smoothed share on, idle connections to the origin are closed
const FETCH_FRACTION: f64 = 0.02; // of the time to the objective, for a fetch alone: for each balancer ...
const FETCH_FRACTION_FROM: u32 = 10; // ... beyond this many

/// The fetch rate: raised while the limiter binds and fetches are good, cut when they are not.
#[derive(Debug, Default)]
struct FetchRate {
    per_s: f64,
    first_per_s: f64,
    latency_us: f64,
    bad_share: f64,
    is_binding: bool,
    next_change_at: Micros,
    served: DecayingCounter,
}

impl FetchRate {
    /// Learns from one outcome of the origin, never from the limiter's own rejections.
    fn learn(&mut self, now: Micros, latency_us: Micros, outcome: Outcome, in_time: bool) {
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
            return; // fetches sent before the last change say nothing of it
        }
        let congested = self.bad_share > BAD_SHARE;
        if good && !congested && self.is_binding {
            self.change(self.per_s * RAISE, now);
        } else if !good && congested {
            let cut = if served { LATE_CUT } else { CUT };
            let least = FLOOR_FRACTION * self.first_per_s;
            self.change((cut * self.served_per_s(now)).max(least), now);
        }
    }

    fn served_per_s(&self, now: Micros) -> f64 {
        let served = self.served.value(now, RATE_WINDOW_US);
        served.clamp(MIN_SERVED_FRACTION * self.per_s, self.per_s)
    }

    /// Changes the rate, at most once per round trip.
    fn change(&mut self, per_s: f64, now: Micros) {
        self.per_s = per_s;
        self.is_binding = false;
        self.next_change_at = now + self.latency_us as Micros;
    }
}

/// Limits the fetches to the rate that the origin serves well.
#[derive(Debug, Default)]
pub(super) struct OriginLimiter {
    rate: FetchRate,
    limiter: WarmUpLimiter,
}

impl OriginLimiter {
    /// Whether [`OriginLimiter::start`] was called.
    pub(super) fn is_started(&self) -> bool {
        self.rate.per_s != 0.0
    }

    /// Sets the first rate, by the number of ready cache endpoints and the shortest latency objective.
    pub(super) fn start(&mut self, ready: u32, objective_us: f64, context: &Context) {
        let share = START_PER_ENDPOINT * f64::from(ready) / f64::from(context.settings.balancers);
        let per_s = share.max(START_PER_OBJECTIVE * 1e6 / objective_us);
        self.rate.per_s = per_s;
        self.rate.first_per_s = per_s;
        self.limiter = WarmUpLimiter::new(per_s, context.now);
    }

    /// Learns from the outcome of a request's fetch or write.
    pub(super) fn record(
        &mut self, in_flight: &InFlightRequest, outcome: Outcome, latency_us: Micros, context: &Context,
    ) {
        // Time lost at slow cache endpoints before is no fault of a fetch that took a small part of it.
        let max_us = fetch_fraction(&context.settings) * in_flight.objective_span_us();
        let in_time = context.now <= in_flight.objective_at || latency_us as f64 <= max_us;
        self.rate.learn(context.now, latency_us, outcome, in_time);
        self.limiter.set_rate(self.rate.per_s, context.now);
    }

    /// Whether so many fetches fail that idle connections would take places that a struggling origin needs.
    pub(super) fn should_close_idle(&self) -> bool {
        self.rate.bad_share > CLOSE_IDLE_SHARE
    }

    /// Reserves a permit for a fetch, and returns when it may be sent; `None` when that would be too late.
    pub(super) fn try_reserve(&mut self, in_flight: &InFlightRequest, context: &Context) -> Option<Micros> {
        let now = context.now;
        let latest = in_flight.useful_until.saturating_sub(self.latency_us());
        // A permit within the same tick is no wait: the times of a batch of events are no finer.
        let max_wait_us = match in_flight.priority {
            Priority::Normal => latest.saturating_sub(now),
            Priority::Low | Priority::OverQuota => context.settings.tick_us,
        };
        let granted = self.limiter.try_reserve(now, max_wait_us);
        self.rate.is_binding |= granted.is_none_or(|at| at > now);
        granted
    }

    /// Takes a permit for a write, which loads the origin as a fetch does but is sent at once.
    pub(super) fn reserve_for_write(&mut self, now: Micros) {
        self.limiter.reserve(now);
    }

    /// How long a rejected client should stay away.
    pub(super) fn retry_after_us(&self, context: &Context) -> Micros {
        let until_permit_us = self.limiter.earliest().saturating_sub(context.now);
        until_permit_us.min(context.settings.max_retry_after_us)
    }

    /// The smoothed latency of the origin.
    pub(super) fn latency_us(&self) -> Micros {
        self.rate.latency_us as Micros
    }
}

/// The part of the time to the objective that a fetch may take by itself, whatever happened before it.
fn fetch_fraction(settings: &Settings) -> f64 {
    let balancers = settings.balancers.saturating_sub(FETCH_FRACTION_FROM);
    (FETCH_FRACTION * f64::from(balancers)).min(1.0)
}
