//! A simulated fleet on virtual clocks: holders, a leader, a log, and a network that loses, duplicates, delays and
//! reorders messages.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use std::collections::{BTreeMap, HashMap};

use reservation::*;

pub const SECOND: Micros = 1_000_000;
pub const STEP: Micros = 10_000;
pub const START: Micros = 1_000 * SECOND;
pub const TENANT: Tenant = Tenant(7);

enum Message {
    Request(SliceRequest),
    /// Makes a node apply the log up to a length.
    ApplyUpTo(usize, usize),
    Commit(Proposal, Micros),
}

pub struct Node {
    pub holder: Holder,
    clock_rate: f64,
    clock_offset: Micros,
    pub stalled_until: Micros,
    pub is_up: bool,
    pub book: ReservationBook,
    pub admission: Admission,
    last_grant: Option<AppliedGrant>,
}

/// A lease renewal that its holder has applied.
struct AppliedGrant {
    /// Fleet time of the log entry.
    stamp: Micros,
    /// When the lease was requested, on the holder's clock.
    requested_at: Micros,
    /// When the entry was applied, on the holder's clock.
    applied_at: Micros,
}

pub struct Simulation {
    pub now: Micros,
    pub random: fastrand::Rng,
    pub log: Vec<(Micros, Proposal)>,
    pub nodes: Vec<Node>,
    pub leader: usize,
    allocator: SliceAllocator,
    leader_skew: Micros,
    /// The book with all committed entries applied.
    pub committed_book: ReservationBook,
    /// The first outcome of each booking request.
    pub outcomes: HashMap<u64, Outcome>,
    /// When each entry was committed, in simulated time.
    pub committed_at: Vec<Micros>,
    messages: BTreeMap<(Micros, u64), Message>,
    sent: u64,
    pub loss: f64,
    pub delay: Micros,
}

impl Simulation {
    pub fn new(seed: u64, balancers: u16, loss: f64, delay: Micros) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let nodes: Vec<_> = (0..balancers).map(|number| Node::new(number, &mut random)).collect();
        let allocator = SliceAllocator::new(nodes[0].holder, nodes[0].clock(START), 0);
        let mut simulation = Self {
            now: START,
            random,
            log: vec![],
            nodes,
            leader: 0,
            allocator,
            leader_skew: 0,
            committed_book: ReservationBook::default(),
            outcomes: HashMap::new(),
            committed_at: vec![],
            messages: BTreeMap::new(),
            sent: 0,
            loss,
            delay,
        };
        simulation.commit(Proposal::SetFleetSize(balancers), START);
        simulation
    }

    fn send(&mut self, message: Message, delay: Micros) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    /// Draws the delay of a message. With message loss, one message in fifty takes twenty times as long.
    fn random_delay(&mut self) -> Micros {
        let is_slow = self.loss > 0.0 && self.random.f64() < 0.02;
        self.random.u64(1_000..=self.delay) * if is_slow { 20 } else { 1 }
    }

    /// Draws whether a message is lost.
    fn is_lost(&mut self) -> bool {
        self.random.f64() < self.loss
    }

    pub fn commit(&mut self, proposal: Proposal, stamp: Micros) {
        let last = self.log.last().map_or(0, |(at, _)| *at);
        let at = stamp.max(last + 1);
        self.log.push((at, proposal));
        self.committed_at.push(self.now);
        let (at, proposal) = self.log.last().cloned().expect("an entry was pushed above");
        let outcome = self.committed_book.apply(self.log.len() as u64, at, &proposal);
        self.check_outcome(&proposal, outcome);
        let length = self.log.len();
        for node in 0..self.nodes.len() {
            for _ in 0..if self.loss > 0.0 { 2 } else { 1 } {
                if !self.is_lost() {
                    let delay = self.random_delay();
                    self.send(Message::ApplyUpTo(node, length), delay);
                }
            }
        }
    }

    /// Checks that every replica and every repetition gives a booking the same outcome.
    fn check_outcome(&mut self, proposal: &Proposal, outcome: Outcome) {
        if let Proposal::Book(request) = proposal {
            let first = self.outcomes.entry(request.id.0).or_insert_with(|| outcome.clone());
            assert_eq!(*first, outcome, "a second outcome for {:?}", request.id);
        }
    }

    /// The current fleet time, as the leader would stamp an entry.
    pub fn fleet_now(&self) -> Micros {
        self.now + self.leader_skew
    }

    pub fn propose(&mut self, proposal: Proposal) {
        let stamp = self.fleet_now();
        self.commit(proposal, stamp);
    }

    pub fn change_leader(&mut self) {
        self.leader = self.random.usize(..self.nodes.len().min(5));
        self.leader_skew = if self.loss > 0.0 { self.random.u64(..3) * SECOND } else { 0 };
        let node = &self.nodes[self.leader];
        self.allocator = SliceAllocator::new(
            Holder { incarnation: self.random.u64(..), ..node.holder },
            node.clock(self.now),
            node.book.revision(),
        );
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    pub fn restart(&mut self, node: usize) {
        let book = ReservationBook::restore(&self.nodes[node].book.snapshot())
            .expect("the node's own snapshot is valid");
        let mut restarted = Node::new(node as u16, &mut self.random);
        restarted.book = book;
        self.nodes[node] = restarted;
        if node == self.leader {
            self.change_leader();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let later = self.messages.split_off(&(self.now + 1, 0));
        for (_, message) in std::mem::replace(&mut self.messages, later) {
            self.deliver(message);
        }
        if self.now.is_multiple_of(250_000) {
            for node in 0..self.nodes.len() {
                self.send(Message::ApplyUpTo(node, self.log.len()), 20_000);
            }
        }
        for node in 0..self.nodes.len() {
            self.run_node(node);
        }
        self.run_leader();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(request) if self.nodes[self.leader].is_running(self.now) => {
                let clock = self.nodes[self.leader].clock(self.now);
                self.allocator.handle_request(clock, request);
            }
            Message::Request(_) => {}
            Message::Commit(proposal, stamp) => self.commit(proposal, stamp),
            Message::ApplyUpTo(node, length) if self.nodes[node].is_running(self.now) => {
                self.apply_log(node, length)
            }
            Message::ApplyUpTo(..) => {}
        }
    }

    /// Applies the log at a node up to `length` entries.
    fn apply_log(&mut self, at: usize, length: usize) {
        let applied = self.nodes[at].book.revision() as usize;
        for index in applied..length {
            let (stamp, proposal) = self.log[index].clone();
            let now = self.now;
            let node = &mut self.nodes[at];
            let outcome = node.book.apply(index as u64 + 1, stamp, &proposal);
            if let Proposal::AllocateSlices(allocation) = &proposal
                && let Some(renewal) =
                    allocation.renewals.iter().find(|renewal| renewal.holder == node.holder)
            {
                let requested_at = renewal.requested_at;
                node.last_grant = Some(AppliedGrant { stamp, requested_at, applied_at: node.clock(now) });
            }
            self.check_outcome(&proposal, outcome);
            if at == self.leader {
                let node = &self.nodes[at];
                self.allocator.handle_applied(node.clock(now), &node.book);
            }
        }
        self.nodes[at].refresh(self.now);
    }

    fn run_node(&mut self, at: usize) {
        let now = self.now;
        if !self.nodes[at].is_running(now) {
            return;
        }
        let node = &mut self.nodes[at];
        if now.is_multiple_of(200_000) {
            node.refresh(now);
        }
        let (clock, applied) = (node.clock(now), node.book.revision());
        let Some(request) = node.admission.poll_request(clock, applied) else { return };
        for _ in 0..if self.loss > 0.0 && self.random.f64() < 0.2 { 2 } else { 1 } {
            if !self.is_lost() {
                let delay = self.random_delay();
                self.send(Message::Request(request.clone()), delay);
            }
        }
    }

    fn run_leader(&mut self) {
        let node = &self.nodes[self.leader];
        if !node.is_running(self.now) {
            return;
        }
        let stamp = self.fleet_now();
        let Some(proposal) = self.allocator.poll(node.clock(self.now), stamp, &node.book) else { return };
        for _ in 0..if self.loss > 0.0 && self.random.f64() < 0.1 { 2 } else { 1 } {
            if !self.is_lost() {
                let delay = 20_000 + self.random_delay();
                self.send(Message::Commit(proposal.clone(), stamp), delay);
            }
        }
    }

    /// The sum of the rates that all running holders may use of a booking, according to their own state.
    pub fn total_usable_rate(&self, id: BookingId) -> Rate {
        let running = self.nodes.iter().filter(|node| node.is_running(self.now));
        let rates = running.map(|node| node.admission.usable_rate(node.clock(self.now), id));
        rates.fold(Rate::default(), |sum, rate| sum.zip_with(rate, |a, b| a + b))
    }

    /// Sends `requests` reads to `node`, and returns how many of them were admitted by a booking.
    pub fn admit_reads(&mut self, node: usize, requests: u64) -> u64 {
        let now = self.now;
        let node = &mut self.nodes[node];
        if !node.is_running(now) {
            return 0;
        }
        let clock = node.clock(now);
        let is_booked = |_: &u64| {
            matches!(
                node.admission.admit(clock, TENANT, 1, RequestKind::Read),
                AdmissionDecision::Booked { .. }
            )
        };
        (0..requests).filter(is_booked).count() as u64
    }
}

