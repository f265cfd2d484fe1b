//! One segment's agreement: `omnipaxos` over ordered links, fed nothing that it would fall over.
use crate::{
    Entry, Micros, NodeId, Revision, Stamped,
    journal::Shared,
    link::{Body, Came, Link},
    segment::{Item, SEGMENT, Segment, Voter},
};
use omnipaxos::{
    ClusterConfig, OmniPaxos, ServerConfig,
    ballot_leader_election::Ballot,
    messages::{
        Message,
        ballot_leader_election::{BLEMessage, HeartbeatMsg},
        sequence_paxos::{PaxosMessage, PaxosMsg},
    },
    storage::StopSign,
    util::{LogSync, NodeId as PaxosId},
};
use std::collections::BTreeMap;

/// Ticks of an election's round: three tries of a heartbeat fit in.
const ROUND_TICKS: u64 = 6;
/// Ticks between two tries of a heartbeat, so that one lost datagram is not a lost leader.
const BEAT_TICKS: u64 = 2;
/// Ticks until `omnipaxos` repeats a request; the links repeat what is lost.
const REPEAT_TICKS: u64 = 10;
/// Entries that a leader has under way at most: what is lost with it.
const UNDECIDED: usize = 256;
/// Bytes of entries after which a leader ends its segment, so that a whole one fits a link's queue.
const SEGMENT_BYTES: usize = 1024 * 1024;
/// Places and rounds above these are not an honest member's.
const MOST_PLACES: usize = 1 << 20;
const MOST_ROUNDS: u32 = 1 << 30;

pub(crate) struct Replica<E: Entry> {
    me: PaxosId,
    paxos: OmniPaxos<Stamped<E>, Shared<E>>,
    shared: Shared<E>,
    segment: Segment,
    links: BTreeMap<NodeId, Link>,
    replied: BTreeMap<PaxosId, u32>,
    asked: Vec<(NodeId, Vec<u8>)>,
    ticks: u64,
    read: usize,
    bytes: (usize, usize),
}

fn node(number: NodeId) -> PaxosId {
    PaxosId::from(number) + 1
}

fn number(node: PaxosId) -> NodeId {
    node.saturating_sub(1) as NodeId
}

impl<E: Entry> Replica<E> {
    /// `session` must be above any that this epoch has used.
    pub(crate) fn new(me: NodeId, shared: Shared<E>, session: u32) -> Option<Self> {
        let (segment, epoch) = {
            let journal = shared.lock();
            (journal.head.segment.clone(), journal.head.epoch)
        };
        let server = ServerConfig {
            pid: node(me),
            election_tick_timeout: ROUND_TICKS,
            resend_message_tick_timeout: REPEAT_TICKS,
            buffer_size: 64,
            ..Default::default()
        };
        let nodes = segment.members.iter().map(|member| node(member.node_id)).collect();
        let cluster = ClusterConfig { configuration_id: segment.id, nodes, flexible_quorum: None };
        let paxos = cluster.build_for_server(server, shared.clone()).ok()?;
        let others = segment.members.iter().filter(|member| member.node_id != me);
        let links = others.map(|member| (member.node_id, Link::new(epoch, session))).collect();
        let me = node(me);
        let (replied, asked) = (BTreeMap::new(), Vec::new());
        Some(Replica { me, paxos, shared, segment, links, replied, asked, ticks: 0, read: 0, bytes: (0, 0) })
    }

    /// The highest session used so far.
    pub(crate) fn session(&self) -> u32 {
        self.links.values().map(Link::session).max().unwrap_or(0)
    }

    pub(crate) fn tick(&mut self) {
        self.ticks += 1;
        self.paxos.tick();
        if self.ticks.is_multiple_of(BEAT_TICKS) {
            for (to, bytes) in &self.asked {
                if let Some(link) = self.links.get_mut(to) {
                    link.beat(bytes.clone());
                }
            }
        }
    }

    /// Tries to lead at once: the leader of the last segment spares the council an election.
    pub(crate) fn lead(&mut self) {
        self.paxos.try_become_leader();
    }

    /// Who leads, and in which round.
    pub(crate) fn leader(&self) -> Option<(NodeId, u32)> {
        let promise = self.shared.lock().head.promise;
        self.paxos.get_current_leader().map(|leader| (number(leader.0), promise.n))
    }

    pub(crate) fn was_leader(&self) -> bool {
        self.leader().is_some_and(|leader| node(leader.0) == self.me)
    }

