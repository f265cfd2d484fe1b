//! An append-only log of observations that tests read and wait on.

use crate::WAIT_TIMEOUT;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The maximum number of entries of a log, which bounds its memory: one hour at 200 requests per second. Entries beyond
/// it are dropped and counted.
pub const MAX_ENTRIES: usize = 720_000;

#[derive(Debug)]
struct Entries<T> {
    kept: Vec<T>,
    dropped: usize,
}

/// A handle to a log that is shared by its writers and readers.
#[derive(Debug)]
pub struct EventLog<T>(Arc<(Mutex<Entries<T>>, Condvar)>);

impl<T> Clone for EventLog<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        Self(Arc::new((Mutex::new(Entries { kept: Vec::new(), dropped: 0 }), Condvar::new())))
    }
}

impl<T> EventLog<T> {
    fn entries(&self) -> MutexGuard<'_, Entries<T>> {
        // Readers do not mutate entries, so they are consistent even if a reader panicked.
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends an entry and returns its index for [`EventLog::update`]. If the log is full, the entry is dropped.
    pub fn push(&self, entry: T) -> usize {
        let mut entries = self.entries();
        let index = entries.kept.len();
        if index < MAX_ENTRIES {
            entries.kept.push(entry);
        } else {
            entries.dropped += 1;
        }
        drop(entries);
        self.0.1.notify_all();
        index
    }

    /// Updates the entry at an index. Does nothing if the entry was dropped.
    pub fn update(&self, index: usize, update: impl FnOnce(&mut T)) {
        let mut entries = self.entries();
        if let Some(entry) = entries.kept.get_mut(index) {
            update(entry);
        }
        drop(entries);
        self.0.1.notify_all();
    }

    /// Calls `read` with the entries so far.
    pub fn with_entries<R>(&self, read: impl FnOnce(&[T]) -> R) -> R {
        read(&self.entries().kept)
    }

    /// Returns the number of kept entries.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries().kept.len()
    }

    /// Returns the number of entries dropped because the log was full.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.entries().dropped
    }

    /// Waits until `look` returns a value for the entries so far. Returns `None` after [`WAIT_TIMEOUT`].
    pub fn find<R>(&self, mut look: impl FnMut(&[T]) -> Option<R>) -> Option<R> {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut entries = self.entries();
        loop {
            if let Some(found) = look(&entries.kept) {
                return Some(found);
            }
            let left = until.checked_duration_since(Instant::now())?;
            entries = self.0.1.wait_timeout(entries, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until `look` returns a value for the entries so far.
    ///
    /// # Panics
    /// Panics after [`WAIT_TIMEOUT`]. The message names the awaited event as `what`.
    pub fn wait<R>(&self, what: &str, look: impl FnMut(&[T]) -> Option<R>) -> R {
        self.find(look).unwrap_or_else(|| panic!("timed out after {WAIT_TIMEOUT:?} waiting for: {what}"))
    }
}

impl<T: Clone> EventLog<T> {
    /// Returns a copy of all entries so far.
    #[must_use]
    pub fn all(&self) -> Vec<T> {
        self.entries().kept.clone()
    }
}
