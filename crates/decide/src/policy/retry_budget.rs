//! The budgets for retries and hedged requests: both grow with the requests accepted.

use crate::api::Outcome;

const RETRY_FRACTION: f64 = 0.25; // retries of failed attempts per accepted request
const HEDGE_FRACTION: f64 = 0.01; // hedged requests, or attempts cut short, per accepted request
const MAX_SAVED: f64 = 10.0; // how many of each may be saved up
const MAX_RETURNED: f64 = MAX_SAVED + 1.0; // the same while a reserved retry is returned

/// What a retry costs whose attempt failed by load: it adds to the load.
const FULL_COST: f64 = 1.0;

/// What a retry costs whose attempt was broken, unreachable or answered badly, without load as the cause.
const FAULT_COST: f64 = 0.2;

/// Bounds how many attempts are made beyond the first of each request.
#[derive(Debug)]
pub(super) struct RetryBudget {
    retries: f64,
    hedges: f64,
}

impl RetryBudget {
    /// Creates a budget with all that may be saved up.
    pub(super) fn new() -> Self {
        Self { retries: MAX_SAVED, hedges: MAX_SAVED }
    }

    /// Adds the share of an accepted request.
    pub(super) fn deposit(&mut self) {
        self.retries = (self.retries + RETRY_FRACTION).min(MAX_SAVED);
        self.hedges = (self.hedges + HEDGE_FRACTION).min(MAX_SAVED);
    }

    /// Takes a retry after an attempt that ended with `outcome`; returns whether there was one.
    pub(super) fn withdraw_retry(&mut self, outcome: Outcome) -> bool {
        let cost = if failed_by_load(outcome) { FULL_COST } else { FAULT_COST };
        withdraw(&mut self.retries, cost)
    }

    /// Takes a retry for an attempt that is about to be cut short; returns whether there was one.
    pub(super) fn reserve_retry(&mut self) -> bool {
        withdraw(&mut self.retries, FULL_COST)
    }

    /// Takes a hedged request, or one for an attempt that is cut short; returns whether there was one.
    pub(super) fn withdraw_hedge(&mut self) -> bool {
        withdraw(&mut self.hedges, FULL_COST)
    }

    /// Returns what was reserved for an attempt that was cut short: after a timeout it pays for the retry.
    pub(super) fn release_reserved(&mut self, outcome: Outcome) {
        let budget = if outcome == Outcome::Timeout { &mut self.retries } else { &mut self.hedges };
        *budget = (*budget + FULL_COST).min(MAX_RETURNED);
    }
}

/// Whether an attempt failed because its endpoint had too much to do.
pub(super) fn failed_by_load(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::Timeout)
}

fn withdraw(budget: &mut f64, cost: f64) -> bool {
    let affordable = *budget >= cost;
    if affordable {
        *budget -= cost;
    }
    affordable
}
