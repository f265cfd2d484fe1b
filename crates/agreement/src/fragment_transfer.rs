//! Transfers messages that are too long for a datagram, in fragments.
//!
//! The sender transmits the first few fragments, and the receiver requests the missing ones. A lost fragment
//! costs one request, and the receiver determines the rate. Partial messages and sent messages retained for
//! requests are limited in number and size; the oldest are dropped first.
use crate::{
    fragment::{FRAGMENT_BYTES, Fragment, MAX_FRAGMENTS},
    limits::MAX_SNAPSHOT_BYTES,
    types::{Micros, NodeId},
};
use bytes::Bytes;
use std::collections::VecDeque;

/// Maximum number of partially received messages; usually each is from a different peer.
const MAX_PARTIAL_MESSAGES: usize = 16;
/// Maximum size of all partially received messages, in bytes: a few snapshots.
const MAX_PARTIAL_BYTES: usize = 4 * MAX_SNAPSHOT_BYTES;
/// Maximum number of sent messages retained for requests.
const MAX_RETAINED_MESSAGES: usize = 64;
/// Maximum size of all sent messages retained for requests, in bytes; the fragments share the memory of the
/// message.
const MAX_RETAINED_BYTES: usize = 8 * MAX_SNAPSHOT_BYTES;
/// Maximum number of completed messages whose keys are retained, so that a late fragment does not start the
/// same message again.
const MAX_COMPLETED_MESSAGES: usize = 4 * MAX_RETAINED_MESSAGES;
/// Maximum number of fragments in one request.
const MAX_REQUESTED_FRAGMENTS: usize = 64;
/// Number of fragments sent without a request.
const UNREQUESTED_FRAGMENTS: u32 = 16;
/// Maximum number of fragments sent to all receivers together between two ticks: about 5 MB per second.
const MAX_FRAGMENTS_PER_TICK: usize = 256;
/// Interval after which a request is repeated, in microseconds.
const REQUEST_INTERVAL_US: Micros = 100_000;
/// Time after which a partial message without a new fragment is dropped, in microseconds.
const PARTIAL_TIMEOUT_US: Micros = 3_000_000;

/// Identifies a received message in the whole fleet.
#[derive(Clone, Copy, PartialEq, Eq)]
struct MessageKey {
    from: NodeId,
    message_id: u64,
}

/// A sent message, retained for requests.
struct SentMessage {
    to: NodeId,
    message_id: u64,
    message: Bytes,
}

/// A message of which some fragments are received.
struct PartialMessage {
    key: MessageKey,
    fragments: Vec<Option<Bytes>>,
    received: usize,
    bytes: usize,
    /// Number of received fragments at which all fragments sent or requested so far have arrived.
    expected: usize,
    last_received: Micros,
    last_request: Micros,
}

/// A fragment to send.
pub(crate) struct OutgoingFragment {
    pub(crate) to: NodeId,
    pub(crate) fragment: Fragment,
}

/// The sending and the receiving side of all transfers.
pub(crate) struct FragmentTransfer {
    next_id: u64,
    sent: VecDeque<SentMessage>,
    partial: VecDeque<PartialMessage>,
    completed: VecDeque<MessageKey>,
    /// Number of fragments sent since the last tick.
    sent_this_tick: usize,
    outgoing: Vec<OutgoingFragment>,
}

impl FragmentTransfer {
    /// `first_id` identifies the first message sent. It is drawn at random so that two incarnations use
    /// different identifiers.
    pub(crate) fn new(first_id: u64) -> Self {
        FragmentTransfer {
            next_id: first_id,
            sent: VecDeque::new(),
            partial: VecDeque::new(),
            completed: VecDeque::new(),
            sent_this_tick: 0,
            outgoing: Vec::new(),
        }
    }

    /// Sends a message. Drops it if it is empty or needs more than [`MAX_FRAGMENTS`].
    pub(crate) fn send(&mut self, to: NodeId, message: Bytes) {
        let count = message.len().div_ceil(FRAGMENT_BYTES);
        if count == 0 || count > MAX_FRAGMENTS as usize {
            return;
        }
        let message_id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let sent = SentMessage { to, message_id, message };
        for index in 0..UNREQUESTED_FRAGMENTS.min(count as u32) {
            self.send_fragment(&sent, index);
        }
        self.sent.push_back(sent);
        self.evict_sent();
    }

    fn evict_sent(&mut self) {
        while self.sent.len() > MAX_RETAINED_MESSAGES
            || self.sent.iter().map(|sent| sent.message.len()).sum::<usize>() > MAX_RETAINED_BYTES
        {
            self.sent.pop_front();
        }
    }

