//! The reports heard, what they add up to, and what follows for each server's weight.

use crate::Micros;
use crate::wire::{Report, Short, Stamp, Word};
use decide::api::{EndpointId, LoadReport};
use rustc_hash::FxHashMap;

/// The pause between reports, and up to a fifth more: balancers that started together must not go on together.
pub const PAUSE_US: Micros = 450_000;
/// A report counts for this long, unless the sender's next one comes: three of the pauses between reports.
pub const FRESH_US: Micros = 1_500_000;
/// The least part of its weight that a server keeps. Guards against one that is never looked at again.
pub const LEAST: f64 = 0.02;
/// And the most: an idle one may only look so until its keys have found it.
pub const MOST: f64 = 1.5;
/// How sharply a part answers to what is in a request's way there; see `docs/design/fleet.md`.
const SHARPNESS: f64 = 2.0;
/// And to the part of requests that are not answered there.
const SHARPNESS_FAILED: f64 = 4.0;
/// Loads are smoothed over this time when they rise, and over this when they fall: a jam is seen at once, and the fleet
/// does not answer to what its last answer caused.
const SMOOTH_US: (f64, f64) = (1e6, 3e6);
/// Ends of requests count for about this long.
const ENDS_US: f64 = 3e6;
/// Answers that each server is given in advance: one failure is no sign.
const IN_ADVANCE: f64 = 4.0;
/// A part changes only by more than this, so that keys on a border stay where they are.
const DEAD_BAND: f64 = 0.08;
/// The part of the others that must be heard for a full say: half of them may be down, or half the messages lost.
const HEARD_PART: f64 = 0.5;
/// And at least so many: one of a few balancers sees enough for itself, and what it does about it would be done twice.
const HEARD_LEAST: f64 = 20.0;
/// The most senders kept, whatever the settings say of the number of balancers.
const MAX_SENDERS: usize = 4_096;

/// With fewer balancers than this none speaks: each sees enough for itself (measured with four to six).
pub const ENOUGH: usize = 10;

/// What came of datagrams since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reports sent.
    pub told: u64,
    /// Bytes of these.
    pub told_bytes: u64,
    /// Reports that count, or counted.
    pub heard: u64,
    /// Datagrams that could not be read.
    pub unreadable: u64,
    /// Reports older than one heard before, or the same again.
    pub old: u64,
    /// Datagrams from none of the balancers, or from this one.
    pub strangers: u64,
}

/// What to do when it is time to speak.
#[derive(Debug, Clone, PartialEq)]
pub struct Turn {
    /// What to send to every other balancer.
    pub datagram: Vec<u8>,
    /// For each server asked about, the part of its listed weight to place keys by.
    pub parts: Vec<(EndpointId, f64)>,
}

#[derive(Debug, Clone)]
struct Heard {
    at: Micros,
    report: Report,
}

#[derive(Debug, Clone, Copy)]
struct View {
    held: f64,
    answered: f64,
    failed: f64,
    part: f64,
}

/// What one balancer has heard.
#[derive(Debug)]
pub struct GossipState {
    me: usize,
    stamp: Stamp,
    senders: Vec<Option<Heard>>,
    /// Bounded by the servers that the last turn asked about.
    views: FxHashMap<EndpointId, View>,
    last_turn: Option<Micros>,
    counts: Counts,
}

impl GossipState {
    /// Balancer number `me` of `balancers`, which has just started: it has heard nothing. `now` is Unix time.
    #[must_use]
    pub fn new(me: usize, balancers: usize, now: Micros) -> Self {
        Self {
            me,
            stamp: Stamp::first(now),
            senders: vec![None; balancers.min(MAX_SENDERS)],
            views: FxHashMap::default(),
            last_turn: None,
            counts: Counts::default(),
        }
    }

    /// How long to wait for the next turn; `chance` is drawn evenly from 0 to 1. The first comes after a part of that.
    #[must_use]
    pub fn pause(&self, chance: f64) -> Micros {
        let pause = PAUSE_US as f64;
        (if self.last_turn.is_none() { pause * (0.2 + 0.8 * chance) } else { pause * (1.0 + 0.2 * chance) })
            as Micros
    }

