//! Simulates a fleet on a virtual clock: all its members, and a network whose delays and losses a seed determines.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use agreement::{MemoryStore, Store, StoreChange, StoredState};
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
/// The reading of every monotonic clock at the start. Wall clocks differ from it and from one another.
const START: Micros = 1_000 * SECOND;
/// The reading of a correct wall clock at the start, in Unix microseconds.
const START_UNIX: u64 = 1_764_600_000 * SECOND;

/// The largest number of datagrams that are recorded.
const MAX_RECORDED_DATAGRAMS: usize = 4_000;

enum Event {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// A timer of a balancer, with the generation of its process.
    Timer(usize, u32, membership::Timer),
    /// A tick of a balancer, with the generation of its process.
    Tick(usize, u32),
}

/// An event with its time and a number that orders events of the same time.
struct ScheduledEvent(Micros, u64, Event);
impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A store that survives a restart of the process, as a disk does.
#[derive(Clone, Default)]
pub struct Disk(Rc<RefCell<MemoryStore>>);

impl Store for Disk {
    type Error = Infallible;
    fn load(&mut self) -> Result<StoredState, Infallible> {
        self.0.borrow_mut().load()
    }
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), Infallible> {
        self.0.borrow_mut().write(changes)
    }
}

pub struct Simulation {
    pub now: Micros,
    pub members: Vec<Option<FleetMember<Disk>>>,
    /// The error of each monotonic clock's rate, in parts per million. A positive error means that it runs fast.
    pub clock_rates_ppm: Vec<i64>,
    /// The error of each wall clock in microseconds.
    pub wall_clock_offsets_us: Vec<i64>,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The cut links, as pairs of sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The balancers whose processes are stopped. They resume with their state.
    pub stopped: BTreeSet<usize>,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    /// The first datagrams sent.
    pub recorded_datagrams: Vec<Vec<u8>>,
    /// The copy of the calendar that each balancer's core has.
    pub calendars: Vec<Calendar>,
    /// The time at which a balancer first applied each revision of the calendar, and the calendar at that revision.
    pub calendar_revisions: BTreeMap<u64, (Micros, Calendar)>,
    /// The time at which a balancer first applied each revision of the log, from revision 1 on.
    pub applied_at: Vec<Micros>,
    /// Revisions at which a balancer's calendar differed from the first one, with that balancer.
    pub divergences: Vec<(u64, usize)>,
    /// The voters that reported that they must not vote.
    pub blocked_voters: BTreeSet<usize>,
    /// The balancer whose tick was handled last.
    pub last_ticked: usize,
    pub seed: u64,
    file: FleetFile,
    /// The generation of each balancer's process. Every start and every kill increases it.
    process_generations: Vec<u32>,
    disks: Vec<Disk>,
    random: fastrand::Rng,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_event_id: u64,
}

fn address_of(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7100).into()
}

fn number_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!() };
    let [.., hundreds, last] = address.ip().octets();
    usize::from(hundreds) * 250 + usize::from(last) - 1
}

pub fn fleet_file_text(count: usize, voters: usize, lease: &str) -> String {
    let mut text = format!("[fleet]\nname = \"test\"\nlease = \"{lease}\"\n");
    for n in 0..count {
        text += &format!(
            "[[balancer]]\nnumber = {n}\nname = \"n{n}\"\naddress = \"{}\"\nzone = \"{}\"\ncouncil = {}\n",
            address_of(n),
            ["a", "b", "c"][n % 3],
            n < voters
        );
    }
    text
}

