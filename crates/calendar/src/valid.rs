//! What a proposal must be before it is proposed, field by field.

use crate::entry::{Entry, Freeze, Override, Proposal, Recurrence, Repeat, Scope, ScopeTarget};
use crate::occurrences;
use jiff::civil::DateTime;
use thiserror::Error;

/// Bytes of a name or a reason: one line of a report, and 10,000 entries within some megabytes.
pub const MAX_TEXT: usize = 256;
/// Zones, hosts or exceptions of one entry: a freeze of more hosts is one of zones.
pub const MAX_NAMES: usize = 256;
/// Days of one occurrence, and of an override at most: more is a change of rules, not a freeze.
pub const MAX_LENGTH_DAYS: i64 = 366;
/// Occurrences of one entry: a daily one for more than two years.
pub const MAX_PER_ENTRY: usize = 800;

/// What is wrong with a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum What {
    /// Nothing is in it.
    #[error("is empty")]
    Empty,
    /// Over its bound of characters or names.
    #[error("is too long")]
    TooLong,
    /// Not behind the start.
    #[error("is not behind the start")]
    BeforeStart,
    /// No such time zone.
    #[error("names no time zone that is known")]
    UnknownZone,
    /// A kind of change that is never held.
    #[error("names a kind of change that is never held")]
    NeverHeld,
    /// A number outside of its range.
    #[error("is out of its range")]
    OutOfRange,
    /// The entry would never be in force.
    #[error("leaves no occurrence")]
    Never,
    /// More occurrences than are kept.
    #[error("makes too many occurrences")]
    TooMany,
}

/// A field of a proposal that is not as it must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("`{field}` {what}")]
pub struct Invalid {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub what: What,
}

fn no<T>(field: &'static str, what: What) -> Result<T, Invalid> {
    Err(Invalid { field, what })
}

fn text(field: &'static str, value: &str) -> Result<(), Invalid> {
    match value.trim() {
        "" => no(field, What::Empty),
        _ if value.len() > MAX_TEXT => no(field, What::TooLong),
        _ => Ok(()),
    }
}

fn names(field: &'static str, values: &[String]) -> Result<(), Invalid> {
    if values.is_empty() {
        return no(field, What::Empty);
    }
    if values.len() > MAX_NAMES {
        return no(field, What::TooLong);
    }
    values.iter().try_for_each(|it| text(field, it))
}

fn scope(scope: &Scope) -> Result<(), Invalid> {
    if scope.kinds.len() > crate::ChangeKind::PLANNED.len() {
        return no("scope.kinds", What::TooLong);
    }
    if scope.kinds.iter().any(|it| !it.planned()) {
        return no("scope.kinds", What::NeverHeld);
    }
    match &scope.place {
        ScopeTarget::Fleet => Ok(()),
        ScopeTarget::Zones(zones) => names("scope.place.zones", zones),
        ScopeTarget::Group { name, hosts } => {
            text("scope.place.group.name", name)?;
            names("scope.place.group.hosts", hosts)
        }
    }
}

fn zone(name: &str) -> Result<(), Invalid> {
    text("zone", name)?;
    occurrences::zone(name).map_or_else(|| no("zone", What::UnknownZone), |_| Ok(()))
}

fn length(start: DateTime, end: DateTime) -> Result<(), Invalid> {
    if end <= start {
        return no("end", What::BeforeStart);
    }
    let longest = jiff::SignedDuration::from_hours(24 * MAX_LENGTH_DAYS);
    if end.duration_since(start) > longest { no("end", What::OutOfRange) } else { Ok(()) }
}

fn repeat(repeat: &Repeat) -> Result<(), Invalid> {
    let every = match &repeat.rhythm {
        Recurrence::Daily(every) | Recurrence::Monthly(every) | Recurrence::Yearly(every) => *every,
        Recurrence::Weekly { every, days } if days.len() <= 7 => *every,
        Recurrence::Weekly { .. } => return no("repeat.rhythm.days", What::TooLong),
        Recurrence::MonthlyByDay { nth, .. } if !matches!(*nth, -5..=-1 | 1..=5) => {
            return no("repeat.rhythm.nth", What::OutOfRange);
        }
        Recurrence::MonthlyByDay { every, .. } => *every,
    };
    if every == 0 { no("repeat.rhythm", What::OutOfRange) } else { Ok(()) }
}

fn freeze(it: &Freeze) -> Result<(), Invalid> {
    text("id", &it.id)?;
    text("reason", &it.reason)?;
    text("asked_by", &it.asked_by)?;
    zone(&it.zone)?;
    scope(&it.scope)?;
    length(it.start, it.end)?;
    if it.exceptions.len() > MAX_NAMES {
        return no("exceptions", What::TooLong);
    }
    if let Some(again) = &it.repeat {
        repeat(again)?;
    }
    let field = if it.repeat.is_some() { "repeat" } else { "exceptions" };
    match occurrences::of_freeze(it).len() {
        0 => no(field, What::Never),
        many if many > MAX_PER_ENTRY => no(field, What::TooMany),
        _ => Ok(()),
    }
}

fn leave(it: &Override) -> Result<(), Invalid> {
    text("id", &it.id)?;
    text("person", &it.person)?;
    text("reason", &it.reason)?;
    zone(&it.zone)?;
    scope(&it.scope)?;
    occurrences::end_of_override(it).map_or_else(|| no("end", What::OutOfRange), |_| Ok(()))
}

impl Proposal {
    /// Whether it can be proposed, as far as it alone says.
    ///
    /// # Errors
    /// The first field that is not as it must be.
    pub fn validate(&self) -> Result<(), Invalid> {
        match self {
            Self::Add(Entry::Freeze(it)) => freeze(it),
            Self::Add(Entry::Override(it)) => leave(it),
            Self::Revoke(it) => {
                text("id", &it.id)?;
                text("asked_by", &it.asked_by)?;
                text("reason", &it.reason)
            }
        }
    }
}
