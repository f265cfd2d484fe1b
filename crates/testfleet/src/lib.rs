//! A test harness that runs many real balancer processes on loopback, with stand-ins for everything around them and a
//! fault-injecting relay on every link.
//!
//! [`fleet::Fleet`] assembles the parts: processes of the program, cache nodes, origin, discovery agents and clients,
//! all connected through relays that lose, delay, duplicate, reorder, buffer or refuse traffic. The stand-ins record
//! what they see, and [`referee::check_evidence`] checks the records against the rules. One single-threaded runtime
//! serves all sockets, so that a fleet of hundreds of processes does not need a thread per process.
//!
//! The crate is for tests and the lab and is not part of the shipped program. Its caller provides the path of the
//! program, schedules the faults and handles the violations. Waits have no fixed duration: they end when a matching
//! record appears, and fail after [`WAIT_TIMEOUT`].
#![forbid(unsafe_code)]
#![warn(unreachable_pub, missing_docs)]

pub mod builder;
pub mod cache_node;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod event_log;
pub mod fleet;
pub mod folder;
pub mod origin;
pub mod proc_stats;
pub mod process;
pub mod referee;
pub mod relay;
pub mod runtime;
pub mod soak;

/// The maximum duration of any wait. It bounds tests that would otherwise hang.
pub const WAIT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// 2^64 divided by the golden ratio: multiplying consecutive numbers by it spreads them over all 64 bits.
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
