//! The side that faces peers and the origin: whom discovery lists, the connections to them, and one try on one of these.
//!
//! [`endpoints`] knows the peers by the names and addresses of the last list. [`connection`] keeps idle connections, dials, and runs
//! one [`connection::Attempt`] of a [`call::FleetCall`], from its first byte to its outcome; [`memory`] bounds the memory of large values.
//!
//! It leaves to its owner, the core, everything that concerns more than one try: which peer, how long, whether again, what
//! the client is answered, and following discovery. It knows no front.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod call;
pub mod connection;
pub mod endpoints;
pub mod memory;
pub mod setup;
