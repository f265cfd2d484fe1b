//! A sum of rates over time, stored as the points at which it changes.

use crate::rate::Rate;
use crate::span::{Micros, Span};
use std::collections::BTreeMap;

/// A piecewise constant sum of rates.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateTimeline {
    points: BTreeMap<Micros, Rate>,
    /// Times before this are discarded.
    start: Micros,
}

impl RateTimeline {
    /// The sum at `time`.
    pub(crate) fn rate_at(&self, time: Micros) -> Rate {
        self.points.range(..=time).next_back().map_or(Rate::default(), |(_, rate)| *rate)
    }

    /// The first point after `time`.
    pub(crate) fn next_point(&self, time: Micros) -> Micros {
        self.points.range(time.saturating_add(1)..).next().map_or(Micros::MAX, |(point, _)| *point)
    }

    pub(crate) fn add(&mut self, span: Span, rate: Rate) {
        self.update(span, |sum| sum.zip_with(rate, u64::saturating_add));
    }

    pub(crate) fn subtract(&mut self, span: Span, rate: Rate) {
        self.update(span, |sum| sum.zip_with(rate, u64::saturating_sub));
    }

    fn update(&mut self, span: Span, update: impl Fn(Rate) -> Rate) {
        let span = Span { from: span.from.max(self.start), to: span.to };
        if span.from >= span.to {
            return;
        }
        for point in [span.from, span.to] {
            let sum = self.rate_at(point);
            self.points.entry(point).or_insert(sum);
        }
        for (_, sum) in self.points.range_mut(span.from..span.to) {
            *sum = update(*sum);
        }
        for point in [span.from, span.to] {
            self.remove_if_redundant(point);
        }
    }

    /// Removes a point at which the sum does not change.
    fn remove_if_redundant(&mut self, point: Micros) {
        let previous = self.points.range(..point).next_back().map_or(Rate::default(), |(_, rate)| *rate);
        if self.points.get(&point) == Some(&previous) {
            self.points.remove(&point);
        }
    }

    /// Discards all points before `time`, and ignores later updates before it.
    pub(crate) fn discard_before(&mut self, time: Micros) {
        let sum = self.rate_at(time);
        if self.points.range(..time).next().is_some() {
            self.points = self.points.split_off(&time);
            if sum != Rate::default() {
                self.points.entry(time).or_insert(sum);
            }
        }
        self.start = self.start.max(time);
    }

    /// All points at which the sum changes, with the sum from each point on.
    pub(crate) fn points(&self) -> impl Iterator<Item = (Micros, Rate)> + '_ {
        self.points.iter().map(|(point, rate)| (*point, *rate))
    }
}
