//! The reports that count, and the weight factors that follow from them.

use decide::api::{EndpointId, LoadReport};
use gossip::wire::{EndpointHash, EndpointLoad, MAX_BYTES, MAX_ENTRIES, Report, ReportStamp};
use gossip::{
    GossipState, MAX_WEIGHT_FACTOR, MIN_WEIGHT_FACTOR, Micros, PUBLISH_INTERVAL_US, REPORT_LIFETIME_US,
};
use proptest::prelude::*;

const ENDPOINTS: u64 = 6;

fn load(endpoint: u64, in_flight: f64) -> LoadReport {
    LoadReport { endpoint: EndpointId(endpoint), weight: 1.5, in_flight, answered: 2, failed: 0 }
}

/// The load by each balancer: `in_flight` requests on endpoint 0, and one request on every other endpoint.
fn loads(in_flight: f64) -> Vec<LoadReport> {
    (0..ENDPOINTS).map(|n| load(n, if n == 0 { in_flight } else { 1.0 })).collect()
}

fn factor_of(factors: &[(EndpointId, f64)], endpoint: u64) -> f64 {
    factors.iter().find(|(id, _)| *id == EndpointId(endpoint)).unwrap().1
}

/// A fleet of balancers that gossip over a network that may lose datagrams.
struct Fleet {
    balancers: Vec<GossipState>,
    now: Micros,
}

impl Fleet {
    fn new(balancers: usize) -> Self {
        let now = 1_000_000_000;
        Self { balancers: (0..balancers).map(|n| GossipState::new(n, balancers, now)).collect(), now }
    }
    /// Runs one round of all balancers with the same `loads`. `is_lost` decides by sender and receiver whether a
    /// datagram is lost. Returns the weight factors of the first balancer.
    fn round(
        &mut self, loads: &[LoadReport], is_lost: impl Fn(usize, usize) -> bool,
    ) -> Vec<(EndpointId, f64)> {
        self.now += PUBLISH_INTERVAL_US;
        let rounds: Vec<_> = self.balancers.iter_mut().map(|it| it.publish(self.now, loads)).collect();
        for (from, round) in rounds.iter().enumerate() {
            for (to, receiver) in self.balancers.iter_mut().enumerate() {
                if to != from && !is_lost(from, to) {
                    receiver.handle_datagram(self.now, from, &round.datagram);
                }
            }
        }
        rounds[0].weight_factors.clone()
    }
    /// Runs `n` rounds, and returns the weight factors of the first balancer after the last one.
    fn rounds(
        &mut self, n: usize, loads: &[LoadReport], is_lost: impl Fn(usize, usize) -> bool,
    ) -> Vec<(EndpointId, f64)> {
        (0..n).map(|_| self.round(loads, &is_lost)).last().unwrap()
    }
}

#[test]
fn overloaded_endpoint_loses_weight_at_all_balancers_alike() {
    let mut fleet = Fleet::new(20);
    let factors = fleet.rounds(12, &loads(4.0), |_, _| false);
    assert!(factor_of(&factors, 0) < 0.3, "{factors:?}");
    assert!((1..ENDPOINTS).all(|n| factor_of(&factors, n) > 1.0), "{factors:?}");
    let (now, loads) = (fleet.now + PUBLISH_INTERVAL_US, loads(4.0));
    let all: Vec<f64> =
        fleet.balancers.iter_mut().map(|it| factor_of(&it.publish(now, &loads).weight_factors, 0)).collect();
    let (least, most) = all.iter().fold((f64::MAX, 0.0_f64), |(a, b), p| (a.min(*p), b.max(*p)));
    assert!(most / least < 1.2, "balancers with the same reports must have nearly the same factor: {all:?}");
}

#[test]
fn endpoint_failing_half_of_its_requests_loses_weight() {
    let mut fleet = Fleet::new(20);
    let mut loads = loads(1.0);
    (loads[0].answered, loads[0].failed) = (1, 1);
    let factors = fleet.rounds(12, &loads, |_, _| false);
    assert!(factor_of(&factors, 0) < 0.2, "{factors:?}");
}

