//! The errors of the storage file. Each error names the file.
use std::path::PathBuf;

/// An operation on the file failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be opened: it is in use, truncated, of another format, or not accessible.
    #[error("{}: cannot be opened: {source}", file.display())]
    Open {
        /// The file.
        file: PathBuf,
        /// The error of `redb`.
        source: redb::Error,
    },
    /// The file was opened, but its content cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of `redb`.
        source: redb::Error,
    },
    /// A write failed. None of the changes of its batch is stored.
    #[error("{}: cannot be written: {source}", file.display())]
    Write {
        /// The file.
        file: PathBuf,
        /// The error of `redb`.
        source: redb::Error,
    },
    /// The file is damaged: its checksums do not match its content, or `redb` panicked on it.
    #[error("{}: is damaged: {damage}", file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// A description of the damage.
        damage: String,
    },
    /// The write was rejected because an earlier one failed.
    #[error("{}: not written because an earlier write failed", file.display())]
    AfterFailure {
        /// The file.
        file: PathBuf,
    },
}
