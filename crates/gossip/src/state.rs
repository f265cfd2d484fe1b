//! The gossip state of one balancer: the reports received, and the report to publish.

use crate::Micros;
use crate::weights::WeightEstimator;
use crate::wire::{EndpointHash, EndpointLoad, Report, ReportStamp};
use decide::api::{EndpointId, LoadReport};
use rustc_hash::FxHashMap;
use std::mem;

/// The shortest interval between reports. It is jittered, so that balancers that started together do not stay in step.
pub const PUBLISH_INTERVAL_US: Micros = 450_000;
/// The jitter of the interval, as a fraction of it.
const JITTER: f64 = 0.2;
/// The shortest time to the first report, as a fraction of the interval.
const MIN_FIRST: f64 = 0.2;
/// The jitter of that time, as a fraction of the interval.
const FIRST_JITTER: f64 = 0.8;
/// A report counts until the sender's next one, and for this time at the longest: three intervals.
pub const REPORT_LIFETIME_US: Micros = 1_500_000;
/// The fraction of the other balancers that must be heard from for full confidence: half of them may be down, or half
/// of the messages lost.
const CONFIDENT_FRACTION: f64 = 0.5;
/// And at least this many: one of a few balancers sees enough by itself, and would respond to the same load twice.
const MIN_CONFIDENT_SENDERS: f64 = 20.0;
/// The most senders that are kept, whatever the settings say of the number of balancers.
const MAX_SENDERS: usize = 4_096;

/// With fewer balancers than this none publishes: each sees enough by itself (measured with four to six).
pub const MIN_BALANCERS: usize = 10;

/// Counters of reports and datagrams since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Reports published.
    pub published: u64,
    /// Bytes of these.
    pub published_bytes: u64,
    /// Reports accepted.
    pub accepted: u64,
    /// Datagrams that could not be decoded.
    pub undecodable: u64,
    /// Reports no newer than one accepted before.
    pub outdated: u64,
    /// Datagrams from no other balancer.
    pub unknown_senders: u64,
}

/// The result of a turn.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipRound {
    /// The datagram to send to every other balancer.
    pub datagram: Vec<u8>,
    /// For each endpoint, the fraction of its listed weight to place keys by.
    pub weight_factors: Vec<(EndpointId, f64)>,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    received_at: Micros,
    report: Report,
}

impl ReceivedReport {
    fn has_expired(&self, now: Micros) -> bool {
        now.saturating_sub(self.received_at) >= REPORT_LIFETIME_US
    }
}

/// The reports that one balancer has received.
#[derive(Debug)]
pub struct GossipState {
    own_number: usize,
    next_stamp: ReportStamp,
    reports: Vec<Option<ReceivedReport>>,
    weights: WeightEstimator,
    counters: GossipCounters,
}

impl GossipState {
    /// Creates the state of balancer number `own_number` of `balancers`, which has just started. `now` is Unix time.
    #[must_use]
    pub fn new(own_number: usize, balancers: usize, now: Micros) -> Self {
        Self {
            own_number,
            next_stamp: ReportStamp::first(now),
            reports: vec![None; balancers.min(MAX_SENDERS)],
            weights: WeightEstimator::default(),
            counters: GossipCounters::default(),
        }
    }

    /// How long to wait for the next turn. `chance` is drawn evenly from 0 to 1. The first turn comes earlier.
    #[must_use]
    pub fn next_interval(&self, chance: f64) -> Micros {
        let intervals =
            if self.weights.is_started() { 1.0 + JITTER * chance } else { MIN_FIRST + FIRST_JITTER * chance };
        (PUBLISH_INTERVAL_US as f64 * intervals) as Micros
    }

    /// Handles a datagram of balancer number `from`. One that cannot be used is counted and changes nothing.
    pub fn handle_datagram(&mut self, now: Micros, from: usize, datagram: &[u8]) {
        let Some(received) = self.reports.get_mut(from).filter(|_| from != self.own_number) else {
            self.counters.unknown_senders += 1;
            return;
        };
        let Ok(report) = Report::decode(datagram) else {
            self.counters.undecodable += 1;
            return;
        };
        let current = received.as_ref().filter(|received| !received.has_expired(now));
        if current.is_some_and(|received| !report.stamp.is_newer_than(received.report.stamp)) {
            self.counters.outdated += 1;
            return;
        }
        self.counters.accepted += 1;
        *received = Some(ReceivedReport { received_at: now, report });
    }

    /// Counts a datagram from an address of no balancer.
    pub fn count_unknown_sender(&mut self) {
        self.counters.unknown_senders += 1;
    }

    /// The counters since the start.
    #[must_use]
    pub fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Creates the next report from `loads`, this balancer's own load of each endpoint that may be sent to, and
    /// estimates the weight factors of these endpoints.
    pub fn publish(&mut self, now: Micros, loads: &[LoadReport]) -> GossipRound {
        let datagram = self.encode_report(loads);
        let (others, senders) = self.sum_reports(now);
        let other_balancers = self.reports.len().saturating_sub(1) as f64;
        let enough = (CONFIDENT_FRACTION * other_balancers).max(MIN_CONFIDENT_SENDERS);
        let confidence = (f64::from(senders) / enough).min(1.0);
        let load_of_others = |endpoint: EndpointId| others.get(&endpoint.into()).copied().unwrap_or_default();
        let weight_factors = self.weights.update(now, loads, load_of_others, confidence);
        GossipRound { datagram, weight_factors }
    }

    fn encode_report(&mut self, loads: &[LoadReport]) -> Vec<u8> {
        let load = |load: &LoadReport| (load.endpoint.into(), EndpointLoad::default().plus(load));
        let report = Report { stamp: self.next_stamp, loads: loads.iter().map(load).collect() };
        let datagram = report.encode();
        self.next_stamp = self.next_stamp.next();
        self.counters.published += 1;
        self.counters.published_bytes += datagram.len() as u64;
        datagram
    }

    /// Sums the loads of all reports that count, and returns the number of these. Expired reports are dropped.
    fn sum_reports(&mut self, now: Micros) -> (FxHashMap<EndpointHash, EndpointLoad>, u32) {
        let mut sums: FxHashMap<EndpointHash, EndpointLoad> = FxHashMap::default();
        let mut senders = 0;
        for received in &mut self.reports {
            if received.as_ref().is_some_and(|received| received.has_expired(now)) {
                *received = None;
            }
            let Some(received) = received else { continue };
            senders += 1;
            for (endpoint, load) in &mut received.report.loads {
                let sum = sums.entry(*endpoint).or_default();
                sum.in_flight += load.in_flight;
                // Ended requests count once; those in flight count until the next report.
                sum.answered += mem::take(&mut load.answered);
                sum.failed += mem::take(&mut load.failed);
            }
        }
        (sums, senders)
    }
}
