//! The state of one listed endpoint: its list entry, health, load and slow start.

use crate::api::{EndpointEntry, EndpointState, LoadReport, Micros, Mode, Outcome, Settings};
use std::mem;

/// The number of attempts in flight, and its integral over time for load reports.
#[derive(Debug, Clone, Copy, Default)]
struct InFlightGauge {
    count: u32,
    changed_at: Micros,
    integral_us: Micros,
}

impl InFlightGauge {
    fn add(&mut self, now: Micros, change: i32) {
        self.integral_us += now.saturating_sub(self.changed_at) * Micros::from(self.count);
        self.changed_at = now;
        self.count = self.count.saturating_add_signed(change);
    }
}

/// The health of an endpoint, from the outcomes of its reads.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    /// Smoothed share of attempts without an answer or a connection.
    pub(crate) silent_share: f64,
    /// Smoothed share of attempts with a broken connection, a bad answer or a late answer.
    pub(crate) fault_share: f64,
    /// Time from which an ejected endpoint may be tried again; 0 if it is not ejected.
    pub(crate) ejected_until: Micros,
    /// Number of ejections since the endpoint was last healthy.
    pub(crate) ejections: u32,
    /// Time until which the endpoint counts as full, because it rejected a read.
    pub(crate) full_until: Micros,
}

/// The budget of sends to an endpoint in slow start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStartBudget {
    /// Number of saved permits.
    pub(crate) permits: f64,
    /// Total of permit-earning reads when the endpoint was last credited with permits.
    pub(crate) reads_seen: f64,
}

/// A listed endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    /// Its entry in the endpoint list.
    pub(crate) entry: EndpointEntry,
    /// Whether the endpoint is the origin.
    pub(crate) is_origin: bool,
    /// Its listed weight if listed weights are stable, 1 otherwise.
    pub(crate) weight: f64,
    /// The fraction of its capacity that it has for certain, by the slow-start ramp; 1 once it is warm.
    pub(crate) slow_start_factor: f64,
    /// The fraction of its weight by which it is assigned keys, from the load reports of all balancers.
    pub(crate) weight_factor: f64,
    /// Whether the endpoint has answered a read since its start.
    pub(crate) has_answered: bool,
    /// Time of its last answer to any attempt.
    pub(crate) last_answer_at: Micros,
    /// Send times of the two most recently sent attempts that were answered, newest first.
    newest_answered: [Micros; 2],
    /// Its health, from the outcomes of its reads.
    pub(crate) health: Health,
    /// Its budget of sends while in slow start.
    pub(crate) slow_start: SlowStartBudget,
    in_flight: InFlightGauge,
    /// Reads answered since the last load report.
    answered: u32,
    /// Reads failed since the last load report.
    failed: u32,
}

impl Endpoint {
    /// Creates the record of an endpoint that was just listed.
    pub(crate) fn new(entry: EndpointEntry, slow_start: SlowStartBudget) -> Self {
        Self {
            entry,
            is_origin: false,
            weight: 1.0,
            slow_start_factor: 1.0,
            weight_factor: 1.0,
            has_answered: entry.started_at == 0,
            last_answer_at: 0,
            newest_answered: [0; 2],
            health: Health::default(),
            slow_start,
            in_flight: InFlightGauge::default(),
            answered: 0,
            failed: 0,
        }
    }

    /// Returns this record with the attempts in flight of an earlier record, from before a restart.
    pub(crate) fn with_attempts_of(self, earlier: &Endpoint) -> Self {
        Self { in_flight: earlier.in_flight, ..self }
    }

    /// Returns whether the endpoint is ready but ejected. A draining or removed endpoint does not count as ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health.ejected_until > 0 && self.entry.state == EndpointState::Ready
    }

    /// Returns whether this is a cache endpoint that is listed as ready.
    pub(crate) fn is_ready_cache(&self) -> bool {
        self.entry.state == EndpointState::Ready && !self.is_origin
    }

    /// Returns whether the endpoint is past its slow start.
    pub(crate) fn is_warm(&self) -> bool {
        self.slow_start_factor >= 1.0
    }

    /// Returns the endpoint's weight as reduced by slow start.
    pub(crate) fn ramped_weight(&self) -> f64 {
        self.weight * self.slow_start_factor
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.count
    }

    /// Records that an attempt was sent to the endpoint.
    pub(crate) fn record_send(&mut self, now: Micros) {
        self.in_flight.add(now, 1);
        self.slow_start.permits -= 1.0;
    }

    /// Records that an attempt at the endpoint ended.
    pub(crate) fn record_end(&mut self, now: Micros) {
        self.in_flight.add(now, -1);
    }

    /// Counts the outcome of a read for load reports. Timeouts are not counted: they raise the reads in flight.
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

    /// Returns whether the endpoint has answered two attempts that were sent after `sent_at`.
    pub(crate) fn answered_two_since(&self, sent_at: Micros) -> bool {
        self.newest_answered[1] > sent_at
    }

    /// Returns the load since the previous call, `span_us` ago.
    pub(crate) fn take_load_report(&mut self, now: Micros, span_us: f64) -> LoadReport {
        self.in_flight.add(now, 0);
        LoadReport {
            endpoint: self.entry.id,
            weight: self.ramped_weight(),
            in_flight: mem::take(&mut self.in_flight.integral_us) as f64 / span_us,
            answered: mem::take(&mut self.answered),
            failed: mem::take(&mut self.failed),
        }
    }

    /// Returns whether the endpoint started less than the slow-start span ago.
    pub(crate) fn is_in_slow_start(&self, now: Micros, settings: &Settings) -> bool {
        let since = self.entry.started_at;
        since != 0 && now.saturating_sub(since) < settings.slow_start_us
    }

    /// Updates the weight and the slow-start factor, and determines whether the endpoint is the origin.
    pub(crate) fn update_weight(&mut self, now: Micros, settings: &Settings) {
        let initial = settings.slow_start_fraction;
        self.slow_start_factor = if self.is_in_slow_start(now, settings) {
            let age_us = now.saturating_sub(self.entry.started_at);
            let ramp = age_us as f64 / settings.slow_start_us as f64;
            initial + (1.0 - initial) * ramp
        } else {
            1.0
        };
        self.weight = if settings.has_stable_weights { self.entry.weight } else { 1.0 };
        self.is_origin = settings.mode == Mode::CacheAside && settings.origin_kind == Some(self.entry.kind);
    }
}
