//! A counter of events with exponential decay.

use crate::api::Micros;

/// Counts events with exponential decay: an event that is one time constant old counts as `1/e`.
///
/// The caller passes the same time constant to every call on one counter.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingCounter {
    value: f64,
    updated_at: Micros,
}

impl DecayingCounter {
    /// Returns roughly the number of events within the last `time_constant_us`.
    pub(crate) fn value(&self, now: Micros, time_constant_us: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.updated_at) as f64) / time_constant_us).exp()
    }

    /// Counts one event.
    pub(crate) fn increment(&mut self, now: Micros, time_constant_us: f64) {
        *self = Self { value: self.value(now, time_constant_us) + 1.0, updated_at: now };
    }
}
