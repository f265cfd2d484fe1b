//! A response to an attempt, and why there is none.

use super::result::AttemptResult;
use super::socket::Connection;
use proto::ProtoError;
use proto::resp::ReplyTail;
use tokio::io::AsyncReadExt;

/// Why a response is unusable.
#[derive(Debug)]
pub(super) enum ResponseError {
    /// The connection broke before the response was complete.
    Reset,
    /// The response is malformed.
    Malformed(ProtoError),
    /// There is no memory to buffer the response.
    OutOfMemory,
}

impl From<ProtoError> for ResponseError {
    fn from(error: ProtoError) -> Self {
        Self::Malformed(error)
    }
}

/// A response, as far as it is read before its value is streamed.
#[derive(Debug)]
pub(super) enum Response {
    /// It was read completely.
    Complete {
        result: AttemptResult,
        /// Whether its connection can be reused.
        reusable: bool,
    },
    /// A large value follows.
    Large(LargeResponse),
}

/// The head of a response whose value is large.
#[derive(Debug)]
pub(super) struct LargeResponse {
    /// The length of the value.
    pub(super) length: usize,
    /// Whether the connection can be reused after the response.
    pub(super) reusable: bool,
    /// What follows the value, if anything.
    pub(super) tail: Option<ReplyTail>,
}

/// Reads at least a byte more into the connection's buffer.
pub(super) async fn read_more(connection: &mut Connection) -> Result<(), ResponseError> {
    match read_or_end(connection).await? {
        ReadOutcome::Bytes => Ok(()),
        ReadOutcome::End => Err(ResponseError::Reset),
    }
}

/// What a read has brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    Bytes,
    /// The endpoint has closed the connection in order.
    End,
}

/// Reads more into the connection's buffer, or to its end.
pub(super) async fn read_or_end(connection: &mut Connection) -> Result<ReadOutcome, ResponseError> {
    match connection.stream.read_buf(&mut connection.buffer).await {
        Ok(0) => Ok(ReadOutcome::End),
        Ok(_) => Ok(ReadOutcome::Bytes),
        Err(_) => Err(ResponseError::Reset),
    }
}
