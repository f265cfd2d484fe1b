//! A simulation of balancers on a virtual clock, with a network that loses, duplicates, delays and blocks messages.
//! It checks every committed entry.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]
use agreement::{
    Action, Agreement, MAX_MESSAGE_BYTES, MemoryStore, Message, Micros, NodeId, ProposalOutcome, Revision,
    Settings, StampedEntry, Store, StoreChange, StoredState, TICK_INTERVAL_US, VotingBlock,
};
use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    convert::Infallible,
    rc::Rc,
};

pub const SECOND: Micros = 1_000_000;
/// Unix time at the zero of the virtual clock, in microseconds.
pub const UNIX_TIME_AT_ZERO: u64 = 1_700_000_000_000_000;

/// A disk that survives the process, can be copied and can become full.
#[derive(Clone, Default)]
pub struct Disk(Rc<RefCell<DiskState>>);

#[derive(Clone, Default)]
struct DiskState {
    store: MemoryStore,
    is_full: bool,
}

impl Disk {
    /// Returns an independent disk with the same content.
    pub fn copy(&self) -> Disk {
        Disk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Makes all further writes fail.
    pub fn fill(&self) {
        self.0.borrow_mut().is_full = true;
    }
}

/// The error returned when writing to a full disk.
#[derive(Debug, thiserror::Error)]
#[error("disk is full")]
pub struct DiskFull;

impl Store for Disk {
    type Error = DiskFull;
    fn load(&mut self) -> Result<StoredState, DiskFull> {
        self.0.borrow_mut().store.load().map_err(|never: Infallible| match never {})
    }
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), DiskFull> {
        let mut disk = self.0.borrow_mut();
        if disk.is_full {
            return Err(DiskFull);
        }
        disk.store.write(changes).map_err(|never| match never {})
    }
}

pub type Entry = Vec<u8>;
type Node = Agreement<Entry, Disk>;

#[derive(Default)]
pub struct Balancer {
    pub node: Option<Node>,
    pub disk: Disk,
    pub incarnation: u64,
    /// The revision that must be reported next.
    pub next_revision: Revision,
    pub voting_block: Option<VotingBlock>,
    pub is_leader: bool,
    /// The outcomes of this balancer's proposals, by identifier.
    pub outcomes: HashMap<u64, ProposalOutcome>,
    pub restored_snapshots: u64,
    /// The replicated state: the number of entries and a checksum over them.
    pub state: (u64, u64),
    /// Whether ticks and messages are skipped.
    pub stalled: bool,
}

/// A committed item; for a change of voters, `proposer` is `u16::MAX` and `proposal_id` the revision.
#[derive(Debug, PartialEq)]
pub struct CommittedItem {
    timestamp: u64,
    proposer: NodeId,
    proposal_id: u64,
    entry: Entry,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(NodeId),
    /// The sender, the receiver and the encoded message.
    Deliver(NodeId, NodeId, Vec<u8>),
}

pub struct Sim {
    pub now: Micros,
    pub random: fastrand::Rng,
    pub voters: Vec<NodeId>,
    pub balancers: Vec<Balancer>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// Number of events scheduled so far; orders events of the same time.
    scheduled_events: u64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    /// The shortest and the longest delay of a message.
    pub delay: (Micros, Micros),
    /// Directed links, from sender to receiver, that drop all messages.
    pub blocked_links: HashSet<(NodeId, NodeId)>,
    /// All committed items.
    pub committed: BTreeMap<Revision, CommittedItem>,
    /// The revision of each committed proposal, by proposer and identifier.
    committed_proposals: HashMap<(NodeId, u64), Revision>,
    /// Number of revisions after which each balancer takes a snapshot.
    pub snapshot_interval: u64,
    /// Size of the longest message sent, in bytes.
    pub longest_message: usize,
    pub messages_sent: u64,
    /// Whether a voter's disk has been replaced by an empty or an older one.
    pub disk_replaced: bool,
    /// The first [`MAX_RECORDED_MESSAGES`] messages sent: sender, receiver and encoded message.
    pub recorded: Vec<(NodeId, NodeId, Vec<u8>)>,
}

/// Maximum number of recorded messages.
const MAX_RECORDED_MESSAGES: usize = 4_000;

