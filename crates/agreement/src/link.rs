//! An ordered, reliable link between two voters over datagrams.
//!
//! `omnipaxos` loses accepted entries when an old message arrives after a newer one. The link therefore
//! delivers messages in order, each once, and reports a [`LinkEvent::Reset`] whenever some may be missing.
use crate::types::Micros;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Size of the part of a message in one chunk, in bytes. With the header of its frame, a chunk stays below
/// [`crate::MAX_MESSAGE_BYTES`].
const CHUNK_BYTES: usize = 960;
/// Maximum number of chunks in flight: the next expected chunk and those covered by the bits of an
/// acknowledgement.
const WINDOW: usize = 64;
/// Maximum number of chunks queued for a peer that does not respond. The link is reset if more are queued. A
/// whole segment fits.
const MAX_QUEUED_CHUNKS: usize = 4_096;
/// Maximum size of a reassembled message, in bytes: a whole segment and its longest entry.
const MAX_REASSEMBLED_BYTES: usize = MAX_QUEUED_CHUNKS * CHUNK_BYTES;
/// Interval of retransmissions, in microseconds: longer than a round trip.
const RETRANSMIT_INTERVAL_US: Micros = 100_000;

/// A datagram of the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// Number of times that a process was started with the sender's store.
    pub(crate) epoch: u64,
    /// The receiver's epoch that the sender knows of; 0 if unknown.
    pub(crate) receiver_epoch: u64,
    pub(crate) payload: Payload,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// A heartbeat of the leader election; may arrive late or be lost.
    Heartbeat(Bytes),
    Chunk(Chunk),
    Ack(Ack),
}

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Chunk {
    session: u32,
    sequence: u64,
    is_last: bool,
    bytes: Bytes,
}

/// Acknowledges all chunks before `next`, and the chunks after `next` whose bits are set in `received`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ack {
    session: u32,
    next: u64,
    received: u64,
}

/// An event of the receiving side.
#[derive(Debug, PartialEq)]
pub(crate) enum LinkEvent {
    /// The next message, complete and in order.
    Message(Vec<u8>),
    /// A heartbeat; not ordered with respect to messages.
    Heartbeat(Bytes),
    /// Messages may be missing before the next one.
    Reset,
}

/// A chunk that is not acknowledged, or that follows one that is not acknowledged.
struct QueuedChunk {
    is_last: bool,
    bytes: Bytes,
    last_sent: Option<Micros>,
    acknowledged: bool,
}

/// A chunk that arrived before an earlier one.
struct ReceivedChunk {
    is_last: bool,
    bytes: Bytes,
}

/// The local end of a link to one peer.
pub(crate) struct Link {
    epoch: u64,
    peer_epoch: u64,
    session: u32,
    /// Sequence number of the first queued chunk.
    first_sequence: u64,
    queue: VecDeque<QueuedChunk>,
    /// Whether queued messages were dropped since the last packet from the peer.
    was_reset: bool,
    peer_session: u32,
    next_expected: u64,
    received: BTreeMap<u64, ReceivedChunk>,
    reassembled: Vec<u8>,
    /// Heartbeats and acknowledgements to send, which bypass the queue.
    immediate: Vec<Payload>,
}

impl Link {
    /// `session` must be greater than any that this epoch has used with the peer.
    pub(crate) fn new(epoch: u64, session: u32) -> Self {
        Link {
            epoch,
            peer_epoch: 0,
            session,
            first_sequence: 0,
            queue: VecDeque::new(),
            was_reset: false,
            peer_session: 0,
            next_expected: 0,
            received: BTreeMap::new(),
            reassembled: Vec::new(),
            immediate: Vec::new(),
        }
    }

    pub(crate) fn session(&self) -> u32 {
        self.session
    }

    pub(crate) fn send_heartbeat(&mut self, heartbeat: Bytes) {
        self.immediate.push(Payload::Heartbeat(heartbeat));
    }

    /// Queues a message. Resets the link if the queue is full.
    pub(crate) fn send_message(&mut self, message: &Bytes) {
        let count = message.len().div_ceil(CHUNK_BYTES).max(1);
        if self.was_reset || self.queue.len() + count > MAX_QUEUED_CHUNKS {
            self.reset_queue();
            return;
        }
        for index in 0..count {
            let end = ((index + 1) * CHUNK_BYTES).min(message.len());
            let bytes = message.slice(index * CHUNK_BYTES..end);
            let is_last = index + 1 == count;
            self.queue.push_back(QueuedChunk { is_last, bytes, last_sent: None, acknowledged: false });
        }
    }

    /// Drops all queued chunks. Starts a new session unless one was started since the last packet from the peer.
    fn reset_queue(&mut self) {
        if !self.was_reset {
            self.was_reset = true;
            self.session += 1;
        }
        self.queue.clear();
        self.first_sequence = 0;
    }

