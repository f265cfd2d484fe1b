//! Operator overrides: cache endpoints disabled by hand, and the drain of the balancer.
//!
//! [`OverriddenList`] lays the overrides over discovery's endpoint list: a disabled endpoint is listed as draining, and one that
//! was enabled again as started at that time, so that nothing downstream needs to know of overrides. [`OverrideStore`] persists
//! them for the next process.
//!
//! The crate does no I/O and reads no clock. The owner passes in the endpoint lists and the commands with their times, reads and
//! writes the file, and hands on the lists that it gets back.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod outcome;
mod overridden_list;
mod overrides;
mod store;

pub use outcome::{CommandOutcome, OverrideChange, StoreAction, WriteError};
pub use overridden_list::OverriddenList;
pub use overrides::{OperatorOverrides, OverrideCommand, OverrideError, UnreadableOverrides};
pub use store::OverrideStore;

/// Unix time in milliseconds, as in the start times of discovery's list.
pub type Millis = u64;
