//! Whether a member may vote: one that may have voted before and does not remember it must not.
use crate::{
    Micros, NodeId, VotingBlock,
    journal::Head,
    message::{Memory, OfYou},
    segment::{Segment, Voter},
};
use std::collections::BTreeMap;

/// How often the others are asked, in microseconds.
const ASK_US: Micros = 500_000;
/// How long all others are waited for before a quorum's answers do, in microseconds.
const WAIT_FOR_ALL_US: Micros = 2_000_000;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// Not of the council.
    Outside,
    Asking,
    Open,
    Shut(VotingBlock),
}

pub(crate) struct Gate {
    pub(crate) state: State,
    answers: BTreeMap<NodeId, (Memory, OfYou)>,
    since: Micros,
    next: Micros,
}

impl Gate {
    pub(crate) fn new() -> Self {
        Gate { state: State::Outside, answers: BTreeMap::new(), since: 0, next: 0 }
    }

    /// Looks at the segment anew; one that is open stays so as long as its store is the member's.
    pub(crate) fn enter(&mut self, now: Micros, me: Option<&Voter>, head: &Head) {
        let Some(member) = me else {
            self.state = State::Outside;
            return;
        };
        let own = member.generation == head.generation;
        if matches!(self.state, State::Shut(VotingBlock::StorageFailed(_) | VotingBlock::StaleStore { .. })) {
            return;
        }
        if member.generation != 0 && !own {
            self.state = State::Shut(VotingBlock::LostState);
        } else if self.state != State::Open {
            self.state = State::Asking;
            self.answers.clear();
            (self.since, self.next) = (now, now);
        }
    }

    /// Whether the others are to be asked now.
    pub(crate) fn asks(&mut self, now: Micros) -> bool {
        let due = self.state == State::Asking && now >= self.next;
        if due {
            self.next = now + ASK_US;
        }
        due
    }

    pub(crate) fn fail(&mut self, why: VotingBlock) {
        self.state = State::Shut(why);
    }

    pub(crate) fn answer(&mut self, from: NodeId, mine: Memory, of_you: OfYou, writes: u64) {
        if of_you.writes > writes && self.state != State::Outside {
            self.fail(VotingBlock::StaleStore { ours: writes, heard: of_you.writes });
        } else if self.state == State::Asking {
            self.answers.insert(from, (mine, of_you));
        }
    }

    /// Whether the answers let this member vote; says so once.
    pub(crate) fn opens(&mut self, now: Micros, me: NodeId, segment: &Segment, head: &Head) -> bool {
        let Some(member) = segment.member(me) else { return false };
        if self.state != State::Asking {
            return false;
        }
        let answers: Vec<_> =
            self.answers.iter().filter(|answer| segment.member(*answer.0).is_some()).collect();
        let all = answers.len() + 1 >= segment.members.len();
        if member.generation == 0 && !head.founded {
            let own = Some(head.generation);
            // Somebody that had no memory of its own yet knew this very store without any.
            let vouched = answers.iter().any(|answer| answer.1.1.founded == own);
            let lost = answers.iter().any(|(_, (_, of))| of.founded.is_some() && of.founded != own);
            let strange = !vouched && answers.iter().any(|(_, (memory, _))| memory.any);
            if lost || (all && strange) {
                self.fail(VotingBlock::LostState);
            }
            if lost || strange || !all {
                return false;
            }
        } else if !all && (answers.len() + 1 < segment.quorum() || now < self.since + WAIT_FOR_ALL_US) {
            return false;
        }
        self.state = State::Open;
        true
    }

    /// The stores of the others that had no memory either.
    pub(crate) fn founders(&self) -> Vec<Voter> {
        let without = self.answers.iter().filter(|answer| !answer.1.0.any);
        without
            .map(|(number, (memory, _))| Voter { node_id: *number, generation: memory.generation })
            .collect()
    }
}
