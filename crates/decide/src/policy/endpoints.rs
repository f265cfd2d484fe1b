//! The load of endpoints: in-flight bounds, and permits for endpoints in slow start.

use super::context::Context;
use super::slow_start::EarningReads;
use super::windows::READS_WINDOW_US;
use crate::api::{EndpointEntry, ListKind, Micros, Settings};
use crate::decaying_counter::DecayingCounter;
use crate::endpoint::SlowStartBudget;
use crate::endpoint_table::{EndpointTable, Slot};
use crate::in_flight::Target;
use std::mem;

const IN_FLIGHT_FACTOR: f64 = 1.25; // in-flight bound, as a multiple of the endpoint's share of the mean
pub(super) const MIN_IN_FLIGHT_BOUND: f64 = 2.0; // lowest in-flight bound: random bursts must not move keys
const SLOW_START_RATE: f64 = 1.5; // sends in slow start, as a multiple of the ramped share of reads
const MAX_OVERLOAD_RATE: f64 = 0.5; // limit of SLOW_START_RATE, as a fraction of the overload multiple
const SAVED_OVERLOAD_FACTOR: f64 = 2.5; // permits saved by all balancers, as a multiple of an overload
const MAX_SAVED_PERMITS: f64 = 3.0; // permits saved by one balancer

/// Counts of the reads of all keys.
#[derive(Debug, Default)]
pub(super) struct ReadTraffic {
    /// Reads accepted since the start.
    pub(super) total: f64,
    /// Reads in flight at cache endpoints.
    pub(super) in_flight: u32,
    recent: DecayingCounter,
    earning: EarningReads,
}

impl ReadTraffic {
    /// Counts an accepted read.
    pub(super) fn record(&mut self, now: Micros, settings: &Settings) {
        self.total += 1.0;
        self.recent.increment(now, READS_WINDOW_US);
        self.earning.record_read(now, self.recent(now), settings.overload_window_us);
    }

    /// Counts an endpoint's answer to a read: a value or a miss.
    pub(super) fn record_answer(&mut self, now: Micros) {
        self.earning.record_answer(now);
    }

    /// Returns the number of reads accepted within the last [`READS_WINDOW_US`].
    pub(super) fn recent(&self, now: Micros) -> f64 {
        self.recent.value(now, READS_WINDOW_US)
    }
}

/// The listed endpoints, and the reads that are spread over them.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    pub(super) table: EndpointTable,
    pub(super) reads: ReadTraffic,
}

impl Endpoints {
    /// Applies a list of endpoints. An endpoint that appears or restarts gets a random fraction of a permit.
    pub(super) fn apply_list(&mut self, kind: ListKind, entries: &[EndpointEntry], context: &mut Context) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.table.mark_all_gone(); // the entries of the complete list follow below
        }
        for &entry in entries {
            let budget =
                SlowStartBudget { permits: context.rng.f64(), reads_seen: self.reads.earning.total() };
            self.table.apply(entry, budget);
        }
        self.table.update_weights(context.now, &context.settings);
    }

    /// Records that an attempt was sent.
    pub(super) fn record_send(&mut self, slot: Slot, target: Target, now: Micros) {
        self.table[slot].record_send(now);
        self.reads.in_flight += u32::from(target == Target::Cache);
    }

    /// Records that an attempt ended.
    pub(super) fn record_end(&mut self, slot: Slot, target: Target, now: Micros) {
        self.table[slot].record_end(now);
        self.reads.in_flight -= u32::from(target == Target::Cache);
    }

    fn mean_in_flight(&self) -> f64 {
        f64::from(self.reads.in_flight) / f64::from(self.table.ready().max(1))
    }

    /// Returns the number of attempts in flight at an endpoint. An endpoint without an answer since its start
    /// only looks idle, so it counts with at least the mean of all endpoints.
    pub(super) fn load(&self, slot: Slot) -> f64 {
        let endpoint = &self.table[slot];
        let min_load = if endpoint.has_answered { 0.0 } else { self.mean_in_flight() };
        f64::from(endpoint.in_flight()).max(min_load)
    }

    /// Returns whether an endpoint may take a further read: it has less than its share of the reads in flight
    /// and is not full.
    pub(super) fn is_within_bounds(&self, slot: Slot, now: Micros) -> bool {
        let endpoint = &self.table[slot];
        let share =
            endpoint.ramped_weight() * f64::from(self.table.ready()) / self.table.total_ramped_weight();
        let bound = (IN_FLIGHT_FACTOR * self.mean_in_flight() * share).max(MIN_IN_FLIGHT_BOUND);
        self.load(slot) < bound && now >= endpoint.health.full_until
    }

    /// Credits an endpoint in slow start with the permits earned since the last call, and returns whether it
    /// may be sent a read.
    ///
    /// All balancers may spend their saved permits at once. Each one therefore saves only its part of the
    /// permits that overload the endpoint; a part of less than one permit becomes the probability of one
    /// permit.
    pub(super) fn has_slow_start_permit(&mut self, slot: Slot, context: &mut Context) -> bool {
        let total_weight = self.table.total_weight();
        let endpoint = &mut self.table[slot];
        if endpoint.is_warm() {
            return true;
        }
        let overload = context.settings.overload_multiple;
        let rate = SLOW_START_RATE.min(MAX_OVERLOAD_RATE * overload);
        let share = endpoint.ramped_weight() / total_weight;
        let earning = self.reads.earning.total();
        let reads = earning - mem::replace(&mut endpoint.slow_start.reads_seen, earning);
        let earned = reads * rate * share;
        let window_us = context.settings.overload_window_us as f64;
        let accepted = self.reads.recent(context.now);
        let sustained = accepted.min(self.reads.earning.sustainable(context.now, accepted));
        let reads_in_window = sustained * window_us / READS_WINDOW_US;
        let capacity = (SAVED_OVERLOAD_FACTOR * overload * share * reads_in_window).min(MAX_SAVED_PERMITS);
        let saved = (endpoint.slow_start.permits + earned).min(capacity);
        endpoint.slow_start.permits =
            if capacity < 1.0 { (saved + context.rng.f64()).floor() } else { saved };
        endpoint.slow_start.permits >= 1.0
    }
}
