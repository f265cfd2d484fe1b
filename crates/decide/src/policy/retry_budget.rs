//! The budgets for retries and hedged requests. Each accepted request adds to both.

use crate::api::Outcome;

const RETRY_FRACTION: f64 = 0.25; // retries of failed attempts per accepted request
const HEDGE_FRACTION: f64 = 0.01; // hedged requests, or attempts cut short, per accepted request
const MAX_BALANCE: f64 = 10.0; // highest balance of each budget
const MAX_BALANCE_AFTER_RELEASE: f64 = MAX_BALANCE + 1.0; // highest balance after a reservation is released

/// Cost of a hedged request, of an attempt cut short, and of a retry after a failure caused by load, to which
/// the retry adds.
const FULL_COST: f64 = 1.0;

/// Cost of a retry after a failure that load did not cause: a broken or failed connection, or a bad answer.
const FAULT_COST: f64 = 0.2;

/// Limits the number of attempts beyond the first one of each request.
#[derive(Debug)]
pub(super) struct RetryBudget {
    retries: f64,
    hedges: f64,
}

impl RetryBudget {
    /// Creates budgets with the highest balance.
    pub(super) fn new() -> Self {
        Self { retries: MAX_BALANCE, hedges: MAX_BALANCE }
    }

    /// Credits both budgets for an accepted request.
    pub(super) fn deposit(&mut self) {
        self.retries = (self.retries + RETRY_FRACTION).min(MAX_BALANCE);
        self.hedges = (self.hedges + HEDGE_FRACTION).min(MAX_BALANCE);
    }

    /// Withdraws a retry after an attempt that ended with `outcome`. Returns false if the balance is too low.
    pub(super) fn withdraw_retry(&mut self, outcome: Outcome) -> bool {
        let cost = if indicates_overload(outcome) { FULL_COST } else { FAULT_COST };
        withdraw(&mut self.retries, cost)
    }

    /// Withdraws a retry for an attempt that is about to be cut short. Returns false if the balance is too
    /// low.
    pub(super) fn reserve_retry(&mut self) -> bool {
        withdraw(&mut self.retries, FULL_COST)
    }

    /// Withdraws a hedged request, or the retry of an attempt that is about to be cut short, from the hedge
    /// budget. Returns false if the balance is too low.
    pub(super) fn withdraw_hedge(&mut self) -> bool {
        withdraw(&mut self.hedges, FULL_COST)
    }

    /// Releases the reserved retry of an attempt that was cut short. After a timeout the retry budget gets
    /// it, to pay for the retry; after any other outcome the hedge budget does.
    pub(super) fn release_reserved(&mut self, outcome: Outcome) {
        let budget = if outcome == Outcome::Timeout { &mut self.retries } else { &mut self.hedges };
        *budget = (*budget + FULL_COST).min(MAX_BALANCE_AFTER_RELEASE);
    }
}

/// Returns whether the outcome of an attempt indicates that its endpoint was overloaded.
pub(super) fn indicates_overload(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::Timeout)
}

fn withdraw(budget: &mut f64, cost: f64) -> bool {
    let affordable = *budget >= cost;
    if affordable {
        *budget -= cost;
    }
    affordable
}
