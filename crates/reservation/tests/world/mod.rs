//! A fleet on virtual clocks: 300 holders, a leader, a log, and a network that loses, doubles, delays and reorders.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use std::collections::{BTreeMap, HashMap};

use reservation::*;

pub const SECOND: Micros = 1_000_000;
pub const STEP: Micros = 10_000;
pub const START: Micros = 1_000 * SECOND;
pub const TENANT: Tenant = Tenant(7);

enum Message {
    Request(SliceRequest),
    LearnUpTo(usize, usize),
    Commit(Proposal, Micros),
}

pub struct Node {
    pub holder: Holder,
    rate: f64,
    offset: Micros,
    pub stalled_until: Micros,
    pub up: bool,
    pub book: ReservationBook,
    pub admission: Admission,
    grant: Option<(Micros, Micros, Micros)>,
}

pub struct World {
    pub now: Micros,
    pub random: fastrand::Rng,
    pub log: Vec<(Micros, Proposal)>,
    pub nodes: Vec<Node>,
    pub leader: usize,
    allocator: SliceAllocator,
    leader_skew: Micros,
    pub truth: ReservationBook,
    pub answers: HashMap<u64, Outcome>,
    /// When each entry was agreed, in true time.
    pub agreed: Vec<Micros>,
    messages: BTreeMap<(Micros, u64), Message>,
    sent: u64,
    pub loss: f64,
    pub delay: Micros,
}

