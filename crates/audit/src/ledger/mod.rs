//! The ledger: which balancer acted on which version, when, and how often, from the balancers' own reports only.

mod account;
mod query;

pub use crate::activity::{
    ActivityPeriod, ActivityReport, LedgerEntry, LedgerKey, MAX_PERIODS_PER_REPORT, MAX_REPORT_BYTES,
};
pub use account::{MAX_INCARNATIONS_PER_BALANCER, MAX_PERIODS_PER_BALANCER, ReportStatus};
pub use query::{CurrentActivity, KnownUntil, LaggingBalancer, PastActivity};

use account::{Account, Persistence};

/// The activity that all balancers reported.
#[derive(Clone, Debug)]
pub struct Ledger {
    accounts: Vec<Account>,
}

impl Ledger {
    /// Creates the ledger of `roster` balancers, without any reports.
    pub fn new(roster: u16) -> Self {
        Self { accounts: vec![Account::default(); usize::from(roster)] }
    }

    /// Records a report. Reports may arrive in any order.
    pub fn record_report(&mut self, report: &ActivityReport) -> ReportStatus {
        match self.accounts.get_mut(usize::from(report.number)) {
            Some(account) if report.periods.len() <= MAX_PERIODS_PER_REPORT => account.record_report(report),
            _ => ReportStatus::Refused,
        }
    }

    /// Records a period that this balancer's own [`ActivityCounter`](crate::activity_counter::ActivityCounter) evicted.
    pub fn record_own_entry(&mut self, entry: LedgerEntry) {
        if let Some(account) = self.accounts.get_mut(usize::from(entry.number)) {
            account.store(entry, Persistence::Unsaved);
        }
    }

    /// Restores an entry that was read from disk.
    pub fn restore(&mut self, entry: LedgerEntry) {
        if let Some(account) = self.accounts.get_mut(usize::from(entry.number)) {
            account.restore(entry);
        }
    }

    /// Returns the entries that changed since the last call, to be written to disk. Call this at least once in
    /// [`MAX_PERIODS_PER_BALANCER`] version changes of any balancer. [`Ledger::evicted_unsaved`] counts the entries
    /// that were evicted before the call.
    pub fn take_unsaved(&mut self) -> Vec<LedgerEntry> {
        self.accounts.iter_mut().flat_map(Account::take_unsaved).collect()
    }

    /// The number of entries that were evicted from memory before [`Ledger::take_unsaved`] returned them.
    pub fn evicted_unsaved(&self) -> u64 {
        self.accounts.iter().map(|account| account.evicted_unsaved).sum()
    }
}
