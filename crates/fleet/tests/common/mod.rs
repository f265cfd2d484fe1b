//! A fleet on a virtual clock, with all its members and a network whose faults are drawn from a seed.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use agreement::{MemoryStore, Store, StoreChange as Written, StoredState};
use audit::lease::LeaseState;
use calendar::{
    Calendar, Change, ChangeKind, Entry, Freeze, Proposal, Scope, ScopeTarget, TimeInterval, Verdict,
};
use fleet::{FleetFile, FleetMember, MemberConfig, Micros, Output};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

pub const SECOND: Micros = 1_000_000;
/// Any monotonic clock's reading at the start; wall clocks are set apart from it and from one another.
const BEGIN: Micros = 1_000 * SECOND;
const UNIX: u64 = 1_764_600_000 * SECOND;

/// Datagrams recorded at most.
const RECORDED: usize = 4_000;

enum Event {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Timer(usize, u32, membership::Timer),
    Tick(usize, u32),
}

struct Due(Micros, u64, Event);
impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A store that survives the process, as a disk does.
#[derive(Clone, Default)]
pub struct Disk(Rc<RefCell<MemoryStore>>);

impl Store for Disk {
    type Error = Infallible;
    fn load(&mut self) -> Result<StoredState, Infallible> {
        self.0.borrow_mut().load()
    }
    fn write(&mut self, changes: &[Written]) -> Result<(), Infallible> {
        self.0.borrow_mut().write(changes)
    }
}

pub struct Site {
    pub now: Micros,
    pub members: Vec<Option<FleetMember<Disk>>>,
    /// Microseconds in a million that each monotonic clock runs fast.
    pub rates: Vec<i64>,
    /// Microseconds that each wall clock is off.
    pub clocks: Vec<i64>,
    pub loss: f64,
    /// Pairs (from, to) that nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub stopped: BTreeSet<usize>,
    pub sent: u64,
    pub bytes: u64,
    /// The first datagrams sent.
    pub recorded: Vec<Vec<u8>>,
    /// What each core holds of the calendar.
    pub calendars: Vec<Calendar>,
    /// When each revision of the calendar was first applied anywhere, and as what.
    pub decided: BTreeMap<u64, (Micros, Calendar)>,
    /// When each revision of the log was first applied anywhere; the first is revision 1.
    pub applied: Vec<Micros>,
    /// Revisions at which two calendars were not the same, and where.
    pub diverged: Vec<(u64, usize)>,
    /// Members of the council that said that they cannot vote.
    pub blocked_voters: BTreeSet<usize>,
    /// The balancer whose tick is looked at.
    pub ticked: usize,
    pub seed: u64,
    file: FleetFile,
    incarnations: Vec<u32>,
    disks: Vec<Disk>,
    random: fastrand::Rng,
    due: BinaryHeap<Reverse<Due>>,
    number: u64,
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7100).into()
}

fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!() };
    let [.., hundreds, last] = address.ip().octets();
    usize::from(hundreds) * 250 + usize::from(last) - 1
}

pub fn text(count: usize, council: usize, lease: &str) -> String {
    let mut text = format!("[fleet]\nname = \"test\"\nlease = \"{lease}\"\n");
    for n in 0..count {
        text += &format!(
            "[[balancer]]\nnumber = {n}\nname = \"n{n}\"\naddress = \"{}\"\nzone = \"{}\"\ncouncil = {}\n",
            address(n),
            ["a", "b", "c"][n % 3],
            n < council
        );
    }
    text
}

