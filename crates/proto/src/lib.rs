//! Codecs for the platform's protocols. They work on buffers and use no sockets.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod discovery;
pub mod http;
pub mod resp;

use thiserror::Error;

/// The longest value, in bytes, that is decoded as part of its message. A longer value is large: its length is decoded
/// first, and its bytes are read separately.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The longest value in bytes.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// A violation of the protocol. The bytes that follow on the connection cannot be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtoError {
    /// The named part does not follow the protocol.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// The named part is longer than allowed.
    #[error("{0} too long")]
    TooLong(&'static str),
}
