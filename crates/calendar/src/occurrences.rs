//! When an entry is in force: civil times and recurrences as spans of fleet time.

use crate::Millis;
use crate::entry::{Freeze, Override, Recurrence, Repeat};
use crate::valid::MAX_PER_ENTRY;
use jiff::ToSpan;
use jiff::civil::{Date, ISOWeekDate, Weekday};
use jiff::tz::{TimeZone, TimeZoneDatabase};
use std::sync::LazyLock;

/// Dates that a rule is followed for: one whose days nearly all fall out must not be followed to the year 9999.
const MAX_STEPS: usize = 8 * MAX_PER_ENTRY;

/// One database for the process, and none of the machine's.
static ZONES: LazyLock<TimeZoneDatabase> = LazyLock::new(TimeZoneDatabase::bundled);

pub(crate) fn zone(name: &str) -> Option<TimeZone> {
    ZONES.get(name).ok()
}

/// From the first moment to the first one behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Interval {
    pub(crate) start: Millis,
    pub(crate) end: Millis,
}

fn millis(at: Result<jiff::Timestamp, jiff::Error>) -> Option<Millis> {
    Millis::try_from(at.ok()?.as_millisecond()).ok()
}

fn weekly(start: Date, every: u16, days: Vec<Weekday>) -> impl Iterator<Item = Date> {
    let monday = |date: Date| {
        let week = date.iso_week_date();
        ISOWeekDate::new(week.year(), week.week(), Weekday::Monday).map(ISOWeekDate::date)
    };
    let mut offsets: Vec<i8> = days.into_iter().map(Weekday::to_monday_zero_offset).collect();
    offsets.sort_unstable();
    offsets.dedup();
    let mondays = monday(start).ok().into_iter().flat_map(move |it| it.series(i64::from(every).weeks()));
    mondays.flat_map(move |it| {
        offsets.clone().into_iter().filter_map(move |days| it.checked_add(days.days()).ok())
    })
}

fn dates(start: Date, repeat: &Repeat) -> Box<dyn Iterator<Item = Date>> {
    match &repeat.rhythm {
        Recurrence::Daily(every) => Box::new(start.series(i64::from(*every).days())),
        Recurrence::Monthly(every) => Box::new(start.series(i64::from(*every).months())),
        Recurrence::Yearly(every) => Box::new(start.series(i64::from(*every).years())),
        Recurrence::Weekly { every, days } if days.is_empty() => {
            Box::new(start.series(i64::from(*every).weeks()))
        }
        Recurrence::Weekly { every, days } => {
            Box::new(weekly(start, *every, days.iter().map(|it| Weekday::from(*it)).collect()))
        }
        Recurrence::MonthlyByDay { every, nth, day } => {
            let (nth, day) = (*nth, Weekday::from(*day));
            let months = start.first_of_month().series(i64::from(*every).months());
            Box::new(months.take(MAX_STEPS).filter_map(move |it| it.nth_weekday_of_month(nth, day).ok()))
        }
    }
}

/// The dates that occurrences start on: at most one more than are allowed.
fn starts(it: &Freeze) -> Vec<Date> {
    let first = it.start.date();
    let all: Box<dyn Iterator<Item = Date>> = match &it.repeat {
        None => Box::new(std::iter::once(first)),
        Some(repeat) => {
            let until = repeat.until;
            Box::new(dates(first, repeat).take_while(move |date| *date <= until))
        }
    };
    let wanted = all.take(MAX_STEPS).filter(|date| *date >= first && !it.exceptions.contains(date));
    wanted.take(MAX_PER_ENTRY + 1).collect()
}

/// All occurrences in the order of their starts. A civil time that comes twice, or never, is read so that the freeze is the
/// longer: an hour too much holds a change up, an hour too little lets it through.
pub(crate) fn of_freeze(it: &Freeze) -> Vec<Interval> {
    let (Some(zone), Ok(length)) = (zone(&it.zone), it.start.until(it.end)) else { return Vec::new() };
    let one = |date: Date| {
        let start = date.to_datetime(it.start.time());
        let end = start.checked_add(length).ok()?;
        let start = millis(zone.to_ambiguous_timestamp(start).earlier())?;
        let end = millis(zone.to_ambiguous_timestamp(end).later())?;
        (start < end).then_some(Interval { start, end })
    };
    starts(it).into_iter().filter_map(one).collect()
}

/// The first moment behind an override; of two, the sooner.
pub(crate) fn end_of_override(it: &Override) -> Option<Millis> {
    millis(zone(&it.zone)?.to_ambiguous_timestamp(it.end).earlier())
}
