//! The balancer program: its configuration, its process lifecycle and the fleet thread.
//!
//! The core is in the crate `gateway`; client connections and the admin endpoint are in `front`.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod config;
pub mod fleet_thread;
pub mod reload;
pub mod serve;
