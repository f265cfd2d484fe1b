//! Admission of client connections: which stay open, and which are closed to free a slot.
//!
//! [`ConnectionSlots`] manages the connection slots of one front. The crate does no I/O, reads no clock and draws no
//! random numbers: its owner reports the events of each connection with their times, and closes the connections that
//! [`ConnectionSlots::poll_close`] returns. The owner also handles sockets, descriptors and the protocol.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

#[doc(hidden)]
pub mod addresses;
mod connections;
mod reuse;
mod slots;

pub use connections::ConnectionId;
pub use slots::{CommandTimeout, ConnectionCounters, ConnectionSlots};

/// Microseconds on the owner's clock: a duration or a point in time.
pub type Micros = u64;
