//! What does not belong into a fleet is counted, and nothing that is heard makes a member panic.
mod common;

use std::sync::OnceLock;

use bytes::Bytes;
use common::{Fleet, LIFE, MS, S};
use membership::MAX_DATAGRAM;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn numbers_that_are_not_on_the_roster_are_passed_over_and_the_rest_is_believed() {
    let mut larger = Fleet::new(6, 1);
    larger.kept = Some(Vec::new());
    (0..6).for_each(|number| larger.start(number, LIFE));
    larger.run(3 * S);
    let mut fleet = Fleet::settled(3, 2);
    for (to, datagram) in larger.kept.take().unwrap() {
        if to < 3 {
            fleet.with(to, |it, now| it.handle_datagram(now, &datagram));
        }
    }
    fleet.run(5 * S);
    assert!(fleet.wrong().is_empty());
    let counts = fleet.counts();
    assert!(
        counts
            .iter()
            .all(|it| it.unknown_member > 0 && it.unknown_updates > 0 && it.garbled + it.suspicions == 0),
        "{counts:?}"
    );
}

#[test]
fn what_is_too_long_garbled_misdirected_or_our_own_is_dropped_under_its_name() {
    let mut fleet = Fleet::settled(3, 3);
    fleet.kept = Some(Vec::new());
    fleet.run(S);
    let kept = fleet.kept.take().unwrap();
    let (_, other) = kept.iter().find(|(to, _)| *to == 1).unwrap().clone();
    fleet.with(0, |it, now| {
        it.handle_datagram(now, &[0; MAX_DATAGRAM + 1]);
        it.handle_datagram(now, &[]);
        it.handle_datagram(now, &other);
    });
    let counts = fleet.member(0).counters();
    assert_eq!((counts.too_long, counts.garbled), (1, 1));
    assert_eq!(counts.not_for_us + counts.own_number, 1);
}

/// Real datagrams of a lively fleet, all to number 0.
fn real() -> &'static [Bytes] {
    static REAL: OnceLock<Vec<Bytes>> = OnceLock::new();
    REAL.get_or_init(|| {
        let mut fleet = Fleet::new(6, 4);
        fleet.kept = Some(Vec::new());
        fleet.faults.loss = 0.3;
        (0..6).for_each(|number| fleet.start(number, 2));
        fleet.run(10 * S);
        fleet
            .kept
            .take()
            .unwrap()
            .into_iter()
            .filter(|(to, _)| *to == 0)
            .map(|(_, datagram)| datagram)
            .collect()
    })
}

fn mutated() -> impl Strategy<Value = Vec<u8>> {
    (any::<prop::sample::Index>(), prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4))
        .prop_map(|(which, changes)| {
            let mut datagram = real()[which.index(real().len())].to_vec();
            for (at, to) in changes {
                let at = at.index(datagram.len());
                datagram[at] = if to < 128 { to % 8 } else { to };
            }
            datagram
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_that_is_heard_makes_a_member_panic(
        datagrams in prop::collection::vec(
            prop_oneof![prop::collection::vec(any::<u8>(), 0..80), mutated(), mutated(), mutated()], 1..60,
        )
    ) {
        let mut fleet = Fleet::new(6, 6);
        fleet.start(0, 2);
        for datagram in datagrams {
            fleet.with(0, |it, now| it.handle_datagram(now, &datagram));
            fleet.run(30 * MS);
        }
        prop_assert!((1..=6).contains(&fleet.member(0).len()));
    }
}
