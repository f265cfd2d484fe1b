//! The actions that the store requests from its owner, and the results of commands and writes.

use crate::{OperatorOverrides, OverrideCommand, OverrideError};
use std::io;
use thiserror::Error;

/// An action that the store requests from its owner. The owner carries out actions in order. `T` identifies a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum StoreAction<T> {
    /// Read the file if it has changed, and call [`OverrideStore::handle_read`](crate::OverrideStore::handle_read).
    Read,
    /// Write these overrides atomically, and call [`OverrideStore::handle_write`](crate::OverrideStore::handle_write).
    Write(OperatorOverrides),
    /// The overrides in force have changed. The change affects these endpoints, and possibly whether the balancer
    /// drains.
    Changed(OverrideChange, Vec<String>),
    /// Answer the caller of a command.
    Answer(T, CommandOutcome),
}

/// The reason why the overrides in force have changed.
#[derive(Debug, PartialEq, Eq)]
pub enum OverrideChange {
    /// An operator's command was applied.
    Command(OverrideCommand),
    /// The file has changed, because another process of this balancer accepted a command.
    Loaded,
    /// Commands could not be written and were rolled back.
    RolledBack,
}

/// The reason why overrides were not written. The failed write has not changed the file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// Another process of this balancer has written these overrides to the file since the last read.
    #[error("another process has written other orders")]
    Changed(OperatorOverrides),
    /// The write failed for this reason.
    #[error("{0}")]
    Failed(String),
}

impl From<io::Error> for WriteError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// The outcome of a command, sent to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command is in force and written, so that the next process loads it.
    Persisted,
    /// The command is in force in this process, and will be written as soon as the disk responds.
    Applied,
    /// The command is not in force, because it is invalid.
    Rejected(OverrideError),
    /// The command is not in force, because it could not be written for this reason.
    NotPersisted(String),
}
