//! The table of keys: the endpoints that serve each key, and its recent reads.

use crate::api::Key;
use crate::decaying_counter::DecayingCounter;
use crate::endpoint_table::Slot;
use rustc_hash::FxHashMap;
use std::mem;

/// Maximum number of keys in the younger generation of the table.
const GENERATION_KEYS: usize = 20_000;

/// Maximum number of endpoints per key: its home, then fallbacks for an overloaded or unusable home.
pub(crate) const MAX_RANKS: usize = 4;

/// The endpoints assigned to a key, and its recent reads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyAssignment {
    slots: [Slot; MAX_RANKS],
    len: usize,
    /// Generation of the endpoint table that the ranking is based on.
    pub(crate) generation: u32,
    /// The counter of recent reads of the key.
    pub(crate) reads: DecayingCounter,
}

impl KeyAssignment {
    /// Creates an assignment from the first `len` of `slots`, best first.
    pub(crate) fn new(slots: [Slot; MAX_RANKS], len: usize, generation: u32) -> Self {
        Self { slots, len, generation, reads: DecayingCounter::default() }
    }

    /// Returns the assigned endpoints, best first.
    pub(crate) fn slots(&self) -> &[Slot] {
        &self.slots[..self.len]
    }

    /// Returns the key's home: the endpoint that serves the key unless it is overloaded or unusable.
    pub(crate) fn home(&self) -> Option<Slot> {
        self.slots().first().copied()
    }
}

/// Assignments by key, in two generations, so that idle keys are dropped without a scan.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    young: FxHashMap<Key, KeyAssignment>,
    old: FxHashMap<Key, KeyAssignment>,
}

impl KeyTable {
    /// Removes and returns the assignment of a key.
    pub(crate) fn remove(&mut self, key: Key) -> Option<KeyAssignment> {
        self.young.remove(&key).or_else(|| self.old.remove(&key))
    }

    /// Inserts an assignment into the younger generation; a full one becomes the old generation first.
    pub(crate) fn insert(&mut self, key: Key, assignment: KeyAssignment) {
        if self.young.len() >= GENERATION_KEYS {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(key, assignment);
    }
}
