//! All decisions. The types, events and actions are in `api.rs`.
//! Ordinary path: a read goes to its key's table server; after a miss its fetch passes the warm-up limiter.

use crate::api::*;
use crate::records::*;
use rustc_hash::FxHashMap;
use std::mem;

// Tunables; `docs/design.md` gives the measurements behind them.
const WARM_UP_US: f64 = 500_000.0; // warm-up period: about a burst of misses, so that pauses are soon made up
const COLD_FACTOR: f64 = 3.0; // cold interval over stable interval, as in Guava
const START_PER_SERVER: f64 = 10.0; // the stated figure: fetches a second per cache server, split
const START_HELD: f64 = 2.0; // and no lower than this many within the shortest aim: a second is held
const FLOOR_PART: f64 = 0.1; // lowest rate, of the start: fewer fetches would not tell of a recovery
const RAISE: f64 = 1.5; // rate raise per round trip, while the limiter binds and outcomes are good
const CUT: f64 = 0.7; // after errors and time-outs: to this part of what the origin serves, per round trip
const CUT_LATE: f64 = 0.95; // and after late answers, which were served and stored: gently
const BAD_SHARE: f64 = 0.45; // smoothed share of bad outcomes that cuts: one slow fetch is no congestion
const BROKEN_GAIN: f64 = 0.1; // weight of a reset in it: connections also break when nothing is slow
const FETCH_PART: (u32, f64) = (10, 0.02); // of the aim, for a fetch alone: beyond so many balancers, each
const CLOSE_SHARE: f64 = 0.3; // from this smoothed share on, connections to the origin are not kept idle
const LOW_WORTH: f64 = 0.5; // at most this part of the best read's worth passes a zero wait
const BOUND_FACTOR: f64 = 1.25; // in-flight bound: this many times the server's share of the mean ...
const BOUND_MIN: f64 = 2.0; // ... and at least this many, so that chance alone moves no key
const HOT_PART: f64 = 0.6; // a key is spread over one server more for each such part of a mean server's reads
const HOT_COUNT: (f64, f64, f64) = (2.0, 36.0, 6.0); // reads of a hot key: at least, of all balancers, enough
const KEY_SPAN_US: f64 = 10e6; // span over which reads of keys are counted
const RATE_SPAN_US: f64 = 1e6; // and answers, fetches and tenants' requests, as rates
const FULL_US: Micros = 100_000; // a server that turned a read away is out of bounds for this long
const COLD_BUDGET: f64 = 1.5; // sends to a warming server, as a multiple of its ramped share of our reads
const COLD_GROWTH: f64 = 1.2; // further sends for each quick answer of a warming server
const BAD_GAIN: f64 = 0.25; // weight of one outcome in a server's smoothed failed share
const FAULT_GAIN: f64 = 0.08; // the same for resets and bad answers: chance alone must not take a server out
const EJECT_SHARE: f64 = 0.45; // smoothed failed share that takes a server out of use
const FAULT_SHARE: f64 = 0.4; // and that of resets and bad answers: one that serves most is worth keeping
const EJECT_US: Micros = 1_000_000; // for this long at first; doubles with each failed trial, thrice at most
const FAULTY: f64 = 0.2; // smoothed share of resets and bad answers from which repeats shun a server
const SLOW: f64 = 3.0; // an answer that took this many times the fleet's median, and half an aim, is a fault
const FAULT_PART: f64 = 0.2; // at most this part of the fleet at a time for faults: the rest bears its load
const EJECT_PART: f64 = 0.34; // without proof of unreachability, at most this part of the fleet at a time
const HEDGE_PART: f64 = 0.5; // a read unanswered for this part of its aim gets a second copy or another try
const RETRY_SHARE: f64 = 0.25; // repeats of failed tries per accepted request
const CUT_SHARE: f64 = 0.01; // and of tries that we cut short, or second copies
const ACCIDENT: f64 = 0.2; // a repeat's cost where no load was the cause: broken, unreachable, spoilt
const RETRY_STORE: f64 = 10.0; // and how many of each may be saved up
const SHED_PART: f64 = 0.6; // reads are shed when those in flight will take this part of their aim
const SHED_MIN: f64 = 16.0; // but never with fewer than this many in flight
const SPELL: (f64, f64) = (8.0, 64.0); // in flight: where a busy spell begins; the most while young
const FAR: f64 = 1_000.0; // how much lighter servers of other zones weigh then
const LOCAL_PRICE: f64 = 0.05; // from this price of a crossing on, a key's home is in the balancer's zone

