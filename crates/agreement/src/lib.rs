//! A replicated log: a quorum group of 3, 5 or 7 voters commits its entries, and all other balancers of the
//! fleet receive them.
//!
//! Any balancer may [`Agreement::propose`] an entry. Each committed entry is reported by
//! [`Action::Committed`], in order and once per incarnation, on every balancer. The consensus protocol itself
//! is `omnipaxos`, used instead of `raft` because it needs no randomness of its own and makes progress with
//! partial connectivity. This crate adds what `omnipaxos` lacks: ordered links over datagrams, segments and
//! changes of the voters, protection against voters that lost their state, timestamps, proposals that are
//! committed at most once, and catch-up of balancers that do not vote.
//!
//! The crate does no I/O, reads no clock, and draws randomness only from its seed. Its owner sends the
//! datagrams, calls [`Agreement::tick`] every [`TICK_INTERVAL_US`], provides the durable [`Store`], and holds
//! the replicated state and its snapshots.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod action;
mod agreement;
mod catch_up;
mod codec;
mod committed_log;
mod fleet_clock;
mod fragment;
mod fragment_transfer;
mod hard_state;
mod journal;
mod limits;
mod link;
mod message;
mod message_filter;
mod paxos;
mod pending_proposals;
mod recovery;
mod replica;
mod segment;
mod settings;
mod shared_journal;
mod store;
mod types;
mod voting_guard;

pub use action::{Action, ProposalOutcome, ProposeError, VotingBlock};
pub use agreement::Agreement;
pub use limits::{
    MAX_ENTRY_BYTES, MAX_MESSAGE_BYTES, MAX_PENDING_PROPOSALS, MAX_SNAPSHOT_BYTES, PROPOSAL_TIMEOUT_US,
    TICK_INTERVAL_US,
};
pub use message::Message;
pub use segment::Voter;
pub use settings::Settings;
pub use store::{MemoryStore, Store, StoreChange, StoredState};
pub use types::{Entry, Micros, NodeId, Revision, StampedEntry};
