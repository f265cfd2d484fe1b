//! Guava's SmoothWarmingUp limiter, by the formulas of the design page; it starts cold.

use crate::api::Micros;

const WARM_UP_US: f64 = 500_000.0; // warm-up period: about a burst of misses, so that pauses are soon made up
const COLD_FACTOR: f64 = 3.0; // cold interval over stable interval, as in Guava

/// Guava's SmoothWarmingUp limiter, by the formulas of the design page.
#[derive(Debug, Clone, Default)]
pub struct WarmUpLimiter {
    stable_us: f64,
    stored: f64,
    threshold: f64,
    max: f64,
    slope: f64,
    next_free_us: f64,
}

impl WarmUpLimiter {
    /// A limiter that starts cold: with all permits stored.
    pub fn new(per_s: f64, now: Micros) -> Self {
        let mut it = Self { next_free_us: now as f64, ..Self::default() };
        it.set_rate(per_s, now);
        it
    }
    /// Changes the rate; the store keeps its fill, so a warm limiter stays warm.
    pub fn set_rate(&mut self, per_s: f64, now: Micros) {
        self.resync(now);
        let fill = if self.max > 0.0 { self.stored / self.max } else { 1.0 };
        self.stable_us = 1e6 / per_s;
        let slow_start_us = COLD_FACTOR * self.stable_us;
        self.threshold = 0.5 * WARM_UP_US / self.stable_us;
        self.max = self.threshold + 2.0 * WARM_UP_US / (self.stable_us + slow_start_us);
        self.slope = (slow_start_us - self.stable_us) / (self.max - self.threshold);
        self.stored = fill * self.max;
    }
    fn resync(&mut self, now: Micros) {
        let idle_us = now as f64 - self.next_free_us;
        if idle_us > 0.0 {
            self.stored = (self.stored + idle_us / (WARM_UP_US / self.max)).min(self.max);
            self.next_free_us = now as f64;
        }
    }
    /// When the next permit is free; `now` or earlier when it is free at once.
    pub fn earliest(&self) -> Micros {
        self.next_free_us.ceil() as Micros
    }
    /// Takes one permit and returns when it may be used; its cost is waited for by the next caller.
    pub fn reserve(&mut self, now: Micros) -> Micros {
        self.resync(now);
        let at = self.earliest();
        let from_store = self.stored.min(1.0);
        let above = (self.stored - self.threshold).max(0.0);
        let climb = above.min(from_store);
        let permits_to_time = |x: f64| self.stable_us + x * self.slope;
        let area = climb * (permits_to_time(above) + permits_to_time(above - climb)) / 2.0;
        self.stored -= from_store;
        self.next_free_us += area + (1.0 - climb) * self.stable_us;
        at
    }
    /// Takes a permit that is usable within `wait`, or none at all.
    pub fn try_reserve(&mut self, now: Micros, wait: Micros) -> Option<Micros> {
        (self.earliest() <= now + wait).then(|| self.reserve(now))
    }
}