impl Site {
    pub fn new(count: usize, council: usize, lease: &str, seed: u64) -> Self {
        let mut it = Self {
            now: BEGIN,
            members: (0..count).map(|_| None).collect(),
            rates: vec![0; count],
            clocks: vec![0; count],
            loss: 0.0,
            cut: BTreeSet::new(),
            stopped: BTreeSet::new(),
            sent: 0,
            bytes: 0,
            recorded: Vec::new(),
            calendars: vec![Calendar::new(0); count],
            decided: BTreeMap::new(),
            applied: Vec::new(),
            diverged: Vec::new(),
            blocked_voters: BTreeSet::new(),
            ticked: 0,
            seed,
            file: FleetFile::parse("fleet.toml", &text(count, council, lease)).unwrap(),
            incarnations: vec![0; count],
            disks: vec![Disk::default(); count],
            random: fastrand::Rng::with_seed(seed),
            due: BinaryHeap::new(),
            number: 0,
        };
        (0..count).for_each(|n| it.start_empty(n));
        it
    }

    /// Starts a balancer with an empty store.
    pub fn start_empty(&mut self, n: usize) {
        self.disks[n] = Disk::default();
        self.start(n);
    }

    /// Starts a balancer with its present store.
    pub fn start(&mut self, n: usize) {
        self.blocked_voters.remove(&n);
        self.incarnations[n] += 1;
        let config = MemberConfig {
            node_id: n as u16,
            incarnation: self.unix(n),
            store: self.disks[n].clone(),
            seed: self.random.u64(..),
        };
        self.members[n] = Some(FleetMember::new(self.file.clone(), config, self.local(n)));
        let after = self.random.u64(0..agreement::TICK_INTERVAL_US);
        self.push(after, Event::Tick(n, self.incarnations[n]));
        self.carry_out(n);
    }

    /// What a balancer's disk holds.
    pub fn disk(&self, n: usize) -> Disk {
        self.disks[n].clone()
    }

    pub fn kill(&mut self, n: usize) {
        self.members[n] = None;
        self.incarnations[n] += 1;
    }

    /// What the monotonic clock of a balancer shows.
    pub fn local(&self, n: usize) -> Micros {
        self.now.saturating_add_signed((self.now - BEGIN) as i64 * self.rates[n] / 1_000_000)
    }

    fn unix(&self, n: usize) -> u64 {
        (UNIX + self.now - BEGIN).saturating_add_signed(self.clocks[n])
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.number += 1;
        self.due.push(Reverse(Due(self.now + after, self.number, event)));
    }

    fn carry_out(&mut self, n: usize) {
        while let Some(output) = self.members[n].as_mut().and_then(FleetMember::poll) {
            match output {
                Output::Send { to, datagram: bytes } => {
                    self.sent += 1;
                    self.bytes += bytes.len() as u64;
                    if self.recorded.len() < RECORDED {
                        self.recorded.push(bytes.clone());
                    }
                    let to = number(to);
                    if self.random.f64() >= self.loss && !self.cut.contains(&(n, to)) {
                        let after = self.random.u64(200..3_000);
                        self.push(after, Event::Datagram { from: n, to, bytes });
                    }
                }
                Output::SetTimer { after, timer } => {
                    self.push(after, Event::Timer(n, self.incarnations[n], timer))
                }
                Output::CalendarChanged(calendar) => self.note(n, *calendar),
                Output::VotingBlocked(_) => _ = self.blocked_voters.insert(n),
                _ => {}
            }
        }
        let applied = self.members[n].as_ref().map_or(0, |member| member.revision() as usize);
        if applied > self.applied.len() {
            self.applied.resize(applied, self.now);
        }
    }

    fn note(&mut self, n: usize, calendar: Calendar) {
        let first = self.decided.entry(calendar.revision()).or_insert_with(|| (self.now, calendar.clone()));
        if first.1 != calendar {
            self.diverged.push((calendar.revision(), n));
        }
        self.calendars[n] = calendar;
    }

    pub fn run(&mut self, span: Micros) {
        self.run_watching(span, |_| {});
    }

