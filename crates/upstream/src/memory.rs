//! A memory budget for values that are buffered completely though they are large, or that wait for an endpoint.

use std::cell::Cell;
use std::rc::Rc;

/// The budget, in bytes.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Rc::default() }
    }

    /// Reserves memory; `None` if there is not enough.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = MemoryPermit { bytes: 0, budget: self.clone() };
        permit.try_grow(bytes).then_some(permit)
    }
}

/// A part of the budget, released when dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    bytes: usize,
    budget: MemoryBudget,
}

impl MemoryPermit {
    /// Reserves more bytes. Returns whether there were enough; if not, nothing is reserved.
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
    }
}
