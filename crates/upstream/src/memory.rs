//! A memory budget for large values that must be buffered completely, and for values of writes that wait for an
//! endpoint.

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

    /// Reserves memory. Returns `None` if the budget has too few bytes left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = MemoryPermit { bytes: 0, budget: self.clone() };
        permit.try_grow(bytes).then_some(permit)
    }

    /// Reserves memory, and waits while the budget has too few bytes left. Returns `None` if it never has enough.
    pub async fn reserve_when_available(&self, bytes: usize) -> Option<MemoryPermit> {
        if bytes > self.limit {
            return None;
        }
        loop {
            let released = self.released.notified();
            if let Some(permit) = self.reserve(bytes) {
                return Some(permit);
            }
            released.await;
        }
    }
}

/// Memory reserved from a [`MemoryBudget`]. Released when dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    bytes: usize,
    budget: MemoryBudget,
}

impl MemoryPermit {
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
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
        self.budget.released.notify_waiters();
    }
}
