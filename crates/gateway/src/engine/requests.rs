//! The state of a request, which the engine keeps until the request is answered and none of its attempts is in flight.

use super::open_requests::IdReservation;
use decide::api::{ClassId, Effect};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::time::delay_queue;
use upstream::call::{Answer, Call};
use upstream::memory::MemoryPermit;

/// The number of an attempt within its request, and when it was sent.
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
    /// The memory reserved for the command.
    pub(super) _command_memory: Option<Rc<MemoryPermit>>,
    /// The memory reserved for this state, and for a small answer.
    pub(super) memory: Rc<MemoryPermit>,
    /// The client's id of the request.
    pub(super) client_id: Rc<IdReservation>,
    pub(super) class: ClassId,
    pub(super) effect: Effect,
    pub(super) accepted_at: Instant,
    pub(super) deadline: Instant,
    pub(super) answer_sender: Option<oneshot::Sender<Answer>>,
    /// Whether the client still waits for the answer. Cleared when the answer is sent, and by the ticket as soon as the
    /// client leaves.
    pub(super) awaited: Rc<Cell<bool>>,
    /// The number of attempts started so far.
    pub(super) attempts_started: u16,
    /// Whether an attempt was sent on a connection that the endpoint had already closed.
    pub(super) used_stale_connection: bool,
    /// Attempts that may have been executed. Short, because the number of attempts of a request is limited.
    pub(super) maybe_executed_attempts: Vec<SentAttempt>,
    pub(super) in_flight: Vec<CancellableAttempt>,
    /// Whether a large answer is being streamed to the client.
    pub(super) is_streaming: bool,
    /// Whether the `RequestOverdue` timer was extended, which happens at most once.
    pub(super) overdue_timer_extended: bool,
    /// Pending timers. Cancelled with the request, so that they do not occupy memory until they expire.
    pub(super) timers: Vec<delay_queue::Key>,
}

impl RequestContext {
    /// Returns the time by which the last byte of a further attempt must be written; `None` if there is no such limit.
    /// Endpoints drop repeats of a request with an idempotency key for `span_us` after its first execution. The start
    /// of the earliest attempt, which is before its execution, is used as the start of this window. Two ticks are
    /// subtracted, the same margin that the decision module uses.
    pub(super) fn deduplication_ends(&self, tick: Duration) -> Option<Instant> {
        let Effect::IdempotentWithKey { span_us, .. } = self.effect else { return None };
        let first = self.maybe_executed_attempts.iter().map(|attempt| attempt.sent_at).min()?;
        Some(first + Duration::from_micros(span_us).saturating_sub(2 * tick))
    }

    /// Removes an attempt from those in flight, and returns it.
    pub(super) fn remove_in_flight(&mut self, number: u16) -> Option<CancellableAttempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.swap_remove(index))
    }

    /// Records that an attempt was never executed.
    pub(super) fn mark_not_executed(&mut self, number: u16) {
        self.maybe_executed_attempts.retain(|attempt| attempt.number != number);
    }

    /// Returns whether the request may have been executed, and must not be executed again.
    pub(super) fn must_not_run_again(&self) -> bool {
        self.effect != Effect::Idempotent && !self.maybe_executed_attempts.is_empty()
    }

    /// Returns whether the request is answered and none of its attempts is in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.answer_sender.is_none() && self.in_flight.is_empty()
    }
}
