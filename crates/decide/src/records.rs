//! The records that the decision module keeps: plain data and look-ups, no decisions.

mod fleet;

use crate::api::{
    CellId, Class, DedupScope, Effect, EndpointEntry, Key, Micros, Outcome, Reason, Request, Settings, ZoneId,
};
pub(crate) use fleet::Fleet;
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
    pub(crate) latency_objective_us: f64, // the shortest of what is safe to repeat
}

impl Pace {
    /// Starts at the shortest aim, and falls from there: nothing is slow before it is known what is quick.
    pub(crate) fn new(latency_objective_us: Micros) -> Self {
        let latency_objective_us = latency_objective_us as f64;
        Self { median_us: latency_objective_us, latency_objective_us }
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
    pub(crate) fn new(slot: u32, sent: Micros, to_origin: bool, entry: &EndpointEntry) -> Self {
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
    pub(crate) fn in_group(&self, scope: DedupScope, entry: &EndpointEntry) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == entry.zone,
            DedupScope::Cell => self.cell == entry.cell,
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
        let deadline = now + req.remaining_us;
        let aim = class.map_or(deadline, |c| deadline.min(now + c.latency_objective_us));
        let late_pays = class.is_some_and(|c| c.late_weight > 0.0);
        Self {
            req,
            key,
            effect: class.map_or(Effect::NonIdempotent, |c| c.effect),
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
            Reason::Shed | Reason::NoPermit if self.over => Reason::OverQuota,
            _ if !harmless => Reason::MayHaveRun,
            Reason::NoEndpoint if self.left(settings) == 0 => Reason::AttemptLimit,
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
