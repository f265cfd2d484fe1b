//! Leases that fence lagging balancers, and the ledger of which balancer acted on which version.
//!
//! [`lease`] decides whether a balancer may serve. A [`lease::Lease`] requests leases, reads grants from the applied
//! log, and fences its balancer when its own lease has ended while others are still granted theirs.
//! [`lease::LeaseGranter`] batches the requests at the leader. [`lease::LeaseHolders`] tracks which other balancers
//! hold a lease.
//!
//! [`version::Version`] identifies the state that a decision was made from. [`activity_counter::ActivityCounter`]
//! counts attempts, rejections and topology changes under the version in force and makes reports of them.
//! [`ledger::Ledger`] collects the reports of the whole fleet.
//!
//! The crate does no I/O, reads no clock and draws no randomness: time is the owner's monotonic clock, and the jitter
//! is derived from the incarnation. The owner provides the log and the datagrams, and calls the crate at the times
//! that it returns.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod activity;
pub mod activity_counter;
pub mod lease;
pub mod ledger;
pub mod version;

/// Microseconds on the owner's monotonic clock: a duration or a point in time.
pub type Micros = u64;

/// Fleet time: microseconds, as stamped by the leaders of the log.
pub type FleetMicros = u64;
