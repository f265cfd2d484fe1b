//! The table of listed endpoints: what is known of each, and sums over those that are ready.

use crate::api::{EndpointEntry, EndpointId, LoadReport, Micros, Mode, Outcome, Presence, Settings};
use rustc_hash::FxHashMap;
use std::mem;
use std::ops::{Index, IndexMut};

/// Weights of endpoints in slow start are brought up to date this many times over its span.
const SLOW_START_STEPS: Micros = 16;

/// The place of an endpoint in the table. Slots of removed endpoints are reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Slot(u32);

/// The number of attempts in flight, and its integral over time for load reports.
#[derive(Debug, Clone, Copy, Default)]
struct InFlightGauge {
    count: u32,
    changed_at: Micros,
    count_us: Micros,
}

impl InFlightGauge {
    fn change(&mut self, now: Micros, change: i32) {
        self.count_us += now.saturating_sub(self.changed_at) * Micros::from(self.count);
        self.changed_at = now;
        self.count = self.count.saturating_add_signed(change);
    }
}

/// The health of an endpoint, from the outcomes of its reads.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    /// Smoothed share of attempts without an answer or a connection.
    pub(crate) silent_share: f64,
    /// Smoothed share of attempts that broke, or were answered badly or too late.
    pub(crate) fault_share: f64,
    /// When an ejected endpoint may be tried again; 0 when it is not ejected.
    pub(crate) ejected_until: Micros,
    /// Ejections since it was last healthy.
    pub(crate) ejections: u32,
    /// Until when it counts as full, because it rejected a read.
    pub(crate) full_until: Micros,
}

/// The budget of sends to an endpoint in slow start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStartBudget {
    /// Permits saved up.
    pub(crate) permits: f64,
    /// The number of all reads when permits were last earned.
    pub(crate) reads_seen: f64,
}

/// A listed endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    /// Its line of the list.
    pub(crate) entry: EndpointEntry,
    /// Whether it is the origin.
    pub(crate) is_origin: bool,
    /// Its listed weight where weights are lasting, 1 otherwise.
    pub(crate) weight: f64,
    /// The fraction of its work that it can do for certain, by the slow-start ramp.
    pub(crate) slow_start_factor: f64,
    /// The fraction of its weight to place keys by, as the balancers determine it together.
    pub(crate) weight_factor: f64,
    /// Whether it has answered a read since its start.
    pub(crate) has_answered: bool,
    /// When it last answered any attempt.
    pub(crate) last_answer_at: Micros,
    /// The send times of the two most recently sent attempts that it answered, newest first.
    newest_answered: [Micros; 2],
    /// Its health.
    pub(crate) health: Health,
    /// Its budget while in slow start.
    pub(crate) slow_start: SlowStartBudget,
    in_flight: InFlightGauge,
    /// Reads answered and failed since the last load report.
    answered: u32,
    failed: u32,
}

impl Endpoint {
    fn new(entry: EndpointEntry, slow_start: SlowStartBudget) -> Self {
        Self {
            entry,
            is_origin: false,
            weight: 1.0,
            slow_start_factor: 1.0,
            weight_factor: 1.0,
            has_answered: entry.online_since == 0,
            last_answer_at: 0,
            newest_answered: [0; 2],
            health: Health::default(),
            slow_start,
            in_flight: InFlightGauge::default(),
            answered: 0,
            failed: 0,
        }
    }

    /// Whether it is ready but ejected for its faults. One that drains or is gone does not count as ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health.ejected_until > 0 && self.entry.presence == Presence::Ready
    }

    /// Whether it is a cache endpoint that is listed as ready.
    pub(crate) fn is_ready_cache(&self) -> bool {
        self.entry.presence == Presence::Ready && !self.is_origin
    }

    /// Whether it is past its slow start.
    pub(crate) fn is_warm(&self) -> bool {
        self.slow_start_factor >= 1.0
    }

    /// Its weight as reduced by slow start.
    pub(crate) fn ramped_weight(&self) -> f64 {
        self.weight * self.slow_start_factor
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.count
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_send(&mut self, now: Micros) {
        self.in_flight.change(now, 1);
        self.slow_start.permits -= 1.0;
    }

    /// Records that an attempt ended.
    pub(crate) fn record_end(&mut self, now: Micros) {
        self.in_flight.change(now, -1);
    }

    /// Counts the outcome of a read for load reports. Timeouts are not counted: they show in the reads in flight.
    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Miss => self.answered += 1,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => self.failed += 1,
            _ => {}
        }
    }

    /// Records an answer of any kind to an attempt that was sent at `sent_at`.
    pub(crate) fn record_answer(&mut self, now: Micros, sent_at: Micros) {
        self.last_answer_at = now;
        let [newest, second] = self.newest_answered;
        if sent_at > newest {
            self.newest_answered = [sent_at, newest];
        } else if sent_at > second {
            self.newest_answered[1] = sent_at;
        }
    }

    /// Whether it has answered two attempts that were sent after `sent_at`.
    pub(crate) fn answered_two_since(&self, sent_at: Micros) -> bool {
        self.newest_answered[1] > sent_at
    }

    fn take_load_report(&mut self, now: Micros, span_us: f64) -> LoadReport {
        self.in_flight.change(now, 0);
        LoadReport {
            endpoint: self.entry.id,
            weight: self.ramped_weight(),
            in_flight: mem::take(&mut self.in_flight.count_us) as f64 / span_us,
            answered: mem::take(&mut self.answered),
            failed: mem::take(&mut self.failed),
        }
    }

    /// Whether its last start is less than the slow-start span ago.
    fn is_in_slow_start(&self, now: Micros, settings: &Settings) -> bool {
        let since = self.entry.online_since;
        since != 0 && now.saturating_sub(since) < settings.slow_start_us
    }

    /// Brings weight, slow start and kind up to date.
    fn reweigh(&mut self, now: Micros, settings: &Settings) {
        let from = settings.slow_start_fraction;
        self.slow_start_factor = if self.is_in_slow_start(now, settings) {
            let age_us = now.saturating_sub(self.entry.online_since);
            let ramp = age_us as f64 / settings.slow_start_us as f64;
            from + (1.0 - from) * ramp
        } else {
            1.0
        };
        self.weight = if settings.weights_are_lasting { self.entry.weight } else { 1.0 };
        self.is_origin = settings.mode == Mode::CacheAside && settings.origin_kind == Some(self.entry.kind);
    }
}

