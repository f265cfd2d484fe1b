//! Client of the discovery service: keeps one watch of the endpoint list open and reconnects before a change can be missed.
//!
//! A change must be applied within a fixed time, whether or not it was received ([`pace`] has the timings). A watch is
//! therefore considered broken when it has been silent for longer than its keep-alive interval allows. *Before* that deadline
//! a second watch is requested in parallel, and the first of the two to send a line is kept.
//!
//! Two ways of delivery are supported ([`Delivery`]). Where changes are pushed to an agent on this machine, requests are free, and a
//! silent agent is polled continuously: what it receives at the end of an outage must be known within the 250 ms that the
//! rules on draining endpoints allow. Where each request costs a service that all balancers share, at most one request is in
//! flight, and it is given the time that it may spend in the service's queue.
//!
//! [`follow()`] opens no socket itself: it is given a [`Dial`] implementation ([`Dialer`] in production), so that tests run on a
//! paused clock. It does not store the endpoint list: the caller receives each change as it arrives.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod agent;
mod dial;
mod endpoint_history;
mod error;
mod follow;
pub mod pace;
mod request;
mod transfer;
mod watch;

pub use dial::{Connection, Dial, Dialer};
pub use follow::follow;
pub use pace::Delivery;
