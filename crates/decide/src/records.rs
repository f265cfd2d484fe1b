//! The records that the decision module keeps: plain data and look-ups, no decisions.

use crate::api::{
    CellId, Class, Effect, Key, Load, Micros, Mode, Outcome, Presence, Reason, Request, Scope, ServerEntry,
    ServerId, Settings, ZoneId,
};
use rustc_hash::FxHashMap;
use std::mem;

/// Keys in the younger half of the table.
const TABLE_KEYS: usize = 20_000;

/// By which part an answer moves the median of all: seven-fold at most within a hundred answers.
const PACE_STEP: f64 = 0.02;

/// Table servers kept per key: its home, then where it goes when that is out of bounds.
pub(crate) const RANKS: usize = 4;

/// A count of events that forgets: each weighs less as it ages, by the span.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Lately {
    sum: f64,
    at: Micros,
}

impl Lately {
    /// About the number of events within the last `span_us`.
    pub(crate) fn sum(&self, now: Micros, span_us: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / span_us).exp()
    }
    pub(crate) fn add(&mut self, now: Micros, span_us: f64) {
        *self = Self { sum: self.sum(now, span_us) + 1.0, at: now };
    }
}

/// How quick the fleet is: about the median time of its answers, whatever a few slow servers take.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pace {
    pub(crate) median_us: f64,
    pub(crate) aim_us: f64, // the shortest of what is safe to repeat
}

impl Pace {
    /// Starts at the shortest aim, and falls from there: nothing is slow before it is known what is quick.
    pub(crate) fn new(aim_us: Micros) -> Self {
        let aim_us = aim_us as f64;
        Self { median_us: aim_us, aim_us }
    }
    pub(crate) fn learn(&mut self, time_us: Micros) {
        self.median_us *= 1.0 + if time_us as f64 > self.median_us { PACE_STEP } else { -PACE_STEP };
    }
}

/// The learned fetch rate: raised while the limiter binds and fetches are good, cut when they are not.
#[derive(Debug, Clone, Default)]
pub(crate) struct OriginRate {
    pub(crate) per_s: f64,
    pub(crate) start: f64,
    pub(crate) latency_us: f64,
    pub(crate) bad: f64,
    pub(crate) bound: bool,
    pub(crate) next_change: Micros,
    pub(crate) served: Lately,
}

/// A listed server.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) is_origin: bool,
    pub(crate) weight: f64, // as listed, where that is a lasting size
    pub(crate) warmth: f64, // the part of its work that it can surely do, by the stated warm-up
    pub(crate) part: f64,   // of its weight, by what the instances together make of it
    pub(crate) inflight: u32,
    held: (Micros, Micros), // when that last changed, and its sum over time, since this instance last told
    pub(crate) ended: (u32, u32), // and how many were answered, and how many were not
    pub(crate) answered: bool,
    pub(crate) heard: Micros,       // when it last answered anything
    pub(crate) newest: [Micros; 2], // when those were sent that it answered and that were sent last
    pub(crate) bad: f64,            // smoothed share of attempts that met silence or no connection
    pub(crate) faults: f64,         // and of those that broke or were answered badly
    pub(crate) out_until: Micros,
    pub(crate) out_times: u32,
    pub(crate) full_until: Micros,
    pub(crate) cold_tokens: f64,
    pub(crate) cold_mark: f64,
}

impl Server {
    /// Listed as ready and taken out of use by its faults: one that drains or is gone is out of use anyhow.
    pub(crate) fn out_of_use(&self) -> bool {
        self.out_until > 0 && self.entry.presence == Presence::Ready
    }
    /// Listed as ready, and no origin.
    pub(crate) fn caches(&self) -> bool {
        self.entry.presence == Presence::Ready && !self.is_origin
    }
    /// Books attempts that begin or end there.
    pub(crate) fn board(&mut self, now: Micros, change: i32) {
        let (since, sum) = self.held;
        self.held = (now, sum + now.saturating_sub(since) * Micros::from(self.inflight));
        self.inflight = self.inflight.saturating_add_signed(change);
    }
    /// Counts the end of an attempt, for the other instances. Time-outs show in what it holds.
    pub(crate) fn book_end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Miss => self.ended.0 += 1,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => self.ended.1 += 1,
            _ => {}
        }
    }
    /// Books any answer to an attempt sent at `sent`.
    pub(crate) fn hear(&mut self, now: Micros, sent: Micros) {
        self.heard = now;
        if sent > self.newest[0] {
            self.newest = [sent, self.newest[0]];
        } else if sent > self.newest[1] {
            self.newest[1] = sent;
        }
    }
}

/// The servers listed, in slots that are used again, and sums over those that are ready.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    index: FxHashMap<ServerId, u32>,
    pub(crate) origin: Option<u32>,
    pub(crate) generation: u32,
    pub(crate) ready: u32,
    pub(crate) listed: f64, // sum of weights
    pub(crate) ramped: f64, // and of the same cut by warm-up
    pub(crate) next_ramp: Option<Micros>,
    told: Micros, // when the other instances were last told of loads
}

