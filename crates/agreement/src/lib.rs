//! A log that a council of 3, 5 or 7 balancers agrees on, and that all others learn.
//!
//! Any balancer may [`Agreement::propose`]; whatever the council decides comes out as [`Action::Decided`], in order and once per
//! life, on every balancer. Agreement itself is `omnipaxos` (chosen over `raft` since it needs no randomness of its own and gets
//! by with partial connectivity); here are what it leaves open: ordered links over datagrams, segments and changes of the
//! council, who may vote after losing its memory, stamps, proposals decided at most once, and how those outside the council learn.
//!
//! The crate does no I/O, reads no clock and draws no randomness but from its seed. It leaves to its owner the datagrams, the
//! time ([`Agreement::tick`] each [`TICK_INTERVAL_US`]), the disk ([`Store`]), the replicated state and its snapshots.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod agreement;
mod api;
mod gate;
mod journal;
mod learn;
mod link;
mod load;
mod log;
mod message;
pub mod pieces;
mod proposals;
mod segment;
mod store;
mod time;
mod turns;
mod voter;

pub use crate::agreement::Agreement;
pub use api::*;
pub use message::Message;
pub use segment::Voter;
pub use store::{MemoryStore, Store, StoreChange, StoredState};
