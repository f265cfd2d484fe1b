//! The reports and ledger entries of one balancer, by incarnation.

use crate::activity::{ActivityReport, LedgerEntry};
use crate::lease::TimeInterval;
use std::collections::VecDeque;

/// Maximum number of periods kept in memory for each balancer. Those of 300 balancers take 3 MB. Older ones are on
/// disk only.
pub const MAX_PERIODS_PER_BALANCER: usize = 32;

/// Maximum number of incarnations kept for each balancer. It limits how often a balancer may restart while reports of
/// its first incarnation are in flight.
pub const MAX_INCARNATIONS_PER_BALANCER: usize = 4;

/// How far behind the highest sequence number a late report can be distinguished from a duplicate: the number of bits
/// of [`IncarnationRecord::seen`].
const REORDER_WINDOW: u64 = u64::BITS as u64;

/// The result of recording a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportStatus {
    /// The report is the newest of its incarnation.
    Newest,
    /// The report arrived after a newer one. Only the periods that no newer report contains are recorded.
    Late,
    /// The report is a duplicate, or too old to be distinguished from one. Nothing is recorded.
    Duplicate,
    /// The report is rejected: its sender is not on the roster, or it contains too many periods.
    Refused,
}

/// Whether an entry must still be written to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Persistence {
    /// The entry on disk is missing or out of date.
    Unsaved,
    /// The entry is on disk, or was returned to the owner to be written.
    Saved,
}

/// Records which reports of one incarnation were received.
#[derive(Clone, Copy, Debug)]
pub(super) struct IncarnationRecord {
    pub(super) incarnation: u64,
    pub(super) at: TimeInterval,
    highest: u64,
    /// Bit n is set if the report with the sequence number `highest - n` was received.
    seen: u64,
    received: u64,
    pub(super) repeated: u64,
}

impl IncarnationRecord {
    fn new(incarnation: u64, at: TimeInterval) -> Self {
        Self { incarnation, at, highest: 0, seen: 0, received: 0, repeated: 0 }
    }

    /// Counts every report up to that of the stored entry as received, since the entry contains their counts.
    fn restore(&mut self, entry: &LedgerEntry) {
        if entry.sequence > self.highest {
            self.received += entry.sequence - self.highest;
            self.highest = entry.sequence;
            self.seen = u64::MAX;
            self.at = entry.period.to;
        }
    }

    /// The number of reports that were sent and not received so far.
    pub(super) fn missing(&self) -> u64 {
        self.highest.saturating_sub(self.received)
    }

    fn record_sequence(&mut self, report: &ActivityReport) -> ReportStatus {
        if report.sequence > self.highest {
            let ahead = report.sequence - self.highest;
            self.seen = if ahead < REORDER_WINDOW { self.seen << ahead } else { 0 } | 1;
            self.highest = report.sequence;
            self.at = report.at;
            self.received += 1;
            return ReportStatus::Newest;
        }
        let age = self.highest - report.sequence;
        if report.sequence == 0 || age >= REORDER_WINDOW || self.seen & (1 << age) != 0 {
            self.repeated += 1;
            return ReportStatus::Duplicate;
        }
        self.seen |= 1 << age;
        self.received += 1;
        ReportStatus::Late
    }
}

/// An entry in memory.
#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    entry: LedgerEntry,
    persistence: Persistence,
}

/// The incarnations and entries of one balancer, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    incarnations: VecDeque<IncarnationRecord>,
    entries: VecDeque<StoredEntry>,
    /// Number of entries that were evicted before they were returned to be written to disk.
    pub(super) evicted_unsaved: u64,
}

