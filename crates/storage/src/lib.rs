//! Durable storage of the replicated log and of the ledger's records, in one `redb` file.
//!
//! [`DiskStore`] implements [`agreement::Store`] for a voter: each batch of changes is one transaction,
//! durable before [`agreement::Store::write`] returns, and applied atomically. A file that is truncated,
//! damaged or not writable gives an error that names it. After a failed write nothing more is written through
//! the same [`DiskStore`], so that no later write stands without an earlier one. An unreadable file is never
//! treated as an empty store: that would forget a vote.
//!
//! The ledger's records are opaque bytes with increasing numbers, bounded by [`MAX_RECORDS_BYTES`] and
//! [`MAX_RECORDS`]; the oldest are removed first. The crate leaves to its owner the path of the file, the
//! reaction to errors, and the thread that waits for the disk.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod disk_store;
mod error;
mod records;

pub use disk_store::{CACHE_BYTES, DiskStore};
pub use error::Error;
pub use records::{MAX_RECORDS, MAX_RECORDS_BYTES, Record};
