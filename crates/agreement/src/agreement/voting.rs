//! This balancer as a voter: enters segments, verifies that it may vote, and exchanges the replication frames
//! of its replica.
use super::Agreement;
use crate::{
    message::{MessageBody, ObservedHistory, ReplicationFrame, VoterHistory},
    replica::Replica,
    segment::Voter,
    store::Store,
    types::{Entry, Micros, NodeId},
    voting_guard::VotingState,
};

impl<E: Entry, S: Store> Agreement<E, S> {
    /// Enters the current segment of the log if the journal is in an earlier one. Starts the replica if this
    /// balancer may vote and has none.
    pub(super) fn enter_segment(&mut self, now: Micros) {
        let segment = self.log.segment().clone();
        let local = segment.voter(self.settings.node_id).copied();
        let was_elected = self.replica.as_ref().is_some_and(Replica::is_elected);
        let mut should_campaign = false;
        let mut journal = self.journal.lock();
        if journal.hard_state().segment.id < segment.id {
            should_campaign = was_elected;
            journal.enter_segment(segment);
            if let Some(replica) = self.replica.take() {
                self.link_session = replica.max_session() + 1;
            }
        }
        self.voting_guard.enter_segment(now, local.as_ref(), journal.hard_state());
        drop(journal);
        if self.voting_guard.state == VotingState::Allowed && self.replica.is_none() {
            self.start_replica();
            if let Some(replica) = self.replica.as_mut().filter(|_| should_campaign) {
                replica.campaign();
            }
        }
    }

    fn start_replica(&mut self) {
        self.link_session += 1;
        self.replica = Replica::new(self.settings.node_id, self.journal.clone(), self.link_session);
    }

    /// Starts the replica when the histories of the other voters allow this voter to vote.
    pub(super) fn start_voting_if_allowed(&mut self, now: Micros) {
        let mut journal = self.journal.lock();
        let segment = self.log.segment();
        // A snapshot or items may belong to a segment that the journal has not entered yet.
        let has_entered = journal.hard_state().segment.id == segment.id;
        let local = self.settings.node_id;
        if !has_entered || !self.voting_guard.poll_allowed(now, local, segment, journal.hard_state()) {
            return;
        }
        let hard_state = journal.hard_state_mut();
        if !hard_state.founded {
            for founder in self.voting_guard.founders() {
                if !hard_state.founders.iter().any(|known| known.node_id == founder.node_id) {
                    hard_state.founders.push(founder);
                }
            }
        }
        hard_state.founded = true;
        drop(journal);
        self.start_replica();
    }

    /// This voter's own history.
    fn voter_history(&self) -> VoterHistory {
        let journal = self.journal.lock();
        let hard_state = journal.hard_state();
        let has_state = hard_state.founded || self.log.last_revision() > 0;
        VoterHistory { generation: hard_state.generation, has_state, writes: hard_state.writes }
    }

    /// Requests the histories of the other voters when a request is due.
    pub(super) fn request_voter_histories(&mut self, now: Micros) {
        if !self.voting_guard.poll_request(now) {
            return;
        }
        let history = self.voter_history();
        for voter in self.log.segment().voters.clone() {
            self.send(voter.node_id, MessageBody::VoterHistoryRequest(history));
        }
    }

    /// Responds with this balancer's history and its observations of the requester. Records the requester as a
    /// founder if it is a voter and neither balancer has state.
    pub(super) fn handle_history_request(&mut self, from: NodeId, requester: VoterHistory) {
        let own_history = self.voter_history();
        let requesting_store = Voter { node_id: from, generation: requester.generation };
        let mut journal = self.journal.lock();
        let known = journal.hard_state().founders.iter().find(|founder| founder.node_id == from).copied();
        let is_voter = self.log.segment().voter(from).is_some();
        // Only the first store of a balancer is recorded: a second one without state has lost the votes of the
        // first.
        if known.is_none() && !requester.has_state && !own_history.has_state && is_voter {
            journal.hard_state_mut().founders.push(requesting_store);
        }
        let founder = known.or((!own_history.has_state).then_some(requesting_store));
        let receiver = ObservedHistory {
            writes: journal.hard_state().writes_of(requesting_store),
            founding_generation: founder.map(|founder| founder.generation),
        };
        drop(journal);
        self.send(from, MessageBody::VoterHistoryResponse { sender: own_history, receiver });
    }

    /// Passes a frame of the current segment to the replica. Records that items are missing if the frame's segment is
    /// newer. Responds with the commit index if the segment is older or the sender is not a voter.
    pub(super) fn handle_replication_frame(&mut self, now: Micros, from: NodeId, frame: ReplicationFrame) {
        let segment = self.log.segment();
        if frame.segment > segment.id {
            let next = self.log.last_revision() + 1;
            self.catch_up.record_advertisement(from, next, None);
            return;
        }
        let is_voter =
            segment.voter(from).is_some_and(|voter| [0, frame.generation].contains(&voter.generation));
        if frame.segment < segment.id || !is_voter {
            if self.catch_up.admit_response() {
                let advertisement = self.commit_advertisement();
                self.send(from, advertisement);
            }
            return;
        }
        let sender = Voter { node_id: from, generation: frame.generation };
        self.journal.lock().observe_writes(sender, frame.writes);
        if let Some(replica) = &mut self.replica {
            self.fleet_clock.observe(now, frame.fleet_time);
            replica.handle_packet(from, frame.packet);
        }
    }

    /// Sends the packets of the replica. The journal must be flushed before.
    pub(super) fn send_replication_frames(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        let outgoing = replica.poll_transmit(now);
        let (segment, writes, generation) = {
            let journal = self.journal.lock();
            let hard_state = journal.hard_state();
            (hard_state.segment.id, hard_state.writes, hard_state.generation)
        };
        let fleet_time = self.fleet_clock.now(now);
        for outgoing in outgoing {
            let packet = outgoing.packet;
            let frame = ReplicationFrame { segment, writes, generation, fleet_time, packet };
            self.send(outgoing.to, MessageBody::Replication(frame));
        }
    }
}
