//! A stretch of the log under one council: it ends with a stop sign, and the next one counts on.
use crate::{NodeId, Revision, Stamped};
use serde::{Deserialize, Serialize};

/// Entries after which the leader starts a new segment with the same council: bounds what a lagging member is sent.
pub(crate) const SEGMENT: usize = 1_024;

/// A member of the council.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// Which balancer.
    pub node_id: NodeId,
    /// The name of the store it votes with: drawn when the store was made; 0 for one of the founding council.
    pub generation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    pub(crate) id: u32,
    /// The revision before its first entry.
    pub(crate) base: Revision,
    pub(crate) members: Vec<Voter>,
}

impl Segment {
    pub(crate) fn member(&self, number: NodeId) -> Option<&Voter> {
        self.members.iter().find(|member| member.node_id == number)
    }
    pub(crate) fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A change of the council, as proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Exchange {
    pub(crate) out: Option<NodeId>,
    pub(crate) taken_in: Option<Voter>,
}

impl Exchange {
    /// The members after the change, if it is one that may be made.
    pub(crate) fn apply(&self, members: &[Voter]) -> Option<Vec<Voter>> {
        let leaving = |number| Some(number) == self.out || self.taken_in.is_some_and(|m| m.node_id == number);
        let mut after: Vec<_> = members.iter().copied().filter(|m| !leaving(m.node_id)).collect();
        after.extend(self.taken_in);
        after.sort_by_key(|m| m.node_id);
        let known = self.out.is_none_or(|out| members.iter().any(|m| m.node_id == out));
        (known && (3..=7).contains(&after.len()) && after != members).then_some(after)
    }
}

/// One place of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Item<E> {
    Entry(Stamped<E>),
    Stop(Stamped<Vec<Voter>>),
}

impl<E> Item<E> {
    pub(crate) fn at(&self) -> u64 {
        match self {
            Item::Entry(stamped) => stamped.timestamp,
            Item::Stop(stamped) => stamped.timestamp,
        }
    }
    pub(crate) fn name(&self) -> (NodeId, u64) {
        match self {
            Item::Entry(stamped) => (stamped.proposer, stamped.proposal_id),
            Item::Stop(stamped) => (stamped.proposer, stamped.proposal_id),
        }
    }
}
