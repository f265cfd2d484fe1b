//! A fleet on a virtual clock, with a network that loses, delays, duplicates and cuts.

#![allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    reason = "shared by several test programs, each of which uses a part"
)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use membership::{Action, Counters, Member, MemberSlot, Membership, Micros, Roster, Settings, Timer};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// A first incarnation as owners choose it: Unix microseconds, nine bytes on the wire.
pub const INCARNATION: u64 = 1_760_000_000_000_000;

/// Faults of the network.
pub struct Faults {
    pub loss: f64,
    pub repeat: f64,
    /// The range of random delays, which reorder datagrams.
    pub delay: std::ops::Range<Micros>,
    /// Whether the link between two members is cut.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
}

pub fn address(number: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 7_000).into()
}

enum Event {
    Datagram(usize, Bytes),
    /// A timer, with the start of the process that set it.
    Timer(usize, u64, Timer),
}

struct Process {
    membership: Option<Membership>,
    starts: u64,
    stalled_until: Micros,
    gap: Micros,
    queued: Vec<Event>,
}

pub struct Fleet {
    pub now: Micros,
    pub faults: Faults,
    pub random: fastrand::Rng,
    pub log: Vec<(Micros, usize, Action)>,
    pub reports_stalls: bool,
    /// All datagrams sent, with their destination, if a test captures them.
    pub captured: Option<Vec<(usize, Bytes)>>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next: u64,
    all: Vec<Process>,
    stalled: BTreeSet<usize>,
}

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        let process =
            || Process { membership: None, starts: 0, stalled_until: 0, gap: 0, queued: Vec::new() };
        Self {
            now: 1_000 * S,
            faults: Faults { loss: 0.0, repeat: 0.0, delay: 200..2_000, cut: Box::new(|_, _| false) },
            random: fastrand::Rng::with_seed(seed),
            log: Vec::new(),
            reports_stalls: true,
            captured: None,
            queue: BinaryHeap::new(),
            events: Default::default(),
            next: 0,
            all: (0..size).map(|_| process()).collect(),
            stalled: BTreeSet::new(),
        }
    }

    /// A fleet whose members all see one another.
    pub fn converged(size: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, seed);
        for number in 0..size {
            fleet.start(number, INCARNATION);
        }
        let converged_after = fleet.converges_within(10 * S);
        assert!(converged_after.is_some(), "seed {seed}: {size} did not converge");
        fleet.run(12 * S);
        fleet.log.clear();
        fleet
    }

    /// Starts a process of this number, which joins through the first three.
    pub fn start(&mut self, number: usize, incarnation: u64) {
        let slots =
            (0..self.all.len()).map(|n| (n as u16, MemberSlot { address: address(n), zone: (n % 3) as u16 }));
        let me = Member {
            number: number as u16,
            incarnation,
            address: address(number),
            zone: (number % 3) as u16,
        };
        let roster: Roster = slots.collect();
        let seed = self.random.u64(..);
        let process = &mut self.all[number];
        process.starts += 1;
        process.stalled_until = 0;
        self.stalled.remove(&number);
        process.queued.clear();
        process.membership = Some(Membership::new(me, roster, Settings::default(), seed));
        self.with(number, |it, now| it.join(now, &[address(0), address(1), address(2)]));
    }

    pub fn crash(&mut self, number: usize) {
        self.all[number].membership = None;
    }

    /// Takes a process out of the fleet, for a test to drive it directly.
    pub fn take(&mut self, number: usize) -> Membership {
        self.all[number].membership.take().expect("a process that runs")
    }

    pub fn leave(&mut self, number: usize) {
        self.with(number, |it, now| it.leave(now));
        self.crash(number);
    }

    /// Stalls a process. Its events are queued meanwhile.
    pub fn stall(&mut self, number: usize, gap: Micros) {
        self.all[number].gap = gap;
        self.stalled.insert(number);
        self.all[number].stalled_until = self.now + gap;
    }

    /// Passes an input to a member and carries out its actions.
    pub fn with(&mut self, number: usize, input: impl FnOnce(&mut Membership, Micros)) {
        let Some(membership) = &mut self.all[number].membership else { return };
        input(membership, self.now);
        let mut actions = Vec::new();
        while let Some(action) = membership.poll() {
            actions.push(action);
        }
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.transmit(number, to, datagram),
                Action::Timer { after, timer } => {
                    let event = Event::Timer(number, self.all[number].starts, timer);
                    self.schedule(after, event);
                }
                other => self.log.push((self.now, number, other)),
            }
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, datagram: Bytes) {
        assert!(datagram.len() <= membership::MAX_DATAGRAM, "{} bytes", datagram.len());
        let SocketAddr::V4(address) = to else { panic!("{to} is not on the roster") };
        let [_, _, high, low] = address.ip().octets();
        let to = usize::from(u16::from_be_bytes([high, low]));
        if let Some(captured) = &mut self.captured {
            captured.push((to, datagram.clone()));
        }
        if (self.faults.cut)(from, to) || self.random.f64() < self.faults.loss {
            return;
        }
        let copies = 1 + usize::from(self.random.f64() < self.faults.repeat);
        for _ in 0..copies {
            let delay = self.random.u64(self.faults.delay.clone());
            self.schedule(delay, Event::Datagram(to, datagram.clone()));
        }
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + after, self.next)));
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let event = self.queue.peek().map_or(end, |Reverse((at, _))| *at).min(end);
            let resume = self.stalled.iter().copied().min_by_key(|&n| self.all[n].stalled_until);
            if let Some(number) = resume.filter(|&n| self.all[n].stalled_until <= event) {
                self.resume(number);
                continue;
            }
            self.now = event;
            if event == end {
                return;
            }
            let Some(Reverse((_, id))) = self.queue.pop() else { return };
            let event = self.events.remove(&id).expect("one event for each entry");
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: Event) {
        let number = match &event {
            Event::Datagram(to, _) => *to,
            Event::Timer(of, starts, _) if self.all[*of].starts == *starts => *of,
            Event::Timer(..) => return,
        };
        if self.all[number].stalled_until > 0 {
            self.all[number].queued.push(event);
            return;
        }
        match event {
            Event::Datagram(_, datagram) => self.with(number, |it, now| it.handle_datagram(now, &datagram)),
            Event::Timer(_, _, timer) => self.with(number, |it, now| it.handle_timer(now, timer)),
        }
    }

    /// Resumes a process: timers first, then the 200 datagrams that fit the buffer of a socket.
    fn resume(&mut self, number: usize) {
        self.now = self.now.max(self.all[number].stalled_until);
        self.all[number].stalled_until = 0;
        self.stalled.remove(&number);
        let (timers, mut datagrams): (Vec<_>, Vec<_>) = std::mem::take(&mut self.all[number].queued)
            .into_iter()
            .partition(|it| matches!(it, Event::Timer(..)));
        datagrams.truncate(200);
        if self.reports_stalls {
            let gap = self.all[number].gap;
            self.with(number, |it, now| it.handle_stall(now, gap));
        }
        for event in timers.into_iter().chain(datagrams) {
            self.dispatch(event);
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.all.len()).filter(|&n| self.all[n].membership.is_some()).collect()
    }

    pub fn member(&self, number: usize) -> &Membership {
        self.all[number].membership.as_ref().expect("a process that runs")
    }

    pub fn counts(&self) -> Vec<Counters> {
        self.running().iter().map(|&n| self.member(n).counters()).collect()
    }

    /// The running members whose view of the running members and their incarnations is wrong.
    pub fn wrong(&self) -> Vec<usize> {
        let running = self.running();
        let truth: BTreeSet<(u16, u64)> = running.iter().map(|&n| self.incarnation(n)).collect();
        let right = |n: &usize| {
            self.member(*n).members().map(|it| (it.number, it.incarnation)).eq(truth.iter().copied())
        };
        running.into_iter().filter(|n| !right(n)).collect()
    }

    fn incarnation(&self, number: usize) -> (u16, u64) {
        let me = self.member(number).local_member();
        (me.number, me.incarnation)
    }

    /// The time until all views are right, if within `span`.
    pub fn converges_within(&mut self, span: Micros) -> Option<Micros> {
        let start = self.now;
        while self.now < start + span {
            self.run(100 * MS);
            if self.wrong().is_empty() {
                return Some(self.now - start);
            }
        }
        None
    }
}
