//! The messages that balancers exchange about the log.
use crate::{
    fragment::Fragment,
    link::Packet,
    segment::{LogItem, Segment, VoterChange},
    types::{NodeId, ProposalKey, Revision},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message between two balancers. Opaque to the owner; at most [`crate::MAX_MESSAGE_BYTES`] in postcard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message<E>(pub(crate) MessageBody<E>);

/// The kinds of messages. The wire form depends on the order of the variants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum MessageBody<E> {
    /// The sender's commit index, the leader that it knows of, and the newest items if they fit.
    CommitAdvertisement {
        revision: Revision,
        leader: Option<LeaderHint>,
        first: Revision,
        items: Vec<LogItem<E>>,
    },
    /// The sender has applied all items up to `applied` and requests the next ones.
    CatchUpRequest { applied: Revision },
    /// Responds to a catch-up request with the items from `first` on.
    CatchUpItems { first: Revision, items: Vec<LogItem<E>> },
    /// Responds to a catch-up request with a snapshot, because the requested items are trimmed.
    SnapshotTransfer(LogSnapshot),
    /// A proposal for the leader.
    Propose(ForwardedProposal<E>),
    /// Requests the generation of the receiver's store.
    StoreGenerationRequest,
    /// Responds with the generation of the sender's store.
    StoreGeneration { generation: u64 },
    /// A voter sends its own history and requests the receiver's observations of it, to verify that it may vote.
    VoterHistoryRequest(VoterHistory),
    /// Responds with the histories that a voter requested.
    VoterHistoryResponse { sender: VoterHistory, receiver: ObservedHistory },
    /// A packet of the consensus protocol between two voters.
    Replication(ReplicationFrame),
    /// A part of a message that is too long for a datagram, or a request for such parts.
    Fragment(Fragment),
}

/// The leader that a balancer knows of. A greater hint is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct LeaderHint {
    pub(crate) segment: u32,
    pub(crate) ballot: u32,
    pub(crate) node_id: NodeId,
}

/// A proposal on its way to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedProposal<E> {
    pub(crate) proposal_id: u64,
    pub(crate) proposer: NodeId,
    /// The proposer's commit index when it made the proposal.
    pub(crate) proposed_after: Revision,
    /// Number of times that the proposal was forwarded. Limits forwarding along outdated leader hints.
    pub(crate) hops: u8,
    pub(crate) command: Command<E>,
}

impl<E> ForwardedProposal<E> {
    pub(crate) fn key(&self) -> ProposalKey {
        ProposalKey { proposer: self.proposer, proposal_id: self.proposal_id }
    }
}

/// The content of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Command<E> {
    Entry(E),
    ChangeVoters(VoterChange),
}

/// A snapshot of the owner's state, with the metadata that the log needs to continue after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogSnapshot {
    pub(crate) revision: Revision,
    pub(crate) timestamp: u64,
    pub(crate) segment: Segment,
    pub(crate) state: Bytes,
}

/// A balancer's own record of its store and its participation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterHistory {
    pub(crate) generation: u64,
    /// Whether the balancer may have voted or knows of any committed item.
    pub(crate) has_state: bool,
    /// Number of durable writes of its store.
    pub(crate) writes: u64,
}

/// A balancer's observations of the store of another balancer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ObservedHistory {
    /// The highest number of writes observed.
    pub(crate) writes: u64,
    /// The generation of the store that had no state when the quorum group was founded.
    pub(crate) founding_generation: Option<u64>,
}

/// A packet of the ordered link between two voters, with the state of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReplicationFrame {
    pub(crate) segment: u32,
    pub(crate) writes: u64,
    pub(crate) generation: u64,
    /// The sender's fleet time. The next leader continues from it even if it has not received the last
    /// timestamp.
    pub(crate) fleet_time: u64,
    pub(crate) packet: Packet,
}
