//! Decides whether a voter may vote. A voter that may have voted before and has lost its state must not.
use crate::{
    action::VotingBlock,
    hard_state::HardState,
    message::{ObservedHistory, VoterHistory},
    segment::{Segment, Voter},
    types::{Micros, NodeId},
};
use std::collections::BTreeMap;

/// Interval of requests to the other voters, in microseconds.
const REQUEST_INTERVAL_US: Micros = 500_000;
/// Time to wait for the responses of all other voters before those of a quorum suffice, in microseconds.
const WAIT_FOR_ALL_US: Micros = 2_000_000;

/// Whether this balancer may vote.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum VotingState {
    /// Not a voter of the segment.
    NotVoter,
    /// Waits for the responses of the other voters.
    Verifying,
    /// May vote.
    Allowed,
    /// Must not vote, for the given reason.
    Blocked(VotingBlock),
}

/// A response of another voter: its own history, and its observations of this voter.
struct HistoryResponse {
    sender: VoterHistory,
    observed: ObservedHistory,
}

/// Collects the responses of the other voters until this voter may vote.
pub(crate) struct VotingGuard {
    pub(crate) state: VotingState,
    responses: BTreeMap<NodeId, HistoryResponse>,
    verifying_since: Micros,
    next_request: Micros,
}

/// The result of verifying a founding voter that starts without state.
enum FoundingStatus {
    Allowed,
    LostState,
    /// More responses are needed.
    Undecided,
}

impl VotingGuard {
    pub(crate) fn new() -> Self {
        VotingGuard {
            state: VotingState::NotVoter,
            responses: BTreeMap::new(),
            verifying_since: 0,
            next_request: 0,
        }
    }

    /// Starts a segment. `local` is this balancer as a voter of the segment, or `None` if it is not one. A voter
    /// that is allowed to vote remains so while it keeps its store.
    pub(crate) fn enter_segment(&mut self, now: Micros, local: Option<&Voter>, hard_state: &HardState) {
        let Some(voter) = local else {
            self.state = VotingState::NotVoter;
            return;
        };
        let has_own_store = voter.generation == hard_state.generation;
        if self.is_permanently_blocked() {
            return;
        }
        if voter.generation != 0 && !has_own_store {
            self.state = VotingState::Blocked(VotingBlock::LostState);
        } else if self.state != VotingState::Allowed {
            self.state = VotingState::Verifying;
            self.responses.clear();
            self.verifying_since = now;
            self.next_request = now;
        }
    }

    fn is_permanently_blocked(&self) -> bool {
        matches!(
            self.state,
            VotingState::Blocked(VotingBlock::StorageFailed(_) | VotingBlock::StaleStore { .. })
        )
    }

    /// Whether to request the histories of the other voters now.
    pub(crate) fn poll_request(&mut self, now: Micros) -> bool {
        let is_due = self.state == VotingState::Verifying && now >= self.next_request;
        if is_due {
            self.next_request = now + REQUEST_INTERVAL_US;
        }
        is_due
    }

    /// Blocks voting.
    pub(crate) fn block(&mut self, reason: VotingBlock) {
        self.state = VotingState::Blocked(reason);
    }

    /// Records a response. `writes` is the number of writes of this voter's own store. Blocks voting if the sender
    /// has observed more.
    pub(crate) fn handle_response(
        &mut self, from: NodeId, sender: VoterHistory, observed: ObservedHistory, writes: u64,
    ) {
        if observed.writes > writes && self.state != VotingState::NotVoter {
            self.block(VotingBlock::StaleStore { stored: writes, observed: observed.writes });
        } else if self.state == VotingState::Verifying {
            self.responses.insert(from, HistoryResponse { sender, observed });
        }
    }

    /// Evaluates the responses. Returns `true` once, when they allow this voter to vote.
    pub(crate) fn poll_allowed(
        &mut self, now: Micros, local: NodeId, segment: &Segment, hard_state: &HardState,
    ) -> bool {
        let Some(voter) = segment.voter(local) else { return false };
        if self.state != VotingState::Verifying {
            return false;
        }
        let responses: Vec<_> = self
            .responses
            .iter()
            .filter(|(node_id, _)| segment.voter(**node_id).is_some())
            .map(|(_, response)| response)
            .collect();
        let known_count = responses.len() + 1; // this voter knows its own history
        let all_known = known_count >= segment.voters.len();
        if voter.generation == 0 && !hard_state.founded {
            match founding_status(&responses, hard_state.generation, all_known) {
                FoundingStatus::Allowed => {}
                FoundingStatus::Undecided => return false,
                FoundingStatus::LostState => {
                    self.block(VotingBlock::LostState);
                    return false;
                }
            }
        } else if !all_known
            && (known_count < segment.quorum_size() || now < self.verifying_since + WAIT_FOR_ALL_US)
        {
            return false;
        }
        self.state = VotingState::Allowed;
        true
    }

    /// The other voters that responded that they have no state, and the generations of their stores.
    pub(crate) fn founders(&self) -> Vec<Voter> {
        let without_state = self.responses.iter().filter(|(_, response)| !response.sender.has_state);
        without_state
            .map(|(node_id, response)| Voter { node_id: *node_id, generation: response.sender.generation })
            .collect()
    }
}

/// Verifies a founding voter whose store, with this generation, holds no state.
fn founding_status(responses: &[&HistoryResponse], generation: u64, all_known: bool) -> FoundingStatus {
    let own_generation = Some(generation);
    let founding = |response: &&HistoryResponse| response.observed.founding_generation;
    // A voter that had no state itself has observed this store without state.
    let is_known_founder = responses.iter().any(|response| founding(response) == own_generation);
    let had_other_store = responses
        .iter()
        .any(|response| founding(response).is_some_and(|other| Some(other) != own_generation));
    let others_have_state = !is_known_founder && responses.iter().any(|response| response.sender.has_state);
    if had_other_store || (all_known && others_have_state) {
        FoundingStatus::LostState
    } else if others_have_state || !all_known {
        FoundingStatus::Undecided
    } else {
        FoundingStatus::Allowed
    }
}
