//! The result of an attempt.

use super::socket::Connection;
use super::streamed::StreamedValue;
use crate::memory::MemoryPermit;
use bytes::Bytes;
use decide::api::Outcome;

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the decision module.
    pub outcome: Outcome,
    /// The value of the response; empty if there is none or if it is in `large`.
    pub value: Bytes,
    /// The memory reserved for `value`, if it is not small.
    pub memory: Option<MemoryPermit>,
    /// A large value that was buffered completely, because its length was not stated.
    pub large: Option<Box<StreamedValue>>,
    /// Whether the cache node has missed while another fetch of the key is in flight.
    pub fetch_pending: bool,
    /// Whether the response may be a late second copy of an earlier response on the same connection, which no byte of
    /// it would show. Such a response does not prove that the request was not executed.
    pub doubtful: bool,
    /// Whether the attempt failed because its connection was stale, which says nothing about the endpoint's health: a
    /// reused connection broke before the first byte of a response, or an open connection broke before the request was
    /// written.
    pub stale: bool,
    /// The connection, if it can be reused.
    pub connection: Option<Connection>,
}

impl AttemptResult {
    /// Keeps reserved memory until the value is written to the client.
    pub(super) fn keep_memory(&mut self, memory: Option<MemoryPermit>) {
        match (&mut self.memory, memory) {
            (Some(kept), Some(added)) => kept.merge(added),
            (kept, Some(added)) => *kept = Some(added),
            (_, None) => {}
        }
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            value: Bytes::new(),
            memory: None,
            large: None,
            fetch_pending: false,
            doubtful: false,
            stale: false,
            connection: None,
        }
    }
}
