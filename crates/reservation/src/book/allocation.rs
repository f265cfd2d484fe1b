//! Allocates slices so that the parts that all holders may still use never sum up to more than the booking.

use super::ReservationBook;
use crate::booking::BookingId;
use crate::limits::{DYNAMIC_PARTS, LEASE_US, MAX_CHANGES, MAX_HOLDERS, RATE_ERROR, STATIC_PARTS};
use crate::outcome::Outcome;
use crate::rate::{Parts, PerKind};
use crate::slice::{
    Holder, HolderLease, LeaseRenewal, Slice, SliceAllocation, SliceChange, UnconfirmedSlice,
};
use crate::span::{Micros, Revision};

impl ReservationBook {
    /// Applies an allocation of the leader: ends and renews leases, and changes slices.
    pub(super) fn allocate(&mut self, allocation: &SliceAllocation) -> Outcome {
        let leases = allocation.renewals.len() + allocation.departed.len();
        if leases > 2 * usize::from(MAX_HOLDERS) || allocation.changes.len() > MAX_CHANGES {
            return Outcome::Invalid;
        }
        self.state.last_allocation = allocation.id;
        let previous = self.state.revision - 1;
        self.expire_leases(allocation.expired.min(previous));
        for holder in &allocation.departed {
            if self.state.lease_of(*holder).is_some() {
                self.end_lease(holder.node_id);
            }
        }
        for renewal in &allocation.renewals {
            if self.renew_lease(renewal) {
                self.confirm_up_to(renewal.holder.node_id, renewal.applied.min(previous));
            }
        }
        for id in &allocation.used {
            self.mark_used(*id);
        }
        let skipped = allocation.changes.iter().filter(|change| !self.change_slice(change)).count();
        Outcome::Allocated { skipped: skipped as u32 }
    }

    fn mark_used(&mut self, id: BookingId) {
        let now = self.state.time;
        let Some(booking) = self.state.bookings.get_mut(&id) else { return };
        if let Some(window) = booking.windows.iter_mut().find(|window| window.span.contains(now)) {
            window.used = true;
        }
    }

    /// Ends the leases renewed at or before `expired`, which a leader applied a lease ago. The remaining holders
    /// have applied these revisions too, so their slices are confirmed up to there.
    fn expire_leases(&mut self, expired: Revision) {
        if expired <= self.state.expired {
            return;
        }
        self.state.expired = expired;
        let leases = self.state.leases.iter();
        let ended: Vec<_> =
            leases.filter(|(_, lease)| lease.renewed_at <= expired).map(|(node_id, _)| *node_id).collect();
        for node_id in ended {
            self.end_lease(node_id);
        }
        let applied: Vec<_> =
            self.unconfirmed.iter().filter(|slice| slice.changed_at <= expired).copied().collect();
        for slice in applied {
            self.confirm(slice);
        }
        self.free_released();
    }

    fn end_lease(&mut self, node_id: u16) {
        self.state.leases.remove(&node_id);
        self.unconfirmed.retain(|slice| slice.node_id != node_id);
        for booking in self.state.bookings.values_mut() {
            if let Some(slice) = booking.slices.remove(&node_id) {
                booking.allocated = booking.allocated.zip_with(slice.reserved(), u32::saturating_sub);
            }
        }
    }

    /// Renews or starts a lease. Returns `false` if another incarnation holds the lease, or if the request is older
    /// than the last one.
    fn renew_lease(&mut self, renewal: &LeaseRenewal) -> bool {
        let LeaseRenewal { holder: Holder { node_id, incarnation }, requested_at, .. } = *renewal;
        if node_id >= MAX_HOLDERS {
            return false;
        }
        let renewed = HolderLease { incarnation, requested_at, renewed_at: self.state.revision };
        let lease = self.state.leases.entry(node_id).or_insert(renewed);
        if lease.incarnation != incarnation || requested_at < lease.requested_at {
            return false;
        }
        *lease = renewed;
        true
    }

    /// Confirms the slices of a holder that were changed up to `applied`. The holder has applied these changes and no
    /// longer uses the previous parts.
    fn confirm_up_to(&mut self, node_id: u16, applied: Revision) {
        let first = UnconfirmedSlice { node_id, changed_at: 0, booking: BookingId(0) };
        let last = UnconfirmedSlice { node_id, changed_at: applied, booking: BookingId(u64::MAX) };
        let confirmed: Vec<_> = self.unconfirmed.range(first..=last).copied().collect();
        for slice in confirmed {
            self.confirm(slice);
        }
    }

    /// Frees the previous parts of a slice.
    fn confirm(&mut self, confirmed: UnconfirmedSlice) {
        self.unconfirmed.remove(&confirmed);
        let Some(booking) = self.state.bookings.get_mut(&confirmed.booking) else { return };
        let Some(slice) = booking.slices.get_mut(&confirmed.node_id) else { return };
        let reserved = slice.reserved();
        let current = slice.current;
        slice.previous = PerKind::uniform(0);
        let others = booking.allocated.zip_with(reserved, u32::saturating_sub);
        booking.allocated = others.zip_with(current, u32::saturating_add);
        if current.is_zero() {
            booking.slices.remove(&confirmed.node_id);
        }
    }

    /// Changes a slice. Returns `false` if the holder has no lease, the booking is unknown, or the sum of its slices
    /// would exceed the dynamic parts.
    fn change_slice(&mut self, change: &SliceChange) -> bool {
        let changed_at = self.state.revision;
        let SliceChange { booking: id, holder: Holder { node_id, .. }, parts } = *change;
        if self.state.lease_of(change.holder).is_none() {
            return false;
        }
        let Some(booking) = self.state.bookings.get_mut(&id) else { return false };
        let old = booking.slices.get(&node_id).copied().unwrap_or_default();
        let new = Slice { current: parts, previous: old.reserved(), changed_at };
        let others = booking.allocated.zip_with(old.reserved(), u32::saturating_sub);
        let sum = others.zip_with(new.reserved(), u32::saturating_add);
        if sum.reads > DYNAMIC_PARTS || sum.fetches > DYNAMIC_PARTS {
            return false;
        }
        booking.allocated = sum;
        self.unconfirmed.remove(&UnconfirmedSlice { node_id, changed_at: old.changed_at, booking: id });
        if new.reserved().is_zero() {
            booking.slices.remove(&node_id);
            return true;
        }
        booking.slices.insert(node_id, new);
        if !new.previous.is_zero() {
            self.unconfirmed.insert(UnconfirmedSlice { node_id, changed_at, booking: id });
        }
        true
    }

    /// When the lease of `holder` ends, on the holder's own clock. `None` without a lease.
    pub fn lease_end(&self, holder: Holder) -> Option<Micros> {
        let lease = self.state.lease_of(holder)?;
        Some(lease.requested_at.saturating_add(LEASE_US - LEASE_US / RATE_ERROR))
    }

    /// The parts of a booking that `holder` has under its lease, including the static ones.
    pub fn parts(&self, holder: Holder, id: BookingId) -> Parts {
        let Some(booking) = self.state.bookings.get(&id) else { return PerKind::uniform(0) };
        if self.state.lease_of(holder).is_none() {
            return PerKind::uniform(0);
        }
        let slice = booking.slices.get(&holder.node_id).copied().unwrap_or_default();
        slice.current.zip_with(static_parts(holder.node_id, booking.static_shares), u32::saturating_add)
    }
}

/// The parts that a balancer has without an allocation.
fn static_parts(node_id: u16, shares: u16) -> Parts {
    let parts = if node_id < shares { STATIC_PARTS / u32::from(shares) } else { 0 };
    PerKind::uniform(parts)
}
