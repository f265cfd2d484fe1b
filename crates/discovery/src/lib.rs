//! Client of the discovery service. Keeps one watch of the endpoint list open, and reconnects before a change can be
//! missed.
//!
//! A change must be applied within a fixed time, even if the open watch does not deliver it ([`pace`] has the timings).
//! A watch is therefore considered broken when it has been silent for longer than its keep-alive interval allows.
//! Before the deadline for a change, a second watch is requested in parallel, and the first of the two to send a line
//! is kept.
//!
//! Two kinds of delivery are supported ([`Delivery`]). With [`Delivery::Push`], changes are pushed to an agent on this
//! machine. Requests are free, and a silent agent is polled continuously: the changes that it receives at the end of an
//! outage must be known within the 250 ms that the rules on draining endpoints allow. With [`Delivery::Poll`], each
//! request costs a service that all balancers share. At most one request is in flight, and its timeout includes the
//! time that it may spend in the service's queue.
//!
//! [`follow()`] opens connections through a [`Dial`] implementation ([`Dialer`] in production), so that tests run on a
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
