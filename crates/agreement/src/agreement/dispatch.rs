//! Passes each received message to the module that handles it, and sends messages, in fragments if they are
//! long.
use super::Agreement;
use crate::{
    action::Action,
    codec::encode,
    limits::MAX_MESSAGE_BYTES,
    message::{LeaderHint, Message, MessageBody},
    store::Store,
    types::{Entry, Micros, NodeId},
};

impl<E: Entry, S: Store> Agreement<E, S> {
    /// Handles a message from another balancer. The owner identifies `from` by the address of the datagram.
    pub fn handle_message(&mut self, now: Micros, from: NodeId, message: Message<E>) {
        if !self.catch_up.is_peer(from) {
            return;
        }
        match message.0 {
            MessageBody::Fragment(fragment) => {
                let complete = self.fragments.handle_fragment(now, from, fragment);
                if let Some(body) = complete.and_then(|bytes| postcard::from_bytes(&bytes).ok()) {
                    self.dispatch(now, from, body);
                }
            }
            body => self.dispatch(now, from, body),
        }
        self.flush_and_send(now);
    }

    /// Handles a complete message.
    fn dispatch(&mut self, now: Micros, from: NodeId, body: MessageBody<E>) {
        match body {
            MessageBody::CommitAdvertisement { revision, leader, first, items } => {
                let leader = leader.filter(|leader| self.is_plausible_leader(leader));
                self.catch_up.record_advertisement(from, revision, leader);
                self.apply_items(now, first, items);
                self.request_missing_items(now);
            }
            MessageBody::CatchUpRequest { applied } => self.handle_catch_up_request(from, applied),
            MessageBody::CatchUpItems { first, items } => {
                self.apply_items(now, first, items);
                self.catch_up.handle_response();
                self.request_missing_items(now);
            }
            MessageBody::SnapshotTransfer(snapshot) => self.install_snapshot(now, snapshot),
            MessageBody::Propose(proposal) => self.handle_proposal(proposal),
            MessageBody::StoreGenerationRequest => {
                let generation = self.journal.lock().hard_state().generation;
                self.send(from, MessageBody::StoreGeneration { generation });
            }
            MessageBody::StoreGeneration { generation } => self.proposals.set_generation(from, generation),
            MessageBody::VoterHistoryRequest(history) => self.handle_history_request(from, history),
            MessageBody::VoterHistoryResponse { sender, receiver } => {
                let writes = self.journal.lock().hard_state().writes;
                self.voting_guard.handle_response(from, sender, receiver, writes);
            }
            MessageBody::Replication(frame) => self.handle_replication_frame(now, from, frame),
            // A reassembled message is never a fragment.
            MessageBody::Fragment(_) => {}
        }
    }

    /// Whether the leader is a balancer of the fleet and its segment is at most the next one.
    fn is_plausible_leader(&self, leader: &LeaderHint) -> bool {
        let is_known = self.catch_up.is_peer(leader.node_id) || leader.node_id == self.settings.node_id;
        is_known && leader.segment <= self.log.segment().id + 1
    }

    /// Sends a message. Drops it if the receiver is this balancer itself.
    pub(super) fn send(&mut self, to: NodeId, body: MessageBody<E>) {
        if to == self.settings.node_id {
            return;
        }
        let bytes = encode(&body);
        if bytes.len() <= MAX_MESSAGE_BYTES {
            self.actions.push_back(Action::Send { to, message: Message(body) });
        } else {
            self.fragments.send(to, bytes);
        }
    }

    pub(super) fn send_fragments(&mut self) {
        for outgoing in self.fragments.poll_transmit() {
            let message = Message(MessageBody::Fragment(outgoing.fragment));
            self.actions.push_back(Action::Send { to: outgoing.to, message });
        }
    }
}
