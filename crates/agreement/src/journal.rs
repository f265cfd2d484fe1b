//! A voter's state in memory, with the changes that must be durable before the voter sends anything.
//!
//! `omnipaxos` panics when a write fails. No write to the journal fails: it records the changes, and
//! [`Journal::flush`] makes them durable in one batch before anything is sent. If the flush fails, the voter
//! stops sending.
use crate::{
    codec::encode,
    hard_state::HardState,
    segment::{Segment, Voter},
    store::{Store, StoreChange},
    types::{Entry, StampedEntry},
};

/// The hard state and the accepted entries of a voter, and the changes that are not durable yet.
pub(crate) struct Journal<E> {
    hard_state: HardState,
    accepted: Vec<StampedEntry<E>>,
    changes: Vec<StoreChange>,
    hard_state_changed: bool,
    failed: bool,
}

impl<E: Entry> Journal<E> {
    pub(crate) fn new(hard_state: HardState, accepted: Vec<StampedEntry<E>>) -> Self {
        Journal { hard_state, accepted, changes: Vec::new(), hard_state_changed: true, failed: false }
    }

    pub(crate) fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Gives write access to the hard state. The change becomes durable with the next flush.
    pub(crate) fn hard_state_mut(&mut self) -> &mut HardState {
        self.hard_state_changed = true;
        &mut self.hard_state
    }

    /// The entries accepted in the current segment.
    pub(crate) fn accepted(&self) -> &[StampedEntry<E>] {
        &self.accepted
    }

    /// Records a change for the next flush. Has no effect after a flush has failed.
    pub(crate) fn record(&mut self, change: StoreChange) {
        if !self.failed {
            self.changes.push(change);
        }
    }

    /// Records the number of writes of a voter's store. It becomes durable together with the next other change.
    pub(crate) fn observe_writes(&mut self, voter: Voter, writes: u64) {
        self.hard_state.observe_writes(voter, writes);
    }

    /// Starts a segment. The accepted entries of the previous one are committed and in the log.
    pub(crate) fn enter_segment(&mut self, segment: Segment) {
        self.hard_state_mut().enter_segment(segment);
        self.replace_accepted(0, Vec::new());
    }

    /// Truncates the accepted entries at `from` and appends `entries`.
    pub(crate) fn replace_accepted(&mut self, from: usize, entries: Vec<StampedEntry<E>>) {
        let from = from.min(self.accepted.len());
        let encoded = entries.iter().map(encode).collect();
        self.record(StoreChange::Accepted { from: from as u64, entries: encoded });
        self.accepted.truncate(from);
        self.accepted.extend(entries);
    }

    /// Makes all recorded changes durable.
    pub(crate) fn flush<S: Store>(&mut self, store: &mut S) -> Result<(), S::Error> {
        if self.failed || (self.changes.is_empty() && !self.hard_state_changed) {
            return Ok(());
        }
        self.hard_state.writes += 1;
        let mut changes = std::mem::take(&mut self.changes);
        changes.push(StoreChange::HardState(encode(&self.hard_state)));
        self.hard_state_changed = false;
        let written = store.write(&changes);
        self.failed = written.is_err();
        written
    }
}
