//! The state of a voter that must survive a restart, apart from the accepted entries.
use crate::segment::{Segment, Voter};
use omnipaxos::{ballot_leader_election::Ballot, storage::StopSign};
use serde::{Deserialize, Serialize};

/// The number of writes observed of a voter's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ObservedWrites {
    pub(crate) voter: Voter,
    pub(crate) writes: u64,
}

/// The durable state of a voter. Stored in postcard, so the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HardState {
    /// Identifies the store; drawn at random when the store was created.
    pub(crate) generation: u64,
    /// Number of times that a process was started with this store.
    pub(crate) epoch: u64,
    /// Number of batches written.
    pub(crate) writes: u64,
    /// Whether this voter has been allowed to vote with this store. A founding voter for which this is false
    /// starts without state and must be verified by the other founding voters.
    pub(crate) founded: bool,
    /// The segment that the ballots and indices below belong to.
    pub(crate) segment: Segment,
    pub(crate) promised: Ballot,
    pub(crate) accepted_ballot: Ballot,
    pub(crate) decided_index: u64,
    pub(crate) stop_sign: Option<StopSign>,
    /// The highest number of writes observed of each voter's store.
    pub(crate) observed_writes: Vec<ObservedWrites>,
    /// Voters whose stores had no state when the quorum group was founded.
    pub(crate) founders: Vec<Voter>,
}

impl HardState {
    /// The state of a new store.
    pub(crate) fn new(generation: u64, founding: Segment) -> Self {
        HardState {
            generation,
            epoch: 1,
            writes: 0,
            founded: false,
            segment: founding,
            promised: Ballot::default(),
            accepted_ballot: Ballot::default(),
            decided_index: 0,
            stop_sign: None,
            observed_writes: Vec::new(),
            founders: Vec::new(),
        }
    }

    /// Starts a segment. Resets the ballots, the decided index and the stop sign of the previous one.
    pub(crate) fn enter_segment(&mut self, segment: Segment) {
        self.segment = segment;
        self.promised = Ballot::default();
        self.accepted_ballot = Ballot::default();
        self.decided_index = 0;
        self.stop_sign = None;
    }

    /// Records the number of writes of a voter's store, and removes any other store of the same balancer.
    pub(crate) fn observe_writes(&mut self, voter: Voter, writes: u64) {
        match self.observed_writes.iter_mut().find(|observed| observed.voter == voter) {
            Some(observed) => observed.writes = observed.writes.max(writes),
            None => {
                self.observed_writes.retain(|observed| observed.voter.node_id != voter.node_id);
                self.observed_writes.push(ObservedWrites { voter, writes });
            }
        }
    }

    /// The number of writes observed of the voter's store; 0 if none.
    pub(crate) fn writes_of(&self, voter: Voter) -> u64 {
        let observed = self.observed_writes.iter().find(|observed| observed.voter == voter);
        observed.map_or(0, |observed| observed.writes)
    }
}
