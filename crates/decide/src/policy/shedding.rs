//! Load shedding: requests of low weight first, then any read when those in flight will take too long.

use super::context::Context;
use super::endpoints::Endpoints;
use super::windows::RATE_WINDOW_US;
use crate::api::Micros;
use crate::decaying_counter::DecayingCounter;
use crate::in_flight::{InFlightRequest, Priority};
use crate::key_table::KeyAssignment;

const LOW_WEIGHT_FRACTION: f64 = 0.5; // at most this part of the best read's weight passes without a wait
const QUOTA_FACTOR: f64 = 2.0; // of an equal part of the quota: how the balancers share a tenant is not known
const QUOTA_ALLOWANCE: f64 = 2.0; // requests beyond that, so that chance alone exceeds no quota
const SHED_FRACTION: f64 = 0.6; // reads are shed when those in flight take this part of the time left
const LOW_SHED_FRACTION: f64 = 0.5 * SHED_FRACTION; // the same for requests of low priority
const MIN_IN_FLIGHT: f64 = 16.0; // but never with fewer than this many in flight
const BUSY_FROM: f64 = 8.0; // reads in flight above which a busy period begins
const YOUNG_MAX_IN_FLIGHT: f64 = 64.0; // the most in flight while a busy period is young
const YOUNG_FRACTION: f64 = 0.5; // it is young for this part of the time that sheds
const MEAN_OVER: f64 = 100.0; // reads over which the time left is averaged

/// A period in which reads are in flight without a break, and the answers since its start.
#[derive(Debug, Clone, Copy, Default)]
struct BusyPeriod {
    started_at: Micros,
    answers: f64,
}

impl BusyPeriod {
    /// Its answers, extrapolated to `window_us`; 0 once it has lasted that long.
    fn answers_per(&self, now: Micros, window_us: f64) -> f64 {
        let elapsed_us = (now.saturating_sub(self.started_at) as f64).max(1.0);
        if elapsed_us < window_us { self.answers * window_us / elapsed_us } else { 0.0 }
    }
}

/// Decides which requests are rejected on arrival.
#[derive(Debug)]
pub(super) struct LoadShedding {
    answers: DecayingCounter,
    busy_period: BusyPeriod,
    mean_time_left_us: f64,
    best_weight: f64,
    tenants: Vec<DecayingCounter>,
}

impl LoadShedding {
    /// Creates the state for this number of tenants.
    pub(super) fn new(tenants: usize) -> Self {
        Self {
            answers: DecayingCounter::default(),
            busy_period: BusyPeriod::default(),
            mean_time_left_us: 0.0,
            best_weight: 0.0,
            tenants: vec![DecayingCounter::default(); tenants],
        }
    }

    /// Classifies a request by the weight of its class and its tenant's quota, and counts it to its tenant.
    pub(super) fn classify(
        &mut self, in_flight: &InFlightRequest, weight: f64, context: &Context,
    ) -> Priority {
        let request = &in_flight.request;
        self.best_weight = self.best_weight.max(if request.write { 0.0 } else { weight });
        let threshold = LOW_WEIGHT_FRACTION * self.best_weight;
        let over_quota = self.count_for_tenant(request.tenant.0 as usize, context);
        if over_quota && weight * context.settings.over_quota_weight <= threshold {
            Priority::OverQuota
        } else if weight <= threshold {
            Priority::Low
        } else {
            Priority::Normal
        }
    }

    /// Counts a request of a tenant, and returns whether the tenant is beyond its quota.
    fn count_for_tenant(&mut self, index: usize, context: &Context) -> bool {
        let settings = &context.settings;
        let Some((requests, tenant)) = self.tenants.get_mut(index).zip(settings.tenants.get(index)) else {
            return false;
        };
        requests.increment(context.now, RATE_WINDOW_US);
        let quota = QUOTA_FACTOR * tenant.quota_per_s / f64::from(settings.balancers);
        requests.value(context.now, RATE_WINDOW_US) > QUOTA_ALLOWANCE + quota
    }

    /// Counts a read that an endpoint answered.
    pub(super) fn record_answer(&mut self, now: Micros) {
        self.answers.increment(now, RATE_WINDOW_US);
        self.busy_period.answers += 1.0;
    }

    /// Whether a read that arrives now is shed: those in flight would take too much of its time.
    pub(super) fn sheds(
        &mut self, in_flight: &InFlightRequest, assignment: &KeyAssignment, endpoints: &Endpoints,
        now: Micros,
    ) -> bool {
        let reads_in_flight = f64::from(endpoints.reads.in_flight);
        // One mean for all: by its own time, the most urgent class would be shed first, though its weight is
        // highest.
        let time_left_us = (in_flight.useful_until - now) as f64;
        self.mean_time_left_us +=
            (time_left_us - self.mean_time_left_us) / endpoints.reads.total.min(MEAN_OVER);
        if reads_in_flight <= BUSY_FROM {
            self.busy_period = BusyPeriod { started_at: now, answers: 0.0 };
        }
        // An overloaded endpoint must not shut out the reads of an idle one.
        let home_is_idle = assignment.home().is_some_and(|home| endpoints.load(home) < 1.0);
        !home_is_idle && reads_in_flight > self.max_in_flight(in_flight.priority, now)
    }

    /// The number of reads in flight beyond which one of this priority is shed.
    fn max_in_flight(&self, priority: Priority, now: Micros) -> f64 {
        let fraction = if priority == Priority::Normal { SHED_FRACTION } else { LOW_SHED_FRACTION };
        let elapsed_us = (now - self.busy_period.started_at) as f64;
        if elapsed_us < YOUNG_FRACTION * fraction * self.mean_time_left_us {
            return YOUNG_MAX_IN_FLIGHT;
        }
        // Few recent answers may mean that few reads arrived: a busy period counts its own.
        let recent = self.answers.value(now, RATE_WINDOW_US);
        let answers_per_s = recent.max(self.busy_period.answers_per(now, RATE_WINDOW_US));
        // Little's law: what is in flight takes `in flight / answers a second`.
        (answers_per_s * self.mean_time_left_us / 1e6 * fraction).max(MIN_IN_FLIGHT)
    }
}
