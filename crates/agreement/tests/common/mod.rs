//! Balancers on a virtual clock, a network that loses, duplicates, delays and blocks messages, and a checker of all
//! committed entries.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]
use agreement::{
    Action, Agreement, MAX_MESSAGE_BYTES, MemoryStore, Message, Micros, NodeId, ProposalOutcome, Revision,
    Settings, Store, StoreChange, StoredState, TICK_INTERVAL_US, VotingBlock,
};
use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    convert::Infallible,
    rc::Rc,
};

pub const SECOND: Micros = 1_000_000;
pub const UNIX: u64 = 1_700_000_000_000_000;

/// A disk that survives the process, can be copied and can fail.
#[derive(Clone, Default)]
pub struct Disk(pub Rc<RefCell<(MemoryStore, bool)>>);

impl Disk {
    pub fn copy(&self) -> Disk {
        Disk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }
}

/// The error of a disk that fails.
#[derive(Debug, thiserror::Error)]
#[error("disk is full")]
pub struct DiskFull;

impl Store for Disk {
    type Error = DiskFull;
    fn load(&mut self) -> Result<StoredState, DiskFull> {
        self.0.borrow_mut().0.load().map_err(|never: Infallible| match never {})
    }
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), DiskFull> {
        let mut disk = self.0.borrow_mut();
        if disk.1 {
            return Err(DiskFull);
        }
        disk.0.write(changes).map_err(|never| match never {})
    }
}

pub type Entry = Vec<u8>;
type Node = Agreement<Entry, Disk>;

#[derive(Default)]
pub struct Balancer {
    pub node: Option<Node>,
    pub disk: Disk,
    pub incarnation: u64,
    pub next: Revision,
    pub voting_block: Option<VotingBlock>,
    pub leads: bool,
    pub outcomes: HashMap<u64, ProposalOutcome>,
    pub restored: u64,
    /// The replicated state: the count and a sum over all entries.
    pub state: (u64, u64),
    pub stalled: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(NodeId),
    Deliver(NodeId, NodeId, Vec<u8>),
}

pub struct Sim {
    pub now: Micros,
    pub random: fastrand::Rng,
    pub voters: Vec<NodeId>,
    pub balancers: Vec<Balancer>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    /// Shares of messages that are lost and duplicated.
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Micros, Micros),
    pub cut: HashSet<(NodeId, NodeId)>,
    /// All committed entries.
    pub agreed: BTreeMap<Revision, (u64, NodeId, u64, Entry)>,
    names: HashMap<(NodeId, u64), Revision>,
    pub snapshot_each: u64,
    pub longest: usize,
    pub sent: u64,
    /// Whether a voter has restarted with another disk.
    pub disk_replaced: bool,
    /// The first messages sent.
    pub recorded: Vec<(NodeId, NodeId, Vec<u8>)>,
}

/// Messages recorded at most.
const RECORDED: usize = 4_000;