impl Simulation {
    pub fn new(count: usize, voters: usize, lease: &str, seed: u64) -> Self {
        let mut it = Self {
            now: START,
            members: (0..count).map(|_| None).collect(),
            clock_rates_ppm: vec![0; count],
            wall_clock_offsets_us: vec![0; count],
            loss: 0.0,
            cut_links: BTreeSet::new(),
            stopped: BTreeSet::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            recorded_datagrams: Vec::new(),
            calendars: vec![Calendar::new(0); count],
            calendar_revisions: BTreeMap::new(),
            applied_at: Vec::new(),
            divergences: Vec::new(),
            blocked_voters: BTreeSet::new(),
            last_ticked: 0,
            seed,
            file: FleetFile::parse("fleet.toml", &fleet_file_text(count, voters, lease)).unwrap(),
            process_generations: vec![0; count],
            disks: vec![Disk::default(); count],
            random: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            last_event_id: 0,
        };
        (0..count).for_each(|n| it.start_empty(n));
        it
    }

    /// Starts a balancer with an empty store.
    pub fn start_empty(&mut self, n: usize) {
        self.disks[n] = Disk::default();
        self.start(n);
    }

    /// Starts a balancer with the store of its last process.
    pub fn start(&mut self, n: usize) {
        self.blocked_voters.remove(&n);
        self.process_generations[n] += 1;
        let config = MemberConfig {
            node_id: n as u16,
            incarnation: self.unix(n),
            store: self.disks[n].clone(),
            seed: self.random.u64(..),
        };
        self.members[n] = Some(FleetMember::new(self.file.clone(), config, self.local(n)));
        let after = self.random.u64(0..agreement::TICK_INTERVAL_US);
        self.push(after, Event::Tick(n, self.process_generations[n]));
        self.handle_outputs(n);
    }

    /// Returns the store of a balancer.
    pub fn disk(&self, n: usize) -> Disk {
        self.disks[n].clone()
    }

    /// Kills a balancer's process. Its store stays.
    pub fn kill(&mut self, n: usize) {
        self.members[n] = None;
        self.process_generations[n] += 1;
    }

    /// Returns the reading of a balancer's monotonic clock.
    pub fn local(&self, n: usize) -> Micros {
        self.now.saturating_add_signed((self.now - START) as i64 * self.clock_rates_ppm[n] / 1_000_000)
    }

    /// Returns the reading of a balancer's wall clock.
    fn unix(&self, n: usize) -> u64 {
        (START_UNIX + self.now - START).saturating_add_signed(self.wall_clock_offsets_us[n])
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.last_event_id += 1;
        self.events.push(Reverse(ScheduledEvent(self.now + after, self.last_event_id, event)));
    }

    fn handle_outputs(&mut self, n: usize) {
        while let Some(output) = self.members[n].as_mut().and_then(FleetMember::poll) {
            match output {
                Output::Send { to, datagram: bytes } => {
                    self.datagrams_sent += 1;
                    self.bytes_sent += bytes.len() as u64;
                    if self.recorded_datagrams.len() < MAX_RECORDED_DATAGRAMS {
                        self.recorded_datagrams.push(bytes.clone());
                    }
                    let to = number_at(to);
                    if self.random.f64() >= self.loss && !self.cut_links.contains(&(n, to)) {
                        let after = self.random.u64(200..3_000);
                        self.push(after, Event::Datagram { from: n, to, bytes });
                    }
                }
                Output::SetTimer { after, timer } => {
                    self.push(after, Event::Timer(n, self.process_generations[n], timer))
                }
                Output::CalendarChanged(calendar) => self.record_calendar(n, *calendar),
                Output::VotingBlocked(_) => _ = self.blocked_voters.insert(n),
                _ => {}
            }
        }
        let applied = self.members[n].as_ref().map_or(0, |member| member.revision() as usize);
        if applied > self.applied_at.len() {
            self.applied_at.resize(applied, self.now);
        }
    }

    fn record_calendar(&mut self, n: usize, calendar: Calendar) {
        let first = self
            .calendar_revisions
            .entry(calendar.revision())
            .or_insert_with(|| (self.now, calendar.clone()));
        if first.1 != calendar {
            self.divergences.push((calendar.revision(), n));
        }
        self.calendars[n] = calendar;
    }

