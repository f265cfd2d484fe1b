//! Counts the reads that earn permits for endpoints in slow start: at most as many as the fleet can answer.
//!
//! Reads beyond the capacity of the fleet do not show what a cold endpoint can handle, so they earn nothing.
//! A token bucket tells them apart. Each read takes one token, and each answer of an endpoint, a value or a
//! miss, returns one. While the fleet answers fewer reads than at its recent peak, the difference is refilled
//! over time.

use super::windows::READS_WINDOW_US;
use crate::api::Micros;
use crate::decaying_counter::DecayingCounter;

const BUCKET_SPAN_US: f64 = 1e6; // bucket size: the reads that the fleet can answer in this time
const PEAK_DECAY_US: f64 = 30e6; // time constant of the peak's decay: the fleet may have shrunk
const MIN_EARNING_SHARE: f64 = 0.2; // of the accepted reads: a fleet that answers nothing is still tried

/// Counts the reads that earn permits.
#[derive(Debug, Default)]
pub(super) struct EarningReads {
    /// Reads since the start that earned permits.
    total: f64,
    first_read_at: Option<Micros>,
    tokens: f64,
    max_tokens: f64,
    refilled_at: Micros,
    answered: DecayingCounter,
    /// The highest value of `answered`, decayed up to `peak_at`.
    peak: f64,
    peak_at: Micros,
}

impl EarningReads {
    /// Returns the number of reads since the start that earned permits.
    pub(super) fn total(&self) -> f64 {
        self.total
    }

    /// Counts an accepted read, where `accepted` reads were accepted within the last [`READS_WINDOW_US`].
    /// During the first `learning_us` every read earns permits, because the capacity of the fleet is not
    /// known yet.
    pub(super) fn record_read(&mut self, now: Micros, accepted: f64, learning_us: Micros) {
        let first_read_at = *self.first_read_at.get_or_insert(now);
        let sustainable = self.sustainable(now, accepted);
        self.max_tokens = (sustainable * BUCKET_SPAN_US / READS_WINDOW_US).max(1.0);
        let missing_per_us =
            (sustainable - self.answered.value(now, READS_WINDOW_US)).max(0.0) / READS_WINDOW_US;
        let elapsed_us = now.saturating_sub(self.refilled_at) as f64;
        self.refilled_at = now;
        self.tokens = (self.tokens + missing_per_us * elapsed_us).min(self.max_tokens);
        let is_learning = now < first_read_at + learning_us;
        let earning = if is_learning { 1.0 } else { self.tokens.min(1.0) };
        self.tokens = (self.tokens - earning).max(0.0);
        self.total += earning;
    }

    /// Counts an endpoint's answer to a read: a value or a miss.
    pub(super) fn record_answer(&mut self, now: Micros) {
        self.answered.increment(now, READS_WINDOW_US);
        self.tokens = (self.tokens + 1.0).min(self.max_tokens);
        self.peak = self.peak(now).max(self.answered.value(now, READS_WINDOW_US));
        self.peak_at = now;
    }

    /// Estimates how many reads the fleet can answer within [`READS_WINDOW_US`]: its recent peak, but at
    /// least a fixed share of the `accepted` reads.
    pub(super) fn sustainable(&self, now: Micros, accepted: f64) -> f64 {
        self.peak(now).max(MIN_EARNING_SHARE * accepted)
    }

    fn peak(&self, now: Micros) -> f64 {
        self.peak * (-(now.saturating_sub(self.peak_at) as f64) / PEAK_DECAY_US).exp()
    }
}