    /// Takes in a datagram of balancer number `from`. One that cannot be used is counted and changes nothing.
    pub fn hear(&mut self, now: Micros, from: usize, datagram: &[u8]) {
        let Some(sender) = self.senders.get_mut(from).filter(|_| from != self.me) else {
            self.counts.strangers += 1;
            return;
        };
        let Ok(report) = Report::decode(datagram) else {
            self.counts.unreadable += 1;
            return;
        };
        let fresh = |heard: &&Heard| now.saturating_sub(heard.at) < FRESH_US;
        if sender.as_ref().filter(fresh).is_some_and(|heard| !report.stamp.after(heard.report.stamp)) {
            self.counts.old += 1;
            return;
        }
        self.counts.heard += 1;
        *sender = Some(Heard { at: now, report });
    }

    /// Counts a datagram from an address of no balancer.
    pub fn hear_stranger(&mut self) {
        self.counts.strangers += 1;
    }

    /// What has come of datagrams so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Adds up what is known of these servers: `loads` is this balancer's own part, of each server that may be sent to.
    pub fn turn(&mut self, now: Micros, loads: &[LoadReport]) -> Turn {
        let word = |l: &LoadReport| {
            (Short::from(l.endpoint), Word { held: l.in_flight, answered: l.answered, failed: l.failed })
        };
        let datagram = Report { stamp: self.stamp, words: loads.iter().map(word).collect() }.encode();
        self.stamp = self.stamp.next();
        self.counts.told += 1;
        self.counts.told_bytes += datagram.len() as u64;

        let mut sums: FxHashMap<Short, Word> = FxHashMap::default();
        let mut others = 0;
        for sender in &mut self.senders {
            if sender.as_ref().is_some_and(|heard| now.saturating_sub(heard.at) >= FRESH_US) {
                *sender = None; // it has gone, or is not to be heard
            }
            let Some(heard) = sender else { continue };
            others += 1;
            for (name, word) in &mut heard.report.words {
                let sum = sums.entry(*name).or_default();
                sum.held += word.held;
                // Ends are news once only; what is held is so until the next report.
                sum.answered += std::mem::take(&mut word.answered);
                sum.failed += std::mem::take(&mut word.failed);
            }
        }
        let passed = self.last_turn.map_or(f64::INFINITY, |last| now.saturating_sub(last) as f64);
        self.last_turn = Some(now);
        let wanted = (HEARD_PART * self.senders.len().saturating_sub(1) as f64).max(HEARD_LEAST);
        let say = (f64::from(others) / wanted).min(1.0);
        let parts = self.weigh(loads, &sums, passed, say);
        Turn { datagram, parts }
    }

    /// How much is in a request's way at a server: itself and what is held there, by weight.
    fn in_the_way(load: f64, weight: f64) -> f64 {
        1.0 + load / weight.max(1e-3)
    }

    fn weigh(
        &mut self, loads: &[LoadReport], sums: &FxHashMap<Short, Word>, passed_us: f64, say: f64,
    ) -> Vec<(EndpointId, f64)> {
        let before = std::mem::take(&mut self.views);
        let keeps = |over_us: f64| (-passed_us / over_us).exp();
        let (mut sum_in_the_way, mut all) = (0.0, 0.0);
        for load in loads {
            let sum = sums.get(&load.endpoint.into()).copied().unwrap_or_default();
            let held = sum.held + load.in_flight;
            let new = View { held, answered: 0.0, failed: 0.0, part: 1.0 };
            let mut view = before.get(&load.endpoint).copied().unwrap_or(new);
            let smooth = if held > view.held { SMOOTH_US.0 } else { SMOOTH_US.1 };
            view.held += (held - view.held) * (1.0 - keeps(smooth));
            view.answered = view.answered * keeps(ENDS_US) + f64::from(sum.answered + load.answered);
            view.failed = view.failed * keeps(ENDS_US) + f64::from(sum.failed + load.failed);
            sum_in_the_way += load.weight * Self::in_the_way(view.held, load.weight);
            all += load.weight;
            self.views.insert(load.endpoint, view);
        }
        let mean = sum_in_the_way / all.max(1e-3);
        let part = |load: &LoadReport| {
            let view = self.views.get_mut(&load.endpoint)?;
            let good = 1.0 - view.failed / (view.failed + view.answered + IN_ADVANCE);
            let by_load = (mean / Self::in_the_way(view.held, load.weight)).powf(SHARPNESS * say);
            let wanted = (by_load * good.powf(SHARPNESS_FAILED * say)).clamp(LEAST, MOST);
            if (wanted / view.part - 1.0).abs() > DEAD_BAND || wanted == 1.0 {
                view.part = wanted;
            }
            Some((load.endpoint, view.part))
        };
        loads.iter().filter_map(part).collect()
    }
}
