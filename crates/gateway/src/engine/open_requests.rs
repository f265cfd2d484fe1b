//! The requests whose answers have not been written, and the limit on them.

use crate::setup::Bounds;
use bytes::Bytes;
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};

/// The size that an answer is expected to have at least, in bytes.
const MIN_EXPECTED_ANSWER: usize = 4 * 1024;
/// The expected size decays by this fraction with each shorter answer.
const DECAY_DIVISOR: usize = 64;

/// The open requests, and the memory that their answers may need.
#[derive(Debug)]
pub(super) struct OpenRequests {
    client_ids: RefCell<FxHashSet<Bytes>>,
    count: Cell<usize>,
    expected_answer: Cell<usize>,
    max_count: usize,
    max_answer_bytes: usize,
}

impl OpenRequests {
    /// No open requests.
    pub(super) fn new(bounds: &Bounds) -> Self {
        Self {
            client_ids: RefCell::default(),
            count: Cell::default(),
            expected_answer: Cell::new(MIN_EXPECTED_ANSWER),
            max_count: bounds.open,
            max_answer_bytes: bounds.answer_bytes,
        }
    }

    /// How many requests are open.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }

    /// Reserves the client's id. Returns whether no open request has it.
    pub(super) fn reserve_id(&self, client_id: Bytes) -> bool {
        self.client_ids.borrow_mut().insert(client_id)
    }

    /// Counts a request whose id is reserved.
    pub(super) fn open(&self) {
        self.count.set(self.count.get() + 1);
    }

    /// Ends a request, and frees its id.
    pub(super) fn close(&self, client_id: &Bytes) {
        self.count.set(self.count.get() - 1);
        self.client_ids.borrow_mut().remove(client_id);
    }

    /// Whether no further request can be accepted. Guards memory: each may hold an answer until its client has read it. The
    /// longest recent answer counts; by the longest possible one, a small balancer could accept fewer requests than a busy day
    /// brings.
    pub(super) fn is_full(&self) -> bool {
        let count = self.count.get();
        count >= self.max_count || (count + 1) * self.expected_answer.get() > self.max_answer_bytes
    }

    /// Learns from an answer's size: at once from a longer one, slowly from shorter ones.
    pub(super) fn record_answer_size(&self, size: usize) {
        let expected = self.expected_answer.get();
        let decayed = expected - expected / DECAY_DIVISOR;
        self.expected_answer.set(size.max(decayed).max(MIN_EXPECTED_ANSWER));
    }
}
