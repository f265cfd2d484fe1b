//! Who is told of news, and who is asked by one that is behind.
use crate::{Micros, NodeId, Revision, message::Leader};
use rustc_hash::FxHashMap;

/// How often a balancer tells its revision unasked, in microseconds.
pub(crate) const RUMOUR_US: Micros = 250_000;
/// How many it tells.
pub(crate) const TOLD: usize = 3;
/// When one behind asks another, in microseconds: above a round trip.
const ASK_AGAIN_US: Micros = 200_000;
/// Answers given between two ticks: bounds what a fleet that comes up costs one balancer.
const ANSWERS: u32 = 32;

pub(crate) struct Learn {
    others: Vec<(NodeId, bool)>,
    heard: FxHashMap<NodeId, Revision>,
    pub(crate) leader: Option<Leader>,
    asked: Option<(NodeId, Micros)>,
    next: Micros,
    pub(crate) news: bool,
    answered: u32,
}

impl Learn {
    pub(crate) fn new(me: NodeId, everyone: &[(NodeId, u16)]) -> Self {
        let zone = everyone.iter().find(|other| other.0 == me).map(|own| own.1);
        let others = everyone.iter().filter(|other| other.0 != me);
        let others = others.map(|other| (other.0, Some(other.1) == zone)).collect();
        let heard = FxHashMap::default();
        let (leader, asked) = (None, None);
        Learn { others, heard, leader, asked, next: 0, news: false, answered: 0 }
    }

    pub(crate) fn knows(&self, number: NodeId) -> bool {
        self.others.iter().any(|other| other.0 == number)
    }

    pub(crate) fn heard(&mut self, from: NodeId, revision: Revision, leader: Option<Leader>) {
        self.heard.insert(from, revision);
        self.leader = self.leader.max(leader);
    }

    /// The highest revision heard of, from each its last word.
    pub(crate) fn best(&self) -> Revision {
        self.heard.values().copied().max().unwrap_or(0)
    }

    /// Whom to tell now, if it is time or there is news.
    pub(crate) fn tell(&mut self, now: Micros, random: &mut fastrand::Rng) -> Vec<NodeId> {
        if now < self.next && !self.news {
            return Vec::new();
        }
        if now >= self.next {
            self.next = now + RUMOUR_US;
        }
        let drawn = random.choose_multiple(self.others.iter(), TOLD);
        drawn.into_iter().map(|other| other.0).collect()
    }

    /// Whom to ask now, if this balancer is behind.
    pub(crate) fn ask(&mut self, now: Micros, have: Revision, random: &mut fastrand::Rng) -> Option<NodeId> {
        let waits = self.asked.is_some_and(|asked| now < asked.1 + ASK_AGAIN_US);
        if waits || self.best() <= have {
            return None;
        }
        let last = self.asked.map(|asked| asked.0);
        let ahead = |other: &&(NodeId, bool)| self.heard.get(&other.0).is_some_and(|heard| *heard > have);
        let ahead: Vec<_> = self.others.iter().filter(ahead).collect();
        let near: Vec<_> = ahead.iter().filter(|other| other.1 && Some(other.0) != last).collect();
        let asked = match random.choice(near) {
            Some(near) => near.0,
            None => random.choice(&ahead)?.0,
        };
        self.asked = Some((asked, now));
        Some(asked)
    }

    /// An answer came; the next question need not wait.
    pub(crate) fn answered(&mut self) {
        self.asked = None;
    }

    pub(crate) fn may_answer(&mut self) -> bool {
        self.answered += 1;
        self.answered <= ANSWERS
    }

    pub(crate) fn tick(&mut self) {
        self.answered = 0;
    }
}
