//! One member of a fleet of balancers: its membership, its replica of the log, its lease, and the calendar,
//! which is stored in the log.
//!
//! [`FleetMember`] combines the crates `membership`, `agreement`, `audit` and `calendar`. It decodes and encodes
//! the datagrams that balancers exchange ([`wire`]), applies the log in order and requests this balancer's
//! lease. The leader also grants the leases of all balancers. [`FleetFile`] is the file that lists the balancers.
//!
//! The crate does no I/O, reads no clock, and draws all randomness from its seed. Its owner provides the socket,
//! the timers and the store of the log, and calls [`FleetMember::tick`] every [`agreement::TICK_INTERVAL_US`].
//! Whenever the lease or the calendar changes, the owner passes a copy to the core.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod counters;
mod entry;
mod file;
mod member;
mod output;
mod replicated_state;
pub mod wire;

pub use counters::DatagramCounters;
pub use entry::Entry;
pub use file::{BalancerEntry, FileError, FleetFile};
pub use member::{FleetMember, MemberConfig};
pub use output::{Output, ProposalOutcome};

pub use agreement::Micros;
