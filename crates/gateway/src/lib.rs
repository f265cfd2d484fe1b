//! The core on real sockets.
//!
//! A front submits requests to the core ([`engine`]), which asks the decision module and sends tries to peers
//! ([`upstream::endpoint`]) that its list names. A front knows no upstream, an upstream no front.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod engine;
pub mod fleet_link;
pub mod metrics;
pub mod override_file;
pub mod setup;
pub mod stall_monitor;

// What fronts meet of a request's meaning and of its large values; no front names the crate that faces the peers.
pub use upstream::call::{Answer, Call};
pub use upstream::connection::StreamedValue;
pub use upstream::memory::MemoryPermit;
