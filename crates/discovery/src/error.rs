//! The errors of requests to the discovery agent, and of watches.

use crate::pace::Failure;
use proto::ProtoError;
use proto::discovery::ListError;
use std::io;
use thiserror::Error;

/// The reason why a request or a watch failed.
#[derive(Debug, Error)]
pub(crate) enum RequestError {
    /// The connection could not be established.
    #[error("connecting: {0}")]
    Connect(io::Error),
    /// The connection was not established in time.
    #[error("connecting: timed out")]
    ConnectTimeout,
    /// The response was not complete in time.
    #[error("no response: timed out")]
    ResponseTimeout,
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The agent closed the connection before the response was complete.
    #[error("connection closed")]
    Closed,
    /// The response has a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] ProtoError),
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] ListError),
    /// The response has a body without a head, or a second head.
    #[error("malformed response")]
    MalformedResponse,
    /// The agent ended the watch.
    #[error("watch ended")]
    WatchEnded,
}

impl RequestError {
    /// Returns an error if the status of a response is not 200.
    pub(crate) fn check_status(status: u16) -> Result<(), Self> {
        match status {
            200 => Ok(()),
            _ => Err(Self::Status(status)),
        }
    }

    /// Returns the kind of failure, which determines the backoff before the next request.
    pub(crate) fn failure(&self) -> Failure {
        match self {
            Self::Status(429 | 503) => Failure::Rejected,
            Self::List(_) | Self::Http(_) => Failure::InvalidList,
            _ => Failure::NoResponse,
        }
    }
}