/// Guava's SmoothWarmingUp limiter, by the formulas of the design page.
#[derive(Debug, Clone, Default)]
pub struct WarmUpLimiter {
    stable_us: f64,
    stored: f64,
    threshold: f64,
    max: f64,
    slope: f64,
    next_free_us: f64,
}

impl WarmUpLimiter {
    /// A limiter that starts cold: with all permits stored.
    pub fn new(per_s: f64, now: Micros) -> Self {
        let mut it = Self { next_free_us: now as f64, ..Self::default() };
        it.set_rate(per_s, now);
        it
    }
    /// Changes the rate; the store keeps its fill, so a warm limiter stays warm.
    pub fn set_rate(&mut self, per_s: f64, now: Micros) {
        self.resync(now);
        let fill = if self.max > 0.0 { self.stored / self.max } else { 1.0 };
        self.stable_us = 1e6 / per_s;
        let cold_us = COLD_FACTOR * self.stable_us;
        self.threshold = 0.5 * WARM_UP_US / self.stable_us;
        self.max = self.threshold + 2.0 * WARM_UP_US / (self.stable_us + cold_us);
        self.slope = (cold_us - self.stable_us) / (self.max - self.threshold);
        self.stored = fill * self.max;
    }
    fn resync(&mut self, now: Micros) {
        let idle_us = now as f64 - self.next_free_us;
        if idle_us > 0.0 {
            let cool_down_us = WARM_UP_US / self.max;
            self.stored = (self.stored + idle_us / cool_down_us).min(self.max);
            self.next_free_us = now as f64;
        }
    }
    /// When the next permit is free; `now` or earlier when it is free at once.
    pub fn earliest(&self) -> Micros {
        self.next_free_us.ceil() as Micros
    }
    /// Takes one permit and returns when it may be used; its cost is waited for by the next caller.
    pub fn reserve(&mut self, now: Micros) -> Micros {
        self.resync(now);
        let at = self.earliest();
        let from_store = self.stored.min(1.0);
        let above = (self.stored - self.threshold).max(0.0);
        let climb = above.min(from_store);
        let permits_to_time = |x: f64| self.stable_us + x * self.slope;
        let area = climb * (permits_to_time(above) + permits_to_time(above - climb)) / 2.0;
        self.stored -= from_store;
        self.next_free_us += area + (1.0 - climb) * self.stable_us;
        at
    }
    /// Takes a permit that is usable within `wait`, or none at all.
    pub fn try_reserve(&mut self, now: Micros, wait: Micros) -> Option<Micros> {
        (self.earliest() <= now + wait).then(|| self.reserve(now))
    }
}

impl OriginRate {
    /// Learns from one outcome of the origin, never from the limiter's own refusals.
    fn learn(&mut self, now: Micros, latency: Micros, outcome: Outcome, in_time: bool) {
        let gain = if self.latency_us == 0.0 { 1.0 } else { 0.15 };
        self.latency_us += (latency as f64 - self.latency_us) * gain;
        let served = outcome == Outcome::Ok;
        let good = served && in_time;
        let weight = if outcome == Outcome::Reset { BROKEN_GAIN } else { 0.3 };
        self.bad += (f64::from(u8::from(!good)) - self.bad) * weight;
        if served {
            self.served.add(now, RATE_SPAN_US);
        }
        if now < self.next_change {
            return; // fetches sent before the last change say nothing of it
        }
        let serves = self.served.sum(now, RATE_SPAN_US).clamp(0.5 * self.per_s, self.per_s);
        self.per_s = match (good, self.bad > BAD_SHARE) {
            (false, true) => ((if served { CUT_LATE } else { CUT }) * serves).max(FLOOR_PART * self.start),
            (true, false) if self.bound => self.per_s * RAISE,
            _ => return,
        };
        self.bound = false;
        self.next_change = now + self.latency_us as Micros;
    }
}

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
    local_first: bool,
    failed_calls: u32,
}

