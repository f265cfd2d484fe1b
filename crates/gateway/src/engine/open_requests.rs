//! Tracks the open requests, whose answers have not been written yet, and limits their number.

use crate::setup::Bounds;
use bytes::Bytes;
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The minimum of the expected answer size, in bytes.
const MIN_EXPECTED_ANSWER_BYTES: usize = 4 * 1024;
/// Each shorter answer reduces the expected answer size by one part in this number.
const DECAY_DIVISOR: usize = 64;

/// The client's id of a request, which no other request may have meanwhile. Freed when dropped.
#[derive(Debug)]
pub(super) struct IdReservation {
    client_id: Bytes,
    open_requests: Rc<OpenRequests>,
}

impl IdReservation {
    /// Returns the length of the id in bytes.
    pub(super) fn id_bytes(&self) -> usize {
        self.client_id.len()
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        self.open_requests.client_ids.borrow_mut().remove(&self.client_id);
    }
}

/// The open requests, and the memory that their answers may need.
#[derive(Debug)]
pub(super) struct OpenRequests {
    client_ids: RefCell<FxHashSet<Bytes>>,
    count: Cell<usize>,
    expected_answer_bytes: Cell<usize>,
    max_count: usize,
    max_answer_bytes: usize,
}

impl OpenRequests {
    /// Creates an empty set with the limits from `bounds`.
    pub(super) fn new(bounds: &Bounds) -> Self {
        Self {
            client_ids: RefCell::default(),
            count: Cell::default(),
            expected_answer_bytes: Cell::new(MIN_EXPECTED_ANSWER_BYTES),
            max_count: bounds.open,
            max_answer_bytes: bounds.answer_bytes,
        }
    }

    /// Returns the number of open requests.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }

    /// Reserves the client's id of a request. Returns `None` while the id is reserved already.
    pub(super) fn reserve_id(self: &Rc<Self>, client_id: Bytes) -> Option<IdReservation> {
        let is_new = self.client_ids.borrow_mut().insert(client_id.clone());
        is_new.then(|| IdReservation { client_id, open_requests: self.clone() })
    }

    /// Counts a request as open.
    pub(super) fn open(&self) {
        self.count.set(self.count.get() + 1);
    }

    /// Counts a request as answered or left.
    pub(super) fn close(&self) {
        self.count.set(self.count.get() - 1);
    }

    /// Returns whether no further request can be accepted. Bounds memory: each open request may hold an answer until
    /// its client has read it. The estimate uses the longest recent answer. With the longest possible answer, a small
    /// balancer could accept fewer requests than it receives on a busy day.
    pub(super) fn is_full(&self) -> bool {
        let count = self.count.get();
        count >= self.max_count || (count + 1) * self.expected_answer_bytes.get() > self.max_answer_bytes
    }

    /// Updates the expected answer size: raises it at once to the size of a longer answer, and decays it with shorter
    /// ones.
    pub(super) fn record_answer_size(&self, size: usize) {
        let expected = self.expected_answer_bytes.get();
        let decayed = expected - expected / DECAY_DIVISOR;
        self.expected_answer_bytes.set(size.max(decayed).max(MIN_EXPECTED_ANSWER_BYTES));
    }
}
