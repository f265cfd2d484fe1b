//! The actions that the log returns to its owner, the outcomes of proposals, and the reasons that block a voter
//! from voting.
use crate::{
    limits::{MAX_ENTRY_BYTES, MAX_PENDING_PROPOSALS},
    message::Message,
    segment::Voter,
    types::{NodeId, Revision, StampedEntry},
};
use bytes::Bytes;

/// An action that the owner carries out, or an event that it is notified of.
#[derive(Debug)]
pub enum Action<E> {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message, at most [`crate::MAX_MESSAGE_BYTES`] in postcard.
        message: Message<E>,
    },
    /// An entry is committed. Entries come in order, each once per incarnation.
    Committed {
        /// Its index in the log.
        revision: Revision,
        /// The entry and its stamp.
        stamped: StampedEntry<E>,
    },
    /// A new segment of the log starts, with other voters or with the same ones. The change has a revision of
    /// its own.
    VotersChanged {
        /// Its index in the log.
        revision: Revision,
        /// Fleet time in Unix microseconds.
        timestamp: u64,
        /// The voters from now on.
        voters: Vec<Voter>,
    },
    /// Replace the owner's state by a snapshot, because the entries that led to it are trimmed.
    Restore {
        /// The last revision that the snapshot holds.
        revision: Revision,
        /// The timestamp of that revision.
        timestamp: u64,
        /// The bytes that an owner passed to [`crate::Agreement::supply_snapshot`].
        snapshot: Bytes,
    },
    /// This balancer became the leader (`true`) or stopped being the leader (`false`).
    LeadershipChanged(bool),
    /// This voter must not vote, for the given reason.
    VotingBlocked(VotingBlock),
    /// A proposal ended.
    ProposalFinished {
        /// The identifier that [`crate::Agreement::propose`] returned.
        id: u64,
        /// The outcome of the proposal.
        outcome: ProposalOutcome,
    },
}

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposal is committed at this revision.
    Committed(Revision),
    /// The proposal was not known to be committed within [`crate::PROPOSAL_TIMEOUT_US`]. It may still be
    /// committed later, at most once.
    TimedOut,
}

/// The reason that blocks a voter from voting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingBlock {
    /// The voter started without stored state while other voters have some, so it may have voted before.
    LostState,
    /// The store holds fewer writes than other voters have observed, so it is an older copy.
    StaleStore {
        /// Number of writes recorded in the store.
        stored: u64,
        /// Number of writes that another voter has observed.
        observed: u64,
    },
    /// The store failed. Holds the text of the store's error.
    StorageFailed(String),
}

/// The reason why a proposal is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// [`MAX_PENDING_PROPOSALS`] proposals are already pending.
    #[error("{MAX_PENDING_PROPOSALS} proposals are under way")]
    TooManyPending,
    /// The entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("entry is {0} bytes long, more than {MAX_ENTRY_BYTES}")]
    EntryTooLong(usize),
    /// The change would leave fewer than 3 or more than 7 voters, or would change nothing.
    #[error("no such change of the council")]
    InvalidVoterChange,
}