impl Sim {
    pub fn new(seed: u64, balancers: u16, voters: u16) -> Sim {
        let mut sim = Sim {
            now: SECOND,
            random: fastrand::Rng::with_seed(seed),
            voters: (0..voters).collect(),
            balancers: (0..balancers).map(|_| Balancer::default()).collect(),
            events: BinaryHeap::new(),
            count: 0,
            loss: 0.0,
            duplication: 0.0,
            delay: (500, 15_000),
            cut: HashSet::new(),
            agreed: BTreeMap::new(),
            names: HashMap::new(),
            snapshot_each: u64::MAX,
            longest: 0,
            sent: 0,
            disk_replaced: false,
            recorded: Vec::new(),
        };
        for number in 0..balancers {
            sim.start(number);
            let phase = sim.random.u64(..TICK_INTERVAL_US);
            sim.push(phase, Event::Tick(number));
        }
        sim
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + after, self.count, event)));
    }

    pub fn start(&mut self, number: NodeId) {
        let everyone = (0..self.balancers.len() as u16).map(|n| (n, n % 3)).collect();
        let incarnation = self.random.u64(..);
        let settings =
            Settings { node_id: number, incarnation, voters: self.voters.clone(), nodes: everyone };
        let balancer = &mut self.balancers[number as usize];
        let disk = balancer.disk.clone();
        *balancer = Balancer { disk: disk.clone(), incarnation, next: 1, ..Default::default() };
        balancer.node = Some(Agreement::new(settings, disk, self.random.u64(..), self.now));
        self.drain(number);
    }

    pub fn stop(&mut self, number: NodeId) {
        self.balancers[number as usize].node = None;
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds, at the longest to `end`; says whether it holds.
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
                Event::Tick(number) => {
                    let (now, unix) = (self.now, UNIX + self.now + u64::from(number) * 30_000);
                    if let Some(node) = self.up(number) {
                        node.tick(now, unix);
                    }
                    self.drain(number);
                    self.push(TICK_INTERVAL_US, Event::Tick(number));
                }
                Event::Deliver(from, to, bytes) => {
                    let now = self.now;
                    if let Some(node) = self.up(to) {
                        node.handle_message(now, from, postcard::from_bytes(&bytes).expect("own message"));
                    }
                    self.drain(to);
                }
            }
        }
        false
    }

    fn up(&mut self, number: NodeId) -> Option<&mut Node> {
        let balancer = &mut self.balancers[number as usize];
        balancer.node.as_mut().filter(|_| !balancer.stalled)
    }

    pub fn node(&mut self, number: NodeId) -> &mut Node {
        self.balancers[number as usize].node.as_mut().expect("is up")
    }

    pub fn propose(&mut self, number: NodeId, entry: Entry) -> u64 {
        let now = self.now;
        let id = self.node(number).propose(now, entry).expect("is taken");
        self.drain(number);
        id
    }

    pub fn change_voters_at(&mut self, by: NodeId, removed: Option<NodeId>, added: Option<NodeId>) -> u64 {
        let now = self.now;
        let id = self.node(by).change_voters(now, removed, added).expect("is taken");
        self.drain(by);
        id
    }

    pub fn outcome(&self, number: NodeId, id: u64) -> Option<ProposalOutcome> {
        self.balancers[number as usize].outcomes.get(&id).copied()
    }

    pub fn decided(&mut self, number: NodeId, id: u64, within: Micros) -> bool {
        let end = self.now + within;
        self.run_until(end, |sim| matches!(sim.outcome(number, id), Some(ProposalOutcome::Committed(_))))
    }

    pub fn leader(&self) -> Option<NodeId> {
        (0..self.balancers.len()).find(|n| self.balancers[*n].leads).map(|n| n as u16)
    }

    pub fn count_caught_up(&self, revision: Revision) -> usize {
        self.balancers.iter().filter(|b| b.node.is_some() && b.next > revision).count()
    }

    pub fn isolate(&mut self, some: &[NodeId]) {
        for a in 0..self.balancers.len() as u16 {
            for b in 0..self.balancers.len() as u16 {
                if some.contains(&a) != some.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    fn drain(&mut self, number: NodeId) {
        loop {
            let balancer = &mut self.balancers[number as usize];
            let Some(action) = balancer.node.as_mut().and_then(Agreement::poll) else { return };
            match action {
                Action::Send { to, message } => self.send(number, to, &message),
                Action::Committed { revision, stamped } => {
                    let s = stamped;
                    self.check(number, revision, (s.timestamp, s.proposer, s.proposal_id, s.entry));
                }
                Action::VotersChanged { revision, timestamp, voters } => {
                    self.check(
                        number,
                        revision,
                        (timestamp, u16::MAX, revision, postcard::to_allocvec(&voters).expect("fits")),
                    );
                }
                Action::Restore { revision, snapshot, .. } => {
                    assert!(revision >= balancer.next, "goes back to {revision} from {}", balancer.next);
                    balancer.next = revision + 1;
                    balancer.restored += 1;
                    balancer.state = postcard::from_bytes(&snapshot).expect("own snapshot");
                }
                Action::LeadershipChanged(leads) => balancer.leads = leads,
                Action::VotingBlocked(voting_block) => balancer.voting_block = Some(voting_block),
                Action::ProposalFinished { id, outcome } => {
                    assert!(balancer.outcomes.insert(id, outcome).is_none(), "one outcome each");
                }
            }
        }
    }

    fn check(&mut self, number: NodeId, revision: Revision, what: (u64, NodeId, u64, Entry)) {
        let now = self.now;
        let balancer = &mut self.balancers[number as usize];
        assert_eq!(revision, balancer.next, "{number} is given revisions in order, each once");
        balancer.next += 1;
        let sum = what.3.iter().fold(revision, |sum, byte| sum.wrapping_mul(31) + u64::from(*byte));
        balancer.state = (balancer.state.0 + 1, balancer.state.1.wrapping_mul(17) ^ sum);
        if revision.is_multiple_of(self.snapshot_each) {
            let mut bytes = postcard::to_allocvec(&balancer.state).expect("fits");
            bytes.resize(5_000, 7);
            balancer.node.as_mut().expect("is up").snapshot(now, revision, bytes.into());
        }
        if let Some(before) = self.agreed.get(&revision) {
            assert_eq!(*before, what, "{number} is given another entry at revision {revision}");
            return;
        }
        let last = self.agreed.last_key_value().map(|(last, what)| (*last, what.0));
        assert_eq!(revision, last.map_or(1, |last| last.0 + 1), "no revision is left out");
        assert!(what.0 > last.map_or(0, |last| last.1), "fleet time grows");
        let twice = self.names.insert((what.1, what.2), revision);
        assert_eq!(twice, None, "a proposal is decided once");
        self.agreed.insert(revision, what);
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message<Entry>) {
        let bytes = postcard::to_allocvec(message).expect("can be encoded");
        self.longest = self.longest.max(bytes.len());
        self.sent += 1;
        assert!(bytes.len() <= MAX_MESSAGE_BYTES, "a message of {} bytes", bytes.len());
        if self.recorded.len() < RECORDED {
            self.recorded.push((from, to, bytes.clone()));
        }
        let times = 1 + usize::from(self.random.f64() < self.duplication);
        for _ in 0..times {
            if self.random.f64() >= self.loss && !self.cut.contains(&(from, to)) {
                let delay = self.random.u64(self.delay.0..=self.delay.1);
                self.push(delay, Event::Deliver(from, to, bytes.clone()));
            }
        }
    }

    /// Prints the state of each founding voter.
    pub fn print_voters(&mut self) {
        for number in self.voters.clone() {
            let balancer = &self.balancers[number as usize];
            let node = balancer.node.as_ref();
            let (votes, leader) = (node.map(|node| node.is_voting()), node.and_then(|node| node.leader()));
            let (next, leads, voting_block) = (balancer.next, balancer.leads, &balancer.voting_block);
            println!(
                "{number}: votes {votes:?} leads {leads} leader {leader:?} next {next} voting_block {voting_block:?}"
            );
        }
    }

    /// Asserts that all running balancers have the same state.
    pub fn assert_converged(&self) {
        let last = self.agreed.len() as u64;
        let up = self.balancers.iter().enumerate().filter(|b| b.1.node.is_some());
        let states: Vec<_> = up.map(|(n, b)| (b.next - 1, b.state, n)).collect();
        let first = states[0];
        for state in states {
            assert_eq!(state.0, last, "balancer {} knows all", state.2);
            assert_eq!(state.1, first.1, "balancers {} and {} came to the same", state.2, first.2);
        }
    }
}

/// Starts or ends a random fault. At most a minority of the voters is down, and one that lost its disk comes back.
pub fn fault(sim: &mut Sim, away: &mut Option<(NodeId, Option<Disk>)>, voters: NodeId) {
    let all = sim.balancers.len() as u16;
    match sim.random.u8(..10) {
        0 => sim.loss = f64::from(sim.random.u8(..35)) / 100.0,
        1 => (sim.duplication, sim.delay.1) = (0.2, sim.random.u64(5_000..200_000)),
        2 => {
            let some: Vec<_> = (0..all).filter(|_| sim.random.bool()).collect();
            sim.isolate(&some);
        }
        3 => {
            let (from, to) = (sim.random.u16(..voters), sim.random.u16(..all));
            sim.cut.insert((from, to));
        }
        4 => sim.cut.clear(),
        5 => {
            let number = sim.random.u16(..voters);
            let stalled = &mut sim.balancers[number as usize].stalled;
            *stalled = !*stalled;
        }
        6 if away.is_none() => {
            let number = sim.random.u16(..voters);
            // Once in a life of a fleet a disk is lost, or an old copy comes back: taken now, put in place later.
            let replaced = !sim.disk_replaced && sim.random.bool();
            let old = match sim.random.bool() {
                true => sim.balancers[number as usize].disk.copy(),
                false => Disk::default(),
            };
            if replaced {
                sim.disk_replaced = true;
            } else {
                sim.stop(number);
            }
            *away = Some((number, replaced.then_some(old)));
        }
        7 => bring_back(sim, away),
        8 => {
            let number = sim.random.u16(voters..all);
            sim.start(number);
        }
        _ => {
            let number = sim.random.u16(..voters);
            if away.is_none() && sim.balancers[number as usize].node.is_some() {
                sim.start(number);
            }
        }
    }
}

fn bring_back(sim: &mut Sim, away: &mut Option<(NodeId, Option<Disk>)>) {
    if let Some((number, old)) = away.take() {
        if let Some(old) = old {
            sim.stop(number);
            sim.balancers[number as usize].disk = old;
        }
        sim.start(number);
    }
}

/// Ends all faults.
pub fn end_faults(sim: &mut Sim, away: &mut Option<(NodeId, Option<Disk>)>) {
    bring_back(sim, away);
    (sim.loss, sim.duplication, sim.delay) = (0.0, 0.0, (500, 15_000));
    sim.cut.clear();
    sim.balancers.iter_mut().for_each(|balancer| balancer.stalled = false);
    sim.run(3 * SECOND);
}
