//! Operator overrides: cache endpoints that operators have disabled, and the drain of the balancer.
//!
//! [`OverriddenList`] applies the overrides to discovery's endpoint list. It lists a disabled endpoint as draining, and
//! an endpoint that was enabled again as started at that time, so that no consumer of the list needs to know of
//! overrides. [`OverrideStore`] persists the overrides for the next process.
//!
//! The crate does no I/O and reads no clock. The owner passes in the endpoint lists and the commands with their times,
//! reads and writes the file, and passes on the lists that it gets back.
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

/// Unix time in milliseconds, like the start times in discovery's list.
pub type Millis = u64;
