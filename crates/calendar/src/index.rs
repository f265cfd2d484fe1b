//! The coming stretches of freeze and leave for every place and kind, sorted, so that a check is a few searches.

use crate::entry::{Scope, ScopeTarget};
use crate::occurrences::Interval;
use crate::{Change, ChangeKind, Millis, TimeInterval};
use rustc_hash::FxHashMap;
use std::sync::Arc;

const KINDS: usize = ChangeKind::PLANNED.len();

/// A stretch that one entry answers for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Piece {
    start: Millis,
    end: Millis,
    /// The end of the stretches that follow on one another without a gap.
    pub(crate) until: Millis,
    /// The entry's place in the index.
    pub(crate) entry: u32,
}

/// Stretches that do not overlap, in their order.
#[derive(Debug, Clone, Default)]
struct Timeline(Vec<Piece>);

impl Timeline {
    fn push(&mut self, at: Interval, entry: u32) {
        self.0.push(Piece { start: at.start, end: at.end, until: at.end, entry });
    }
    fn settle(&mut self) {
        self.0.sort_by_key(|it| (it.start, std::cmp::Reverse(it.end), it.entry));
        let mut done: Vec<Piece> = Vec::with_capacity(self.0.len());
        for mut piece in self.0.drain(..) {
            let behind = done.last().map_or(0, |it| it.end);
            piece.start = piece.start.max(behind);
            if piece.start < piece.end {
                done.push(piece);
            }
        }
        for at in (1..done.len()).rev() {
            if done[at - 1].end == done[at].start {
                done[at - 1].until = done[at].until;
            }
        }
        done.shrink_to_fit();
        self.0 = done;
    }
    /// The first stretch with any moment of the span.
    fn touching(&self, span: TimeInterval) -> Option<&Piece> {
        let at = self.0.partition_point(|it| it.end <= span.earliest);
        self.0.get(at).filter(|it| it.start <= span.latest)
    }
    /// The stretch that the span begins in, where the whole span is covered.
    fn covering(&self, span: TimeInterval) -> Option<&Piece> {
        self.touching(span).filter(|it| it.start <= span.earliest && span.latest < it.until)
    }
}

type Kinds = [Timeline; KINDS];

/// One timeline for each place and kind.
#[derive(Debug, Clone, Default)]
struct Places {
    fleet: Kinds,
    /// Every place taken together, for what touches the whole fleet.
    anywhere: Kinds,
    zones: FxHashMap<Arc<str>, Kinds>,
    hosts: FxHashMap<Arc<str>, Kinds>,
}

fn fill(kinds: &mut Kinds, scope: &Scope, at: &[Interval], entry: u32) {
    for (timeline, kind) in kinds.iter_mut().zip(ChangeKind::PLANNED) {
        if scope.kinds.is_empty() || scope.kinds.contains(&kind) {
            at.iter().for_each(|it| timeline.push(*it, entry));
        }
    }
}

impl Places {
    fn add(&mut self, scope: &Scope, at: &[Interval], entry: u32) {
        fill(&mut self.anywhere, scope, at, entry);
        let (map, names) = match &scope.place {
            ScopeTarget::Fleet => return fill(&mut self.fleet, scope, at, entry),
            ScopeTarget::Zones(zones) => (&mut self.zones, zones),
            ScopeTarget::Group { hosts, .. } => (&mut self.hosts, hosts),
        };
        for name in names {
            fill(map.entry(Arc::from(name.as_str())).or_default(), scope, at, entry);
        }
    }
    fn settle(&mut self) {
        let named = self.zones.values_mut().chain(self.hosts.values_mut());
        for kinds in named.chain([&mut self.fleet, &mut self.anywhere]) {
            kinds.iter_mut().for_each(Timeline::settle);
        }
    }
}

/// What a report of a hold names of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Title {
    pub(crate) id: Arc<str>,
    pub(crate) reason: Arc<str>,
}

/// All of the calendar, laid out for checks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Index {
    freezes: Places,
    leaves: Places,
    titles: Vec<Title>,
}

impl Index {
    pub(crate) fn add(&mut self, title: Title, freezes: bool, scope: &Scope, at: &[Interval]) {
        let entry = u32::try_from(self.titles.len()).unwrap_or(u32::MAX);
        self.titles.push(title);
        let places = if freezes { &mut self.freezes } else { &mut self.leaves };
        places.add(scope, at, entry);
    }
    pub(crate) fn settle(&mut self) {
        self.freezes.settle();
        self.leaves.settle();
    }
    pub(crate) fn title(&self, piece: Piece) -> Option<&Title> {
        self.titles.get(piece.entry as usize)
    }
    /// The freeze that holds the change in the span: of several the one that lasts longest.
    pub(crate) fn freeze(&self, span: TimeInterval, change: &Change<'_>) -> Option<Piece> {
        let kind = ChangeKind::PLANNED.iter().position(|it| *it == change.kind)?;
        let Some(host) = change.host else {
            return self.freezes.anywhere[kind].touching(span).copied();
        };
        let at = &self.freezes;
        let in_map =
            |map: &FxHashMap<Arc<str>, Kinds>, name: &str| map.get(name)?[kind].touching(span).copied();
        let zones = change.zones.iter().flatten().filter_map(|zone| in_map(&at.zones, zone));
        let others = [at.fleet[kind].touching(span).copied(), in_map(&at.hosts, host)];
        zones.chain(others.into_iter().flatten()).max_by_key(|it| it.until)
    }
    /// The override that lets the change pass: one place of it must cover all that changes, in all of the span.
    pub(crate) fn leave(&self, span: TimeInterval, change: &Change<'_>) -> Option<Piece> {
        let kind = ChangeKind::PLANNED.iter().position(|it| *it == change.kind)?;
        let at = &self.leaves;
        if let Some(found) = at.fleet[kind].covering(span) {
            return Some(*found);
        }
        let host = change.host?;
        if let Some(found) = at.hosts.get(host).and_then(|it| it[kind].covering(span)) {
            return Some(*found);
        }
        let in_zone = |zone: &str| at.zones.get(zone)?[kind].covering(span).copied();
        let mut all = change.zones.iter().flatten().map(|zone| in_zone(zone));
        let first = all.next()??;
        all.all(|it| it.is_some()).then_some(first)
    }
}