    pub(crate) fn leads(&self) -> bool {
        self.paxos.get_current_leader() == Some((self.me, true))
    }

    /// Whether a leader can take one more; false too once the segment is to end.
    pub(crate) fn takes(&self) -> bool {
        let journal = self.shared.lock();
        let undecided = journal.accepted.len() - journal.accepted.len().min(journal.head.decided as usize);
        self.leads() && journal.head.stop.is_none() && undecided < UNDECIDED
    }

    /// Whether the segment is long enough to end.
    pub(crate) fn is_long(&mut self) -> bool {
        let journal = self.shared.lock();
        let (count, bytes) = self.bytes;
        let from = count.min(journal.accepted.len());
        let more: usize =
            journal.accepted[from..].iter().map(|entry| crate::journal::encode(entry).len()).sum();
        self.bytes = (journal.accepted.len(), bytes + more);
        journal.accepted.len() >= SEGMENT || self.bytes.1 >= SEGMENT_BYTES
    }

    /// Looks a proposal up among those not yet decided.
    pub(crate) fn has(&self, name: (NodeId, u64)) -> bool {
        self.shared.lock().accepted.iter().rev().any(|entry| (entry.proposer, entry.proposal_id) == name)
    }

    pub(crate) fn last_at(&self) -> u64 {
        self.shared.lock().accepted.last().map_or(0, |entry| entry.timestamp)
    }

    pub(crate) fn append(&mut self, stamped: Stamped<E>) {
        let _ = self.paxos.append(stamped);
    }

    pub(crate) fn stop(&mut self, stop: &Stamped<Vec<Voter>>) {
        let nodes = stop.entry.iter().map(|member| node(member.node_id)).collect();
        let next = ClusterConfig { configuration_id: self.segment.id + 1, nodes, flexible_quorum: None };
        let _ = self.paxos.reconfigure(next, postcard::to_allocvec(stop).ok());
    }

    /// What has been decided since the last call.
    pub(crate) fn decided(&mut self) -> Vec<(Revision, Item<E>)> {
        let journal = self.shared.lock();
        let decided = journal.head.decided as usize;
        let end = decided.min(journal.accepted.len());
        let base = self.segment.base + 1;
        let mut items: Vec<_> = (self.read..end)
            .map(|index| (base + index as u64, Item::Entry(journal.accepted[index].clone())))
            .collect();
        if decided > end
            && self.read <= end
            && let Some(stop) = journal.head.stop.as_ref().and_then(parse)
        {
            items.push((base + end as u64, Item::Stop(stop)));
        }
        self.read = self.read.max(decided);
        items
    }

    pub(crate) fn hear(&mut self, from: NodeId, body: Body) {
        let Some(link) = self.links.get_mut(&from) else { return };
        for came in link.hear(body) {
            match came {
                Came::Broken => self.paxos.reconnected(node(from)),
                Came::Beat(bytes) => {
                    if let Ok(message) = postcard::from_bytes(&bytes) {
                        self.beat(from, message);
                    }
                }
                Came::Message(bytes) => {
                    if let Ok(message) = postcard::from_bytes(&bytes) {
                        self.message(from, message);
                    }
                }
            }
        }
    }

    fn beat(&mut self, from: NodeId, message: BLEMessage) {
        if message.from != node(from) || message.to != self.me {
            return;
        }
        if let HeartbeatMsg::Reply(reply) = &message.msg {
            let seen = self.replied.insert(message.from, reply.round) == Some(reply.round);
            let own = self.is_ballot(&reply.ballot) && reply.ballot.pid == message.from;
            if seen || !own || !(self.is_ballot(&reply.leader)) {
                return;
            }
        }
        self.paxos.handle_incoming(Message::BLE(message));
    }

    fn message(&mut self, from: NodeId, mut message: PaxosMessage<Stamped<E>>) {
        let ours = message.from == node(from) && message.to == self.me;
        if ours && self.may_be_handled(&mut message.msg) {
            self.paxos.handle_incoming(Message::SequencePaxos(message));
        }
    }

    fn is_ballot(&self, ballot: &Ballot) -> bool {
        let member = ballot.pid == self.me || self.links.contains_key(&number(ballot.pid));
        ballot.config_id == self.segment.id && ballot.n < MOST_ROUNDS && ballot.pid != 0 && member
    }

