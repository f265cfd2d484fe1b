//! The relays between all parts of a fleet, which inject network faults.

pub mod callers;
pub mod faults;
pub mod tcp;
pub mod udp;

pub use callers::{ConnectionRegistry, RelayedConnection};
pub use faults::Faults;
pub use tcp::TcpLink;
pub use udp::UdpRelay;
