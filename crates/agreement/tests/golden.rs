//! Messages and stored values in the form that balancers of other versions send and keep.
//!
//! The files were written by the first version that had them. A seeded run has to write the same bytes, and a balancer that is
//! started from the stored ones has to come to the same log.

mod common;

use agreement::{Action, Agreement, MemoryStore, Message, Settings, Store, StoreChange, StoredState};
use bytes::Bytes;
use common::{Disk, Entry, SECOND, Sim};
use expect_test::expect_file;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Messages of each kind that are compared.
const PER_KIND: usize = 40;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Proposals from everywhere, a long entry, a change of the quorum group, snapshots, and a balancer that starts late.
fn recorded_run() -> Sim {
    let mut sim = Sim::new(43, 7, 3);
    sim.snapshot_each = 8;
    sim.run(3 * SECOND);
    for number in 0..7 {
        let id = sim.propose(number, vec![number as u8; 3]);
        assert!(sim.decided(number, id, 10 * SECOND));
    }
    let id = sim.propose(4, vec![9; 3_000]);
    assert!(sim.decided(4, id, 10 * SECOND));
    let id = sim.change_voters_at(1, Some(2), Some(5));
    assert!(sim.decided(1, id, 10 * SECOND));
    for round in 0..12 {
        let id = sim.propose(6, vec![round]);
        assert!(sim.decided(6, id, 10 * SECOND));
    }
    sim.start(6);
    sim.run(3 * SECOND);
    sim
}

#[test]
fn messages_keep_their_form() {
    let sim = recorded_run();
    let mut kinds: BTreeMap<u8, Vec<&Vec<u8>>> = BTreeMap::new();
    for (.., bytes) in &sim.recorded {
        let seen = kinds.entry(bytes[0]).or_default();
        if seen.len() < PER_KIND && !seen.contains(&bytes) {
            seen.push(bytes);
        }
    }
    let mut text = String::new();
    for (kind, messages) in &kinds {
        for bytes in messages {
            let message: Message<Entry> = postcard::from_bytes(bytes).unwrap();
            assert_eq!(postcard::to_allocvec(&message).unwrap(), **bytes);
            writeln!(text, "{kind} {}", hex(bytes)).unwrap();
        }
    }
    expect_file!["golden/messages.txt"].assert_eq(&text);
}

fn lines(kept: &StoredState) -> String {
    let mut text = format!("first {}\n", kept.first_revision);
    let mut line = |name: &str, bytes: &Bytes| writeln!(text, "{name} {}", hex(bytes)).unwrap();
    kept.hard_state.iter().for_each(|bytes| line("head", bytes));
    kept.accepted.iter().for_each(|bytes| line("accepted", bytes));
    kept.items.iter().for_each(|bytes| line("item", bytes));
    kept.snapshot.iter().for_each(|bytes| line("snapshot", bytes));
    text
}

fn kept(text: &str) -> StoredState {
    let mut kept = StoredState::default();
    for line in text.lines() {
        let (name, value) = line.split_once(' ').unwrap();
        match name {
            "first" => kept.first_revision = value.parse().unwrap(),
            "head" => kept.hard_state = Some(unhex(value).into()),
            "accepted" => kept.accepted.push(unhex(value).into()),
            "item" => kept.items.push(unhex(value).into()),
            "snapshot" => kept.snapshot = Some(unhex(value).into()),
            other => panic!("{other}"),
        }
    }
    kept
}

#[test]
fn stored_values_keep_their_form() {
    let sim = recorded_run();
    let mut disk: Disk = sim.balancers[0].disk.clone();
    let stored = disk.load().unwrap();
    assert!(!stored.accepted.is_empty() && !stored.items.is_empty() && stored.snapshot.is_some());
    expect_file!["golden/stored.txt"].assert_eq(&lines(&stored));
}

#[test]
fn balancer_recovers_from_stored_values_of_the_first_version() {
    let kept = kept(include_str!("golden/stored.txt"));
    let mut store = MemoryStore::default();
    let changes = [
        StoreChange::HardState(kept.hard_state.unwrap()),
        StoreChange::Accepted { from: 0, entries: kept.accepted },
        StoreChange::Items { from: kept.first_revision, items: kept.items },
        StoreChange::Snapshot(kept.snapshot.unwrap()),
    ];
    let Ok(()) = store.write(&changes);
    let everyone = (0..7).map(|number| (number, number % 3)).collect();
    let settings = Settings { node_id: 0, incarnation: 1, voters: vec![0, 1, 2], nodes: everyone };
    let mut node: Agreement<Entry, MemoryStore> = Agreement::new(settings, store, 1, SECOND);
    let mut text = String::new();
    while let Some(action) = node.poll() {
        match action {
            Action::Restore { revision, timestamp, snapshot } => {
                writeln!(text, "snapshot {revision} {timestamp} {}", hex(&snapshot)).unwrap();
            }
            Action::Committed { revision, stamped: it } => {
                writeln!(
                    text,
                    "entry {revision} {} {} {} {}",
                    it.timestamp,
                    it.proposer,
                    it.proposal_id,
                    hex(&it.entry)
                )
                .unwrap();
            }
            Action::VotersChanged { revision, timestamp, voters } => {
                let members: Vec<_> = voters.iter().map(|it| (it.node_id, it.generation)).collect();
                writeln!(text, "members {revision} {timestamp} {members:?}").unwrap();
            }
            _ => {}
        }
    }
    expect_file!["golden/started.txt"].assert_eq(&text);
}
