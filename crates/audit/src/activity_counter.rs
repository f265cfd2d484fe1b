//! Counts one balancer's activity under the version it acts on, and reports the counts to the fleet.

pub use crate::activity::{COUNT_KINDS, CountKind};

use crate::activity::{ActivityPeriod, ActivityReport, LedgerEntry, MAX_PERIODS_PER_REPORT};
use crate::lease::TimeInterval;
use crate::version::Version;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of versions kept. At one new version a second, an attempt that began sixteen seconds ago is still
/// counted under its version.
pub const MAX_VERSIONS: usize = 16;

/// Number of reports that contain a period after it has ended. The period is lost only if three datagrams in a row
/// are lost.
const REPORTS_PER_PERIOD: u8 = 3;

/// Identifies the version in force when an attempt began, so that its outcome is counted under that version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionId(u64);

/// One period, and the number of reports that contained it since it last changed.
#[derive(Clone, Copy, Debug)]
struct Slot {
    period: ActivityPeriod,
    reports: u8,
}

/// Counts activity under the version in force. A count costs one addition.
#[derive(Clone, Debug)]
pub struct ActivityCounter {
    number: u16,
    incarnation: u64,
    sequence: u64,
    /// The serial of the period in progress. That period and the ones before it are in the ring.
    current: u64,
    ring: [Option<Slot>; MAX_VERSIONS],
    counts: [u64; COUNT_KINDS],
    /// Counts whose version was no longer in the ring.
    expired: u64,
}

impl ActivityCounter {
    /// Creates the counter of a balancer that begins to act on `version`.
    pub fn new(number: u16, incarnation: u64, version: Version, now: TimeInterval) -> Self {
        let mut ring = [None; MAX_VERSIONS];
        ring[0] = Some(Slot { period: ActivityPeriod::new(0, version, now), reports: 0 });
        Self { number, incarnation, sequence: 0, current: 0, ring, counts: [0; COUNT_KINDS], expired: 0 }
    }

    /// Adds one to a count under the version in force.
    #[inline]
    pub fn count(&mut self, kind: CountKind) {
        self.counts[kind as usize] += 1;
    }

    /// The version in force, for an attempt that begins now.
    pub fn version(&self) -> VersionId {
        VersionId(self.current)
    }

    /// Adds one to a count under the version that the attempt began with.
    pub fn count_under(&mut self, id: VersionId, kind: CountKind) {
        if id.0 == self.current {
            return self.count(kind);
        }
        match &mut self.ring[slot_index(id.0)] {
            Some(slot) if slot.period.serial == id.0 => {
                slot.period.counts[kind as usize] += 1;
                slot.reports = 0;
            }
            _ => self.expired += 1,
        }
    }

    /// Records a change of topology that was applied or held. The digest does not depend on the order of changes.
    pub fn record_topology_change(&mut self, change: &[u8], accepted: bool) {
        self.count(if accepted { CountKind::ChangeAccepted } else { CountKind::ChangeRefused });
        if let Some(slot) = &mut self.ring[slot_index(self.current)] {
            let digest = xxh3_64_with_seed(change, u64::from(accepted));
            slot.period.digest = slot.period.digest.wrapping_add(digest);
        }
    }

    /// Puts `version` in force. Returns the period that this evicts from the ring, if any, which the owner must pass to
    /// [`Ledger::record_own_entry`](crate::ledger::Ledger::record_own_entry) so that its counts are not lost.
    pub fn switch_version(&mut self, version: Version, now: TimeInterval) -> Option<LedgerEntry> {
        self.update_current(now);
        let current = self.ring[slot_index(self.current)];
        let unchanged = current.is_some_and(|slot| slot.period.version == version);
        if unchanged {
            return None;
        }
        self.current += 1;
        self.counts = [0; COUNT_KINDS];
        let opened = Slot { period: ActivityPeriod::new(self.current, version, now), reports: 0 };
        let oldest = self.ring[slot_index(self.current)].replace(opened)?;
        Some(LedgerEntry {
            number: self.number,
            incarnation: self.incarnation,
            sequence: self.sequence + 1,
            period: oldest.period,
        })
    }

    /// Creates a report of the period in progress and of the oldest ended periods that were in too few reports so far.
    /// Counts are totals since the start of the period, so a later report replaces a lost one.
    pub fn report(&mut self, now: TimeInterval) -> ActivityReport {
        self.update_current(now);
        self.sequence += 1;
        let mut periods = Vec::with_capacity(MAX_PERIODS_PER_REPORT);
        for serial in self.current.saturating_sub(MAX_VERSIONS as u64 - 1)..self.current {
            match &mut self.ring[slot_index(serial)] {
                Some(slot)
                    if slot.reports < REPORTS_PER_PERIOD && periods.len() + 1 < MAX_PERIODS_PER_REPORT =>
                {
                    slot.reports += 1;
                    periods.push(slot.period);
                }
                _ => {}
            }
        }
        periods.extend(self.ring[slot_index(self.current)].map(|slot| slot.period));
        ActivityReport {
            number: self.number,
            incarnation: self.incarnation,
            sequence: self.sequence,
            at: now,
            periods,
        }
    }

    /// The number of counts that were dropped because their version was no longer in the ring.
    pub fn expired(&self) -> u64 {
        self.expired
    }

    /// Updates the end and the counts of the period in progress.
    fn update_current(&mut self, now: TimeInterval) {
        if let Some(slot) = &mut self.ring[slot_index(self.current)] {
            slot.period.to = now;
            slot.period.counts = self.counts;
        }
    }
}

fn slot_index(serial: u64) -> usize {
    (serial % MAX_VERSIONS as u64) as usize
}
