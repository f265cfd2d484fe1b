//! A whole day on a virtual clock: the models, the decision module of each gateway, and the referee between them.
//!
//! One seed is one day, the same to the microsecond each time. What stands in for a gateway is a [`Balancer`]: the
//! decision module, or anything else that takes its events and yields its actions.

mod clients;
mod due;
mod gateways;
mod machines;
mod settings;
mod troubles;

use crate::archive::{self, Archive};
use crate::callers::{Callers, Intent};
use crate::node::{self, Node, Offered, State};
use crate::referee::{Answer, Fact, Finding, Referee, Slack};
use crate::scenario::{Effect, Scenario, What, micros};
use crate::score::{self, End, Score};
use crate::{Micros, SECOND};
use decide::api::{
    Action, CellId, Class, ClassId, DedupScope, EndpointEntry, EndpointId, Event, ListKind, Mode, Outcome,
    Presence, Reason, Request, RequestId, Settings, Tenant, TenantId, Token, ZoneId,
};
use decide::policy::Router;
use due::{Due, Happening};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustc_hash::FxHashMap;
use serde::Serialize;
use settings::repeat;
pub use settings::settings;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The archive, as gateways know it.
pub const ARCHIVE: EndpointId = EndpointId(1 << 32);
/// How long repeats of a keyed write are dropped, as gateways are told.
const KEYED_SPAN: Micros = 4_000_000;
/// Attempts that a request may make.
const ATTEMPTS: u32 = 5;
/// The longest that a client stays away when it is told to.
const HOLD_OFF: Micros = SECOND;
/// Time between draining and being gone.
const DRAINS_FOR: Micros = 2 * SECOND;
/// How long a dial to a machine that says nothing may take.
const DIAL: Micros = 100_000;

/// What decides in a gateway.
pub trait Balancer {
    /// Takes one event and appends what to do.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl Balancer for Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }
}

/// What came of a day.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// What it was worth.
    pub score: Score,
    /// Rules that were broken, the first of them whole.
    pub findings: Vec<Finding>,
    /// How often rules were broken.
    pub broken: usize,
    /// Two plays of a day share it when all that was seen is the same.
    pub digest: u64,
    /// Tries of clients, attempts of gateways, and reads among the attempts.
    pub tries: u64,
    /// Attempts at cache nodes and the archive.
    pub attempts: u64,
    /// Reads that found nothing at a cache node.
    pub misses: u64,
    /// Reads that the archive ran.
    pub fetches: u64,
    /// Writes that the archive ran.
    pub writes: u64,
    /// Repeats of keyed writes that it dropped.
    pub dropped: u64,
    /// The part of nodes' work that served no answer.
    pub wasted: f64,
    /// Refusals and failures by reason.
    pub reasons: BTreeMap<&'static str, u64>,
    /// Troubles as they fell.
    pub troubles: Vec<(Micros, String)>,
}

/// An attempt, as the machines name it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Tag {
    gateway: usize,
    request: RequestId,
    attempt: u16,
}

#[derive(Debug, Clone, Copy)]
struct Try {
    request: RequestId,
    intent: usize,
    number: u32,
}

#[derive(Debug)]
struct Context {
    this: Try,
    deadline: Micros,
    answered: bool,
    /// By attempt: the node it is out at (the archive is past the last) and since when; none when it has ended.
    out: Vec<Option<(usize, Micros)>>,
    missed: Vec<usize>,
}

struct Gateway {
    balancer: Box<dyn Balancer>,
    open: FxHashMap<RequestId, Context>,
    versions: Vec<u32>,
}