#[test]
fn weight_factors_stay_in_bounds_and_recover_from_overload() {
    let mut fleet = Fleet::new(10);
    let factors = fleet.rounds(40, &loads(1_000.0), |_, _| false);
    assert!(
        factors.iter().all(|(_, factor)| (MIN_WEIGHT_FACTOR..=MAX_WEIGHT_FACTOR).contains(factor)),
        "{factors:?}"
    );
    let factors = fleet.rounds(60, &loads(1.0), |_, _| false);
    assert!(factors.iter().all(|(_, factor)| (factor - 1.0).abs() < 0.15), "{factors:?}");
}

#[test]
fn endpoints_without_reports_keep_their_weight() {
    let mut fleet = Fleet::new(20);
    let factors = fleet.rounds(12, &loads(4.0), |_, _| true);
    assert!(factors.iter().all(|(_, factor)| *factor == 1.0), "{factors:?}");
    // The factors return to 1 when all reports are lost after some rounds.
    fleet.rounds(12, &loads(4.0), |_, _| false);
    let factors =
        fleet.rounds(1 + (REPORT_LIFETIME_US / PUBLISH_INTERVAL_US) as usize, &loads(4.0), |_, _| true);
    assert!(factors.iter().all(|(_, factor)| *factor == 1.0), "{factors:?}");
}

#[test]
fn losing_a_third_of_the_reports_changes_factors_little() {
    let mut fleet = Fleet::new(61);
    let without_loss = factor_of(&fleet.rounds(12, &loads(4.0), |_, _| false), 0);
    let mut fleet = Fleet::new(61);
    let with_loss = factor_of(&fleet.rounds(12, &loads(4.0), |from, to| (from + 2 * to) % 3 == 0), 0);
    assert!(
        (with_loss / without_loss - 1.0).abs() < 0.4,
        "without loss {without_loss}, with loss {with_loss}"
    );
}

#[test]
fn false_reports_of_one_balancer_leave_most_of_the_weight() {
    let mut fleet = Fleet::new(100);
    let true_loads = loads(1.0);
    let false_report = Report {
        stamp: ReportStamp::first(fleet.now),
        loads: vec![(EndpointId(0).into(), EndpointLoad { in_flight: 15.9, answered: 0, failed: 15 })],
    };
    let mut stamp = false_report.stamp;
    let mut factors = Vec::new();
    for _ in 0..20 {
        factors = fleet.round(&true_loads, |from, _| from == 99);
        stamp = stamp.next();
        let now = fleet.now;
        fleet.balancers[0].handle_datagram(now, 99, &Report { stamp, ..false_report.clone() }.encode());
    }
    assert!(factor_of(&factors, 0) > 0.5, "{factors:?}");
}

#[test]
fn report_counts_once_in_order_until_it_expires() {
    let mut it = GossipState::new(0, 3, 0);
    let report = |incarnation: u16, number: u16| {
        let loads = vec![(EndpointId(0).into(), EndpointLoad { in_flight: 9.0, answered: 1, failed: 0 })];
        Report { stamp: ReportStamp { incarnation, number }, loads }.encode()
    };
    it.handle_datagram(1, 1, &report(7, 5));
    it.handle_datagram(2, 1, &report(7, 5)); // duplicated
    it.handle_datagram(3, 1, &report(7, 4)); // late
    it.handle_datagram(4, 1, &report(6, 900)); // from an earlier incarnation
    assert_eq!((it.counters().accepted, it.counters().outdated), (1, 3));
    it.handle_datagram(5, 1, &report(7, 6));
    it.handle_datagram(6, 1, &report(8, 0)); // restarted
    it.handle_datagram(7, 2, &report(u16::MAX, u16::MAX));
    it.handle_datagram(8, 2, &report(u16::MAX, 0)); // the number has wrapped around
    assert_eq!((it.counters().accepted, it.counters().outdated), (5, 3));
    it.handle_datagram(9 + REPORT_LIFETIME_US, 1, &report(6, 0)); // the last one has expired
    assert_eq!(it.counters().accepted, 6);
    it.handle_datagram(9 + REPORT_LIFETIME_US, 0, &report(9, 9)); // from itself
    it.handle_datagram(9 + REPORT_LIFETIME_US, 3, &report(9, 9)); // from an unknown balancer
    assert_eq!(it.counters().unknown_senders, 2);
}

