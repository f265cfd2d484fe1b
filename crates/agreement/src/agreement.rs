//! The public interface of the log. Passes each input to the module that handles it, and sends messages only
//! after the changes that they depend on are durable.
mod apply;
mod dispatch;
mod propose;
mod synchronize;
mod voting;

use crate::{
    action::{Action, ProposeError, VotingBlock},
    catch_up::CatchUp,
    codec::encode,
    committed_log::CommittedLog,
    fleet_clock::FleetClock,
    fragment_transfer::FragmentTransfer,
    journal::Journal,
    limits::{MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES},
    message::{Command, LeaderHint},
    pending_proposals::PendingProposals,
    recovery::{RecoveredState, recover},
    replica::Replica,
    segment::{Segment, Voter, VoterChange},
    settings::Settings,
    shared_journal::SharedJournal,
    store::{Store, StoreChange},
    types::{Entry, Micros, NodeId, Revision},
    voting_guard::{VotingGuard, VotingState},
};
use bytes::Bytes;
use std::collections::VecDeque;

/// The generation of a voter to add while the generation of its store is unknown. Not 0, which marks a
/// founding voter.
const UNKNOWN_GENERATION: u64 = 1;

/// A balancer's participation in the log; see the crate's documentation.
pub struct Agreement<E: Entry, S: Store> {
    settings: Settings,
    store: S,
    journal: SharedJournal<E>,
    log: CommittedLog<E>,
    /// `Some` while this balancer votes.
    replica: Option<Replica<E>>,
    voting_guard: VotingGuard,
    catch_up: CatchUp,
    proposals: PendingProposals<E>,
    fragments: FragmentTransfer,
    random: fastrand::Rng,
    actions: VecDeque<Action<E>>,
    /// The highest link session used so far.
    link_session: u32,
    /// The lowest timestamp of entries appended by this balancer as the leader; set by each tick.
    min_timestamp: u64,
    fleet_clock: FleetClock,
    is_leader: bool,
    reported_block: Option<VotingBlock>,
}

