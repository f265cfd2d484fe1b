//! Who holds which parts of a booking, counted so that the holders' own readings never sum up to more than all.

use serde::{Deserialize, Serialize};

use crate::{
    Answer, Book, BookingId, Cut, Holder, LEASE_US, LENDABLE, MAX_CUTS, MAX_HOLDERS, Micros, Parts,
    RATE_ERROR, Revision, STANDING, Slices, Two,
};

/// Who sits at a number. A new life waits until the old one's lease is over, or both would use the number's parts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Seat {
    pub(crate) incarnation: u64,
    pub(crate) asked: Micros,
    pub(crate) lease: Revision,
}

/// A holder's parts: what it has, and what it may believe that it has.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Slice {
    pub(crate) now: Parts,
    pub(crate) before: Parts,
    pub(crate) changed: Revision,
}

impl Slice {
    pub(crate) fn counted(self) -> Parts {
        self.now.with(self.before, u32::max)
    }
}

impl Book {
    pub(crate) fn lend(&mut self, slices: &Slices) -> Answer {
        if slices.renewals.len() + slices.gone.len() > 2 * usize::from(MAX_HOLDERS)
            || slices.cuts.len() > MAX_CUTS
        {
            return Answer::NotTaken;
        }
        self.state.turn = slices.turn;
        let known = self.state.revision - 1;
        self.lapse(slices.lapsed.min(known));
        for holder in &slices.gone {
            if self.seat(*holder).is_some() {
                self.leave(holder.number);
            }
        }
        for renewal in &slices.renewals {
            if self.renew(renewal.holder, renewal.asked) {
                self.settle(renewal.holder.number, renewal.applied.min(known));
            }
        }
        for id in &slices.shown {
            let at = self.state.at;
            let windows = self.state.bookings.get_mut(id).map(|booking| booking.windows.iter_mut());
            if let Some(window) = windows.into_iter().flatten().find(|window| window.span.holds(at)) {
                window.shown = true;
            }
        }
        let left_out = slices.cuts.iter().filter(|cut| !self.cut(cut)).count();
        Answer::Sliced { left_out: left_out as u32 }
    }

    /// All up to `lapsed` was applied by a leader a lease ago: older leases are over, and whoever has one knows what is older.
    fn lapse(&mut self, lapsed: Revision) {
        if lapsed <= self.state.lapsed {
            return;
        }
        self.state.lapsed = lapsed;
        let over: Vec<_> = self
            .state
            .seats
            .iter()
            .filter(|(_, seat)| seat.lease <= lapsed)
            .map(|(number, _)| *number)
            .collect();
        over.into_iter().for_each(|number| self.leave(number));
        let settled: Vec<_> =
            self.unsettled.iter().filter(|(_, changed, _)| *changed <= lapsed).copied().collect();
        settled.into_iter().for_each(|slice| self.settle_one(slice));
        self.free_given_up();
    }

    fn leave(&mut self, number: u16) {
        self.state.seats.remove(&number);
        self.unsettled.retain(|(of, _, _)| *of != number);
        for booking in self.state.bookings.values_mut() {
            if let Some(slice) = booking.slices.remove(&number) {
                booking.lent = booking.lent.with(slice.counted(), u32::saturating_sub);
            }
        }
    }

    fn renew(&mut self, holder: Holder, asked: Micros) -> bool {
        let lease = self.state.revision;
        if holder.number >= MAX_HOLDERS {
            return false;
        }
        let seat = self.state.seats.entry(holder.number).or_insert(Seat {
            incarnation: holder.incarnation,
            asked,
            lease,
        });
        if seat.incarnation != holder.incarnation || asked < seat.asked {
            return false;
        }
        *seat = Seat { incarnation: holder.incarnation, asked, lease };
        true
    }

    /// The holder said that it has applied all up to `applied`: it no longer uses what was larger before.
    fn settle(&mut self, number: u16, applied: Revision) {
        let known = self.unsettled.range((number, 0, BookingId(0))..=(number, applied, BookingId(u64::MAX)));
        let known: Vec<_> = known.copied().collect();
        known.into_iter().for_each(|slice| self.settle_one(slice));
    }

    fn settle_one(&mut self, (number, changed, id): (u16, Revision, BookingId)) {
        self.unsettled.remove(&(number, changed, id));
        let Some(booking) = self.state.bookings.get_mut(&id) else { return };
        let Some(slice) = booking.slices.get_mut(&number) else { return };
        let counted = slice.counted();
        slice.before = Two::both(0);
        let slice = *slice;
        booking.lent = booking.lent.with(counted, u32::saturating_sub).with(slice.now, u32::saturating_add);
        if slice.now.is_none() {
            booking.slices.remove(&number);
        }
    }

    fn cut(&mut self, cut: &Cut) -> bool {
        let revision = self.state.revision;
        let number = cut.holder.number;
        if self.seat(cut.holder).is_none() {
            return false;
        }
        let Some(booking) = self.state.bookings.get_mut(&cut.booking) else { return false };
        let old = booking.slices.get(&number).copied().unwrap_or_default();
        let new = Slice { now: cut.parts, before: old.counted(), changed: revision };
        let others = booking.lent.with(old.counted(), u32::saturating_sub);
        let sum = others.with(new.counted(), u32::saturating_add);
        if sum.reads > LENDABLE || sum.fetches > LENDABLE {
            return false;
        }
        booking.lent = sum;
        self.unsettled.remove(&(number, old.changed, cut.booking));
        if new.counted().is_none() {
            booking.slices.remove(&number);
            return true;
        }
        booking.slices.insert(number, new);
        if !new.before.is_none() {
            self.unsettled.insert((number, revision, cut.booking));
        }
        true
    }

    pub(crate) fn seat(&self, holder: Holder) -> Option<&Seat> {
        self.state.seats.get(&holder.number).filter(|seat| seat.incarnation == holder.incarnation)
    }

    /// Until when, on its own clock, what `holder` has of any booking counts for it.
    pub fn lease_end(&self, holder: Holder) -> Option<Micros> {
        self.seat(holder).map(|seat| seat.asked.saturating_add(LEASE_US - LEASE_US / RATE_ERROR))
    }

    /// The parts of a booking that `holder` has, standing ones too, while its lease counts.
    pub fn parts(&self, holder: Holder, id: BookingId) -> Parts {
        let Some(booking) = self.state.bookings.get(&id) else { return Two::both(0) };
        if self.seat(holder).is_none() {
            return Two::both(0);
        }
        let lent = booking.slices.get(&holder.number).map_or(Two::both(0), |slice| slice.now);
        lent.with(standing(holder.number, booking.seats), u32::saturating_add)
    }
}

/// The parts that a number has without an entry for it.
pub(crate) fn standing(number: u16, seats: u16) -> Parts {
    Two::both(if number < seats { STANDING / u32::from(seats.max(1)) } else { 0 })
}
