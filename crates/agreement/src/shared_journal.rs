//! The journal as the storage of `omnipaxos`.
use crate::{
    journal::Journal,
    types::{Entry, StampedEntry},
};
use omnipaxos::{
    ballot_leader_election::Ballot,
    storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult},
};
use std::sync::{Arc, Mutex, MutexGuard};

impl<E: Entry> omnipaxos::storage::Entry for StampedEntry<E> {
    type Snapshot = NoSnapshot;
}

/// The journal, shared by `omnipaxos` and the other modules on one thread.
pub(crate) struct SharedJournal<E>(Arc<Mutex<Journal<E>>>);

impl<E> Clone for SharedJournal<E> {
    fn clone(&self) -> Self {
        SharedJournal(self.0.clone())
    }
}

impl<E: Entry> SharedJournal<E> {
    pub(crate) fn new(journal: Journal<E>) -> Self {
        SharedJournal(Arc::new(Mutex::new(journal)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Journal<E>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl<E: Entry> Storage<StampedEntry<E>> for SharedJournal<E> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<StampedEntry<E>>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop_sign) => self.set_stopsign(stop_sign)?,
                // A segment is never trimmed: it ends, and the next one begins empty.
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: StampedEntry<E>) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<StampedEntry<E>>) -> StorageResult<()> {
        let mut journal = self.lock();
        let end = journal.accepted().len();
        if !entries.is_empty() {
            journal.replace_accepted(end, entries);
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<StampedEntry<E>>) -> StorageResult<()> {
        self.lock().replace_accepted(from, entries);
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().hard_state_mut().promised = ballot;
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().hard_state_mut().decided_index = index as u64;
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().hard_state().decided_index as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().hard_state_mut().accepted_ballot = ballot;
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(Some(self.lock().hard_state().accepted_ballot))
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<StampedEntry<E>>> {
        Ok(self.lock().accepted().get(from..to).unwrap_or_default().to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().accepted().len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<StampedEntry<E>>> {
        Ok(self.lock().accepted().get(from..).unwrap_or_default().to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        let promised = self.lock().hard_state().promised;
        Ok((promised != Ballot::default()).then_some(promised))
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.lock().hard_state_mut().stop_sign = stop_sign;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.lock().hard_state().stop_sign.clone())
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
