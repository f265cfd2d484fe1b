//! The rate that may be booked over time: the capacity less the baseline traffic and a reserve for failures, and
//! the freezes.

use crate::capacity::{Capacity, Freeze, FreezePolicy, HOURS_PER_WEEK};
use crate::limits::{MAX_CAPACITIES, SECOND};
use crate::rate::Rate;
use crate::span::{Micros, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const HOUR: Micros = 3_600 * SECOND;
/// The capacity divided by this may fail without a reduction of bookings.
const FAILURE_RESERVE: u64 = 4;

/// A rate and the time until which it is constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateUntil {
    pub(crate) rate: Rate,
    pub(crate) until: Micros,
}

/// Capacities by the time from which each is in force, and the freezes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct CapacitySchedule {
    pub(crate) capacities: BTreeMap<Micros, Capacity>,
    pub(crate) freezes: Vec<Freeze>,
}

impl CapacitySchedule {
    /// The rate that may be booked at `time`.
    pub(crate) fn bookable_at(&self, time: Micros) -> RateUntil {
        let next_capacity = self.next_capacity(time);
        let Some((_, capacity)) = self.capacities.range(..=time).next_back() else {
            return RateUntil { rate: Rate::default(), until: next_capacity };
        };
        let available = capacity.total.map(|total| total - total.div_ceil(FAILURE_RESERVE));
        if capacity.baseline.is_empty() {
            return RateUntil { rate: available, until: next_capacity };
        }
        let hour = time / HOUR;
        let hour_of_week = (hour % HOURS_PER_WEEK as u64) as usize;
        let baseline = capacity.baseline.get(hour_of_week).copied().unwrap_or_default();
        let next_hour = hour.saturating_add(1).saturating_mul(HOUR);
        RateUntil {
            rate: available.zip_with(baseline, u64::saturating_sub),
            until: next_capacity.min(next_hour),
        }
    }

    /// When the first capacity after `time` takes effect.
    pub(crate) fn next_capacity(&self, time: Micros) -> Micros {
        self.capacities.range(time.saturating_add(1)..).next().map_or(Micros::MAX, |(from, _)| *from)
    }

    /// Adds a capacity. Returns `false` if there are [`MAX_CAPACITIES`] already.
    pub(crate) fn insert(&mut self, now: Micros, capacity: &Capacity) -> bool {
        let from = capacity.from.max(now);
        if self.capacities.len() >= MAX_CAPACITIES && !self.capacities.contains_key(&from) {
            return false;
        }
        self.capacities.insert(from, Capacity { from, ..capacity.clone() });
        true
    }

    /// Discards capacities that a later one has replaced, and freezes that have ended.
    pub(crate) fn discard_before(&mut self, now: Micros) {
        if let Some((&in_force, _)) = self.capacities.range(..=now).next_back()
            && self.capacities.range(..in_force).next().is_some()
        {
            self.capacities = self.capacities.split_off(&in_force);
        }
        self.freezes.retain(|freeze| freeze.span.to > now);
    }

    /// The freeze that ends last of those that overlap `span` and do not allow bookings.
    pub(crate) fn blocking_freeze(&self, span: Span) -> Option<&Freeze> {
        self.freezes
            .iter()
            .filter(|freeze| freeze.policy != FreezePolicy::Allow && freeze.span.overlaps(span))
            .max_by_key(|freeze| (freeze.span.to, freeze.id))
    }
}
