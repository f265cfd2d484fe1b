//! What the store asks its owner to do, and what callers and the owner are told.

use crate::{OperatorOverrides, OverrideCommand, OverrideError};
use std::io;
use thiserror::Error;

/// An action for the owner, to be carried out in order. `T` identifies a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum StoreAction<T> {
    /// Read the file if it has changed, and call [`OverrideStore::handle_read`](crate::OverrideStore::handle_read).
    Read,
    /// Write these overrides atomically, and call [`OverrideStore::handle_write`](crate::OverrideStore::handle_write).
    Write(OperatorOverrides),
    /// The overrides in force have changed, which affects these endpoints, and perhaps whether the balancer drains.
    Changed(OverrideChange, Vec<String>),
    /// Answer a caller.
    Answer(T, CommandOutcome),
}

/// Why the overrides in force have changed.
#[derive(Debug, PartialEq, Eq)]
pub enum OverrideChange {
    /// An operator's command.
    Command(OverrideCommand),
    /// The file has changed: another process of this balancer took a command.
    Loaded,
    /// Commands could not be written, and were rolled back.
    RolledBack,
}

/// Why overrides were not written. The file is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// Another process of this balancer has written these overrides since the last read.
    #[error("another process has written other orders")]
    Changed(OperatorOverrides),
    /// The write failed.
    #[error("{0}")]
    Failed(String),
}

impl From<io::Error> for WriteError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// In force and written, so that the next process finds it.
    Persisted,
    /// In force in this process, and written as soon as the disk responds.
    Applied,
    /// Not in force, since the command is not valid.
    Rejected(OverrideError),
    /// Not in force, since it could not be written for this reason.
    NotPersisted(String),
}
