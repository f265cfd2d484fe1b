//! The balancer as a program: its configuration, the life of its process, and the thread of the fleet.
//!
//! The core is the crate `gateway`; the fronts are in `front`.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod config;
pub mod fleet_thread;
pub mod reload;
pub mod serve;
