//! The platform's protocols as state machines that are fed bytes and know no socket.

pub mod discovery;
pub mod http;
pub mod resp;

use thiserror::Error;

/// The longest value that is read as one message. A longer one is large: its length is read first, and then its bytes.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The longest value.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that are not on the protocol's terms. What follows them on the connection cannot be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtoError {
    /// Not in the protocol's form.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// Longer than is allowed.
    #[error("{0} too long")]
    TooLong(&'static str),
}
