//! Helpers that build freezes, calendars and instants.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "shared by several test binaries, each of which uses only some of the helpers"
)]

use calendar::{
    Applied, Calendar, Change, ChangeKind, Entry, Freeze, LeaseState, Millis, Override, Proposal, Scope,
    ScopeTarget, TimeInterval, Verdict,
};
use jiff::tz::TimeZoneDatabase;

pub const ACTIVATION_DELAY: Millis = 10_000;

/// Returns a civil time in a time zone as fleet time.
pub fn fleet_time(civil: &str, zone: &str) -> Millis {
    let zone = TimeZoneDatabase::bundled().get(zone).unwrap();
    let civil: jiff::civil::DateTime = civil.parse().unwrap();
    zone.to_ambiguous_timestamp(civil).compatible().unwrap().as_millisecond().try_into().unwrap()
}
/// Parses an instant as fleet time.
pub fn utc(instant: &str) -> Millis {
    instant.parse::<jiff::Timestamp>().unwrap().as_millisecond().try_into().unwrap()
}
/// Returns the scope that covers all planned changes of the whole fleet.
pub fn fleet_scope() -> Scope {
    Scope { kinds: vec![], place: ScopeTarget::Fleet }
}
/// Returns a freeze of the whole fleet that does not recur.
pub fn freeze(id: &str, start: &str, end: &str, zone: &str) -> Freeze {
    Freeze {
        id: id.into(),
        reason: format!("because of {id}"),
        asked_by: "Ana Ruiz".into(),
        start: start.parse().unwrap(),
        end: end.parse().unwrap(),
        zone: zone.into(),
        exceptions: vec![],
        scope: fleet_scope(),
        repeat: None,
    }
}
/// Returns a proposal to add an override that ends at a civil time in UTC.
pub fn override_proposal(id: &str, end: &str, scope: Scope) -> Proposal {
    Proposal::Add(Entry::Override(Override {
        id: id.into(),
        person: "Ana Ruiz".into(),
        reason: "a rack is moved".into(),
        end: end.parse().unwrap(),
        zone: "UTC".into(),
        scope,
    }))
}
/// Returns a proposal to add a freeze.
pub fn add(freeze: &Freeze) -> Proposal {
    Proposal::Add(Entry::Freeze(freeze.clone()))
}
/// Returns a calendar with these freezes, committed long before they start.
pub fn calendar(freezes: &[Freeze]) -> Calendar {
    let mut calendar = Calendar::new(ACTIVATION_DELAY);
    for (n, it) in freezes.iter().enumerate() {
        assert_eq!(calendar.apply(n as u64 + 1, 1_000, &add(it)), Applied::Added);
    }
    calendar
}
/// Returns bounds on fleet time that admit only `at`.
pub fn exact_time(at: Millis) -> Option<TimeInterval> {
    Some(TimeInterval { earliest: at, latest: at })
}
/// Returns whether the calendar holds the change at a fleet time.
pub fn held(calendar: &Calendar, at: Millis, change: &Change<'_>) -> bool {
    matches!(calendar.check(exact_time(at), LeaseState::Held, change), Verdict::Hold { .. })
}
/// Returns whether the calendar holds a change of the whole fleet at a fleet time.
pub fn frozen(calendar: &Calendar, at: Millis) -> bool {
    held(calendar, at, &Change::of_fleet(ChangeKind::Configuration))
}
