//! Outlier detection: temporarily ejects endpoints whose reads fail or are slow.

use super::attempts::HEDGE_DELAY_FRACTION;
use super::context::Context;
use super::endpoints::MIN_IN_FLIGHT_BOUND;
use crate::api::{Micros, Outcome};
use crate::endpoint::{Endpoint, Health};
use crate::endpoint_table::{EndpointTable, Slot};
use crate::latency_estimate::LatencyEstimate;

const FULL_SPAN_US: Micros = 100_000; // an endpoint that rejected a read counts as full for this long
const PERMITS_PER_QUICK_HIT: f64 = 1.2; // slow-start permits earned by each quick hit
const PERMITS_PER_QUICK_MISS: f64 = 0.55; // slow-start permits earned by each quick miss
const SILENCE_GAIN: f64 = 0.25; // weight of one timeout in the smoothed silent share
const CONNECT_GAIN: f64 = 0.5; // weight of one failed connection in the smoothed silent share
const FAULT_GAIN: f64 = 0.08; // weight of one fault in the smoothed fault share: chance faults must not eject
const MAX_SILENT_SHARE: f64 = 0.45; // a higher silent share ejects
const MAX_FAULT_SHARE: f64 = 0.4; // a higher fault share ejects: an endpoint that serves most is kept
const HEALTHY_SILENT_SHARE: f64 = 0.05; // below this and HEALTHY_FAULT_SHARE earlier ejections are forgotten
const HEALTHY_FAULT_SHARE: f64 = 0.1;
const RETURNED_FRACTION: f64 = 0.5; // shares after an ejection, as a fraction of the thresholds that eject
const EJECTION_US: Micros = 1_000_000; // the first ejection; doubled after each failed trial
const MAX_DOUBLINGS: u32 = 3; // maximum number of doublings of EJECTION_US
const SLOW_FACTOR: f64 = 3.0; // an answer is late beyond this multiple of the median and the hedge delay
const MAX_EJECTED_FOR_FAULTS: f64 = 0.2; // fraction of endpoints at a time: the others take over their load
const MAX_EJECTED_FOR_SILENCE: f64 = 0.34; // fraction of endpoints at a time, unless proven unreachable

/// Passive health checking: rates endpoints by the outcomes of their reads.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    latency: LatencyEstimate,
}

impl OutlierDetector {
    /// Creates a detector that starts from this latency estimate.
    pub(super) fn new(latency: LatencyEstimate) -> Self {
        Self { latency }
    }

    /// Updates the health of an endpoint after a read, and ejects the endpoint if it fails too often.
    pub(super) fn record(
        &mut self, table: &mut EndpointTable, slot: Slot, outcome: Outcome, latency_us: Micros,
        context: &mut Context,
    ) {
        let endpoint = &mut table[slot];
        endpoint.count_outcome(outcome);
        let late = self.is_late(endpoint, latency_us);
        if matches!(outcome, Outcome::Ok | Outcome::Miss) {
            self.latency.observe(latency_us);
            endpoint.has_answered = true;
            endpoint.health.silent_share *= 1.0 - SILENCE_GAIN;
        }
        let health = &mut endpoint.health;
        match outcome {
            Outcome::Ok | Outcome::Miss if !late => self.record_success(endpoint, outcome, latency_us),
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Rejected => health.full_until = context.now + FULL_SPAN_US,
            Outcome::Timeout => health.silent_share += (1.0 - health.silent_share) * SILENCE_GAIN,
            Outcome::ConnectFailed => health.silent_share += (1.0 - health.silent_share) * CONNECT_GAIN,
            // An error, a broken connection, or a late answer, which slows down the endpoint's keys.
            _ => health.fault_share += (1.0 - health.fault_share) * FAULT_GAIN,
        }
        eject_if_faulty(table, slot, outcome, context);
    }

    /// Returns whether an answer is late through the endpoint's own fault: few reads of this balancer were
    /// ahead of it, and other endpoints answer quickly.
    fn is_late(&self, endpoint: &Endpoint, latency_us: Micros) -> bool {
        let slow_us = self.hedge_delay_us().max(SLOW_FACTOR * self.latency.median_us());
        (latency_us as f64).min(self.latency.objective_us()) > slow_us
            && f64::from(endpoint.in_flight()) < MIN_IN_FLIGHT_BOUND
    }

    /// Updates the health and the slow-start permits of an endpoint after an answer that was not late.
    fn record_success(&self, endpoint: &mut Endpoint, outcome: Outcome, latency_us: Micros) {
        let health = &mut endpoint.health;
        health.fault_share *= 1.0 - FAULT_GAIN;
        if (latency_us as f64) < self.latency.median_us().min(self.hedge_delay_us()) {
            let hit = outcome == Outcome::Ok;
            endpoint.slow_start.permits += if hit { PERMITS_PER_QUICK_HIT } else { PERMITS_PER_QUICK_MISS };
        }
        if health.ejected_until > 0 {
            // The shares stay raised: an endpoint that fails intermittently is soon ejected again, for
            // longer.
            health.ejected_until = 0;
            health.silent_share = RETURNED_FRACTION * MAX_SILENT_SHARE;
            health.fault_share = health.fault_share.min(RETURNED_FRACTION * MAX_FAULT_SHARE);
        } else if health.silent_share < HEALTHY_SILENT_SHARE && health.fault_share < HEALTHY_FAULT_SHARE {
            health.ejections = 0;
        }
    }

    fn hedge_delay_us(&self) -> f64 {
        HEDGE_DELAY_FRACTION * self.latency.objective_us()
    }
}

/// Ejects an endpoint that exceeds a threshold of its health, unless too many are ejected already.
fn eject_if_faulty(table: &mut EndpointTable, slot: Slot, outcome: Outcome, context: &mut Context) {
    let Health { silent_share, fault_share, ejected_until, .. } = table[slot].health;
    let silent = silent_share > MAX_SILENT_SHARE;
    if (!silent && fault_share <= MAX_FAULT_SHARE) || context.now < ejected_until {
        return;
    }
    // When many endpoints look bad, the cause is the origin or the network: further endpoints are ejected
    // only if they are proven unreachable.
    let unreachable = outcome == Outcome::ConnectFailed;
    let ejected = table.iter().filter(|(other, endpoint)| *other != slot && endpoint.is_ejected()).count();
    let max_ejected = if silent { MAX_EJECTED_FOR_SILENCE } else { MAX_EJECTED_FOR_FAULTS };
    let ready = table.ready();
    if unreachable || (ready > 1 && (ejected as f64) < f64::from(ready) * max_ejected) {
        let health = &mut table[slot].health;
        let span_us = EJECTION_US << health.ejections.min(MAX_DOUBLINGS);
        health.ejected_until = context.now + span_us + context.rng.u64(0..=span_us / 2);
        health.ejections += 1;
    }
}
