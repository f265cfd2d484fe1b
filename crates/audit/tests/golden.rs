//! The encodings of reports and ledger entries on the wire and on disk, and the JSON of the queries.

use audit::activity_counter::{ActivityCounter, COUNT_KINDS, CountKind};
use audit::lease::{LeaseGrant, LeaseRequest, TimeInterval};
use audit::ledger::{ActivityPeriod, ActivityReport, Ledger, LedgerEntry};
use audit::version::Version;
use expect_test::expect_file;
use std::fmt::Write;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn version(calendar: u64) -> Version {
    Version {
        program: 1,
        configuration: 2,
        list_source: 3,
        list_revision: 4,
        calendar,
        bookings: 6,
        epoch: 7,
    }
}

fn interval(at: u64) -> TimeInterval {
    TimeInterval { earliest: at, latest: at + 10 }
}

fn period() -> ActivityPeriod {
    let counts = std::array::from_fn(|kind| 1_000 + kind as u64);
    ActivityPeriod {
        serial: 8,
        version: version(5),
        from: interval(100),
        to: interval(200),
        counts,
        digest: 9,
    }
}

#[test]
fn reports_and_ledger_entries_keep_their_encoding() {
    let report = ActivityReport {
        number: 300,
        incarnation: 10,
        sequence: 11,
        at: interval(250),
        periods: vec![period(), period()],
    };
    let entry = LedgerEntry { number: 300, incarnation: 10, sequence: 11, period: period() };
    assert_eq!(ActivityReport::from_bytes(&report.to_bytes()), Some(report.clone()));
    assert_eq!(LedgerEntry::from_bytes(&entry.to_bytes()), Some(entry));
    let request =
        postcard::to_allocvec(&LeaseRequest { number: 300, incarnation: 10, serial: 1_000 }).unwrap();
    let grant = postcard::to_allocvec(&LeaseGrant { number: 300, incarnation: 10, serial: 1_000 }).unwrap();
    let mut text = String::new();
    writeln!(text, "report {}", hex(&report.to_bytes())).unwrap();
    writeln!(text, "span {}", hex(&entry.to_bytes())).unwrap();
    writeln!(text, "ask {}\ngrant {}", hex(&request), hex(&grant)).unwrap();
    expect_file!["golden/bytes.txt"].assert_eq(&text);
}

#[test]
fn reports_keep_order_of_counts_and_digest_values() {
    const KINDS: [CountKind; COUNT_KINDS] = [
        CountKind::ReadOk,
        CountKind::ReadError,
        CountKind::ReadFull,
        CountKind::ReadTimeout,
        CountKind::ReadUnreachable,
        CountKind::WriteOk,
        CountKind::WriteError,
        CountKind::WriteFull,
        CountKind::WriteTimeout,
        CountKind::WriteUnreachable,
        CountKind::FetchOk,
        CountKind::FetchError,
        CountKind::FetchFull,
        CountKind::FetchTimeout,
        CountKind::FetchUnreachable,
        CountKind::Refused,
        CountKind::ChangeAccepted,
        CountKind::ChangeRefused,
    ];
    let mut counter = ActivityCounter::new(1, 2, version(5), interval(0));
    for (index, kind) in KINDS.into_iter().enumerate() {
        (0..=index).for_each(|_| counter.count(kind));
    }
    counter.record_topology_change(b"s-1\nJoin\n7", true);
    counter.record_topology_change(b"s-2\nDrain\n7", false);
    let report = counter.report(interval(100));
    expect_file!["golden/counted.txt"].assert_eq(&format!("{}\n", hex(&report.to_bytes())));
}

#[test]
fn query_results_keep_their_json() {
    let mut ledger = Ledger::new(3);
    let mut old_period = period();
    old_period.version.calendar = 2;
    ledger.record_report(&ActivityReport {
        number: 0,
        incarnation: 10,
        sequence: 1,
        at: interval(250),
        periods: vec![period()],
    });
    ledger.record_report(&ActivityReport {
        number: 1,
        incarnation: 20,
        sequence: 4,
        at: interval(260),
        periods: vec![old_period],
    });
    let answers = serde_json::json!({
        "now": ledger.current_activity(),
        "acted_on": ledger.activity_under(&version(5), 0, 1_000),
        "known": ledger.known_until(1),
        "stragglers": ledger.lagging_nodes(1_000, 1, 100),
    });
    expect_file!["golden/answers.json"].assert_eq(&format!("{answers:#}\n"));
}
