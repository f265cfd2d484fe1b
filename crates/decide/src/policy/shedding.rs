//! Load shedding: rejects reads when those in flight would take too long, and low-priority reads first.

use super::context::Context;
use super::endpoints::Endpoints;
use super::windows::RATE_WINDOW_US;
use crate::api::Micros;
use crate::decaying_counter::DecayingCounter;
use crate::in_flight::{InFlightRequest, Priority};
use crate::key_table::KeyAssignment;

const LOW_WEIGHT_FRACTION: f64 = 0.5; // low weights: up to this fraction of the highest read weight
const QUOTA_FACTOR: f64 = 2.0; // of an equal share of the quota: a tenant's spread over balancers is unknown
const QUOTA_ALLOWANCE: f64 = 2.0; // requests allowed above that, so that random bursts exceed no quota
const SHED_FRACTION: f64 = 0.6; // reads are shed when those in flight take this part of the mean time left
const LOW_SHED_FRACTION: f64 = 0.5 * SHED_FRACTION; // SHED_FRACTION for requests of low priority
const MIN_IN_FLIGHT: f64 = 16.0; // no read is shed up to this many in flight
const BUSY_THRESHOLD: f64 = 8.0; // reads in flight above which a busy period begins
const EARLY_MAX_IN_FLIGHT: f64 = 64.0; // reads are shed above this many early in a busy period
const EARLY_FRACTION: f64 = 0.5; // length of that early part, as a fraction of the time that sheds
const TIME_LEFT_SAMPLES: f64 = 100.0; // reads over which the time left is averaged

/// A period with more than [`BUSY_THRESHOLD`] reads in flight throughout, and the answers since its start.
#[derive(Debug, Clone, Copy, Default)]
struct BusyPeriod {
    started_at: Micros,
    answers: f64,
}

impl BusyPeriod {
    /// Returns the answers of the period extrapolated to `window_us`; 0 once the period has lasted that long.
    fn extrapolated_answers(&self, now: Micros, window_us: f64) -> f64 {
        let elapsed_us = (now.saturating_sub(self.started_at) as f64).max(1.0);
        if elapsed_us < window_us { self.answers * window_us / elapsed_us } else { 0.0 }
    }
}

/// Decides which requests are rejected on arrival.
#[derive(Debug)]
pub(super) struct LoadShedder {
    answers: DecayingCounter,
    busy_period: BusyPeriod,
    mean_time_left_us: f64,
    max_read_weight: f64,
    tenants: Vec<DecayingCounter>,
}

impl LoadShedder {
    /// Creates a load shedder for this number of tenants.
    pub(super) fn new(tenants: usize) -> Self {
        Self {
            answers: DecayingCounter::default(),
            busy_period: BusyPeriod::default(),
            mean_time_left_us: 0.0,
            max_read_weight: 0.0,
            tenants: vec![DecayingCounter::default(); tenants],
        }
    }

    /// Returns the priority of a request, by the weight of its class and the quota of its tenant. Counts the
    /// request against the quota.
    pub(super) fn classify(
        &mut self, in_flight: &InFlightRequest, weight: f64, context: &Context,
    ) -> Priority {
        let request = &in_flight.request;
        self.max_read_weight = self.max_read_weight.max(if request.write { 0.0 } else { weight });
        let threshold = LOW_WEIGHT_FRACTION * self.max_read_weight;
        let over_quota = self.count_for_tenant(request.tenant.0 as usize, context);
        if over_quota && weight * context.settings.over_quota_weight <= threshold {
            Priority::OverQuota
        } else if weight <= threshold {
            Priority::Low
        } else {
            Priority::Normal
        }
    }

    /// Counts a request of a tenant, and returns whether the tenant is over its quota.
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

    /// Returns whether to shed a read that arrives now: the reads in flight would take too much of its time.
    pub(super) fn should_shed(
        &mut self, in_flight: &InFlightRequest, assignment: &KeyAssignment, endpoints: &Endpoints,
        now: Micros,
    ) -> bool {
        let reads_in_flight = f64::from(endpoints.reads.in_flight);
        // All classes share one mean. By its own time left, the most urgent class would be shed first,
        // although its weight is the highest.
        let time_left_us = (in_flight.useful_until - now) as f64;
        self.mean_time_left_us +=
            (time_left_us - self.mean_time_left_us) / endpoints.reads.total.min(TIME_LEFT_SAMPLES);
        if reads_in_flight <= BUSY_THRESHOLD {
            self.busy_period = BusyPeriod { started_at: now, answers: 0.0 };
        }
        // Reads for an idle endpoint are not shed because another endpoint is overloaded.
        let home_is_idle = assignment.home().is_some_and(|home| endpoints.load(home) < 1.0);
        !home_is_idle && reads_in_flight > self.max_in_flight(in_flight.priority, now)
    }

    /// Returns the number of reads in flight above which a read of this priority is shed.
    fn max_in_flight(&self, priority: Priority, now: Micros) -> f64 {
        let fraction = if priority == Priority::Normal { SHED_FRACTION } else { LOW_SHED_FRACTION };
        let elapsed_us = (now - self.busy_period.started_at) as f64;
        if elapsed_us < EARLY_FRACTION * fraction * self.mean_time_left_us {
            return EARLY_MAX_IN_FLIGHT;
        }
        // A low count of recent answers may mean that few reads arrived, so the busy period's rate counts
        // too.
        let recent = self.answers.value(now, RATE_WINDOW_US);
        let answers_per_s = recent.max(self.busy_period.extrapolated_answers(now, RATE_WINDOW_US));
        // Little's law: the reads in flight take `in_flight / answers_per_s` seconds.
        (answers_per_s * self.mean_time_left_us / 1e6 * fraction).max(MIN_IN_FLIGHT)
    }
}
