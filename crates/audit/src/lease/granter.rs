//! The leader's side of leases: batches requests into few log entries.

use super::messages::{LeaseGrant, LeaseRequest};
use crate::Micros;
use std::collections::BTreeMap;

/// The shortest interval between two log entries of grants. Two entries a second carry the leases of any number of
/// balancers.
pub const GRANT_INTERVAL: Micros = 500_000;

/// A request that has not been granted yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    incarnation: u64,
    serial: u64,
}

/// Collects lease requests and returns the grants to propose. It keeps the newest request of each balancer, so its
/// size is bounded by the roster.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    roster: u16,
    interval: Micros,
    pending: BTreeMap<u16, PendingRequest>,
    next_at: Micros,
}

impl LeaseGranter {
    /// Creates the granter of a fleet of `roster` balancers, with an interval of [`GRANT_INTERVAL`].
    pub fn new(roster: u16) -> Self {
        Self::with_interval(roster, GRANT_INTERVAL)
    }

    /// Creates the granter of a fleet of `roster` balancers, with the given interval between log entries.
    pub fn with_interval(roster: u16, interval: Micros) -> Self {
        Self { roster, interval, pending: BTreeMap::new(), next_at: 0 }
    }

    /// Handles a request. A late or duplicated request never replaces a newer one of the same incarnation. A request of
    /// another incarnation always replaces the pending one, since it comes from the process that runs now.
    pub fn handle_request(&mut self, request: LeaseRequest) {
        if request.number >= self.roster {
            return;
        }
        let new = PendingRequest { incarnation: request.incarnation, serial: request.serial };
        let pending = self.pending.entry(request.number).or_insert(new);
        if pending.incarnation != new.incarnation || pending.serial < new.serial {
            *pending = new;
        }
    }

    /// Returns the grants to propose now as one log entry, or `None` if no request is pending or the last entry is too
    /// recent. An entry that is not committed needs no retry, since a balancer without a lease sends another request.
    pub fn poll_grants(&mut self, now: Micros) -> Option<Vec<LeaseGrant>> {
        if self.pending.is_empty() || now < self.next_at {
            return None;
        }
        self.next_at = now.saturating_add(self.interval);
        let pending = std::mem::take(&mut self.pending);
        let grant = |(number, request): (u16, PendingRequest)| LeaseGrant {
            number,
            incarnation: request.incarnation,
            serial: request.serial,
        };
        Some(pending.into_iter().map(grant).collect())
    }

    /// When to call [`LeaseGranter::poll_grants`] next; `None` if no request is pending.
    pub fn next_grant_at(&self) -> Option<Micros> {
        (!self.pending.is_empty()).then_some(self.next_at)
    }

    /// Drops all pending requests. Call this when this balancer is no longer the leader; balancers send new requests
    /// to the next leader.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
