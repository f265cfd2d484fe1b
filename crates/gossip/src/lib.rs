//! Gossip between the balancers of one tier about the load of endpoints.
//!
//! Each of a hundred balancers sees a hundredth of what an endpoint does: too little to tell an overloaded endpoint
//! from an idle one. About once a second each balancer publishes, for each endpoint, the mean number of its own
//! requests in flight and the requests that ended since its last report ([`wire`]). [`GossipState`] sums the reports
//! and estimates the fraction of its listed weight that each endpoint keeps: less than 1 for one that has more than its
//! share of the requests in flight, more than 1 for one that has less.
//!
//! A report has an age and a sender. It counts until the sender's next one and for [`REPORT_LIFETIME_US`] at the
//! longest. Weight factors stay between [`MIN_WEIGHT_FACTOR`] and [`MAX_WEIGHT_FACTOR`]; where few other balancers are
//! heard from, they all return to 1.
//!
//! The crate does no I/O, reads no clock and draws no random numbers. It leaves to its owner the socket, the time, the
//! mapping of senders to their numbers, and the waiting between turns ([`GossipState::next_interval`]). At each turn the owner
//! passes [`decide::api::Event::PublishLoad`] to the decision module, and the loads of the
//! [`decide::api::Action::PublishLoad`] that it returns to [`GossipState::publish`].
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod state;
mod weights;
pub mod wire;

pub use state::{
    GossipCounters, GossipRound, GossipState, MIN_BALANCERS, PUBLISH_INTERVAL_US, REPORT_LIFETIME_US,
};
pub use weights::{MAX_WEIGHT_FACTOR, MIN_WEIGHT_FACTOR};

/// Microseconds on the owner's clock: a span, or a point in time.
pub type Micros = u64;
