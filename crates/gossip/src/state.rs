//! The gossip state of one balancer: the reports received, and the report to publish.

use crate::Micros;
use crate::weights::WeightEstimator;
use crate::wire::{EndpointHash, EndpointLoad, Report, ReportStamp};
use decide::api::{EndpointId, LoadReport};
use rustc_hash::FxHashMap;
use std::mem;

/// The shortest interval between reports. Jitter is added, so that balancers that started together do not publish
/// together.
pub const PUBLISH_INTERVAL_US: Micros = 450_000;
/// The largest jitter added to the interval, as a fraction of the interval.
const JITTER: f64 = 0.2;
/// The shortest time to the first report, as a fraction of the interval.
const MIN_FIRST_DELAY: f64 = 0.2;
/// The largest jitter added to the time to the first report, as a fraction of the interval.
const FIRST_DELAY_JITTER: f64 = 0.8;
/// The longest time for which a report counts: three intervals. It counts only until the sender's next report.
pub const REPORT_LIFETIME_US: Micros = 1_500_000;
/// The fraction of the other balancers whose reports give full confidence. Half of the balancers may be down, or half
/// of the datagrams lost.
const CONFIDENT_FRACTION: f64 = 0.5;
/// The smallest number of senders whose reports give full confidence. In a small fleet each balancer sees enough load
/// by itself, and would respond to the same load twice.
const MIN_CONFIDENT_SENDERS: f64 = 20.0;
/// Upper bound on the balancers whose reports are kept, whatever number of balancers the settings give.
const MAX_SENDERS: usize = 4_096;

/// The smallest fleet in which balancers publish. In smaller fleets, as seen with four to six balancers, each balancer
/// sees enough load by itself.
pub const MIN_BALANCERS: usize = 10;

/// Counters of reports and datagrams since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Reports published.
    pub published: u64,
    /// Bytes of the reports published.
    pub published_bytes: u64,
    /// Reports accepted.
    pub accepted: u64,
    /// Datagrams that could not be decoded.
    pub undecodable: u64,
    /// Reports that are not newer than the last one accepted from their sender.
    pub outdated: u64,
    /// Datagrams whose sender is not another balancer.
    pub unknown_senders: u64,
}

/// The result of a gossip round.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipRound {
    /// The datagram to send to every other balancer.
    pub datagram: Vec<u8>,
    /// The weight factor of each endpoint: the fraction of its listed weight that the placement of keys uses.
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

/// The gossip state of one balancer.
#[derive(Debug)]
pub struct GossipState {
    own_number: usize,
    next_stamp: ReportStamp,
    reports: Vec<Option<ReceivedReport>>,
    weights: WeightEstimator,
    counters: GossipCounters,
}

impl GossipState {
    /// Creates the state of balancer number `own_number` in a fleet of `balancers`, which starts at the Unix
    /// time `now`.
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

    /// Returns the time to wait before the next round. `chance` is a random number, uniform from 0 to 1. The
    /// wait before the first round is shorter.
    #[must_use]
    pub fn next_interval(&self, chance: f64) -> Micros {
        let factor = if self.weights.is_started() {
            1.0 + JITTER * chance
        } else {
            MIN_FIRST_DELAY + FIRST_DELAY_JITTER * chance
        };
        (PUBLISH_INTERVAL_US as f64 * factor) as Micros
    }

    /// Handles a datagram of balancer number `from`. Invalid and outdated datagrams are counted and ignored.
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

    /// Counts a datagram from an address that belongs to no balancer.
    pub fn count_unknown_sender(&mut self) {
        self.counters.unknown_senders += 1;
    }

    /// The counters since the start.
    #[must_use]
    pub fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Creates the next report from `loads`, and estimates the weight factors of their endpoints. `loads` is this
    /// balancer's own load on each endpoint that may receive requests.
    pub fn publish(&mut self, now: Micros, loads: &[LoadReport]) -> GossipRound {
        let datagram = self.encode_report(loads);
        let (loads_of_others, senders) = self.sum_reports(now);
        let other_balancers = self.reports.len().saturating_sub(1) as f64;
        let confident_senders = (CONFIDENT_FRACTION * other_balancers).max(MIN_CONFIDENT_SENDERS);
        let confidence = (f64::from(senders) / confident_senders).min(1.0);
        let load_of_others =
            |endpoint: EndpointId| loads_of_others.get(&endpoint.into()).copied().unwrap_or_default();
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

    /// Returns the sum of the loads in all reports that count, and the number of their senders. Drops expired reports.
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
                // Ended requests count once. Requests in flight count until the sender's next report.
                sum.answered += mem::take(&mut load.answered);
                sum.failed += mem::take(&mut load.failed);
            }
        }
        (sums, senders)
    }
}
