//! The errors of refused proposals and rejected snapshots.

use crate::InvalidField;
use crate::limits::{MAX_ENTRIES, MAX_OCCURRENCES};
use thiserror::Error;

/// The reason why a committed proposal has no effect, or why it should not be proposed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// A field is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
    /// The calendar already contains an entry with this `id`.
    #[error("`id` is that of an entry that there is: {0}")]
    Duplicate(String),
    /// The calendar contains no entry with this `id` that can be revoked.
    #[error("`id` names no entry that is not over: {0}")]
    UnknownEntry(String),
    /// The entry would end before it could be in force.
    #[error("`end` is before the entry could be in force: {0}")]
    EndsBeforeInForce(String),
    /// The calendar has the maximum number of entries.
    #[error("`entries` has no room: {MAX_ENTRIES} at most")]
    TooManyEntries,
    /// The entries together would have too many occurrences.
    #[error(
        "`repeat` has no room: {MAX_OCCURRENCES} occurrences at most, over all entries and the names in each"
    )]
    TooManyOccurrences,
}

/// The reason why a snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// The bytes are not a snapshot of a known format.
    #[error("the calendar's snapshot is not in a form that is known")]
    UnknownFormat,
    /// The snapshot contains an entry that could not have been committed.
    #[error("the calendar's snapshot holds an entry that cannot be: {0}")]
    InvalidEntry(#[from] ProposalError),
}
