//! The ledger under lost, duplicate and reordered reports.

use audit::Micros;
use audit::activity_counter::{ActivityCounter, COUNT_KINDS, CountKind, MAX_VERSIONS};
use audit::lease::TimeInterval;
use audit::ledger::{
    ActivityPeriod, ActivityReport, Ledger, LedgerEntry, MAX_PERIODS_PER_BALANCER, MAX_PERIODS_PER_REPORT,
    MAX_REPORT_BYTES, ReportStatus,
};
use audit::version::Version;

const SECOND: Micros = 1_000_000;

fn at(second: u64) -> TimeInterval {
    TimeInterval { earliest: second * SECOND, latest: second * SECOND + 5_000 }
}

fn calendar(revision: u64) -> Version {
    Version { program: 1, calendar: revision, ..Version::default() }
}

fn reads(ledger: &Ledger, version: u64) -> Vec<(u16, u64)> {
    let activities = ledger.activity_under(&calendar(version), 0, u64::MAX);
    activities.iter().map(|it| (it.number, it.counts[CountKind::ReadOk as usize])).collect()
}

/// Counts `reads` reads in each of `seconds`, and returns the report made at the end of each.
fn reports(counter: &mut ActivityCounter, seconds: std::ops::Range<u64>, reads: u64) -> Vec<ActivityReport> {
    seconds
        .map(|second| {
            (0..reads).for_each(|_| counter.count(CountKind::ReadOk));
            counter.report(at(second))
        })
        .collect()
}

#[test]
fn lost_duplicate_and_reordered_reports_are_counted_once() {
    let mut counter = ActivityCounter::new(2, 9, calendar(1), at(0));
    let sent = reports(&mut counter, 1..7, 10);
    let mut ledger = Ledger::new(300);
    let statuses: Vec<_> = [0, 0, 3, 1, 1, 3].iter().map(|it| ledger.record_report(&sent[*it])).collect();
    use ReportStatus::{Duplicate, Late, Newest};
    assert_eq!(statuses, [Newest, Duplicate, Newest, Late, Duplicate, Duplicate]);
    assert_eq!(reads(&ledger, 1), [(2, 40)], "the newest count is kept when an older one arrives after it");
    assert_eq!((ledger.current_activity()[0].missing, ledger.current_activity()[0].repeated), (1, 3));
    ledger.record_report(&sent[5]);
    assert_eq!(reads(&ledger, 1), [(2, 60)], "a later report replaces lost ones");
    let far_ahead = ActivityReport { sequence: 1_000, ..sent[5].clone() };
    assert_eq!(
        (ledger.record_report(&far_ahead), ledger.record_report(&sent[4])),
        (Newest, Duplicate),
        "the report is too old to be distinguished from a duplicate"
    );
    assert_eq!(
        ledger.record_report(&ActivityReport { number: 300, ..far_ahead.clone() }),
        ReportStatus::Refused
    );
    assert_eq!(
        ledger.record_report(&ActivityReport {
            sequence: 2_000,
            periods: vec![far_ahead.periods[0]; MAX_PERIODS_PER_REPORT + 1],
            ..far_ahead
        }),
        ReportStatus::Refused
    );
}

#[test]
fn attempt_counts_under_first_version_and_ended_period_repeats() {
    let mut counter = ActivityCounter::new(0, 9, calendar(1), at(0));
    let at_start = counter.version();
    assert_eq!(counter.switch_version(calendar(2), at(5)), None);
    counter.switch_version(calendar(2), at(6));
    counter.count_under(at_start, CountKind::ReadOk);
    counter.count(CountKind::ReadOk);
    counter.count_under(counter.version(), CountKind::ReadOk);
    let lost_reports = [counter.report(at(7)), counter.report(at(8))];
    assert!(lost_reports.iter().all(|it| it.periods.len() == 2));
    let mut ledger = Ledger::new(1);
    ledger.record_report(&counter.report(at(9)));
    assert_eq!((reads(&ledger, 1), reads(&ledger, 2)), (vec![(0, 1)], vec![(0, 2)]));
    assert_eq!(counter.report(at(10)).periods.len(), 1, "the ended period was already reported three times");
    counter.count_under(at_start, CountKind::ReadOk);
    ledger.record_report(&counter.report(at(11)));
    assert_eq!(reads(&ledger, 1), [(0, 2)], "the ended period is reported again after its count changed");
    let ended = ledger.activity_under(&calendar(1), 0, u64::MAX)[0];
    assert_eq!((ended.from, ended.to), (at(0), at(5)));
    // Each version after the sixteenth evicts one, whose counts are returned.
    let evicted: Vec<_> =
        (3..30).filter_map(|it| counter.switch_version(calendar(it), at(10 + it))).collect();
    assert_eq!(evicted.len(), 29 - MAX_VERSIONS);
    assert_eq!((evicted[0].period.version, evicted[0].period.counts[0]), (calendar(1), 2));
    counter.count_under(at_start, CountKind::ReadOk);
    assert_eq!(counter.expired(), 1);
}

