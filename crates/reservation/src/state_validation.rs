//! Validates the state of a received snapshot.

use crate::booking::BookingId;
use crate::limits::{
    MAX_BOOKINGS, MAX_CAPACITIES, MAX_FREEZES, MAX_HOLDERS, MAX_OUTCOMES, MAX_SNAPSHOT_BYTES, MAX_WINDOW_US,
    MAX_WINDOWS,
};
use crate::state::{Booking, State};

/// The reason for which a snapshot cannot be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot is larger than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// The snapshot cannot be decoded.
    #[error("the snapshot cannot be decoded as a reservation book")]
    Malformed,
    /// The snapshot holds a state that no log can produce.
    #[error("the snapshot holds a state that no log can produce: {0}")]
    Inconsistent(&'static str),
}

/// Returns [`RestoreError::Inconsistent`] with `subject` if `condition` is false.
pub(crate) fn ensure(condition: bool, subject: &'static str) -> Result<(), RestoreError> {
    if condition { Ok(()) } else { Err(RestoreError::Inconsistent(subject)) }
}

/// Checks that the log can produce this state.
pub(crate) fn validate(state: &State) -> Result<(), RestoreError> {
    let schedule = &state.capacity;
    let (capacities, freezes) = (&schedule.capacities, &schedule.freezes);
    ensure(
        state.bookings.len() <= MAX_BOOKINGS && state.outcomes.len() <= MAX_OUTCOMES,
        "too many bookings or outcomes",
    )?;
    ensure(
        capacities.len() <= MAX_CAPACITIES && freezes.len() <= MAX_FREEZES,
        "too many capacities or freezes",
    )?;
    let has_valid_capacities =
        capacities.iter().all(|(from, capacity)| *from == capacity.from && capacity.is_valid());
    ensure(has_valid_capacities, "capacity")?;
    ensure(freezes.iter().all(|freeze| freeze.span.from < freeze.span.to), "freezes")?;
    let has_valid_holders = state.leases.keys().all(|node_id| *node_id < MAX_HOLDERS);
    ensure(state.fleet_size <= MAX_HOLDERS && has_valid_holders, "seats")?;
    ensure(state.expired <= state.revision, "revisions")?;
    for (id, booking) in &state.bookings {
        validate_booking(state, *id, booking)?;
    }
    Ok(())
}

fn validate_booking(state: &State, id: BookingId, booking: &Booking) -> Result<(), RestoreError> {
    ensure(id == booking.request.id && booking.request.is_valid(), "the id or the request of a booking")?;
    ensure((1..=MAX_HOLDERS).contains(&booking.static_shares), "the number of static shares of a booking")?;
    let windows = &booking.windows;
    let is_ordered = windows.windows(2).all(|pair| pair[0].span.to <= pair[1].span.from);
    let has_empty = windows.iter().any(|window| window.span.from >= window.span.to);
    let has_valid_count = !windows.is_empty() && windows.len() <= MAX_WINDOWS;
    ensure(has_valid_count && is_ordered && !has_empty, "windows")?;
    let lengths = windows.iter().map(|window| window.span.to - window.span.from);
    ensure(lengths.fold(0, u64::saturating_add) <= MAX_WINDOW_US, "the total length of a booking's windows")?;
    let has_valid_reductions = booking.reductions.iter().all(|reduction| {
        reduction.span.from < reduction.span.to && reduction.rate.fits(booking.request.rate)
    });
    ensure(has_valid_reductions, "the reductions of a booking")?;
    ensure(
        booking.slices.keys().all(|node_id| state.leases.contains_key(node_id)),
        "a slice whose holder has no lease",
    )
}