impl Account {
    pub(super) fn record_report(&mut self, report: &ActivityReport) -> ReportStatus {
        let known = self.incarnations.iter_mut().find(|it| it.incarnation == report.incarnation);
        let status = match known {
            Some(incarnation) => incarnation.record_sequence(report),
            None => {
                let mut incarnation = IncarnationRecord::new(report.incarnation, report.at);
                let status = incarnation.record_sequence(report);
                self.add_incarnation(incarnation);
                status
            }
        };
        if matches!(status, ReportStatus::Newest | ReportStatus::Late) {
            for period in &report.periods {
                let entry = LedgerEntry {
                    number: report.number,
                    incarnation: report.incarnation,
                    sequence: report.sequence,
                    period: *period,
                };
                self.store(entry, Persistence::Unsaved);
            }
        }
        status
    }

    /// Restores an entry from disk. The record of its incarnation continues from the report that contained the entry.
    pub(super) fn restore(&mut self, entry: LedgerEntry) {
        if let Some(incarnation) = self.incarnations.iter_mut().find(|it| it.incarnation == entry.incarnation)
        {
            incarnation.restore(&entry);
        } else {
            let mut incarnation = IncarnationRecord::new(entry.incarnation, entry.period.to);
            incarnation.restore(&entry);
            self.add_incarnation(incarnation);
        }
        self.store(entry, Persistence::Saved);
    }

    fn add_incarnation(&mut self, incarnation: IncarnationRecord) {
        if self.incarnations.len() == MAX_INCARNATIONS_PER_BALANCER {
            self.evict_incarnation();
        }
        self.incarnations.push_back(incarnation);
    }

    /// Stores an entry unless one with the same key is from a report at least as new.
    pub(super) fn store(&mut self, entry: LedgerEntry, persistence: Persistence) {
        if let Some(stored) = self.entries.iter_mut().find(|stored| stored.entry.key() == entry.key()) {
            if stored.entry.sequence < entry.sequence {
                if stored.entry.period != entry.period && persistence == Persistence::Unsaved {
                    stored.persistence = Persistence::Unsaved;
                }
                stored.entry = entry;
            }
            return;
        }
        if self.entries.len() == MAX_PERIODS_PER_BALANCER {
            self.evict_entry();
        }
        self.entries.push_back(StoredEntry { entry, persistence });
    }

    pub(super) fn take_unsaved(&mut self) -> Vec<LedgerEntry> {
        let unsaved = self.entries.iter_mut().filter(|stored| stored.persistence == Persistence::Unsaved);
        let save = |stored: &mut StoredEntry| {
            stored.persistence = Persistence::Saved;
            stored.entry
        };
        unsaved.map(save).collect()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &LedgerEntry> {
        self.entries.iter().map(|stored| &stored.entry)
    }

    /// The incarnation that reported last, according to the fleet time of its reports, since incarnations are not
    /// ordered.
    pub(super) fn latest_incarnation(&self) -> Option<&IncarnationRecord> {
        self.incarnations.iter().max_by_key(|it| (it.at.earliest, it.at.latest))
    }

    /// The incarnation that reported last, with its last entry.
    pub(super) fn latest(&self) -> Option<(&IncarnationRecord, &LedgerEntry)> {
        let incarnation = self.latest_incarnation()?;
        let entries = self.entries().filter(|it| it.incarnation == incarnation.incarnation);
        Some((incarnation, entries.max_by_key(|it| it.period.serial)?))
    }

    fn evict_incarnation(&mut self) {
        let by_age = |(_, record): &(usize, &IncarnationRecord)| record.at.earliest;
        let oldest = self.incarnations.iter().enumerate().min_by_key(by_age).map(|(index, _)| index);
        oldest.and_then(|index| self.incarnations.remove(index));
    }

    fn evict_entry(&mut self) {
        let by_age = |(_, stored): &(usize, &StoredEntry)| stored.entry.period.from.earliest;
        let oldest = self.entries.iter().enumerate().min_by_key(by_age).map(|(index, _)| index);
        if let Some(evicted) = oldest.and_then(|index| self.entries.remove(index)) {
            self.evicted_unsaved += u64::from(evicted.persistence == Persistence::Unsaved);
        }
    }
}
