//! Handles and sends the datagrams that balancers exchange.

use super::{FleetMember, HEARTBEAT_FANOUT};
use crate::output::Output;
use crate::wire::{Body, DecodeError, Envelope};
use agreement::{Micros, NodeId, Store};
use audit::lease::LeaseRequest;
use std::net::SocketAddr;

impl<S: Store> FleetMember<S> {
    /// Handles a received datagram. It is dropped unless it comes from the address that the fleet file gives for
    /// its sender.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        let envelope = match Envelope::decode(datagram) {
            Ok(envelope) => envelope,
            Err(DecodeError::OtherVersion) => {
                self.counters.other_version += 1;
                return;
            }
            Err(DecodeError::Malformed) => {
                self.counters.malformed += 1;
                return;
            }
        };
        if !self.is_known_sender(&envelope, from) {
            self.counters.unknown_sender += 1;
            return;
        }
        self.counters.received += 1;
        self.dispatch(now, envelope.from, envelope.body);
        self.drive(now);
    }

    fn is_known_sender(&self, envelope: &Envelope, address: SocketAddr) -> bool {
        let sender = self.file.balancers.get(usize::from(envelope.from));
        envelope.fleet == self.file.fleet_id()
            && envelope.from != self.node_id
            && sender.is_some_and(|sender| sender.address == address)
    }

    fn dispatch(&mut self, now: Micros, from: NodeId, body: Body) {
        match body {
            Body::Membership(datagram) => self.membership.handle_datagram(now, &datagram),
            Body::Agreement(message) => self.agreement.handle_message(now, from, *message),
            Body::LeaseRequest(request) => self.handle_lease_request(from, request),
            Body::Heartbeat(granted_at) => self.lease.record_peer_grant(now, from, granted_at),
            Body::ActivityReport(report) => {
                self.ledger.record_report(&report);
            }
        }
    }

    /// Passes a request to the granter if this balancer is the leader, which accepts forwarded requests only from
    /// voters. Otherwise forwards the request to the leader, unless it was forwarded already.
    fn handle_lease_request(&mut self, from: NodeId, request: LeaseRequest) {
        let is_own = request.number == from;
        if self.is_leader && (is_own || self.is_voter(from)) {
            self.granter.handle_request(request);
        } else if is_own {
            self.forward_lease_request(request);
        }
    }

    /// Forwards a request to the leader, so that a balancer with a bad link to the leader does not lose its lease.
    fn forward_lease_request(&mut self, request: LeaseRequest) {
        let leader = self.agreement.leader();
        let leader = leader.filter(|leader| *leader != self.node_id && *leader != request.number);
        if let Some(leader) = leader.filter(|_| self.is_voter(self.node_id)) {
            self.send(leader, Body::LeaseRequest(request));
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        let granted_at = self.lease.granted_at();
        for receiver in self.draw_members(HEARTBEAT_FANOUT) {
            self.send(receiver, Body::Heartbeat(granted_at));
        }
    }

    /// Draws up to `count` of the other members, or of all other balancers if there are no other members.
    pub(super) fn draw_members(&mut self, count: usize) -> Vec<NodeId> {
        let members = self.membership.members().map(|member| member.number);
        let mut candidates: Vec<NodeId> = members.filter(|number| *number != self.node_id).collect();
        if candidates.is_empty() {
            let balancers = self.file.balancers.iter().map(|balancer| balancer.node_id);
            candidates = balancers.filter(|node_id| *node_id != self.node_id).collect();
        }
        let count = count.min(candidates.len());
        self.random.choose_multiple(candidates, count)
    }

    pub(super) fn send(&mut self, to: NodeId, body: Body) {
        let Some(receiver) = self.file.balancers.get(usize::from(to)) else { return };
        let to = receiver.address;
        let (fleet, from, incarnation) = (self.file.fleet_id(), self.node_id, self.incarnation);
        let Some(datagram) = (Envelope { fleet, from, incarnation, body }).encode() else {
            self.counters.too_long += 1;
            return;
        };
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.outputs.push_back(Output::Send { to, datagram });
    }
}
