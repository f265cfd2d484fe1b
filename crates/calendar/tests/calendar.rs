//! When committed entries are in force, and which changes they hold.

mod support;

use calendar::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use support::*;

const MEXICO: &str = "America/Mexico_City";
const TIJUANA: &str = "America/Tijuana";
const MADRID: &str = "Europe/Madrid";

fn repeat(until: &str, rhythm: Recurrence) -> Option<Repeat> {
    Some(Repeat { until: until.parse().unwrap(), rhythm })
}

/// Returns a freeze from the 24th to the end of each month, before the monthly permit deadline. December is excepted.
fn deadline_weeks() -> Freeze {
    Freeze {
        repeat: repeat("2026-12-31", Recurrence::Monthly(1)),
        exceptions: vec!["2026-12-24".parse().unwrap()],
        ..freeze("deadline-weeks", "2026-01-24T00:00", "2026-02-01T00:00", MEXICO)
    }
}

#[test]
fn monthly_freeze_recurs_except_on_its_exceptions() {
    let calendar = calendar(&[deadline_weeks()]);
    for (civil, expected) in [
        ("2026-01-23T23:59:59", false),
        ("2026-01-24T00:00", true),
        ("2026-06-30T12:00", true),
        ("2026-07-02T12:00", false),
        ("2026-11-24T00:00", true),
        ("2026-12-27T00:00", false),
        ("2027-01-25T00:00", false),
    ] {
        assert_eq!(frozen(&calendar, fleet_time(civil, MEXICO)), expected, "{civil}");
    }
    let hold = calendar.check(
        exact_time(utc("2026-01-25T06:00Z")),
        LeaseState::Held,
        &Change::of_fleet(ChangeKind::Growth),
    );
    let Verdict::Hold { reason: HoldReason::Freeze { id, reason }, until } = hold else { panic!("{hold:?}") };
    assert_eq!((&*id, &*reason), ("deadline-weeks", "because of deadline-weeks"));
    assert_eq!(until, Some(fleet_time("2026-02-01T00:00", MEXICO)));
}

#[test]
fn freeze_across_a_clock_change_keeps_its_civil_times() {
    for (zone, start, end, hours) in [
        (MADRID, "2026-03-28T22:00", "2026-03-29T06:00", 7),
        (MADRID, "2026-10-24T22:00", "2026-10-25T06:00", 9),
        (TIJUANA, "2026-03-07T22:00", "2026-03-08T06:00", 7),
        (MEXICO, "2022-04-02T22:00", "2022-04-03T06:00", 7),
        (MEXICO, "2026-04-04T22:00", "2026-04-05T06:00", 8),
    ] {
        let calendar = calendar(&[freeze("night", start, end, zone)]);
        let (from, to) = (fleet_time(start, zone), fleet_time(end, zone));
        assert_eq!(to - from, hours * 3_600_000, "{zone} {start}");
        assert!(!frozen(&calendar, from - 1) && frozen(&calendar, from));
        assert!(frozen(&calendar, to - 1) && !frozen(&calendar, to));
    }
}

#[test]
fn ambiguous_hour_is_frozen_both_times() {
    let calendar = calendar(&[freeze("hour", "2026-10-25T02:00", "2026-10-25T02:30", MADRID)]);
    assert!(frozen(&calendar, utc("2026-10-25T00:10Z")) && frozen(&calendar, utc("2026-10-25T01:29Z")));
    assert!(!frozen(&calendar, utc("2026-10-25T01:30Z")));
}

#[test]
fn recurrence_across_clock_change_keeps_civil_start_time() {
    let nights = Freeze {
        repeat: repeat("2026-04-05", Recurrence::Weekly { every: 1, days: vec![Day::Saturday, Day::Sunday] }),
        ..freeze("nights", "2026-03-21T20:00", "2026-03-21T21:00", MADRID)
    };
    let calendar = calendar(&[nights]);
    for (instant, expected) in [
        ("2026-03-28T19:30Z", true),
        ("2026-03-29T18:30Z", true),
        ("2026-03-29T19:30Z", false),
        ("2026-03-30T18:30Z", false),
        ("2026-04-05T18:30Z", true),
        ("2026-04-11T18:30Z", false),
    ] {
        assert_eq!(frozen(&calendar, utc(instant)), expected, "{instant}");
    }
}

