//! Chooses the receivers of commit advertisements and the peer from which a lagging balancer requests missing
//! items.
use crate::{
    message::LeaderHint,
    types::{Micros, NodeId, Revision},
};
use rustc_hash::FxHashMap;

/// Interval of commit advertisements while no items are committed, in microseconds.
const ADVERTISE_INTERVAL_US: Micros = 250_000;
/// Number of receivers of each advertisement.
const ADVERTISE_FANOUT: usize = 3;
/// Interval after which a lagging balancer sends another request, in microseconds: longer than a round trip.
const REQUEST_INTERVAL_US: Micros = 200_000;
/// Maximum number of responses between two ticks: limits the load of one balancer while the fleet starts.
const MAX_RESPONSES_PER_TICK: u32 = 32;

/// Another balancer of the fleet.
struct Peer {
    node_id: NodeId,
    in_same_zone: bool,
}

/// A request for missing items without a response so far.
struct PendingRequest {
    node_id: NodeId,
    sent_at: Micros,
}

/// The peers, their advertised commit indices and the pending request.
pub(crate) struct CatchUp {
    peers: Vec<Peer>,
    /// The last commit index that each peer advertised.
    advertised: FxHashMap<NodeId, Revision>,
    /// The newest leader hint received.
    pub(crate) leader: Option<LeaderHint>,
    pending_request: Option<PendingRequest>,
    next_advertisement: Micros,
    /// Whether items were committed since the last advertisement.
    pub(crate) has_new_items: bool,
    responses_this_tick: u32,
}

impl CatchUp {
    pub(crate) fn new(local: NodeId, nodes: &[(NodeId, u16)]) -> Self {
        let zone = nodes.iter().find(|(node_id, _)| *node_id == local).map(|(_, zone)| *zone);
        let others = nodes.iter().filter(|(node_id, _)| *node_id != local);
        let peers =
            others.map(|(node_id, other)| Peer { node_id: *node_id, in_same_zone: Some(*other) == zone });
        CatchUp {
            peers: peers.collect(),
            advertised: FxHashMap::default(),
            leader: None,
            pending_request: None,
            next_advertisement: 0,
            has_new_items: false,
            responses_this_tick: 0,
        }
    }

    pub(crate) fn is_peer(&self, node_id: NodeId) -> bool {
        self.peers.iter().any(|peer| peer.node_id == node_id)
    }

    pub(crate) fn record_advertisement(
        &mut self, from: NodeId, revision: Revision, leader: Option<LeaderHint>,
    ) {
        self.advertised.insert(from, revision);
        self.leader = self.leader.max(leader);
    }

    /// The highest of the last commit indices that the peers advertised.
    pub(crate) fn highest_advertised(&self) -> Revision {
        self.advertised.values().copied().max().unwrap_or(0)
    }

    /// The receivers of an advertisement. Empty unless one is due or new items are committed.
    pub(crate) fn poll_advertisement(&mut self, now: Micros, random: &mut fastrand::Rng) -> Vec<NodeId> {
        if now < self.next_advertisement && !self.has_new_items {
            return Vec::new();
        }
        if now >= self.next_advertisement {
            self.next_advertisement = now + ADVERTISE_INTERVAL_US;
        }
        let drawn = random.choose_multiple(self.peers.iter(), ADVERTISE_FANOUT);
        drawn.into_iter().map(|peer| peer.node_id).collect()
    }

    /// The peer to request items from, if this balancer lags and no request is pending. Prefers peers of the
    /// same zone.
    pub(crate) fn poll_request(
        &mut self, now: Micros, applied: Revision, random: &mut fastrand::Rng,
    ) -> Option<NodeId> {
        let is_waiting =
            self.pending_request.as_ref().is_some_and(|request| now < request.sent_at + REQUEST_INTERVAL_US);
        if is_waiting || self.highest_advertised() <= applied {
            return None;
        }
        let last = self.pending_request.as_ref().map(|request| request.node_id);
        let is_ahead =
            |peer: &&Peer| self.advertised.get(&peer.node_id).is_some_and(|revision| *revision > applied);
        let ahead: Vec<_> = self.peers.iter().filter(is_ahead).collect();
        let near: Vec<_> =
            ahead.iter().filter(|peer| peer.in_same_zone && Some(peer.node_id) != last).collect();
        let node_id = match random.choice(near) {
            Some(near) => near.node_id,
            None => random.choice(&ahead)?.node_id,
        };
        self.pending_request = Some(PendingRequest { node_id, sent_at: now });
        Some(node_id)
    }

    /// Ends the pending request, so that the next one can be sent immediately.
    pub(crate) fn handle_response(&mut self) {
        self.pending_request = None;
    }

    /// Counts a response and returns whether it is within the limit of this tick.
    pub(crate) fn admit_response(&mut self) -> bool {
        self.responses_this_tick += 1;
        self.responses_this_tick <= MAX_RESPONSES_PER_TICK
    }

    /// Starts a new interval for the limit on responses.
    pub(crate) fn tick(&mut self) {
        self.responses_this_tick = 0;
    }
}
