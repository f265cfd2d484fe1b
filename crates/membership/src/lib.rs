//! Membership of the fleet and failure detection: SWIM on [`foca`], with local health (Lifeguard) added.
//!
//! Each member probes one other at a time, directly and through others. A member that does not answer is suspected and told so,
//! and is declared down unless it refutes the suspicion in time. Updates are piggybacked on the datagrams that are sent anyway.
//! A member is a number of the [`Roster`] and an *incarnation*. Incarnations are ordered: the higher one of a number is the
//! later one, and nothing that an earlier one sent changes what is known of it. A member that was declared down and is alive
//! comes back with a higher incarnation ([`Action::Renewed`]). Members of the roster that are not up are asked to rejoin again
//! and again, so that the two sides of a healed partition merge even after each declared the other down.
//!
//! The crate does no I/O, reads no clock and draws no randomness except from a seed. The owner provides the socket, the time,
//! the timers and the first incarnation, which must grow from start to start (Unix microseconds do; for a clock that went
//! back, see [`Action::Replaced`]). After each input the owner carries out everything that [`Membership::poll`] returns.
#![forbid(unsafe_code)]
#![warn(unreachable_pub, missing_docs)]

mod action;
mod counters;
#[doc(hidden)]
pub mod health;
mod identity;
mod membership;
mod roster;
mod settings;
mod suspicions;
mod wire;

pub use action::{Action, DownReason, Timer};
pub use counters::{Counters, DatagramError};
pub use membership::Membership;
pub use roster::{Member, MemberSlot, Roster};
pub use settings::{MAX_DATAGRAM, Settings};

/// Microseconds on the owner's clock: a duration or a point in time.
pub type Micros = u64;
