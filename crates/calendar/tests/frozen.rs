//! Compares the calendar with a reference implementation that checks each day.

mod support;

use calendar::*;
use jiff::civil::{Date, DateTime, Weekday, date};
use jiff::tz::TimeZoneDatabase;
use jiff::{SignedDuration, ToSpan};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use support::*;

const ZONES: [&str; 4] = ["America/Mexico_City", "America/Tijuana", "Europe/Madrid", "UTC"];
const DAYS: [Day; 3] = [Day::Sunday, Day::Tuesday, Day::Saturday];

fn days_between(from: Date, to: Date) -> i64 {
    from.until(to).unwrap().get_days().into()
}

fn monday_of_week(date: Date) -> Date {
    date.checked_sub(i64::from(date.weekday().to_monday_zero_offset()).days()).unwrap()
}

/// Returns whether an occurrence starts on the day.
fn starts_on(freeze: &Freeze, day: Date) -> bool {
    let first = freeze.start.date();
    let Some(repeat) = &freeze.repeat else { return day == first };
    let months = i64::from(day.year() - first.year()) * 12 + i64::from(day.month() - first.month());
    let nth_month = |every: u16| months % i64::from(every) == 0;
    let same_day = day.day() == first.day().min(day.days_in_month());
    let by_rule = match &repeat.rhythm {
        Recurrence::Daily(every) => days_between(first, day) % i64::from(*every) == 0,
        Recurrence::Weekly { every, days } => {
            let listed = days.iter().any(|it| Weekday::from(*it) == day.weekday());
            let on_weekday = if days.is_empty() { day.weekday() == first.weekday() } else { listed };
            on_weekday
                && days_between(monday_of_week(first), monday_of_week(day)) / 7 % i64::from(*every) == 0
        }
        Recurrence::Monthly(every) => nth_month(*every) && same_day,
        Recurrence::Yearly(every) => nth_month(12 * *every) && same_day,
        Recurrence::MonthlyByDay { every, nth, day: weekday } => {
            let position = match nth {
                1.. => (day.day() - 1) / 7 + 1,
                _ => -((day.days_in_month() - day.day()) / 7 + 1),
            };
            nth_month(*every) && day.weekday() == Weekday::from(*weekday) && position == *nth
        }
    };
    by_rule && day >= first && day <= repeat.until && !freeze.exceptions.contains(&day)
}

/// Returns whether the instant is covered by an occurrence that starts at most 40 days before it or one day after.
fn reference_frozen(freeze: &Freeze, at: Millis) -> bool {
    let zone = TimeZoneDatabase::bundled().get(&freeze.zone).unwrap();
    let instant = jiff::Timestamp::from_millisecond(at.cast_signed()).unwrap();
    let duration = freeze.start.until(freeze.end).unwrap();
    let today = zone.to_datetime(instant).date();
    (-1..=40_i64)
        .filter_map(|ago| today.checked_sub(ago.days()).ok())
        .filter(|day| starts_on(freeze, *day))
        .any(|day| {
            let start: DateTime = day.to_datetime(freeze.start.time());
            let end = start.checked_add(duration).unwrap();
            let first = zone.to_ambiguous_timestamp(start).earlier().unwrap();
            first <= instant && instant < zone.to_ambiguous_timestamp(end).later().unwrap()
        })
}

fn any_recurrence() -> impl Strategy<Value = Recurrence> {
    let nth = prop_oneof![-5_i8..=-1, 1_i8..=5];
    prop_oneof![
        (1_u16..40).prop_map(Recurrence::Daily),
        (1_u16..4, 0_usize..4).prop_map(|(every, day_count)| Recurrence::Weekly {
            every,
            days: DAYS[..day_count.min(3)].to_vec()
        }),
        (1_u16..4).prop_map(Recurrence::Monthly),
        (1_u16..4, nth, 0_usize..3).prop_map(|(every, nth, day)| Recurrence::MonthlyByDay {
            every,
            nth,
            day: DAYS[day]
        }),
        (1_u16..3).prop_map(Recurrence::Yearly),
    ]
}

prop_compose! {
    fn any_freeze()(
        from in 0_i64..600, minute in 0_i64..1440, minutes in 1_i64..(30 * 1440), lasts in 0_i64..700,
        zone in 0_usize..4, rhythm in proptest::option::of(any_recurrence()),
        excepted in proptest::collection::vec(0_i64..400, 0..6),
    ) -> Freeze {
        let first = date(2021, 9, 1).checked_add(from.days()).unwrap();
        let start = first.at(0, 0, 0, 0).checked_add(SignedDuration::from_mins(minute)).unwrap();
        let until = first.checked_add(lasts.days()).unwrap();
        let exceptions = excepted.iter().map(|it| first.checked_add(it.days()).unwrap()).collect();
        let end = start.checked_add(SignedDuration::from_mins(minutes)).unwrap();
        Freeze {
            start, end, exceptions, repeat: rhythm.map(|rhythm| Repeat { until, rhythm }),
            ..freeze("it", "2026-01-24T00:00", "2026-02-01T00:00", ZONES[zone])
        }
    }
}

#[test]
fn frozen_instants_match_a_reference_that_checks_each_day() {
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    });
    let instants = proptest::collection::vec(0_u64..(1300 * 24 * 60), 60);
    let freezes_and_instants = (proptest::collection::vec(any_freeze(), 1..5), instants);
    let (checked_instants, frozen_instants) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    let matches_reference = |(freezes, instants): (Vec<Freeze>, Vec<u64>)| {
        let mut calendar = Calendar::new(ACTIVATION_DELAY);
        let mut accepted = Vec::new();
        for (n, it) in freezes.into_iter().enumerate() {
            let it = Freeze { id: n.to_string(), ..it };
            if calendar.apply(n as u64 + 1, 1_000, &add(&it)) == Applied::Added {
                accepted.push(it);
            }
        }
        for minutes in instants {
            let at = utc("2021-08-31T00:00Z") + minutes * 60_000;
            let expected = accepted.iter().any(|it| reference_frozen(it, at));
            checked_instants.set(checked_instants.get() + 1);
            frozen_instants.set(frozen_instants.get() + u32::from(expected));
            prop_assert_eq!(frozen(&calendar, at), expected, "at {}", at);
        }
        Ok(())
    };
    runner.run(&freezes_and_instants, matches_reference).unwrap();
    assert!(
        frozen_instants.get() * 20 > checked_instants.get(),
        "only {} of {} checked instants were frozen",
        frozen_instants.get(),
        checked_instants.get()
    );
}