/// A day under way.
pub struct Day<'a> {
    scenario: &'a Scenario,
    seed: u64,
    now: Micros,
    order: u64,
    due: BinaryHeap<Due>,
    rng: Pcg64,
    callers: Callers,
    nodes: Vec<Node<Tag>>,
    versions: Vec<u32>,
    archive: Archive<Tag>,
    gateways: Vec<Gateway>,
    referee: Referee,
    intents: Vec<(Intent, Option<(End, Micros)>)>,
    spoilt: f64,
    requests: u64,
    attempts: u64,
    misses: u64,
    worked: [f64; 2],
    reasons: BTreeMap<&'static str, u64>,
    troubles: Vec<(Micros, String)>,
}

/// Plays a day with the decision module in each gateway.
#[must_use]
pub fn play(scenario: &Scenario, seed: u64) -> Report {
    let settings = settings(scenario);
    play_with(scenario, seed, |gateway| Box::new(Router::new(settings.clone(), seed ^ gateway as u64, 0)))
}

/// Plays a day with what `balancer` yields for each gateway, by number.
#[must_use]
pub fn play_with(scenario: &Scenario, seed: u64, balancer: impl Fn(usize) -> Box<dyn Balancer>) -> Report {
    let mut day = Day::new(scenario, seed, balancer);
    day.run();
    day.report()
}

impl<'a> Day<'a> {
    fn new(scenario: &'a Scenario, seed: u64, balancer: impl Fn(usize) -> Box<dyn Balancer>) -> Self {
        let nodes = (0..scenario.fleet.nodes).map(|n| Node::new(n, &scenario.fleet)).collect();
        let gateway = |n| Gateway {
            balancer: balancer(n),
            open: FxHashMap::default(),
            versions: vec![0; scenario.fleet.nodes],
        };
        let mut day = Self {
            scenario,
            seed,
            now: 0,
            order: 0,
            due: BinaryHeap::new(),
            rng: Pcg64::seed_from_u64(seed),
            callers: Callers::new(scenario),
            nodes,
            versions: vec![0; scenario.fleet.nodes],
            archive: Archive::new(&scenario.archive),
            gateways: (0..scenario.gateways.count).map(gateway).collect(),
            referee: Referee::new(Slack::VIRTUAL),
            intents: Vec::new(),
            spoilt: 0.0,
            requests: 0,
            attempts: 0,
            misses: 0,
            worked: [0.0; 2],
            reasons: BTreeMap::new(),
            troubles: Vec::new(),
        };
        day.warm_up();
        let mut list: Vec<EndpointEntry> =
            (0..day.nodes.len()).map(|n| day.entry(n, Presence::Ready)).collect();
        list.push(EndpointEntry { id: ARCHIVE, kind: 1, ..list[0] });
        for gateway in 0..day.gateways.len() {
            day.tell(gateway, Event::EndpointList(ListKind::Full, list.clone()));
        }
        for (n, trouble) in scenario.troubles.iter().enumerate() {
            day.at(micros(trouble.at), Happening::Falls(n));
        }
        day.at(0, Happening::Arrival);
        day
    }

    /// The nodes that run when the day begins hold what they were asked for lately: the homes of popular keys.
    fn warm_up(&mut self) {
        let mut finder = Router::new(settings(self.scenario), 0, 0);
        let list = (0..self.nodes.len()).map(|n| self.entry(n, Presence::Ready)).collect();
        let mut actions = Vec::new();
        finder.handle(0, Event::EndpointList(ListKind::Full, list), &mut actions);
        let reads = self.scenario.fleet.keeps * self.nodes.len() * 4;
        for n in 0..reads as u64 {
            actions.clear();
            let intent = self.callers.next(0, self.scenario, &mut self.rng);
            let (id, class, key) = (RequestId(n), ClassId(0), Some(intent.key));
            let remaining_us = SECOND;
            let request = Request { id, class, tenant: TenantId(0), key, write: false, remaining_us };
            // Spread in time, so that no key looks hot.
            finder.handle(n * 20_000, Event::Request(request), &mut actions);
            if let Some(Action::Forward { endpoint: server, .. }) = actions.first() {
                self.nodes[server.0 as usize - 1].store(intent.key);
            }
            let (outcome, finished) = (Outcome::Ok, true);
            let (fetch_pending, stale) = (false, false);
            let ended =
                Event::Outcome { id, attempt: 0, outcome, latency_us: 1, finished, fetch_pending, stale };
            finder.handle(n * 20_000, ended, &mut actions);
        }
        self.callers = Callers::new(self.scenario);
    }

