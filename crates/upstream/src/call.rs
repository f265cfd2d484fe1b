//! The forwarded parts of a request, and its final answer. Shared by fronts, the engine and this crate.

use crate::connection::StreamedValue;
use crate::memory::MemoryPermit;
use bytes::Bytes;
use std::ops::Range;

/// The parts of a request that are forwarded, as the client wrote them. All are slices of the bytes read from the
/// client.
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
    /// The position of the client's time limit in the options.
    pub time_limit_range: Range<usize>,
    /// The value of a write; `None` for a read.
    pub value: Option<Bytes>,
}

impl Call {
    /// Returns the length of all parts but the value.
    #[must_use]
    pub fn head_bytes(&self) -> usize {
        self.command.len() + self.key.len() + self.id.len() + self.options.len()
    }

    /// Returns the options with the client's time limit replaced by `ms` milliseconds, the time that this balancer will
    /// wait.
    #[must_use]
    pub fn options_with_time_limit(&self, ms: u64) -> Vec<u8> {
        let Range { start, end } = self.time_limit_range.clone();
        [&self.options[..start], ms.to_string().as_bytes(), &self.options[end..]].concat()
    }
}

/// A value that was read completely.
#[derive(Debug)]
pub struct ServedValue {
    /// The value of a read or the receipt of a write.
    pub bytes: Bytes,
    /// The memory reserved for the value, if it is not small.
    pub memory: Option<MemoryPermit>,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The value of an endpoint's response to this request.
    Served(ServedValue),
    /// A large value, which is forwarded to the client as it arrives.
    Streamed(Box<StreamedValue>),
    /// The request was rejected, and a retry is harmless. Contains the advised delay before the retry in milliseconds;
    /// 0 means no advice.
    Rejected(u64),
    /// The request failed.
    Failed,
}

impl Answer {
    /// Returns the name of the answer for log lines.
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
