//! A rate limiter with a warm-up, by the formulas of Guava's `SmoothWarmingUp`; see `docs/design.md`.

use crate::api::Micros;

const WARM_UP_US: f64 = 500_000.0; // about a burst of misses, so that the rate soon recovers after a pause
const COLD_FACTOR: f64 = 3.0; // cold interval divided by stable interval, as in Guava

/// Issues permits at a rate that rises from the cold to the stable rate while the limiter is in use.
///
/// Unused permits are stored. Stored permits above a threshold cost up to three times the stable interval.
#[derive(Debug, Clone, Default)]
pub struct WarmUpLimiter {
    stable_interval_us: f64,
    stored_permits: f64,
    threshold_permits: f64,
    max_permits: f64,
    slope_us: f64,
    next_free_us: f64,
}

impl WarmUpLimiter {
    /// Creates a limiter that starts cold: with the maximum number of stored permits.
    pub fn new(permits_per_s: f64, now: Micros) -> Self {
        let mut limiter = Self { next_free_us: now as f64, ..Self::default() };
        limiter.set_rate(permits_per_s, now);
        limiter
    }

    /// Changes the rate. The stored permits keep their fraction of the maximum, so a warm limiter stays warm.
    pub fn set_rate(&mut self, permits_per_s: f64, now: Micros) {
        self.store_idle_time(now);
        let fill = if self.max_permits > 0.0 { self.stored_permits / self.max_permits } else { 1.0 };
        self.stable_interval_us = 1e6 / permits_per_s;
        let cold_interval_us = COLD_FACTOR * self.stable_interval_us;
        self.threshold_permits = 0.5 * WARM_UP_US / self.stable_interval_us;
        self.max_permits =
            self.threshold_permits + 2.0 * WARM_UP_US / (self.stable_interval_us + cold_interval_us);
        self.slope_us =
            (cold_interval_us - self.stable_interval_us) / (self.max_permits - self.threshold_permits);
        self.stored_permits = fill * self.max_permits;
    }

    /// Stores permits for the time that has passed since the next permit was free.
    fn store_idle_time(&mut self, now: Micros) {
        let idle_us = now as f64 - self.next_free_us;
        if idle_us > 0.0 {
            let permits = idle_us / (WARM_UP_US / self.max_permits);
            self.stored_permits = (self.stored_permits + permits).min(self.max_permits);
            self.next_free_us = now as f64;
        }
    }

    /// Returns when the next permit is free. A time that has passed means that it is free at once.
    pub fn next_free_at(&self) -> Micros {
        self.next_free_us.ceil() as Micros
    }

    /// Takes one permit and returns when it may be used. Its cost delays the next caller, not this one.
    pub fn reserve(&mut self, now: Micros) -> Micros {
        self.store_idle_time(now);
        let usable_at = self.next_free_at();
        let from_store = self.stored_permits.min(1.0);
        let above_threshold = (self.stored_permits - self.threshold_permits).max(0.0);
        let on_slope = above_threshold.min(from_store);
        let interval_at = |permits: f64| self.stable_interval_us + permits * self.slope_us;
        let slope_cost_us =
            on_slope * (interval_at(above_threshold) + interval_at(above_threshold - on_slope)) / 2.0;
        self.stored_permits -= from_store;
        self.next_free_us += slope_cost_us + (1.0 - on_slope) * self.stable_interval_us;
        usable_at
    }

    /// Takes one permit and returns when it may be used, or takes none if that is later than `max_wait_us`
    /// from now.
    pub fn try_reserve(&mut self, now: Micros, max_wait_us: Micros) -> Option<Micros> {
        (self.next_free_at() <= now + max_wait_us).then(|| self.reserve(now))
    }
}