impl Fleet {
    pub(crate) fn all_gone(&mut self) {
        for server in &mut self.servers {
            server.entry.presence = Presence::Gone;
        }
    }

    /// Books one line of the list. A server that restarted keeps nothing but what is still in flight to it.
    pub(crate) fn apply(&mut self, entry: ServerEntry, cold_tokens: f64, cold_mark: f64) {
        let mut fresh = Server {
            entry,
            is_origin: false,
            weight: 1.0,
            warmth: 1.0,
            part: 1.0,
            inflight: 0,
            held: (0, 0),
            ended: (0, 0),
            answered: entry.online_since == 0,
            heard: 0,
            newest: [0; 2],
            bad: 0.0,
            faults: 0.0,
            out_until: 0,
            out_times: 0,
            full_until: 0,
            cold_tokens,
            cold_mark,
        };
        if let Some(&slot) = self.index.get(&entry.id) {
            let server = &mut self.servers[slot as usize];
            if server.entry.online_since == entry.online_since {
                server.entry = entry;
            } else {
                (fresh.inflight, fresh.held) = (server.inflight, server.held);
                *server = fresh;
            }
            return;
        }
        if entry.presence == Presence::Gone {
            return;
        }
        // Slots of servers that left are used again, so that long days with many deploys stay small.
        let left = |s: &Server| s.entry.presence == Presence::Gone && s.inflight == 0;
        let slot = self.servers.iter().position(left).unwrap_or(self.servers.len());
        if let Some(server) = self.servers.get_mut(slot) {
            self.index.remove(&server.entry.id);
            *server = fresh;
        } else {
            self.servers.push(fresh);
        }
        self.index.insert(entry.id, slot as u32);
    }

    /// Listed as ready, and not out of use; after its time out of use it is on trial with one request.
    pub(crate) fn usable(&self, slot: u32, now: Micros) -> bool {
        let server = &self.servers[slot as usize];
        let trial = now >= server.out_until && server.inflight == 0;
        server.entry.presence == Presence::Ready && (server.out_until == 0 || trial)
    }

    /// What this instance's requests came to at each ready cache server since it was last asked.
    pub(crate) fn take_loads(&mut self, now: Micros) -> Vec<Load> {
        let since = mem::replace(&mut self.told, now);
        let span_us = now.saturating_sub(since).max(1) as f64;
        let load = |server: &mut Server| {
            server.board(now, 0);
            let held = mem::take(&mut server.held.1) as f64 / span_us;
            let (answered, failed) = mem::take(&mut server.ended);
            Load { server: server.entry.id, weight: server.weight * server.warmth, held, answered, failed }
        };
        self.servers.iter_mut().filter(|server| server.caches()).map(load).collect()
    }

    /// Takes in the parts that servers keep of their weights; rows of the table then rank again.
    pub(crate) fn set_parts(&mut self, parts: &[(ServerId, f64)]) {
        for (id, part) in parts {
            let slot = self.index.get(id).map(|slot| *slot as usize);
            let Some(server) = slot.and_then(|slot| self.servers.get_mut(slot)) else { continue };
            if server.part != *part {
                server.part = *part;
                self.generation += 1;
            }
        }
    }

    /// Brings the weights of warming servers up to date, once it is time.
    pub(crate) fn ramp(&mut self, now: Micros, settings: &Settings) {
        if self.next_ramp.is_some_and(|at| now >= at) {
            self.reweigh(now, settings);
        }
    }

    /// Brings weights and sums up to date; a new generation tells table rows to rank again.
    pub(crate) fn reweigh(&mut self, now: Micros, settings: &Settings) {
        self.generation += 1;
        (self.ready, self.listed, self.ramped, self.origin, self.next_ramp) = (0, 0.0, 0.0, None, None);
        for (slot, server) in (0..).zip(&mut self.servers) {
            let since = server.entry.online_since;
            let age = now.saturating_sub(since);
            let warm = since == 0 || age >= settings.cold_us;
            let ramp = age as f64 / settings.cold_us as f64;
            server.warmth = if warm { 1.0 } else { settings.cold_from + (1.0 - settings.cold_from) * ramp };
            server.weight = if settings.weights_last { server.entry.weight } else { 1.0 };
            server.is_origin =
                settings.mode == Mode::Aside && settings.origin_kind == Some(server.entry.kind);
            if server.entry.presence != Presence::Ready {
                continue;
            }
            if server.is_origin {
                self.origin = self.origin.or(Some(slot));
                continue;
            }
            self.ready += 1;
            self.listed += server.weight;
            self.ramped += server.weight * server.warmth;
            if !warm {
                self.next_ramp = Some(now + settings.cold_us / 16);
            }
        }
    }
}

/// A key's row: its servers, best first, and how often it was read of late.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Row {
    pub(crate) slots: [u32; RANKS],
    pub(crate) len: usize,
    pub(crate) generation: u32,
    pub(crate) asked: Lately,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) slot: u32,
    pub(crate) sent: Micros,
    pub(crate) to_origin: bool,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) cut_short: bool,          // a repeat is set aside for it
    pub(crate) stale: bool,              // lost with its connection: its server may be asked again
    pub(crate) outcome: Option<Outcome>, // `None` while it is out
}

