//! What the log yields to its owner: actions, outcomes of proposals and reasons why a voter does not vote.
use crate::{
    limits::{MAX_ENTRY_BYTES, MAX_PENDING_PROPOSALS},
    message::Message,
    segment::Voter,
    types::{NodeId, Revision, Stamped},
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
        stamped: Stamped<E>,
    },
    /// A new segment of the log starts, with other voters or with the same ones. It takes a revision of its
    /// own.
    VotersChanged {
        /// Its index in the log.
        revision: Revision,
        /// Fleet time in Unix microseconds.
        timestamp: u64,
        /// The voters from now on.
        voters: Vec<Voter>,
    },
    /// Replace the owner's state by a snapshot, because the entries before it are trimmed.
    Restore {
        /// The last revision that the snapshot holds.
        revision: Revision,
        /// The timestamp of that revision.
        timestamp: u64,
        /// The bytes that an owner passed to [`crate::Agreement::snapshot`].
        snapshot: Bytes,
    },
    /// This balancer became the leader, or is the leader no longer.
    LeadershipChanged(bool),
    /// This voter must not vote.
    VotingBlocked(VotingBlock),
    /// A proposal ended.
    ProposalFinished {
        /// The identifier that [`crate::Agreement::propose`] returned.
        id: u64,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Committed at this revision.
    Committed(Revision),
    /// Not known to be committed within [`crate::PROPOSAL_TIMEOUT_US`]. It may still be committed, at most
    /// once.
    TimedOut,
}

/// Why a voter does not vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingBlock {
    /// It started without stored state while others have some, so it may have voted before.
    LostState,
    /// Its store is older than the one that others have received messages from.
    StaleStore {
        /// Writes that the store counts.
        stored: u64,
        /// Writes that others have seen.
        observed: u64,
    },
    /// Its store failed; the text is that of the store's error.
    StorageFailed(String),
}

/// Why a proposal is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// [`MAX_PENDING_PROPOSALS`] are pending.
    #[error("{MAX_PENDING_PROPOSALS} proposals are under way")]
    TooManyPending,
    /// The entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("entry is {0} bytes long, more than {MAX_ENTRY_BYTES}")]
    EntryTooLong(usize),
    /// The change would leave fewer than 3 or more than 7 voters, or would change nothing.
    #[error("no such change of the council")]
    InvalidVoterChange,
}
