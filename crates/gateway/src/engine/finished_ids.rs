//! Keeps the client's ids of finished requests that may have been executed and must not be executed again.
//!
//! A client whose connection ended may send its request once more, on a new connection, because it takes the request for
//! unread.

use super::open_requests::IdReservation;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::Instant;
use upstream::memory::{MemoryBudget, MemoryPermit};

/// The memory that a kept id needs beside its bytes.
const ENTRY_BYTES: usize = 256;

/// An id that is kept, and the memory reserved for it.
#[derive(Debug)]
struct FinishedId {
    until: Instant,
    _id: Rc<IdReservation>,
    _memory: Rc<MemoryPermit>,
}

/// The ids that are kept, the ones that are freed first in front.
#[derive(Debug)]
pub(super) struct FinishedIds {
    kept: VecDeque<FinishedId>,
    budget: MemoryBudget,
}

impl FinishedIds {
    /// Creates an empty collection, whose memory comes from `budget`.
    pub(super) fn new(budget: MemoryBudget) -> Self {
        Self { kept: VecDeque::new(), budget }
    }

    /// Keeps an id until a time that is not before that of earlier ids. `request_memory` is kept as well if there is no
    /// memory for the id alone: the number of requests bounds the number of ids.
    pub(super) fn keep(&mut self, id: Rc<IdReservation>, request_memory: Rc<MemoryPermit>, until: Instant) {
        let own_memory = self.budget.reserve(ENTRY_BYTES + id.id_bytes()).map(Rc::new);
        self.kept.push_back(FinishedId { until, _id: id, _memory: own_memory.unwrap_or(request_memory) });
    }

    /// Frees the ids whose time has passed.
    pub(super) fn sweep(&mut self, now: Instant) {
        while self.kept.front().is_some_and(|first| first.until <= now) {
            self.kept.pop_front();
        }
        self.kept.shrink_to(2 * self.kept.len());
    }
}
