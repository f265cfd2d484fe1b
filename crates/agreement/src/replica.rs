//! The replica of a voter: `omnipaxos` for one segment, over ordered links to the other voters.
use crate::{
    codec::encode,
    link::{Link, LinkEvent, Packet},
    message_filter::MessageFilter,
    paxos::{cluster_config, decode_stop_sign, to_node_id, to_paxos_id},
    segment::{LogItem, MAX_SEGMENT_ENTRIES, Segment, Voter},
    shared_journal::SharedJournal,
    types::{Entry, Micros, NodeId, ProposalKey, Revision, StampedEntry},
};
use bytes::Bytes;
use omnipaxos::{
    OmniPaxos, ServerConfig,
    messages::{
        Message,
        ballot_leader_election::{BLEMessage, HeartbeatMsg},
        sequence_paxos::PaxosMessage,
    },
    util::NodeId as PaxosId,
};
use std::collections::BTreeMap;

/// Ticks of an election round: enough for three attempts of a heartbeat.
const ELECTION_TIMEOUT_TICKS: u64 = 6;
/// Ticks between two attempts of a heartbeat. It is repeated so that one lost datagram does not cause an election.
const HEARTBEAT_RETRY_TICKS: u64 = 2;
/// Ticks after which `omnipaxos` repeats a request. Lost messages are retransmitted by the links.
const RESEND_TICKS: u64 = 10;
/// Number of outgoing messages for which `omnipaxos` reserves memory.
const OUTGOING_BUFFER: usize = 64;
/// Maximum number of accepted but undecided entries of a leader: these are lost if the leader fails.
const MAX_UNDECIDED_ENTRIES: usize = 256;
/// Size of all entries at which a leader ends its segment, in bytes, so that a whole segment fits the queue of
/// a link.
const MAX_SEGMENT_BYTES: usize = 1024 * 1024;

/// A committed item and its index in the log.
pub(crate) struct CommittedItem<E> {
    pub(crate) revision: Revision,
    pub(crate) item: LogItem<E>,
}

/// The leader of the segment, and the number of its ballot.
pub(crate) struct CurrentLeader {
    pub(crate) node_id: NodeId,
    pub(crate) ballot: u32,
}

/// A packet for another voter.
pub(crate) struct OutgoingPacket {
    pub(crate) to: NodeId,
    pub(crate) packet: Packet,
}

/// A heartbeat request of the current election round, repeated until the round ends.
struct HeartbeatRequest {
    to: NodeId,
    bytes: Bytes,
}

/// The encoded size, in bytes, of the first `entries` accepted entries.
#[derive(Default)]
struct EncodedSize {
    entries: usize,
    bytes: usize,
}

/// A voter's participation in the consensus protocol of one segment.
pub(crate) struct Replica<E: Entry> {
    local: PaxosId,
    paxos: OmniPaxos<StampedEntry<E>, SharedJournal<E>>,
    journal: SharedJournal<E>,
    segment: Segment,
    links: BTreeMap<NodeId, Link>,
    /// The last election round that each voter replied in; a repeated reply is dropped.
    last_reply_rounds: BTreeMap<PaxosId, u32>,
    heartbeat_requests: Vec<HeartbeatRequest>,
    ticks: u64,
    /// Number of decided items already returned by [`Replica::poll_committed`].
    returned_count: usize,
    accepted_size: EncodedSize,
}

impl<E: Entry> Replica<E> {
    /// Starts the replica for the segment of the journal. `session` must be greater than any that this epoch
    /// has used.
    pub(crate) fn new(local: NodeId, journal: SharedJournal<E>, session: u32) -> Option<Self> {
        let (segment, epoch) = {
            let journal = journal.lock();
            (journal.hard_state().segment.clone(), journal.hard_state().epoch)
        };
        let server = ServerConfig {
            pid: to_paxos_id(local),
            election_tick_timeout: ELECTION_TIMEOUT_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            buffer_size: OUTGOING_BUFFER,
            ..Default::default()
        };
        let cluster = cluster_config(segment.id, &segment.voters);
        let paxos = cluster.build_for_server(server, journal.clone()).ok()?;
        let others = segment.voters.iter().filter(|voter| voter.node_id != local);
        let links = others.map(|voter| (voter.node_id, Link::new(epoch, session))).collect();
        Some(Replica {
            local: to_paxos_id(local),
            paxos,
            journal,
            segment,
            links,
            last_reply_rounds: BTreeMap::new(),
            heartbeat_requests: Vec::new(),
            ticks: 0,
            returned_count: 0,
            accepted_size: EncodedSize::default(),
        })
    }

