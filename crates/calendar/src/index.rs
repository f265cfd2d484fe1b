//! An index of the calendar's freezes and overrides. It keeps their intervals sorted by scope and kind, so that a check
//! takes a few binary searches.

use crate::entry::{Scope, ScopeTarget};
use crate::occurrences::Interval;
use crate::{Change, ChangeKind, Millis, TimeInterval};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The number of kinds that a freeze can hold.
const PLANNED_KINDS: usize = ChangeKind::PLANNED.len();

/// An interval in which one entry is in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndexedInterval {
    start: Millis,
    end: Millis,
    /// The end of the run of contiguous intervals that contains this one.
    pub(crate) contiguous_end: Millis,
    /// The index of the entry in [`Index::summaries`].
    entry_index: u32,
}

/// Intervals of entries. [`Timeline::merge_overlaps`] orders them and removes overlaps.
#[derive(Debug, Clone, Default)]
struct Timeline(Vec<IndexedInterval>);

impl Timeline {
    fn push(&mut self, interval: Interval, entry_index: u32) {
        self.0.push(IndexedInterval {
            start: interval.start,
            end: interval.end,
            contiguous_end: interval.end,
            entry_index,
        });
    }
    /// Sorts the intervals and cuts each to the part that no earlier interval covers.
    fn merge_overlaps(&mut self) {
        self.0.sort_by_key(|it| (it.start, std::cmp::Reverse(it.end), it.entry_index));
        let mut disjoint: Vec<IndexedInterval> = Vec::with_capacity(self.0.len());
        for mut interval in self.0.drain(..) {
            let covered_until = disjoint.last().map_or(0, |it| it.end);
            interval.start = interval.start.max(covered_until);
            if interval.start < interval.end {
                disjoint.push(interval);
            }
        }
        for index in (1..disjoint.len()).rev() {
            if disjoint[index - 1].end == disjoint[index].start {
                disjoint[index - 1].contiguous_end = disjoint[index].contiguous_end;
            }
        }
        disjoint.shrink_to_fit();
        self.0 = disjoint;
    }
    /// Returns the first interval that overlaps the span.
    fn overlapping(&self, span: TimeInterval) -> Option<&IndexedInterval> {
        let index = self.0.partition_point(|it| it.end <= span.earliest);
        self.0.get(index).filter(|it| it.start <= span.latest)
    }
    /// Returns the interval that contains the start of the span, if the whole span is covered.
    fn covering(&self, span: TimeInterval) -> Option<&IndexedInterval> {
        self.overlapping(span).filter(|it| it.start <= span.earliest && span.latest < it.contiguous_end)
    }
}

/// One timeline for each planned kind of change.
type KindTimelines = [Timeline; PLANNED_KINDS];

/// The timelines of all scopes.
#[derive(Debug, Clone, Default)]
struct ScopeTimelines {
    fleet: KindTimelines,
    /// The intervals of all scopes, for changes of the whole fleet.
    any_scope: KindTimelines,
    zones: FxHashMap<Arc<str>, KindTimelines>,
    hosts: FxHashMap<Arc<str>, KindTimelines>,
}

/// Adds the intervals of an entry to the timeline of each kind that the entry covers.
fn add_to_kinds(kinds: &mut KindTimelines, scope: &Scope, in_force: &[Interval], entry_index: u32) {
    for (timeline, kind) in kinds.iter_mut().zip(ChangeKind::PLANNED) {
        if scope.kinds.is_empty() || scope.kinds.contains(&kind) {
            in_force.iter().for_each(|it| timeline.push(*it, entry_index));
        }
    }
}

