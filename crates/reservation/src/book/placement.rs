//! Finds the highest rate that fits in given windows, and the nearest later time for a rate that does not fit.
//!
//! The search steps from one change of the free rate to the next.

use super::ReservationBook;
use crate::capacity_schedule::RateUntil;
use crate::limits::{HORIZON_US, MAX_SEARCH_STEPS};
use crate::rate::{PerKind, Rate};
use crate::span::{Micros, Span};

/// The number of steps left in a search.
struct SearchBudget(usize);

impl SearchBudget {
    /// Uses up one step; `None` if no step is left.
    fn spend(&mut self) -> Option<()> {
        self.0 = self.0.checked_sub(1)?;
        Some(())
    }
}

impl ReservationBook {
    /// The rate that is bookable and not granted at `time`.
    fn free_at(&self, time: Micros) -> RateUntil {
        let bookable = self.state.capacity.bookable_at(time);
        RateUntil {
            rate: bookable.rate.zip_with(self.granted.rate_at(time), u64::saturating_sub),
            until: bookable.until.min(self.granted.next_point(time)),
        }
    }

    /// The highest rate that fits in all `windows`, regardless of freezes.
    pub(super) fn largest_rate(&self, windows: &[Span]) -> Rate {
        let mut largest = PerKind::uniform(u64::MAX);
        for window in windows {
            let mut time = window.from;
            while time < window.to {
                let free = self.free_at(time);
                largest = largest.zip_with(free.rate, u64::min);
                time = free.until;
            }
        }
        largest
    }

    /// The smallest shift of all `windows` at which `rate` fits in each window and no freeze blocks one. `None` if the
    /// search finds none before [`HORIZON_US`] and within [`MAX_SEARCH_STEPS`].
    pub(super) fn find_shift(&self, windows: &[Span], rate: Rate) -> Option<Micros> {
        let mut budget = SearchBudget(MAX_SEARCH_STEPS);
        let mut shift = 0;
        loop {
            let previous = shift;
            for window in windows {
                shift += self.find_window_shift(window.shifted(shift), rate, &mut budget)?;
            }
            if shift == previous {
                return Some(shift);
            }
        }
    }

    /// The smallest shift of one window at which `rate` fits and no freeze blocks it.
    fn find_window_shift(&self, window: Span, rate: Rate, budget: &mut SearchBudget) -> Option<Micros> {
        let length = window.to - window.from;
        let horizon = self.state.time.saturating_add(HORIZON_US);
        let mut from = window.from;
        let mut checked_to = window.from;
        loop {
            let candidate = Span { from, to: from.checked_add(length).filter(|to| *to <= horizon)? };
            if let Some(freeze) = self.state.capacity.blocking_freeze(candidate) {
                from = freeze.span.to;
                checked_to = checked_to.max(from);
                budget.spend()?;
                continue;
            }
            if checked_to >= candidate.to {
                return Some(from - window.from);
            }
            let free = self.free_at(checked_to);
            budget.spend()?;
            checked_to = free.until;
            if !rate.fits(free.rate) {
                from = free.until;
            }
        }
    }
}
