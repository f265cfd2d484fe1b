//! The response to an attempt, and errors that make it unusable.

use super::result::AttemptResult;
use super::socket::Connection;
use proto::ProtoError;
use proto::resp::ReplyTail;
use std::io::ErrorKind;

/// Why a response is unusable.
#[derive(Debug)]
pub(super) enum ResponseError {
    /// The connection broke before the response was complete.
    Reset,
    /// The response is malformed.
    Malformed(ProtoError),
    /// There was no memory for the response in time.
    OutOfMemory,
}

impl From<ProtoError> for ResponseError {
    fn from(error: ProtoError) -> Self {
        Self::Malformed(error)
    }
}

/// A response that was read completely, or up to a large value.
#[derive(Debug)]
pub(super) enum Response {
    /// The response was read completely.
    Complete {
        result: AttemptResult,
        /// Whether the connection can be reused.
        reusable: bool,
    },
    /// The head was read, and a large value follows.
    Large(LargeResponse),
}

/// The head of a response whose value is large.
#[derive(Debug)]
pub(super) struct LargeResponse {
    /// The length of the value.
    pub(super) length: usize,
    /// Whether the connection can be reused after the response.
    pub(super) reusable: bool,
    /// The part of the response after the value and its line end; `None` if the response ends with the value.
    pub(super) tail: Option<ReplyTail>,
}

/// Reads at least one byte into the connection's buffer. Returns an error if the connection ends.
pub(super) async fn read_more(connection: &mut Connection) -> Result<(), ResponseError> {
    match read_or_end(connection).await? {
        ReadOutcome::Bytes => Ok(()),
        ReadOutcome::End => Err(ResponseError::Reset),
    }
}

/// Makes room in the connection's buffer for `bytes` unparsed bytes in all.
pub(super) async fn make_room(connection: &mut Connection, bytes: usize) -> Result<(), ResponseError> {
    connection.make_room(bytes).await.map_err(|_| ResponseError::OutOfMemory)
}

/// The result of a read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// At least one byte was read.
    Bytes,
    /// The endpoint has closed the connection without a reset.
    End,
}

/// Reads bytes into the connection's buffer, or the end of the connection.
pub(super) async fn read_or_end(connection: &mut Connection) -> Result<ReadOutcome, ResponseError> {
    match connection.read().await {
        Ok(0) => Ok(ReadOutcome::End),
        Ok(_) => Ok(ReadOutcome::Bytes),
        Err(error) if error.kind() == ErrorKind::OutOfMemory => Err(ResponseError::OutOfMemory),
        Err(_) => Err(ResponseError::Reset),
    }
}
