//! Invalid datagrams are dropped and counted, and none makes a member panic.
mod common;

use std::sync::OnceLock;

use bytes::Bytes;
use common::{Fleet, INCARNATION, MILLISECOND, SECOND};
use membership::MAX_DATAGRAM;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn unknown_updates_are_ignored_and_known_ones_applied() {
    let mut larger = Fleet::new(6, 1);
    larger.captured = Some(Vec::new());
    (0..6).for_each(|number| larger.start(number, INCARNATION));
    larger.run(3 * SECOND);
    let mut fleet = Fleet::converged(3, 2);
    for (to, datagram) in larger.captured.take().unwrap() {
        if to < 3 {
            fleet.drive(to, |it, now| it.handle_datagram(now, &datagram));
        }
    }
    fleet.run(5 * SECOND);
    assert!(fleet.members_with_wrong_view().is_empty());
    let counts = fleet.counters();
    assert!(
        counts
            .iter()
            .all(|it| it.unknown_member > 0 && it.unknown_updates > 0 && it.malformed + it.suspicions == 0),
        "{counts:?}"
    );
}

#[test]
fn invalid_datagrams_are_dropped_and_counted_by_reason() {
    let mut fleet = Fleet::converged(3, 3);
    fleet.captured = Some(Vec::new());
    fleet.run(SECOND);
    let captured = fleet.captured.take().unwrap();
    let (_, misdirected) = captured.iter().find(|(to, _)| *to == 1).unwrap().clone();
    fleet.drive(0, |it, now| {
        it.handle_datagram(now, &[0; MAX_DATAGRAM + 1]);
        it.handle_datagram(now, &[]);
        it.handle_datagram(now, &misdirected);
    });
    let counts = fleet.member(0).counters();
    assert_eq!((counts.too_long, counts.malformed), (1, 1));
    assert_eq!(counts.not_for_us + counts.own_number, 1);
}

/// Returns datagrams that a running fleet sent to member 0.
fn captured_datagrams() -> &'static [Bytes] {
    static DATAGRAMS: OnceLock<Vec<Bytes>> = OnceLock::new();
    DATAGRAMS.get_or_init(|| {
        let mut fleet = Fleet::new(6, 4);
        fleet.captured = Some(Vec::new());
        fleet.faults.loss = 0.3;
        (0..6).for_each(|number| fleet.start(number, 2));
        fleet.run(10 * SECOND);
        fleet
            .captured
            .take()
            .unwrap()
            .into_iter()
            .filter(|(to, _)| *to == 0)
            .map(|(_, datagram)| datagram)
            .collect()
    })
}

fn mutated_datagram() -> impl Strategy<Value = Vec<u8>> {
    (any::<prop::sample::Index>(), prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4))
        .prop_map(|(which, changes)| {
            let mut datagram = captured_datagrams()[which.index(captured_datagrams().len())].to_vec();
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
    fn no_datagram_makes_a_member_panic(
        datagrams in prop::collection::vec(
            prop_oneof![
                prop::collection::vec(any::<u8>(), 0..80),
                mutated_datagram(), mutated_datagram(), mutated_datagram(),
            ],
            1..60,
        )
    ) {
        let mut fleet = Fleet::new(6, 6);
        fleet.start(0, 2);
        for datagram in datagrams {
            fleet.drive(0, |it, now| it.handle_datagram(now, &datagram));
            fleet.run(30 * MILLISECOND);
        }
        prop_assert!((1..=6).contains(&fleet.member(0).len()));
    }
}
