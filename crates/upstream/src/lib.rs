//! The side that faces the endpoints: which ones discovery lists, the connections to them, and one attempt on one connection.
//!
//! [`endpoints`] knows the endpoints by the names and addresses of the last list. [`connection`] pools idle connections, opens new ones,
//! and runs one [`connection::Attempt`] of a [`call::Call`] from its first byte to its outcome. [`memory`] bounds the memory of large
//! values.
//!
//! Everything that concerns more than one attempt is left to the engine: which endpoint, how long, whether to retry, what the
//! client is answered, and following discovery. This crate knows no front.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod call;
pub mod connection;
pub mod endpoints;
pub mod memory;
pub mod setup;
