//! The leader's side: asks gathered into few entries of the log.

use super::{LeaseGrant, LeaseRequest};
use crate::Micros;
use std::collections::BTreeMap;

/// The least pause between two entries of grants: two entries a second carry the leases of any number of balancers.
pub const GRANT_EVERY: Micros = 500_000;

/// Gathers asks and yields what to propose; the newest ask of each balancer, so that the roster bounds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    roster: u16,
    every: Micros,
    /// Life and serial of each that waits.
    waiting: BTreeMap<u16, (u64, u64)>,
    next: Micros,
}

impl LeaseGranter {
    /// Of a leader among so many balancers, with a pause of [`GRANT_EVERY`].
    pub fn new(roster: u16) -> Self {
        Self::with_pause(roster, GRANT_EVERY)
    }

    /// The same with another pause between entries.
    pub fn with_pause(roster: u16, every: Micros) -> Self {
        Self { roster, every, waiting: BTreeMap::new(), next: 0 }
    }

    /// An ask has come in. One late or doubled never takes a newer one's place; one of another life does, as that is what speaks now.
    pub fn handle_request(&mut self, ask: LeaseRequest) {
        if ask.number >= self.roster {
            return;
        }
        let newest = self.waiting.entry(ask.number).or_insert((ask.incarnation, ask.serial));
        if newest.0 != ask.incarnation || newest.1 < ask.serial {
            *newest = (ask.incarnation, ask.serial);
        }
    }

    /// The grants to propose now as one entry, if any wait and the last entry is long enough ago. One that is not agreed is not missed:
    /// whoever got no lease asks again.
    pub fn poll_grants(&mut self, now: Micros) -> Option<Vec<LeaseGrant>> {
        if self.waiting.is_empty() || now < self.next {
            return None;
        }
        self.next = now.saturating_add(self.every);
        let waiting = std::mem::take(&mut self.waiting);
        Some(
            waiting
                .into_iter()
                .map(|(number, (incarnation, serial))| LeaseGrant { number, incarnation, serial })
                .collect(),
        )
    }

    /// When [`LeaseGranter::poll_grants`] next has something, if anything waits.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.waiting.is_empty()).then_some(self.next)
    }

    /// This one leads no longer: what waits is asked of another.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}
