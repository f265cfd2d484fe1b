//! The interface of a voter's durable storage, and an implementation in memory.
use crate::types::Revision;
use bytes::Bytes;
use std::{convert::Infallible, error::Error};

/// One change of the stored state. A batch of them is applied atomically.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// Replaces the hard state: ballots, counters and the current segment.
    HardState(Bytes),
    /// Truncates the accepted entries at `from` and appends `entries`.
    Accepted {
        /// Index of the first replaced entry, from 0 in the current segment.
        from: u64,
        /// The entries to append.
        entries: Vec<Bytes>,
    },
    /// Appends committed items.
    Items {
        /// Revision of the first item.
        from: Revision,
        /// The items.
        items: Vec<Bytes>,
    },
    /// Replaces the snapshot.
    Snapshot(Bytes),
    /// Removes the committed items up to and including this revision.
    Trim(Revision),
}

/// The whole content of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The last hard state; `None` in a store that was never written.
    pub hard_state: Option<Bytes>,
    /// The entries accepted in the current segment.
    pub accepted: Vec<Bytes>,
    /// Revision of the first of `items`.
    pub first_revision: Revision,
    /// Committed items, without a gap.
    pub items: Vec<Bytes>,
    /// The last snapshot.
    pub snapshot: Option<Bytes>,
}

/// The durable storage of a voter.
pub trait Store {
    /// The error of the store. Its text names the failed operation and the file.
    type Error: Error;

    /// Reads the whole content.
    ///
    /// # Errors
    /// Returns an error if the content cannot be read. Unreadable content must not be treated as an empty store:
    /// that would lose votes.
    fn load(&mut self) -> Result<StoredState, Self::Error>;

    /// Makes all changes durable, or none of them.
    ///
    /// # Errors
    /// Returns an error if the changes are not durable. The caller writes nothing more after a failure.
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), Self::Error>;
}

/// A store in memory, which is lost when the process ends. For balancers that do not vote, and for tests.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore(StoredState);

impl MemoryStore {
    fn apply(&mut self, change: &StoreChange) {
        let stored = &mut self.0;
        match change {
            StoreChange::HardState(hard_state) => stored.hard_state = Some(hard_state.clone()),
            StoreChange::Accepted { from, entries } => {
                stored.accepted.truncate(*from as usize);
                stored.accepted.extend(entries.iter().cloned());
            }
            StoreChange::Items { from, items } => {
                if *from != stored.first_revision + stored.items.len() as u64 {
                    stored.items.clear();
                }
                if stored.items.is_empty() {
                    stored.first_revision = *from;
                }
                stored.items.extend(items.iter().cloned());
            }
            StoreChange::Snapshot(snapshot) => stored.snapshot = Some(snapshot.clone()),
            StoreChange::Trim(to) => {
                let count = stored.items.len() as u64;
                let trimmed = (to + 1).saturating_sub(stored.first_revision).min(count);
                stored.items.drain(..trimmed as usize);
                stored.first_revision += trimmed;
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