impl<E: Entry, S: Store> Agreement<E, S> {
    /// Starts with the state in the store. The first actions restore the owner's state from it.
    pub fn new(settings: Settings, mut store: S, seed: u64, now: Micros) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ settings.incarnation);
        let founding = founding_segment(&settings);
        let (recovered, error) = match recover(&mut store, &founding, &mut random) {
            Ok(recovered) => (recovered, None),
            Err(error) => (RecoveredState::empty(&founding, &mut random), Some(error.to_string())),
        };
        let RecoveredState { hard_state, accepted, snapshot, items } = recovered;
        let mut agreement = Agreement {
            journal: SharedJournal::new(Journal::new(hard_state, accepted)),
            log: CommittedLog::new(founding),
            replica: None,
            voting_guard: VotingGuard::new(),
            catch_up: CatchUp::new(settings.node_id, &settings.nodes),
            proposals: PendingProposals::new(random.u64(..)),
            fragments: FragmentTransfer::new(random.u64(..)),
            random,
            actions: VecDeque::new(),
            link_session: 0,
            min_timestamp: 0,
            fleet_clock: FleetClock::default(),
            is_leader: false,
            reported_block: None,
            settings,
            store,
        };
        agreement.apply_recovered(now, snapshot, items);
        if let Some(error) = error {
            agreement.voting_guard.block(VotingBlock::StorageFailed(error));
        }
        agreement.flush_and_send(now);
        agreement
    }

    /// Advances time. The owner calls it every [`crate::TICK_INTERVAL_US`], with the machine's Unix time in
    /// microseconds.
    pub fn tick(&mut self, now: Micros, unix_time: u64) {
        // If the leader's clock is behind or was set back, fleet time continues from its previous value.
        self.fleet_clock.observe(now, self.log.last_timestamp());
        self.min_timestamp = unix_time.max(self.fleet_clock.now(now));
        if self.is_leader {
            self.fleet_clock.observe(now, unix_time);
        }
        self.catch_up.tick();
        self.fragments.tick(now);
        if let Some(replica) = &mut self.replica {
            replica.tick();
        }
        self.request_voter_histories(now);
        self.end_long_segment();
        self.send_proposals(now);
        self.request_missing_items(now);
        self.flush_and_send(now);
    }

    /// Proposes an entry and returns the identifier of the proposal. Its outcome is reported by
    /// [`Action::ProposalFinished`].
    ///
    /// # Errors
    /// Returns an error if the entry is too long or too many proposals are pending.
    pub fn propose(&mut self, now: Micros, entry: E) -> Result<u64, ProposeError> {
        let bytes = encode(&entry).len();
        if bytes > MAX_ENTRY_BYTES {
            return Err(ProposeError::EntryTooLong(bytes));
        }
        self.add_proposal(now, Command::Entry(entry), None)
    }

    /// Proposes to remove one voter, to add one, or both. Adding a current voter updates the generation of its
    /// store.
    ///
    /// # Errors
    /// Returns an error if the change is invalid or too many proposals are pending.
    pub fn change_voters(
        &mut self, now: Micros, removed: Option<NodeId>, added: Option<NodeId>,
    ) -> Result<u64, ProposeError> {
        let added_voter = added.map(|node_id| Voter { node_id, generation: UNKNOWN_GENERATION });
        let mut change = VoterChange { removed, added: added_voter };
        change.apply(&self.log.segment().voters).ok_or(ProposeError::InvalidVoterChange)?;
        let mut awaits_generation_of = added;
        if let Some(voter) = change.added.as_mut().filter(|voter| voter.node_id == self.settings.node_id) {
            voter.generation = self.journal.lock().hard_state().generation;
            awaits_generation_of = None;
        }
        self.add_proposal(now, Command::ChangeVoters(change), awaits_generation_of)
    }

    /// Returns the next action for the owner.
    pub fn poll(&mut self) -> Option<Action<E>> {
        self.actions.pop_front()
    }

    /// Supplies a snapshot of the owner's state after the entry at `revision`. A snapshot longer than
    /// [`MAX_SNAPSHOT_BYTES`] is ignored. Items well before the snapshot are trimmed.
    pub fn supply_snapshot(&mut self, now: Micros, revision: Revision, state: Bytes) {
        if state.len() > MAX_SNAPSHOT_BYTES {
            return;
        }
        if let Some(compaction) = self.log.install_owner_snapshot(revision, state) {
            let mut journal = self.journal.lock();
            journal.record(StoreChange::Snapshot(encode(compaction.snapshot)));
            if let Some(revision) = compaction.trimmed_to {
                journal.record(StoreChange::Trim(revision));
            }
        }
        self.flush_and_send(now);
    }

    /// Returns the commit index: the revision of the last item that was reported to the owner.
    pub fn commit_index(&self) -> Revision {
        self.log.last_revision()
    }

    /// Returns the highest commit index advertised by a peer, if it is above this balancer's own.
    pub fn newer_commit_index(&self) -> Option<Revision> {
        Some(self.catch_up.highest_advertised()).filter(|highest| *highest > self.log.last_revision())
    }

    /// Returns the leader if this balancer knows of one.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader_hint().map(|leader| leader.node_id)
    }

    /// Returns the current voters.
    pub fn voters(&self) -> &[Voter] {
        &self.log.segment().voters
    }

    /// Returns whether this balancer votes.
    pub fn is_voting(&self) -> bool {
        self.replica.is_some()
    }

    fn leader_hint(&self) -> Option<LeaderHint> {
        let segment = self.log.segment().id;
        let own = self.replica.as_ref().and_then(Replica::leader);
        let own = own.map(|leader| LeaderHint { segment, ballot: leader.ballot, node_id: leader.node_id });
        own.max(self.catch_up.leader)
    }

    /// Applies committed items, makes all changes durable, and only then sends messages.
    fn flush_and_send(&mut self, now: Micros) {
        self.apply_committed(now);
        self.start_voting_if_allowed(now);
        let flushed = self.journal.lock().flush(&mut self.store);
        if let Err(error) = flushed {
            self.voting_guard.block(VotingBlock::StorageFailed(error.to_string()));
        }
        self.report_block();
        if self.voting_guard.state != VotingState::Allowed {
            self.replica = None;
        }
        self.send_replication_frames(now);
        self.report_leadership();
        self.advertise(now);
        self.send_fragments();
    }

    fn report_block(&mut self) {
        if let VotingState::Blocked(reason) = &self.voting_guard.state
            && self.reported_block.as_ref() != Some(reason)
        {
            self.reported_block = Some(reason.clone());
            self.actions.push_back(Action::VotingBlocked(reason.clone()));
        }
    }

    fn report_leadership(&mut self) {
        let is_leader = self.replica.as_ref().is_some_and(Replica::is_leader);
        if is_leader != self.is_leader {
            self.is_leader = is_leader;
            self.actions.push_back(Action::LeadershipChanged(is_leader));
        }
    }
}

fn founding_segment(settings: &Settings) -> Segment {
    let founding_voter = |node_id: &NodeId| Voter { node_id: *node_id, generation: 0 };
    let mut voters: Vec<_> = settings.voters.iter().map(founding_voter).collect();
    voters.sort_by_key(|voter| voter.node_id);
    Segment { id: 1, base: 0, voters }
}
