//! This balancer's pending proposals: each is retried under the same identifier until it is committed or
//! times out.
use crate::{
    action::ProposalOutcome,
    limits::PROPOSAL_TIMEOUT_US,
    message::Command,
    segment::VoterChange,
    types::{Micros, NodeId, Revision},
};

/// Interval between attempts, in microseconds: longer than a commit takes.
const RETRY_INTERVAL_US: Micros = 300_000;

/// A pending proposal.
#[derive(Clone)]
pub(crate) struct PendingProposal<E> {
    pub(crate) proposal_id: u64,
    /// The commit index when the proposal was made.
    pub(crate) proposed_after: Revision,
    pub(crate) command: Command<E>,
    /// The balancer whose store generation must be known before the proposal can be sent.
    pub(crate) awaits_generation_of: Option<NodeId>,
    pub(crate) attempts: u32,
    created_at: Micros,
    next_attempt: Micros,
}

/// A proposal that ended.
pub(crate) struct FinishedProposal {
    pub(crate) proposal_id: u64,
    pub(crate) outcome: ProposalOutcome,
}

/// The pending proposals and the identifier of the next one.
pub(crate) struct PendingProposals<E> {
    next_id: u64,
    pending: Vec<PendingProposal<E>>,
}

impl<E: Clone> PendingProposals<E> {
    /// `first_id` is drawn at random so that two incarnations use different identifiers.
    pub(crate) fn new(first_id: u64) -> Self {
        PendingProposals { next_id: first_id, pending: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Adds a proposal and returns its identifier.
    pub(crate) fn add(
        &mut self, now: Micros, proposed_after: Revision, command: Command<E>,
        awaits_generation_of: Option<NodeId>,
    ) -> u64 {
        let proposal_id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.pending.push(PendingProposal {
            proposal_id,
            proposed_after,
            command,
            awaits_generation_of,
            attempts: 0,
            created_at: now,
            next_attempt: now,
        });
        proposal_id
    }

    /// The proposals to send now. Counts an attempt for each.
    pub(crate) fn poll_due(&mut self, now: Micros) -> Vec<PendingProposal<E>> {
        let mut due = Vec::new();
        for proposal in self.pending.iter_mut().filter(|proposal| now >= proposal.next_attempt) {
            proposal.next_attempt = now + RETRY_INTERVAL_US;
            proposal.attempts += 1;
            due.push(proposal.clone());
        }
        due
    }

    /// Sets the generation in the voter changes that wait for the generation of the store of `node_id`.
    pub(crate) fn set_generation(&mut self, node_id: NodeId, generation: u64) {
        let is_waiting = |proposal: &&mut PendingProposal<E>| proposal.awaits_generation_of == Some(node_id);
        for proposal in self.pending.iter_mut().filter(is_waiting) {
            if let Command::ChangeVoters(VoterChange { added: Some(voter), .. }) = &mut proposal.command {
                voter.generation = generation;
                proposal.awaits_generation_of = None;
                proposal.next_attempt = 0;
            }
        }
    }

    /// Removes and returns the proposal if it is pending.
    pub(crate) fn handle_committed(
        &mut self, proposal_id: u64, revision: Revision,
    ) -> Option<FinishedProposal> {
        let index = self.pending.iter().position(|proposal| proposal.proposal_id == proposal_id)?;
        self.pending.swap_remove(index);
        Some(FinishedProposal { proposal_id, outcome: ProposalOutcome::Committed(revision) })
    }

    /// Removes and returns the proposals that timed out.
    pub(crate) fn poll_timed_out(&mut self, now: Micros) -> Vec<FinishedProposal> {
        let has_timed_out =
            |proposal: &mut PendingProposal<E>| now >= proposal.created_at + PROPOSAL_TIMEOUT_US;
        let timed_out = self.pending.extract_if(.., has_timed_out);
        timed_out
            .map(|proposal| FinishedProposal {
                proposal_id: proposal.proposal_id,
                outcome: ProposalOutcome::TimedOut,
            })
            .collect()
    }
}
