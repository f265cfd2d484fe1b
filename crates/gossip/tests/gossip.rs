//! Which reports count, and the weight factors that follow from them.

use decide::api::{EndpointId, LoadReport};
use gossip::wire::{EndpointHash, EndpointLoad, MAX_BYTES, MAX_ENTRIES, Report, ReportStamp};
use gossip::{
    GossipState, MAX_WEIGHT_FACTOR, MIN_WEIGHT_FACTOR, Micros, PUBLISH_INTERVAL_US, REPORT_LIFETIME_US,
};
use proptest::prelude::*;

const SERVERS: u64 = 6;

fn load(server: u64, in_flight: f64) -> LoadReport {
    LoadReport { endpoint: EndpointId(server), weight: 1.5, in_flight, answered: 2, failed: 0 }
}

/// What each balancer holds: `held` at server 0, one request at every other.
fn loads(in_flight: f64) -> Vec<LoadReport> {
    (0..SERVERS).map(|n| load(n, if n == 0 { in_flight } else { 1.0 })).collect()
}

fn part(parts: &[(EndpointId, f64)], server: u64) -> f64 {
    parts.iter().find(|(id, _)| *id == EndpointId(server)).unwrap().1
}

/// A fleet of balancers that tell one another the same things, as long as `lost` says no.
struct Fleet {
    all: Vec<GossipState>,
    now: Micros,
}

impl Fleet {
    fn new(balancers: usize) -> Self {
        let now = 1_000_000_000;
        Self { all: (0..balancers).map(|n| GossipState::new(n, balancers, now)).collect(), now }
    }
    /// One turn of each; the parts that the first one yields.
    fn round(&mut self, loads: &[LoadReport], lost: impl Fn(usize, usize) -> bool) -> Vec<(EndpointId, f64)> {
        self.now += PUBLISH_INTERVAL_US;
        let turns: Vec<_> = self.all.iter_mut().map(|it| it.publish(self.now, loads)).collect();
        for (from, turn) in turns.iter().enumerate() {
            for (to, hearer) in self.all.iter_mut().enumerate() {
                if to != from && !lost(from, to) {
                    hearer.handle_datagram(self.now, from, &turn.datagram);
                }
            }
        }
        turns[0].weight_factors.clone()
    }
    fn rounds(
        &mut self, n: usize, loads: &[LoadReport], lost: impl Fn(usize, usize) -> bool,
    ) -> Vec<(EndpointId, f64)> {
        (0..n).map(|_| self.round(loads, &lost)).last().unwrap()
    }
}

#[test]
fn endpoint_with_more_than_its_share_loses_weight_and_all_balancers_agree() {
    let mut fleet = Fleet::new(20);
    let parts = fleet.rounds(12, &loads(4.0), |_, _| false);
    assert!(part(&parts, 0) < 0.3, "{parts:?}");
    assert!((1..SERVERS).all(|n| part(&parts, n) > 1.0), "{parts:?}");
    let (now, loads) = (fleet.now + PUBLISH_INTERVAL_US, loads(4.0));
    let all: Vec<f64> =
        fleet.all.iter_mut().map(|it| part(&it.publish(now, &loads).weight_factors, 0)).collect();
    let (least, most) = all.iter().fold((f64::MAX, 0.0_f64), |(a, b), p| (a.min(*p), b.max(*p)));
    assert!(most / least < 1.2, "balancers that hear the same must place keys alike: {all:?}");
}

#[test]
fn endpoint_that_fails_half_of_its_requests_loses_weight_though_few_are_in_flight() {
    let mut fleet = Fleet::new(20);
    let mut loads = loads(1.0);
    (loads[0].answered, loads[0].failed) = (1, 1);
    let parts = fleet.rounds(12, &loads, |_, _| false);
    assert!(part(&parts, 0) < 0.2, "{parts:?}");
}

#[test]
fn weight_factors_stay_in_bounds_and_return_when_the_cause_is_gone() {
    let mut fleet = Fleet::new(10);
    let parts = fleet.rounds(40, &loads(1_000.0), |_, _| false);
    assert!(
        parts.iter().all(|(_, part)| (MIN_WEIGHT_FACTOR..=MAX_WEIGHT_FACTOR).contains(part)),
        "{parts:?}"
    );
    let parts = fleet.rounds(60, &loads(1.0), |_, _| false);
    assert!(parts.iter().all(|(_, part)| (part - 1.0).abs() < 0.15), "{parts:?}");
}

#[test]
fn without_reports_every_endpoint_keeps_its_weight() {
    let mut fleet = Fleet::new(20);
    let parts = fleet.rounds(12, &loads(4.0), |_, _| true);
    assert!(parts.iter().all(|(_, part)| *part == 1.0), "{parts:?}");
    // And again when they are lost only after a while.
    fleet.rounds(12, &loads(4.0), |_, _| false);
    let parts =
        fleet.rounds(1 + (REPORT_LIFETIME_US / PUBLISH_INTERVAL_US) as usize, &loads(4.0), |_, _| true);
    assert!(parts.iter().all(|(_, part)| *part == 1.0), "{parts:?}");
}

#[test]
fn loss_of_a_third_of_the_reports_changes_little() {
    let mut fleet = Fleet::new(61);
    let whole = part(&fleet.rounds(12, &loads(4.0), |_, _| false), 0);
    let mut fleet = Fleet::new(61);
    let lossy = part(&fleet.rounds(12, &loads(4.0), |from, to| (from + 2 * to) % 3 == 0), 0);
    assert!((lossy / whole - 1.0).abs() < 0.4, "{whole} {lossy}");
}

