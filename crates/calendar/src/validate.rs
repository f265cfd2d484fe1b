//! Validation of the fields of a proposal.

use crate::ChangeKind;
use crate::entry::{Entry, Freeze, Override, Proposal, Recurrence, Repeat, Scope, ScopeTarget};
use crate::limits::{MAX_DURATION_DAYS, MAX_NAMES_PER_ENTRY, MAX_OCCURRENCES_PER_ENTRY, MAX_TEXT_BYTES};
use crate::occurrences;
use jiff::civil::DateTime;
use thiserror::Error;

/// The problem with an invalid field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// The field is empty.
    #[error("is empty")]
    Empty,
    /// The field has more bytes or elements than allowed.
    #[error("is too long")]
    TooLong,
    /// The end is not after the start.
    #[error("is not behind the start")]
    EndNotAfterStart,
    /// The field names an unknown time zone.
    #[error("names no time zone that is known")]
    UnknownZone,
    /// The field names a kind of change that a freeze never holds.
    #[error("names a kind of change that is never held")]
    NeverHeld,
    /// The value is out of its range.
    #[error("is out of its range")]
    OutOfRange,
    /// The entry would have no occurrence.
    #[error("leaves no occurrence")]
    NoOccurrence,
    /// The entry would have more occurrences than allowed.
    #[error("makes too many occurrences")]
    TooManyOccurrences,
}

/// An invalid field of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("`{field}` {problem}")]
pub struct InvalidField {
    /// The path of the field in the proposal.
    pub field: &'static str,
    /// The problem with the field.
    pub problem: FieldProblem,
}

fn invalid<T>(field: &'static str, problem: FieldProblem) -> Result<T, InvalidField> {
    Err(InvalidField { field, problem })
}

fn validate_text(field: &'static str, value: &str) -> Result<(), InvalidField> {
    match value.trim() {
        "" => invalid(field, FieldProblem::Empty),
        _ if value.len() > MAX_TEXT_BYTES => invalid(field, FieldProblem::TooLong),
        _ => Ok(()),
    }
}

fn validate_names(field: &'static str, values: &[String]) -> Result<(), InvalidField> {
    if values.is_empty() {
        return invalid(field, FieldProblem::Empty);
    }
    if values.len() > MAX_NAMES_PER_ENTRY {
        return invalid(field, FieldProblem::TooLong);
    }
    values.iter().try_for_each(|value| validate_text(field, value))
}

fn validate_scope(scope: &Scope) -> Result<(), InvalidField> {
    if scope.kinds.len() > ChangeKind::PLANNED.len() {
        return invalid("scope.kinds", FieldProblem::TooLong);
    }
    if scope.kinds.iter().any(|it| !it.is_planned()) {
        return invalid("scope.kinds", FieldProblem::NeverHeld);
    }
    match &scope.place {
        ScopeTarget::Fleet => Ok(()),
        ScopeTarget::Zones(zones) => validate_names("scope.place.zones", zones),
        ScopeTarget::Group { name, hosts } => {
            validate_text("scope.place.group.name", name)?;
            validate_names("scope.place.group.hosts", hosts)
        }
    }
}

fn validate_time_zone(name: &str) -> Result<(), InvalidField> {
    validate_text("zone", name)?;
    occurrences::time_zone(name).map_or_else(|| invalid("zone", FieldProblem::UnknownZone), |_| Ok(()))
}

fn validate_duration(start: DateTime, end: DateTime) -> Result<(), InvalidField> {
    if end <= start {
        return invalid("end", FieldProblem::EndNotAfterStart);
    }
    let max_duration = jiff::SignedDuration::from_hours(24 * MAX_DURATION_DAYS);
    if end.duration_since(start) > max_duration { invalid("end", FieldProblem::OutOfRange) } else { Ok(()) }
}

fn validate_repeat(repeat: &Repeat) -> Result<(), InvalidField> {
    let every = match &repeat.rhythm {
        Recurrence::Daily(every) | Recurrence::Monthly(every) | Recurrence::Yearly(every) => *every,
        Recurrence::Weekly { every, days } if days.len() <= 7 => *every,
        Recurrence::Weekly { .. } => return invalid("repeat.rhythm.days", FieldProblem::TooLong),
        Recurrence::MonthlyByDay { nth, .. } if !matches!(*nth, -5..=-1 | 1..=5) => {
            return invalid("repeat.rhythm.nth", FieldProblem::OutOfRange);
        }
        Recurrence::MonthlyByDay { every, .. } => *every,
    };
    if every == 0 { invalid("repeat.rhythm", FieldProblem::OutOfRange) } else { Ok(()) }
}

fn validate_freeze(freeze: &Freeze) -> Result<(), InvalidField> {
    validate_text("id", &freeze.id)?;
    validate_text("reason", &freeze.reason)?;
    validate_text("asked_by", &freeze.asked_by)?;
    validate_time_zone(&freeze.zone)?;
    validate_scope(&freeze.scope)?;
    validate_duration(freeze.start, freeze.end)?;
    if freeze.exceptions.len() > MAX_NAMES_PER_ENTRY {
        return invalid("exceptions", FieldProblem::TooLong);
    }
    if let Some(repeat) = &freeze.repeat {
        validate_repeat(repeat)?;
    }
    let field = if freeze.repeat.is_some() { "repeat" } else { "exceptions" };
    match occurrences::freeze_occurrences(freeze).len() {
        0 => invalid(field, FieldProblem::NoOccurrence),
        count if count > MAX_OCCURRENCES_PER_ENTRY => invalid(field, FieldProblem::TooManyOccurrences),
        _ => Ok(()),
    }
}

fn validate_override(entry: &Override) -> Result<(), InvalidField> {
    validate_text("id", &entry.id)?;
    validate_text("person", &entry.person)?;
    validate_text("reason", &entry.reason)?;
    validate_time_zone(&entry.zone)?;
    validate_scope(&entry.scope)?;
    occurrences::override_end(entry).map_or_else(|| invalid("end", FieldProblem::OutOfRange), |_| Ok(()))
}

impl Proposal {
    /// Checks the fields of the proposal. It does not check the proposal against the entries of a calendar.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), InvalidField> {
        match self {
            Self::Add(Entry::Freeze(it)) => validate_freeze(it),
            Self::Add(Entry::Override(it)) => validate_override(it),
            Self::Revoke(it) => {
                validate_text("id", &it.id)?;
                validate_text("asked_by", &it.asked_by)?;
                validate_text("reason", &it.reason)
            }
        }
    }
}
