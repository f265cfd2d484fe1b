//! The gate before the decision module: of discovery's lists, what passes now and what waits.

use crate::list::{facts, planned, weight, with, with_facts};
use crate::waiting::Looked;
use crate::{
    AvailableCapacity, Calendar, Change, ChangeKind, HoldReason, LeaseState, Millis, PendingChange,
    PendingChanges, ReleasePace, TimeInterval, Verdict,
};
use hashlink::LinkedHashMap;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use std::sync::Arc;

/// Members that are kept: several of the longest lists.
pub const MAX_MEMBERS: usize = 65_536;

/// The moment of a turn.
#[derive(Debug, Clone, Copy)]
pub struct GateContext {
    /// On the owner's clock.
    pub now: Millis,
    /// What is known of fleet time.
    pub fleet_time: Option<TimeInterval>,
    /// How the balancer stands to the fleet.
    pub lease: LeaseState,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Taken: no freeze is over it, or none can be.
    Applied,
    /// Taken under an override.
    Override(Arc<str>),
    /// Taken in a freeze, for weight that was lost in it.
    Replacement,
    /// Taken with the first list of a process that knows none before: what is new on it cannot be told.
    InitialList,
    /// Held.
    Held {
        /// Why.
        reason: HoldReason,
        /// The fleet time at which to look again, where it is known.
        until: Option<Millis>,
    },
    /// Neither taken nor kept, for want of room; a later whole list names it again.
    QueueFull,
}

/// What became of a change, and by which state of the calendar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// The host.
    pub host: String,
    /// What changed.
    pub kind: ChangeKind,
    /// The revision of discovery's list.
    pub list: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// The revision of the calendar that it was checked against.
    pub revision: u64,
}

/// What may be accepted now, and a record of each change that was accepted or is held.
#[derive(Debug, Clone, PartialEq)]
pub struct GateResult {
    /// For the decision module; in changes, losses come first.
    pub list: EndpointList,
    /// What became of what.
    pub records: Vec<ChangeRecord>,
}

/// The members as accepted, and what it takes to judge a change of one.
#[derive(Debug, Clone, Default)]
struct Accepted {
    members: LinkedHashMap<String, EndpointRecord>,
    strength: AvailableCapacity,
    records: Vec<ChangeRecord>,
    list: u64,
}

impl Accepted {
    fn put(&mut self, member: EndpointRecord) {
        self.strength.tell(&member.id, &member.locality, weight(&member));
        if member.phase == Phase::Gone {
            self.members.remove(&member.id);
        } else {
            // In place: an insert would move the member behind all others.
            match self.members.get_mut(&member.id) {
                Some(there) => *there = member,
                None => drop(self.members.insert(member.id.clone(), member)),
            }
        }
    }
    fn note(&mut self, calendar: &Calendar, host: &str, kind: ChangeKind, outcome: ChangeOutcome) {
        let (list, revision) = (self.list, calendar.revision());
        self.records.push(ChangeRecord { host: host.to_owned(), kind, list, outcome, revision });
    }
    /// The weight to give, and why; or why the change is held.
    fn judge(
        &self, now: &GateContext, calendar: &Calendar, new: &EndpointRecord, kind: ChangeKind,
    ) -> Result<(f64, ChangeOutcome), ChangeOutcome> {
        let old = self.members.get(&new.id);
        let from =
            old.map(|it| it.locality.as_str()).filter(|it| *it != new.locality && kind == ChangeKind::Zone);
        // More weight comes to the zone that the host is in as accepted, and a changed zone is a change of both.
        let zone = old.filter(|_| kind == ChangeKind::More).map_or(&*new.locality, |it| &*it.locality);
        let change = Change { kind, host: Some(&new.id), zones: [Some(zone), from] };
        match calendar.check(now.fleet_time, now.lease, &change) {
            Verdict::Allow { override_id: Some(id), .. } => Ok((new.size, ChangeOutcome::Override(id))),
            Verdict::Allow { override_id: None, .. } => Ok((new.size, ChangeOutcome::Applied)),
            Verdict::Hold { reason, until } => {
                let held = ChangeOutcome::Held { reason, until };
                let by_loss = matches!(kind, ChangeKind::Join | ChangeKind::More)
                    && matches!(held, ChangeOutcome::Held { reason: HoldReason::Freeze { .. }, .. });
                let has = old.map_or(0.0, weight);
                let room = by_loss.then(|| self.strength.room(&change, weight(new) - has)).flatten();
                room.map(|more| (has + more, ChangeOutcome::Replacement)).ok_or(held)
            }
        }
    }
    /// Takes what may be taken of a member's new state, and yields the first change that may not. With `queue`, what only the
    /// end of a freeze lets pass waits its turn.
    fn take(
        &mut self, now: &GateContext, calendar: &Calendar, new: &EndpointRecord, queue: bool,
    ) -> (bool, Option<(ChangeKind, ChangeOutcome)>) {
        let (mut took, mut held) = (false, None);
        for kind in planned(self.members.get(&new.id), new) {
            match self.judge(now, calendar, new, kind) {
                Ok((_, ChangeOutcome::Applied)) if queue => {
                    held.get_or_insert((
                        kind,
                        ChangeOutcome::Held { reason: HoldReason::Queued, until: None },
                    ));
                }
                Ok(_) if kind == ChangeKind::Join && self.members.len() >= MAX_MEMBERS => {
                    held.get_or_insert((kind, ChangeOutcome::QueueFull));
                }
                Ok((size, outcome)) => {
                    let member = with(self.members.get(&new.id), new, kind, size);
                    self.put(member);
                    self.note(calendar, &new.id, kind, outcome.clone());
                    took = true;
                    if size < new.size {
                        let rest = self.judge(now, calendar, new, ChangeKind::More);
                        held = held.or(rest.err().map(|outcome| (ChangeKind::More, outcome)));
                    }
                }
                Err(outcome) => {
                    held.get_or_insert((kind, outcome));
                }
            }
        }
        (took, held)
    }
}

