//! What a member of the council must have on disk before it speaks.
use crate::Revision;
use bytes::Bytes;
use std::{convert::Infallible, fmt::Display};

/// One change to what is kept; a batch of them counts wholly or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// Replaces the head: promises, counters, the segment.
    Head(Bytes),
    /// Cuts what was accepted at `from` and appends.
    Accepted {
        /// First place that is replaced, counted from 0 in this segment.
        from: u64,
        /// What stands there now.
        entries: Vec<Bytes>,
    },
    /// Writes decided items.
    Items {
        /// Revision of the first.
        from: Revision,
        /// The items.
        items: Vec<Bytes>,
    },
    /// Replaces the snapshot.
    Snapshot(Bytes),
    /// Removes decided items up to and with this revision.
    Trim(Revision),
}

/// All that a store holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The last head, none in a store never written.
    pub head: Option<Bytes>,
    /// What this member has accepted in the current segment.
    pub accepted: Vec<Bytes>,
    /// Revision of the first of `items`.
    pub first_revision: Revision,
    /// Decided items without a gap.
    pub items: Vec<Bytes>,
    /// The last snapshot.
    pub snapshot: Option<Bytes>,
}

/// Where a balancer keeps its memory.
pub trait Store {
    /// Says what failed, and in which file.
    type Error: Display;
    /// Reads all that is kept.
    fn load(&mut self) -> Result<StoredState, Self::Error>;
    /// Makes all changes durable, or fails; after a failure nothing more is written.
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), Self::Error>;
}

/// A store that is lost with the process: for balancers outside the council, and for tests.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore(StoredState);

impl MemoryStore {
    fn apply(&mut self, change: &StoreChange) {
        let kept = &mut self.0;
        match change {
            StoreChange::Head(head) => kept.head = Some(head.clone()),
            StoreChange::Accepted { from, entries } => {
                kept.accepted.truncate(*from as usize);
                kept.accepted.extend(entries.iter().cloned());
            }
            StoreChange::Items { from, items } => {
                if *from != kept.first_revision + kept.items.len() as u64 {
                    kept.items.clear();
                }
                if kept.items.is_empty() {
                    kept.first_revision = *from;
                }
                kept.items.extend(items.iter().cloned());
            }
            StoreChange::Snapshot(snapshot) => kept.snapshot = Some(snapshot.clone()),
            StoreChange::Trim(to) => {
                let gone = (to + 1).saturating_sub(kept.first_revision).min(kept.items.len() as u64);
                kept.items.drain(..gone as usize);
                kept.first_revision += gone;
            }
        }
    }
}

impl Store for MemoryStore {
    type Error = Infallible;
    fn load(&mut self) -> Result<StoredState, Infallible> {
        Ok(self.0.clone())
    }
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), Infallible> {
        changes.iter().for_each(|change| self.apply(change));
        Ok(())
    }
}