/// The listed endpoints, and sums over the cache endpoints that are ready.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    index: FxHashMap<EndpointId, Slot>,
    origin: Option<Slot>,
    generation: u32,
    ready: u32,
    total_weight: f64,
    total_ramped_weight: f64,
    next_reweigh: Option<Micros>,
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
    /// All endpoints with their slots, those that are gone included.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &Endpoint)> {
        (0..).map(Slot).zip(&self.endpoints)
    }

    /// The first ready origin.
    pub(crate) fn origin(&self) -> Option<Slot> {
        self.origin
    }

    /// A number that grows with every change of weights; rankings of an earlier one are out of date.
    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    /// The number of ready cache endpoints.
    pub(crate) fn ready(&self) -> u32 {
        self.ready
    }

    /// The sum of the weights of ready cache endpoints.
    pub(crate) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// The same sum, reduced by slow start.
    pub(crate) fn total_ramped_weight(&self) -> f64 {
        self.total_ramped_weight
    }

    /// Marks every endpoint as gone, before a complete list is applied.
    pub(crate) fn mark_all_gone(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.entry.presence = Presence::Gone;
        }
    }

    /// Applies one line of the list. An endpoint that restarted keeps only its attempts in flight.
    pub(crate) fn apply(&mut self, entry: EndpointEntry, slow_start: SlowStartBudget) {
        let fresh = Endpoint::new(entry, slow_start);
        if let Some(&slot) = self.index.get(&entry.id) {
            let endpoint = &mut self[slot];
            if endpoint.entry.online_since == entry.online_since {
                endpoint.entry = entry;
            } else {
                *endpoint = Endpoint { in_flight: endpoint.in_flight, ..fresh };
            }
        } else if entry.presence != Presence::Gone {
            self.insert(fresh);
        }
    }

    /// Inserts a new endpoint. Free slots are reused so that the table stays small over many deployments.
    fn insert(&mut self, endpoint: Endpoint) {
        let id = endpoint.entry.id;
        let is_free = |old: &Endpoint| old.entry.presence == Presence::Gone && old.in_flight() == 0;
        let position = self.endpoints.iter().position(is_free).unwrap_or(self.endpoints.len());
        if let Some(old) = self.endpoints.get_mut(position) {
            self.index.remove(&old.entry.id);
            *old = endpoint;
        } else {
            self.endpoints.push(endpoint);
        }
        self.index.insert(id, Slot(position as u32));
    }

    /// Whether an endpoint is ready and not ejected. After its ejection it is on trial with one attempt at a time.
    pub(crate) fn is_usable(&self, slot: Slot, now: Micros) -> bool {
        let endpoint = &self[slot];
        let ejected_until = endpoint.health.ejected_until;
        let on_trial = now >= ejected_until && endpoint.in_flight() == 0;
        endpoint.entry.presence == Presence::Ready && (ejected_until == 0 || on_trial)
    }

    /// Returns the load of each ready cache endpoint since the last call.
    pub(crate) fn take_load_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        let since = mem::replace(&mut self.last_report_at, now);
        let span_us = now.saturating_sub(since).max(1) as f64;
        let ready = self.endpoints.iter_mut().filter(|endpoint| endpoint.is_ready_cache());
        ready.map(|endpoint| endpoint.take_load_report(now, span_us)).collect()
    }

    /// Sets the weight factors of endpoints; a change makes rankings out of date.
    pub(crate) fn set_weight_factors(&mut self, factors: &[(EndpointId, f64)]) {
        for &(id, factor) in factors {
            let Some(&slot) = self.index.get(&id) else { continue };
            if self[slot].weight_factor != factor {
                self[slot].weight_factor = factor;
                self.generation += 1;
            }
        }
    }

    /// Brings the weights of endpoints in slow start up to date when that is due.
    pub(crate) fn advance_slow_start(&mut self, now: Micros, settings: &Settings) {
        if self.next_reweigh.is_some_and(|at| now >= at) {
            self.reweigh(now, settings);
        }
    }

    /// Brings weights and sums up to date; rankings are then out of date.
    pub(crate) fn reweigh(&mut self, now: Micros, settings: &Settings) {
        self.generation += 1;
        self.origin = None;
        self.ready = 0;
        self.total_weight = 0.0;
        self.total_ramped_weight = 0.0;
        self.next_reweigh = None;
        for (slot, endpoint) in (0..).map(Slot).zip(&mut self.endpoints) {
            endpoint.reweigh(now, settings);
            if endpoint.entry.presence != Presence::Ready {
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
                self.next_reweigh = Some(now + settings.slow_start_us / SLOW_START_STEPS);
            }
        }
    }
}
