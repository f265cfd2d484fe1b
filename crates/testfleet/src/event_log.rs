//! An append-only log of observations that tests read and wait on.

use crate::PATIENCE;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The maximum number of entries, to bound memory: an hour at 200 requests per second. Further entries are only
/// counted.
pub const MAX_ENTRIES: usize = 720_000;

#[derive(Debug)]
struct Entries<T> {
    kept: Vec<T>,
    dropped: usize,
}

/// A log shared by its writers and readers.
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
        // Readers do not mutate entries, so a panic in one leaves them consistent.
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends an entry and returns its index, for [`EventLog::update`].
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

    /// Updates the entry at an index; does nothing if it was dropped.
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

    /// Returns the number of entries.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries().kept.len()
    }

    /// Returns the number of entries dropped because the log was full.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.entries().dropped
    }

    /// Waits until `look` returns a value; returns `None` after [`PATIENCE`].
    pub fn find<R>(&self, mut look: impl FnMut(&[T]) -> Option<R>) -> Option<R> {
        let until = Instant::now() + PATIENCE;
        let mut entries = self.entries();
        loop {
            if let Some(found) = look(&entries.kept) {
                return Some(found);
            }
            let left = until.checked_duration_since(Instant::now())?;
            entries = self.0.1.wait_timeout(entries, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until `look` returns a value.
    ///
    /// # Panics
    /// Panics after [`PATIENCE`], naming what was awaited.
    pub fn wait<R>(&self, what: &str, look: impl FnMut(&[T]) -> Option<R>) -> R {
        self.find(look).unwrap_or_else(|| panic!("not within {PATIENCE:?}: {what}"))
    }
}

impl<T: Clone> EventLog<T> {
    /// Returns a copy of all entries so far.
    #[must_use]
    pub fn all(&self) -> Vec<T> {
        self.entries().kept.clone()
    }
}