    /// Guards against messages that no honest member sends, on which `omnipaxos` panics.
    fn may_be_handled(&self, message: &mut PaxosMsg<Stamped<E>>) -> bool {
        let (length, stop) = {
            let journal = self.shared.lock();
            (journal.accepted.len(), journal.head.stop.is_some())
        };
        let accepted = length + usize::from(stop);
        match message {
            PaxosMsg::PrepareReq(request) => request.n.n < MOST_ROUNDS,
            PaxosMsg::Prepare(prepare) => {
                self.is_ballot(&prepare.n) && prepare.decided_idx.max(prepare.accepted_idx) < MOST_PLACES
            }
            PaxosMsg::Promise(promise) => {
                // Once a quorum has promised, a late promise's suffix is of no use, and may start before what is decided since.
                if self.leads() {
                    promise.log_sync = None;
                }
                let end = match promise.log_sync.as_mut() {
                    Some(sync) => {
                        if !self.fits(sync, length, stop) {
                            return false;
                        }
                        sync.sync_idx + sync.suffix.len() + usize::from(sync.stopsign.is_some())
                    }
                    None => accepted,
                };
                self.is_ballot(&promise.n)
                    && promise.decided_idx <= end
                    && promise.decided_idx <= promise.accepted_idx
                    && promise.accepted_idx < MOST_PLACES
            }
            PaxosMsg::AcceptSync(sync) => {
                self.is_ballot(&sync.n)
                    && self.fits(&mut sync.log_sync, length, stop)
                    && sync.decided_idx
                        <= sync.log_sync.sync_idx
                            + sync.log_sync.suffix.len()
                            + usize::from(sync.log_sync.stopsign.is_some())
            }
            PaxosMsg::AcceptDecide(accept) => self.is_ballot(&accept.n) && !stop,
            PaxosMsg::Accepted(said) => self.is_ballot(&said.n) && said.accepted_idx <= accepted,
            PaxosMsg::NotAccepted(not) => self.is_ballot(&not.n),
            PaxosMsg::Decide(decide) => self.is_ballot(&decide.n),
            PaxosMsg::AcceptStopSign(sign) => self.is_ballot(&sign.n) && !stop && self.is_next(&sign.ss),
            PaxosMsg::ProposalForward(_) | PaxosMsg::Compaction(_) | PaxosMsg::ForwardStopSign(_) => false,
        }
    }

    fn fits(&self, sync: &mut LogSync<Stamped<E>>, length: usize, stop: bool) -> bool {
        // The place of a stop sign counts as accepted but holds no entry: a suffix from behind it would count it twice.
        if stop && sync.sync_idx == length + 1 && sync.suffix.is_empty() {
            sync.sync_idx = length;
        }
        sync.decided_snapshot.is_none()
            && sync.sync_idx <= length
            && sync.sync_idx >= self.paxos.get_decided_idx()
            && sync.sync_idx + sync.suffix.len() < MOST_PLACES
            && sync.stopsign.as_ref().is_none_or(|sign| self.is_next(sign))
    }

    fn is_next(&self, sign: &StopSign) -> bool {
        sign.next_config.configuration_id == self.segment.id + 1
            && parse(sign).is_some_and(|stop| (2..=7).contains(&stop.entry.len()))
    }

    /// What is to be sent now. What it says must be durable before.
    pub(crate) fn outgoing(&mut self, now: Micros) -> Vec<(NodeId, Body)> {
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let mut rounds = Vec::new();
        for message in messages {
            let to = number(message.get_receiver());
            let Some(link) = self.links.get_mut(&to) else { continue };
            match message {
                Message::BLE(beat) => {
                    let request = matches!(beat.msg, HeartbeatMsg::Request(_));
                    let bytes = postcard::to_allocvec(&beat).unwrap_or_default();
                    if request {
                        rounds.push((to, bytes.clone()));
                    }
                    link.beat(bytes);
                }
                Message::SequencePaxos(message) => {
                    link.send(postcard::to_allocvec(&message).unwrap_or_default());
                }
            }
        }
        if !rounds.is_empty() {
            self.asked = rounds;
        }
        let links = self.links.iter_mut();
        links.flat_map(|(to, link)| link.due(now).into_iter().map(|body| (*to, body))).collect()
    }
}

fn parse(sign: &StopSign) -> Option<Stamped<Vec<Voter>>> {
    postcard::from_bytes(sign.metadata.as_ref()?).ok()
}
