//! What is proposed and agreed: freezes, overrides of them, and their revocation.

use crate::ChangeKind;
use jiff::civil::{Date, DateTime, Weekday};
use serde::{Deserialize, Serialize};

/// Where an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScopeTarget {
    /// Everywhere, and all that names no host.
    Fleet,
    /// In these zones.
    Zones(Vec<String>),
    /// At these hosts or balancers.
    Group {
        /// What staff call them.
        name: String,
        /// Their lasting names.
        hosts: Vec<String>,
    },
}

/// What an entry covers: where, and which kinds of change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// The kinds of change; all that can be held when empty.
    #[serde(default)]
    pub kinds: Vec<ChangeKind>,
    /// Where.
    pub place: ScopeTarget,
}

/// A day of the week.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Day {
    Monday,
    Tuesday,
    Wednesday,
    Thursday,
    Friday,
    Saturday,
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

/// How often a freeze comes again.
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
    /// On the start's day of every so many months; in a shorter month on its last day.
    Monthly(u16),
    /// On the nth such weekday of every so many months; months without one are left out.
    MonthlyByDay {
        /// 1 for every month.
        every: u16,
        /// 1 to 5, or -1 to -5 from the month's end.
        nth: i8,
        /// The weekday.
        day: Day,
    },
    /// On the start's date of every so many years.
    Yearly(u16),
}

/// A recurrence with its end: one without would never leave the calendar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The last date that an occurrence may start on.
    pub until: Date,
    /// How often.
    pub rhythm: Recurrence,
}

/// A span of time, once or again, in which planned changes are held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    /// Its name, unlike that of every other entry.
    pub id: String,
    /// Why, for whoever reads that a change waits.
    pub reason: String,
    /// Who asked for it.
    pub asked_by: String,
    /// The first moment, by the clocks of `zone`.
    pub start: DateTime,
    /// The first moment behind it, by the clocks of `zone`.
    pub end: DateTime,
    /// The time zone, by its IANA name.
    pub zone: String,
    /// Dates on which no occurrence starts.
    #[serde(default)]
    pub exceptions: Vec<Date>,
    /// What it covers.
    pub scope: Scope,
    /// How it comes again.
    pub repeat: Option<Repeat>,
}

/// A named person's leave to change what freezes hold, from when it is agreed until its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Its name, unlike that of every other entry.
    pub id: String,
    /// Who answers for it.
    pub person: String,
    /// Why.
    pub reason: String,
    /// The first moment behind it, by the clocks of `zone`.
    pub end: DateTime,
    /// The time zone, by its IANA name.
    pub zone: String,
    /// What it covers.
    pub scope: Scope,
}

/// What the calendar consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Holds changes.
    Freeze(Freeze),
    /// Lets them pass.
    Override(Override),
}

impl Entry {
    /// Its name.
    pub fn id(&self) -> &str {
        match self {
            Self::Freeze(it) => &it.id,
            Self::Override(it) => &it.id,
        }
    }
    /// Why it is there.
    pub fn reason(&self) -> &str {
        match self {
            Self::Freeze(it) => &it.reason,
            Self::Override(it) => &it.reason,
        }
    }
    /// What it covers.
    pub fn scope(&self) -> &Scope {
        match self {
            Self::Freeze(it) => &it.scope,
            Self::Override(it) => &it.scope,
        }
    }
}

/// The end of an entry before its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// The entry's name.
    pub id: String,
    /// Who asked for it.
    pub asked_by: String,
    /// Why.
    pub reason: String,
}

/// What is put into the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proposal {
    /// A new entry.
    Add(Entry),
    /// The end of one.
    Revoke(Revoke),
}
