//! Conversion of the civil times and recurrences of entries to intervals of fleet time.

use crate::Millis;
use crate::entry::{Freeze, Override, Recurrence, Repeat};
use crate::limits::MAX_OCCURRENCES_PER_ENTRY;
use jiff::ToSpan;
use jiff::civil::{Date, ISOWeekDate, Weekday};
use jiff::tz::{TimeZone, TimeZoneDatabase};
use std::sync::LazyLock;

/// Maximum number of dates that a recurrence is expanded to, so that one with hardly any valid date doesn't run to the
/// year 9999.
const MAX_CANDIDATE_DATES: usize = 8 * MAX_OCCURRENCES_PER_ENTRY;

/// jiff's bundled time zone database. The databases of different machines may differ.
static TIME_ZONES: LazyLock<TimeZoneDatabase> = LazyLock::new(TimeZoneDatabase::bundled);

/// Returns the time zone with an IANA name.
pub(crate) fn time_zone(name: &str) -> Option<TimeZone> {
    TIME_ZONES.get(name).ok()
}

/// A half-open interval of fleet time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Interval {
    pub(crate) start: Millis,
    pub(crate) end: Millis,
}

fn to_millis(at: Result<jiff::Timestamp, jiff::Error>) -> Option<Millis> {
    Millis::try_from(at.ok()?.as_millisecond()).ok()
}

/// Returns the dates of the given weekdays in every `every`th ISO week, beginning with the week of `start`.
fn weekly_dates(start: Date, every: u16, days: Vec<Weekday>) -> impl Iterator<Item = Date> {
    let monday = |date: Date| {
        let week = date.iso_week_date();
        ISOWeekDate::new(week.year(), week.week(), Weekday::Monday).map(ISOWeekDate::date)
    };
    let mut day_offsets: Vec<i8> = days.into_iter().map(Weekday::to_monday_zero_offset).collect();
    day_offsets.sort_unstable();
    day_offsets.dedup();
    let mondays = monday(start).ok().into_iter().flat_map(move |it| it.series(i64::from(every).weeks()));
    mondays.flat_map(move |it| {
        day_offsets.clone().into_iter().filter_map(move |offset| it.checked_add(offset.days()).ok())
    })
}

/// Returns the dates of a recurrence that begins at `start`.
fn recurrence_dates(start: Date, repeat: &Repeat) -> Box<dyn Iterator<Item = Date>> {
    match &repeat.rhythm {
        Recurrence::Daily(every) => Box::new(start.series(i64::from(*every).days())),
        Recurrence::Monthly(every) => Box::new(start.series(i64::from(*every).months())),
        Recurrence::Yearly(every) => Box::new(start.series(i64::from(*every).years())),
        Recurrence::Weekly { every, days } if days.is_empty() => {
            Box::new(start.series(i64::from(*every).weeks()))
        }
        Recurrence::Weekly { every, days } => {
            Box::new(weekly_dates(start, *every, days.iter().map(|it| Weekday::from(*it)).collect()))
        }
        Recurrence::MonthlyByDay { every, nth, day } => {
            let (nth, day) = (*nth, Weekday::from(*day));
            let months = start.first_of_month().series(i64::from(*every).months());
            Box::new(
                months.take(MAX_CANDIDATE_DATES).filter_map(move |it| it.nth_weekday_of_month(nth, day).ok()),
            )
        }
    }
}

/// Returns the dates on which occurrences start. It stops at one more than [`MAX_OCCURRENCES_PER_ENTRY`], so that
/// validation can detect the excess.
fn start_dates(freeze: &Freeze) -> Vec<Date> {
    let first = freeze.start.date();
    let candidates: Box<dyn Iterator<Item = Date>> = match &freeze.repeat {
        None => Box::new(std::iter::once(first)),
        Some(repeat) => {
            let until = repeat.until;
            Box::new(recurrence_dates(first, repeat).take_while(move |date| *date <= until))
        }
    };
    let valid = candidates
        .take(MAX_CANDIDATE_DATES)
        .filter(|date| *date >= first && !freeze.exceptions.contains(date));
    valid.take(MAX_OCCURRENCES_PER_ENTRY + 1).collect()
}

/// Returns all occurrences of a freeze, ordered by start. An ambiguous or skipped civil time is resolved so that the
/// freeze is longer: an extra hour only delays a change, but a missing hour would let one through.
pub(crate) fn freeze_occurrences(freeze: &Freeze) -> Vec<Interval> {
    let Some(zone) = time_zone(&freeze.zone) else { return Vec::new() };
    let Ok(duration) = freeze.start.until(freeze.end) else { return Vec::new() };
    let occurrence_on = |date: Date| {
        let start = date.to_datetime(freeze.start.time());
        let end = start.checked_add(duration).ok()?;
        let start = to_millis(zone.to_ambiguous_timestamp(start).earlier())?;
        let end = to_millis(zone.to_ambiguous_timestamp(end).later())?;
        (start < end).then_some(Interval { start, end })
    };
    start_dates(freeze).into_iter().filter_map(occurrence_on).collect()
}

/// Returns the end of an override. An ambiguous civil time is resolved to the earlier time.
pub(crate) fn override_end(entry: &Override) -> Option<Millis> {
    to_millis(time_zone(&entry.zone)?.to_ambiguous_timestamp(entry.end).earlier())
}
