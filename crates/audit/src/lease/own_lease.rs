//! One balancer's own lease: requests, grants, expiry, and what the balancer may do in each state.

use super::messages::{LeaseGrant, LeaseRequest, TimeInterval};
use super::peer_grants::PeerGrants;
use super::settings::LeaseSettings;
use crate::{FleetMicros, Micros};
use std::collections::VecDeque;

/// Number of requests whose send time is kept: those of two leases. A lease granted for an older request has already
/// ended when the grant arrives.
const MAX_SENT_REQUESTS: usize = 8;

/// Jitter shortens an interval between requests by up to one part in `JITTER_FRACTION`, so that balancers started
/// together spread their requests.
const JITTER_FRACTION: u64 = 4;

/// The state of a balancer's lease, which determines what the balancer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// A lease is in force, and everything is allowed.
    Held,
    /// No lease is in force and the fault is local: peers are still granted leases, or too few peers report. No new
    /// request is admitted.
    Fenced,
    /// No lease is in force and no reporting peer is granted one any more: the quorum group is lost. Requests are
    /// served, planned changes are held.
    Orphaned,
}

/// A sent request, with its send time on the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    serial: u64,
    at: Micros,
}

/// Ties fleet time to the local clock: the stamp was made between the request and the arrival of its grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Anchor {
    stamp: FleetMicros,
    requested_at: Micros,
    received_at: Micros,
    /// How far the fleet time derived from the previous anchor was ahead of this stamp.
    ahead: Micros,
}

/// One balancer's own lease.
///
/// The lease is counted from when it was *requested*, on the local clock. No leader can have granted it earlier, so
/// every balancer that counts from the grant sees it end later than its holder does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    number: u16,
    incarnation: u64,
    settings: LeaseSettings,
    serial: u64,
    next_request_at: Micros,
    sent: VecDeque<SentRequest>,
    /// The last applied revision that contained grants.
    applied: u64,
    /// The lease is held until this time, exclusive.
    ends: Micros,
    /// The revision at which the lease in force was granted.
    revision: u64,
    anchor: Option<Anchor>,
    peers: PeerGrants,
}

impl Lease {
    /// Creates the lease of a balancer that starts now and holds none. The balancer is fenced until its first grant,
    /// or until it has listened for a whole lease without a new grant to any balancer, after which all earlier leases
    /// have ended.
    pub fn new(number: u16, incarnation: u64, settings: LeaseSettings, now: Micros) -> Self {
        Self {
            number,
            incarnation,
            settings,
            serial: 0,
            next_request_at: now,
            sent: VecDeque::with_capacity(MAX_SENT_REQUESTS),
            applied: 0,
            ends: 0,
            revision: 0,
            anchor: None,
            peers: PeerGrants::new(now),
        }
    }

