//! The RESP front for clients, with its listener and client connections, and the admin endpoint for operators.
//!
//! The front reads RESP commands, submits requests to the core ([`gateway::engine::Handle::submit`]) and encodes their
//! answers. [`Front`] reports the state of each connection to `admission`, which decides which connections stay open.
//! [`operator`] answers operators from the core, without waiting for client traffic.
//!
//! The core decides how each request is answered. The program supplies the listeners and decides when to stop.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod accept;
mod client;
mod front;
pub mod operator;
mod request;
pub mod shutdown;
#[doc(hidden)]
pub mod slotless;

pub use front::Front;
