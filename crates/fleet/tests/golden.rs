//! The formats of datagrams, of stored values and of the answer of `GET /fleet`, which other versions and operators
//! rely on.

mod common;

use agreement::Store;
use audit::lease::TimeInterval;
use audit::ledger::{ActivityPeriod, ActivityReport};
use audit::version::Version;
use calendar::Proposal;
use common::{SECOND, Simulation, freeze};
use expect_test::expect_file;
use fleet::wire::{Body, Envelope};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of datagrams of each kind that are compared.
const COMPARED_PER_KIND: usize = 12;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn report() -> ActivityReport {
    let version = Version {
        program: 1,
        configuration: 2,
        list_source: 3,
        list_revision: 4,
        calendar: 5,
        bookings: 6,
        epoch: 7,
    };
    let (from, to) =
        (TimeInterval { earliest: 100, latest: 110 }, TimeInterval { earliest: 200, latest: 220 });
    let counts = std::array::from_fn(|kind| 1_000 + kind as u64);
    let period = ActivityPeriod { serial: 8, version, from, to, counts, digest: 9 };
    ActivityReport { number: 0, incarnation: 10, sequence: 11, at: to, periods: vec![period] }
}

fn run_recorded_simulation() -> Simulation {
    let mut simulation = Simulation::new(5, 3, "4s", 43);
    simulation.run(5 * SECOND);
    let now = simulation.now;
    simulation.members[4].as_mut().unwrap().propose(now, freeze("deadline").into()).unwrap();
    simulation.members[0].as_mut().unwrap().publish_report(now, report());
    simulation.run(3 * SECOND);
    let revoke = calendar::Revoke { id: "deadline".into(), asked_by: "ada".into(), reason: "over".into() };
    let now = simulation.now;
    simulation.members[1].as_mut().unwrap().propose(now, Proposal::Revoke(revoke).into()).unwrap();
    simulation.kill(3);
    simulation.run(10 * SECOND);
    simulation
}

#[test]
fn datagrams_keep_their_encoding() {
    let simulation = run_recorded_simulation();
    let mut kinds: BTreeMap<&str, Vec<&Vec<u8>>> = BTreeMap::new();
    for datagram in &simulation.recorded_datagrams {
        let envelope = Envelope::decode(datagram).unwrap();
        assert_eq!(envelope.encode().as_ref(), Some(datagram));
        let kind = match envelope.body {
            Body::Membership(_) => "membership",
            Body::Agreement(_) => "agreement",
            Body::LeaseRequest(_) => "ask",
            Body::Heartbeat(None) => "word without a grant",
            Body::Heartbeat(Some(_)) => "word",
            Body::ActivityReport(_) => "report",
        };
        let seen = kinds.entry(kind).or_default();
        if seen.len() < COMPARED_PER_KIND && !seen.contains(&datagram) {
            seen.push(datagram);
        }
    }
    assert_eq!(kinds.len(), 6, "{:?}", kinds.keys());
    let mut text = String::new();
    for (kind, datagrams) in &kinds {
        datagrams.iter().for_each(|datagram| writeln!(text, "{kind}: {}", hex(datagram)).unwrap());
    }
    expect_file!["golden/datagrams.txt"].assert_eq(&text);
}

#[test]
fn get_fleet_answer_keeps_its_format() {
    let simulation = run_recorded_simulation();
    let view = simulation.members[0].as_ref().unwrap().view(simulation.local(0));
    expect_file!["golden/view.json"].assert_eq(&format!("{view:#}\n"));
}

#[test]
fn stored_values_keep_their_encoding() {
    let mut simulation = run_recorded_simulation();
    simulation.run(300 * SECOND); // past the first snapshot
    let stored = simulation.disk(0).load().unwrap();
    let mut text = String::new();
    writeln!(text, "snapshot {}", hex(&stored.snapshot.expect("a snapshot must exist after 512 revisions")))
        .unwrap();
    for entry in stored.accepted.iter().take(8) {
        writeln!(text, "accepted {}", hex(entry)).unwrap();
    }
    for item in stored.items.iter().take(8) {
        writeln!(text, "item {}", hex(item)).unwrap();
    }
    expect_file!["golden/stored.txt"].assert_eq(&text);
}
