//! The encoding of messages and stored values stays compatible with balancers of other versions.
//!
//! The golden files were written by the first version that had these values. A seeded run must produce the same bytes,
//! and a balancer that starts with the stored values must recover the same log.

mod common;

use agreement::{Action, Agreement, MemoryStore, Message, Settings, Store, StoreChange, StoredState};
use bytes::Bytes;
use common::{Disk, Entry, SECOND, Sim};
use expect_test::expect_file;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of messages of each kind that are compared.
const MESSAGES_PER_KIND: usize = 40;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// A run with proposals of all balancers, a long entry, a change of voters, snapshots, and a balancer that restarts.
fn recorded_run() -> Sim {
    let mut sim = Sim::new(43, 7, 3);
    sim.snapshot_interval = 8;
    sim.run(3 * SECOND);
    for proposer in 0..7 {
        let id = sim.propose(proposer, vec![proposer as u8; 3]);
        assert!(sim.run_until_committed(proposer, id, 10 * SECOND));
    }
    let id = sim.propose(4, vec![9; 3_000]);
    assert!(sim.run_until_committed(4, id, 10 * SECOND));
    let id = sim.change_voters_at(1, Some(2), Some(5));
    assert!(sim.run_until_committed(1, id, 10 * SECOND));
    for round in 0..12 {
        let id = sim.propose(6, vec![round]);
        assert!(sim.run_until_committed(6, id, 10 * SECOND));
    }
    sim.start(6);
    sim.run(3 * SECOND);
    sim
}

#[test]
fn encoded_messages_match_the_first_version() {
    let sim = recorded_run();
    let mut kinds: BTreeMap<u8, Vec<&Vec<u8>>> = BTreeMap::new();
    for (.., bytes) in &sim.recorded {
        let seen = kinds.entry(bytes[0]).or_default();
        if seen.len() < MESSAGES_PER_KIND && !seen.contains(&bytes) {
            seen.push(bytes);
        }
    }
    let mut text = String::new();
    for (kind, messages) in &kinds {
        for bytes in messages {
            let message: Message<Entry> = postcard::from_bytes(bytes).unwrap();
            assert_eq!(postcard::to_allocvec(&message).unwrap(), **bytes);
            writeln!(text, "{kind} {}", to_hex(bytes)).unwrap();
        }
    }
    expect_file!["golden/messages.txt"].assert_eq(&text);
}

/// Formats a stored state as one line for each value.
fn format_stored(stored: &StoredState) -> String {
    let mut text = format!("first {}\n", stored.first_revision);
    let mut line = |name: &str, bytes: &Bytes| writeln!(text, "{name} {}", to_hex(bytes)).unwrap();
    stored.hard_state.iter().for_each(|bytes| line("head", bytes));
    stored.accepted.iter().for_each(|bytes| line("accepted", bytes));
    stored.items.iter().for_each(|bytes| line("item", bytes));
    stored.snapshot.iter().for_each(|bytes| line("snapshot", bytes));
    text
}

/// Parses the output of [`format_stored`].
fn parse_stored(text: &str) -> StoredState {
    let mut stored = StoredState::default();
    for line in text.lines() {
        let (name, value) = line.split_once(' ').unwrap();
        match name {
            "first" => stored.first_revision = value.parse().unwrap(),
            "head" => stored.hard_state = Some(from_hex(value).into()),
            "accepted" => stored.accepted.push(from_hex(value).into()),
            "item" => stored.items.push(from_hex(value).into()),
            "snapshot" => stored.snapshot = Some(from_hex(value).into()),
            other => panic!("unknown value {other:?} in the golden file"),
        }
    }
    stored
}

#[test]
fn stored_values_match_the_first_version() {
    let sim = recorded_run();
    let mut disk: Disk = sim.balancers[0].disk.clone();
    let stored = disk.load().unwrap();
    assert!(!stored.accepted.is_empty() && !stored.items.is_empty() && stored.snapshot.is_some());
    expect_file!["golden/stored.txt"].assert_eq(&format_stored(&stored));
}

#[test]
fn stored_values_of_the_first_version_are_recovered() {
    let stored = parse_stored(include_str!("golden/stored.txt"));
    let mut store = MemoryStore::default();
    let changes = [
        StoreChange::HardState(stored.hard_state.unwrap()),
        StoreChange::Accepted { from: 0, entries: stored.accepted },
        StoreChange::Items { from: stored.first_revision, items: stored.items },
        StoreChange::Snapshot(stored.snapshot.unwrap()),
    ];
    let Ok(()) = store.write(&changes);
    let nodes = (0..7).map(|node_id| (node_id, node_id % 3)).collect();
    let settings = Settings { node_id: 0, incarnation: 1, voters: vec![0, 1, 2], nodes };
    let mut node: Agreement<Entry, MemoryStore> = Agreement::new(settings, store, 1, SECOND);
    let mut text = String::new();
    while let Some(action) = node.poll() {
        match action {
            Action::Restore { revision, timestamp, snapshot } => {
                writeln!(text, "snapshot {revision} {timestamp} {}", to_hex(&snapshot)).unwrap();
            }
            Action::Committed { revision, stamped } => {
                writeln!(
                    text,
                    "entry {revision} {} {} {} {}",
                    stamped.timestamp,
                    stamped.proposer,
                    stamped.proposal_id,
                    to_hex(&stamped.entry)
                )
                .unwrap();
            }
            Action::VotersChanged { revision, timestamp, voters } => {
                let voters: Vec<_> = voters.iter().map(|voter| (voter.node_id, voter.generation)).collect();
                writeln!(text, "members {revision} {timestamp} {voters:?}").unwrap();
            }
            _ => {}
        }
    }
    expect_file!["golden/started.txt"].assert_eq(&text);
}
