//! One balancer's own lease: asked for, held, ended, and what it may do in each.

use super::hearing::Hearing;
use super::{LeaseGrant, LeaseRequest, Settings, TimeInterval};
use crate::{FleetMicros, Micros};
use std::collections::VecDeque;

/// Asks whose time of sending is remembered: two leases' worth. A grant for an older one would have ended on arrival.
const ASKS_REMEMBERED: usize = 8;

/// Pauses between asks are shorter by up to this part, drawn, so that those of balancers started together part.
const SPREAD: u64 = 4;

/// What a balancer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// A lease is in force: all is allowed.
    Held,
    /// No lease, and the fault is ours: others are still granted theirs, or too few are heard. Nothing new is taken.
    Fenced,
    /// No lease, others are heard, and nobody is granted one any more: the council is lost. Requests go on, planned changes wait.
    Orphaned,
}

/// When an ask left, on our own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    serial: u64,
    at: Micros,
}

/// What ties fleet time to our clock: a stamp that was made between asking and hearing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Anchor {
    stamp: FleetMicros,
    asked: Micros,
    heard: Micros,
    /// By how much fleet time had come further here than the stamp says.
    ahead: Micros,
}

/// One balancer's own lease.
///
/// It counts from when it was *asked for*, on this clock: no leader can have granted it earlier, so whoever counts from the grant
/// sees it end later than we do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    number: u16,
    incarnation: u64,
    settings: Settings,
    serial: u64,
    next_ask: Micros,
    sent: VecDeque<Sent>,
    /// The last revision applied that had grants in it.
    applied: u64,
    /// Held before this, never from it on.
    ends: Micros,
    /// The revision that the lease in force was granted at.
    revision: u64,
    anchor: Option<Anchor>,
    others: Hearing,
}

impl Lease {
    /// A balancer that starts now, without a lease: fenced until its first grant, or until it has listened for a whole lease
    /// in which nobody was granted anything new: all that were granted before have ended by then.
    pub fn new(number: u16, incarnation: u64, settings: Settings, now: Micros) -> Self {
        Self {
            number,
            incarnation,
            settings,
            serial: 0,
            next_ask: now,
            sent: VecDeque::with_capacity(ASKS_REMEMBERED),
            applied: 0,
            ends: 0,
            revision: 0,
            anchor: None,
            others: Hearing::new(now),
        }
    }

    /// What to send to the leader, if it is time to ask again. To be sent now: the lease is counted from here.
    pub fn poll_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.next_ask {
            return None;
        }
        self.serial += 1;
        self.next_ask = now.saturating_add(self.pause());
        if self.sent.len() == ASKS_REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back(Sent { serial: self.serial, at: now });
        Some(LeaseRequest { number: self.number, incarnation: self.incarnation, serial: self.serial })
    }

    /// When [`Lease::poll_request`] next has something to send.
    pub fn next_request_at(&self) -> Micros {
        self.next_ask
    }

    /// The entry `revision` of the log, or a snapshot up to it, is applied, and these grants were in it, stamped `at`.
    ///
    /// To be called in the log's order and only when *all* up to `revision` is applied: that whoever holds a lease has applied what it
    /// was granted behind rests on this. A revision already seen changes nothing.
    pub fn apply_grants(&mut self, now: Micros, revision: u64, at: FleetMicros, grants: &[LeaseGrant]) {
        if revision <= self.applied {
            return;
        }
        self.applied = revision;
        if !grants.is_empty() {
            self.others.logged(at);
        }
        let (number, incarnation) = (self.number, self.incarnation);
        let ours = grants.iter().filter(|it| it.number == number && it.incarnation == incarnation);
        for grant in ours {
            let Some(sent) = self.sent.iter().find(|it| it.serial == grant.serial).copied() else { continue };
            let ends = sent.at.saturating_add(self.settings.shorter(self.settings.lease));
            if ends > self.ends {
                self.ends = ends;
                self.revision = revision;
            }
            let before = self.fleet_time(now);
            self.anchor = Some(Anchor { stamp: at, asked: sent.at, heard: now, ahead: 0 });
            self.never_back(now, before);
        }
    }

    /// Guards what came into force against being undone: the next leader's stamps may lie behind by the way of a message.
    fn never_back(&mut self, now: Micros, before: Option<TimeInterval>) {
        let after = self.fleet_time(now);
        if let (Some(before), Some(after), Some(anchor)) = (before, after, &mut self.anchor) {
            anchor.ahead = before.earliest.saturating_sub(after.latest);
        }
    }

    /// Another balancer said what its last grant was stamped, by its own [`Lease::granted_at`].
    pub fn record_peer_grant(&mut self, now: Micros, number: u16, granted_at: Option<FleetMicros>) {
        if number < self.settings.roster && number != self.number {
            self.others.heard(now, number, granted_at, self.settings.fresh);
        }
    }

    /// The stamp of the last grant of ours that is applied, to tell the others, whether it has ended or not; none before the first.
    pub fn granted_at(&self) -> Option<FleetMicros> {
        self.anchor.map(|it| it.stamp)
    }

    /// How we stand, and when that is to be looked at again: a lease ends then, or what was heard is no longer fresh.
    pub fn state(&self, now: Micros) -> (LeaseState, Micros) {
        if now < self.ends {
            return (LeaseState::Held, self.ends);
        }
        let orphaned_until = self.others.orphaned_until(now, self.granted_at(), &self.settings);
        if now < orphaned_until {
            return (LeaseState::Orphaned, orphaned_until);
        }
        (LeaseState::Fenced, self.others.changes_at(now, self.settings.fresh))
    }

    /// Until when new requests may be taken; 0 if none may.
    ///
    /// Where it is heard before the lease's end that nobody is granted one any more, this goes on past that end: the council is lost, and no turn of ours is needed in between for requests to go on.
    pub fn serve_until(&self, now: Micros) -> Micros {
        let until = self.ends.max(self.others.orphaned_until(now, self.granted_at(), &self.settings));
        if now < until { until } else { 0 }
    }

    /// Until when planned changes may be made, 0 if none may: only a lease allows them. To be looked at for each change, so that a
    /// process that was stopped finds it past.
    pub fn change_until(&self, now: Micros) -> Micros {
        if now < self.ends { self.ends } else { 0 }
    }

    /// The revision at which the lease in force now was granted: all up to it is applied.
    pub fn revision(&self, now: Micros) -> Option<u64> {
        (now < self.ends).then_some(self.revision)
    }

    /// What fleet time is now, from the last grant; nothing before the first.
    pub fn fleet_time(&self, now: Micros) -> Option<TimeInterval> {
        let Anchor { stamp, asked, heard, ahead } = self.anchor?;
        let stamp = stamp.saturating_add(ahead);
        Some(TimeInterval {
            earliest: stamp.saturating_add(self.settings.shorter(now.saturating_sub(heard))),
            latest: stamp.saturating_add(self.settings.longer(now.saturating_sub(asked))),
        })
    }

    fn pause(&self) -> Micros {
        let spread = self.settings.ask_every / SPREAD;
        let least = self.settings.ask_every - spread;
        // Never longer than `ask_every`: four asks fit into a lease whatever was drawn.
        least + fastrand::Rng::with_seed(self.incarnation.wrapping_add(self.serial)).u64(0..=spread)
    }
}
