//! A streaming estimate of the median latency of all cache endpoints.

use crate::api::Micros;

/// Relative step by which one answer moves the estimate: by a factor of at most seven within 100 answers.
const STEP: f64 = 0.02;

/// The approximate median latency of all answers, on which a few slow endpoints have little influence.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyEstimate {
    median_us: f64,
    objective_us: f64,
}

impl LatencyEstimate {
    /// Creates an estimate that starts at `objective_us`, the shortest latency objective of the idempotent classes, so
    /// that no answer counts as slow before the usual latency is known.
    pub(crate) fn new(objective_us: Micros) -> Self {
        let objective_us = objective_us as f64;
        Self { median_us: objective_us, objective_us }
    }

    /// Moves the estimate towards the latency of one answer.
    pub(crate) fn observe(&mut self, latency_us: Micros) {
        self.median_us *= 1.0 + if latency_us as f64 > self.median_us { STEP } else { -STEP };
    }

    /// Returns the estimated median, in microseconds.
    pub(crate) fn median_us(&self) -> f64 {
        self.median_us
    }

    /// Returns the latency objective that the estimate started from, in microseconds.
    pub(crate) fn objective_us(&self) -> f64 {
        self.objective_us
    }
}