impl Node {
    fn new(node_id: u16, random: &mut fastrand::Rng) -> Self {
        let holder = Holder { node_id, incarnation: random.u64(..) };
        let clock_rate = 1.0 + (random.f64() - 0.5) / 1_001.0;
        let clock_offset = random.u64(..1_000 * SECOND);
        let (book, admission) = (ReservationBook::default(), Admission::new(holder));
        Self {
            holder,
            clock_rate,
            clock_offset,
            stalled_until: 0,
            is_up: true,
            book,
            admission,
            last_grant: None,
        }
    }

    pub fn clock(&self, now: Micros) -> Micros {
        self.clock_offset + (now as f64 * self.clock_rate) as Micros
    }

    pub fn is_running(&self, now: Micros) -> bool {
        self.is_up && now >= self.stalled_until
    }

    fn refresh(&mut self, now: Micros) {
        let clock = self.clock(now);
        if let Some(AppliedGrant { stamp, requested_at, applied_at }) = self.last_grant {
            let (earliest, latest) = (stamp + (clock - applied_at), stamp + (clock - requested_at));
            self.admission.refresh(clock, TimeInterval { earliest, latest }, &self.book);
        }
    }
}

pub fn capacity(from: Micros, reads: u64, fetches: u64) -> Proposal {
    let total = PerKind { reads: reads * 1_000, fetches: fetches * 1_000 };
    Proposal::SetCapacity(Capacity { from, total, baseline: vec![] })
}

pub fn request(id: u64, reads: u64, fetches: u64, windows: &[(Micros, Micros)]) -> BookingRequest {
    let rate = PerKind { reads: reads * 1_000, fetches: fetches * 1_000 };
    let windows = windows.iter().map(|&(from, to)| Span { from, to }).collect();
    BookingRequest { id: BookingId(id), tenant: TENANT, classes: RequestClasses(2), rate, windows }
}