#[test]
fn killed_balancer_is_known_until_last_report_across_restart() {
    let mut ledger = Ledger::new(3);
    let mut first = ActivityCounter::new(1, 77, calendar(1), at(0));
    let sent = reports(&mut first, 1..5, 1);
    sent.iter().take(3).for_each(|it| assert_eq!(ledger.record_report(it), ReportStatus::Newest));
    assert_eq!(ledger.known_until(1).map(|it| (it.incarnation, it.until)), Some((77, 3 * SECOND)));
    assert_eq!(
        ledger.activity_under(&calendar(1), 3 * SECOND + 5_001, u64::MAX),
        [],
        "no activity is known after the last report"
    );
    assert!(!ledger.activity_under(&calendar(1), 3 * SECOND + 1, u64::MAX)[0].certain);
    assert!(ledger.activity_under(&calendar(1), 0, 3 * SECOND)[0].certain);
    assert_eq!((ledger.known_until(0), ledger.known_until(9)), (None, None));
    let mut next = ActivityCounter::new(1, 5, calendar(2), at(20));
    ledger.record_report(&next.report(at(21)));
    assert_eq!(
        ledger.record_report(&sent[3]),
        ReportStatus::Newest,
        "a late report of the first incarnation is recorded"
    );
    assert_eq!(ledger.known_until(1).map(|it| (it.incarnation, it.until)), Some((5, 21 * SECOND)));
    assert_eq!(ledger.current_activity()[0].version, calendar(2));
    assert_eq!(reads(&ledger, 1), [(1, 4)]);
}

#[test]
fn lagging_nodes_lag_by_revisions_or_time_or_are_silent() {
    let mut ledger = Ledger::new(5);
    for (number, version) in [(0, 9), (1, 9), (2, 8), (3, 5)] {
        let mut counter = ActivityCounter::new(number, 1, calendar(version), at(10));
        ledger.record_report(&counter.report(at(if number == 1 { 11 } else { 20 })));
    }
    let numbers = |now, revisions, time| -> Vec<u16> {
        ledger.lagging_nodes(now * SECOND, revisions, time * SECOND).iter().map(|it| it.number).collect()
    };
    assert_eq!(numbers(20, 3, 15), [3, 4], "3 lags by four revisions, 4 never reported");
    assert_eq!(numbers(20, 3, 9), [2, 3, 4], "others have had a newer calendar than 2 for ten seconds");
    assert_eq!(numbers(20, 4, 8), [1, 2, 3, 4], "1 has been silent for nine seconds");
    assert_eq!(ledger.lagging_nodes(20 * SECOND, 9, 15 * SECOND)[0].silent_for, None);
}

#[test]
fn digest_depends_on_changes_and_outcomes_but_not_on_order() {
    let digest = |changes: &[(&str, bool)]| {
        let mut counter = ActivityCounter::new(0, 1, calendar(1), at(0));
        changes
            .iter()
            .for_each(|(change, accepted)| counter.record_topology_change(change.as_bytes(), *accepted));
        let period = counter.report(at(1)).periods[0];
        (
            period.digest,
            period.counts[CountKind::ChangeAccepted as usize],
            period.counts[CountKind::ChangeRefused as usize],
        )
    };
    assert_eq!(
        digest(&[("join 5", true), ("weight 6", false)]),
        digest(&[("weight 6", false), ("join 5", true)])
    );
    assert_eq!(digest(&[("join 5", true), ("weight 6", false)]).1, 1);
    let original = digest(&[("join 5", true), ("weight 6", false)]).0;
    assert_ne!(original, digest(&[("join 5", false), ("weight 6", true)]).0);
    assert_ne!(original, digest(&[("join 5", true)]).0);
}

#[test]
fn largest_report_fits_and_malformed_reports_are_rejected() {
    let max = u64::MAX;
    let (interval, version) = (
        TimeInterval { earliest: max, latest: max },
        Version {
            program: max,
            configuration: max,
            list_source: max,
            list_revision: max,
            calendar: max,
            bookings: max,
            epoch: max,
        },
    );
    let period = ActivityPeriod {
        serial: max,
        version,
        from: interval,
        to: interval,
        counts: [max; COUNT_KINDS],
        digest: max,
    };
    let report = ActivityReport {
        number: u16::MAX,
        incarnation: max,
        sequence: max,
        at: interval,
        periods: vec![period; MAX_PERIODS_PER_REPORT],
    };
    let bytes = report.to_bytes();
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{} bytes", bytes.len());
    assert_eq!(ActivityReport::from_bytes(&bytes), Some(report.clone()));
    (0..bytes.len()).for_each(|cut| assert_eq!(ActivityReport::from_bytes(&bytes[..cut]), None));
    assert_eq!(
        ActivityReport::from_bytes(
            &ActivityReport { periods: vec![period; MAX_PERIODS_PER_REPORT + 1], ..report }.to_bytes()
        ),
        None
    );
    assert!(serde_json::to_string(&period).is_ok());
}

#[test]
fn periods_are_bounded_in_memory_and_restored_from_disk() {
    let mut ledger = Ledger::new(2);
    let mut counter = ActivityCounter::new(1, 4, calendar(0), at(0));
    let mut stored = std::collections::BTreeMap::new();
    for second in 1..=100 {
        counter.count(CountKind::ReadOk);
        ledger.record_report(&counter.report(at(second)));
        counter.switch_version(calendar(second), at(second));
        stored.extend(ledger.take_unsaved().into_iter().map(|it| (it.key(), it.to_bytes())));
    }
    ledger.record_report(&counter.report(at(101)));
    stored.extend(ledger.take_unsaved().into_iter().map(|it| (it.key(), it.to_bytes())));
    assert_eq!((ledger.evicted_unsaved(), stored.len()), (0, 101));
    let periods: usize = (0..=100).map(|it| reads(&ledger, it).len()).sum();
    assert_eq!(periods, MAX_PERIODS_PER_BALANCER);
    let mut restored = Ledger::new(2);
    stored.values().for_each(|it| restored.restore(LedgerEntry::from_bytes(it).unwrap()));
    assert_eq!(restored.known_until(1), ledger.known_until(1));
    assert_eq!(restored.current_activity()[0].version, calendar(100));
    assert_eq!(restored.take_unsaved(), [], "restored entries are already saved");
    assert_eq!(restored.record_report(&counter.report(at(102))), ReportStatus::Newest);
    assert_eq!(LedgerEntry::from_bytes(&[255; 7]), None);
}
