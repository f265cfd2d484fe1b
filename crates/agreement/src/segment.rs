//! A segment of the log: the entries that one set of voters commits. A stop sign ends it and names the voters
//! of the next one.
use crate::{
    limits::{MAX_VOTERS, MIN_VOTERS},
    types::{NodeId, ProposalKey, Revision, StampedEntry},
};
use serde::{Deserialize, Serialize};

/// Number of entries after which the leader starts a new segment with the same voters. Limits the amount of
/// data sent to a lagging voter.
pub(crate) const MAX_SEGMENT_ENTRIES: usize = 1_024;

/// A member of the quorum group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The balancer that votes.
    pub node_id: NodeId,
    /// Identifies the store that the balancer votes with: drawn at random when the store was created, 0 for a
    /// founding voter.
    pub generation: u64,
}

/// A segment of the log and its voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    pub(crate) id: u32,
    /// The revision before the first entry.
    pub(crate) base: Revision,
    pub(crate) voters: Vec<Voter>,
}

impl Segment {
    /// The voter with this identifier, if the segment has one.
    pub(crate) fn voter(&self, node_id: NodeId) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.node_id == node_id)
    }

    /// Number of voters of a quorum.
    pub(crate) fn quorum_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The segment that follows a stop sign at `base`.
    pub(crate) fn next(&self, base: Revision, voters: Vec<Voter>) -> Segment {
        Segment { id: self.id + 1, base, voters }
    }
}

/// A proposed change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoterChange {
    pub(crate) removed: Option<NodeId>,
    pub(crate) added: Option<Voter>,
}

impl VoterChange {
    /// The voters after the change; `None` if the change is invalid.
    pub(crate) fn apply(&self, voters: &[Voter]) -> Option<Vec<Voter>> {
        let is_replaced = |voter: &Voter| {
            Some(voter.node_id) == self.removed
                || self.added.is_some_and(|added| added.node_id == voter.node_id)
        };
        let mut changed: Vec<_> = voters.iter().copied().filter(|voter| !is_replaced(voter)).collect();
        changed.extend(self.added);
        changed.sort_by_key(|voter| voter.node_id);
        let removes_voter =
            self.removed.is_none_or(|removed| voters.iter().any(|voter| voter.node_id == removed));
        let has_valid_size = (MIN_VOTERS..=MAX_VOTERS).contains(&changed.len());
        (removes_voter && has_valid_size && changed != voters).then_some(changed)
    }
}

/// A committed item of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LogItem<E> {
    Entry(StampedEntry<E>),
    /// Ends the segment; holds the voters of the next one.
    StopSign(StampedEntry<Vec<Voter>>),
}

impl<E> LogItem<E> {
    pub(crate) fn timestamp(&self) -> u64 {
        match self {
            LogItem::Entry(stamped) => stamped.timestamp,
            LogItem::StopSign(stamped) => stamped.timestamp,
        }
    }

    pub(crate) fn proposal_key(&self) -> ProposalKey {
        match self {
            LogItem::Entry(stamped) => stamped.proposal_key(),
            LogItem::StopSign(stamped) => stamped.proposal_key(),
        }
    }
}
