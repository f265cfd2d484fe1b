//! A fleet on a virtual clock, with a network that loses, delays and duplicates datagrams and cuts links.

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

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A first incarnation as owners set it: Unix microseconds, nine bytes on the wire.
pub const INCARNATION: u64 = 1_760_000_000_000_000;

/// Faults of the network.
pub struct Faults {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The range of random delays, which reorder datagrams.
    pub delay: std::ops::Range<Micros>,
    /// Whether the link from the first member to the second is cut.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
}

pub fn address(number: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 7_000).into()
}

enum Event {
    Datagram(usize, Bytes),
    /// A timer, with its process and the number of that process's starts when it was set.
    Timer(usize, u64, Timer),
}

struct Process {
    membership: Option<Membership>,
    starts: u64,
    stalled_until: Micros,
    stall_duration: Micros,
    queued: Vec<Event>,
}

pub struct Fleet {
    pub now: Micros,
    pub faults: Faults,
    pub random: fastrand::Rng,
    pub log: Vec<(Micros, usize, Action)>,
    pub reports_stalls: bool,
    /// The datagrams sent since a test began to capture them, with their destinations.
    pub captured: Option<Vec<(usize, Bytes)>>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    last_event_id: u64,
    processes: Vec<Process>,
    stalled: BTreeSet<usize>,
}

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        let process = || Process {
            membership: None,
            starts: 0,
            stalled_until: 0,
            stall_duration: 0,
            queued: Vec::new(),
        };
        Self {
            now: 1_000 * SECOND,
            faults: Faults { loss: 0.0, duplication: 0.0, delay: 200..2_000, cut: Box::new(|_, _| false) },
            random: fastrand::Rng::with_seed(seed),
            log: Vec::new(),
            reports_stalls: true,
            captured: None,
            queue: BinaryHeap::new(),
            events: Default::default(),
            last_event_id: 0,
            processes: (0..size).map(|_| process()).collect(),
            stalled: BTreeSet::new(),
        }
    }

    /// Creates a fleet in which every member sees all others.
    pub fn converged(size: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, seed);
        for number in 0..size {
            fleet.start(number, INCARNATION);
        }
        let converged_after = fleet.converges_within(10 * SECOND);
        assert!(converged_after.is_some(), "seed {seed}: {size} members did not converge within 10 s");
        fleet.run(12 * SECOND);
        fleet.log.clear();
        fleet
    }

    /// Starts a process with this number, which joins through the first three members.
    pub fn start(&mut self, number: usize, incarnation: u64) {
        let slots = (0..self.processes.len())
            .map(|n| (n as u16, MemberSlot { address: address(n), zone: (n % 3) as u16 }));
        let local = Member {
            number: number as u16,
            incarnation,
            address: address(number),
            zone: (number % 3) as u16,
        };
        let roster: Roster = slots.collect();
        let seed = self.random.u64(..);
        let process = &mut self.processes[number];
        process.starts += 1;
        process.stalled_until = 0;
        self.stalled.remove(&number);
        process.queued.clear();
        process.membership = Some(Membership::new(local, roster, Settings::default(), seed));
        self.drive(number, |it, now| it.join(now, &[address(0), address(1), address(2)]));
    }

    pub fn crash(&mut self, number: usize) {
        self.processes[number].membership = None;
    }

    /// Takes a process out of the fleet, for a test to drive it directly.
    pub fn take_process(&mut self, number: usize) -> Membership {
        self.processes[number].membership.take().expect("the process must be running")
    }

    pub fn leave(&mut self, number: usize) {
        self.drive(number, |it, now| it.leave(now));
        self.crash(number);
    }

    /// Stalls a process. Its events are queued until it resumes.
    pub fn stall(&mut self, number: usize, duration: Micros) {
        self.processes[number].stall_duration = duration;
        self.stalled.insert(number);
        self.processes[number].stalled_until = self.now + duration;
    }

    /// Passes an input to a member and carries out its actions.
    pub fn drive(&mut self, number: usize, input: impl FnOnce(&mut Membership, Micros)) {
        let Some(membership) = &mut self.processes[number].membership else { return };
        input(membership, self.now);
        let mut actions = Vec::new();
        while let Some(action) = membership.poll() {
            actions.push(action);
        }
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.transmit(number, to, datagram),
                Action::Timer { after, timer } => {
                    let event = Event::Timer(number, self.processes[number].starts, timer);
                    self.schedule(after, event);
                }
                other => self.log.push((self.now, number, other)),
            }
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, datagram: Bytes) {
        assert!(
            datagram.len() <= membership::MAX_DATAGRAM,
            "a datagram has {} bytes, more than {}",
            datagram.len(),
            membership::MAX_DATAGRAM
        );
        let SocketAddr::V4(address) = to else { panic!("{to} is not on the roster") };
        let [_, _, high, low] = address.ip().octets();
        let to = usize::from(u16::from_be_bytes([high, low]));
        if let Some(captured) = &mut self.captured {
            captured.push((to, datagram.clone()));
        }
        if (self.faults.cut)(from, to) || self.random.f64() < self.faults.loss {
            return;
        }
        let copies = 1 + usize::from(self.random.f64() < self.faults.duplication);
        for _ in 0..copies {
            let delay = self.random.u64(self.faults.delay.clone());
            self.schedule(delay, Event::Datagram(to, datagram.clone()));
        }
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue.push(Reverse((self.now + after, self.last_event_id)));
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let event = self.queue.peek().map_or(end, |Reverse((at, _))| *at).min(end);
            let resume = self.stalled.iter().copied().min_by_key(|&n| self.processes[n].stalled_until);
            if let Some(number) = resume.filter(|&n| self.processes[n].stalled_until <= event) {
                self.resume(number);
                continue;
            }
            self.now = event;
            if event == end {
                return;
            }
            let Some(Reverse((_, id))) = self.queue.pop() else { return };
            let event = self.events.remove(&id).expect("every queue entry must have an event");
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: Event) {
        let number = match &event {
            Event::Datagram(to, _) => *to,
            Event::Timer(of, starts, _) if self.processes[*of].starts == *starts => *of,
            Event::Timer(..) => return,
        };
        if self.processes[number].stalled_until > 0 {
            self.processes[number].queued.push(event);
            return;
        }
        match event {
            Event::Datagram(_, datagram) => self.drive(number, |it, now| it.handle_datagram(now, &datagram)),
            Event::Timer(_, _, timer) => self.drive(number, |it, now| it.handle_timer(now, timer)),
        }
    }

    /// Resumes a process. It handles its timers first, then the 200 datagrams that fit the buffer of its socket.
    fn resume(&mut self, number: usize) {
        self.now = self.now.max(self.processes[number].stalled_until);
        self.processes[number].stalled_until = 0;
        self.stalled.remove(&number);
        let (timers, mut datagrams): (Vec<_>, Vec<_>) = std::mem::take(&mut self.processes[number].queued)
            .into_iter()
            .partition(|it| matches!(it, Event::Timer(..)));
        datagrams.truncate(200);
        if self.reports_stalls {
            let duration = self.processes[number].stall_duration;
            self.drive(number, |it, now| it.handle_stall(now, duration));
        }
        for event in timers.into_iter().chain(datagrams) {
            self.dispatch(event);
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|&n| self.processes[n].membership.is_some()).collect()
    }

    pub fn member(&self, number: usize) -> &Membership {
        self.processes[number].membership.as_ref().expect("the process must be running")
    }

    pub fn counters(&self) -> Vec<Counters> {
        self.running().iter().map(|&n| self.member(n).counters()).collect()
    }

    /// Returns the running members whose member list differs from the running members and their incarnations.
    pub fn members_with_wrong_view(&self) -> Vec<usize> {
        let running = self.running();
        let expected: BTreeSet<(u16, u64)> =
            running.iter().map(|&n| self.number_and_incarnation(n)).collect();
        let has_right_view = |n: &usize| {
            self.member(*n).members().map(|it| (it.number, it.incarnation)).eq(expected.iter().copied())
        };
        running.into_iter().filter(|n| !has_right_view(n)).collect()
    }

    fn number_and_incarnation(&self, number: usize) -> (u16, u64) {
        let local = self.member(number).local_member();
        (local.number, local.incarnation)
    }

    /// Runs until every member has the right view. Returns the time that this took; `None` if it exceeds `span`.
    pub fn converges_within(&mut self, span: Micros) -> Option<Micros> {
        let start = self.now;
        while self.now < start + span {
            self.run(100 * MILLISECOND);
            if self.members_with_wrong_view().is_empty() {
                return Some(self.now - start);
            }
        }
        None
    }
}
