//! Weight factors: which fraction of its weight each endpoint keeps, by the load of all balancers together.

use crate::Micros;
use crate::wire::EndpointLoad;
use decide::api::{EndpointId, LoadReport};
use rustc_hash::FxHashMap;

/// The smallest fraction of its weight that an endpoint keeps. Without it, an endpoint could stay without any requests
/// that show its recovery.
pub const MIN_WEIGHT_FACTOR: f64 = 0.02;
/// The largest weight factor: an idle endpoint may look idle only until its keys have moved to it.
pub const MAX_WEIGHT_FACTOR: f64 = 1.5;
/// Exponent by which a weight factor responds to load; see `docs/design/fleet.md`.
const LOAD_EXPONENT: f64 = 2.0;
/// Exponent by which it responds to the share of requests that fail.
const FAILURE_EXPONENT: f64 = 4.0;
/// Time constant of rising loads: overload is seen at once.
const RISE_US: f64 = 1e6;
/// Time constant of falling loads: the balancers do not respond to what their last response caused.
const FALL_US: f64 = 3e6;
/// Time constant over which ended requests are counted.
const OUTCOMES_US: f64 = 3e6;
/// Answers that each endpoint is credited with in advance, so that a single failure has little effect.
const ANSWERS_IN_ADVANCE: f64 = 4.0;
/// A weight factor changes only by more than this relative step, so that keys on a border stay where they are.
const DEAD_BAND: f64 = 0.08;
/// The least weight to divide by.
const MIN_WEIGHT: f64 = 1e-3;

/// The smoothed load of an endpoint, and its weight factor.
#[derive(Debug, Clone, Copy)]
struct EndpointView {
    in_flight: f64,
    answered: f64,
    failed: f64,
    factor: f64,
}

impl EndpointView {
    fn new(in_flight: f64) -> Self {
        Self { in_flight, answered: 0.0, failed: 0.0, factor: 1.0 }
    }

    /// Takes over the load of all balancers, `elapsed_us` after the last update.
    fn update(&mut self, total: EndpointLoad, elapsed_us: f64) {
        let retained = |time_constant_us: f64| (-elapsed_us / time_constant_us).exp();
        let time_constant_us = if total.in_flight > self.in_flight { RISE_US } else { FALL_US };
        self.in_flight += (total.in_flight - self.in_flight) * (1.0 - retained(time_constant_us));
        self.answered = self.answered * retained(OUTCOMES_US) + f64::from(total.answered);
        self.failed = self.failed * retained(OUTCOMES_US) + f64::from(total.failed);
    }

    /// The queue that a new request meets: itself and what is in flight, by weight.
    fn queue(&self, weight: f64) -> f64 {
        1.0 + self.in_flight / weight.max(MIN_WEIGHT)
    }

    /// The share of requests that do not fail.
    fn success_share(&self) -> f64 {
        1.0 - self.failed / (self.failed + self.answered + ANSWERS_IN_ADVANCE)
    }

    /// Moves the factor, beyond the dead band, to what the load calls for. `confidence` from 0 to 1 weakens the
    /// response.
    fn adjust_factor(&mut self, mean_queue: f64, weight: f64, confidence: f64) {
        let by_load = (mean_queue / self.queue(weight)).powf(LOAD_EXPONENT * confidence);
        let by_failures = self.success_share().powf(FAILURE_EXPONENT * confidence);
        let wanted = (by_load * by_failures).clamp(MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR);
        if (wanted / self.factor - 1.0).abs() > DEAD_BAND || wanted == 1.0 {
            self.factor = wanted;
        }
    }
}

/// Estimates the weight factors of endpoints.
#[derive(Debug, Default)]
pub(crate) struct WeightEstimator {
    /// Bounded by the endpoints of the last update.
    views: FxHashMap<EndpointId, EndpointView>,
    updated_at: Option<Micros>,
}

impl WeightEstimator {
    /// Whether there was an update.
    pub(crate) fn is_started(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Returns the weight factor of each endpoint in `own`, from this balancer's loads and those of the others.
    pub(crate) fn update(
        &mut self, now: Micros, own: &[LoadReport], others: impl Fn(EndpointId) -> EndpointLoad,
        confidence: f64,
    ) -> Vec<(EndpointId, f64)> {
        let elapsed_us = self.updated_at.map_or(f64::INFINITY, |at| now.saturating_sub(at) as f64);
        self.updated_at = Some(now);
        let before = std::mem::take(&mut self.views);
        let mut total_queue = 0.0;
        let mut total_weight = 0.0;
        for report in own {
            let total = others(report.endpoint).plus(report);
            let known = before.get(&report.endpoint).copied();
            let mut view = known.unwrap_or_else(|| EndpointView::new(total.in_flight));
            view.update(total, elapsed_us);
            total_queue += report.weight * view.queue(report.weight);
            total_weight += report.weight;
            self.views.insert(report.endpoint, view);
        }
        let mean_queue = total_queue / total_weight.max(MIN_WEIGHT);
        let mut factors = Vec::with_capacity(own.len());
        for report in own {
            let Some(view) = self.views.get_mut(&report.endpoint) else { continue };
            view.adjust_factor(mean_queue, report.weight, confidence);
            factors.push((report.endpoint, view.factor));
        }
        factors
    }
}
