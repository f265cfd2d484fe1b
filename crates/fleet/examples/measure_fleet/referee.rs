//! The referee: records in true time when each calendar entry was committed, and checks at every tick that the fleet
//! obeys these entries.

use crate::common::{SECOND, Simulation, accepts_join};
use audit::lease::LeaseState;
use calendar::{Entry, EntryPhase};
use fleet::Micros;
use std::collections::BTreeMap;

/// The time from the commit of an entry until it must be in force: a lease, the error of clock rates, the calendar's
/// rounding up to milliseconds, and the delay of one or two messages. By that delay the fleet time of a new leader may
/// be behind that of the last one.
const BINDING_DELAY: Micros = crate::LEASE + crate::LEASE / 1_000 + 2_000 + 10_000;

/// A committed entry of the calendar.
struct EntryRecord {
    is_freeze: bool,
    committed: Micros,
    revoked: Option<Micros>,
}

/// The committed entries. The commit time of each is when the first balancer applied it.
#[derive(Default)]
pub(crate) struct Referee {
    entries: BTreeMap<String, EntryRecord>,
    last_calendar_revision: u64,
    pub(crate) checks: u64,
    /// Number of checks at which a freeze was in force.
    pub(crate) checks_in_freeze: u64,
    /// Number of checks at which the balancer allowed a join. Without a violation, no freeze was in force then.
    pub(crate) allowed_joins: u64,
    pub(crate) violation: Option<String>,
}

impl Referee {
    /// Checks whether a balancer obeys the committed entries now.
    pub(crate) fn check(&mut self, simulation: &Simulation, n: usize) {
        self.update_entries(simulation);
        self.checks += 1;
        if let Some((revision, at)) = simulation.divergences.first() {
            self.record_violation(
                simulation,
                format!("the calendar of {at} at revision {revision} differs from that of other balancers"),
            );
        }
        let frozen = self.freeze_in_force(simulation.now);
        let joins = accepts_join(simulation, n);
        self.allowed_joins += u64::from(joins);
        self.checks_in_freeze += u64::from(frozen.is_some());
        if let Some(id) = frozen.filter(|_| joins) {
            let committed = self.entries[&id].committed;
            let committed_at = simulation.calendars[n].committed_at(&id);
            let span = simulation.members[n]
                .as_ref()
                .and_then(|member| member.lease().fleet_time(simulation.local(n)));
            let late = simulation.now - committed - BINDING_DELAY;
            self.record_violation(
                simulation,
                format!(
                    "{n} allows a join {late} us after freeze {id} must be in force; \
                     it knows the freeze since {committed_at:?}, its fleet time is {span:?}"
                ),
            );
        }
        self.check_lease(simulation, n);
    }

    fn check_lease(&mut self, simulation: &Simulation, n: usize) {
        let Some(member) = &simulation.members[n] else { return };
        let local = simulation.local(n);
        let held =
            member.lease().state(local).0 == LeaseState::Held && member.lease().serve_until(local) > local;
        let Some(revision) = member.lease().revision(local).filter(|_| held) else { return };
        let applied_at = simulation.applied_at.get(revision as usize - 1).copied();
        if applied_at.is_none_or(|at| simulation.now >= at + BINDING_DELAY) {
            self.record_violation(
                simulation,
                format!("{n} serves under a lease of revision {revision}, which must have ended"),
            );
        }
    }

    fn record_violation(&mut self, simulation: &Simulation, description: String) {
        self.violation.get_or_insert(format!("at {} ms: {description}", simulation.now / 1_000));
    }

    fn update_entries(&mut self, simulation: &Simulation) {
        for (revision, (at, calendar)) in
            simulation.calendar_revisions.range(self.last_calendar_revision + 1..)
        {
            self.last_calendar_revision = *revision;
            for entry in calendar.entries() {
                let is_freeze = matches!(entry, Entry::Freeze(_));
                let record = self.entries.entry(entry.id().to_owned());
                let record = record.or_insert(EntryRecord { is_freeze, committed: *at, revoked: None });
                if record.revoked.is_none()
                    && calendar.phase(entry.id(), u64::MAX) == Some(EntryPhase::Revoked)
                {
                    record.revoked = Some(*at);
                }
            }
        }
    }

    /// Returns a freeze that must be in force on every balancer. Returns `None` if an override may be in force.
    fn freeze_in_force(&self, now: Micros) -> Option<String> {
        let may_override =
            |it: &EntryRecord| !it.is_freeze && it.revoked.is_none_or(|at| now < at + BINDING_DELAY);
        if self.entries.values().any(may_override) {
            return None;
        }
        let is_in_force = |it: &EntryRecord| {
            it.is_freeze && it.committed + BINDING_DELAY <= now && it.revoked.is_none_or(|at| now < at)
        };
        self.entries.iter().find(|(_, it)| is_in_force(it)).map(|(id, _)| id.clone())
    }

    /// Returns the ids of the entries that are not revoked.
    pub(crate) fn active_entries(&self) -> Vec<String> {
        self.entries.iter().filter(|(_, it)| it.revoked.is_none()).map(|(id, _)| id.clone()).collect()
    }
}

/// The share of fenced balancers among those without a fault of their own, over many samples.
#[derive(Default, Clone, Copy)]
pub(crate) struct FencedShare {
    pub(crate) worst: f64,
    sum: f64,
    samples: u64,
}

impl FencedShare {
    pub(crate) fn sample(&mut self, simulation: &Simulation, faultless: impl Fn(usize) -> bool) {
        let some: Vec<usize> = (0..simulation.members.len()).filter(|n| faultless(*n)).collect();
        let fenced = some.iter().filter(|n| simulation.lease_state(**n) == Some(LeaseState::Fenced)).count();
        let share = fenced as f64 / some.len().max(1) as f64;
        self.worst = self.worst.max(share);
        self.sum += share;
        self.samples += 1;
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.worst = self.worst.max(other.worst);
        self.sum += other.sum;
        self.samples += other.samples;
    }

    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.samples.max(1) as f64
    }
}

/// Formats a duration in seconds for the table.
pub(crate) fn seconds(span: Micros) -> String {
    format!("{:.2} s", span as f64 / SECOND as f64)
}
