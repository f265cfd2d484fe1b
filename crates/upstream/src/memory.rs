//! Budgets for the memory that is kept for clients: their commands, and the answers to their requests.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A memory budget in bytes. Clones share the budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
    /// Notified when reserved bytes are released.
    released: Rc<Notify>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Rc::default(), released: Rc::default() }
    }

    /// Returns the number of bytes that are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns a permit that has reserved nothing yet.
    #[must_use]
    pub fn empty_permit(&self) -> MemoryPermit {
        MemoryPermit { bytes: 0, budget: self.clone() }
    }

    /// Reserves memory. Returns `None` if the budget has too few bytes left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = self.empty_permit();
        permit.try_grow(bytes).then_some(permit)
    }

    /// Reserves memory, and waits while the budget has too few bytes left. Returns `None` if it never has enough.
    pub async fn reserve_when_available(&self, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = self.empty_permit();
        permit.grow_when_available(bytes).await.then_some(permit)
    }
}

/// Memory reserved from a [`MemoryBudget`]. Released when dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    bytes: usize,
    budget: MemoryBudget,
}

impl MemoryPermit {
    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes. Returns `false`, and reserves nothing, if the budget has too few bytes left.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get();
        let fits = bytes <= self.budget.limit.saturating_sub(used);
        if fits {
            self.budget.used.set(used + bytes);
            self.bytes += bytes;
        }
        fits
    }

    /// Reserves further bytes, and waits while the budget has too few left. Returns `false`, and reserves nothing, if
    /// the budget never has enough.
    #[must_use]
    pub async fn grow_when_available(&mut self, bytes: usize) -> bool {
        if self.bytes + bytes > self.budget.limit {
            return false;
        }
        loop {
            let budget = self.budget.clone();
            let released = budget.released.notified();
            if self.try_grow(bytes) {
                return true;
            }
            released.await;
        }
    }

    /// Adds the bytes of another permit of the same budget.
    pub fn merge(&mut self, mut other: MemoryPermit) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.used.set(self.budget.used.get() - self.bytes);
            self.budget.released.notify_waiters();
        }
    }
}