impl Sim {
    pub fn new(seed: u64, balancers: u16, voters: u16) -> Sim {
        let mut sim = Sim {
            now: SECOND,
            random: fastrand::Rng::with_seed(seed),
            voters: (0..voters).collect(),
            balancers: (0..balancers).map(|_| Balancer::default()).collect(),
            events: BinaryHeap::new(),
            scheduled_events: 0,
            loss: 0.0,
            duplication: 0.0,
            delay: (500, 15_000),
            blocked_links: HashSet::new(),
            committed: BTreeMap::new(),
            committed_proposals: HashMap::new(),
            snapshot_interval: u64::MAX,
            longest_message: 0,
            messages_sent: 0,
            disk_replaced: false,
            recorded: Vec::new(),
        };
        for node_id in 0..balancers {
            sim.start(node_id);
            let first_tick = sim.random.u64(..TICK_INTERVAL_US);
            sim.push(first_tick, Event::Tick(node_id));
        }
        sim
    }

    /// Schedules an event `delay` after now.
    fn push(&mut self, delay: Micros, event: Event) {
        self.scheduled_events += 1;
        self.events.push(Reverse((self.now + delay, self.scheduled_events, event)));
    }

    /// Starts a new process of the balancer with its disk, in place of a running one.
    pub fn start(&mut self, node_id: NodeId) {
        let nodes = (0..self.balancers.len() as u16).map(|n| (n, n % 3)).collect();
        let incarnation = self.random.u64(..);
        let settings = Settings { node_id, incarnation, voters: self.voters.clone(), nodes };
        let balancer = &mut self.balancers[node_id as usize];
        let disk = balancer.disk.clone();
        *balancer = Balancer { disk: disk.clone(), incarnation, next_revision: 1, ..Default::default() };
        balancer.node = Some(Agreement::new(settings, disk, self.random.u64(..), self.now));
        self.process_actions(node_id);
    }