    fn send_fragment(&mut self, sent: &SentMessage, index: u32) {
        let SentMessage { to, message_id, ref message } = *sent;
        let start = index as usize * FRAGMENT_BYTES;
        if start >= message.len() || self.sent_this_tick >= MAX_FRAGMENTS_PER_TICK {
            return;
        }
        self.sent_this_tick += 1;
        let bytes = message.slice(start..(start + FRAGMENT_BYTES).min(message.len()));
        let count = message.len().div_ceil(FRAGMENT_BYTES) as u32;
        let fragment = Fragment::Data { message_id, count, index, bytes };
        self.outgoing.push(OutgoingFragment { to, fragment });
    }

    /// Handles a fragment. Returns the message when it is complete.
    pub(crate) fn handle_fragment(
        &mut self, now: Micros, from: NodeId, fragment: Fragment,
    ) -> Option<Vec<u8>> {
        match fragment {
            Fragment::Request { message_id, missing } => {
                self.handle_request(from, message_id, &missing);
                None
            }
            Fragment::Data { message_id, count, index, bytes } => {
                let is_valid = count <= MAX_FRAGMENTS && index < count && bytes.len() <= FRAGMENT_BYTES;
                let key = MessageKey { from, message_id };
                if !is_valid || self.completed.contains(&key) {
                    return None;
                }
                let position = self.find_or_start(now, key, count);
                self.partial[position].insert(now, index, bytes);
                self.complete_or_request(now, position)
            }
        }
    }

    fn handle_request(&mut self, from: NodeId, message_id: u64, missing: &[u32]) {
        let is_requested = |sent: &SentMessage| sent.to == from && sent.message_id == message_id;
        let Some(position) = self.sent.iter().position(is_requested) else { return };
        let SentMessage { to, message_id, ref message } = self.sent[position];
        let sent = SentMessage { to, message_id, message: message.clone() };
        for index in missing.iter().take(MAX_REQUESTED_FRAGMENTS) {
            self.send_fragment(&sent, *index);
        }
    }

    /// Returns the message if it is complete. Requests the missing fragments if all expected ones have arrived.
    fn complete_or_request(&mut self, now: Micros, position: usize) -> Option<Vec<u8>> {
        let partial = &mut self.partial[position];
        if partial.received == partial.fragments.len() {
            let complete = self.partial.remove(position)?;
            self.record_completed(complete.key);
            return Some(complete.fragments.into_iter().flatten().flatten().collect());
        }
        if partial.received >= partial.expected {
            self.outgoing.push(partial.request_missing(now));
        }
        self.evict_partial();
        None
    }

    /// The position of the partial message with this key, which is added if it is new.
    fn find_or_start(&mut self, now: Micros, key: MessageKey, count: u32) -> usize {
        if let Some(position) = self.partial.iter().position(|partial| partial.key == key) {
            return position;
        }
        self.partial.push_back(PartialMessage {
            key,
            fragments: vec![None; count as usize],
            received: 0,
            bytes: 0,
            expected: UNREQUESTED_FRAGMENTS.min(count) as usize,
            last_received: now,
            last_request: now,
        });
        if self.partial.len() > MAX_PARTIAL_MESSAGES {
            self.partial.pop_front();
        }
        self.partial.len() - 1
    }

    fn evict_partial(&mut self) {
        while self.partial.iter().map(|partial| partial.bytes).sum::<usize>() > MAX_PARTIAL_BYTES {
            self.partial.pop_front();
        }
    }

    fn record_completed(&mut self, key: MessageKey) {
        self.completed.push_back(key);
        if self.completed.len() > MAX_COMPLETED_MESSAGES {
            self.completed.pop_front();
        }
    }

    /// Drops partial messages that timed out and repeats the requests of the others.
    pub(crate) fn tick(&mut self, now: Micros) {
        self.sent_this_tick = 0;
        self.partial.retain(|partial| now < partial.last_received + PARTIAL_TIMEOUT_US);
        for partial in &mut self.partial {
            if now >= partial.last_request + REQUEST_INTERVAL_US {
                self.outgoing.push(partial.request_missing(now));
            }
        }
    }

    /// The fragments to send.
    pub(crate) fn poll_transmit(&mut self) -> Vec<OutgoingFragment> {
        std::mem::take(&mut self.outgoing)
    }
}

impl PartialMessage {
    fn insert(&mut self, now: Micros, index: u32, bytes: Bytes) {
        if let Some(fragment) = self.fragments.get_mut(index as usize)
            && fragment.is_none()
        {
            self.received += 1;
            self.bytes += bytes.len();
            self.last_received = now;
            *fragment = Some(bytes);
        }
    }

    /// Creates a request for the first missing fragments.
    fn request_missing(&mut self, now: Micros) -> OutgoingFragment {
        let missing = self.fragments.iter().zip(0..).filter(|(fragment, _)| fragment.is_none());
        let missing: Vec<u32> = missing.take(MAX_REQUESTED_FRAGMENTS).map(|(_, index)| index).collect();
        self.last_request = now;
        self.expected = self.received + missing.len();
        let MessageKey { from, message_id } = self.key;
        OutgoingFragment { to: from, fragment: Fragment::Request { message_id, missing } }
    }
}
