//! What the engine holds of a request until it is answered and none of its attempts is in flight.

use decide::api::{ClassId, Effect};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::time::delay_queue;
use upstream::call::{Answer, Call};
use upstream::memory::MemoryPermit;

/// An attempt of a request, by its number.
#[derive(Debug)]
pub(super) struct SentAttempt {
    pub(super) number: u16,
    pub(super) sent_at: Instant,
}

/// An attempt in flight that can be cancelled.
#[derive(Debug)]
pub(super) struct CancellableAttempt {
    pub(super) number: u16,
    pub(super) cancel: oneshot::Sender<()>,
}

/// A request in progress.
pub(super) struct RequestContext {
    pub(super) call: Rc<Call>,
    pub(super) _memory: Option<MemoryPermit>,
    pub(super) class: ClassId,
    pub(super) effect: Effect,
    pub(super) accepted_at: Instant,
    pub(super) deadline: Instant,
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    /// Whether the client still waits. Cleared with `answer`, and by the client's side as soon as it leaves.
    pub(super) awaited: Rc<Cell<bool>>,
    /// How many attempts were started.
    pub(super) attempts: u16,
    /// Whether an attempt was sent on a connection that its endpoint had closed.
    pub(super) met_stale_connection: bool,
    /// Attempts that may have been executed. As few as the attempts that a request may make.
    pub(super) maybe_executed: Vec<SentAttempt>,
    pub(super) in_flight: Vec<CancellableAttempt>,
    /// Whether the client is receiving the answer already.
    pub(super) is_streaming: bool,
    /// Whether the timer after the deadline was extended once.
    pub(super) overdue_extended: bool,
    /// Pending timers. Guards memory: they are cancelled with the request, and not kept until they expire.
    pub(super) timers: Vec<delay_queue::Key>,
}

impl RequestContext {
    /// When the last byte of another attempt must have been written. Endpoints drop repeats of a keyed request for a span from
    /// the first execution on. That one is assumed to have happened when the attempt was decided on, which is earlier. Two
    /// ticks are subtracted as the decision module's own margin.
    pub(super) fn deduplication_ends(&self, tick: Duration) -> Option<Instant> {
        let Effect::IdempotentWithKey { span_us, .. } = self.effect else { return None };
        let first = self.maybe_executed.iter().map(|attempt| attempt.sent_at).min()?;
        Some(first + Duration::from_micros(span_us).saturating_sub(2 * tick))
    }

    /// Removes an attempt from those in flight.
    pub(super) fn take_in_flight(&mut self, number: u16) -> Option<CancellableAttempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.swap_remove(index))
    }

    /// Records that an attempt was never executed.
    pub(super) fn exclude_executed(&mut self, number: u16) {
        self.maybe_executed.retain(|attempt| attempt.number != number);
    }

    /// Whether the request is answered and none of its attempts is in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.answer.is_none() && self.in_flight.is_empty()
    }
}
