//! How an attempt ended.

use super::socket::Connection;
use super::streamed::StreamedValue;
use bytes::Bytes;
use decide::api::Outcome;

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// The value that was served.
    pub value: Bytes,
    /// The same if it is large and was buffered completely.
    pub large: Option<Box<StreamedValue>>,
    /// On a miss: another fetch of the key is in flight.
    pub fetch_pending: bool,
    /// The attempt was lost with its connection, which says nothing about the endpoint: a reused connection broke before the
    /// first byte of a response, or an open one broke before the request was written.
    pub stale: bool,
    /// The connection, if it can be reused.
    pub connection: Option<Connection>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            value: Bytes::new(),
            large: None,
            fetch_pending: false,
            stale: false,
            connection: None,
        }
    }
}
