//! The endpoints listed by discovery, the connections to them, and single attempts on these connections.
//!
//! [`endpoints`] stores the endpoints of the last list. [`connection`] pools idle connections, opens new ones, and runs
//! one [`connection::Attempt`] of a [`call::Call`] from its first byte to its outcome. [`memory`] bounds the memory of
//! large values.
//!
//! The engine is responsible for everything that concerns more than one attempt: it follows discovery, chooses the
//! endpoint and the timeout, retries, and answers the client. This crate does not depend on fronts.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod call;
pub mod connection;
pub mod endpoints;
pub mod memory;
pub mod setup;
