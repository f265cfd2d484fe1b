//! What a request asks of an endpoint, and what its client is answered. Shared by fronts, engine and endpoints.

use crate::connection::StreamedValue;
use bytes::Bytes;
use std::ops::Range;

/// A request as its client wrote it, for forwarding. All parts are slices of what was read.
#[derive(Debug)]
pub struct Call {
    /// The name of the command.
    pub command: Bytes,
    /// The key, as text.
    pub key: Bytes,
    /// The client's id of the request.
    pub id: Bytes,
    /// The options, as names and values.
    pub options: Bytes,
    /// Where the options state the client's time limit.
    pub time_at: Range<usize>,
    /// The value of a write.
    pub value: Option<Bytes>,
}

impl Call {
    /// The options, with the time that this balancer will wait.
    #[must_use]
    pub fn options_with_time_limit(&self, ms: u64) -> Vec<u8> {
        let Range { start, end } = self.time_at.clone();
        [&self.options[..start], ms.to_string().as_bytes(), &self.options[end..]].concat()
    }
}

/// The one final answer.
#[derive(Debug)]
pub enum Answer {
    /// The value or the receipt of a write, as an endpoint made it for this request.
    Served(Bytes),
    /// The same if it is large: it is forwarded as it arrives.
    Streamed(Box<StreamedValue>),
    /// Rejected: a retry is harmless, after this many milliseconds (0: no advice).
    Rejected(u64),
    /// Failed.
    Failed,
}

impl Answer {
    /// The word for log lines.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Streamed(_) => "streaming",
            Self::Rejected(_) => "rejected",
            Self::Failed => "failed",
        }
    }
}
