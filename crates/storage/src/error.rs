//! What can go wrong with the file, with its name.
use std::path::PathBuf;

/// What went wrong, and with which file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It cannot be opened: taken by another process, cut short, of another kind, or not to be read.
    #[error("{}: cannot be opened: {source}", file.display())]
    Open {
        /// The file.
        file: PathBuf,
        /// What `redb` says.
        source: redb::Error,
    },
    /// It was opened, and what it holds cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What `redb` says.
        source: redb::Error,
    },
    /// A write failed; nothing of the batch counts.
    #[error("{}: cannot be written: {source}", file.display())]
    Write {
        /// The file.
        file: PathBuf,
        /// What `redb` says.
        source: redb::Error,
    },
    /// Its checksums do not fit what it holds.
    #[error("{}: is damaged: {what}", file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// What does not fit.
        what: String,
    },
    /// An earlier write failed, so that this one must not stand alone.
    #[error("{}: not written since an earlier write failed", file.display())]
    AfterFailure {
        /// The file.
        file: PathBuf,
    },
}