#[test]
fn invalid_proposal_is_refused_with_its_field() {
    let valid = || freeze("it", "2026-01-24T00:00", "2026-02-01T00:00", MEXICO);
    let only_date = vec!["2026-01-24".parse().unwrap()];
    let daily = repeat("2036-01-01", Recurrence::Daily(1));
    let bad_nth = repeat("2027-01-01", Recurrence::MonthlyByDay { every: 1, nth: 6, day: Day::Monday });
    let kinds = Scope { kinds: vec![ChangeKind::Drain], place: ScopeTarget::Fleet };
    for (freeze, message) in [
        (Freeze { end: "2026-01-24T00:00".parse().unwrap(), ..valid() }, "`end` is not behind the start"),
        (Freeze { end: "2028-01-24T00:00".parse().unwrap(), ..valid() }, "`end` is out of its range"),
        (Freeze { zone: "Mars/Base".into(), ..valid() }, "`zone` names no time zone that is known"),
        (Freeze { exceptions: only_date, ..valid() }, "`exceptions` leaves no occurrence"),
        (
            Freeze { repeat: repeat("2025-01-01", Recurrence::Daily(1)), ..valid() },
            "`repeat` leaves no occurrence",
        ),
        (Freeze { repeat: daily, ..valid() }, "`repeat` makes too many occurrences"),
        (
            Freeze { repeat: repeat("2027-01-01", Recurrence::Daily(0)), ..valid() },
            "`repeat.rhythm` is out of its range",
        ),
        (Freeze { repeat: bad_nth, ..valid() }, "`repeat.rhythm.nth` is out of its range"),
        (Freeze { reason: "x".repeat(MAX_TEXT_BYTES + 1), ..valid() }, "`reason` is too long"),
        (Freeze { asked_by: " ".into(), ..valid() }, "`asked_by` is empty"),
        (Freeze { scope: kinds, ..valid() }, "`scope.kinds` names a kind of change that is never held"),
    ] {
        assert_eq!(add(&freeze).validate().unwrap_err().to_string(), message);
        assert_eq!(calendar(&[]).validate_proposal(1_000, &add(&freeze)).unwrap_err().to_string(), message);
    }
    assert_eq!(add(&valid()).validate(), Ok(()));
}

#[test]
fn freeze_starts_after_activation_delay_and_is_revoked_at_once() {
    let (start, mut calendar) = (utc("2026-01-24T12:00Z"), Calendar::new(ACTIVATION_DELAY));
    let it = freeze("now", "2026-01-24T00:00", "2026-01-25T00:00", "UTC");
    assert_eq!(calendar.apply(7, start, &add(&it)), Applied::Added);
    assert_eq!(calendar.phase("now", start + ACTIVATION_DELAY - 1), Some(EntryPhase::Committed));
    assert!(!frozen(&calendar, start + ACTIVATION_DELAY - 1));
    assert_eq!(calendar.phase("now", start + ACTIVATION_DELAY), Some(EntryPhase::InForce));
    assert!(frozen(&calendar, start + ACTIVATION_DELAY));
    assert_eq!(calendar.phase("now", utc("2026-01-25T00:00Z")), Some(EntryPhase::Ended));
    assert_eq!(calendar.apply(7, start, &add(&it)), Applied::AlreadyApplied);
    let duplicate = ProposalError::Duplicate("now".into());
    assert_eq!(calendar.apply(8, start, &add(&it)), Applied::Refused(duplicate));
    let revoke =
        |id: &str| Proposal::Revoke(Revoke { id: id.into(), asked_by: "Ana".into(), reason: "over".into() });
    let unknown = ProposalError::UnknownEntry("none".into());
    assert_eq!(calendar.apply(9, start, &revoke("none")), Applied::Refused(unknown));
    assert_eq!(calendar.apply(10, start + 60_000, &revoke("now")), Applied::Revoked);
    assert!(!frozen(&calendar, start + 60_000));
    assert_eq!(calendar.phase("now", start + 60_000), Some(EntryPhase::Revoked));
    assert_eq!((calendar.revision(), calendar.committed_at("now")), (10, Some((start, 7))));
    assert!(matches!(
        calendar.apply(11, start + 60_001, &revoke("now")),
        Applied::Refused(ProposalError::UnknownEntry(_))
    ));
    assert!(matches!(
        calendar.apply(12, utc("2027-01-01T00:00Z"), &add(&it)),
        Applied::Refused(ProposalError::EndsBeforeInForce(_))
    ));
    assert_eq!(calendar.entries().count(), 0, "the entry is dropped after its retention time");
}

