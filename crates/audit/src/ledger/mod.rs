//! The ledger: which balancer acted on which version, when, and how often, from the balancers' own reports only.

mod account;
mod query;

pub use crate::activity::{
    ActivityPeriod, ActivityReport, LedgerEntry, LedgerKey, MAX_PERIODS_PER_REPORT, MAX_REPORT_BYTES,
};
pub use account::{MAX_INCARNATIONS_PER_BALANCER, MAX_PERIODS_PER_BALANCER, ReportStatus};
pub use query::{CurrentActivity, KnownUntil, LaggingNode, PastActivity};

use account::{Account, Persistence};

/// The activity that all balancers reported.
#[derive(Clone, Debug)]
pub struct Ledger {
    accounts: Vec<Account>,
}

impl Ledger {
    /// Creates the ledger of `roster` balancers, of which nothing is known yet.
    pub fn new(roster: u16) -> Self {
        Self { accounts: vec![Account::default(); usize::from(roster)] }
    }

    /// Takes in a report. Reports may arrive in any order.
    pub fn record_report(&mut self, report: &ActivityReport) -> ReportStatus {
        match self.accounts.get_mut(usize::from(report.number)) {
            Some(account) if report.periods.len() <= MAX_PERIODS_PER_REPORT => account.record_report(report),
            _ => ReportStatus::Refused,
        }
    }

    /// Takes in a period that this balancer's own [`ActivityCounter`](crate::activity_counter::ActivityCounter) evicted.
    pub fn record_own_entry(&mut self, entry: LedgerEntry) {
        if let Some(account) = self.accounts.get_mut(usize::from(entry.number)) {
            account.store(entry, Persistence::Unsaved);
        }
    }

    /// Takes in an entry that was read from disk.
    pub fn restore(&mut self, entry: LedgerEntry) {
        if let Some(account) = self.accounts.get_mut(usize::from(entry.number)) {
            account.restore(entry);
        }
    }

    /// The entries that changed since the last call, to be written to disk. Call this at least once in
    /// [`MAX_PERIODS_PER_BALANCER`] version changes of any balancer; [`Ledger::evicted_unsaved`] counts the entries for which
    /// the call came too late.
    pub fn take_unsaved(&mut self) -> Vec<LedgerEntry> {
        self.accounts.iter_mut().flat_map(Account::take_unsaved).collect()
    }

    /// How many entries left memory before [`Ledger::take_unsaved`] returned them.
    pub fn evicted_unsaved(&self) -> u64 {
        self.accounts.iter().map(|account| account.evicted_unsaved).sum()
    }
}
