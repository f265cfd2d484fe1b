//! Sends this balancer's proposals to the leader. While this balancer is the leader, appends the proposals of all
//! balancers.
use super::Agreement;
use crate::{
    action::{Action, ProposeError},
    limits::MAX_PENDING_PROPOSALS,
    message::{Command, ForwardedProposal, MessageBody},
    pending_proposals::FinishedProposal,
    replica::Replica,
    store::Store,
    types::{Entry, Micros, NodeId, StampedEntry},
};

/// Each attempt whose number is a multiple of this goes to a random voter, because the known leader may be
/// outdated.
const RANDOM_VOTER_INTERVAL: u32 = 3;

impl<E: Entry, S: Store> Agreement<E, S> {
    /// Adds a pending proposal, sends it and returns its identifier.
    pub(super) fn add_proposal(
        &mut self, now: Micros, command: Command<E>, awaits_generation_of: Option<NodeId>,
    ) -> Result<u64, ProposeError> {
        if self.proposals.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposeError::TooManyPending);
        }
        let proposed_after = self.log.last_revision();
        let proposal_id = self.proposals.add(now, proposed_after, command, awaits_generation_of);
        self.send_proposals(now);
        self.flush_and_send(now);
        Ok(proposal_id)
    }

    /// Reports the proposals that timed out and sends those that are due.
    pub(super) fn send_proposals(&mut self, now: Micros) {
        for finished in self.proposals.poll_timed_out(now) {
            self.report_finished(finished);
        }
        for pending in self.proposals.poll_due(now) {
            if let Some(node_id) = pending.awaits_generation_of {
                self.send(node_id, MessageBody::StoreGenerationRequest);
                continue;
            }
            let proposal = ForwardedProposal {
                proposal_id: pending.proposal_id,
                proposer: self.settings.node_id,
                proposed_after: pending.proposed_after,
                hops: 0,
                command: pending.command,
            };
            if self.replica.as_ref().is_some_and(Replica::is_leader) {
                self.handle_proposal(proposal);
            } else if let Some(to) = self.proposal_target(pending.attempts) {
                self.send(to, MessageBody::Propose(proposal));
            }
        }
    }

    pub(super) fn report_finished(&mut self, finished: FinishedProposal) {
        let FinishedProposal { proposal_id: id, outcome } = finished;
        self.actions.push_back(Action::ProposalFinished { id, outcome });
    }

    /// The leader, or a random voter if no other balancer is known to lead or this attempt goes to a random voter.
    fn proposal_target(&mut self, attempts: u32) -> Option<NodeId> {
        let leader = self.leader().filter(|leader| *leader != self.settings.node_id);
        if let Some(leader) = leader.filter(|_| !attempts.is_multiple_of(RANDOM_VOTER_INTERVAL)) {
            return Some(leader);
        }
        self.random.choice(&self.log.segment().voters).map(|voter| voter.node_id)
    }

    /// Appends a proposal to the log, or forwards it once if another voter is the leader.
    pub(super) fn handle_proposal(&mut self, proposal: ForwardedProposal<E>) {
        let Some(replica) = &mut self.replica else { return };
        if !replica.is_leader() {
            let leader = replica.leader().filter(|_| proposal.hops == 0);
            if let Some(leader) = leader {
                self.send(leader.node_id, MessageBody::Propose(ForwardedProposal { hops: 1, ..proposal }));
            }
            return;
        }
        let key = proposal.key();
        let is_new = self.log.contains_proposal(key, proposal.proposed_after) == Some(false)
            && !replica.has_accepted(key);
        if is_new && !self.log.is_full() && replica.can_append() {
            self.append_proposal(proposal);
        }
    }

    /// Appends a proposal as the leader. Drops a change of voters that is invalid.
    fn append_proposal(&mut self, proposal: ForwardedProposal<E>) {
        let timestamp = self.next_timestamp();
        let ForwardedProposal { proposer, proposal_id, command, .. } = proposal;
        let Some(replica) = &mut self.replica else { return };
        match command {
            Command::Entry(entry) => {
                replica.append(StampedEntry { timestamp, proposer, proposal_id, entry });
            }
            Command::ChangeVoters(change) => {
                // Generation 0 marks a founding voter, which cannot be added.
                let has_generation = change.added.is_none_or(|voter| voter.generation != 0);
                let voters = change.apply(&self.log.segment().voters).filter(|_| has_generation);
                if let Some(entry) = voters {
                    replica.append_stop_sign(&StampedEntry { timestamp, proposer, proposal_id, entry });
                }
            }
        }
    }

    /// The timestamp of the next entry: Unix time, but later than the timestamp of the last entry.
    fn next_timestamp(&self) -> u64 {
        let accepted = self.replica.as_ref().map_or(0, Replica::last_timestamp);
        self.min_timestamp.max(self.log.last_timestamp() + 1).max(accepted + 1)
    }

    /// Ends a long segment, so that the next one starts with the same voters.
    pub(super) fn end_long_segment(&mut self) {
        let timestamp = self.next_timestamp();
        let Some(replica) = &mut self.replica else { return };
        if replica.can_append() && replica.is_segment_long() {
            replica.append_stop_sign(&StampedEntry {
                timestamp,
                proposer: self.settings.node_id,
                proposal_id: self.random.u64(..),
                entry: self.log.segment().voters.clone(),
            });
        }
    }
}
