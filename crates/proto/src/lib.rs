//! The platform's protocols as state machines that decode bytes and use no sockets.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod discovery;
pub mod http;
pub mod resp;

use thiserror::Error;

/// The longest value that is read as one message. A longer one is large: its length is read first, then its bytes.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The longest value.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that are not in the protocol's form. What follows them on the connection cannot be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtoError {
    /// It has the wrong form.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// It is longer than allowed.
    #[error("{0} too long")]
    TooLong(&'static str),
}
