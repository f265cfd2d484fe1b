//! What the parts yield, carried out: what is agreed is applied in order, and who is in is told.

use crate::Micros;
use crate::entry::Entry;
use crate::part::{Fleet, GivenUp, Output};
use crate::wire::Body;
use agreement::{Action, ProposalOutcome, Revision, Store};
use membership::{Member, MemberSlot, Membership, Roster};

/// Revisions after which a snapshot of the state is made.
const SNAPSHOT_EVERY: Revision = 512;

impl<S: Store> Fleet<S> {
    /// Carries out what the parts yield, until they yield nothing.
    pub(crate) fn settle(&mut self, now: Micros) {
        loop {
            if let Some(action) = self.agreement.poll() {
                self.agreed(now, action);
            } else if let Some(action) = self.membership.poll() {
                self.member(now, action);
            } else {
                break;
            }
        }
        let caught_up = self.agreement.lag().is_none() && self.agreement.applied() > 0;
        if caught_up && !self.caught_up {
            self.out.push_back(Output::CaughtUp(self.agreement.applied()));
        }
        self.caught_up = caught_up;
        if self.agreement.applied() >= self.snapshot_at + SNAPSHOT_EVERY {
            self.snapshot_at = self.agreement.applied();
            self.agreement.snapshot(now, self.snapshot_at, self.state.snapshot().into());
        }
    }

    fn agreed(&mut self, now: Micros, action: Action<Entry>) {
        match action {
            Action::Send { to, message } => self.send(to, Body::Agreement(Box::new(message))),
            Action::Committed { revision, stamped } => {
                let applied =
                    self.state.apply(now, revision, stamped.timestamp, &stamped.entry, &mut self.lease);
                if stamped.proposer == self.me
                    && let Some(asked) = self.asked.get_mut(&stamped.proposal_id)
                {
                    *asked = Some((revision, applied.clone()));
                }
                self.changed(applied.is_some());
                if applied.is_some() {
                    self.out.push_back(Output::CaughtUp(revision));
                }
            }
            Action::Restore { revision, at, snapshot } => {
                if self.state.restore(now, revision, at, &snapshot, &mut self.lease) {
                    self.snapshot_at = revision;
                    self.changed(true);
                }
            }
            Action::VotersChanged { members, .. } => {
                self.out.push_back(Output::Council(members.iter().map(|it| it.node_id).collect()));
            }
            Action::LeadershipChanged(leads) => {
                self.leads = leads;
                self.granter.clear();
                self.out.push_back(Output::Leads(leads));
            }
            Action::VotingBlocked(why) => self.out.push_back(Output::CannotVote(why)),
            Action::ProposalFinished { id, outcome } => {
                if let Some(applied) = self.asked.remove(&id) {
                    let came_to = match outcome {
                        ProposalOutcome::Committed(revision) => Ok(applied.unwrap_or((revision, None))),
                        ProposalOutcome::TimedOut => Err(GivenUp),
                    };
                    self.out.push_back(Output::Proposed(id, came_to));
                }
            }
        }
    }

    fn changed(&mut self, calendar: bool) {
        if calendar {
            self.state.calendar.build_index(); // here, so that no request's first look at it pays
            self.out.push_back(Output::Calendar(Box::new(self.state.calendar.clone())));
        }
        self.out.push_back(Output::Lease(Box::new(self.lease.clone())));
    }

    fn member(&mut self, now: Micros, action: membership::Action) {
        use membership::Action as Of;
        match action {
            Of::Send { to, datagram } => {
                if let Some(number) = self.file.balancers.iter().position(|it| it.address == to) {
                    self.send(number as u16, Body::Membership(datagram.to_vec()));
                }
            }
            Of::Timer { after, timer } => self.out.push_back(Output::Timer(after, timer)),
            Of::Up(_) | Of::Down(..) => self.out.push_back(Output::Members(self.membership.len())),
            Of::Refuted | Of::Renewed(_) => {}
            // Our clock went back between two starts: the later one is this one.
            Of::Replaced(incarnation) => self.start_anew(now, incarnation + 1),
        }
    }

    fn start_anew(&mut self, now: Micros, incarnation: u64) {
        let zones = self.file.zones();
        let seat = |it: &crate::Listed| {
            (it.number, MemberSlot { address: it.address, zone: zones[usize::from(it.number)] })
        };
        let roster: Roster = self.file.balancers.iter().map(seat).collect();
        let member = Member { incarnation, ..*self.membership.local_member() };
        let seed = self.random.u64(..);
        self.membership = Membership::new(member, roster, membership::Settings::default(), seed);
        let others: Vec<_> = self.others().map(|it| self.file.balancers[usize::from(it)].address).collect();
        self.membership.join(now, &others);
    }
}
