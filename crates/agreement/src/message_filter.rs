//! Rejects messages that no correct voter sends and on which `omnipaxos` panics.
use crate::{
    limits::MAX_VOTERS,
    paxos::{decode_stop_sign, to_node_id},
    segment::Segment,
    types::{Entry, StampedEntry},
};
use omnipaxos::{
    ballot_leader_election::Ballot,
    messages::sequence_paxos::{AcceptSync, PaxosMsg, Promise},
    storage::StopSign,
    util::{LogSync, NodeId as PaxosId},
};

/// Exclusive upper bound of the log indices that a correct voter sends.
const MAX_INDEX: usize = 1 << 20;
/// Exclusive upper bound of the ballot numbers that a correct voter sends.
const MAX_BALLOT: u32 = 1 << 30;
/// Minimum number of voters in a stop sign.
const MIN_STOP_SIGN_VOTERS: usize = 2;

/// The state of the replica that a message is checked against.
pub(crate) struct MessageFilter<'a> {
    pub(crate) local: PaxosId,
    pub(crate) segment: &'a Segment,
    /// Number of accepted entries, without the stop sign.
    pub(crate) log_length: usize,
    pub(crate) has_stop_sign: bool,
    pub(crate) decided_index: usize,
    pub(crate) is_leader: bool,
}

impl MessageFilter<'_> {
    /// Whether the ballot belongs to a voter of this segment.
    pub(crate) fn is_valid_ballot(&self, ballot: &Ballot) -> bool {
        ballot.config_id == self.segment.id
            && ballot.n < MAX_BALLOT
            && ballot.pid != 0
            && self.is_voter(ballot.pid)
    }

    fn is_voter(&self, paxos_id: PaxosId) -> bool {
        let node_id = to_node_id(paxos_id);
        let is_other_voter = node_id != to_node_id(self.local) && self.segment.voter(node_id).is_some();
        paxos_id == self.local || is_other_voter
    }

    /// Whether `omnipaxos` can handle the message. Removes the log suffix of a late promise, and adjusts an index
    /// that points behind the stop sign.
    pub(crate) fn normalize_and_check<E: Entry>(&self, message: &mut PaxosMsg<StampedEntry<E>>) -> bool {
        let accepted_index = self.log_length + usize::from(self.has_stop_sign);
        match message {
            PaxosMsg::PrepareReq(request) => request.n.n < MAX_BALLOT,
            PaxosMsg::Prepare(prepare) => {
                self.is_valid_ballot(&prepare.n) && prepare.decided_idx.max(prepare.accepted_idx) < MAX_INDEX
            }
            PaxosMsg::Promise(promise) => self.check_promise(promise, accepted_index),
            PaxosMsg::AcceptSync(sync) => self.check_accept_sync(sync),
            PaxosMsg::AcceptDecide(accept) => self.is_valid_ballot(&accept.n) && !self.has_stop_sign,
            PaxosMsg::Accepted(accepted) => {
                self.is_valid_ballot(&accepted.n) && accepted.accepted_idx <= accepted_index
            }
            PaxosMsg::NotAccepted(not_accepted) => self.is_valid_ballot(&not_accepted.n),
            PaxosMsg::Decide(decide) => self.is_valid_ballot(&decide.n),
            PaxosMsg::AcceptStopSign(accept) => {
                self.is_valid_ballot(&accept.n) && !self.has_stop_sign && self.is_next_segment(&accept.ss)
            }
            PaxosMsg::ProposalForward(_) | PaxosMsg::Compaction(_) | PaxosMsg::ForwardStopSign(_) => false,
        }
    }

    fn check_promise<E: Entry>(&self, promise: &mut Promise<StampedEntry<E>>, accepted_index: usize) -> bool {
        // Once a quorum has promised, the leader does not need the log suffix of a late promise. The suffix may
        // also start before newly decided entries.
        if self.is_leader {
            promise.log_sync = None;
        }
        let end = match promise.log_sync.as_mut() {
            Some(sync) => {
                if !self.check_log_sync(sync) {
                    return false;
                }
                sync_end(sync)
            }
            None => accepted_index,
        };
        self.is_valid_ballot(&promise.n)
            && promise.decided_idx <= end
            && promise.decided_idx <= promise.accepted_idx
            && promise.accepted_idx < MAX_INDEX
    }

    fn check_accept_sync<E: Entry>(&self, sync: &mut AcceptSync<StampedEntry<E>>) -> bool {
        self.is_valid_ballot(&sync.n)
            && self.check_log_sync(&mut sync.log_sync)
            && sync.decided_idx <= sync_end(&sync.log_sync)
    }

    fn check_log_sync<E: Entry>(&self, sync: &mut LogSync<StampedEntry<E>>) -> bool {
        // The index of a stop sign counts as accepted but holds no entry. A suffix that starts after it would
        // count the stop sign twice.
        if self.has_stop_sign && sync.sync_idx == self.log_length + 1 && sync.suffix.is_empty() {
            sync.sync_idx = self.log_length;
        }
        sync.decided_snapshot.is_none()
            && sync.sync_idx <= self.log_length
            && sync.sync_idx >= self.decided_index
            && sync.sync_idx + sync.suffix.len() < MAX_INDEX
            && sync.stopsign.as_ref().is_none_or(|stop_sign| self.is_next_segment(stop_sign))
    }

    fn is_next_segment(&self, stop_sign: &StopSign) -> bool {
        let voter_counts = MIN_STOP_SIGN_VOTERS..=MAX_VOTERS;
        stop_sign.next_config.configuration_id == self.segment.id + 1
            && decode_stop_sign(stop_sign).is_some_and(|next| voter_counts.contains(&next.entry.len()))
    }
}

/// The accepted index after the synchronization.
fn sync_end<E: Entry>(sync: &LogSync<StampedEntry<E>>) -> usize {
    sync.sync_idx + sync.suffix.len() + usize::from(sync.stopsign.is_some())
}
