//! Checks the records of a run against the rules and lists the violations.

mod evidence;
mod rules;
mod verdict;

use crate::cache_node::{Attempt, Ending};
pub use evidence::{Evidence, Interruption};
pub use rules::{
    ANSWER_SLACK, CLOSE_RACE_WINDOW, DISCONNECT_SLACK, MARGIN, NOTIFICATION_SLACK, REMAINING_TIME_SLACK,
};
pub use verdict::{Verdict, Violation};

/// Checks the records of a run against all rules.
#[must_use]
pub fn check_evidence(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict {
        seed: evidence.seed,
        calls: evidence.calls.len(),
        attempts: evidence.attempts.len(),
        runs: evidence.runs.len(),
        ..Verdict::default()
    };
    if evidence.dropped > 0 {
        verdict.violations.push(Violation::RecordsDropped(evidence.dropped));
    }
    rules::check_answers(evidence, &mut verdict);
    rules::check_closed_connections(evidence, &mut verdict);
    rules::check_remaining_time(evidence, &mut verdict);
    rules::check_non_idempotent(evidence, &mut verdict);
    rules::check_concurrent_attempts(evidence, &mut verdict);
    rules::check_draining_endpoints(evidence, &mut verdict);
    verdict
}

/// Returns whether the receiver answered an attempt.
#[must_use]
pub fn is_answered(attempt: &Attempt) -> bool {
    matches!(attempt.ended, Some((_, Ending::Answered)))
}
