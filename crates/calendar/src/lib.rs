//! A replicated calendar of change freezes, and the check of every topology change against it.
//!
//! The replicated log passes each committed [`Proposal`] to [`Calendar::apply`], which is deterministic: balancers that
//! apply the same log hold equal calendars and refuse the same proposals. [`Calendar::check`] decides whether a
//! [`Change`] is allowed or held. [`PendingChanges`] queues held changes, [`AvailableCapacity`] tracks the weight that
//! replacements may restore, and [`TopologyGate`] splits discovery's lists into accepted and held changes.
//!
//! The crate does no I/O, reads no clock and draws no randomness. The owner provides the log, bounds on fleet time, the
//! lease state and the timer that calls [`TopologyGate::release`], and stores the [`ChangeRecord`]s.
//!
//! Dates use jiff with its bundled time zones instead of the machine's, so that all machines interpret an entry alike.
//! Recurrences are built from jiff's date series, ISO weeks and weekdays of months. The crate rrule supports more
//! rules, but none that is needed here. It depends on chrono and chrono-tz, which add a second time zone database that
//! may differ from jiff's, and it parses text from the wire.
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

pub use accepted::MAX_ACCEPTED_ENDPOINTS;
pub use calendar::{Applied, Calendar, EntryPhase};
pub use capacity::AvailableCapacity;
pub use change::{Change, ChangeKind, HoldReason, LeaseState, TimeInterval, Verdict};
pub use entry::{Day, Entry, Freeze, Override, Proposal, Recurrence, Repeat, Revoke, Scope, ScopeTarget};
pub use errors::{ProposalError, RestoreError};
pub use gate::TopologyGate;
pub use limits::{
    MAX_DURATION_DAYS, MAX_ENTRIES, MAX_NAMES_PER_ENTRY, MAX_OCCURRENCES, MAX_OCCURRENCES_PER_ENTRY,
    MAX_TEXT_BYTES, RETENTION_MS,
};
pub use pending::{MAX_PENDING_CHANGES, PendingChange, PendingChanges, ReleasePace, ReleasedChange};
pub use records::{ChangeOutcome, ChangeRecord, GateContext, GateResult};
pub use validate::{FieldProblem, InvalidField};

/// Milliseconds: a duration, a fleet time since the Unix epoch (1970), or a time on the owner's clock.
pub type Millis = u64;
