//! Discards ended windows, outcomes and reductions, and frees released windows.

use super::ReservationBook;
use crate::booking::BookingId;
use crate::span::Micros;

impl ReservationBook {
    /// Frees the windows that were released so long ago that no holder can still use them.
    pub(super) fn free_released(&mut self) {
        let end = (self.state.expired.saturating_add(1), BookingId(0));
        let released: Vec<_> = self.state.released.range(..end).copied().collect();
        for &(revision, id) in &released {
            self.state.released.remove(&(revision, id));
            let Some(booking) = self.state.bookings.get_mut(&id) else { continue };
            for window in booking.windows.extract_if(.., |window| window.released_at == Some(revision)) {
                self.granted.subtract(window.span, booking.request.rate);
            }
            if booking.windows.is_empty() {
                self.remove_booking(id);
            }
        }
        if !released.is_empty() {
            self.update_reductions();
        }
    }

    fn remove_booking(&mut self, id: BookingId) {
        self.state.bookings.remove(&id);
        self.unconfirmed.retain(|slice| slice.booking != id);
    }

    /// Discards windows, reductions, outcomes, capacities and freezes that have ended. Visits all bookings only if a
    /// window or a recorded outcome has ended since the last call.
    pub(super) fn discard_past(&mut self) {
        let now = self.state.time;
        self.granted.discard_before(now);
        self.state.capacity.discard_before(now);
        if now < self.state.next_expiry {
            return;
        }
        for booking in self.state.bookings.values_mut() {
            booking.windows.retain(|window| window.span.to > now);
            booking.reductions.retain(|reduction| reduction.span.to > now);
        }
        let bookings = self.state.bookings.iter();
        let ended = bookings.filter(|(_, booking)| booking.windows.is_empty());
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.remove_booking(id);
        }
        self.state.outcomes.retain(|_, recorded| recorded.until > now);
        self.state.next_expiry = self.next_expiry();
    }

    /// When the next window or recorded outcome ends.
    fn next_expiry(&self) -> Micros {
        let bookings = self.state.bookings.values();
        let windows = bookings.filter_map(|booking| booking.windows.first()).map(|window| window.span.to);
        let outcomes = self.state.outcomes.values().map(|recorded| recorded.until);
        windows.chain(outcomes).min().unwrap_or(Micros::MAX)
    }
}
