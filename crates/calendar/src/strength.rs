//! The book of weights: what there was at a freeze's start, and how much of it a loss has opened to replacement.

use crate::entry::{Scope, ScopeTarget};
use crate::{Calendar, Change, Millis, TimeInterval};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// The part of a wanted weight that replacement yields at the least: less is not worth a cold host.
const LEAST_PART: f64 = 0.1;
/// Sums of some thousand weights differ by less than this part of them, in whatever order they are added.
const ROUNDING: f64 = 1e-9;

#[derive(Debug, Clone)]
struct Host {
    zone: String,
    weight: f64,
}

#[derive(Debug, Clone)]
struct Book {
    scope: Scope,
    /// The weight at the freeze's start.
    before: f64,
    /// The weight now.
    now: f64,
}

fn counts(place: &ScopeTarget, host: &str, zone: &str) -> bool {
    match place {
        ScopeTarget::Fleet => true,
        ScopeTarget::Zones(zones) => zones.iter().any(|it| it == zone),
        ScopeTarget::Group { hosts, .. } => hosts.iter().any(|it| it == host),
    }
}

impl Book {
    fn lost(&self) -> f64 {
        self.before - self.now
    }
    fn covers(&self, change: &Change<'_>) -> bool {
        let kinds = &self.scope.kinds;
        let host = change.host.unwrap_or_default();
        let mut zones = change.zones.iter().flatten();
        (kinds.is_empty() || kinds.contains(&change.kind))
            && (counts(&self.scope.place, host, "")
                || zones.any(|zone| counts(&self.scope.place, host, zone)))
    }
}

/// Weights by host, and one book for each freeze in force. Bounded by the members of its list and the calendar's entries.
#[derive(Debug, Clone, Default)]
pub struct AvailableCapacity {
    hosts: FxHashMap<String, Host>,
    fallen: FxHashSet<String>,
    books: BTreeMap<(String, Millis), Book>,
}

impl AvailableCapacity {
    /// Opens a book for each freeze that came into force, and closes those that are over. To be called before what is new is
    /// told: what was told up to now is what there was at the start.
    pub fn turn(&mut self, calendar: &Calendar, span: TimeInterval) {
        let mut before = std::mem::take(&mut self.books);
        for (entry, start) in calendar.in_force(span) {
            let key = (entry.id().to_owned(), start);
            let book = before.remove(&key).unwrap_or_else(|| {
                let weight = self.weight(&entry.scope().place);
                Book { scope: entry.scope().clone(), before: weight, now: weight }
            });
            self.books.insert(key, book);
        }
    }
    fn weight(&self, place: &ScopeTarget) -> f64 {
        let there = self.hosts.iter().filter(|(host, it)| counts(place, host, &it.zone));
        there.filter(|(host, _)| !self.fallen.contains(*host)).map(|(_, it)| it.weight).sum()
    }
    fn add(&mut self, host: &str, sign: f64) {
        let Some(it) = self.hosts.get(host).filter(|_| !self.fallen.contains(host)) else { return };
        for book in self.books.values_mut().filter(|book| counts(&book.scope.place, host, &it.zone)) {
            book.now += sign * it.weight;
        }
    }
    /// Notes the weight that a host has from now on; 0 for one that is gone or drains.
    pub fn tell(&mut self, host: &str, zone: &str, weight: f64) {
        self.add(host, -1.0);
        if weight > 0.0 {
            self.hosts.insert(host.to_owned(), Host { zone: zone.to_owned(), weight });
            self.add(host, 1.0);
        } else {
            self.hosts.remove(host);
            self.fallen.remove(host);
        }
    }
    /// Notes that a host fell: it is listed, and serves nobody.
    pub fn fell(&mut self, host: &str) {
        self.add(host, -1.0);
        if self.hosts.contains_key(host) {
            self.fallen.insert(host.to_owned());
        }
    }
    /// Notes that a fallen host serves again.
    pub fn rose(&mut self, host: &str) {
        if self.fallen.remove(host) {
            self.add(host, 1.0);
        }
    }
    /// The weight that a change may add as replacement, of what it wants to add: the least that the freezes over it have lost.
    pub fn room(&self, change: &Change<'_>, wanted: f64) -> Option<f64> {
        let over = self.books.values().filter(|book| book.covers(change));
        let least = over.min_by(|one, other| one.lost().total_cmp(&other.lost()))?;
        let (lost, rounding) = (least.lost(), least.before * ROUNDING);
        if lost <= rounding || wanted <= 0.0 || lost < wanted * LEAST_PART {
            return None;
        }
        // A weight that fits but for rounding is given whole.
        Some(if wanted <= lost + rounding { wanted } else { lost })
    }
}
