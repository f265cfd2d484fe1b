//! Weight factors: the fraction of its weight that each endpoint keeps, from its load by all balancers.

use crate::Micros;
use crate::wire::EndpointLoad;
use decide::api::{EndpointId, LoadReport};
use rustc_hash::FxHashMap;

/// The smallest weight factor. Without this bound an endpoint could be left without the requests that show
/// its recovery.
pub const MIN_WEIGHT_FACTOR: f64 = 0.02;
/// The largest weight factor. It is small because an endpoint may look idle only until its keys have moved to it.
pub const MAX_WEIGHT_FACTOR: f64 = 1.5;
/// Exponent of the weight factor's response to load; see `docs/design/fleet.md`.
const LOAD_EXPONENT: f64 = 2.0;
/// Exponent of the weight factor's response to the share of requests that fail.
const FAILURE_EXPONENT: f64 = 4.0;
/// Time constant in which a rising load is smoothed. It is short, so that overload is detected at once.
const RISE_US: f64 = 1e6;
/// Time constant in which a falling load is smoothed. It is longer, so that balancers do not respond to the effect of
/// their own last response.
const FALL_US: f64 = 3e6;
/// Time constant with which the counts of ended requests decay.
const OUTCOMES_US: f64 = 3e6;
/// Answers that are added to the count of each endpoint, so that a single failure has little effect.
const ASSUMED_ANSWERS: f64 = 4.0;
/// The relative change up to which a weight factor stays as it is, so that keys at a boundary between endpoints do not
/// move.
const DEAD_BAND: f64 = 0.08;
/// The smallest weight used as a divisor.
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

    /// Updates the smoothed load from `total`, the load of all balancers, `elapsed_us` after the last update.
    fn update(&mut self, total: EndpointLoad, elapsed_us: f64) {
        let retained = |time_constant_us: f64| (-elapsed_us / time_constant_us).exp();
        let time_constant_us = if total.in_flight > self.in_flight { RISE_US } else { FALL_US };
        self.in_flight += (total.in_flight - self.in_flight) * (1.0 - retained(time_constant_us));
        self.answered = self.answered * retained(OUTCOMES_US) + f64::from(total.answered);
        self.failed = self.failed * retained(OUTCOMES_US) + f64::from(total.failed);
    }

    /// The queue that a new request would join: the request itself, and the requests in flight divided by the weight.
    fn queue(&self, weight: f64) -> f64 {
        1.0 + self.in_flight / weight.max(MIN_WEIGHT)
    }

    /// The share of requests that do not fail.
    fn success_share(&self) -> f64 {
        1.0 - self.failed / (self.failed + self.answered + ASSUMED_ANSWERS)
    }

    /// Sets the factor to its target for the current load, if it is off by more than the dead band. A `confidence`
    /// below 1 weakens the response; 0 means none.
    fn adjust_factor(&mut self, mean_queue: f64, weight: f64, confidence: f64) {
        let by_load = (mean_queue / self.queue(weight)).powf(LOAD_EXPONENT * confidence);
        let by_failures = self.success_share().powf(FAILURE_EXPONENT * confidence);
        let target = (by_load * by_failures).clamp(MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR);
        if (target / self.factor - 1.0).abs() > DEAD_BAND || target == 1.0 {
            self.factor = target;
        }
    }
}

/// Estimates the weight factors of endpoints.
#[derive(Debug, Default)]
pub(crate) struct WeightEstimator {
    /// The endpoints of the last update. Others are dropped, which bounds the map.
    views: FxHashMap<EndpointId, EndpointView>,
    updated_at: Option<Micros>,
}

impl WeightEstimator {
    /// Returns whether the estimator has been updated.
    pub(crate) fn is_started(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Returns the weight factor of each endpoint in `own`. They follow from `own`, the loads by this balancer, and
    /// `others`, the loads by the other balancers.
    pub(crate) fn update(
        &mut self, now: Micros, own: &[LoadReport], others: impl Fn(EndpointId) -> EndpointLoad,
        confidence: f64,
    ) -> Vec<(EndpointId, f64)> {
        let elapsed_us = self.updated_at.map_or(f64::INFINITY, |at| now.saturating_sub(at) as f64);
        self.updated_at = Some(now);
        let previous = std::mem::take(&mut self.views);
        let mut total_queue = 0.0;
        let mut total_weight = 0.0;
        for report in own {
            let total = others(report.endpoint).plus(report);
            let known = previous.get(&report.endpoint).copied();
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
