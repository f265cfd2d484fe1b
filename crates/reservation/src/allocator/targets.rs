//! Computes the slices of one booking from the demands of its holders.

use crate::limits::{DYNAMIC_PARTS, TOTAL_PARTS};
use crate::rate::{Parts, PerKind, Rate};
use crate::slice::{Holder, Slice, SliceChange};
use crate::span::Micros;
use crate::state::Booking;
use std::collections::BTreeMap;

/// A slice that differs from its target by at most its size divided by this is not changed, to limit the number of
/// entries.
const TOLERANCE_DIVISOR: u32 = 8;
/// Divisor of the tolerance while the parts do not suffice for all holders. The tolerance is smaller because the excess
/// of one holder is missing for another.
const SCARCE_TOLERANCE_DIVISOR: u32 = 64;

/// A holder's demand for a booking.
pub(super) struct HolderDemand {
    pub(super) node_id: u16,
    pub(super) rate: Rate,
}

/// A holder with a lease.
pub(super) struct LeaseHolder {
    pub(super) holder: Holder,
    /// Whether this incarnation has sent a request within the last lease. If not, its slice is taken back.
    pub(super) has_requested: bool,
}

/// A holder's slice and its target.
struct PlannedSlice {
    holder: Holder,
    slice: Slice,
    target: Parts,
    /// The parts of the target beyond those reserved for the holder.
    growth: Parts,
}

/// Computes the changes to a booking's slices. `holders` are those that demand or hold a slice.
pub(super) fn slice_changes(
    fleet_time: Micros, booking: &Booking, demands: &[HolderDemand], holders: &[LeaseHolder],
) -> Vec<SliceChange> {
    let targets = targets(fleet_time, booking, demands);
    let mut planned = Vec::new();
    let mut needed = PerKind::uniform(0_u64);
    for LeaseHolder { holder, has_requested } in holders {
        let target = targets.get(&holder.node_id).copied().filter(|_| *has_requested).unwrap_or_default();
        let slice = booking.slices.get(&holder.node_id).copied().unwrap_or_default();
        let growth = target.zip_with(slice.reserved(), u32::saturating_sub);
        needed = needed.zip_with(growth, |sum, growth| sum + u64::from(growth));
        planned.push(PlannedSlice { holder: *holder, slice, target, growth });
    }
    let free = booking.allocated.map(|allocated| u64::from(DYNAMIC_PARTS.saturating_sub(allocated)));
    let is_scarce = needed.reads > free.reads || needed.fetches > free.fetches;
    let tolerance_divisor = if is_scarce { SCARCE_TOLERANCE_DIVISOR } else { TOLERANCE_DIVISOR };
    let mut changes = Vec::new();
    for PlannedSlice { holder, slice, target, growth } in planned {
        let added = share_of_free(growth, needed, free);
        let available = slice.reserved().zip_with(added, |reserved, added| reserved + added);
        let parts = target.zip_with(available, u32::min);
        if differs(slice.current, parts, tolerance_divisor) {
            changes.push(SliceChange { booking: booking.request.id, holder, parts });
        }
    }
    changes
}

/// The free parts that a holder gets: its growth, or a proportional share if they do not suffice for all holders.
fn share_of_free(growth: Parts, needed: PerKind<u64>, free: PerKind<u64>) -> Parts {
    let available = needed.zip_with(free, u64::min);
    let scaled = growth.zip_with(available, |growth, available| u64::from(growth) * available);
    scaled.zip_with(needed, |scaled, needed| scaled.checked_div(needed).unwrap_or(0) as u32)
}

/// Whether the parts of either kind differ by more than the tolerance, or the next parts are zero.
fn differs(current: Parts, next: Parts, tolerance_divisor: u32) -> bool {
    let differs = |current: u32, next: u32| {
        current != next && (next == 0 || current.abs_diff(next) > current / tolerance_divisor)
    };
    differs(current.reads, next.reads) || differs(current.fetches, next.fetches)
}

/// The target of each holder: its demand plus a quarter, or a proportional share if the sum exceeds the dynamic parts.
fn targets(fleet_time: Micros, booking: &Booking, demands: &[HolderDemand]) -> BTreeMap<u16, Parts> {
    let Some(current) = booking.rate_at(fleet_time) else { return BTreeMap::new() };
    let wanted: Vec<(u16, PerKind<u64>)> = demands
        .iter()
        .map(|demand| (demand.node_id, demand.rate.zip_with(current.rate, wanted_parts)))
        .collect();
    let sum =
        wanted.iter().fold(PerKind::uniform(0), |sum, (_, parts)| sum.zip_with(*parts, u64::saturating_add));
    let scale = |parts: u64, sum: u64| match sum > u64::from(DYNAMIC_PARTS) {
        true => (parts * u64::from(DYNAMIC_PARTS) / sum) as u32,
        false => parts as u32,
    };
    wanted.into_iter().map(|(node_id, parts)| (node_id, parts.zip_with(sum, scale))).collect()
}

/// The parts of a booking of `rate` that a demand needs, with a reserve of a quarter.
fn wanted_parts(demand: u64, rate: u64) -> u64 {
    if rate == 0 {
        return 0;
    }
    let parts = u128::from(demand) * u128::from(TOTAL_PARTS) * 5 / 4 / u128::from(rate);
    parts.min(u128::from(DYNAMIC_PARTS)) as u64
}
