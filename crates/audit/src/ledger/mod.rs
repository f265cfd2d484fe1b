//! Which balancer acted on which version, when, and how often, as told by each and never guessed.

mod account;
mod query;

pub use query::{CurrentActivity, KnownUntil, LaggingNode, PastActivity};

use crate::counting::KINDS;
use crate::lease::TimeInterval;
use crate::version::Version;
use account::Account;
use serde::{Deserialize, Serialize};

/// Spans in one report: so many fit [`MAX_REPORT_BYTES`] at the largest of all numbers.
pub const MAX_PERIODS_PER_REPORT: usize = 3;

/// The most bytes that a report takes: it shares a datagram.
pub const MAX_REPORT_BYTES: usize = 1_100;

/// Spans kept of each balancer in memory: 300 balancers take 3 MB. Older ones are on disk, where there is one.
pub const MAX_PERIODS_PER_BALANCER: usize = 32;

/// Lives kept of each balancer: how many starts a balancer may make while reports of its first are still under way.
pub const MAX_INCARNATIONS_PER_BALANCER: usize = 4;

/// A time during which a balancer acted on one version, and what it did in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivityPeriod {
    /// Counted up with each span of a life, so that a missing one shows.
    pub serial: u64,
    /// What it acted on.
    pub version: Version,
    /// It began within this.
    pub from: TimeInterval,
    /// It ended, or was last told of, within this.
    pub to: TimeInterval,
    /// By [`CountKind`](crate::counting::Kind), since it began.
    pub counts: [u64; KINDS],
    /// Of the changes of topology accepted and refused, in any order.
    pub digest: u64,
}

impl ActivityPeriod {
    pub(crate) fn new(serial: u64, version: Version, now: TimeInterval) -> Self {
        Self { serial, version, from: now, to: now, counts: [0; KINDS], digest: 0 }
    }
}

/// What a balancer tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivityReport {
    /// Who tells.
    pub number: u16,
    /// In which life.
    pub incarnation: u64,
    /// Counted up with each report of a life, from 1.
    pub sequence: u64,
    /// When it was made.
    pub at: TimeInterval,
    /// Its spans, the one in progress last.
    pub pieces: Vec<ActivityPeriod>,
}

impl ActivityReport {
    /// As it travels.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Nothing if it is no report, or larger than one may be.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_REPORT_BYTES {
            return None;
        }
        postcard::from_bytes(bytes).ok().filter(|it: &Self| it.pieces.len() <= MAX_PERIODS_PER_REPORT)
    }
}

/// One span of one balancer, as it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Whose.
    pub number: u16,
    /// In which life.
    pub incarnation: u64,
    /// The report that last told of it; a later one takes its place.
    pub told: u64,
    /// What it did.
    pub piece: ActivityPeriod,
}

impl LedgerEntry {
    /// As it is kept on disk.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Nothing if it is no entry.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// What it is kept under: what is told anew of it takes its place.
    pub fn key(&self) -> (u16, u64, u64) {
        (self.number, self.incarnation, self.piece.serial)
    }
}

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportStatus {
    /// The newest of its life.
    Newest,
    /// Overtaken on the way; what it alone tells is taken in.
    Late,
    /// Heard before, or too old to know; nothing of it is counted.
    Repeated,
    /// From nobody on the roster, or larger than a report may be.
    Refused,
}

/// All that the balancers told.
#[derive(Clone, Debug)]
pub struct Ledger {
    accounts: Vec<Account>,
}

impl Ledger {
    /// Of so many balancers, of which nothing is known yet.
    pub fn new(roster: u16) -> Self {
        Self { accounts: vec![Account::default(); usize::from(roster)] }
    }

    /// A report came in, in whatever order.
    pub fn record_report(&mut self, report: &ActivityReport) -> ReportStatus {
        match self.accounts.get_mut(usize::from(report.number)) {
            Some(account) if report.pieces.len() <= MAX_PERIODS_PER_REPORT => account.hear(report),
            _ => ReportStatus::Refused,
        }
    }

    /// A span of this balancer itself, that its counting needs the place of.
    pub fn record_own_entry(&mut self, entry: LedgerEntry) {
        if let Some(account) = self.accounts.get_mut(usize::from(entry.number)) {
            account.keep(entry, true);
        }
    }

    /// A span from disk.
    pub fn restore(&mut self, entry: LedgerEntry) {
        if let Some(account) = self.accounts.get_mut(usize::from(entry.number)) {
            account.restore(entry);
        }
    }

    /// The spans that changed since this was last called, for the disk. To be called at least once in [`MAX_PERIODS_PER_BALANCER`] changes of
    /// version of any balancer; [`Ledger::unkept`] tells of those that it came too late for.
    pub fn take_unsaved(&mut self) -> Vec<LedgerEntry> {
        self.accounts.iter_mut().flat_map(Account::take_changed).collect()
    }

    /// Spans that left memory before they were handed out for keeping.
    pub fn unkept(&self) -> u64 {
        self.accounts.iter().map(|it| it.unkept).sum()
    }
}
