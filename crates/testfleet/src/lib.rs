//! Many real balancer processes on loopback, with stand-ins for all around them and a fault relay on every link.
//!
//! [`fleet::Fleet`] puts the parts together: processes of the program, cache hosts, archive, inventory and callers, all
//! reached through relays that lose, delay, double, reorder, hold or refuse. The stand-ins record what they see, and
//! [`referee::judge`] checks the records against the rules. All sockets are on one runtime in one thread, so that
//! hundreds of processes cost no thread each.
//!
//! For tests and the lab; never built for the platform. It leaves to its owner where the program is, what goes wrong
//! and when, and what to do about a verdict. Nothing sleeps: whoever waits, waits for a record, at most [`PATIENCE`].
#![forbid(unsafe_code)]
#![warn(unreachable_pub, missing_docs)]

pub mod archive;
pub mod clients;
pub mod config;
pub mod fleet;
pub mod folder;
pub mod ground;
pub mod hosts;
pub mod inventory;
pub mod journal;
pub mod process;
pub mod referee;
pub mod relay;
pub mod soak;
mod start;

/// The longest that anything is waited for: it only ends a test that would wait for ever.
pub const PATIENCE: std::time::Duration = std::time::Duration::from_secs(20);