#[test]
fn entries_and_occurrences_are_bounded() {
    let mut calendar = Calendar::new(ACTIVATION_DELAY);
    let numbered_freeze = |n: usize| freeze(&n.to_string(), "2026-01-24T00:00", "2026-02-01T00:00", "UTC");
    for n in 0..MAX_ENTRIES {
        assert_eq!(calendar.apply(n as u64 + 1, 1_000, &add(&numbered_freeze(n))), Applied::Added);
    }
    let applied = calendar.apply(20_000, 1_000, &add(&numbered_freeze(MAX_ENTRIES)));
    assert_eq!(applied, Applied::Refused(ProposalError::TooManyEntries));
    let zones = (0..MAX_NAMES_PER_ENTRY).map(|n| format!("z{n}")).collect();
    let scope = Scope { kinds: vec![], place: ScopeTarget::Zones(zones) };
    let daily_in_many_zones =
        Freeze { repeat: repeat("2027-12-31", Recurrence::Daily(1)), scope, ..numbered_freeze(0) };
    assert_eq!(
        support::calendar(&[]).validate_proposal(1_000, &add(&daily_in_many_zones)),
        Err(ProposalError::TooManyOccurrences)
    );
}

#[test]
fn unplanned_changes_pass_and_planned_ones_need_a_lease() {
    let calendar = calendar(&[freeze("it", "2026-01-24T00:00", "2026-02-01T00:00", "UTC")]);
    let (inside, outside) = (exact_time(utc("2026-01-25T00:00Z")), exact_time(utc("2026-03-01T00:00Z")));
    use ChangeKind::*;
    for kind in [Drain, Gone, Down, Restarted, Disabled, Enabled, WeightReduced] {
        let verdict = calendar.check(inside, LeaseState::Fenced, &Change::of_host(kind, "h", "z"));
        assert_eq!(verdict, Verdict::Allow { revision: 1, override_id: None });
    }
    for kind in ChangeKind::PLANNED {
        let check = |time, lease| calendar.check(time, lease, &Change::of_host(kind, "h", "z"));
        assert!(matches!(
            check(inside, LeaseState::Held),
            Verdict::Hold { reason: HoldReason::Freeze { .. }, .. }
        ));
        assert!(matches!(check(outside, LeaseState::Held), Verdict::Allow { .. }));
        let no_lease = Verdict::Hold { reason: HoldReason::NoLease, until: None };
        assert_eq!(check(outside, LeaseState::Fenced), no_lease);
        assert_eq!(check(outside, LeaseState::Orphaned), no_lease);
        assert_eq!(check(None, LeaseState::Held), no_lease);
        assert!(matches!(check(None, LeaseState::NoFleet), Verdict::Allow { .. }));
    }
}

#[test]
fn override_allows_fully_covered_changes_until_its_end() {
    let mut calendar = calendar(&[freeze("it", "2026-01-24T00:00", "2026-02-01T00:00", "UTC")]);
    let scope = Scope {
        kinds: vec![ChangeKind::Zone, ChangeKind::Join],
        place: ScopeTarget::Zones(vec!["a".into()]),
    };
    let committed = utc("2026-01-25T00:00Z");
    calendar.apply(5, committed, &override_proposal("rack", "2026-01-26T00:00", scope));
    let in_a = Change::of_host(ChangeKind::Join, "h", "a");
    let verdict = calendar.check(exact_time(committed), LeaseState::Held, &in_a);
    assert_eq!(verdict, Verdict::Allow { revision: 5, override_id: Some("rack".into()) });
    assert!(held(&calendar, committed, &Change::of_host(ChangeKind::WeightIncreased, "h", "a")));
    assert!(held(&calendar, committed, &Change::of_fleet(ChangeKind::Join)));
    let zone_change = Change { kind: ChangeKind::Zone, host: Some("h"), zones: [Some("a"), Some("b")] };
    assert!(held(&calendar, committed, &zone_change), "the override covers only one of the two zones");
    let end = utc("2026-01-26T00:00Z");
    assert!(!held(&calendar, end - 1, &in_a) && held(&calendar, end, &in_a));
    let span_across_end = Some(TimeInterval { earliest: end - 5, latest: end });
    assert!(matches!(calendar.check(span_across_end, LeaseState::Held, &in_a), Verdict::Hold { .. }));
}

