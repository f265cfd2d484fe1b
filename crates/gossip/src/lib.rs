//! What balancers of one tier tell one another of their servers, and what is believed of it.
//!
//! Each of a hundred balancers sees a hundredth of what a server does: too little to tell one that is jammed from one that
//! idles. About once a second each tells all how many of its own requests each server held in the mean since it last told
//! ([`wire`]). [`GossipState`] adds the reports up and yields, for each server, the part of its listed weight to place keys by:
//! less than 1 for one that holds more than its part of the fleet's requests, more than 1 for one that holds less.
//!
//! What is heard is evidence with an age and a sender, never an order: a report counts until the sender's next one and at
//! the longest for [`FRESH_US`]; no part leaves [`LEAST`] to [`MOST`]; where few others are heard of, all parts go back to 1.
//!
//! The crate does no I/O, reads no clock and draws no randomness. It leaves to its owner the socket, the time, who may
//! send (a sender is named by its number among the balancers), and the waiting between turns ([`GossipState::pause`]): at each it
//! hands the decision module [`decide::api::Event::Speak`] and, with what comes of [`decide::api::Action::Tell`], takes a turn.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod belief;
pub mod wire;

pub use belief::{Counts, ENOUGH, FRESH_US, GossipState, LEAST, MOST, PAUSE_US, Turn};

/// Microseconds on the owner's clock: a span, or a point in time.
pub type Micros = u64;
