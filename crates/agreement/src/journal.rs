//! What a member remembers, in memory, with the changes that must be durable before it speaks again.
//!
//! `omnipaxos` panics when a write fails; here none can: writes are noted, made durable in one batch ([`Journal::flush`]) before
//! anything is sent, and when that fails the member is silent from then on.
use crate::{
    Entry, NodeId, Stamped, Store, StoreChange,
    segment::{Segment, Voter},
};
use bytes::Bytes;
use omnipaxos::{
    ballot_leader_election::Ballot,
    storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult},
};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};

impl<E: Entry> omnipaxos::storage::Entry for Stamped<E> {
    type Snapshot = NoSnapshot;
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Names the store; drawn when it was made.
    pub(crate) generation: u64,
    /// Starts of this store.
    pub(crate) epoch: u64,
    /// Batches written.
    pub(crate) writes: u64,
    /// Whether the founding council let this member vote without memory.
    pub(crate) founded: bool,
    /// The segment that the votes below are for.
    pub(crate) segment: Segment,
    pub(crate) promise: Ballot,
    pub(crate) accepted_round: Ballot,
    pub(crate) decided: u64,
    pub(crate) stop: Option<StopSign>,
    /// Most writes heard of from each member's store.
    pub(crate) heard: Vec<(Voter, u64)>,
    /// Stores that had no memory at the founding.
    pub(crate) founders: Vec<Voter>,
}

pub(crate) struct Journal<E> {
    pub(crate) head: Head,
    pub(crate) accepted: Vec<Stamped<E>>,
    changes: Vec<StoreChange>,
    head_changed: bool,
    failed: bool,
}

impl<E: Entry> Journal<E> {
    pub(crate) fn new(head: Head, accepted: Vec<Stamped<E>>) -> Self {
        Journal { head, accepted, changes: Vec::new(), head_changed: true, failed: false }
    }

    pub(crate) fn note(&mut self, change: StoreChange) {
        if !self.failed {
            self.changes.push(change);
        }
    }

    pub(crate) fn head(&mut self) -> &mut Head {
        self.head_changed = true;
        &mut self.head
    }

    /// Remembers how far a member's store has counted; goes to disk along with the next change.
    pub(crate) fn heard(&mut self, member: Voter, writes: u64) {
        match self.head.heard.iter_mut().find(|heard| heard.0 == member) {
            Some(heard) => heard.1 = heard.1.max(writes),
            None => {
                self.head.heard.retain(|heard| heard.0.node_id != member.node_id);
                self.head.heard.push((member, writes));
            }
        }
    }

    pub(crate) fn heard_of(&self, number: NodeId, generation: u64) -> u64 {
        let heard = self.head.heard.iter().find(|heard| heard.0 == Voter { node_id: number, generation });
        heard.map_or(0, |heard| heard.1)
    }

    /// Starts a segment: what was accepted in the last one is decided and in the log.
    pub(crate) fn enter(&mut self, segment: Segment) {
        let head = self.head();
        head.segment = segment;
        head.promise = Ballot::default();
        head.accepted_round = Ballot::default();
        head.decided = 0;
        head.stop = None;
        self.cut(0, Vec::new());
    }

    fn cut(&mut self, from: usize, entries: Vec<Stamped<E>>) {
        let from = from.min(self.accepted.len());
        let bytes = entries.iter().map(encode).collect();
        self.note(StoreChange::Accepted { from: from as u64, entries: bytes });
        self.accepted.truncate(from);
        self.accepted.extend(entries);
    }

    /// Makes all noted changes durable.
    pub(crate) fn flush<S: Store>(&mut self, store: &mut S) -> Result<(), String> {
        if self.failed || (self.changes.is_empty() && !self.head_changed) {
            return Ok(());
        }
        self.head.writes += 1;
        let mut changes = std::mem::take(&mut self.changes);
        changes.push(StoreChange::Head(encode(&self.head)));
        self.head_changed = false;
        store.write(&changes).map_err(|error| {
            self.failed = true;
            error.to_string()
        })
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_allocvec(value).unwrap_or_default().into()
}

/// The journal as `omnipaxos` and the rest share it; all on one thread.
pub(crate) struct Shared<E>(Arc<Mutex<Journal<E>>>);

impl<E> Clone for Shared<E> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<E: Entry> Shared<E> {
    pub(crate) fn new(journal: Journal<E>) -> Self {
        Shared(Arc::new(Mutex::new(journal)))
    }
    pub(crate) fn lock(&self) -> MutexGuard<'_, Journal<E>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl<E: Entry> Storage<Stamped<E>> for Shared<E> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Stamped<E>>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                // A segment is never trimmed: it ends, and the next one begins empty.
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }
    fn append_entry(&mut self, entry: Stamped<E>) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }
    fn append_entries(&mut self, entries: Vec<Stamped<E>>) -> StorageResult<()> {
        let mut journal = self.lock();
        let end = journal.accepted.len();
        if !entries.is_empty() {
            journal.cut(end, entries);
        }
        Ok(())
    }
    fn append_on_prefix(&mut self, from: usize, entries: Vec<Stamped<E>>) -> StorageResult<()> {
        self.lock().cut(from, entries);
        Ok(())
    }
    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().head().promise = ballot;
        Ok(())
    }
    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().head().decided = index as u64;
        Ok(())
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().head.decided as usize)
    }
    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().head().accepted_round = ballot;
        Ok(())
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(Some(self.lock().head.accepted_round))
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Stamped<E>>> {
        Ok(self.lock().accepted.get(from..to).unwrap_or_default().to_vec())
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().accepted.len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Stamped<E>>> {
        Ok(self.lock().accepted.get(from..).unwrap_or_default().to_vec())
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        let promise = self.lock().head.promise;
        Ok((promise != Ballot::default()).then_some(promise))
    }
    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.lock().head().stop = stop;
        Ok(())
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.lock().head.stop.clone())
    }
    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }
    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
