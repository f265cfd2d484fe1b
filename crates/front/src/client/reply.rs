//! Replies to the commands of a connection, in the order of the commands.

use bytes::{BufMut, BytesMut};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gateway::engine::Ticket;
use gateway::{Answer, MemoryBudget, StreamedValue};
use proto::resp;
use std::collections::VecDeque;
use tokio::time::timeout;

/// The reply that rejects a request. The request had no effect and may be sent again at once.
pub(super) const BUSY: &str = "-BUSY\r\n";

/// The reply to one command.
pub(super) enum Reply {
    /// An encoded reply that can be written.
    Ready(BytesMut),
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
        Reply::Ready(BytesMut::from(text.as_bytes()))
    }

    /// Creates the reply of a large value that is read completely before it is forwarded.
    pub(super) fn buffering(value: StreamedValue, budget: MemoryBudget) -> Self {
        Reply::Buffering(buffer_value(value, budget))
    }

    /// Encodes an answer of the core.
    pub(super) fn encode(answer: Answer) -> Self {
        let mut encoded = BytesMut::new();
        match answer {
            Answer::Served(value) => resp::encode_bulk(&mut encoded, &value),
            Answer::Streamed(streamed) => return Reply::Streamed(streamed),
            Answer::Rejected(0) => encoded.put_slice(BUSY.as_bytes()),
            Answer::Rejected(ms) => encoded.put_slice(format!("-BUSY {ms}\r\n").as_bytes()),
            Answer::Failed => encoded.put_slice(b"-ERR failed\r\n"),
        }
        Reply::Ready(encoded)
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
