//! A calendar of freezes that a fleet of balancers agrees on, and the one check that every change of topology passes.
//!
//! The log hands each agreed [`Proposal`] to [`Calendar::apply`], which is deterministic: the same log makes the same calendar,
//! and what is refused is refused everywhere. [`Calendar::check`] says of a [`Change`] whether it is taken or held, and why.
//! [`PendingChanges`] keeps what is held, [`AvailableCapacity`] the weight that replacement may restore, and [`TopologyGate`] splits discovery's
//! lists into what passes now and what waits.
//!
//! The crate does no I/O, reads no clock and draws no randomness. It leaves to its owner the log, fleet time as a span, the
//! standing of the lease, the timer that calls [`TopologyGate::release`], and what becomes of the [`ChangeRecord`]s.
//!
//! Dates are jiff's with its bundled time zones, never the machine's: two machines must read one entry alike. Recurrences are
//! jiff's series, ISO weeks and weekdays of months. The crate rrule knows more rules, but stands on chrono and chrono-tz: a
//! second database of zones that may differ from the first, and a parser of text that goes over the wire, for rules that
//! nobody asked for.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod apply;
mod change;
mod entry;
mod gate;
mod index;
mod list;
mod occurrences;
mod strength;
mod valid;
mod waiting;

pub use apply::{
    Applied, Calendar, EntryPhase, MAX_ENTRIES, MAX_OCCURRENCES, ProposalError, RETENTION_MS, RestoreError,
};
pub use change::{Change, ChangeKind, HoldReason, LeaseState, TimeInterval, Verdict};
pub use entry::{Day, Entry, Freeze, Override, Proposal, Recurrence, Repeat, Revoke, Scope, ScopeTarget};
pub use gate::{ChangeOutcome, ChangeRecord, GateContext, GateResult, MAX_MEMBERS, TopologyGate};
pub use strength::AvailableCapacity;
pub use valid::{Invalid, MAX_LENGTH_DAYS, MAX_NAMES, MAX_PER_ENTRY, MAX_TEXT, What};
pub use waiting::{MAX_WAITING, PendingChange, PendingChanges, ReleasePace};

/// Milliseconds: a span, a point of fleet time (since 1970), or a point on the owner's clock.
pub type Millis = u64;
