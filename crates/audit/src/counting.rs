//! What one balancer counts under the version it acts on, and how it tells the fleet.

use crate::lease::TimeInterval;
use crate::ledger::{ActivityPeriod, ActivityReport, LedgerEntry, MAX_PERIODS_PER_REPORT};
use crate::version::Version;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Versions that are remembered at once: with one a second, a try begun sixteen seconds ago still finds its own.
pub const VERSIONS: usize = 16;

/// How often a span that has ended is told: three datagrams in a row would have to be lost for it to be missed.
const TOLD_ENOUGH: u8 = 3;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[repr(u8)]
#[allow(missing_docs)]
pub enum CountKind {
    ReadOk,
    ReadError,
    ReadFull,
    ReadTimeout,
    ReadUnreachable,
    WriteOk,
    WriteError,
    WriteFull,
    WriteTimeout,
    WriteUnreachable,
    FetchOk,
    FetchError,
    FetchFull,
    FetchTimeout,
    FetchUnreachable,
    Refused,
    ChangeAccepted,
    ChangeRefused,
}

/// How many kinds there are.
pub const KINDS: usize = CountKind::ChangeRefused as usize + 1;

/// The small name of a span under one version, for what is begun in it and ends later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionId(u64);

/// One span, and how often it was told since it last changed.
#[derive(Clone, Copy, Debug)]
struct Slot {
    piece: ActivityPeriod,
    told: u8,
}

/// Counts under the version in force, at the cost of one addition.
#[derive(Clone, Debug)]
pub struct ActivityCounter {
    number: u16,
    incarnation: u64,
    sequence: u64,
    /// The serial of the span in progress; it and those before it lie in a ring.
    current: u64,
    ring: [Option<Slot>; VERSIONS],
    counts: [u64; KINDS],
    /// What was counted too late for its version to be remembered.
    unplaced: u64,
}

impl ActivityCounter {
    /// A balancer that begins to act on `version`.
    pub fn new(number: u16, incarnation: u64, version: Version, now: TimeInterval) -> Self {
        let mut ring = [None; VERSIONS];
        ring[0] = Some(Slot { piece: ActivityPeriod::new(0, version, now), told: 0 });
        Self { number, incarnation, sequence: 0, current: 0, ring, counts: [0; KINDS], unplaced: 0 }
    }

    /// One more of this kind, under the version in force.
    #[inline]
    pub fn count(&mut self, kind: CountKind) {
        self.counts[kind as usize] += 1;
    }

    /// The version in force, to be carried by what begins now.
    pub fn version(&self) -> VersionId {
        VersionId(self.current)
    }

    /// One more of this kind, under the version that it began with.
    pub fn count_under(&mut self, id: VersionId, kind: CountKind) {
        if id.0 == self.current {
            return self.count(kind);
        }
        match &mut self.ring[index(id.0)] {
            Some(slot) if slot.piece.serial == id.0 => {
                slot.piece.counts[kind as usize] += 1;
                slot.told = 0;
            }
            _ => self.unplaced += 1,
        }
    }

    /// A change of topology was accepted or refused; those of a span are digested whatever their order.
    pub fn record_topology_change(&mut self, change: &[u8], accepted: bool) {
        self.count(if accepted { CountKind::ChangeAccepted } else { CountKind::ChangeRefused });
        if let Some(slot) = &mut self.ring[index(self.current)] {
            let digest = xxh3_64_with_seed(change, u64::from(accepted));
            slot.piece.digest = slot.piece.digest.wrapping_add(digest);
        }
    }

    /// From now on another version is in force. Yields the oldest span where its place is needed, for the own ledger
    /// ([`Ledger::record_own_entry`](crate::ledger::Ledger::take)): no place is used anew before its counts are there.
    pub fn switch_version(&mut self, version: Version, now: TimeInterval) -> Option<LedgerEntry> {
        self.close(now);
        let unchanged = self.ring[index(self.current)].is_some_and(|it| it.piece.version == version);
        if unchanged {
            return None;
        }
        self.current += 1;
        self.counts = [0; KINDS];
        let opened = Slot { piece: ActivityPeriod::new(self.current, version, now), told: 0 };
        let oldest = self.ring[index(self.current)].replace(opened)?;
        Some(LedgerEntry {
            number: self.number,
            incarnation: self.incarnation,
            told: self.sequence + 1,
            piece: oldest.piece,
        })
    }

    /// What to tell the fleet now: the span in progress, and the oldest of those that ended and were not told often enough.
    /// Counts are those since the span's start, so that what one report loses the next makes good.
    pub fn report(&mut self, now: TimeInterval) -> ActivityReport {
        self.close(now);
        self.sequence += 1;
        let mut pieces = Vec::with_capacity(MAX_PERIODS_PER_REPORT);
        for serial in self.current.saturating_sub(VERSIONS as u64 - 1)..self.current {
            match &mut self.ring[index(serial)] {
                Some(slot) if slot.told < TOLD_ENOUGH && pieces.len() + 1 < MAX_PERIODS_PER_REPORT => {
                    slot.told += 1;
                    pieces.push(slot.piece);
                }
                _ => {}
            }
        }
        pieces.extend(self.ring[index(self.current)].map(|it| it.piece));
        ActivityReport {
            number: self.number,
            incarnation: self.incarnation,
            sequence: self.sequence,
            at: now,
            pieces,
        }
    }

    /// What was counted too late for its version to be remembered.
    pub fn unplaced(&self) -> u64 {
        self.unplaced
    }

    /// Brings the span in progress up to now.
    fn close(&mut self, now: TimeInterval) {
        if let Some(slot) = &mut self.ring[index(self.current)] {
            slot.piece.to = now;
            slot.piece.counts = self.counts;
        }
    }
}

fn index(serial: u64) -> usize {
    (serial % VERSIONS as u64) as usize
}
