//! Allocates slices on the leader: collects the demands of all holders, and proposes the slices of each.
//!
//! A slice grows only by free parts, so parts are taken from one holder before they are given to another.

mod targets;

use crate::book::ReservationBook;
use crate::booking::BookingId;
use crate::limits::{
    ALLOCATION_INTERVAL_US, LEASE_US, MAX_CHANGES, MAX_DEMANDS, MAX_HOLDERS, NO_SHOW_US, PROPOSAL_TIMEOUT_US,
    RATE_ERROR,
};
use crate::proposal::Proposal;
use crate::slice::{AllocationId, Holder, LeaseRenewal, SliceAllocation, SliceChange};
use crate::slice_request::SliceRequest;
use crate::span::{Micros, Revision};
use crate::state::Window;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use targets::{HolderDemand, slice_changes};

/// Time after the application of a revision at which every lease renewed before it has expired on its
/// holder's clock.
const EXPIRY_US: Micros = LEASE_US + LEASE_US / RATE_ERROR + 1;

/// The last request of a holder.
#[derive(Clone, Debug)]
struct ReceivedRequest {
    request: SliceRequest,
    received_at: Micros,
    /// Whether the lease has not been renewed for this request yet.
    is_new: bool,
}

/// A revision and the time by which everything up to it was applied. Revisions applied within
/// [`ALLOCATION_INTERVAL_US`] after `since` share an element.
#[derive(Clone, Copy, Debug)]
struct AppliedRevision {
    revision: Revision,
    since: Micros,
    until: Micros,
}

/// The planned changes to the slices of all bookings.
#[derive(Default)]
struct PlannedAllocation {
    changes: Vec<SliceChange>,
    /// Bookings in use for the first time in their current window.
    used: Vec<BookingId>,
}

/// The leader's allocation of slices. A new leader starts with no state other than the book.
#[derive(Clone, Debug)]
pub struct SliceAllocator {
    leader: Holder,
    sequence: u64,
    requests: BTreeMap<u16, ReceivedRequest>,
    departed: BTreeSet<Holder>,
    applied: VecDeque<AppliedRevision>,
    expired: Revision,
    next_poll: Micros,
    /// When the pending proposal was made.
    proposed_at: Option<Micros>,
}

impl SliceAllocator {
    /// Creates the allocator of a leader whose book is at `revision`. `now` is on the leader's own clock.
    pub fn new(leader: Holder, now: Micros, revision: Revision) -> Self {
        Self {
            leader,
            sequence: 0,
            requests: BTreeMap::new(),
            departed: BTreeSet::new(),
            applied: VecDeque::from([AppliedRevision { revision, since: now, until: now }]),
            expired: 0,
            next_poll: now,
            proposed_at: None,
        }
    }

    /// Handles a holder's request. Ignores a request that is older than the last of the same incarnation.
    pub fn handle_request(&mut self, now: Micros, mut request: SliceRequest) {
        let holder = request.holder;
        if holder.node_id >= MAX_HOLDERS {
            return;
        }
        request.demands.truncate(MAX_DEMANDS);
        let is_old = self.requests.get(&holder.node_id).is_some_and(|last| {
            last.request.holder.incarnation == holder.incarnation
                && last.request.requested_at >= request.requested_at
        });
        if !is_old {
            self.requests.insert(holder.node_id, ReceivedRequest { request, received_at: now, is_new: true });
        }
    }

    /// Handles a holder's announcement that this incarnation admits no more requests.
    pub fn handle_departure(&mut self, holder: Holder) {
        if holder.node_id < MAX_HOLDERS && self.departed.len() < usize::from(MAX_HOLDERS) {
            self.departed.insert(holder);
        }
    }

    /// Records that the book has applied everything up to its revision. The caller calls this after each entry.
    pub fn handle_applied(&mut self, now: Micros, book: &ReservationBook) {
        if book.state.last_allocation == self.allocation_id() {
            self.proposed_at = None;
        }
        let revision = book.revision();
        match self.applied.back_mut() {
            Some(last) if now < last.since.saturating_add(ALLOCATION_INTERVAL_US) => {
                last.revision = revision;
                last.until = now;
            }
            _ => self.applied.push_back(AppliedRevision { revision, since: now, until: now }),
        }
    }

    fn allocation_id(&self) -> AllocationId {
        AllocationId { incarnation: self.leader.incarnation, sequence: self.sequence }
    }

    /// Returns the proposal to make, if one is due. `fleet_time` is the timestamp that the proposal would get.
    pub fn poll(&mut self, now: Micros, fleet_time: Micros, book: &ReservationBook) -> Option<Proposal> {
        let is_pending =
            self.proposed_at.is_some_and(|proposed_at| now < proposed_at.saturating_add(PROPOSAL_TIMEOUT_US));
        if now < self.next_poll || is_pending {
            return None;
        }
        self.next_poll = now.saturating_add(ALLOCATION_INTERVAL_US);
        self.update_expired(now);
        self.requests.retain(|_, received| now < received.received_at.saturating_add(LEASE_US));
        if let Some(no_show) = find_no_show(fleet_time, book) {
            return Some(no_show);
        }
        let allocation = self.plan(fleet_time, book)?;
        self.proposed_at = Some(now);
        Some(Proposal::AllocateSlices(allocation))
    }