impl Router {
    /// An instance that has just started and knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let local_first = settings.zones > 1 && settings.cross_zone_price >= LOCAL_PRICE;
        Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            tenants: vec![Lately::default(); settings.tenants.len()],
            settings,
            local_first,
            retries: RETRY_STORE,
            cuts: RETRY_STORE,
            ..Self::default()
        }
    }

    /// Takes one event and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.fleet.ramp(now, &self.settings);
        match event {
            Event::Servers(kind, entries) => self.list_changed(kind, &entries),
            Event::Request(req) => self.accept(req),
            Event::Outcome { id, attempt, outcome, latency_us, finished, fetch_pending, stale } => {
                self.ended(id, attempt, outcome, latency_us, (finished, fetch_pending, stale));
            }
            // Guards a stream, the client's from its first byte on, against our own sends and cancels.
            Event::FirstByte(id) => self.close(id, false),
            Event::Expired(id) => self.close(id, true),
            Event::Timer(Token(token)) => self.timer(token),
            Event::Speak => self.out.push(Action::Tell(self.fleet.take_loads(now))),
            Event::Heard(parts) => self.fleet.set_parts(&parts),
        }
        out.append(&mut self.out);
    }

    fn set_timer(&mut self, delay_us: Micros, token: u64) {
        self.out.push(Action::Timer { delay_us, token: Token(token) });
    }

    fn list_changed(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        if self.settings.discovery == Discovery::Ask && matches!(kind, ListKind::Failed | ListKind::Cached) {
            // Jittered and doubling: calls that failed together must not be made together again.
            let step = (self.settings.must_ask_us / 8) << self.failed_calls.min(3);
            let delay = if kind == ListKind::Failed { step / 2 } else { 0 } + self.rng.u64(0..=step / 2);
            self.set_timer(delay, WATCH);
        }
        self.failed_calls = if kind == ListKind::Failed { self.failed_calls + 1 } else { 0 };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.fleet.all_gone(); // unless the whole list names them below
        }
        for &entry in entries {
            // A random part of a permit to begin with: small balancers must not all have a whole one.
            self.fleet.apply(entry, self.rng.f64(), self.reads);
        }
        self.fleet.reweigh(self.now, &self.settings);
        if self.rate.per_s == 0.0 && self.fleet.ready > 0 {
            let start = START_PER_SERVER * f64::from(self.fleet.ready) / f64::from(self.settings.siblings);
            self.pace = Pace::new(self.settings.shortest_aim());
            let least = START_HELD * 1e6 / self.pace.aim_us;
            (self.rate.start, self.rate.per_s) = (start.max(least), start.max(least));
            self.limiter = WarmUpLimiter::new(self.rate.per_s, self.now);
        }
    }

    /// The key's servers, best first. Weighted rendezvous: balancers that share nothing agree.
    fn rank(&self, key: Key, allow: impl Fn(u32) -> bool) -> Row {
        let mut best = [(f64::MAX, 0); RANKS];
        let mut len = 0;
        for (slot, server) in (0..).zip(&self.fleet.servers).filter(|(n, s)| s.caches() && allow(*n)) {
            let unit = (mix(key.0 ^ mix(server.entry.id.0)) >> 11) as f64 / (1_u64 << 53) as f64;
            let mut item = (-unit.max(1e-18).ln() / (server.weight * server.warmth * server.part), slot);
            if self.local_first && server.entry.zone != self.settings.zone {
                item.0 *= FAR;
            }
            for place in &mut best {
                if item.0 < place.0 {
                    mem::swap(&mut item, place);
                }
            }
            len = (len + 1).min(RANKS);
        }
        let slots = best.map(|(_, slot)| slot);
        Row { slots, len, generation: self.fleet.generation, asked: Lately::default() }
    }

    /// The key's row of the table, ranked anew when the weights have changed.
    fn row(&mut self, key: Key, asked: bool) -> Row {
        let kept = self.table.take(key);
        let mut row = kept.filter(|row| row.generation == self.fleet.generation);
        let row = row.get_or_insert_with(|| self.rank(key, |_| true));
        row.asked = kept.map_or(row.asked, |kept| kept.asked);
        if asked {
            row.asked.add(self.now, KEY_SPAN_US);
        }
        self.table.put(key, *row);
        *row
    }

    fn mean(&self) -> f64 {
        f64::from(self.inflight) / f64::from(self.fleet.ready.max(1))
    }
    /// A new or restarted server looks idle before its first answers: it counts at the others' mean.
    fn count(&self, slot: u32) -> f64 {
        let server = &self.fleet.servers[slot as usize];
        let own = f64::from(server.inflight);
        if server.answered { own } else { own.max(self.mean()) }
    }
    /// Guards a warming server against hot keys and all-cold fleets: a ramped part of each balancer's reads.
    fn cold_permit(&mut self, slot: u32) -> bool {
        let server = &mut self.fleet.servers[slot as usize];
        let share = server.weight * server.warmth / self.fleet.listed;
        let earned = (self.reads - mem::replace(&mut server.cold_mark, self.reads)) * COLD_BUDGET * share;
        server.cold_tokens = (server.cold_tokens + earned).min(3.0);
        server.warmth >= 1.0 || server.cold_tokens >= 1.0
    }
    fn within_bounds(&self, slot: u32) -> bool {
        let server = &self.fleet.servers[slot as usize];
        let share = server.weight * server.warmth * f64::from(self.fleet.ready) / self.fleet.ramped;
        let bound = (BOUND_FACTOR * self.mean() * share).max(BOUND_MIN);
        self.count(slot) < bound && self.now >= server.full_until
    }

    /// The server for a read: the first of the key's ranks that is in use and within bounds.
    fn pick(&mut self, key: Key, row: &Row, tried: &[Attempt]) -> Option<u32> {
        let mut ranks: Vec<u32> = row.slots[..row.len].to_vec();
        // A key hotter than a server's part of the reads is spread over several of its ranks.
        let (asked, all) = (row.asked.sum(self.now, KEY_SPAN_US), self.lately.sum(self.now, KEY_SPAN_US));
        let parts = asked / all * f64::from(self.fleet.ready) / HOT_PART;
        let enough = (HOT_COUNT.1 / f64::from(self.settings.siblings)).clamp(HOT_COUNT.0, HOT_COUNT.2);
        let hot = if asked >= enough { ranks.len().min(1 + parts as usize) } else { 1.min(ranks.len()) };
        ranks[..hot].rotate_left(self.rng.usize(..hot.max(1)));
        let tried_at = |slot: u32| tried.iter().any(|a| a.slot == slot && !a.stale);
        ranks.retain(|&slot| self.fleet.usable(slot, self.now) && !tried_at(slot));
        if !tried.is_empty() {
            // Few attempts are left: first those that do not fail by fits and starts, by their ranks.
            ranks.sort_by_key(|&slot| self.fleet.servers[slot as usize].faults > FAULTY);
        }
        if let Some(&slot) = ranks.iter().find(|&&slot| self.within_bounds(slot) && self.cold_permit(slot)) {
            return Some(slot);
        }
        // All are out of bounds: the one with the fewest in flight, ties going to the better rank.
        ranks.retain(|&slot| self.cold_permit(slot));
        let fewest = ranks.iter().copied().min_by(|&a, &b| self.count(a).total_cmp(&self.count(b)));
        let warm =
            |slot: u32| self.fleet.servers[slot as usize].warmth >= 1.0 && self.fleet.usable(slot, self.now);
        let wide = || self.rank(key, |slot| warm(slot) && !tried_at(slot));
        fewest.or_else(|| Some(wide()).filter(|row| row.len > 0).map(|row| row.slots[0]))
    }

    fn accept(&mut self, req: Request) {
        if self.open.contains_key(&req.id) {
            return;
        }
        let (now, tenant) = (self.now, req.tenant.0 as usize);
        let class = self.settings.classes.get(req.class.0 as usize);
        let key = req.key.unwrap_or_else(|| Key(self.rng.u64(..))); // a read about nothing goes anywhere
        let mut open = Open::new(now, req, key, class);
        let worth = class.map_or(1.0, |c| c.worth);
        self.best_worth = self.best_worth.max(if req.write { 0.0 } else { worth });
        open.low = worth <= LOW_WORTH * self.best_worth;
        if let (Some(sent), Some(tenant)) = (self.tenants.get_mut(tenant), self.settings.tenants.get(tenant))
        {
            sent.add(now, RATE_SPAN_US);
            // Twice an equal part of the quota: how the tenant's requests fall on the balancers is not known.
            let over = sent.sum(now, RATE_SPAN_US)
                > 2.0 + 2.0 * tenant.quota_per_s / f64::from(self.settings.siblings);
            open.over = over && worth * self.settings.over_share_worth <= LOW_WORTH * self.best_worth;
            open.low |= open.over;
        }
        let (low, useful_until) = (open.low, open.useful_until);
        self.open.insert(req.id, open);
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_STORE);
        self.cuts = (self.cuts + CUT_SHARE).min(RETRY_STORE);
        if req.write && self.settings.mode == Mode::Aside {
            self.limiter.reserve(now); // a write loads the origin as a fetch does, but is not held
            return self.send_origin(req.id);
        }
        self.reads += 1.0;
        self.lately.add(now, KEY_SPAN_US);
        let row = self.row(key, true);
        let idle = row.len > 0 && self.count(row.slots[0]) < 1.0; // jammed servers must not shut out the rest
        // Little's law: what is in flight takes inflight / answers a second. Beyond the aim it is lost work.
        let part = if low { 0.5 * SHED_PART } else { SHED_PART };
        // One patience for all: by its own, the most urgent class would go first, though it is worth most.
        self.patience_us += ((useful_until - now) as f64 - self.patience_us) / (self.reads.min(100.0));
        // Few answers of late may mean that little was asked: a busy spell has its own, a young one none yet.
        if f64::from(self.inflight) <= SPELL.0 {
            self.spell = Spell { since: now, answers: 0.0 };
        }
        let answers = self.answers.sum(now, RATE_SPAN_US).max(self.spell.answers(now, RATE_SPAN_US));
        let young = ((now - self.spell.since) as f64) < 0.5 * part * self.patience_us;
        let most = if young { SPELL.1 } else { (answers * self.patience_us / 1e6 * part).max(SHED_MIN) };
        let shed = !idle && f64::from(self.inflight) > most;
        if shed { self.give_up(req.id, Reason::Shed) } else { self.send_read(req.id) }
    }

    /// Whether the request may be sent to this server, whatever became of its earlier attempts.
    fn may_send(&self, open: &Open, slot: Option<u32>) -> bool {
        let Some(slot) = slot.or(self.fleet.origin) else { return false };
        let entry = &self.fleet.servers[slot as usize].entry;
        let (used, most_out) = (open.left(&self.settings) == 0, 1 + usize::from(self.settings.second_copies));
        if entry.presence != Presence::Ready || open.phase == Phase::Done || used || open.out() >= most_out {
            return false;
        }
        let mut maybe = open.attempts.iter().filter(|a| a.may_have_run());
        self.now < open.deadline
            && match open.effect {
                Effect::Retryable => true,
                Effect::Fragile => maybe.next().is_none(),
                Effect::Dedup { scope, span_us } => maybe.all(|a| {
                    let remembered = self.now + 2 * self.settings.tick_us < a.sent + span_us;
                    remembered && a.in_group(scope, entry)
                }),
            }
    }

    fn send(&mut self, id: RequestId, slot: u32, to_origin: bool) -> bool {
        let (entry, now) = (self.fleet.servers[slot as usize].entry, self.now);
        if !self.open.get(&id).is_some_and(|open| self.may_send(open, Some(slot))) {
            return false;
        }
        let Some(open) = self.open.get_mut(&id) else { return false };
        let patience = (open.aim.saturating_sub(now) as f64 * HEDGE_PART) as Micros;
        let (settings, safe) = (&self.settings, open.effect == Effect::Retryable);
        let impatient = !to_origin && open.left(settings) >= 2 && patience > 0 && safe;
        // Where a try cannot be cancelled later, it is now that it is cut short.
        let cut_short = impatient && !settings.second_copies && !settings.cancel && self.cuts >= 1.0;
        self.cuts -= f64::from(u8::from(cut_short));
        open.attempts.push(Attempt { cut_short, ..Attempt::new(slot, now, to_origin, &entry) });
        (open.phase, open.due) = (Phase::Sent, if impatient { now + patience } else { Micros::MAX });
        let server = &mut self.fleet.servers[slot as usize];
        server.board(now, 1);
        server.cold_tokens -= 1.0;
        self.inflight += u32::from(!to_origin);
        self.out.push(Action::Send { id, server: entry.id, timeout_us: u64::from(cut_short) * patience });
        if impatient && (self.settings.second_copies || self.settings.cancel) {
            self.set_timer(patience, id.0);
        }
        true
    }

    fn send_read(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let (key, tried) = (open.key, open.attempts.clone());
        let row = self.row(key, false);
        let slot = self.pick(key, &row, &tried);
        if !slot.is_some_and(|slot| self.send(id, slot, false)) {
            // No cache may take a read that has had no try: an origin asked directly may, within its permits.
            let fetch = tried.is_empty() && self.fleet.origin.is_some();
            if fetch { self.fetch(id) } else { self.give_up(id, Reason::NoServer) }
        }
    }

    fn send_origin(&mut self, id: RequestId) {
        if !self.fleet.origin.is_some_and(|slot| self.send(id, slot, true)) {
            self.give_up(id, Reason::NoServer);
        }
    }

    /// No further attempt: the final answer, unless an attempt that is still out may yet bring one.
    fn give_up(&mut self, id: RequestId, why: Reason) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.phase != Phase::Done) else { return };
        if !open.all_ended() {
            return open.phase = Phase::Sent; // guards against a held request that no timer answers any more
        }
        let anyhow = matches!(open.effect, Effect::Retryable | Effect::Dedup { scope: Scope::All, .. });
        let harmless = anyhow || !open.maybe_ran();
        let reason = open.reason(why, self.now, harmless, &self.settings);
        let hold_off_us = self.limiter.earliest().saturating_sub(self.now).min(self.settings.max_hold_off_us);
        let refuse = Action::Refuse { id, hold_off_us, reason };
        self.out.push(if harmless { refuse } else { Action::Fail { id, reason } });
        self.close(id, true);
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

    /// Ends the fetch that `id` leads; those who waited read the cache, or one of them leads the next fetch.
    fn land(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !mem::take(&mut open.leads) {
            return;
        }
        let home = open.home().filter(|_| open.stored());
        for id in self.flights.remove(&open.key).unwrap_or_default() {
            if self.open.get(&id).is_some_and(|o| o.phase == Phase::Waiting) {
                self.read_again(id, home);
            }
        }
    }

    /// Reads where a fetch has stored the value, if an attempt stays for a fetch of our own after that.
    fn read_again(&mut self, id: RequestId, home: Option<u32>) {
        let spare = self.open.get(&id).is_some_and(|o| o.left(&self.settings) >= 2);
        if !home.is_some_and(|slot| spare && self.send(id, slot, false)) {
            self.fetch(id);
        }
    }

    /// The ordinary path after a miss: wait for the reserved time, or be refused right now.
    fn fetch(&mut self, id: RequestId) {
        let (Some(open), now) = (self.open.get_mut(&id), self.now) else { return };
        if let Some(waiters) = self.flights.get_mut(&open.key) {
            // One fetch a key: the others wait for it, then read what it has stored.
            waiters.push(id);
            let until = open.deadline;
            return self.hold(id, Phase::Waiting, until);
        }
        let latest = open.useful_until.saturating_sub(self.rate.latency_us as Micros);
        if open.left(&self.settings) == 0 {
            return self.give_up(id, Reason::Attempts); // no permit for a fetch that could not be sent
        }
        // What falls into the same tick is no wait: the clock of a batch tells no finer times.
        let wait = if open.low { self.settings.tick_us } else { latest.saturating_sub(now) };
        let granted = self.limiter.try_reserve(now, wait);
        self.rate.bound |= granted.is_none_or(|at| at > now);
        let Some(at) = granted else { return self.give_up(id, Reason::NoPermit) };
        open.leads = true;
        self.flights.insert(open.key, Vec::new());
        if at <= now { self.send_origin(id) } else { self.hold(id, Phase::Held, at) }
    }

    /// Sends nothing for a request until a time, unless what it waits for comes first.
    fn hold(&mut self, id: RequestId, phase: Phase, until: Micros) {
        if let Some(open) = self.open.get_mut(&id) {
            (open.phase, open.due) = (phase, until);
            self.set_timer(until.saturating_sub(self.now), id.0);
        }
    }

    fn timer(&mut self, token: u64) {
        if token == WATCH {
            return self.out.push(Action::Watch);
        }
        let id = RequestId(token);
        let Some(open) = self.open.get_mut(&id).filter(|open| self.now >= open.due) else { return };
        match open.phase {
            Phase::Held => self.send_origin(id),
            Phase::Waiting if self.now >= open.deadline => self.give_up(id, Reason::Deadline),
            Phase::Waiting => {
                let home = open.home();
                self.read_again(id, home);
            }
            Phase::Sent if !self.settings.second_copies => self.consider(id),
            Phase::Sent if self.cuts >= 1.0 => {
                open.due = Micros::MAX;
                self.cuts -= 1.0;
                self.send_read(id);
            }
            _ => {}
        }
    }

    /// Cuts a read's try short if it looks lost, or looks again later: most that take long are at servers
    /// that are only slow. One that later tries overtook is lost; at a server silent since, it may be.
    fn consider(&mut self, id: RequestId) {
        let (Some(open), now) = (self.open.get_mut(&id), self.now) else { return };
        open.due = Micros::MAX;
        let (n, left) = (open.attempts.len() - 1, open.aim.saturating_sub(now));
        let attempt = &mut open.attempts[n];
        let server = &self.fleet.servers[attempt.slot as usize];
        let budget = match attempt.sent {
            sent if server.newest[1] > sent => Some(&mut self.retries),
            sent if server.heard < sent => Some(&mut self.cuts),
            _ => None,
        };
        let Some(budget) = budget.filter(|budget| **budget >= 1.0) else {
            if left / 2 > self.settings.tick_us {
                self.hold(id, Phase::Sent, now + left / 2);
            }
            return;
        };
        // Guards a try that is cut short against an empty budget at its end: its repeat is set aside with it.
        *budget -= 1.0;
        attempt.cut_short = true;
        self.out.push(Action::Cancel { id, attempt: n as u16 });
    }

    /// Books the end of an attempt, and goes on if it left the request unanswered.
    fn ended(&mut self, id: RequestId, n: u16, outcome: Outcome, latency: Micros, flags: (bool, bool, bool)) {
        let (finished, pending, stale) = flags;
        let Some(open) = self.open.get_mut(&id) else { return };
        let done = finished || open.phase == Phase::Done;
        // What was lost at jammed cache servers before is no fault of a fetch that took a part of the aim.
        let many = f64::from(self.settings.siblings.saturating_sub(FETCH_PART.0));
        let in_time =
            self.now <= open.aim || latency as f64 <= (FETCH_PART.1 * many).min(1.0) * open.aim_span();
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
            self.judge(slot, if stale { Outcome::Moot } else { outcome }, latency); // stale: no word of it
        } else if !stale && !matches!(outcome, Outcome::Moot | Outcome::Cancelled) {
            self.rate.learn(self.now, latency, outcome, in_time);
            self.limiter.set_rate(self.rate.per_s, self.now);
            if self.rate.bad > CLOSE_SHARE {
                // Guards the origin's places for connections against those that balancers keep idle.
                self.out.push(Action::CloseIdle(self.fleet.servers[slot as usize].entry.id));
            }
        }
        if done { self.close(id, true) } else { self.go_on(id, to_origin, outcome, pending) }
    }

    /// What follows an attempt that did not serve.
    fn go_on(&mut self, id: RequestId, to_origin: bool, outcome: Outcome, fetch_pending: bool) {
        if to_origin {
            self.land(id); // guards those who wait, and a copy still out, against a fetch that failed
        }
        let wait = self.rate.latency_us as Micros;
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.fetching() && !to_origin {
            return; // a second copy came back while the fetch is held or out: the fetch decides
        }
        let spare = open.left(&self.settings) >= 2;
        if !to_origin && outcome == Outcome::Miss && self.settings.mode == Mode::Aside {
            if fetch_pending && spare && !open.reread && self.now + 2 * wait < open.aim {
                open.reread = true; // another balancer's fetch will store it: one fetch for all, not one each
                return self.hold(id, Phase::Waiting, self.now + wait);
            }
            return self.fetch(id);
        }
        // Each repeat comes out of one budget: when many are turned away, more attempts are more load. Where
        // that was not the cause it costs a part of one, so that the budget binds on the others first.
        let by_load = matches!(outcome, Outcome::Full | Outcome::Timeout);
        let cost = if by_load { 1.0 } else { ACCIDENT };
        let write = open.req.write && self.now + wait < open.aim;
        let refetch = to_origin && !open.req.write && !by_load;
        let again =
            !to_origin || refetch || (write && self.open.get(&id).is_some_and(|o| self.may_send(o, None)));
        let not_sent = matches!(outcome, Outcome::Moot | Outcome::Cancelled);
        if !again || self.retries < cost || not_sent {
            let why = if again { Reason::RepeatBudget } else { Reason::FetchFailed };
            return self.give_up(id, if not_sent { Reason::NotSent } else { why });
        }
        self.retries -= cost;
        match (to_origin, refetch) {
            (false, _) => self.send_read(id),
            (true, true) => self.fetch(id), // if a permit is in time
            (true, false) => self.hold(id, Phase::Held, self.now + wait),
        }
    }

    /// Passive health: what a read's outcome says of its server.
    fn judge(&mut self, slot: u32, outcome: Outcome, latency: Micros) {
        let server = &mut self.fleet.servers[slot as usize];
        let (now, unreachable) = (self.now, outcome == Outcome::ConnectFailed);
        server.book_end(outcome);
        let (time, half) = (latency as f64, HEDGE_PART * self.pace.aim_us);
        let limit = half.max(SLOW * self.pace.median_us);
        // Late through its own fault: few of ours were in its way, and the fleet is quick.
        let late = time.min(self.pace.aim_us) > limit && f64::from(server.inflight) < BOUND_MIN;
        if matches!(outcome, Outcome::Ok | Outcome::Miss) {
            self.pace.learn(latency);
            server.answered = true;
            server.bad *= 1.0 - BAD_GAIN;
        }
        match outcome {
            Outcome::Ok | Outcome::Miss if !late => {
                server.faults *= 1.0 - FAULT_GAIN;
                // A cold server that is quick could do more: what it answers clocks what it is sent.
                server.cold_tokens += if time < self.pace.median_us.min(half) { COLD_GROWTH } else { 0.0 };
                if server.out_until > 0 {
                    // Back, but one that fails by fits and starts is soon out again, and for longer.
                    (server.out_until, server.bad) = (0, 0.5 * EJECT_SHARE);
                    server.faults = server.faults.min(0.5 * FAULT_SHARE);
                } else if server.bad < 0.05 && server.faults < 0.1 {
                    server.out_times = 0;
                }
            }
            Outcome::Moot | Outcome::Cancelled => {}
            Outcome::Full => server.full_until = now + FULL_US,
            Outcome::Timeout => server.bad += (1.0 - server.bad) * BAD_GAIN,
            Outcome::ConnectFailed => server.bad += (1.0 - server.bad) * 0.5,
            // An error, a broken connection, or an answer too late: guards the keys of a slow server.
            _ => server.faults += (1.0 - server.faults) * FAULT_GAIN,
        }
        let silent = server.bad > EJECT_SHARE;
        if (!silent && server.faults <= FAULT_SHARE) || now < server.out_until {
            return;
        }
        // When many look bad, the origin or the network is: only proof of unreachability takes out more.
        let out = (0..).zip(&self.fleet.servers).filter(|(n, s)| *n != slot && s.out_of_use()).count();
        let part = if silent { EJECT_PART } else { FAULT_PART };
        if unreachable || (self.fleet.ready > 1 && (out as f64) < f64::from(self.fleet.ready) * part) {
            let server = &mut self.fleet.servers[slot as usize];
            let span = EJECT_US << server.out_times.min(3);
            server.out_until = now + span + self.rng.u64(0..=span / 2);
            server.out_times += 1;
        }
    }
}
