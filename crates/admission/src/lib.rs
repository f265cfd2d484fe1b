//! Admission of client connections: which may stay open, and which are closed for others.
//!
//! [`ConnectionSlots`] manages the connection slots of one front. The crate does no I/O, reads no clock and draws no random
//! numbers: its owner reports what happens on each connection and when, and closes those that
//! [`ConnectionSlots::poll_close`] returns. Sockets, descriptors and the protocol are left to that owner.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

#[doc(hidden)]
pub mod addresses;
mod connections;
mod reuse;
mod slots;

pub use connections::ConnectionId;
pub use slots::{CommandTimeout, ConnectionCounters, ConnectionSlots};

/// Microseconds on the owner's clock: a span, or a point in time.
pub type Micros = u64;