#[test]
fn round_without_other_reports_leaves_factors_at_one() {
    for balancers in [1, 200] {
        let mut it = GossipState::new(0, balancers, 0);
        let round = it.publish(1_000_000, &loads(3.0));
        assert!(round.weight_factors.iter().all(|(_, factor)| *factor == 1.0));
        assert!(it.publish(2_000_000, &[]).weight_factors.is_empty(), "no endpoints, no weight factors");
        assert!(it.next_interval(0.0) < it.next_interval(1.0));
    }
}

#[test]
fn report_of_10_000_endpoints_keeps_the_busiest_that_fit() {
    let loads = (0..10_000)
        .map(|n| (EndpointHash(n), EndpointLoad { in_flight: f64::from(n) / 1e3, answered: 99, failed: 99 }));
    let datagram = Report { stamp: ReportStamp::first(0), loads: loads.collect() }.encode();
    assert!(datagram.len() <= MAX_BYTES);
    let decoded = Report::decode(&datagram).unwrap();
    assert_eq!(decoded.loads.len(), MAX_ENTRIES);
    assert!(decoded.loads.iter().all(|(_, load)| load.in_flight > 9.8), "{:?}", decoded.loads);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn arbitrary_datagrams_leave_weight_factors_in_bounds(
        datagrams in prop::collection::vec((0_usize..5, prop::collection::vec(any::<u8>(), 0..300)), 0..20)
    ) {
        let mut it = GossipState::new(0, 4, 0);
        for (n, (from, bytes)) in datagrams.iter().enumerate() {
            let mut bytes = bytes.clone();
            if let (Some(first), 0) = (bytes.first_mut(), n % 2) {
                *first = gossip::wire::VERSION; // so that some datagrams can be decoded
            }
            it.handle_datagram(n as Micros * 100_000, *from, &bytes);
            let round = it.publish(n as Micros * 100_000 + 1, &loads(0.5));
            prop_assert!(round.datagram.len() <= MAX_BYTES);
            let bounds = MIN_WEIGHT_FACTOR..=MAX_WEIGHT_FACTOR;
            prop_assert!(round.weight_factors.iter().all(|(_, factor)| bounds.contains(factor)));
        }
        let counts = it.counters();
        let counted = counts.accepted + counts.undecodable + counts.outdated + counts.unknown_senders;
        prop_assert_eq!(counted, datagrams.len() as u64);
    }

    #[test]
    fn decoded_report_equals_encoded_one_to_the_nearest_step(
        loads in prop::collection::vec((any::<u16>(), 0.1_f64..15.9, 0_u32..16, 0_u32..16), 0..MAX_ENTRIES),
        incarnation: u16, number: u16,
    ) {
        let load = |&(_, in_flight, answered, failed): &(u16, f64, u32, u32)| {
            EndpointLoad { in_flight, answered, failed }
        };
        let report = Report {
            stamp: ReportStamp { incarnation, number },
            loads: loads.iter().map(|entry| (EndpointHash(entry.0), load(entry))).collect(),
        };
        let decoded = Report::decode(&report.encode()).unwrap();
        prop_assert_eq!(decoded.stamp, report.stamp);
        prop_assert_eq!(decoded.loads.len(), report.loads.len());
        let sum = |report: &Report| report.loads.iter().map(|(_, load)| load.in_flight).sum::<f64>();
        prop_assert!((sum(&decoded) - sum(&report)).abs() <= report.loads.len() as f64 / 32.0 + 1e-9);
    }
}
