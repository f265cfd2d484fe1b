//! Membership of the fleet and failure detection: SWIM on [`foca`], with local health (Lifeguard) added.
//!
//! Each member probes one other member at a time, directly and then indirectly through further members. A
//! member that does not answer is suspected and notified of the suspicion, and is declared down unless it
//! refutes the suspicion in time. Updates are piggybacked on datagrams that are sent anyway.
//!
//! A member is identified by its number on the [`Roster`] and an *incarnation*. Of two incarnations of a
//! number, the higher is the later one, and datagrams of the earlier one do not change its state. A member
//! that is alive but was declared down returns with a higher incarnation ([`Action::Renewed`]). Each member
//! periodically announces itself to the members of the roster that are not up, so that the two sides of a
//! healed partition merge even if each has declared the other down.
//!
//! The crate does no I/O, reads no clock and draws all randomness from a seed. The owner provides the socket,
//! the time, the timers and the first incarnation, which must increase from one start to the next. Unix
//! microseconds are suitable; for a clock that went back, see [`Action::Replaced`]. After each input the
//! owner carries out every action that [`Membership::poll`] returns.
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