    /// Returns the next allocation, or `None` if it would change nothing.
    fn plan(&mut self, fleet_time: Micros, book: &ReservationBook) -> Option<SliceAllocation> {
        let PlannedAllocation { changes, used } = self.plan_changes(fleet_time, book);
        let expired = if self.expired > book.state.expired { self.expired } else { 0 };
        let mut departed: Vec<_> = std::mem::take(&mut self.departed).into_iter().collect();
        departed.retain(|holder| book.state.lease_of(*holder).is_some());
        let renewals = self.take_renewals();
        let has_changes =
            !changes.is_empty() || !used.is_empty() || !renewals.is_empty() || !departed.is_empty();
        if !has_changes && expired <= last_idle_revision(book) {
            return None;
        }
        self.sequence += 1;
        Some(SliceAllocation { id: self.allocation_id(), expired, departed, renewals, changes, used })
    }

    /// Updates the revision up to which renewed leases have expired.
    fn update_expired(&mut self, now: Micros) {
        while let Some(first) = self.applied.front()
            && first.until.saturating_add(EXPIRY_US) <= now
        {
            self.expired = first.revision;
            self.applied.pop_front();
        }
    }

    fn take_renewals(&mut self) -> Vec<LeaseRenewal> {
        let mut renewals = Vec::new();
        for received in self.requests.values_mut() {
            if std::mem::take(&mut received.is_new) {
                let SliceRequest { holder, requested_at, applied, .. } = received.request;
                renewals.push(LeaseRenewal { holder, requested_at, applied });
            }
        }
        renewals
    }

    fn plan_changes(&self, fleet_time: Micros, book: &ReservationBook) -> PlannedAllocation {
        let demands = self.demands_by_booking(book);
        let mut planned = PlannedAllocation::default();
        for (id, booking) in &book.state.bookings {
            let demands = demands.get(id).map_or(&[][..], Vec::as_slice);
            if demands.is_empty() && booking.slices.is_empty() {
                continue;
            }
            let is_first_use = booking.window_at(fleet_time).is_some_and(is_unused);
            if !demands.is_empty() && is_first_use {
                planned.used.push(*id);
            }
            let holders = self.holders_of(book, demands, booking.slices.keys().copied());
            planned.changes.extend(slice_changes(fleet_time, booking, demands, &holders));
        }
        planned.changes.truncate(MAX_CHANGES);
        planned
    }

    /// The demands of all holders with a lease, in the order of their node ids.
    fn demands_by_booking(&self, book: &ReservationBook) -> BTreeMap<BookingId, Vec<HolderDemand>> {
        let mut demands: BTreeMap<BookingId, Vec<HolderDemand>> = BTreeMap::new();
        for SliceRequest { holder, demands: requested, .. } in
            self.requests.values().map(|received| &received.request)
        {
            if book.state.lease_of(*holder).is_none() {
                continue;
            }
            for demand in requested {
                let demand_of_holder = HolderDemand { node_id: holder.node_id, rate: demand.rate };
                demands.entry(demand.booking).or_default().push(demand_of_holder);
            }
        }
        demands
    }

    /// The holders with a lease that demand or hold a slice, in the order of their node ids.
    fn holders_of(
        &self, book: &ReservationBook, demands: &[HolderDemand], slices: impl Iterator<Item = u16>,
    ) -> Vec<targets::LeaseHolder> {
        let node_ids: BTreeSet<u16> = demands.iter().map(|demand| demand.node_id).chain(slices).collect();
        let mut holders = Vec::new();
        for node_id in node_ids {
            let Some(lease) = book.state.leases.get(&node_id) else { continue };
            let holder = Holder { node_id, incarnation: lease.incarnation };
            let has_requested =
                self.requests.get(&node_id).is_some_and(|received| received.request.holder == holder);
            holders.push(targets::LeaseHolder { holder, has_requested });
        }
        holders
    }
}

fn is_unused(window: &Window) -> bool {
    !window.used && window.released_at.is_none()
}

/// The revision up to which an expiry would change nothing in the book. No entry is proposed for such an expiry
/// alone.
fn last_idle_revision(book: &ReservationBook) -> Revision {
    let leases = book.state.leases.values().map(|lease| lease.renewed_at);
    let unconfirmed = book.unconfirmed.iter().map(|slice| slice.changed_at);
    let released = book.state.released.iter().map(|(revision, _)| *revision);
    let first = leases.chain(unconfirmed).chain(released).min();
    first.map_or(Revision::MAX, |first| first.saturating_sub(1))
}

/// Returns a proposal to release a booking that has not been used for [`NO_SHOW_US`] since its current window
/// started.
fn find_no_show(fleet_time: Micros, book: &ReservationBook) -> Option<Proposal> {
    book.state.bookings.iter().find_map(|(id, booking)| {
        let window = booking.window_at(fleet_time).filter(|window| is_unused(window))?;
        let from = window.span.from;
        let is_no_show = fleet_time >= from.saturating_add(NO_SHOW_US);
        is_no_show.then_some(Proposal::NoShow { booking: *id, from })
    })
}