impl ScopeTimelines {
    fn add(&mut self, scope: &Scope, in_force: &[Interval], entry_index: u32) {
        add_to_kinds(&mut self.any_scope, scope, in_force, entry_index);
        let (map, names) = match &scope.place {
            ScopeTarget::Fleet => return add_to_kinds(&mut self.fleet, scope, in_force, entry_index),
            ScopeTarget::Zones(zones) => (&mut self.zones, zones),
            ScopeTarget::Group { hosts, .. } => (&mut self.hosts, hosts),
        };
        for name in names {
            add_to_kinds(map.entry(Arc::from(name.as_str())).or_default(), scope, in_force, entry_index);
        }
    }
    fn merge_overlaps(&mut self) {
        let named = self.zones.values_mut().chain(self.hosts.values_mut());
        for kinds in named.chain([&mut self.fleet, &mut self.any_scope]) {
            kinds.iter_mut().for_each(Timeline::merge_overlaps);
        }
    }
}

/// The parts of an entry that the reason of a hold contains.
#[derive(Debug, Clone)]
pub(crate) struct EntrySummary {
    pub(crate) id: Arc<str>,
    pub(crate) reason: Arc<str>,
}

/// Whether an entry holds changes or allows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryKind {
    Freeze,
    Override,
}

/// The index of all entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Index {
    freezes: ScopeTimelines,
    overrides: ScopeTimelines,
    summaries: Vec<EntrySummary>,
}

impl Index {
    /// Adds an entry and the intervals in which it is in force.
    pub(crate) fn add(
        &mut self, summary: EntrySummary, kind: EntryKind, scope: &Scope, in_force: &[Interval],
    ) {
        let entry_index = u32::try_from(self.summaries.len()).unwrap_or(u32::MAX);
        self.summaries.push(summary);
        let timelines = match kind {
            EntryKind::Freeze => &mut self.freezes,
            EntryKind::Override => &mut self.overrides,
        };
        timelines.add(scope, in_force, entry_index);
    }
    /// Sorts all timelines. Call this after the last entry is added and before the first search.
    pub(crate) fn finish(&mut self) {
        self.freezes.merge_overlaps();
        self.overrides.merge_overlaps();
    }
    /// Returns the summary of the entry that an interval belongs to.
    pub(crate) fn summary(&self, interval: IndexedInterval) -> Option<&EntrySummary> {
        self.summaries.get(interval.entry_index as usize)
    }
    /// Returns the freeze that holds the change in the span. If there are several, returns the one that lasts longest.
    pub(crate) fn find_freeze(&self, span: TimeInterval, change: &Change<'_>) -> Option<IndexedInterval> {
        let kind = ChangeKind::PLANNED.iter().position(|it| *it == change.kind)?;
        let Some(host) = change.host else {
            return self.freezes.any_scope[kind].overlapping(span).copied();
        };
        let timelines = &self.freezes;
        let in_map = |map: &FxHashMap<Arc<str>, KindTimelines>, name: &str| {
            map.get(name)?[kind].overlapping(span).copied()
        };
        let zones = change.zones.iter().flatten().filter_map(|zone| in_map(&timelines.zones, zone));
        let fleet_and_host =
            [timelines.fleet[kind].overlapping(span).copied(), in_map(&timelines.hosts, host)];
        zones.chain(fleet_and_host.into_iter().flatten()).max_by_key(|it| it.contiguous_end)
    }
    /// Returns the override that allows the change. An override of the fleet, or of the host, or overrides of all
    /// affected zones must cover the change during the whole span.
    pub(crate) fn find_override(&self, span: TimeInterval, change: &Change<'_>) -> Option<IndexedInterval> {
        let kind = ChangeKind::PLANNED.iter().position(|it| *it == change.kind)?;
        let timelines = &self.overrides;
        if let Some(found) = timelines.fleet[kind].covering(span) {
            return Some(*found);
        }
        let host = change.host?;
        if let Some(found) = timelines.hosts.get(host).and_then(|it| it[kind].covering(span)) {
            return Some(*found);
        }
        let in_zone = |zone: &str| timelines.zones.get(zone)?[kind].covering(span).copied();
        let mut zone_overrides = change.zones.iter().flatten().map(|zone| in_zone(zone));
        let first = zone_overrides.next()??;
        zone_overrides.all(|it| it.is_some()).then_some(first)
    }
}
