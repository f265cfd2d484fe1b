//! The referee: keeps a book of its own of what was agreed when, in true time, and looks at every tick whether the fleet keeps to it.

use crate::common::{SECOND, Site, accepts_join};
use audit::lease::LeaseState;
use calendar::{Entry, EntryPhase};
use fleet::Micros;
use std::collections::BTreeMap;

/// A lease and the error of clocks' rates; with it the calendar's rounding up to milliseconds, and the way of a message or two: by so much a
/// new leader's fleet time may be behind the last one's.
const BINDING: Micros = crate::LEASE + crate::LEASE / 1_000 + 2_000 + 10_000;

struct Noted {
    freeze: bool,
    agreed: Micros,
    revoked: Option<Micros>,
}

/// What was agreed, by the first balancer that applied it.
#[derive(Default)]
pub(crate) struct Referee {
    book: BTreeMap<String, Noted>,
    read: u64,
    pub(crate) looks: u64,
    /// Looks at which a freeze was in force.
    pub(crate) frozen_looks: u64,
    /// Joins taken, all of them while none was.
    pub(crate) joins: u64,
    pub(crate) violation: Option<String>,
}

impl Referee {
    /// What a balancer may be doing at this moment, against the book.
    pub(crate) fn look(&mut self, site: &Site, n: usize) {
        self.read(site);
        self.looks += 1;
        if let Some((revision, at)) = site.diverged.first() {
            self.found(site, format!("calendar of {at} at revision {revision} is not the others'"));
        }
        let frozen = self.frozen(site.now);
        let joins = accepts_join(site, n);
        self.joins += u64::from(joins);
        self.frozen_looks += u64::from(frozen.is_some());
        if let Some(id) = frozen.filter(|_| joins) {
            let agreed = self.book[&id].agreed;
            let knows = site.calendars[n].agreed_at(&id);
            let span = site.members[n].as_ref().and_then(|member| member.lease().fleet_time(site.local(n)));
            let late = site.now - agreed - BINDING;
            self.found(
                site,
                format!("{n} takes a join {late} us into freeze {id}, known to it as {knows:?}, its fleet time {span:?}"),
            );
        }
        self.look_at_lease(site, n);
    }

    fn look_at_lease(&mut self, site: &Site, n: usize) {
        let Some(member) = &site.members[n] else { return };
        let local = site.local(n);
        let held =
            member.lease().state(local).0 == LeaseState::Held && member.lease().serve_until(local) > local;
        let Some(revision) = member.lease().revision(local).filter(|_| held) else { return };
        let heard = site.applied.get(revision as usize - 1).copied();
        if heard.is_none_or(|heard| site.now >= heard + BINDING) {
            self.found(site, format!("{n} serves under a lease of revision {revision}, over for all others"));
        }
    }

    fn found(&mut self, site: &Site, what: String) {
        self.violation.get_or_insert(format!("at {} ms: {what}", site.now / 1_000));
    }

    fn read(&mut self, site: &Site) {
        for (revision, (at, calendar)) in site.decided.range(self.read + 1..) {
            self.read = *revision;
            for entry in calendar.entries() {
                let freeze = matches!(entry, Entry::Freeze(_));
                let noted = self.book.entry(entry.id().to_owned());
                let noted = noted.or_insert(Noted { freeze, agreed: *at, revoked: None });
                if noted.revoked.is_none()
                    && calendar.phase(entry.id(), u64::MAX) == Some(EntryPhase::Revoked)
                {
                    noted.revoked = Some(*at);
                }
            }
        }
    }

    /// The freeze that is in force for everybody, if one is and nobody can have leave from it.
    fn frozen(&self, now: Micros) -> Option<String> {
        let leave = |it: &Noted| !it.freeze && it.revoked.is_none_or(|at| now < at + BINDING);
        if self.book.values().any(leave) {
            return None;
        }
        let force =
            |it: &Noted| it.freeze && it.agreed + BINDING <= now && it.revoked.is_none_or(|at| now < at);
        self.book.iter().find(|(_, it)| force(it)).map(|(id, _)| id.clone())
    }

    /// Entries that are not revoked, for whoever proposes that one be.
    pub(crate) fn open(&self) -> Vec<String> {
        self.book.iter().filter(|(_, it)| it.revoked.is_none()).map(|(id, _)| id.clone()).collect()
    }
}

/// How many of those without a fault of their own were shut out at a time.
#[derive(Default, Clone, Copy)]
pub(crate) struct ShutOut {
    pub(crate) worst: f64,
    sum: f64,
    samples: u64,
}

impl ShutOut {
    pub(crate) fn sample(&mut self, site: &Site, faultless: impl Fn(usize) -> bool) {
        let some: Vec<usize> = (0..site.members.len()).filter(|n| faultless(*n)).collect();
        let out = some.iter().filter(|n| site.lease_state(**n) == Some(LeaseState::Fenced)).count();
        let share = out as f64 / some.len().max(1) as f64;
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

/// A span in seconds, for the table.
pub(crate) fn seconds(span: Micros) -> String {
    format!("{:.2} s", span as f64 / SECOND as f64)
}