    /// The highest link session used so far.
    pub(crate) fn max_session(&self) -> u32 {
        self.links.values().map(Link::session).max().unwrap_or(0)
    }

    pub(crate) fn tick(&mut self) {
        self.ticks += 1;
        self.paxos.tick();
        if self.ticks.is_multiple_of(HEARTBEAT_RETRY_TICKS) {
            for request in &self.heartbeat_requests {
                if let Some(link) = self.links.get_mut(&request.to) {
                    link.send_heartbeat(request.bytes.clone());
                }
            }
        }
    }

    /// Campaigns immediately. Called if this balancer was elected in the previous segment, which saves an
    /// election.
    pub(crate) fn campaign(&mut self) {
        self.paxos.try_become_leader();
    }

    /// The leader that this replica knows of.
    pub(crate) fn leader(&self) -> Option<CurrentLeader> {
        let ballot = self.journal.lock().hard_state().promised.n;
        let (leader, _) = self.paxos.get_current_leader()?;
        Some(CurrentLeader { node_id: to_node_id(leader), ballot })
    }

    /// Whether this replica is elected. Its prepare phase may not be complete.
    pub(crate) fn is_elected(&self) -> bool {
        self.leader().is_some_and(|leader| to_paxos_id(leader.node_id) == self.local)
    }

    /// Whether this replica is the leader and a quorum has promised to follow it.
    pub(crate) fn is_leader(&self) -> bool {
        self.paxos.get_current_leader() == Some((self.local, true))
    }

    /// Whether this replica is the leader and can append an entry: the segment has no stop sign, and fewer than
    /// [`MAX_UNDECIDED_ENTRIES`] entries are undecided.
    pub(crate) fn can_append(&self) -> bool {
        let journal = self.journal.lock();
        let undecided = journal.accepted().len().saturating_sub(journal.hard_state().decided_index as usize);
        self.is_leader() && journal.hard_state().stop_sign.is_none() && undecided < MAX_UNDECIDED_ENTRIES
    }

    /// Whether the segment is long enough to end.
    pub(crate) fn is_segment_long(&mut self) -> bool {
        let journal = self.journal.lock();
        let accepted = journal.accepted();
        let counted = self.accepted_size.entries.min(accepted.len());
        let uncounted: usize = accepted[counted..].iter().map(|entry| encode(entry).len()).sum();
        self.accepted_size =
            EncodedSize { entries: accepted.len(), bytes: self.accepted_size.bytes + uncounted };
        accepted.len() >= MAX_SEGMENT_ENTRIES || self.accepted_size.bytes >= MAX_SEGMENT_BYTES
    }

    /// Whether a proposal is among the accepted entries of this segment.
    pub(crate) fn has_accepted(&self, key: ProposalKey) -> bool {
        self.journal.lock().accepted().iter().rev().any(|stamped| stamped.proposal_key() == key)
    }

    /// The timestamp of the last accepted entry; 0 if there is none.
    pub(crate) fn last_timestamp(&self) -> u64 {
        self.journal.lock().accepted().last().map_or(0, |stamped| stamped.timestamp)
    }

    /// Appends an entry. It is dropped if this replica is no longer the leader; its proposer then proposes it
    /// again.
    pub(crate) fn append(&mut self, stamped: StampedEntry<E>) {
        let _ = self.paxos.append(stamped);
    }

    /// Ends the segment with a stop sign. It is dropped if this replica is no longer the leader, like an entry in
    /// [`Replica::append`].
    pub(crate) fn append_stop_sign(&mut self, stamped: &StampedEntry<Vec<Voter>>) {
        let next = cluster_config(self.segment.id + 1, &stamped.entry);
        let _ = self.paxos.reconfigure(next, Some(encode(stamped).to_vec()));
    }

