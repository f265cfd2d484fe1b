//! What one balancer told, in each of its lives.

use super::{
    ActivityReport, LedgerEntry, MAX_INCARNATIONS_PER_BALANCER, MAX_PERIODS_PER_BALANCER, ReportStatus,
};
use crate::lease::TimeInterval;
use std::collections::VecDeque;

/// Reports that may be overtaken and still be told from doubled ones: the bits of the word they are noted in.
const WINDOW: u64 = u64::BITS as u64;

/// Which reports of a life were heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct IncarnationRecord {
    pub(super) incarnation: u64,
    pub(super) at: TimeInterval,
    highest: u64,
    /// Bit n: the report n before the highest was heard.
    seen: u64,
    heard: u64,
    pub(super) repeated: u64,
}

impl IncarnationRecord {
    fn new(incarnation: u64, at: TimeInterval) -> Self {
        Self { incarnation, at, highest: 0, seen: 0, heard: 0, repeated: 0 }
    }

    /// All up to what a span from disk was told by counts as heard: it holds what they told.
    fn restore(&mut self, entry: &LedgerEntry) {
        if entry.told > self.highest {
            self.heard += entry.told - self.highest;
            self.highest = entry.told;
            self.seen = u64::MAX;
            self.at = entry.piece.to;
        }
    }

    /// Reports that were made and not heard, or not yet.
    pub(super) fn missing(&self) -> u64 {
        self.highest.saturating_sub(self.heard)
    }

    fn hear(&mut self, report: &ActivityReport) -> ReportStatus {
        if report.sequence > self.highest {
            let ahead = report.sequence - self.highest;
            self.seen = if ahead < WINDOW { self.seen << ahead } else { 0 } | 1;
            self.highest = report.sequence;
            self.at = report.at;
            self.heard += 1;
            return ReportStatus::Newest;
        }
        let ago = self.highest - report.sequence;
        if report.sequence == 0 || ago >= WINDOW || self.seen & (1 << ago) != 0 {
            self.repeated += 1;
            return ReportStatus::Repeated;
        }
        self.seen |= 1 << ago;
        self.heard += 1;
        ReportStatus::Late
    }
}

/// A span in memory, and whether it is to be kept on disk.
#[derive(Clone, Copy, Debug)]
struct Kept {
    entry: LedgerEntry,
    changed: bool,
}

/// All that one balancer told, newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    incarnations: VecDeque<IncarnationRecord>,
    spans: VecDeque<Kept>,
    pub(super) unkept: u64,
}

impl Account {
    pub(super) fn hear(&mut self, report: &ActivityReport) -> ReportStatus {
        let known = self.incarnations.iter_mut().find(|it| it.incarnation == report.incarnation);
        let heard = match known {
            Some(incarnation) => incarnation.hear(report),
            None => {
                let mut incarnation = IncarnationRecord::new(report.incarnation, report.at);
                let heard = incarnation.hear(report);
                self.begin(incarnation);
                heard
            }
        };
        if matches!(heard, ReportStatus::Newest | ReportStatus::Late) {
            for piece in &report.pieces {
                let entry = LedgerEntry {
                    number: report.number,
                    incarnation: report.incarnation,
                    told: report.sequence,
                    piece: *piece,
                };
                self.keep(entry, true);
            }
        }
        heard
    }

    /// Takes a span in from disk: what is known of its life goes on from there.
    pub(super) fn restore(&mut self, entry: LedgerEntry) {
        if let Some(incarnation) = self.incarnations.iter_mut().find(|it| it.incarnation == entry.incarnation)
        {
            incarnation.restore(&entry);
        } else {
            let mut incarnation = IncarnationRecord::new(entry.incarnation, entry.piece.to);
            incarnation.restore(&entry);
            self.begin(incarnation);
        }
        self.keep(entry, false);
    }

    fn begin(&mut self, incarnation: IncarnationRecord) {
        if self.incarnations.len() == MAX_INCARNATIONS_PER_BALANCER {
            self.forget_first_life();
        }
        self.incarnations.push_back(incarnation);
    }

    /// Takes a span in where nothing newer is told of it.
    pub(super) fn keep(&mut self, entry: LedgerEntry, changed: bool) {
        if let Some(kept) = self.spans.iter_mut().find(|it| it.entry.key() == entry.key()) {
            if kept.entry.told < entry.told {
                let differs = kept.entry.piece != entry.piece;
                *kept = Kept { entry, changed: kept.changed || (changed && differs) };
            }
            return;
        }
        if self.spans.len() == MAX_PERIODS_PER_BALANCER {
            self.forget_first_span();
        }
        self.spans.push_back(Kept { entry, changed });
    }

    pub(super) fn take_changed(&mut self) -> Vec<LedgerEntry> {
        let changed = self.spans.iter_mut().filter(|it| it.changed);
        changed
            .map(|it| {
                it.changed = false;
                it.entry
            })
            .collect()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &LedgerEntry> {
        self.spans.iter().map(|it| &it.entry)
    }

    /// The life that told last, by its own account of fleet time: lives have no order of their own.
    pub(super) fn living(&self) -> Option<&IncarnationRecord> {
        self.incarnations.iter().max_by_key(|it| (it.at.earliest, it.at.latest))
    }

    /// The last span of the life that told last.
    pub(super) fn last(&self) -> Option<(&IncarnationRecord, &LedgerEntry)> {
        let incarnation = self.living()?;
        let spans = self.entries().filter(|it| it.incarnation == incarnation.incarnation);
        Some((incarnation, spans.max_by_key(|it| it.piece.serial)?))
    }

    fn forget_first_life(&mut self) {
        let first =
            self.incarnations.iter().enumerate().min_by_key(|(_, it)| it.at.earliest).map(|(index, _)| index);
        first.and_then(|index| self.incarnations.remove(index));
    }

    fn forget_first_span(&mut self) {
        let oldest = self.spans.iter().enumerate().min_by_key(|(_, it)| it.entry.piece.from.earliest);
        if let Some(kept) = oldest.map(|(index, _)| index).and_then(|index| self.spans.remove(index)) {
            self.unkept += u64::from(kept.changed);
        }
    }
}