#[test]
fn one_wrong_balancer_does_not_take_the_weight_of_a_good_endpoint() {
    let mut fleet = Fleet::new(100);
    let honest = loads(1.0);
    let liar = Report {
        stamp: ReportStamp::first(fleet.now),
        loads: vec![(EndpointId(0).into(), EndpointLoad { in_flight: 15.9, answered: 0, failed: 15 })],
    };
    let mut stamp = liar.stamp;
    let mut parts = Vec::new();
    for _ in 0..20 {
        parts = fleet.round(&honest, |from, _| from == 99);
        stamp = stamp.next();
        let now = fleet.now;
        fleet.all[0].handle_datagram(now, 99, &Report { stamp, ..liar.clone() }.encode());
    }
    assert!(part(&parts, 0) > 0.5, "{parts:?}");
}

#[test]
fn report_counts_once_in_order_and_until_it_expires() {
    let mut it = GossipState::new(0, 3, 0);
    let report = |incarnation: u16, number: u16| {
        let loads = vec![(EndpointId(0).into(), EndpointLoad { in_flight: 9.0, answered: 1, failed: 0 })];
        Report { stamp: ReportStamp { incarnation, number }, loads }.encode()
    };
    it.handle_datagram(1, 1, &report(7, 5));
    it.handle_datagram(2, 1, &report(7, 5)); // doubled
    it.handle_datagram(3, 1, &report(7, 4)); // late
    it.handle_datagram(4, 1, &report(6, 900)); // of a former life
    assert_eq!((it.counters().accepted, it.counters().outdated), (1, 3));
    it.handle_datagram(5, 1, &report(7, 6));
    it.handle_datagram(6, 1, &report(8, 0)); // restarted
    it.handle_datagram(7, 2, &report(u16::MAX, u16::MAX));
    it.handle_datagram(8, 2, &report(u16::MAX, 0)); // the number has come round
    assert_eq!((it.counters().accepted, it.counters().outdated), (5, 3));
    it.handle_datagram(9 + REPORT_LIFETIME_US, 1, &report(6, 0)); // after a silence whatever comes is news
    assert_eq!(it.counters().accepted, 6);
    it.handle_datagram(9 + REPORT_LIFETIME_US, 0, &report(9, 9)); // from itself
    it.handle_datagram(9 + REPORT_LIFETIME_US, 3, &report(9, 9)); // from none of the balancers
    assert_eq!(it.counters().unknown_senders, 2);
}

#[test]
fn turns_work_for_one_balancer_and_for_two_hundred() {
    for balancers in [1, 200] {
        let mut it = GossipState::new(0, balancers, 0);
        let turn = it.publish(1_000_000, &loads(3.0));
        assert!(turn.weight_factors.iter().all(|(_, part)| *part == 1.0));
        assert!(it.publish(2_000_000, &[]).weight_factors.is_empty(), "no servers, no loads");
        assert!(it.next_interval(0.0) < it.next_interval(1.0));
    }
}

#[test]
fn report_of_ten_thousand_endpoints_fits_a_datagram_the_busiest_first() {
    let loads = (0..10_000)
        .map(|n| (EndpointHash(n), EndpointLoad { in_flight: f64::from(n) / 1e3, answered: 99, failed: 99 }));
    let datagram = Report { stamp: ReportStamp::first(0), loads: loads.collect() }.encode();
    assert!(datagram.len() <= MAX_BYTES);
    let back = Report::decode(&datagram).unwrap();
    assert_eq!(back.loads.len(), MAX_ENTRIES);
    assert!(back.loads.iter().all(|(_, load)| load.in_flight > 9.8), "{:?}", back.loads);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..ProptestConfig::with_cases(512) })]

    #[test]
    fn no_datagram_causes_a_panic_or_a_weight_factor_out_of_bounds(
        datagrams in prop::collection::vec((0_usize..5, prop::collection::vec(any::<u8>(), 0..300)), 0..20)
    ) {
        let mut it = GossipState::new(0, 4, 0);
        for (n, (from, bytes)) in datagrams.iter().enumerate() {
            let mut bytes = bytes.clone();
            if let (Some(first), 0) = (bytes.first_mut(), n % 2) {
                *first = gossip::wire::VERSION; // else hardly one is read
            }
            it.handle_datagram(n as Micros * 100_000, *from, &bytes);
            let turn = it.publish(n as Micros * 100_000 + 1, &loads(0.5));
            prop_assert!(turn.datagram.len() <= MAX_BYTES);
            prop_assert!(turn.weight_factors.iter().all(|(_, part)| (MIN_WEIGHT_FACTOR..=MAX_WEIGHT_FACTOR).contains(part)));
        }
        let counts = it.counters();
        prop_assert_eq!(counts.accepted + counts.undecodable + counts.outdated + counts.unknown_senders, datagrams.len() as u64);
    }

    #[test]
    fn decoding_returns_what_was_encoded_to_the_nearest_step(
        loads in prop::collection::vec((any::<u16>(), 0.1_f64..15.9, 0_u32..16, 0_u32..16), 0..MAX_ENTRIES),
        incarnation: u16, number: u16,
    ) {
        let load = |(_, held, answered, failed): &(u16, f64, u32, u32)| EndpointLoad { in_flight: *held, answered: *answered, failed: *failed };
        let report = Report {
            stamp: ReportStamp { incarnation, number },
            loads: loads.iter().map(|w| (EndpointHash(w.0), load(w))).collect(),
        };
        let back = Report::decode(&report.encode()).unwrap();
        prop_assert_eq!(back.stamp, report.stamp);
        prop_assert_eq!(back.loads.len(), report.loads.len());
        let sum = |r: &Report| r.loads.iter().map(|(_, w)| w.in_flight).sum::<f64>();
        prop_assert!((sum(&back) - sum(&report)).abs() <= report.loads.len() as f64 / 32.0 + 1e-9);
    }
}
