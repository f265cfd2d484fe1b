//! Tracks which balancers hold a lease, from the applied log.

use super::messages::LeaseGrant;
use super::settings::LeaseSettings;
use crate::Micros;
use std::collections::BTreeMap;

/// Maximum number of incarnations tracked for each balancer. A request of an ended incarnation may be granted after
/// one of its successor. If only one incarnation were tracked, the running one would appear to be fenced.
const MAX_INCARNATIONS: usize = 4;

/// The holder of a lease: one incarnation of a balancer. Ordered by balancer first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Holder {
    number: u16,
    incarnation: u64,
}

/// A lease as observed by balancers other than its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ObservedLease {
    serial: u64,
    ends: Micros,
}

/// Tracks which balancers hold a lease, according to the log entries applied here. Its size is bounded by the roster
/// and by four incarnations of each balancer.
///
/// A lease is counted from when its grant was *applied* here, which is never before it was requested. So it ends
/// later here than at its holder. The absence of a lease is known only up to the applied revision: a lagging replica
/// may miss a grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolders {
    settings: LeaseSettings,
    leases: BTreeMap<Holder, ObservedLease>,
    applied: u64,
}

impl LeaseHolders {
    /// Creates a view in which no balancer holds a lease.
    pub fn new(settings: LeaseSettings) -> Self {
        Self { settings, leases: BTreeMap::new(), applied: 0 }
    }

    /// Applies the grants of the log entry `revision`, or of a snapshot up to it. Ignores a revision that is already
    /// applied.
    pub fn apply_grants(&mut self, now: Micros, revision: u64, grants: &[LeaseGrant]) {
        if revision <= self.applied {
            return;
        }
        self.applied = revision;
        let ends = now.saturating_add(self.settings.max_elapsed(self.settings.lease));
        let roster = self.settings.roster;
        for grant in grants.iter().filter(|grant| grant.number < roster) {
            let holder = Holder { number: grant.number, incarnation: grant.incarnation };
            self.leases.insert(holder, ObservedLease { serial: grant.serial, ends });
            self.evict_incarnation(grant.number);
        }
    }

    /// Drops the incarnation whose lease ends first if more than [`MAX_INCARNATIONS`] of this balancer are tracked.
    fn evict_incarnation(&mut self, number: u16) {
        let first = Holder { number, incarnation: 0 };
        let last = Holder { number, incarnation: u64::MAX };
        let incarnations = self.leases.range(first..=last);
        if incarnations.clone().count() > MAX_INCARNATIONS
            && let Some(oldest) = incarnations.min_by_key(|(_, lease)| lease.ends).map(|(holder, _)| *holder)
        {
            self.leases.remove(&oldest);
        }
    }

    /// Whether the balancer holds a lease in this incarnation. Messages from a balancer without one must not be
    /// counted.
    pub fn holds(&self, number: u16, incarnation: u64, now: Micros) -> bool {
        self.leases.get(&Holder { number, incarnation }).is_some_and(|lease| now < lease.ends)
    }

    /// Number and incarnation of every balancer that holds a lease.
    pub fn current(&self, now: Micros) -> impl Iterator<Item = (u16, u64)> {
        let held = self.leases.iter().filter(move |(_, lease)| now < lease.ends);
        held.map(|(holder, _)| (holder.number, holder.incarnation))
    }

    /// The last grant of each incarnation, for a snapshot of the log. A snapshot is restored by
    /// [`LeaseHolders::apply_grants`] and [`Lease::apply_grants`](super::Lease::apply_grants).
    pub fn grants(&self) -> Vec<LeaseGrant> {
        let grant = |(holder, lease): (&Holder, &ObservedLease)| LeaseGrant {
            number: holder.number,
            incarnation: holder.incarnation,
            serial: lease.serial,
        };
        self.leases.iter().map(grant).collect()
    }
}
