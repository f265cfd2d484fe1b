//! The entries of a calendar: freezes, overrides of freezes, and revocations. Their encodings are stored and sent to
//! peers.

use crate::ChangeKind;
use jiff::civil::{Date, DateTime, Weekday};
use serde::{Deserialize, Serialize};

/// The part of the fleet that an entry applies to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScopeTarget {
    /// The whole fleet, including changes that affect no single endpoint.
    Fleet,
    /// These zones.
    Zones(Vec<String>),
    /// These endpoints or balancers.
    Group {
        /// The name that operators gave the group.
        name: String,
        /// The ids of its members.
        hosts: Vec<String>,
    },
}

/// The kinds of change that an entry covers, and the part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// The kinds of change. If empty, the entry covers all kinds that can be held.
    #[serde(default)]
    pub kinds: Vec<ChangeKind>,
    /// The part of the fleet that the entry applies to.
    pub place: ScopeTarget,
}

/// A day of the week.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Day {
    /// Monday.
    Monday,
    /// Tuesday.
    Tuesday,
    /// Wednesday.
    Wednesday,
    /// Thursday.
    Thursday,
    /// Friday.
    Friday,
    /// Saturday.
    Saturday,
    /// Sunday.
    Sunday,
}

impl From<Day> for Weekday {
    fn from(day: Day) -> Self {
        match day {
            Day::Monday => Self::Monday,
            Day::Tuesday => Self::Tuesday,
            Day::Wednesday => Self::Wednesday,
            Day::Thursday => Self::Thursday,
            Day::Friday => Self::Friday,
            Day::Saturday => Self::Saturday,
            Day::Sunday => Self::Sunday,
        }
    }
}

/// How often a freeze recurs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recurrence {
    /// Recurs every N days.
    Daily(u16),
    /// Recurs on the given weekdays of every Nth ISO week.
    Weekly {
        /// The interval N in weeks; 1 for every week.
        every: u16,
        /// The weekdays. If empty, the weekday of the start.
        days: Vec<Day>,
    },
    /// Recurs every N months, on the day of month of the start. In a shorter month, on its last day.
    Monthly(u16),
    /// Recurs every N months, on the `nth` weekday `day` of the month. Months without such a day are skipped.
    MonthlyByDay {
        /// The interval N in months; 1 for every month.
        every: u16,
        /// The position of the weekday in the month: 1 to 5 from its start, or -1 to -5 from its end.
        nth: i8,
        /// The weekday.
        day: Day,
    },
    /// Recurs every N years, on the date of the start.
    Yearly(u16),
}

/// A recurrence and its end. The end is mandatory, because an entry without one would never leave the calendar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The last date that an occurrence may start on.
    pub until: Date,
    /// How often the freeze recurs.
    pub rhythm: Recurrence,
}

/// A period, possibly recurring, during which planned changes are held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// The unique id of the entry.
    pub id: String,
    /// The reason for the freeze, shown with each change that it holds.
    pub reason: String,
    /// The person who requested the freeze.
    pub asked_by: String,
    /// The start, inclusive, in the civil time of `zone`.
    pub start: DateTime,
    /// The end, exclusive, in the civil time of `zone`.
    pub end: DateTime,
    /// The IANA name of the time zone.
    pub zone: String,
    /// Dates on which no occurrence starts.
    #[serde(default)]
    pub exceptions: Vec<Date>,
    /// The changes that the freeze holds.
    pub scope: Scope,
    /// The recurrence, if the freeze recurs.
    pub repeat: Option<Repeat>,
}

/// A permission for changes that freezes hold, in force from its commit until its end. A named person is responsible
/// for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// The unique id of the entry.
    pub id: String,
    /// The person who is responsible for the override.
    pub person: String,
    /// The reason for the override.
    pub reason: String,
    /// The end, exclusive, in the civil time of `zone`.
    pub end: DateTime,
    /// The IANA name of the time zone.
    pub zone: String,
    /// The changes that the override allows.
    pub scope: Scope,
}

/// An entry of the calendar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// An entry that holds changes.
    Freeze(Freeze),
    /// An entry that allows changes that freezes hold.
    Override(Override),
}

impl Entry {
    /// Returns the id of the entry.
    pub fn id(&self) -> &str {
        match self {
            Self::Freeze(it) => &it.id,
            Self::Override(it) => &it.id,
        }
    }
    /// Returns the reason for the entry.
    pub fn reason(&self) -> &str {
        match self {
            Self::Freeze(it) => &it.reason,
            Self::Override(it) => &it.reason,
        }
    }
    /// Returns the scope of the entry.
    pub fn scope(&self) -> &Scope {
        match self {
            Self::Freeze(it) => &it.scope,
            Self::Override(it) => &it.scope,
        }
    }
}

/// A request to end an entry early.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// The entry's id.
    pub id: String,
    /// The person who requested the revocation.
    pub asked_by: String,
    /// The reason for the revocation.
    pub reason: String,
}

/// A change of the calendar, proposed to the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proposal {
    /// Adds an entry.
    Add(Entry),
    /// Revokes an entry.
    Revoke(Revoke),
}