impl Attempt {
    pub(crate) fn new(slot: u32, sent: Micros, to_origin: bool, entry: &ServerEntry) -> Self {
        Self {
            slot,
            sent,
            to_origin,
            zone: entry.zone,
            cell: entry.cell,
            cut_short: false,
            stale: false,
            outcome: None,
        }
    }
    /// Whether this server drops repeats of what was sent here.
    pub(crate) fn in_group(&self, scope: Scope, entry: &ServerEntry) -> bool {
        match scope {
            Scope::All => true,
            Scope::Zone => self.zone == entry.zone,
            Scope::Cell => self.cell == entry.cell,
        }
    }
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.proves_never_ran())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Sent,    // an attempt is out
    Held,    // a fetch waits for its permit, or a write for its next try
    Waiting, // another request is fetching the key
    Done,    // streaming or answered: only outcomes still come
}

/// A span in which reads are out without a break, and the answers since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Spell {
    pub(crate) since: Micros,
    pub(crate) answers: f64,
}

impl Spell {
    /// Its answers as a rate over `span_us`; 0 once it has lasted that long.
    pub(crate) fn answers(&self, now: Micros, span_us: f64) -> f64 {
        let lasted_us = (now.saturating_sub(self.since) as f64).max(1.0);
        if lasted_us < span_us { self.answers * span_us / lasted_us } else { 0.0 }
    }
}

#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) req: Request,
    pub(crate) key: Key,
    pub(crate) effect: Effect,
    pub(crate) aim: Micros,
    pub(crate) deadline: Micros,
    pub(crate) useful_until: Micros,
    pub(crate) low: bool,
    pub(crate) over: bool, // beyond its tenant's share
    pub(crate) phase: Phase,
    pub(crate) due: Micros,
    pub(crate) leads: bool,
    pub(crate) reread: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Open {
    pub(crate) fn new(now: Micros, req: Request, key: Key, class: Option<&Class>) -> Self {
        let deadline = now + req.time_left_us;
        let aim = class.map_or(deadline, |c| deadline.min(now + c.aim_us));
        let late_pays = class.is_some_and(|c| c.late_worth > 0.0);
        Self {
            req,
            key,
            effect: class.map_or(Effect::Fragile, |c| c.effect),
            aim,
            deadline,
            useful_until: if late_pays { deadline } else { aim },
            low: false,
            over: false,
            phase: Phase::Sent,
            due: 0,
            leads: false,
            reread: false,
            attempts: Vec::with_capacity(2),
        }
    }
    /// From its first attempt to its aim, in microseconds.
    pub(crate) fn aim_span(&self) -> f64 {
        self.attempts.first().map_or(0.0, |first| self.aim.saturating_sub(first.sent) as f64)
    }
    pub(crate) fn home(&self) -> Option<u32> {
        self.attempts.iter().find(|a| a.outcome == Some(Outcome::Miss)).map(|a| a.slot)
    }
    /// Whether the origin has answered it, and so stored the value at its home.
    pub(crate) fn stored(&self) -> bool {
        self.attempts.iter().any(|a| a.to_origin && a.outcome == Some(Outcome::Ok))
    }
    /// Whether its own fetch (or write) waits for its time or is out.
    pub(crate) fn fetching(&self) -> bool {
        self.phase == Phase::Held || self.attempts.iter().any(|a| a.to_origin && a.outcome.is_none())
    }
    pub(crate) fn maybe_ran(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
    /// Words why it is given up: what binds for good goes before what happened to bind.
    pub(crate) fn reason(&self, why: Reason, now: Micros, harmless: bool, settings: &Settings) -> Reason {
        match why {
            _ if now >= self.deadline => Reason::Deadline,
            Reason::Shed | Reason::NoPermit if self.over => Reason::OverShare,
            _ if !harmless => Reason::MayHaveRun,
            Reason::NoServer if self.left(settings) == 0 => Reason::Attempts,
            why => why,
        }
    }
    /// Attempts it may still make.
    pub(crate) fn left(&self, settings: &Settings) -> usize {
        (settings.max_attempts as usize).saturating_sub(self.attempts.len())
    }
    /// Attempts that are out.
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    pub(crate) fn all_ended(&self) -> bool {
        self.out() == 0
    }
}

/// The key-to-server table, in two halves so that idle keys fall out without a scan.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    young: FxHashMap<Key, Row>,
    old: FxHashMap<Key, Row>,
}

impl KeyTable {
    pub(crate) fn take(&mut self, key: Key) -> Option<Row> {
        self.young.remove(&key).or_else(|| self.old.remove(&key))
    }
    pub(crate) fn put(&mut self, key: Key, row: Row) {
        if self.young.len() >= TABLE_KEYS {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(key, row);
    }
}

/// The timer of the next call to discovery; every other timer bears the id of its request.
pub(crate) const WATCH: u64 = u64::MAX;

/// The finalizer of splitmix64: spreads every bit of its input over the output.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