#[test]
fn proposals_round_trip_through_toml_and_postcard() {
    let scope =
        Scope { kinds: vec![], place: ScopeTarget::Group { name: "old".into(), hosts: vec!["h1".into()] } };
    let plain = freeze("b", "2026-01-24T00:00", "2026-02-01T00:00", "UTC");
    let days = Recurrence::Weekly { every: 2, days: vec![Day::Friday] };
    let weekly = Freeze { repeat: repeat("2026-03-01", days), scope: scope.clone(), ..plain.clone() };
    for proposal in
        [add(&deadline_weeks()), add(&plain), add(&weekly), override_proposal("c", "2026-01-26T00:00", scope)]
    {
        let text = toml::to_string(&proposal).unwrap();
        assert_eq!(toml::from_str::<Proposal>(&text).unwrap(), proposal, "{text}");
        assert_eq!(
            postcard::from_bytes::<Proposal>(&postcard::to_stdvec(&proposal).unwrap()).unwrap(),
            proposal
        );
    }
}

#[test]
fn same_log_or_snapshot_yields_an_equal_calendar() {
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::with_cases(64)
    });
    let step = (0_u8..6, any::<bool>(), 0_u64..400);
    let apply_log = |log: &[(u8, bool, u64)]| {
        let mut calendar = Calendar::new(ACTIVATION_DELAY);
        let mut time = utc("2026-01-20T00:00Z");
        let outcomes = log.iter().enumerate().map(|(n, (id, is_add, hours))| {
            time += hours * 3_600_000;
            let id = id.to_string();
            let freeze = Freeze { id: id.clone(), ..deadline_weeks() };
            let revoke = Revoke { id, asked_by: "Ana".into(), reason: "over".into() };
            calendar.apply(n as u64 + 1, time, &if *is_add { add(&freeze) } else { Proposal::Revoke(revoke) })
        });
        let outcomes: Vec<_> = outcomes.collect();
        (calendar, outcomes)
    };
    let yields_equal_calendars = |log: Vec<(u8, bool, u64)>| {
        let ((one, outcomes_of_one), (other, outcomes_of_other)) = (apply_log(&log), apply_log(&log));
        prop_assert_eq!(&one, &other);
        prop_assert_eq!(outcomes_of_one, outcomes_of_other);
        let restored = Calendar::restore(&one.snapshot()).unwrap();
        prop_assert_eq!(&restored, &one);
        prop_assert_eq!(restored.snapshot(), other.snapshot());
        Ok(())
    };
    runner.run(&proptest::collection::vec(step, 0..40), yields_equal_calendars).unwrap();
}

#[test]
fn restore_of_any_bytes_never_panics_or_accepts_invalid_entries() {
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    });
    let whole =
        calendar(&[deadline_weeks(), freeze("b", "2026-01-24T00:00", "2026-02-01T00:00", MADRID)]).snapshot();
    let changes = proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let noise = proptest::collection::vec(any::<u8>(), 0..200);
    let rejects_invalid_entries = |(changes, noise): (Vec<(prop::sample::Index, u8)>, Vec<u8>)| {
        let mut bytes = whole.clone();
        changes.iter().for_each(|(at, to)| bytes[at.index(whole.len())] = *to);
        for bytes in [bytes, noise] {
            if let Ok(calendar) = Calendar::restore(&bytes) {
                calendar.build_index();
                prop_assert!(calendar.entries().all(|it| Proposal::Add(it.clone()).validate().is_ok()));
            }
        }
        Ok(())
    };
    runner.run(&(changes, noise), rejects_invalid_entries).unwrap();
    assert_eq!(Calendar::restore(&whole[..whole.len() - 1]), Err(RestoreError::UnknownFormat));
}
