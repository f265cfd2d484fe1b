//! Names of topology changes and of their outcomes, for log lines and for the digest that balancers compare.
//!
//! The names are string literals, independent of Rust identifiers, because balancers of different versions must compute
//! the same digest for the same changes.

use calendar::{ChangeKind, ChangeOutcome, HoldReason};

/// Returns the name of a kind of change.
pub(crate) fn change_kind_name(kind: ChangeKind) -> &'static str {
    match kind {
        ChangeKind::Drain => "Drain",
        ChangeKind::Gone => "Gone",
        ChangeKind::Down => "Fall",
        ChangeKind::Restarted => "Cold",
        ChangeKind::Disabled => "Out",
        ChangeKind::Enabled => "Back",
        ChangeKind::WeightReduced => "Less",
        ChangeKind::Join => "Join",
        ChangeKind::WeightIncreased => "More",
        ChangeKind::Zone => "Zone",
        ChangeKind::Discovery => "Discovery",
        ChangeKind::Configuration => "Configuration",
        ChangeKind::Restart => "Restart",
        ChangeKind::Growth => "Growth",
        ChangeKind::Council => "Council",
    }
}

/// Describes the outcome of a change.
pub(crate) fn outcome_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Applied | ChangeOutcome::InitialList => "applied".into(),
        ChangeOutcome::Override(id) => format!("applied under override {id}"),
        ChangeOutcome::Replacement => "applied as a replacement".into(),
        ChangeOutcome::QueueFull => "dropped: too many changes are pending".into(),
        ChangeOutcome::Held { reason, until } => hold_text(reason, *until),
    }
}

/// Describes why a change is held, and until when (Unix time in milliseconds) if the end is known.
pub(crate) fn hold_text(reason: &HoldReason, until: Option<u64>) -> String {
    let until = until.map_or_else(String::new, |ms| format!(" until {ms}"));
    let reason = match reason {
        HoldReason::Freeze { id, reason } => format!("freeze {id}: {reason}"),
        HoldReason::NoLease => "no lease is held, or fleet time is unknown".into(),
        HoldReason::Queued => "queued behind earlier changes".into(),
    };
    format!("held{until}: {reason}")
}