    pub fn run(&mut self, span: Micros) {
        self.run_with_check(span, |_| {});
    }

    /// Runs for `span`, and calls `check` after each tick of a balancer.
    pub fn run_with_check(&mut self, span: Micros, mut check: impl FnMut(&mut Self)) {
        let until = self.now + span;
        while let Some(Reverse(ScheduledEvent(at, ..))) = self.events.peek().filter(|due| due.0.0 <= until) {
            self.now = *at;
            let Some(Reverse(ScheduledEvent(.., event))) = self.events.pop() else { break };
            match event {
                Event::Datagram { to, .. } | Event::Timer(to, ..) | Event::Tick(to, ..)
                    if self.stopped.contains(&to) =>
                {
                    self.push(SECOND / 5, event); // a datagram waits in the socket, a timer or a tick is late
                }
                Event::Datagram { from, to, bytes } => {
                    let local = self.local(to);
                    if let Some(member) = &mut self.members[to] {
                        member.handle_datagram(local, address_of(from), &bytes);
                        self.handle_outputs(to);
                    }
                }
                Event::Timer(n, generation, timer) => {
                    let local = self.local(n);
                    if let Some(member) =
                        self.members[n].as_mut().filter(|_| self.process_generations[n] == generation)
                    {
                        member.handle_timer(local, timer);
                        self.handle_outputs(n);
                    }
                }
                Event::Tick(n, generation) => {
                    let (unix, local) = (self.unix(n), self.local(n));
                    if let Some(member) =
                        self.members[n].as_mut().filter(|_| self.process_generations[n] == generation)
                    {
                        member.tick(local, unix);
                        self.handle_outputs(n);
                        self.push(agreement::TICK_INTERVAL_US, Event::Tick(n, generation));
                        self.last_ticked = n;
                        check(self);
                    }
                }
            }
        }
        self.now = until;
    }

    /// Cuts all links between these balancers and the others.
    pub fn isolate(&mut self, some: impl IntoIterator<Item = usize>) {
        let some: BTreeSet<usize> = some.into_iter().collect();
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if some.contains(&from) != some.contains(&to) {
                    self.cut_links.insert((from, to));
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

    /// Runs until `condition` holds, and returns the time that this took. Panics if it takes `timeout` or longer.
    pub fn run_until(&mut self, timeout: Micros, mut condition: impl FnMut(&Self) -> bool) -> Micros {
        let from = self.now;
        while !condition(self) {
            assert!(
                self.now - from < timeout,
                "the condition does not hold within {timeout} us, seed {}",
                self.seed
            );
            self.run(SECOND / 20);
        }
        self.now - from
    }

    /// Returns a running balancer that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            self.members[*n].as_ref().is_some_and(|it| it.view(self.local(*n))["leader"] == format!("n{n}"))
        };
        (0..7.min(self.members.len())).filter(|n| !self.stopped.contains(n)).find(leads)
    }
}

/// Returns whether a balancer's core would now allow the planned join of an endpoint.
pub fn accepts_join(simulation: &Simulation, n: usize) -> bool {
    let Some(member) = &simulation.members[n] else { return false };
    let (lease, now) = (member.lease(), simulation.local(n));
    let lease_state = match lease.state(now).0 {
        LeaseState::Held => calendar::LeaseState::Held,
        LeaseState::Fenced => calendar::LeaseState::Fenced,
        LeaseState::Orphaned => calendar::LeaseState::Orphaned,
    };
    let span = lease.fleet_time(now);
    let span =
        span.map(|it| TimeInterval { earliest: it.earliest / 1_000, latest: it.latest.div_ceil(1_000) });
    let join = Change::of_host(ChangeKind::Join, "s-9", "a");
    matches!(simulation.calendars[n].check(span, lease_state, &join), Verdict::Allow { .. })
}

/// Proposes a freeze of the whole fleet that is in force throughout the simulation.
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
