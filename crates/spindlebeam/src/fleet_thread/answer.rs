//! The answers to operators' calls, and the texts of the log lines.

use agreement::{ProposeError, VotingBlock};
use calendar::{Applied, FieldProblem, InvalidField, ProposalError};
use fleet::ProposalOutcome;
use serde_json::{Value, json};
use tokio::sync::oneshot;

const OK: u16 = 200;
const CONFLICT: u16 = 409;
const SERVICE_UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;

/// The sender of a call's answer: an HTTP status and a JSON body.
pub(super) type AnswerSender = oneshot::Sender<(u16, String)>;

/// Sends a view of the fleet as the answer.
pub(super) fn send_view(sender: AnswerSender, view: &Value) {
    send(sender, OK, view);
}

/// Sends the error of a proposal that was rejected before it was sent.
pub(super) fn send_rejection(sender: AnswerSender, error: ProposeError) {
    send(sender, SERVICE_UNAVAILABLE, &json!({"error": error.to_string()}));
}

/// Sends the outcome of a proposal for the calendar.
pub(super) fn send_outcome(sender: AnswerSender, outcome: &ProposalOutcome) {
    match outcome {
        ProposalOutcome::Committed { revision, applied } => {
            let status = if matches!(applied, Some(Applied::Refused(_))) { CONFLICT } else { OK };
            send(sender, status, &json!({"revision": revision, "came_to": applied_text(applied.as_ref())}));
        }
        ProposalOutcome::TimedOut => {
            send(sender, GATEWAY_TIMEOUT, &json!({"error": "not agreed in time; it may still be"}));
        }
    }
}

fn send(sender: AnswerSender, status: u16, body: &Value) {
    let _ = sender.send((status, body.to_string())); // the caller may have disconnected
}

/// Returns the text of `came_to`. Operators' programs compare it, so it does not follow the names of the types.
#[must_use]
pub fn applied_text(applied: Option<&Applied>) -> String {
    match applied {
        Some(Applied::Added) => "Some(Added)".into(),
        Some(Applied::Revoked) => "Some(Revoked)".into(),
        Some(Applied::Refused(error)) => format!("Some(Refused({}))", refusal_text(error)),
        Some(Applied::AlreadyApplied) => "Some(Known)".into(),
        None => "None".into(),
    }
}

fn refusal_text(error: &ProposalError) -> String {
    match error {
        ProposalError::Invalid(InvalidField { field, problem }) => {
            format!("Invalid(Invalid {{ field: {field:?}, what: {} }})", problem_text(*problem))
        }
        ProposalError::Duplicate(id) => format!("Duplicate({id:?})"),
        ProposalError::UnknownEntry(id) => format!("Unknown({id:?})"),
        ProposalError::EndsBeforeInForce(id) => format!("Over({id:?})"),
        ProposalError::TooManyEntries => "Full".into(),
        ProposalError::TooManyOccurrences => "TooMany".into(),
    }
}

fn problem_text(problem: FieldProblem) -> &'static str {
    match problem {
        FieldProblem::Empty => "Empty",
        FieldProblem::TooLong => "TooLong",
        FieldProblem::EndNotAfterStart => "BeforeStart",
        FieldProblem::UnknownZone => "UnknownZone",
        FieldProblem::NeverHeld => "NeverHeld",
        FieldProblem::OutOfRange => "OutOfRange",
        FieldProblem::NoOccurrence => "Never",
        FieldProblem::TooManyOccurrences => "TooMany",
    }
}

/// Returns the reason for the log line of a voter that does not vote.
pub(super) fn voting_block_text(reason: &VotingBlock) -> String {
    match reason {
        VotingBlock::LostState => {
            "lost state: it starts without state while others have some, so it may have voted before".into()
        }
        VotingBlock::StaleStore { stored, observed } => {
            format!("stale store: its disk counts {stored} writes, others have seen {observed}")
        }
        VotingBlock::StorageFailed(error) => format!("storage failed: {error}"),
    }
}
