//! The engine on real sockets.
//!
//! A front submits requests to the engine ([`engine`]), which asks the decision module and sends attempts to the listed endpoints
//! ([`upstream::endpoints`]). A front knows no upstream, and an upstream no front.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod engine;
pub mod fleet_link;
pub mod metrics;
pub mod override_file;
pub mod setup;
pub mod stall_monitor;
mod topology_text;

// What fronts see of a request and of large values, so that no front depends on the crate that faces the endpoints.
pub use upstream::call::{Answer, Call};
pub use upstream::connection::StreamedValue;
pub use upstream::memory::MemoryPermit;
