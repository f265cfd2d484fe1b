//! Snapshots of the book. Received bytes are validated before they are used.

use super::ReservationBook;
use crate::limits::{DYNAMIC_PARTS, MAX_SNAPSHOT_BYTES};
use crate::rate::PerKind;
use crate::slice::UnconfirmedSlice;
use crate::state::{Booking, State};
use crate::state_validation::{RestoreError, ensure, validate};

impl ReservationBook {
    /// Encodes the state, without the events.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).expect("integers and collections can be encoded into memory")
    }

    /// Decodes and validates a snapshot.
    ///
    /// # Errors
    /// Returns an error if the bytes are too many or malformed, or if the state is inconsistent.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(RestoreError::TooLarge);
        }
        let (mut state, rest): (State, _) =
            postcard::take_from_bytes(bytes).map_err(|_| RestoreError::Malformed)?;
        if !rest.is_empty() {
            return Err(RestoreError::Malformed);
        }
        validate(&state)?;
        let mut book = ReservationBook::default();
        for booking in state.bookings.values_mut() {
            book.restore_booking(booking)?;
        }
        book.granted.discard_before(state.time);
        book.state = state;
        Ok(book)
    }

    /// Derives the granted rates, the allocated parts and the unconfirmed slices of a booking.
    fn restore_booking(&mut self, booking: &mut Booking) -> Result<(), RestoreError> {
        let id = booking.request.id;
        for window in &booking.windows {
            self.granted.add(window.span, booking.request.rate);
        }
        booking.allocated = PerKind::uniform(0);
        for (&node_id, slice) in &booking.slices {
            booking.allocated = booking.allocated.zip_with(slice.reserved(), u32::saturating_add);
            if !slice.previous.is_zero() {
                let changed_at = slice.changed_at;
                self.unconfirmed.insert(UnconfirmedSlice { node_id, changed_at, booking: id });
            }
        }
        let allocated = booking.allocated;
        ensure(
            allocated.reads <= DYNAMIC_PARTS && allocated.fetches <= DYNAMIC_PARTS,
            "the slices of a booking exceed its dynamic parts",
        )
    }
}