    /// The items committed since the last call.
    pub(crate) fn poll_committed(&mut self) -> Vec<CommittedItem<E>> {
        let journal = self.journal.lock();
        let decided = journal.hard_state().decided_index as usize;
        let end = decided.min(journal.accepted().len());
        let first = self.segment.base + 1;
        let revision = |index: usize| first + index as u64;
        let mut items = Vec::new();
        for index in self.returned_count..end {
            let item = LogItem::Entry(journal.accepted()[index].clone());
            items.push(CommittedItem { revision: revision(index), item });
        }
        if decided > end
            && self.returned_count <= end
            && let Some(stop_sign) = journal.hard_state().stop_sign.as_ref().and_then(decode_stop_sign)
        {
            items.push(CommittedItem { revision: revision(end), item: LogItem::StopSign(stop_sign) });
        }
        self.returned_count = self.returned_count.max(decided);
        items
    }

    /// Handles a packet of a voter's link and passes the valid messages in it to `omnipaxos`.
    pub(crate) fn handle_packet(&mut self, from: NodeId, packet: Packet) {
        let Some(link) = self.links.get_mut(&from) else { return };
        for event in link.handle_packet(packet) {
            match event {
                LinkEvent::Reset => self.paxos.reconnected(to_paxos_id(from)),
                LinkEvent::Heartbeat(bytes) => {
                    if let Ok(message) = postcard::from_bytes(&bytes) {
                        self.handle_heartbeat(from, message);
                    }
                }
                LinkEvent::Message(bytes) => {
                    if let Ok(message) = postcard::from_bytes(&bytes) {
                        self.handle_paxos_message(from, message);
                    }
                }
            }
        }
    }

    /// Handles a heartbeat. Drops repeated replies and replies with invalid ballots.
    fn handle_heartbeat(&mut self, from: NodeId, message: BLEMessage) {
        if message.from != to_paxos_id(from) || message.to != self.local {
            return;
        }
        if let HeartbeatMsg::Reply(reply) = &message.msg {
            let last_round = self.last_reply_rounds.insert(message.from, reply.round);
            let filter = self.filter();
            let has_own_ballot = filter.is_valid_ballot(&reply.ballot) && reply.ballot.pid == message.from;
            if last_round == Some(reply.round) || !has_own_ballot || !filter.is_valid_ballot(&reply.leader) {
                return;
            }
        }
        self.paxos.handle_incoming(Message::BLE(message));
    }

    fn handle_paxos_message(&mut self, from: NodeId, mut message: PaxosMessage<StampedEntry<E>>) {
        let is_addressed = message.from == to_paxos_id(from) && message.to == self.local;
        if is_addressed && self.filter().normalize_and_check(&mut message.msg) {
            self.paxos.handle_incoming(Message::SequencePaxos(message));
        }
    }

    fn filter(&self) -> MessageFilter<'_> {
        let (log_length, has_stop_sign) = {
            let journal = self.journal.lock();
            (journal.accepted().len(), journal.hard_state().stop_sign.is_some())
        };
        MessageFilter {
            local: self.local,
            segment: &self.segment,
            log_length,
            has_stop_sign,
            decided_index: self.paxos.get_decided_idx(),
            is_leader: self.is_leader(),
        }
    }

    /// The packets to send now. The journal must be flushed before they are sent.
    pub(crate) fn poll_transmit(&mut self, now: Micros) -> Vec<OutgoingPacket> {
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let mut requests = Vec::new();
        for message in messages {
            let to = to_node_id(message.get_receiver());
            let Some(link) = self.links.get_mut(&to) else { continue };
            match message {
                Message::BLE(heartbeat) => {
                    let bytes = encode(&heartbeat);
                    if matches!(heartbeat.msg, HeartbeatMsg::Request(_)) {
                        requests.push(HeartbeatRequest { to, bytes: bytes.clone() });
                    }
                    link.send_heartbeat(bytes);
                }
                Message::SequencePaxos(message) => link.send_message(&encode(&message)),
            }
        }
        if !requests.is_empty() {
            self.heartbeat_requests = requests;
        }
        let mut packets = Vec::new();
        for (to, link) in &mut self.links {
            packets
                .extend(link.poll_transmit(now).into_iter().map(|packet| OutgoingPacket { to: *to, packet }));
        }
        packets
    }
}
