//! Who is in the fleet, and who is suspected of being gone: SWIM on [`foca`], with local health at its edge.
//!
//! Each member probes one other at a time, directly and through others; one that does not answer is suspected, told so, and
//! declared down unless it says in time that it lives. What changes travels on the datagrams that are sent anyway.
//! A member is a number of the [`Roster`] and a *life*. Lives are ordered: the higher one of a number is the later one, and
//! nothing that an older life sent changes what is held of it. One that was declared down and lives comes back with a higher
//! life ([`Action::Renewed`]). Whoever is on the roster and not in view is asked for again and again, so that a fleet that was
//! cut in two, and each half of which gave up the other, grows together.
//!
//! The crate does no I/O, reads no clock and draws no randomness but from a seed. It leaves to its owner the socket, the time,
//! timers, and the first life, which is to grow from start to start (Unix microseconds do; where that clock went back, see
//! [`Action::Replaced`]). After each input the owner takes all that [`Membership::poll`] yields.
#![forbid(unsafe_code)]
#![warn(unreachable_pub, missing_docs)]

mod accusations;
mod counters;
mod edge;
mod health;
mod membership;
mod roster;
mod settings;
mod wire;

pub use counters::{Counters, DatagramError};
pub use edge::{Action, DownReason, Timer};
pub use membership::Membership;
pub use roster::{Member, MemberSlot, Roster};
pub use settings::{MAX_DATAGRAM, Settings};

/// Microseconds on the owner's clock: a span, or a point in time.
pub type Micros = u64;
