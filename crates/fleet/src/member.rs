//! The public interface of a fleet member. It passes each input to the protocol that handles it.

mod actions;
mod datagrams;
mod view;

use crate::counters::DatagramCounters;
use crate::entry::Entry;
use crate::file::FleetFile;
use crate::output::Output;
use crate::replicated_state::ReplicatedState;
use crate::wire::Body;
use agreement::{Agreement, Micros, NodeId, ProposeError, Revision, Store};
use audit::lease::{Lease, LeaseGranter};
use audit::ledger::{ActivityReport, Ledger, LedgerEntry};
use calendar::{Applied, Calendar, Proposal};
use membership::{Member, Membership, Timer};
use std::collections::{BTreeMap, VecDeque};

/// The interval of heartbeats. With it, the loss of a lease is known while the last heartbeat of its holder is
/// valid, and the cost does not grow with the fleet.
const HEARTBEAT_INTERVAL: Micros = 250_000;
/// Number of randomly drawn receivers of each heartbeat.
const HEARTBEAT_FANOUT: usize = 3;
/// Number of randomly drawn receivers of each activity report, besides the voters.
const REPORT_FANOUT: usize = 1;
/// The gap between ticks above which the process counts as stalled. It must not suspect other members because of
/// its own stall.
const STALL_THRESHOLD: Micros = 1_000_000;
/// The largest number of pending proposals for the calendar. Each proposal ends by itself.
const MAX_PENDING_PROPOSALS: usize = agreement::MAX_PENDING_PROPOSALS;

/// The configuration with which a member starts.
pub struct MemberConfig<S> {
    /// This balancer's index in the fleet file.
    pub node_id: NodeId,
    /// This balancer's incarnation. It must increase from one start to the next.
    pub incarnation: u64,
    /// The store of the log.
    pub store: S,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// A calendar entry that this balancer proposed and has applied.
#[derive(Debug, Clone)]
struct AppliedProposal {
    revision: Revision,
    result: Option<Applied>,
}

/// One member of a fleet of balancers.
pub struct FleetMember<S: Store> {
    file: FleetFile,
    node_id: NodeId,
    incarnation: u64,
    membership: Membership,
    agreement: Agreement<Entry, S>,
    lease: Lease,
    granter: LeaseGranter,
    state: ReplicatedState,
    ledger: Ledger,
    is_leader: bool,
    counters: DatagramCounters,
    random: fastrand::Rng,
    outputs: VecDeque<Output>,
    /// The pending proposals for the calendar by identifier. Those that are already applied have their result.
    proposals: BTreeMap<u64, Option<AppliedProposal>>,
    snapshot_revision: Revision,
    is_caught_up: bool,
    next_heartbeat: Micros,
    last_tick: Micros,
}

impl<S: Store> FleetMember<S> {
    /// Starts the balancer with the index `config.node_id` in the file.
    pub fn new(file: FleetFile, config: MemberConfig<S>, now: Micros) -> Self {
        let MemberConfig { node_id, incarnation, store, seed } = config;
        let lease_settings = file.lease_settings();
        let zones = file.zones();
        let nodes = file.balancers.iter().zip(&zones).map(|(balancer, zone)| (balancer.node_id, *zone));
        let settings = agreement::Settings {
            node_id,
            incarnation,
            voters: file.founding_voters(),
            nodes: nodes.collect(),
        };
        let index = usize::from(node_id);
        let address = file.balancers[index].address;
        let local = Member { number: node_id, incarnation, address, zone: zones[index] };
        let count = file.balancer_count();
        let mut member = Self {
            membership: Membership::new(local, file.roster(), membership::Settings::default(), seed),
            agreement: Agreement::new(settings, store, seed, now),
            lease: Lease::new(node_id, incarnation, lease_settings, now),
            granter: LeaseGranter::new(count),
            state: ReplicatedState::new(lease_settings),
            ledger: Ledger::new(count),
            is_leader: false,
            counters: DatagramCounters::default(),
            random: fastrand::Rng::with_seed(seed),
            outputs: VecDeque::new(),
            proposals: BTreeMap::new(),
            snapshot_revision: 0,
            is_caught_up: false,
            next_heartbeat: now,
            last_tick: now,
            file,
            node_id,
            incarnation,
        };
        member.join(now);
        member.drive(now);
        member
    }

    /// Returns the next output for the owner; `None` if there is none.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the counters of datagrams.
    #[must_use]
    pub fn counters(&self) -> DatagramCounters {
        self.counters
    }

    /// Returns this balancer's own lease.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the last applied revision of the log.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.agreement.commit_index()
    }