/// Splits discovery's lists into what may be accepted now and what waits for the end of a freeze.
#[derive(Debug, Clone)]
pub struct TopologyGate {
    accepted: Accepted,
    waiting: PendingChanges<EndpointRecord>,
    /// Whether there is a state that new hosts can be told from.
    known: bool,
}

impl TopologyGate {
    /// A gate of a process that knows `known_until` from the one before it, or nothing. A process that knows nothing takes all that its
    /// first whole list names, in a freeze too: it must serve, and cannot tell what is new.
    pub fn new(known: Option<Vec<EndpointRecord>>, steps: ReleasePace) -> Self {
        let (is_known, mut accepted) = (known.is_some(), Accepted::default());
        known.into_iter().flatten().take(MAX_MEMBERS).for_each(|it| accepted.put(it));
        Self { accepted, waiting: PendingChanges::new(steps), known: is_known }
    }
    /// The members as accepted.
    pub fn members(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.accepted.members.values()
    }
    /// What waits.
    pub fn waiting(&self) -> &PendingChanges<EndpointRecord> {
        &self.waiting
    }
    /// When to call [`TopologyGate::release`] next, on the owner's clock; what waits for a freeze's end is looked at with each step.
    pub fn next_release_at(&self) -> Option<Millis> {
        self.waiting.wake()
    }
    /// Notes that a host fell: what it served is open to replacement.
    pub fn mark_down(&mut self, host: &str) {
        self.accepted.strength.fell(host);
    }
    /// Notes that a fallen host serves again.
    pub fn mark_up(&mut self, host: &str) {
        self.accepted.strength.rose(host);
    }
    fn turn(&mut self, now: &GateContext, calendar: &Calendar) {
        if let Some(span) = now.fleet_time.filter(|_| self.known) {
            self.accepted.strength.turn(calendar, span);
        }
    }
    /// What may be accepted of a list. Losses and facts pass first, and at once.
    pub fn apply_list(&mut self, now: &GateContext, calendar: &Calendar, list: &EndpointList) -> GateResult {
        self.turn(now, calendar);
        self.accepted.list = list.revision;
        // Of several states of one host only the last counts.
        let newest: LinkedHashMap<&str, &EndpointRecord> =
            list.members.iter().map(|it| (it.id.as_str(), it)).collect();
        if !self.known {
            return self.first(now, calendar, list, &newest);
        }
        let mut lost = self.left_out(calendar, list, &newest);
        let mut touched = Vec::new();
        for (host, new) in &newest {
            match self.take_facts(now, calendar, new) {
                Some(ChangeKind::Drain | ChangeKind::Gone | ChangeKind::Less) => {
                    lost.push((*host).to_owned())
                }
                Some(_) => touched.push((*host).to_owned()),
                None => {}
            }
        }
        let mut queue = None;
        for (host, new) in &newest {
            if self.take_planned(now, calendar, new, &mut queue) {
                touched.push((*host).to_owned());
            }
        }
        let members = if list.complete {
            newest.keys().filter_map(|host| self.accepted.members.get(*host).cloned()).collect()
        } else {
            self.changed(lost.iter().chain(&touched), &newest)
        };
        self.heard(list.complete, members)
    }
    fn heard(&mut self, complete: bool, members: Vec<EndpointRecord>) -> GateResult {
        let records = std::mem::take(&mut self.accepted.records);
        GateResult { list: EndpointList { revision: self.accepted.list, complete, members }, records }
    }
    fn first(
        &mut self, now: &GateContext, calendar: &Calendar, list: &EndpointList,
        newest: &LinkedHashMap<&str, &EndpointRecord>,
    ) -> GateResult {
        for (host, new) in newest.iter().take(MAX_MEMBERS) {
            self.accepted.put((*new).clone());
            self.accepted.note(calendar, host, ChangeKind::Join, ChangeOutcome::InitialList);
        }
        self.known = list.complete;
        self.turn(now, calendar);
        let members = newest.values().take(MAX_MEMBERS).map(|it| (*it).clone()).collect();
        self.heard(list.complete, members)
    }
    /// Takes the loss of the hosts that a whole list does not name any more.
    fn left_out(
        &mut self, calendar: &Calendar, list: &EndpointList, newest: &LinkedHashMap<&str, &EndpointRecord>,
    ) -> Vec<String> {
        if !list.complete {
            return Vec::new();
        }
        let named = |host: &str| newest.contains_key(host);
        let wanted: Vec<_> = self.waiting.iter().map(|it| it.0.to_owned()).filter(|it| !named(it)).collect();
        for host in wanted {
            self.waiting.cancel(&host);
        }
        let gone: Vec<_> = self.accepted.members.values().filter(|it| !named(&it.id)).cloned().collect();
        for member in &gone {
            self.accepted.put(EndpointRecord { phase: Phase::Gone, ..member.clone() });
            self.accepted.note(calendar, &member.id, ChangeKind::Gone, ChangeOutcome::Applied);
        }
        gone.into_iter().map(|it| it.id).collect()
    }
    fn take_facts(
        &mut self, now: &GateContext, calendar: &Calendar, new: &EndpointRecord,
    ) -> Option<ChangeKind> {
        let old = self.accepted.members.get(&new.id);
        let kind = facts(old, new)?;
        // A host that drains before it was ever taken is not named either, where it could not have joined.
        if old.is_none()
            && kind == ChangeKind::Drain
            && self.accepted.judge(now, calendar, new, ChangeKind::Join).is_err()
        {
            return None;
        }
        let member = old.map_or_else(|| new.clone(), |it| with_facts(it, new));
        if old.is_some() || self.accepted.members.len() < MAX_MEMBERS {
            self.accepted.put(member);
            self.accepted.note(calendar, &new.id, kind, ChangeOutcome::Applied);
        }
        Some(kind)
    }
    /// Whether any of it is taken.
    fn take_planned(
        &mut self, now: &GateContext, calendar: &Calendar, new: &EndpointRecord, queue: &mut Option<bool>,
    ) -> bool {
        if planned(self.accepted.members.get(&new.id), new).is_empty() {
            self.waiting.cancel(&new.id);
            return false;
        }
        // While what waited is taken in steps, nobody goes past it; what a freeze still holds is in nobody's way.
        let queue = *queue.get_or_insert_with(|| {
            let passes = |it: &PendingChange<EndpointRecord>| {
                self.accepted.judge(now, calendar, &it.state, it.kind).is_ok()
            };
            self.waiting.iter().any(|(_, it)| passes(it))
        });
        let (took, held) = self.accepted.take(now, calendar, new, queue);
        match held {
            None => drop(self.waiting.cancel(&new.id)),
            Some((kind, ChangeOutcome::Held { reason, until })) => {
                self.hold(now, calendar, new, kind, reason, until)
            }
            Some((kind, outcome)) => self.accepted.note(calendar, &new.id, kind, outcome),
        }
        took
    }
    fn hold(
        &mut self, now: &GateContext, calendar: &Calendar, new: &EndpointRecord, kind: ChangeKind,
        reason: HoldReason, until: Option<Millis>,
    ) {
        let waited =
            PendingChange { reason: reason.clone(), kind, since: now.now, state: new.clone(), until };
        match self.waiting.hold(&new.id, waited) {
            Ok(true) => self.accepted.note(calendar, &new.id, kind, ChangeOutcome::Held { reason, until }),
            Ok(false) => {}
            Err(_) => self.accepted.note(calendar, &new.id, kind, ChangeOutcome::QueueFull),
        }
    }
    /// The states to hand on of the hosts that changed; of those that went, the state that says so.
    fn changed<'a>(
        &self, hosts: impl Iterator<Item = &'a String>, newest: &LinkedHashMap<&str, &EndpointRecord>,
    ) -> Vec<EndpointRecord> {
        let mut out = LinkedHashMap::new();
        for host in hosts.filter(|it| !it.is_empty()) {
            let now = self.accepted.members.get(host).or_else(|| newest.get(host.as_str()).copied());
            if let Some(member) = now
                && !out.contains_key(host)
            {
                out.insert(host.clone(), member.clone());
            }
        }
        out.into_iter().map(|it| it.1).collect()
    }
    /// The next step of what waited and may be taken now; `None` when there is none.
    pub fn release(&mut self, now: &GateContext, calendar: &Calendar) -> Option<GateResult> {
        self.turn(now, calendar);
        let Self { accepted, waiting, .. } = self;
        let mut hosts = Vec::new();
        let look = |host: &str, it: &mut PendingChange<EndpointRecord>| {
            let (took, held) = accepted.take(now, calendar, &it.state, false);
            if took {
                hosts.push(host.to_owned());
            }
            match held {
                None => Looked::Taken,
                Some((kind, ChangeOutcome::Held { reason, until })) => {
                    (it.kind, it.reason, it.until) = (kind, reason, until);
                    if took { Looked::InPart } else { Looked::Held }
                }
                Some(_) => Looked::Held,
            }
        };
        waiting.look(now.now, look, &mut Vec::new());
        if hosts.is_empty() {
            return None;
        }
        let members = self.changed(hosts.iter(), &LinkedHashMap::new());
        Some(self.heard(false, members))
    }
}
