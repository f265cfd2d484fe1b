//! A calendar of change freezes that a fleet of balancers agrees on, and the check that every change of topology goes through.
//!
//! The replicated log hands each committed [`Proposal`] to [`Calendar::apply`], which is deterministic: the same log makes the
//! same calendar, and a refused proposal is refused at every balancer. [`Calendar::check`] decides whether a [`Change`] is
//! allowed or held. [`PendingChanges`] queues held changes, [`AvailableCapacity`] tracks the weight that replacements may
//! restore, and [`TopologyGate`] splits discovery's lists into what is accepted now and what is held.
//!
//! The crate does no I/O, reads no clock and draws no randomness. The owner provides the log, bounds on fleet time, the lease
//! state and the timer that calls [`TopologyGate::release`], and stores the [`ChangeRecord`]s.
//!
//! Dates use jiff with its bundled time zones, never the machine's, so that all machines interpret an entry alike. Recurrences
//! are jiff's series, ISO weeks and weekdays of months. The crate rrule supports more rules, but depends on chrono and
//! chrono-tz: a second time zone database that may differ from the first, and a text parser for bytes from the wire, for rules
//! that nobody needs.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod accepted;
mod calendar;
mod capacity;
mod change;
mod entry;
mod errors;
mod gate;
mod index;
mod limits;
mod list_delta;
mod occurrences;
mod pending;
mod records;
mod schedule;
mod validate;

pub use accepted::MAX_MEMBERS;
pub use calendar::{Applied, Calendar, EntryPhase};
pub use capacity::AvailableCapacity;
pub use change::{Change, ChangeKind, HoldReason, LeaseState, TimeInterval, Verdict};
pub use entry::{Day, Entry, Freeze, Override, Proposal, Recurrence, Repeat, Revoke, Scope, ScopeTarget};
pub use errors::{ProposalError, RestoreError};
pub use gate::TopologyGate;
pub use limits::{
    MAX_ENTRIES, MAX_LENGTH_DAYS, MAX_NAMES, MAX_OCCURRENCES, MAX_PER_ENTRY, MAX_TEXT, RETENTION_MS,
};
pub use pending::{MAX_PENDING_CHANGES, PendingChange, PendingChanges, ReleasePace, ReleasedChange};
pub use records::{ChangeOutcome, ChangeRecord, GateContext, GateResult};
pub use validate::{FieldProblem, InvalidField};

/// Milliseconds: a duration, a point of fleet time (since 1970), or a point on the owner's clock.
pub type Millis = u64;
