//! Reduces bookings when the capacity falls. The booking granted last is reduced first and restored last.
//!
//! Bookings are visited in the order of their grants. Each takes the remaining bookable rate, up to its granted
//! rate. Windows are divided where capacities change, so that a fall of one hour reduces one hour only.

use super::{PlannedChange, ReservationBook};
use crate::booking::BookingId;
use crate::capacity::{Freeze, FreezePolicy};
use crate::capacity_schedule::CapacitySchedule;
use crate::outcome::BookingEvent;
use crate::rate::{PerKind, Rate};
use crate::rate_timeline::RateTimeline;
use crate::span::{Micros, Span};
use crate::state::{Booking, Reduction};
use std::collections::BTreeMap;

impl ReservationBook {
    /// The bookings that `change` would affect if it took effect now: those that a capacity would reduce, or those
    /// that a freeze would reject or move.
    pub fn affected_by(&self, change: &PlannedChange) -> Vec<BookingId> {
        match change {
            PlannedChange::Freeze(freeze) => self.affected_by_freeze(freeze),
            PlannedChange::Capacity(capacity) => {
                let mut schedule = self.state.capacity.clone();
                if !capacity.is_valid() || !schedule.insert(self.state.time, capacity) {
                    return Vec::new();
                }
                let reductions = self.reductions_under(&schedule).into_iter();
                let reduced = reductions.filter(|(id, reductions)| self.is_reduced_further(*id, reductions));
                reduced.map(|(id, _)| id).collect()
            }
        }
    }

    fn affected_by_freeze(&self, freeze: &Freeze) -> Vec<BookingId> {
        if freeze.policy == FreezePolicy::Allow {
            return Vec::new();
        }
        let overlaps = |booking: &Booking| {
            let mut open = booking.windows.iter().filter(|window| window.released_at.is_none());
            open.any(|window| window.span.overlaps(freeze.span))
        };
        let bookings = self.state.bookings.iter();
        bookings.filter(|(_, booking)| overlaps(booking)).map(|(id, _)| *id).collect()
    }

    /// Whether `reductions` would give a booking a lower rate than its current one at any time.
    fn is_reduced_further(&self, id: BookingId, reductions: &[Reduction]) -> bool {
        let Some(booking) = self.state.bookings.get(&id) else { return false };
        let current_ends = |span: Span| {
            let points = booking.reductions.iter().flat_map(|current| [current.span.from, current.span.to]);
            points.filter(move |point| span.contains(*point))
        };
        let is_lower_at =
            |time: Micros, rate: Rate| booking.rate_at(time).is_some_and(|current| !current.rate.fits(rate));
        reductions.iter().any(|reduction| {
            let mut points = current_ends(reduction.span).chain([reduction.span.from]);
            points.any(|point| is_lower_at(point, reduction.rate))
        })
    }

    /// Recomputes the reductions of all bookings and pushes an event for each change.
    pub(super) fn update_reductions(&mut self) {
        let mut reductions = self.reductions_under(&self.state.capacity);
        let mut events = Vec::new();
        for (id, booking) in &mut self.state.bookings {
            let after = reductions.remove(id).unwrap_or_default();
            let before = std::mem::replace(&mut booking.reductions, after);
            push_reduction_events(*id, &before, &booking.reductions, &mut events);
        }
        for event in events {
            self.push_event(event);
        }
    }

    /// The reductions of all bookings under a capacity schedule.
    fn reductions_under(&self, schedule: &CapacitySchedule) -> BTreeMap<BookingId, Vec<Reduction>> {
        let mut all = BTreeMap::new();
        if self.fits_all(schedule) {
            return all;
        }
        let mut bookings: Vec<_> = self.state.bookings.values().collect();
        bookings.sort_by_key(|booking| booking.granted_at);
        let mut taken = RateTimeline::default();
        for booking in bookings {
            let reductions = self.reduce(booking, schedule, &mut taken);
            if !reductions.is_empty() {
                all.insert(booking.request.id, reductions);
            }
        }
        all
    }

    /// Gives a booking the rate that earlier bookings have left, adds it to `taken`, and returns the reductions.
    fn reduce(
        &self, booking: &Booking, schedule: &CapacitySchedule, taken: &mut RateTimeline,
    ) -> Vec<Reduction> {
        let granted = booking.request.rate;
        let mut reductions = Vec::new();
        for window in &booking.windows {
            let mut from = window.span.from.max(self.state.time);
            while from < window.span.to {
                let span = Span { from, to: window.span.to.min(schedule.next_capacity(from)) };
                let rate = granted.zip_with(lowest_free_rate(schedule, taken, span), u64::min);
                taken.add(span, rate);
                if rate != granted {
                    reductions.push(Reduction { span, rate });
                }
                from = span.to;
            }
        }
        reductions
    }

    /// Whether all granted rates fit, in which case no booking has to be visited.
    fn fits_all(&self, schedule: &CapacitySchedule) -> bool {
        self.granted.points().all(|(point, granted)| {
            let end = self.granted.next_point(point);
            let mut time = point.max(self.state.time);
            while granted != Rate::default() && time < end {
                let bookable = schedule.bookable_at(time);
                if !granted.fits(bookable.rate) {
                    return false;
                }
                time = bookable.until;
            }
            true
        })
    }
}

/// The lowest rate in `span` that is bookable and not taken.
fn lowest_free_rate(schedule: &CapacitySchedule, taken: &RateTimeline, span: Span) -> Rate {
    let mut least = PerKind::uniform(u64::MAX);
    let mut time = span.from;
    while time < span.to {
        let bookable = schedule.bookable_at(time);
        let left = bookable.rate.zip_with(taken.rate_at(time), u64::saturating_sub);
        least = least.zip_with(left, u64::min);
        time = bookable.until.min(taken.next_point(time));
    }
    least
}

fn push_reduction_events(
    booking: BookingId, before: &[Reduction], after: &[Reduction], events: &mut Vec<BookingEvent>,
) {
    // The start of a reduction advances with time, so a different start does not make it a new one.
    let is_known = |reduction: &Reduction| {
        before.iter().any(|known| known.span.to == reduction.span.to && known.rate == reduction.rate)
    };
    for Reduction { span, rate } in after.iter().filter(|reduction| !is_known(reduction)) {
        events.push(BookingEvent::Reduced { booking, rate: *rate, from: span.from, until: span.to });
    }
    let is_still_reduced = |span: Span| after.iter().any(|reduction| reduction.span.overlaps(span));
    for Reduction { span, .. } in before.iter().filter(|reduction| !is_still_reduced(reduction.span)) {
        events.push(BookingEvent::Restored { booking, until: span.to });
    }
}