    /// Returns the request to send to the leader, if one is due. The caller must send it at once, since the lease is
    /// counted from `now`.
    pub fn poll_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.next_request_at {
            return None;
        }
        self.serial += 1;
        self.next_request_at = now.saturating_add(self.jittered_interval());
        if self.sent.len() == MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentRequest { serial: self.serial, at: now });
        Some(LeaseRequest { number: self.number, incarnation: self.incarnation, serial: self.serial })
    }

    /// When to call [`Lease::poll_request`] next.
    pub fn next_request_at(&self) -> Micros {
        self.next_request_at
    }

    /// Applies the grants of the log entry `revision`, or of a snapshot up to it, stamped `at`.
    ///
    /// Call this in log order, and only after *everything* up to `revision` is applied. The guarantee that a lease
    /// holder has applied all entries before its grant depends on this. A revision that is already applied is
    /// ignored.
    pub fn apply_grants(&mut self, now: Micros, revision: u64, at: FleetMicros, grants: &[LeaseGrant]) {
        if revision <= self.applied {
            return;
        }
        self.applied = revision;
        if !grants.is_empty() {
            self.peers.record_logged_grant(at);
        }
        let (number, incarnation) = (self.number, self.incarnation);
        let ours = grants.iter().filter(|grant| grant.number == number && grant.incarnation == incarnation);
        for grant in ours {
            let Some(sent) = self.sent.iter().find(|sent| sent.serial == grant.serial).copied() else {
                continue;
            };
            let ends = sent.at.saturating_add(self.settings.min_elapsed(self.settings.lease));
            if ends > self.ends {
                self.ends = ends;
                self.revision = revision;
            }
            let before = self.fleet_time(now);
            self.anchor = Some(Anchor { stamp: at, requested_at: sent.at, received_at: now, ahead: 0 });
            self.keep_monotonic(now, before);
        }
    }

    /// Keeps fleet time from going back, which could undo what is in force. The stamps of a new leader may be behind
    /// by the latency of a message.
    fn keep_monotonic(&mut self, now: Micros, before: Option<TimeInterval>) {
        let after = self.fleet_time(now);
        if let (Some(before), Some(after), Some(anchor)) = (before, after, &mut self.anchor) {
            anchor.ahead = before.earliest.saturating_sub(after.latest);
        }
    }

    /// Records a peer's report of the stamp of its last grant, which is the peer's [`Lease::granted_at`].
    pub fn record_peer_grant(&mut self, now: Micros, number: u16, granted_at: Option<FleetMicros>) {
        if number < self.settings.roster && number != self.number {
            self.peers.record_report(now, number, granted_at, self.settings.report_ttl);
        }
    }

    /// The stamp of the last applied grant to this balancer, or `None` before the first grant. It is reported to
    /// peers even after the lease has ended.
    pub fn granted_at(&self) -> Option<FleetMicros> {
        self.anchor.map(|anchor| anchor.stamp)
    }

    /// The state of the lease, and when to check it again because the lease ends or a report expires.
    pub fn state(&self, now: Micros) -> (LeaseState, Micros) {
        if now < self.ends {
            return (LeaseState::Held, self.ends);
        }
        let orphaned_until = self.peers.orphaned_until(now, self.granted_at(), &self.settings);
        if now < orphaned_until {
            return (LeaseState::Orphaned, orphaned_until);
        }
        (LeaseState::Fenced, self.peers.next_expiry(now, self.settings.report_ttl))
    }

    /// The time until which new requests may be admitted, or 0 if none may be admitted.
    ///
    /// If the quorum group is known to be lost before the lease ends, the result is later than that end. Requests are
    /// then served past the end without another call.
    pub fn serve_until(&self, now: Micros) -> Micros {
        let until = self.ends.max(self.peers.orphaned_until(now, self.granted_at(), &self.settings));
        if now < until { until } else { 0 }
    }

    /// The time until which planned changes may be made, or 0 if none may be made. Only a lease in force allows them.
    /// The caller checks this before each change, so that a process that was stopped detects that its lease has
    /// ended.
    pub fn change_until(&self, now: Micros) -> Micros {
        if now < self.ends { self.ends } else { 0 }
    }

    /// The revision at which the lease in force was granted, or `None` without a lease. Everything up to it is applied.
    pub fn revision(&self, now: Micros) -> Option<u64> {
        (now < self.ends).then_some(self.revision)
    }

    /// The current fleet time, derived from the last grant. `None` before the first grant.
    pub fn fleet_time(&self, now: Micros) -> Option<TimeInterval> {
        let Anchor { stamp, requested_at, received_at, ahead } = self.anchor?;
        let stamp = stamp.saturating_add(ahead);
        Some(TimeInterval {
            earliest: stamp.saturating_add(self.settings.min_elapsed(now.saturating_sub(received_at))),
            latest: stamp.saturating_add(self.settings.max_elapsed(now.saturating_sub(requested_at))),
        })
    }

    fn jittered_interval(&self) -> Micros {
        let jitter = self.settings.request_interval / JITTER_FRACTION;
        let shortest = self.settings.request_interval - jitter;
        let mut random = fastrand::Rng::with_seed(self.incarnation.wrapping_add(self.serial));
        // Never longer than `request_interval`, so that the planned number of requests fits into a lease.
        shortest + random.u64(0..=jitter)
    }
}
