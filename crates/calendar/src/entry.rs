//! The entries of a calendar: freezes, overrides of freezes, and revocations. Their encodings are stored and sent.

use crate::ChangeKind;
use jiff::civil::{Date, DateTime, Weekday};
use serde::{Deserialize, Serialize};

/// Where an entry applies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScopeTarget {
    /// To the whole fleet, including changes without an endpoint.
    Fleet,
    /// To these zones.
    Zones(Vec<String>),
    /// To these endpoints or balancers.
    Group {
        /// The operators' name of the group.
        name: String,
        /// The ids of its members.
        hosts: Vec<String>,
    },
}

/// What an entry covers: where, and which kinds of change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// The kinds of change. If empty, all kinds that can be held.
    #[serde(default)]
    pub kinds: Vec<ChangeKind>,
    /// Where the entry applies.
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
    /// Every so many days.
    Daily(u16),
    /// On these days of every so many ISO weeks.
    Weekly {
        /// 1 for every week.
        every: u16,
        /// The days; the day of the start when empty.
        days: Vec<Day>,
    },
    /// On the day of month of the start, every so many months. In a shorter month, on its last day.
    Monthly(u16),
    /// On the nth such weekday of every so many months. Months without one are skipped.
    MonthlyByDay {
        /// 1 for every month.
        every: u16,
        /// 1 to 5, or -1 to -5 from the month's end.
        nth: i8,
        /// The weekday.
        day: Day,
    },
    /// On the date of the start, every so many years.
    Yearly(u16),
}

/// A recurrence with its end. Without an end it would never leave the calendar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The last date that an occurrence may start on.
    pub until: Date,
    /// How often the freeze recurs.
    pub rhythm: Recurrence,
}

/// A time, possibly recurring, in which planned changes are held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// The unique id of the entry.
    pub id: String,
    /// Why, for readers of a hold.
    pub reason: String,
    /// Who requested it.
    pub asked_by: String,
    /// The first moment, in the civil time of `zone`.
    pub start: DateTime,
    /// The first moment after the end, in the civil time of `zone`.
    pub end: DateTime,
    /// The time zone, by its IANA name.
    pub zone: String,
    /// Dates on which no occurrence starts.
    #[serde(default)]
    pub exceptions: Vec<Date>,
    /// What it covers.
    pub scope: Scope,
    /// How it recurs, if it does.
    pub repeat: Option<Repeat>,
}

/// A named person's permission for changes that freezes hold, from its commit until its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// The unique id of the entry.
    pub id: String,
    /// Who is responsible for it.
    pub person: String,
    /// Why.
    pub reason: String,
    /// The first moment after the end, in the civil time of `zone`.
    pub end: DateTime,
    /// The time zone, by its IANA name.
    pub zone: String,
    /// What it covers.
    pub scope: Scope,
}

/// An entry of the calendar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Holds changes.
    Freeze(Freeze),
    /// Allows changes that freezes hold.
    Override(Override),
}

impl Entry {
    /// The id of the entry.
    pub fn id(&self) -> &str {
        match self {
            Self::Freeze(it) => &it.id,
            Self::Override(it) => &it.id,
        }
    }
    /// Why the entry was made.
    pub fn reason(&self) -> &str {
        match self {
            Self::Freeze(it) => &it.reason,
            Self::Override(it) => &it.reason,
        }
    }
    /// What the entry covers.
    pub fn scope(&self) -> &Scope {
        match self {
            Self::Freeze(it) => &it.scope,
            Self::Override(it) => &it.scope,
        }
    }
}

/// Ends an entry before its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// The entry's id.
    pub id: String,
    /// Who requested it.
    pub asked_by: String,
    /// Why.
    pub reason: String,
}

/// A proposal for the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proposal {
    /// Adds an entry.
    Add(Entry),
    /// Revokes an entry.
    Revoke(Revoke),
}