impl World {
    pub fn new(seed: u64, balancers: u16, loss: f64, delay: Micros) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let nodes: Vec<_> = (0..balancers).map(|number| Node::new(number, &mut random)).collect();
        let allocator = SliceAllocator::new(nodes[0].holder, nodes[0].clock(START), 0);
        let mut world = Self {
            now: START,
            random,
            log: vec![],
            nodes,
            leader: 0,
            allocator,
            leader_skew: 0,
            truth: ReservationBook::default(),
            answers: HashMap::new(),
            agreed: vec![],
            messages: BTreeMap::new(),
            sent: 0,
            loss,
            delay,
        };
        world.commit(Proposal::SetFleetSize(balancers), START);
        world
    }

    fn send(&mut self, message: Message, delay: Micros) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    fn some_delay(&mut self) -> Micros {
        let long = self.loss > 0.0 && self.random.f64() < 0.02;
        self.random.u64(1_000..=self.delay) * if long { 20 } else { 1 }
    }

    fn lost(&mut self) -> bool {
        self.random.f64() < self.loss
    }

    pub fn commit(&mut self, proposal: Proposal, stamp: Micros) {
        let last = self.log.last().map_or(0, |(at, _)| *at);
        let at = stamp.max(last + 1);
        self.log.push((at, proposal));
        self.agreed.push(self.now);
        let (at, proposal) = self.log.last().cloned().expect("just put");
        let answer = self.truth.apply(self.log.len() as u64, at, &proposal);
        self.note(&proposal, answer);
        let length = self.log.len();
        for node in 0..self.nodes.len() {
            for _ in 0..if self.loss > 0.0 { 2 } else { 1 } {
                if !self.lost() {
                    let delay = self.some_delay();
                    self.send(Message::LearnUpTo(node, length), delay);
                }
            }
        }
    }

    /// Every replica's answer to a name has to be the first one.
    fn note(&mut self, proposal: &Proposal, answer: Outcome) {
        if let Proposal::Book(request) = proposal {
            let first = self.answers.entry(request.id.0).or_insert_with(|| answer.clone());
            assert_eq!(*first, answer, "a second answer for {:?}", request.id);
        }
    }

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
        self.nodes[node].up = false;
    }

    pub fn restart(&mut self, node: usize) {
        let book = ReservationBook::restore(&self.nodes[node].book.snapshot()).expect("its own snapshot");
        let mut fresh = Node::new(node as u16, &mut self.random);
        fresh.book = book;
        self.nodes[node] = fresh;
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
                self.send(Message::LearnUpTo(node, self.log.len()), 20_000);
            }
        }
        for node in 0..self.nodes.len() {
            self.turn(node);
        }
        self.lead();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(request) if self.nodes[self.leader].runs(self.now) => {
                let clock = self.nodes[self.leader].clock(self.now);
                self.allocator.handle_request(clock, request);
            }
            Message::Request(_) => {}
            Message::Commit(proposal, stamp) => self.commit(proposal, stamp),
            Message::LearnUpTo(node, length) if self.nodes[node].runs(self.now) => self.learn(node, length),
            Message::LearnUpTo(..) => {}
        }
    }

    fn learn(&mut self, at: usize, length: usize) {
        let known = self.nodes[at].book.revision() as usize;
        for index in known..length {
            let (stamp, proposal) = self.log[index].clone();
            let now = self.now;
            let node = &mut self.nodes[at];
            let answer = node.book.apply(index as u64 + 1, stamp, &proposal);
            if let Proposal::AllocateSlices(slices) = &proposal
                && let Some(mine) = slices.renewals.iter().find(|renewal| renewal.holder == node.holder)
            {
                node.grant = Some((stamp, mine.requested_at, node.clock(now)));
            }
            self.note(&proposal, answer);
            if at == self.leader {
                let node = &self.nodes[at];
                self.allocator.handle_applied(node.clock(now), &node.book);
            }
        }
        self.nodes[at].refresh(self.now);
    }

    fn turn(&mut self, at: usize) {
        let now = self.now;
        if !self.nodes[at].runs(now) {
            return;
        }
        let node = &mut self.nodes[at];
        if now.is_multiple_of(200_000) {
            node.refresh(now);
        }
        let (clock, applied) = (node.clock(now), node.book.revision());
        let Some(request) = node.admission.poll_request(clock, applied) else { return };
        for _ in 0..if self.loss > 0.0 && self.random.f64() < 0.2 { 2 } else { 1 } {
            if !self.lost() {
                let delay = self.some_delay();
                self.send(Message::Request(request.clone()), delay);
            }
        }
    }

    fn lead(&mut self) {
        let node = &self.nodes[self.leader];
        if !node.runs(self.now) {
            return;
        }
        let stamp = self.fleet_now();
        let Some(proposal) = self.allocator.poll(node.clock(self.now), stamp, &node.book) else { return };
        for _ in 0..if self.loss > 0.0 && self.random.f64() < 0.1 { 2 } else { 1 } {
            if !self.lost() {
                let delay = 20_000 + self.some_delay();
                self.send(Message::Commit(proposal.clone(), stamp), delay);
            }
        }
    }

    /// What all holders together may use, each by its own reading.
    pub fn usable(&self, id: BookingId) -> Rate {
        let running = self.nodes.iter().filter(|node| node.runs(self.now));
        let each = running.map(|node| node.admission.usable_rate(node.clock(self.now), id));
        each.fold(Rate::default(), |sum, rate| sum.zip_with(rate, |a, b| a + b))
    }

    /// `requests` reads come in at `node`; how many of them were booked.
    pub fn reads(&mut self, node: usize, requests: u64) -> u64 {
        let now = self.now;
        let node = &mut self.nodes[node];
        if !node.runs(now) {
            return 0;
        }
        let clock = node.clock(now);
        let admit = |_: &u64| {
            matches!(
                node.admission.admit(clock, TENANT, 1, RequestKind::Read),
                AdmissionDecision::Booked { .. }
            )
        };
        (0..requests).filter(admit).count() as u64
    }
}

impl Node {
    fn new(node_id: u16, random: &mut fastrand::Rng) -> Self {
        let holder = Holder { node_id, incarnation: random.u64(..) };
        let rate = 1.0 + (random.f64() - 0.5) / 1_001.0;
        let offset = random.u64(..1_000 * SECOND);
        let (book, admission) = (ReservationBook::default(), Admission::new(holder));
        Self { holder, rate, offset, stalled_until: 0, up: true, book, admission, grant: None }
    }

    pub fn clock(&self, now: Micros) -> Micros {
        self.offset + (now as f64 * self.rate) as Micros
    }

    pub fn runs(&self, now: Micros) -> bool {
        self.up && now >= self.stalled_until
    }

    fn refresh(&mut self, now: Micros) {
        let clock = self.clock(now);
        if let Some((stamp, asked, heard)) = self.grant {
            let time = TimeInterval { earliest: stamp + (clock - heard), latest: stamp + (clock - asked) };
            self.admission.refresh(clock, time, &self.book);
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