    pub fn stop(&mut self, node_id: NodeId) {
        self.balancers[node_id as usize].node = None;
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds or the time is `end`. Returns whether the condition holds.
    pub fn run_until(&mut self, end: Micros, mut condition: impl FnMut(&Sim) -> bool) -> bool {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if condition(self) {
                return true;
            }
            if *at > end {
                self.now = end;
                return false;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { unreachable!() };
            self.now = at;
            match event {
                Event::Tick(node_id) => {
                    let (now, unix_time) =
                        (self.now, UNIX_TIME_AT_ZERO + self.now + u64::from(node_id) * 30_000);
                    if let Some(node) = self.running_node(node_id) {
                        node.tick(now, unix_time);
                    }
                    self.process_actions(node_id);
                    self.push(TICK_INTERVAL_US, Event::Tick(node_id));
                }
                Event::Deliver(from, to, bytes) => {
                    let now = self.now;
                    if let Some(node) = self.running_node(to) {
                        node.handle_message(
                            now,
                            from,
                            postcard::from_bytes(&bytes)
                                .expect("a message that a balancer sent can be decoded"),
                        );
                    }
                    self.process_actions(to);
                }
            }
        }
        false
    }

    /// The balancer's node if its process runs and is not stalled.
    fn running_node(&mut self, node_id: NodeId) -> Option<&mut Node> {
        let balancer = &mut self.balancers[node_id as usize];
        balancer.node.as_mut().filter(|_| !balancer.stalled)
    }

    pub fn node(&mut self, node_id: NodeId) -> &mut Node {
        self.balancers[node_id as usize].node.as_mut().expect("the balancer has a process")
    }

    pub fn propose(&mut self, node_id: NodeId, entry: Entry) -> u64 {
        let now = self.now;
        let id = self.node(node_id).propose(now, entry).expect("the proposal is accepted");
        self.process_actions(node_id);
        id
    }

    pub fn change_voters_at(&mut self, by: NodeId, removed: Option<NodeId>, added: Option<NodeId>) -> u64 {
        let now = self.now;
        let id = self.node(by).change_voters(now, removed, added).expect("the change is accepted");
        self.process_actions(by);
        id
    }

    pub fn outcome(&self, node_id: NodeId, id: u64) -> Option<ProposalOutcome> {
        self.balancers[node_id as usize].outcomes.get(&id).copied()
    }

    /// Runs until the proposal is committed or `timeout` has passed. Returns whether it is committed.
    pub fn run_until_committed(&mut self, node_id: NodeId, id: u64, timeout: Micros) -> bool {
        let end = self.now + timeout;
        self.run_until(end, |sim| matches!(sim.outcome(node_id, id), Some(ProposalOutcome::Committed(_))))
    }

    pub fn leader(&self) -> Option<NodeId> {
        (0..self.balancers.len()).find(|n| self.balancers[*n].is_leader).map(|n| n as u16)
    }

    /// Number of running balancers that have received the item at `revision`.
    pub fn count_caught_up(&self, revision: Revision) -> usize {
        self.balancers.iter().filter(|b| b.node.is_some() && b.next_revision > revision).count()
    }

    /// Blocks all links between the group and the other balancers, in both directions.
    pub fn isolate(&mut self, group: &[NodeId]) {
        for from in 0..self.balancers.len() as u16 {
            for to in 0..self.balancers.len() as u16 {
                if group.contains(&from) != group.contains(&to) {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }

    /// Carries out all pending actions of the balancer.
    fn process_actions(&mut self, node_id: NodeId) {
        loop {
            let balancer = &mut self.balancers[node_id as usize];
            let Some(action) = balancer.node.as_mut().and_then(Agreement::poll) else { return };
            match action {
                Action::Send { to, message } => self.send(node_id, to, &message),
                Action::Committed { revision, stamped } => {
                    let StampedEntry { timestamp, proposer, proposal_id, entry } = stamped;
                    let item = CommittedItem { timestamp, proposer, proposal_id, entry };
                    self.record_committed(node_id, revision, item);
                }
                Action::VotersChanged { revision, timestamp, voters } => {
                    let entry = postcard::to_allocvec(&voters).expect("the voters can be encoded");
                    let item = CommittedItem { timestamp, proposer: u16::MAX, proposal_id: revision, entry };
                    self.record_committed(node_id, revision, item);
                }
                Action::Restore { revision, snapshot, .. } => {
                    let next = balancer.next_revision;
                    assert!(
                        revision >= next,
                        "a snapshot of revision {revision} is before the next one, {next}"
                    );
                    balancer.next_revision = revision + 1;
                    balancer.restored_snapshots += 1;
                    balancer.state = postcard::from_bytes(&snapshot)
                        .expect("a snapshot that a balancer took can be decoded");
                }
                Action::LeadershipChanged(is_leader) => balancer.is_leader = is_leader,
                Action::VotingBlocked(voting_block) => balancer.voting_block = Some(voting_block),
                Action::ProposalFinished { id, outcome } => {
                    let previous = balancer.outcomes.insert(id, outcome);
                    assert!(previous.is_none(), "proposal {id} has a second outcome");
                }
            }
        }
    }

    /// Checks that the item is the balancer's next one and the same on all balancers, and applies it to the state.
    fn record_committed(&mut self, node_id: NodeId, revision: Revision, item: CommittedItem) {
        let now = self.now;
        let balancer = &mut self.balancers[node_id as usize];
        assert_eq!(revision, balancer.next_revision, "balancer {node_id} gets revisions in order, each once");
        balancer.next_revision += 1;
        let sum = item.entry.iter().fold(revision, |sum, byte| sum.wrapping_mul(31) + u64::from(*byte));
        balancer.state = (balancer.state.0 + 1, balancer.state.1.wrapping_mul(17) ^ sum);
        if revision.is_multiple_of(self.snapshot_interval) {
            let mut bytes = postcard::to_allocvec(&balancer.state).expect("the state can be encoded");
            bytes.resize(5_000, 7);
            balancer.node.as_mut().expect("the balancer has a process").supply_snapshot(
                now,
                revision,
                bytes.into(),
            );
        }
        if let Some(earlier) = self.committed.get(&revision) {
            assert_eq!(*earlier, item, "balancer {node_id} gets another item at revision {revision}");
            return;
        }
        let last = self.committed.last_key_value().map(|(last, item)| (*last, item.timestamp));
        assert_eq!(revision, last.map_or(1, |last| last.0 + 1), "no revision is skipped");
        assert!(item.timestamp > last.map_or(0, |last| last.1), "timestamps increase");
        let earlier = self.committed_proposals.insert((item.proposer, item.proposal_id), revision);
        assert_eq!(earlier, None, "a proposal is committed once");
        self.committed.insert(revision, item);
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message<Entry>) {
        let bytes = postcard::to_allocvec(message).expect("the message can be encoded");
        self.longest_message = self.longest_message.max(bytes.len());
        self.messages_sent += 1;
        assert!(bytes.len() <= MAX_MESSAGE_BYTES, "message of {} bytes exceeds the limit", bytes.len());
        if self.recorded.len() < MAX_RECORDED_MESSAGES {
            self.recorded.push((from, to, bytes.clone()));
        }
        let copies = 1 + usize::from(self.random.f64() < self.duplication);
        for _ in 0..copies {
            if self.random.f64() >= self.loss && !self.blocked_links.contains(&(from, to)) {
                let delay = self.random.u64(self.delay.0..=self.delay.1);
                self.push(delay, Event::Deliver(from, to, bytes.clone()));
            }
        }
    }

    /// Prints the state of each founding voter.
    pub fn print_voters(&mut self) {
        for node_id in self.voters.clone() {
            let balancer = &self.balancers[node_id as usize];
            let node = balancer.node.as_ref();
            let (is_voting, leader) =
                (node.map(|node| node.is_voting()), node.and_then(|node| node.leader()));
            let (next_revision, is_leader) = (balancer.next_revision, balancer.is_leader);
            let voting_block = &balancer.voting_block;
            println!(
                "{node_id}: is_voting {is_voting:?} is_leader {is_leader} leader {leader:?} \
                 next_revision {next_revision} voting_block {voting_block:?}"
            );
        }
    }

    /// Asserts that all running balancers have the same state.
    pub fn assert_converged(&self) {
        let last = self.committed.len() as u64;
        let running = self.balancers.iter().enumerate().filter(|(_, balancer)| balancer.node.is_some());
        let states: Vec<_> =
            running.map(|(n, balancer)| (balancer.next_revision - 1, balancer.state, n)).collect();
        let first = states[0];
        for state in states {
            assert_eq!(state.0, last, "balancer {} has received all items", state.2);
            assert_eq!(state.1, first.1, "balancers {} and {} have the same state", state.2, first.2);
        }
    }
}

/// A voter that restarts later.
pub struct PendingRestart {
    voter: NodeId,
    /// The disk that the voter restarts with if its own is replaced; the voter runs until then.
    replacement_disk: Option<Disk>,
}

/// Starts or ends a random fault. At most one voter is stopped at a time, and at most one disk is replaced.
pub fn inject_fault(sim: &mut Sim, pending_restart: &mut Option<PendingRestart>, voters: NodeId) {
    let balancers = sim.balancers.len() as u16;
    match sim.random.u8(..10) {
        0 => sim.loss = f64::from(sim.random.u8(..35)) / 100.0,
        1 => (sim.duplication, sim.delay.1) = (0.2, sim.random.u64(5_000..200_000)),
        2 => {
            let group: Vec<_> = (0..balancers).filter(|_| sim.random.bool()).collect();
            sim.isolate(&group);
        }
        3 => {
            let (from, to) = (sim.random.u16(..voters), sim.random.u16(..balancers));
            sim.blocked_links.insert((from, to));
        }
        4 => sim.blocked_links.clear(),
        5 => {
            let node_id = sim.random.u16(..voters);
            let stalled = &mut sim.balancers[node_id as usize].stalled;
            *stalled = !*stalled;
        }
        6 if pending_restart.is_none() => {
            let node_id = sim.random.u16(..voters);
            // At most one disk per run is lost or replaced by an old copy. The copy is made now and put in place at
            // the restart.
            let is_replaced = !sim.disk_replaced && sim.random.bool();
            let replacement = match sim.random.bool() {
                true => sim.balancers[node_id as usize].disk.copy(),
                false => Disk::default(),
            };
            if is_replaced {
                sim.disk_replaced = true;
            } else {
                sim.stop(node_id);
            }
            let replacement_disk = is_replaced.then_some(replacement);
            *pending_restart = Some(PendingRestart { voter: node_id, replacement_disk });
        }
        7 => complete_restart(sim, pending_restart),
        8 => {
            let node_id = sim.random.u16(voters..balancers);
            sim.start(node_id);
        }
        _ => {
            let node_id = sim.random.u16(..voters);
            if pending_restart.is_none() && sim.balancers[node_id as usize].node.is_some() {
                sim.start(node_id);
            }
        }
    }
}

fn complete_restart(sim: &mut Sim, pending_restart: &mut Option<PendingRestart>) {
    if let Some(PendingRestart { voter, replacement_disk }) = pending_restart.take() {
        if let Some(disk) = replacement_disk {
            sim.stop(voter);
            sim.balancers[voter as usize].disk = disk;
        }
        sim.start(voter);
    }
}

/// Ends all faults.
pub fn end_faults(sim: &mut Sim, pending_restart: &mut Option<PendingRestart>) {
    complete_restart(sim, pending_restart);
    (sim.loss, sim.duplication, sim.delay) = (0.0, 0.0, (500, 15_000));
    sim.blocked_links.clear();
    sim.balancers.iter_mut().for_each(|balancer| balancer.stalled = false);
    sim.run(3 * SECOND);
}
