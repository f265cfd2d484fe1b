//! What a request asks of a peer, and what its client is answered: shared by fronts, core and peers.

use crate::connection::StreamedValue;
use bytes::Bytes;
use std::ops::Range;

/// A request as its client worded it, for passing on. All parts are slices of what was read.
#[derive(Debug)]
pub struct Call {
    /// The command's word.
    pub command: Bytes,
    /// The key, as text.
    pub key: Bytes,
    /// The client's own id for the request.
    pub id: Bytes,
    /// The names and values.
    pub options: Bytes,
    /// Where in them the client's time stands.
    pub time_at: Range<usize>,
    /// The value of a write.
    pub value: Option<Bytes>,
}

impl Call {
    /// The names and values, with the time that this balancer will wait.
    #[must_use]
    pub fn options_with_time(&self, ms: u64) -> Vec<u8> {
        let Range { start, end } = self.time_at.clone();
        [&self.options[..start], ms.to_string().as_bytes(), &self.options[end..]].concat()
    }
}

/// The one final answer.
#[derive(Debug)]
pub enum Answer {
    /// The value or the write's receipt, as a peer or the origin made it for this request.
    Served(Bytes),
    /// The same where it is large: it is passed on as it comes.
    Streamed(Box<StreamedValue>),
    /// Refused: trying again is harmless, after so many milliseconds (0: no advice).
    Refused(u64),
    /// Failed.
    Failed,
}

impl Answer {
    /// The word for logs.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Streamed(_) => "begun to be served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
        }
    }
}
