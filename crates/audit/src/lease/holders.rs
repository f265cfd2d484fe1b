//! Who holds a lease in the fleet's eyes, from the applied log.

use super::{LeaseGrant, Settings};
use crate::Micros;
use std::collections::BTreeMap;

/// Lives of one balancer that are known at once. An ask of a life gone by may be granted after one of the next: were only one
/// kept, the living would be taken for shut out.
const LIVES: usize = 4;

/// A lease as everybody but its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    serial: u64,
    ends: Micros,
}

/// Who holds a lease, as far as the log is applied here; bounded by the roster and [`LIVES`].
///
/// A lease counts from when it was *heard of*, which is never before it was asked for, so that it ends here later than for its holder.
/// "Holds none" is as good as the log applied: one behind in the log may not know of a grant yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolders {
    settings: Settings,
    held: BTreeMap<(u16, u64), Held>,
    applied: u64,
}

impl LeaseHolders {
    /// Nobody holds one yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, held: BTreeMap::new(), applied: 0 }
    }

    /// The entry `revision` with these grants, or a snapshot up to it, is applied. A revision already seen changes nothing.
    pub fn apply_grants(&mut self, now: Micros, revision: u64, grants: &[LeaseGrant]) {
        if revision <= self.applied {
            return;
        }
        self.applied = revision;
        let ends = now.saturating_add(self.settings.longer(self.settings.lease));
        let roster = self.settings.roster;
        for grant in grants.iter().filter(|it| it.number < roster) {
            self.held.insert((grant.number, grant.incarnation), Held { serial: grant.serial, ends });
            self.bound(grant.number);
        }
    }

    /// Drops the life that ends first where there are too many of one balancer.
    fn bound(&mut self, number: u16) {
        let incarnations = self.held.range((number, 0)..=(number, u64::MAX));
        if incarnations.clone().count() > LIVES
            && let Some(first) = incarnations.min_by_key(|(_, it)| it.ends).map(|(key, _)| *key)
        {
            self.held.remove(&first);
        }
    }

    /// Whether this one in this life still holds a lease; what one without says is not to be counted.
    pub fn holds(&self, number: u16, incarnation: u64, now: Micros) -> bool {
        self.held.get(&(number, incarnation)).is_some_and(|it| now < it.ends)
    }

    /// Number and life of all that hold one.
    pub fn current(&self, now: Micros) -> impl Iterator<Item = (u16, u64)> {
        self.held.iter().filter(move |(_, it)| now < it.ends).map(|(key, _)| *key)
    }

    /// The last grant of each life, for a snapshot of the log: taken in again by [`LeaseHolders::granted`] and by
    /// [`Lease::granted`](super::Lease::granted).
    pub fn grants(&self) -> Vec<LeaseGrant> {
        let grant = |(key, it): (&(u16, u64), &Held)| LeaseGrant {
            number: key.0,
            incarnation: key.1,
            serial: it.serial,
        };
        self.held.iter().map(grant).collect()
    }
}
