//! Memory for values that are held whole though they are large, or wait for a peer: one budget for all of them.

use std::cell::Cell;
use std::rc::Rc;

/// The budget, in bytes.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    most: usize,
    used: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { most, used: Rc::default() }
    }

    /// Room for so many bytes; `None` where there is none.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> Option<MemoryPermit> {
        let mut held = MemoryPermit { bytes: 0, budget: self.clone() };
        held.grow(bytes).then_some(held)
    }
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    bytes: usize,
    budget: MemoryBudget,
}

impl MemoryPermit {
    /// Takes room for so many more; false, and nothing taken, where there is none.
    #[must_use]
    pub fn grow(&mut self, more: usize) -> bool {
        let used = self.budget.used.get();
        let fits = more <= self.budget.most.saturating_sub(used);
        if fits {
            self.budget.used.set(used + more);
            self.bytes += more;
        }
        fits
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