    /// The packets to send now.
    pub(crate) fn poll_transmit(&mut self, now: Micros) -> Vec<Packet> {
        let mut payloads = std::mem::take(&mut self.immediate);
        if self.peer_epoch != 0 {
            self.transmit_chunks(now, &mut payloads);
        }
        let (epoch, receiver_epoch) = (self.epoch, self.peer_epoch);
        payloads.into_iter().map(|payload| Packet { epoch, receiver_epoch, payload }).collect()
    }

    fn transmit_chunks(&mut self, now: Micros, payloads: &mut Vec<Payload>) {
        let in_window = (self.first_sequence..).zip(self.queue.iter_mut()).take(WINDOW);
        for (sequence, chunk) in in_window {
            let recently_sent = chunk.last_sent.is_some_and(|sent| now < sent + RETRANSMIT_INTERVAL_US);
            if chunk.acknowledged || recently_sent {
                continue;
            }
            chunk.last_sent = Some(now);
            let (is_last, bytes) = (chunk.is_last, chunk.bytes.clone());
            payloads.push(Payload::Chunk(Chunk { session: self.session, sequence, is_last, bytes }));
        }
    }

    /// Handles a packet from the peer and returns the resulting events. Ignores the payload
    /// of packets that are not from the peer's latest process or not for this process.
    pub(crate) fn handle_packet(&mut self, packet: Packet) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        if packet.epoch < self.peer_epoch || packet.epoch == 0 {
            return events;
        }
        if packet.epoch > self.peer_epoch {
            self.handle_peer_restart(packet.epoch, &mut events);
        }
        if packet.receiver_epoch != self.epoch {
            return events;
        }
        if self.was_reset {
            self.was_reset = false;
            events.push(LinkEvent::Reset);
        }
        match packet.payload {
            Payload::Heartbeat(heartbeat) => events.push(LinkEvent::Heartbeat(heartbeat)),
            Payload::Ack(ack) => self.handle_ack(&ack),
            Payload::Chunk(chunk) => self.handle_chunk(chunk, &mut events),
        }
        events
    }

    /// Drops queued chunks and incomplete messages: no message for the peer's previous process may reach the new
    /// one, and no chunk of the previous process may become part of a message of the new one.
    fn handle_peer_restart(&mut self, epoch: u64, events: &mut Vec<LinkEvent>) {
        if self.peer_epoch != 0 {
            self.session += 1;
            self.first_sequence = 0;
            self.queue.clear();
            events.push(LinkEvent::Reset);
        }
        self.peer_epoch = epoch;
        self.start_peer_session(0);
    }

    fn start_peer_session(&mut self, session: u32) {
        self.peer_session = session;
        self.next_expected = 0;
        self.received.clear();
        self.reassembled.clear();
    }

    fn handle_ack(&mut self, ack: &Ack) {
        if ack.session != self.session {
            return;
        }
        while self.first_sequence < ack.next && !self.queue.is_empty() {
            self.queue.pop_front();
            self.first_sequence += 1;
        }
        if ack.next == self.first_sequence {
            for (bit, chunk) in self.queue.iter_mut().skip(1).take(WINDOW - 1).enumerate() {
                chunk.acknowledged |= ack.received >> bit & 1 == 1;
            }
        }
    }

    fn handle_chunk(&mut self, chunk: Chunk, events: &mut Vec<LinkEvent>) {
        if chunk.session < self.peer_session {
            return;
        }
        if chunk.session > self.peer_session {
            if self.peer_session != 0 {
                events.push(LinkEvent::Reset);
            }
            self.start_peer_session(chunk.session);
        }
        let Chunk { session, sequence, is_last, bytes } = chunk;
        if sequence >= self.next_expected && sequence - self.next_expected < WINDOW as u64 {
            self.received.insert(sequence, ReceivedChunk { is_last, bytes });
        }
        self.reassemble(events);
        self.queue_ack(session);
    }

    /// Appends the received chunks that are next in order and reports each complete message.
    fn reassemble(&mut self, events: &mut Vec<LinkEvent>) {
        while let Some(chunk) = self.received.remove(&self.next_expected) {
            self.next_expected += 1;
            if self.reassembled.len() + chunk.bytes.len() > MAX_REASSEMBLED_BYTES {
                self.reassembled.clear();
            }
            self.reassembled.extend_from_slice(&chunk.bytes);
            if chunk.is_last {
                events.push(LinkEvent::Message(std::mem::take(&mut self.reassembled)));
            }
        }
    }

    /// Queues an acknowledgement of the chunks received so far, in place of any that is not sent yet.
    fn queue_ack(&mut self, session: u32) {
        let next = self.next_expected;
        let received = self.received.keys().fold(0, |bits, sequence| bits | 1 << (sequence - next - 1));
        self.immediate.retain(|payload| !matches!(payload, Payload::Ack(_)));
        self.immediate.push(Payload::Ack(Ack { session, next, received }));
    }
}
