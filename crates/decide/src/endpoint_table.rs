//! The table of listed endpoints, with the total weights of those that are ready.

use crate::api::{EndpointEntry, EndpointId, EndpointState, LoadReport, Micros, Settings};
use crate::endpoint::{Endpoint, SlowStartBudget};
use rustc_hash::FxHashMap;
use std::mem;
use std::ops::{Index, IndexMut};

/// Number of weight updates of an endpoint during its slow start.
const SLOW_START_STEPS: Micros = 16;

/// The position of an endpoint in the table. Slots of removed endpoints are reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Slot(u32);

/// The listed endpoints, and the number and total weights of the ready cache endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    index: FxHashMap<EndpointId, Slot>,
    origin: Option<Slot>,
    generation: u32,
    ready: u32,
    total_weight: f64,
    total_ramped_weight: f64,
    next_weight_update: Option<Micros>,
    last_report_at: Micros,
}

impl Index<Slot> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, slot: Slot) -> &Endpoint {
        &self.endpoints[slot.0 as usize]
    }
}

impl IndexMut<Slot> for EndpointTable {
    fn index_mut(&mut self, slot: Slot) -> &mut Endpoint {
        &mut self.endpoints[slot.0 as usize]
    }
}

impl EndpointTable {
    /// Iterates over all endpoints with their slots, including removed ones.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &Endpoint)> {
        (0..).map(Slot).zip(&self.endpoints)
    }

    /// Returns the first ready origin.
    pub(crate) fn origin(&self) -> Option<Slot> {
        self.origin
    }

    /// Returns a number that grows with every change of weights; rankings of an earlier generation are out of date.
    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    /// Returns the number of ready cache endpoints.
    pub(crate) fn ready(&self) -> u32 {
        self.ready
    }

    /// Returns the sum of the weights of ready cache endpoints.
    pub(crate) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Returns the sum of the weights of ready cache endpoints, as reduced by slow start.
    pub(crate) fn total_ramped_weight(&self) -> f64 {
        self.total_ramped_weight
    }

    /// Marks every endpoint as gone, before a complete list is applied.
    pub(crate) fn mark_all_gone(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.entry.state = EndpointState::Gone;
        }
    }

    /// Applies one entry of the list. After a restart of an endpoint, only its attempts in flight are kept.
    pub(crate) fn apply(&mut self, entry: EndpointEntry, slow_start: SlowStartBudget) {
        let new = Endpoint::new(entry, slow_start);
        if let Some(&slot) = self.index.get(&entry.id) {
            let endpoint = &mut self[slot];
            if endpoint.entry.started_at == entry.started_at {
                endpoint.entry = entry;
            } else {
                *endpoint = new.with_attempts_of(endpoint);
            }
        } else if entry.state != EndpointState::Gone {
            self.insert(new);
        }
    }

    /// Inserts a new endpoint. Free slots are reused so that the table stays small over many deployments.
    fn insert(&mut self, endpoint: Endpoint) {
        let id = endpoint.entry.id;
        let is_free = |old: &Endpoint| old.entry.state == EndpointState::Gone && old.in_flight() == 0;
        let position = self.endpoints.iter().position(is_free).unwrap_or(self.endpoints.len());
        if let Some(old) = self.endpoints.get_mut(position) {
            self.index.remove(&old.entry.id);
            *old = endpoint;
        } else {
            self.endpoints.push(endpoint);
        }
        self.index.insert(id, Slot(position as u32));
    }

    /// Returns whether an endpoint is ready and not ejected. After an ejection it gets one attempt at a time, on trial.
    pub(crate) fn is_usable(&self, slot: Slot, now: Micros) -> bool {
        let endpoint = &self[slot];
        let ejected_until = endpoint.health.ejected_until;
        let on_trial = now >= ejected_until && endpoint.in_flight() == 0;
        endpoint.entry.state == EndpointState::Ready && (ejected_until == 0 || on_trial)
    }

    /// Returns the load of each ready cache endpoint since the previous call.
    pub(crate) fn take_load_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        let since = mem::replace(&mut self.last_report_at, now);
        let span_us = now.saturating_sub(since).max(1) as f64;
        let ready = self.endpoints.iter_mut().filter(|endpoint| endpoint.is_ready_cache());
        ready.map(|endpoint| endpoint.take_load_report(now, span_us)).collect()
    }

    /// Sets the weight factors of endpoints. A change puts rankings out of date.
    pub(crate) fn set_weight_factors(&mut self, factors: &[(EndpointId, f64)]) {
        for &(id, factor) in factors {
            let Some(&slot) = self.index.get(&id) else { continue };
            if self[slot].weight_factor != factor {
                self[slot].weight_factor = factor;
                self.generation += 1;
            }
        }
    }

    /// Updates the weights of endpoints in slow start if an update is due.
    pub(crate) fn advance_slow_start(&mut self, now: Micros, settings: &Settings) {
        if self.next_weight_update.is_some_and(|at| now >= at) {
            self.update_weights(now, settings);
        }
    }

    /// Updates the weights of all endpoints and their totals, which puts rankings out of date.
    pub(crate) fn update_weights(&mut self, now: Micros, settings: &Settings) {
        self.generation += 1;
        self.origin = None;
        self.ready = 0;
        self.total_weight = 0.0;
        self.total_ramped_weight = 0.0;
        self.next_weight_update = None;
        for (slot, endpoint) in (0..).map(Slot).zip(&mut self.endpoints) {
            endpoint.update_weight(now, settings);
            if endpoint.entry.state != EndpointState::Ready {
                continue;
            }
            if endpoint.is_origin {
                self.origin = self.origin.or(Some(slot));
                continue;
            }
            self.ready += 1;
            self.total_weight += endpoint.weight;
            self.total_ramped_weight += endpoint.ramped_weight();
            if endpoint.is_in_slow_start(now, settings) {
                self.next_weight_update = Some(now + settings.slow_start_us / SLOW_START_STEPS);
            }
        }
    }
}