    fn entry(&self, n: usize, presence: Presence) -> EndpointEntry {
        let node = &self.nodes[n];
        let warm = Node::<Tag>::new(n, &self.scenario.fleet).capacity(0);
        EndpointEntry {
            id: EndpointId(n as u64 + 1),
            presence,
            kind: 0,
            weight: warm,
            cell: CellId(0),
            zone: ZoneId(0),
            online_since: node.started,
        }
    }

    fn at(&mut self, at: Micros, what: Happening) {
        self.order += 1;
        self.due.push(Due { at, order: self.order, what });
    }

    fn hop(&mut self) -> Micros {
        let way = micros(self.scenario.gateways.one_way) as f64;
        (way * self.rng.random_range(0.5..1.5)) as Micros
    }

    fn run(&mut self) {
        while let Some(Due { at, what, .. }) = self.due.pop() {
            self.now = at;
            self.happens(what);
        }
        self.referee.end(self.now);
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Arrival => self.arrival(),
            Happening::Retry(intent, number) => self.send_try(intent, number),
            Happening::Reaches(gateway, this) => self.reaches(gateway, this),
            Happening::AtNode(n, job) => self.at_node(n, job),
            Happening::NodeEnds(n, life, job) => self.node_ends(n, life, &job),
            Happening::AtArchive(job) => self.at_archive(job),
            Happening::ArchiveEnds(job) => self.archive_ends(&job),
            Happening::Comes(tag, outcome, made_for, work) => self.comes(tag, outcome, made_for, work),
            Happening::TimesOut(tag) => self.comes(tag, Outcome::Timeout, tag.request, 0.0),
            Happening::TimeIsUp(gateway, request) => self.time_is_up(gateway, request),
            Happening::AtClient(this, answer, hold_off) => self.at_client(this, answer, hold_off),
            Happening::Timer(gateway, token) => self.tell(gateway, Event::Timer(token)),
            Happening::Told(gateway, n, version, entry) => self.told(gateway, n, version, entry),
            Happening::Falls(n) => self.trouble_falls(n),
            Happening::Passes(n) => self.trouble_passes(n),
            Happening::Goes(n) => {
                if self.nodes[n].state == State::Draining {
                    self.nodes[n].stop(State::Down);
                    self.announce(n, Presence::Gone);
                }
            }
            Happening::Returns(n, life) => {
                if self.nodes[n].life == life {
                    self.nodes[n].start(self.now);
                    self.announce(n, Presence::Ready);
                }
            }
        }
    }

    fn report(self) -> Report {
        let end = |end: Option<(End, Micros)>, at| end.unwrap_or((End::Unanswered, at));
        let intents: Vec<(Intent, End, Micros)> = self
            .intents
            .iter()
            .map(|(intent, ended)| {
                let (how, at) = end(*ended, self.now);
                (*intent, how, at)
            })
            .collect();
        let wasted = if self.worked[0] > 0.0 { self.worked[1] / self.worked[0] } else { 0.0 };
        Report {
            seed: self.seed,
            score: score::reckon(self.scenario, &intents, wasted),
            findings: self.referee.findings().to_vec(),
            broken: self.referee.broken(),
            digest: self.referee.digest(),
            tries: self.requests,
            attempts: self.attempts,
            misses: self.misses,
            fetches: self.archive.ledger.reads,
            writes: self.archive.ledger.writes_run,
            dropped: self.archive.ledger.dropped,
            wasted,
            reasons: self.reasons,
            troubles: self.troubles,
        }
    }
}
