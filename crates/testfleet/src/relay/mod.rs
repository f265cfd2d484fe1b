//! Relays between all parts of a fleet, which inject network faults.

pub mod faults;
pub mod tcp;
pub mod udp;

pub use faults::Faults;
pub use tcp::{Caller, Callers, TcpLink};
pub use udp::UdpRelay;
