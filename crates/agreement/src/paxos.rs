//! Conversions between the types of this crate and those of `omnipaxos`.
use crate::{
    segment::Voter,
    types::{NodeId, StampedEntry},
};
use omnipaxos::{ClusterConfig, storage::StopSign, util::NodeId as PaxosId};

/// The identifier of a balancer in `omnipaxos`, where 0 is not valid.
pub(crate) fn to_paxos_id(node_id: NodeId) -> PaxosId {
    PaxosId::from(node_id) + 1
}

pub(crate) fn to_node_id(paxos_id: PaxosId) -> NodeId {
    paxos_id.saturating_sub(1) as NodeId
}

/// The configuration under which `voters` commit the segment with this identifier.
pub(crate) fn cluster_config(segment_id: u32, voters: &[Voter]) -> ClusterConfig {
    let nodes = voters.iter().map(|voter| to_paxos_id(voter.node_id)).collect();
    ClusterConfig { configuration_id: segment_id, nodes, flexible_quorum: None }
}

/// The voters of the next segment that a stop sign names.
pub(crate) fn decode_stop_sign(stop_sign: &StopSign) -> Option<StampedEntry<Vec<Voter>>> {
    postcard::from_bytes(stop_sign.metadata.as_ref()?).ok()
}
