//! Replies to the commands of a connection, in the order of the commands.

use bytes::{BufMut, BytesMut};
use gateway::engine::Ticket;
use gateway::{Answer, StreamedValue};
use proto::resp;
use std::collections::VecDeque;

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
}

impl Reply {
    /// Creates a reply from one line, which includes its line end.
    pub(super) fn line(text: &str) -> Self {
        Reply::Ready(BytesMut::from(text.as_bytes()))
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

/// Waits for the answer to the first reply; never completes if that reply is not pending.
pub(super) async fn next_answer(replies: &mut VecDeque<Reply>) -> Answer {
    match replies.front_mut() {
        Some(Reply::Pending(ticket)) => ticket.await,
        _ => std::future::pending().await,
    }
}
