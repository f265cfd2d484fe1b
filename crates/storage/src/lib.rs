//! Durable storage of the replicated log and of the ledger's records, in one `redb` file.
//!
//! [`DiskStore`] implements [`agreement::Store`] for a voter: each batch of changes is one transaction,
//! applied atomically and durable before [`agreement::Store::write`] returns. A file that is truncated,
//! damaged or not writable causes an error that names it. After a failed write, the same [`DiskStore`] rejects
//! all further writes, so that no write is stored without the earlier ones. An unreadable file is never treated
//! as an empty store: that would lose votes.
//!
//! The ledger's records are opaque bytes with increasing numbers, bounded by [`MAX_RECORDS_BYTES`] and
//! [`MAX_RECORDS`]; the oldest are removed first. The owner chooses the path of the file, handles errors, and
//! provides the thread that waits for the disk.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod disk_store;
mod error;
mod records;

pub use disk_store::{CACHE_BYTES, DiskStore};
pub use error::Error;
pub use records::{MAX_RECORDS, MAX_RECORDS_BYTES, Record};