    /// Plays on; `look` sees the fleet after each tick of a balancer.
    pub fn run_watching(&mut self, span: Micros, mut look: impl FnMut(&mut Self)) {
        let until = self.now + span;
        while let Some(Reverse(Due(at, ..))) = self.due.peek().filter(|due| due.0.0 <= until) {
            self.now = *at;
            let Some(Reverse(Due(.., event))) = self.due.pop() else { break };
            match event {
                Event::Datagram { to, .. } | Event::Timer(to, ..) | Event::Tick(to, ..)
                    if self.stopped.contains(&to) =>
                {
                    self.push(SECOND / 5, event); // it lies in its socket, or is late
                }
                Event::Datagram { from, to, bytes } => {
                    let local = self.local(to);
                    if let Some(member) = &mut self.members[to] {
                        member.handle_datagram(local, address(from), &bytes);
                        self.carry_out(to);
                    }
                }
                Event::Timer(n, incarnation, timer) => {
                    let local = self.local(n);
                    if let Some(member) =
                        self.members[n].as_mut().filter(|_| self.incarnations[n] == incarnation)
                    {
                        member.handle_timer(local, timer);
                        self.carry_out(n);
                    }
                }
                Event::Tick(n, incarnation) => {
                    let (unix, local) = (self.unix(n), self.local(n));
                    if let Some(member) =
                        self.members[n].as_mut().filter(|_| self.incarnations[n] == incarnation)
                    {
                        member.tick(local, unix);
                        self.carry_out(n);
                        self.push(agreement::TICK_INTERVAL_US, Event::Tick(n, incarnation));
                        self.ticked = n;
                        look(self);
                    }
                }
            }
        }
        self.now = until;
    }

    pub fn isolate(&mut self, some: impl IntoIterator<Item = usize>) {
        let some: BTreeSet<usize> = some.into_iter().collect();
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if some.contains(&from) != some.contains(&to) {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    pub fn lease_state(&self, n: usize) -> Option<LeaseState> {
        self.members[n].as_ref().map(|member| member.lease().state(self.local(n)).0)
    }

    pub fn all_have_state(&self, lease_state: LeaseState) -> bool {
        (0..self.members.len())
            .filter(|n| !self.stopped.contains(n))
            .filter_map(|n| self.lease_state(n))
            .all(|it| it == lease_state)
    }

    /// Plays until it is so; yields how long that took.
    pub fn run_until(&mut self, most: Micros, mut so: impl FnMut(&Self) -> bool) -> Micros {
        let from = self.now;
        while !so(self) {
            assert!(self.now - from < most, "not so within {most} us, seed {}", self.seed);
            self.run(SECOND / 20);
        }
        self.now - from
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            self.members[*n].as_ref().is_some_and(|it| it.view(self.local(*n))["leader"] == format!("n{n}"))
        };
        (0..7.min(self.members.len())).filter(|n| !self.stopped.contains(n)).find(leads)
    }
}

/// Whether this balancer, as its core would, takes a host in by plan now.
pub fn accepts_join(site: &Site, n: usize) -> bool {
    let Some(member) = &site.members[n] else { return false };
    let (lease, now) = (member.lease(), site.local(n));
    let lease_state = match lease.state(now).0 {
        LeaseState::Held => calendar::LeaseState::Held,
        LeaseState::Fenced => calendar::LeaseState::Fenced,
        LeaseState::Orphaned => calendar::LeaseState::Orphaned,
    };
    let span = lease.fleet_time(now);
    let span =
        span.map(|it| TimeInterval { earliest: it.earliest / 1_000, latest: it.latest.div_ceil(1_000) });
    let join = Change::of_host(ChangeKind::Join, "s-9", "a");
    matches!(site.calendars[n].check(span, lease_state, &join), Verdict::Allow { .. })
}

/// A freeze of the whole fleet from the first day of the test on.
pub fn freeze(id: &str) -> Proposal {
    Proposal::Add(Entry::Freeze(Freeze {
        id: id.into(),
        reason: "permit deadline".into(),
        asked_by: "valle-alto".into(),
        start: "2025-11-01T00:00".parse().unwrap(),
        end: "2026-01-31T00:00".parse().unwrap(),
        zone: "America/Mexico_City".into(),
        exceptions: Vec::new(),
        scope: Scope { kinds: ChangeKind::PLANNED.to_vec(), place: ScopeTarget::Fleet },
        repeat: None,
    }))
}
