//! Gossip between the balancers of one tier about the load of endpoints.
//!
//! In a fleet of a hundred balancers, each balancer sees a hundredth of an endpoint's requests. That is too few to tell
//! an overloaded endpoint from an idle one. Every [`PUBLISH_INTERVAL_US`] each balancer therefore publishes, for each
//! endpoint, the mean number of its own requests in flight and the number of requests that ended since its last report
//! ([`wire`]). [`GossipState`] sums the reports and estimates a weight factor for each endpoint, the fraction of its
//! listed weight that it keeps. The factor is below 1 for an endpoint that has more than its share of the requests in
//! flight, and above 1 for one that has less.
//!
//! A report counts until the next one of its sender, and at most for [`REPORT_LIFETIME_US`]. Weight factors stay
//! between [`MIN_WEIGHT_FACTOR`] and [`MAX_WEIGHT_FACTOR`]. When reports of only a few balancers arrive, all factors
//! return to 1.
//!
//! The crate does no I/O, reads no clock and draws no random numbers. Its owner provides the socket, the time, the
//! mapping of senders to their numbers, and the waiting between rounds ([`GossipState::next_interval`]). In each round
//! the owner passes [`decide::api::Event::PublishLoad`] to the decision module. The module returns
//! [`decide::api::Action::PublishLoad`], whose loads the owner passes to [`GossipState::publish`].
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod state;
mod weights;
pub mod wire;

pub use state::{
    GossipCounters, GossipRound, GossipState, MIN_BALANCERS, PUBLISH_INTERVAL_US, REPORT_LIFETIME_US,
};
pub use weights::{MAX_WEIGHT_FACTOR, MIN_WEIGHT_FACTOR};

/// Microseconds on the owner's clock: a duration or a point in time.
pub type Micros = u64;
