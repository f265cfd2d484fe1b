//! The settings that a balancer starts with.
use crate::types::NodeId;

/// Identifies this balancer, the founding voters and all balancers of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This balancer.
    pub node_id: NodeId,
    /// The incarnation of this process, drawn at each start.
    pub incarnation: u64,
    /// The founding voters; the log changes them afterwards.
    pub voters: Vec<NodeId>,
    /// All balancers and their zones.
    pub nodes: Vec<(NodeId, u16)>,
}
