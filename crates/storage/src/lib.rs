//! The agreed log, its snapshot and the ledger's spans in one file that survives the process, on `redb`.
//!
//! [`Keep`] is the [`agreement::Store`] of a member of the council: each batch of changes is one transaction, durable before
//! [`agreement::Store::write`] returns, and counts wholly or not at all. A file that is cut short, has flipped bytes or cannot
//! be written gives an error that names it; then nothing more is written through the same [`Keep`], so that no later write can
//! stand without an earlier one. An error on opening is never answered with an empty store: that would forget a vote.
//!
//! The ledger's spans are opaque bytes under growing numbers, bounded by [`SPAN_BYTES`], the oldest removed first. The crate
//! leaves to its owner which file, what to do about an error (a member does not vote), and on which thread to wait for a disk.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod error;
mod spans;
mod store;

pub use error::Error;
pub use spans::{SPAN_BYTES, SPANS};
pub use store::{CACHE_BYTES, Keep};
