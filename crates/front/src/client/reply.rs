//! The replies that a connection owes, in the order of its commands.

use bytes::{BufMut, BytesMut};
use gateway::engine::Ticket;
use gateway::{Answer, StreamedValue};
use proto::resp;
use std::collections::VecDeque;

/// Rejects a request: it has had no effect, and may be sent again at once.
pub(super) const BUSY: &str = "-BUSY\r\n";

/// The reply to one command.
pub(super) enum Reply {
    /// It can be written.
    Ready(BytesMut),
    /// The core has not answered yet.
    Pending(Ticket),
    /// A large value, to be passed on as it arrives.
    Streamed(Box<StreamedValue>),
}

impl Reply {
    /// A reply of one line, given with its line end.
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

/// Waits for the answer to the first reply, if the core has yet to give it.
pub(super) async fn next_answer(replies: &mut VecDeque<Reply>) -> Answer {
    match replies.front_mut() {
        Some(Reply::Pending(ticket)) => ticket.await,
        _ => std::future::pending().await,
    }
}
