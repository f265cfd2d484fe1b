//! What goes in and what comes out: settings, stamped entries, actions and the reasons for refusals.
use crate::{Message, Voter};
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// A balancer's place in the fleet file.
pub type NodeId = u16;
/// A place in the log; the first entry is revision 1.
pub type Revision = u64;
/// Microseconds on the owner's monotonic clock.
pub type Micros = u64;

/// How often the owner calls [`crate::Agreement::tick`], in microseconds: a fraction of the time a vote may take.
pub const TICK_INTERVAL_US: Micros = 50_000;
/// The longest entry, in bytes of postcard: a grant to 300 balancers fits several times.
pub const MAX_ENTRY_BYTES: usize = 32 * 1024;
/// The longest message handed to the owner, in bytes of postcard: fits a datagram on any path.
pub const MAX_MESSAGE_BYTES: usize = 1_100;
/// The largest snapshot, in bytes: bounds what a balancer that comes up holds half built.
pub const MAX_SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;
/// Proposals of one balancer under way at once.
pub const MAX_PENDING_PROPOSALS: usize = 64;
/// How long a proposal is tried, in microseconds: longer than an election, shorter than anybody waits.
pub const PROPOSAL_TIMEOUT_US: Micros = 10_000_000;

/// What can be an entry of the log.
pub trait Entry: Clone + Debug + PartialEq + Serialize + DeserializeOwned {}
impl<T: Clone + Debug + PartialEq + Serialize + DeserializeOwned> Entry for T {}

/// An entry with what the log adds to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stamped<E> {
    /// Fleet time, Unix microseconds; grows along the log.
    pub timestamp: u64,
    /// Who proposed it.
    pub proposer: NodeId,
    /// The proposer's name for it, unique over its lives.
    pub proposal_id: u64,
    /// What was agreed.
    pub entry: E,
}

/// Who is who at the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This balancer.
    pub node_id: NodeId,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// The founding council; changed by the log afterwards.
    pub voters: Vec<NodeId>,
    /// All balancers and their zones.
    pub nodes: Vec<(NodeId, u16)>,
}

/// What the owner has to do.
#[derive(Debug)]
pub enum Action<E> {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: NodeId,
        /// At most [`MAX_MESSAGE_BYTES`] in postcard.
        message: Message<E>,
    },
    /// An entry is decided; in order, each once per life.
    Committed {
        /// Its place.
        revision: Revision,
        /// The entry and its stamp.
        stamped: Stamped<E>,
    },
    /// The council is another (or the same in a new segment) from here on; takes a revision of its own.
    VotersChanged {
        /// Its place.
        revision: Revision,
        /// Fleet time.
        at: u64,
        /// Who votes now.
        members: Vec<Voter>,
    },
    /// The owner's state up to `revision`, instead of entries that are trimmed away.
    Restore {
        /// The last revision that the snapshot holds.
        revision: Revision,
        /// Its stamp.
        at: u64,
        /// What an owner gave to [`crate::Agreement::snapshot`].
        snapshot: Bytes,
    },
    /// Whether this balancer leads the council now.
    LeadershipChanged(bool),
    /// This member of the council does not vote.
    VotingBlocked(VotingBlock),
    /// What became of a proposal.
    ProposalFinished {
        /// As returned by [`crate::Agreement::propose`].
        id: u64,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Decided at this revision.
    Committed(Revision),
    /// Not heard of as decided within [`PROPOSAL_TIMEOUT_US`]; it may still be decided, once.
    TimedOut,
}

/// Why a member of the council does not vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingBlock {
    /// It starts without memory, and others have some: it may have voted before.
    LostState,
    /// Its store is older than what others have heard from it.
    StaleStore {
        /// Writes that the store counts.
        ours: u64,
        /// Writes that others have heard of.
        heard: u64,
    },
    /// Its store failed.
    StorageFailed(String),
}

/// Why a proposal is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// [`MAX_PENDING_PROPOSALS`] are under way.
    #[error("{MAX_PENDING_PROPOSALS} proposals are under way")]
    TooManyPending,
    /// Longer than [`MAX_ENTRY_BYTES`].
    #[error("entry is {0} bytes long, more than {MAX_ENTRY_BYTES}")]
    EntryTooLong(usize),
    /// The council would not be of 3 to 7, or nothing would change.
    #[error("no such change of the council")]
    InvalidVoterChange,
}
