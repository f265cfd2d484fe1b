//! The basic types of the log: identifiers, time and stamped entries.
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// A balancer's index in the fleet file.
pub type NodeId = u16;
/// An index of the log; the first entry has revision 1.
pub type Revision = u64;
/// Microseconds on the owner's monotonic clock.
pub type Micros = u64;

/// The traits that a type of log entry implements.
pub trait Entry: Clone + Debug + PartialEq + Serialize + DeserializeOwned {}
impl<T: Clone + Debug + PartialEq + Serialize + DeserializeOwned> Entry for T {}

/// An entry with the metadata that the log adds to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedEntry<E> {
    /// Fleet time in Unix microseconds; strictly increasing along the log.
    pub timestamp: u64,
    /// The balancer that proposed the entry.
    pub proposer: NodeId,
    /// The proposer's identifier of the proposal, unique over its incarnations.
    pub proposal_id: u64,
    /// The entry itself.
    pub entry: E,
}

impl<E> StampedEntry<E> {
    pub(crate) fn proposal_key(&self) -> ProposalKey {
        ProposalKey { proposer: self.proposer, proposal_id: self.proposal_id }
    }
}

/// Identifies a proposal in the whole fleet. The log commits each key at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProposalKey {
    pub(crate) proposer: NodeId,
    pub(crate) proposal_id: u64,
}
