//! All decisions, each in its file below its tunables; `docs/design.md` gives the measurements behind those.
//! Ordinary path: a read goes to its key's table server; after a miss its fetch passes the warm-up limiter.

mod hosts;
mod keys;
mod limiter;
mod origin;
mod shedding;
mod tries;

use crate::{api::*, records::*};
pub use limiter::WarmUpLimiter;
use rustc_hash::FxHashMap;
use std::mem;

const KEY_SPAN_US: f64 = 10e6; // span over which reads of keys are counted
const RATE_SPAN_US: f64 = 1e6; // and answers, fetches and tenants' requests, as rates
const HEDGE_PART: f64 = 0.5; // a read unanswered for this part of its aim gets a second copy or another try
const RETRY_SHARE: f64 = 0.25; // repeats of failed tries per accepted request
const CUT_SHARE: f64 = 0.01; // and of tries that we cut short, or second copies
const RETRY_STORE: f64 = 10.0; // and how many of each may be saved up

/// The decisions of one balancer.
#[derive(Debug, Default)]
pub struct Router {
    now: Micros,
    out: Vec<Action>,
    settings: Settings,
    rng: fastrand::Rng,
    pub(crate) fleet: Fleet,
    table: KeyTable,
    open: FxHashMap<RequestId, Open>,
    flights: FxHashMap<Key, Vec<RequestId>>,
    rate: OriginRate,
    limiter: WarmUpLimiter,
    pace: Pace,
    inflight: u32, // reads at cache servers
    reads: f64,
    answers: Lately,
    spell: Spell,
    patience_us: f64, // mean time left of the latest reads
    lately: Lately,   // reads
    retries: f64,
    cuts: f64,
    best_worth: f64,
    tenants: Vec<Lately>,
    failed_calls: u32,
}

impl Router {
    /// An instance that has just started and knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let tenants = vec![Lately::default(); settings.tenants.len()];
        let (rng, retries, cuts) = (fastrand::Rng::with_seed(seed), RETRY_STORE, RETRY_STORE);
        Self { now, rng, settings, tenants, retries, cuts, ..Self::default() }
    }

    /// Takes one event and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.fleet.ramp(now, &self.settings);
        match event {
            Event::EndpointList(kind, entries) => self.list_changed(kind, &entries),
            Event::Request(req) if self.open.contains_key(&req.id) => {}
            Event::Request(req) => self.accept(req),
            Event::Outcome { id, attempt, outcome, latency_us, finished, fetch_pending, stale } => {
                self.ended(id, attempt, outcome, latency_us, (finished, fetch_pending, stale));
            }
            // Guards a stream, the client's from its first byte on, against our own sends and cancels.
            Event::FirstByte(id) => self.close(id, false),
            Event::ClientLeft(id) => self.close(id, true),
            Event::Timer(Token(WATCH)) => self.out.push(Action::Watch),
            Event::Timer(Token(token)) => self.timer(RequestId(token)),
            Event::PublishLoad => self.out.push(Action::PublishLoad(self.fleet.take_loads(now))),
            Event::WeightFactors(parts) => self.fleet.set_parts(&parts),
        }
        out.append(&mut self.out);
    }

    fn accept(&mut self, req: Request) {
        let (id, class) = (req.id, self.settings.classes.get(req.class.0 as usize));
        let key = req.key.unwrap_or_else(|| Key(self.rng.u64(..))); // a read about nothing goes anywhere
        let mut open = Open::new(self.now, req, key, class);
        self.grade(&mut open, class.map_or(1.0, |c| c.priority_weight));
        let (low, useful_until) = (open.low, open.useful_until);
        self.open.insert(id, open);
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_STORE);
        self.cuts = (self.cuts + CUT_SHARE).min(RETRY_STORE);
        if req.write && self.settings.mode == Mode::CacheAside {
            self.limiter.reserve(self.now); // a write loads the origin as a fetch does, but is not held
            return self.send_origin(id);
        }
        self.reads += 1.0;
        self.lately.add(self.now, KEY_SPAN_US);
        let row = self.row(key, true);
        if self.sheds(&row, low, useful_until) { self.give_up(id, Reason::Shed) } else { self.send_read(id) }
    }

    fn timer(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|open| self.now >= open.due) else { return };
        let home = open.home();
        match open.phase {
            Phase::Held => self.send_origin(id),
            Phase::Waiting if self.now >= open.deadline => self.give_up(id, Reason::Deadline),
            Phase::Waiting => self.read_again(id, home),
            Phase::Sent if !self.settings.hedged_requests => self.consider(id),
            Phase::Sent if self.cuts >= 1.0 => {
                open.due = Micros::MAX;
                self.cuts -= 1.0;
                self.send_read(id);
            }
            _ => {}
        }
    }

    /// Books the end of an attempt, and goes on if it left the request unanswered.
    fn ended(&mut self, id: RequestId, n: u16, outcome: Outcome, latency: Micros, flags: (bool, bool, bool)) {
        let (finished, pending, stale) = flags;
        let Some(open) = self.open.get_mut(&id) else { return };
        let done = finished || open.phase == Phase::Done;
        let Some(ended) = open.attempts.get_mut(n as usize).filter(|a| a.outcome.is_none()) else { return };
        let (slot, to_origin, sent, cut) = (ended.slot, ended.to_origin, ended.sent, ended.cut_short);
        let outcome = if cut && outcome == Outcome::Cancelled { Outcome::Timeout } else { outcome };
        (ended.outcome, ended.stale) = (Some(outcome), stale);
        // What was set aside becomes the repeat of the try that was cut, or is returned.
        let back = if outcome == Outcome::Timeout { &mut self.retries } else { &mut self.cuts };
        *back = (*back + f64::from(u8::from(cut))).min(RETRY_STORE + 1.0);
        self.fleet.servers[slot as usize].board(self.now, -1);
        if outcome.is_answer() {
            self.fleet.servers[slot as usize].hear(self.now, sent);
        }
        if !to_origin {
            if matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::Error | Outcome::Reset) {
                self.answers.add(self.now, RATE_SPAN_US);
                self.spell.answers += 1.0;
            }
            self.inflight -= 1;
            self.judge(slot, if stale { Outcome::NotSent } else { outcome }, latency); // stale: no word of it
        } else if !stale && !matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
            self.origin_ended(id, slot, outcome, latency);
        }
        if done { self.close(id, true) } else { self.go_on(id, to_origin, outcome, pending) }
    }

    /// Nothing is owed any more; attempts that are out still report.
    fn close(&mut self, id: RequestId, cancel: bool) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if mem::replace(&mut open.phase, Phase::Done) != Phase::Done && cancel && self.settings.cancel {
            let out = (0..).zip(&open.attempts).filter(|(_, a)| a.outcome.is_none());
            self.out.extend(out.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        self.land(id);
        if self.open.get(&id).is_some_and(Open::all_ended) {
            self.open.remove(&id);
        }
    }
}
