//! The ticket by which a front awaits the final answer of a request.

use super::input::Input;
use super::open_requests::{IdReservation, OpenRequests};
use decide::api::RequestId;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};
use upstream::call::Answer;
use upstream::memory::MemoryPermit;

/// A future that resolves to the one final answer of a request. If it is dropped before that, the engine is told that
/// the client has left.
pub struct Ticket {
    pub(super) id: RequestId,
    /// The client's id of the request. Shared with the engine, which may keep it reserved for longer.
    pub(super) _id: Rc<IdReservation>,
    pub(super) answer: oneshot::Receiver<Answer>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) open_requests: Rc<OpenRequests>,
    /// Cleared when the client leaves, so that attempts stop before the engine handles the input.
    pub(super) awaited: Rc<Cell<bool>>,
    pub(super) answered: bool,
    /// The memory reserved for the request and a small answer.
    pub(super) memory: Rc<MemoryPermit>,
}

impl Ticket {
    /// Returns the memory reserved for the request, to be kept until its answer is written.
    #[must_use]
    pub fn memory(&self) -> Rc<MemoryPermit> {
        self.memory.clone()
    }

    /// Gives up waiting: tells the engine to fail the request, and returns [`Answer::Failed`] for the client.
    pub fn abandon(&mut self) -> Answer {
        self.answered = true;
        self.awaited.set(false);
        let _ = self.inputs.send(Input::Abandoned(self.id));
        Answer::Failed
    }
}

impl Future for Ticket {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(cx).map(|received| received.unwrap_or(Answer::Failed));
        self.answered |= answer.is_ready();
        answer
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.open_requests.close();
        self.awaited.set(false);
        if !self.answered {
            let _ = self.inputs.send(Input::ClientLeft(self.id));
        }
    }
}