    /// Returns whether this balancer votes.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        self.agreement.is_voting()
    }

    /// Returns the calendar at the last applied revision.
    #[must_use]
    pub fn calendar(&self) -> &Calendar {
        &self.state.calendar
    }

    /// Handles an expired timer.
    pub fn handle_timer(&mut self, now: Micros, timer: Timer) {
        self.membership.handle_timer(now, timer);
        self.drive(now);
    }

    /// Advances time to `now`. `unix` is the reading of this machine's wall clock, which is used only while this
    /// balancer is the leader.
    pub fn tick(&mut self, now: Micros, unix: u64) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > STALL_THRESHOLD {
            self.membership.handle_stall(now, gap);
        }
        self.agreement.tick(now, unix);
        self.request_lease(now);
        self.propose_grants(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
        self.drive(now);
    }

    /// Sends a lease request to all voters, if one is due.
    fn request_lease(&mut self, now: Micros) {
        let Some(request) = self.lease.poll_request(now) else { return };
        for voter in self.voters() {
            if voter != self.node_id {
                self.send(voter, Body::LeaseRequest(request));
            } else if self.is_leader {
                self.granter.handle_request(request);
            }
        }
        // The lease records its requests, so the core needs a new copy.
        self.outputs.push_back(Output::LeaseChanged(Box::new(self.lease.clone())));
    }

    /// Proposes the grants that are due. A rejected proposal is not repeated, because a balancer without a lease
    /// requests it again.
    fn propose_grants(&mut self, now: Micros) {
        if self.is_leader
            && let Some(grants) = self.granter.poll_grants(now)
        {
            let _ = self.agreement.propose(now, Entry::Leases(grants));
        }
    }

    /// Proposes a change of the calendar and returns the identifier of the proposal. Its outcome is reported
    /// by [`Output::ProposalFinished`].
    ///
    /// # Errors
    /// Returns an error if too many proposals are pending, or if this one is too long.
    pub fn propose(&mut self, now: Micros, proposal: Box<Proposal>) -> Result<u64, ProposeError> {
        if self.proposals.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposeError::TooManyPending);
        }
        let id = self.agreement.propose(now, Entry::Calendar(proposal))?;
        self.proposals.insert(id, None);
        self.drive(now);
        Ok(id)
    }

    /// Proposes a change of the voters that removes at most one and adds at most one.
    ///
    /// # Errors
    /// Returns an error if the change is invalid, or if too many proposals are pending.
    pub fn change_voters(
        &mut self, now: Micros, removed: Option<NodeId>, added: Option<NodeId>,
    ) -> Result<u64, ProposeError> {
        let id = self.agreement.change_voters(now, removed, added)?;
        self.drive(now);
        Ok(id)
    }

    /// Records a report of this balancer's activity under each version, and sends it to the voters and to some
    /// random members.
    pub fn publish_report(&mut self, now: Micros, report: ActivityReport) {
        self.ledger.record_report(&report);
        let mut receivers = self.voters();
        receivers.retain(|voter| *voter != self.node_id);
        receivers.extend(self.draw_members(REPORT_FANOUT));
        for receiver in receivers {
            self.send(receiver, Body::ActivityReport(report.clone()));
        }
        self.drive(now);
    }

    /// Records an entry of this balancer's own activity in the ledger.
    pub fn record_own_entry(&mut self, entry: LedgerEntry) {
        self.ledger.record_own_entry(entry);
    }

    /// Returns the encoded ledger entries that are not yet stored on disk. Each entry is returned once.
    pub fn take_unsaved_entries(&mut self) -> Vec<Vec<u8>> {
        self.ledger.take_unsaved().iter().map(LedgerEntry::to_bytes).collect()
    }

    /// Restores a ledger entry that was read from disk. Bytes that cannot be decoded are ignored.
    pub fn restore_entry(&mut self, bytes: &[u8]) {
        if let Some(entry) = LedgerEntry::from_bytes(bytes) {
            self.ledger.restore(entry);
        }
    }

    fn voters(&self) -> Vec<NodeId> {
        self.agreement.voters().iter().map(|voter| voter.node_id).collect()
    }

    fn is_voter(&self, node_id: NodeId) -> bool {
        self.agreement.voters().iter().any(|voter| voter.node_id == node_id)
    }

    /// Joins the membership through all other balancers.
    fn join(&mut self, now: Micros) {
        let others = self.file.balancers.iter().filter(|balancer| balancer.node_id != self.node_id);
        let addresses: Vec<_> = others.map(|balancer| balancer.address).collect();
        self.membership.join(now, &addresses);
    }
}
