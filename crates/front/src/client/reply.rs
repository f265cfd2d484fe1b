//! Replies to the commands of a connection, in the order of the commands.

use bytes::{BufMut, BytesMut};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::engine::Ticket;
use gateway::{Answer, MemoryBudget, MemoryPermit, StreamedValue};
use proto::resp;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::timeout;

/// The reply that rejects a request. The request had no effect and may be sent again at once.
pub(super) const BUSY: &str = "-BUSY\r\n";

/// Encoded replies, and the memory that is reserved until they are written.
#[derive(Debug, Default)]
pub(super) struct EncodedReplies {
    pub(super) bytes: BytesMut,
    request_memory: Vec<Rc<MemoryPermit>>,
    value_memory: Vec<MemoryPermit>,
}

impl EncodedReplies {
    /// Appends the replies of `other`.
    pub(super) fn append(&mut self, mut other: Self) {
        if self.bytes.is_empty() {
            *self = other;
            return;
        }
        self.bytes.unsplit(other.bytes);
        self.request_memory.append(&mut other.request_memory);
        self.value_memory.append(&mut other.value_memory);
    }
}

/// The reply to one command.
pub(super) enum Reply {
    /// An encoded reply that can be written.
    Ready(EncodedReplies),
    /// A request that the core has not answered yet.
    Pending(Ticket),
    /// A large value, which is forwarded as it arrives.
    Streamed(Box<StreamedValue>),
    /// A large value that is read completely before it is forwarded.
    Buffering(LocalBoxFuture<'static, Answer>),
}

impl Reply {
    /// Creates a reply from one line, which includes its line end.
    pub(super) fn line(text: &str) -> Self {
        Reply::Ready(EncodedReplies { bytes: BytesMut::from(text.as_bytes()), ..EncodedReplies::default() })
    }

    /// Creates the reply of a large value that is read completely before it is forwarded.
    pub(super) fn buffering(value: StreamedValue, budget: MemoryBudget) -> Self {
        Reply::Buffering(buffer_value(value, budget))
    }

    /// Replaces a reply that was awaited by the answer to it. Keeps the memory of the request until it is written.
    pub(super) fn resolve(&mut self, answer: Answer) {
        let request_memory = match self {
            Reply::Pending(ticket) => vec![ticket.memory()],
            Reply::Ready(_) | Reply::Streamed(_) | Reply::Buffering(_) => Vec::new(),
        };
        *self = Self::encode(answer, request_memory);
    }

    /// Encodes an answer of the core.
    fn encode(answer: Answer, request_memory: Vec<Rc<MemoryPermit>>) -> Self {
        let mut bytes = BytesMut::new();
        let mut value_memory = Vec::new();
        match answer {
            Answer::Served(value) => {
                resp::encode_bulk(&mut bytes, &value.bytes);
                value_memory.extend(value.memory);
            }
            Answer::Streamed(streamed) => return Reply::Streamed(streamed),
            Answer::Rejected(0) => bytes.put_slice(BUSY.as_bytes()),
            Answer::Rejected(ms) => bytes.put_slice(format!("-BUSY {ms}\r\n").as_bytes()),
            Answer::Failed => bytes.put_slice(b"-ERR failed\r\n"),
        }
        Reply::Ready(EncodedReplies { bytes, request_memory, value_memory })
    }
}

/// Reads a large value completely. The request fails if the value breaks off, or is incomplete at its deadline.
fn buffer_value(value: StreamedValue, budget: MemoryBudget) -> LocalBoxFuture<'static, Answer> {
    let read = async move {
        match timeout(value.time_limit(), value.buffer(&budget)).await {
            Ok(Ok(complete)) => Answer::Streamed(Box::new(complete)),
            Ok(Err(_)) | Err(_) => Answer::Failed,
        }
    };
    read.boxed_local()
}

/// Waits for the answer to the first reply; never completes if that reply is not pending.
pub(super) async fn next_answer(replies: &mut VecDeque<Reply>) -> Answer {
    match replies.front_mut() {
        Some(Reply::Pending(ticket)) => ticket.await,
        Some(Reply::Buffering(value)) => value.await,
        _ => std::future::pending().await,
    }
}
