//! Slices: the parts of bookings that balancers hold under a lease.

use crate::booking::BookingId;
use crate::rate::Parts;
use crate::span::{Micros, Revision};
use serde::{Deserialize, Serialize};

/// One incarnation of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The balancer's index in the fleet file.
    pub node_id: u16,
    /// The balancer's incarnation, drawn at its start.
    pub incarnation: u64,
}

/// The renewal of a holder's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The holder.
    pub holder: Holder,
    /// When the holder sent the request, on its own clock.
    pub requested_at: Micros,
    /// The revision that the holder had applied when it sent the request.
    pub applied: Revision,
}

/// New parts of a booking for a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceChange {
    /// The booking.
    pub booking: BookingId,
    /// The holder.
    pub holder: Holder,
    /// The new parts, without the static ones.
    pub parts: Parts,
}

/// Identifies an allocation, so that the leader recognizes its own entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationId {
    /// The leader's incarnation.
    pub incarnation: u64,
    /// The number of the allocation within the leader's incarnation.
    pub sequence: u64,
}

/// The leader's allocation of slices, in one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceAllocation {
    /// Identifies the allocation.
    pub id: AllocationId,
    /// The revision up to which the leader had applied everything a lease and the largest clock rate error ago.
    pub expired: Revision,
    /// Holders that have announced that they admit no more requests.
    pub departed: Vec<Holder>,
    /// Renewed leases.
    pub renewals: Vec<LeaseRenewal>,
    /// Changed slices. Each change is skipped if the sum of the slices would exceed the booking.
    pub changes: Vec<SliceChange>,
    /// Bookings that are in use in their current window.
    pub used: Vec<BookingId>,
}

/// The lease of a balancer. Another incarnation of the balancer gets one only after this has ended, since both would
/// use the same parts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct HolderLease {
    pub(crate) incarnation: u64,
    pub(crate) requested_at: Micros,
    pub(crate) renewed_at: Revision,
}

/// The parts of a holder, and the previous parts that it may still use.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Slice {
    pub(crate) current: Parts,
    /// The parts before the change, until the holder confirms that it has applied the change.
    pub(crate) previous: Parts,
    pub(crate) changed_at: Revision,
}

impl Slice {
    /// The maximum number of parts that the holder may use.
    pub(crate) fn reserved(self) -> Parts {
        self.current.zip_with(self.previous, u32::max)
    }
}

/// A slice whose last change its holder has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UnconfirmedSlice {
    pub(crate) node_id: u16,
    pub(crate) changed_at: Revision,
    pub(crate) booking: BookingId,
}
