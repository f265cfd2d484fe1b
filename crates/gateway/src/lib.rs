//! The engine of the balancer, on real sockets.
//!
//! A front submits requests to the engine ([`engine`]). The engine passes them to the decision module and sends
//! attempts to the listed endpoints ([`upstream::endpoints`]). Fronts and upstreams do not depend on each other.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod engine;
pub mod fleet_link;
pub mod metrics;
pub mod override_file;
pub mod setup;
pub mod stall_monitor;
mod topology_text;

// Re-exported so that fronts do not depend on the `upstream` crate.
pub use upstream::call::{Answer, Call, ServedValue};
pub use upstream::connection::StreamedValue;
pub use upstream::memory::{MemoryBudget, MemoryPermit};
