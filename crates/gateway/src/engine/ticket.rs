//! A front's claim to the final answer of a request.

use super::input::Input;
use super::open_requests::OpenRequests;
use bytes::Bytes;
use decide::api::RequestId;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};
use upstream::call::Answer;

/// A claim to one final answer. Dropping it unanswered tells the engine that the client has left.
pub struct Ticket {
    pub(super) id: RequestId,
    pub(super) client_id: Bytes,
    pub(super) answer: oneshot::Receiver<Answer>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) open_requests: Rc<OpenRequests>,
    /// Cleared as the client leaves: attempts see it before the engine handles the input.
    pub(super) awaited: Rc<Cell<bool>>,
    pub(super) answered: bool,
}

impl Ticket {
    /// Fails the request for its front, which can wait for no answer any more.
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
        let answer = Pin::new(&mut self.answer).poll(cx).map(|got| got.unwrap_or(Answer::Failed));
        self.answered |= answer.is_ready();
        answer
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.open_requests.close(&self.client_id);
        self.awaited.set(false);
        if !self.answered {
            let _ = self.inputs.send(Input::ClientLeft(self.id));
        }
    }
}
