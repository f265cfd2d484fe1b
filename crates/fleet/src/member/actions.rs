//! Carries out the actions of the log and of the membership: applies committed entries, and reports changes to
//! the owner.

use super::{AppliedProposal, FleetMember};
use crate::entry::Entry;
use crate::output::{Output, ProposalOutcome};
use crate::replicated_state::LogPosition;
use crate::wire::Body;
use agreement::{Action, Micros, Revision, StampedEntry, Store};
use membership::{Member, Membership};

/// Number of revisions from one snapshot of the state to the next.
const SNAPSHOT_INTERVAL: Revision = 512;

impl<S: Store> FleetMember<S> {
    /// Carries out all pending actions.
    pub(super) fn drive(&mut self, now: Micros) {
        loop {
            if let Some(action) = self.agreement.poll() {
                self.handle_log_action(now, action);
            } else if let Some(action) = self.membership.poll() {
                self.handle_membership_action(now, action);
            } else {
                break;
            }
        }
        self.report_caught_up();
        self.snapshot_if_due(now);
    }

    fn report_caught_up(&mut self) {
        let is_caught_up = self.agreement.newer_commit_index().is_none() && self.agreement.commit_index() > 0;
        if is_caught_up && !self.is_caught_up {
            self.outputs.push_back(Output::CaughtUp(self.agreement.commit_index()));
        }
        self.is_caught_up = is_caught_up;
    }

    fn snapshot_if_due(&mut self, now: Micros) {
        let applied = self.agreement.commit_index();
        if applied >= self.snapshot_revision + SNAPSHOT_INTERVAL {
            self.snapshot_revision = applied;
            self.agreement.supply_snapshot(now, applied, self.state.snapshot().into());
        }
    }

    fn handle_log_action(&mut self, now: Micros, action: Action<Entry>) {
        match action {
            Action::Send { to, message } => self.send(to, Body::Agreement(Box::new(message))),
            Action::Committed { revision, stamped } => self.apply(now, revision, &stamped),
            Action::Restore { revision, timestamp, snapshot } => {
                let position = LogPosition { revision, timestamp };
                if self.state.restore(now, position, &snapshot, &mut self.lease).is_ok() {
                    self.snapshot_revision = revision;
                    self.report_calendar();
                    self.report_lease();
                }
            }
            Action::VotersChanged { voters, .. } => {
                let voters = voters.iter().map(|voter| voter.node_id).collect();
                self.outputs.push_back(Output::VotersChanged(voters));
            }
            Action::LeadershipChanged(is_leader) => {
                self.is_leader = is_leader;
                self.granter.clear();
                self.outputs.push_back(Output::LeadershipChanged(is_leader));
            }
            Action::VotingBlocked(reason) => self.outputs.push_back(Output::VotingBlocked(reason)),
            Action::ProposalFinished { id, outcome } => self.finish_proposal(id, outcome),
        }
    }

    fn apply(&mut self, now: Micros, revision: Revision, stamped: &StampedEntry<Entry>) {
        let position = LogPosition { revision, timestamp: stamped.timestamp };
        let result = self.state.apply(now, position, &stamped.entry, &mut self.lease);
        let changed_calendar = result.is_some();
        if stamped.proposer == self.node_id
            && let Some(proposal) = self.proposals.get_mut(&stamped.proposal_id)
        {
            *proposal = Some(AppliedProposal { revision, result });
        }
        if changed_calendar {
            self.report_calendar();
        }
        self.report_lease();
        if changed_calendar {
            self.outputs.push_back(Output::CaughtUp(revision));
        }
    }

    /// Reports the outcome of a calendar proposal. Outcomes of grants and of voter changes are ignored.
    fn finish_proposal(&mut self, id: u64, outcome: agreement::ProposalOutcome) {
        let Some(applied) = self.proposals.remove(&id) else { return };
        let outcome = match (outcome, applied) {
            (agreement::ProposalOutcome::TimedOut, _) => ProposalOutcome::TimedOut,
            (agreement::ProposalOutcome::Committed(_), Some(AppliedProposal { revision, result })) => {
                ProposalOutcome::Committed { revision, applied: result }
            }
            (agreement::ProposalOutcome::Committed(revision), None) => {
                ProposalOutcome::Committed { revision, applied: None }
            }
        };
        self.outputs.push_back(Output::ProposalFinished { id, outcome });
    }

    fn report_calendar(&mut self) {
        // The index is built here, so that the first request that needs it is not delayed.
        self.state.calendar.build_index();
        self.outputs.push_back(Output::CalendarChanged(Box::new(self.state.calendar.clone())));
    }

    fn report_lease(&mut self) {
        self.outputs.push_back(Output::LeaseChanged(Box::new(self.lease.clone())));
    }

    fn handle_membership_action(&mut self, now: Micros, action: membership::Action) {
        match action {
            membership::Action::Send { to, datagram } => {
                let receiver = self.file.balancers.iter().find(|balancer| balancer.address == to);
                if let Some(receiver) = receiver {
                    self.send(receiver.node_id, Body::Membership(datagram.to_vec()));
                }
            }
            membership::Action::Timer { after, timer } => {
                self.outputs.push_back(Output::SetTimer { after, timer });
            }
            membership::Action::Up(_) | membership::Action::Down(..) => {
                self.outputs.push_back(Output::MembersChanged(self.membership.len()));
            }
            membership::Action::Refuted | membership::Action::Renewed(_) => {}
            // This process is the later one. The earlier process had a higher incarnation because the clock went
            // back between the two starts.
            membership::Action::Replaced(incarnation) => self.rejoin(now, incarnation + 1),
        }
    }

    /// Joins the membership again under another incarnation.
    fn rejoin(&mut self, now: Micros, incarnation: u64) {
        let local = Member { incarnation, ..*self.membership.local_member() };
        let seed = self.random.u64(..);
        let settings = membership::Settings::default();
        self.membership = Membership::new(local, self.file.roster(), settings, seed);
        self.join(now);
    }
}
