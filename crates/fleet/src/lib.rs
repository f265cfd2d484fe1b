//! A balancer as a member of its fleet: membership, the replicated log, its lease, and the calendar that the
//! log holds.
//!
//! [`FleetMember`] combines the crates `membership`, `agreement`, `audit` and `calendar`. It reads and writes
//! the datagrams that balancers exchange ([`wire`]), applies the log in order, requests the lease, and grants
//! the leases of all balancers while it is the leader. [`FleetFile`] is the file that names the balancers.
//!
//! The crate does no I/O, reads no clock, and draws randomness only from its seed. It leaves to its owner the
//! socket, the timers that it yields, the store of the log, and the calls of [`FleetMember::tick`] every
//! [`agreement::TICK_INTERVAL_US`]. The owner also hands the core a copy of the lease and of the calendar
//! whenever they change.
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
