//! Datagrams, stored snapshots and the answer of `GET /fleet` in the form that other versions and staff know.

mod common;

use agreement::Store;
use audit::lease::TimeInterval;
use audit::ledger::{ActivityPeriod, ActivityReport};
use audit::version::Version;
use calendar::Proposal;
use common::{SECOND, Site, freeze};
use expect_test::expect_file;
use fleet::wire::{Body, Envelope};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Datagrams of each kind that are compared.
const PER_KIND: usize = 12;

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
    let piece = ActivityPeriod { serial: 8, version, from, to, counts, digest: 9 };
    ActivityReport { number: 0, incarnation: 10, sequence: 11, at: to, periods: vec![piece] }
}

fn recorded_run() -> Site {
    let mut site = Site::new(5, 3, "4s", 43);
    site.run(5 * SECOND);
    let now = site.now;
    site.members[4].as_mut().unwrap().propose(now, freeze("deadline").into()).unwrap();
    site.members[0].as_mut().unwrap().publish_report(now, report());
    site.run(3 * SECOND);
    let revoke = calendar::Revoke { id: "deadline".into(), asked_by: "ada".into(), reason: "over".into() };
    let now = site.now;
    site.members[1].as_mut().unwrap().propose(now, Proposal::Revoke(revoke).into()).unwrap();
    site.kill(3);
    site.run(10 * SECOND);
    site
}

#[test]
fn datagrams_keep_their_form() {
    let site = recorded_run();
    let mut kinds: BTreeMap<&str, Vec<&Vec<u8>>> = BTreeMap::new();
    for datagram in &site.recorded {
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
        if seen.len() < PER_KIND && !seen.contains(&datagram) {
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
fn the_answer_of_get_fleet_keeps_its_form() {
    let site = recorded_run();
    let view = site.members[0].as_ref().unwrap().view(site.local(0));
    expect_file!["golden/view.json"].assert_eq(&format!("{view:#}\n"));
}

#[test]
fn stored_values_keep_their_form() {
    let mut site = recorded_run();
    site.run(300 * SECOND); // past the first snapshot
    let stored = site.disk(0).load().unwrap();
    let mut text = String::new();
    writeln!(text, "snapshot {}", hex(&stored.snapshot.expect("made every 512 revisions"))).unwrap();
    for entry in stored.accepted.iter().take(8) {
        writeln!(text, "accepted {}", hex(entry)).unwrap();
    }
    for item in stored.items.iter().take(8) {
        writeln!(text, "item {}", hex(item)).unwrap();
    }
    expect_file!["golden/stored.txt"].assert_eq(&text);
}
