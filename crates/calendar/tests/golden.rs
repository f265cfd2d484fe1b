//! The binary and JSON encodings of calendars and proposals, which are stored, sent to peers and posted by operators.

mod support;

use calendar::*;
use expect_test::expect_file;
use std::fmt::Write;
use support::{ACTIVATION_DELAY, add, freeze, override_proposal};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let text = text.trim();
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Returns proposals of every kind, with every kind of recurrence and scope.
#[expect(clippy::too_many_lines, reason = "the function only lists values")]
fn proposals() -> Vec<Proposal> {
    const ALL_KINDS: [ChangeKind; 15] = [
        ChangeKind::Drain,
        ChangeKind::Gone,
        ChangeKind::Down,
        ChangeKind::Restarted,
        ChangeKind::Disabled,
        ChangeKind::Enabled,
        ChangeKind::WeightReduced,
        ChangeKind::Join,
        ChangeKind::WeightIncreased,
        ChangeKind::Zone,
        ChangeKind::Discovery,
        ChangeKind::Configuration,
        ChangeKind::Restart,
        ChangeKind::Growth,
        ChangeKind::Council,
    ];
    let until = "2030-12-31".parse().unwrap();
    let all_days = vec![
        Day::Monday,
        Day::Tuesday,
        Day::Wednesday,
        Day::Thursday,
        Day::Friday,
        Day::Saturday,
        Day::Sunday,
    ];
    let rhythms = [
        Recurrence::Daily(2),
        Recurrence::Weekly { every: 1, days: all_days },
        Recurrence::Monthly(1),
        Recurrence::MonthlyByDay { every: 2, nth: -1, day: Day::Friday },
        Recurrence::Yearly(1),
    ];
    let places = [
        ScopeTarget::Fleet,
        ScopeTarget::Zones(vec!["a".into(), "b".into()]),
        ScopeTarget::Group { name: "rack 4".into(), hosts: vec!["s-1".into(), "s-2".into()] },
    ];
    let mut all: Vec<Proposal> = Vec::new();
    for (n, rhythm) in rhythms.into_iter().enumerate() {
        let repeated = Freeze {
            repeat: Some(Repeat { until, rhythm }),
            exceptions: vec!["2030-03-01".parse().unwrap()],
            ..freeze(&format!("repeated-{n}"), "2030-01-01T00:00", "2030-01-01T06:00", "America/Mexico_City")
        };
        all.push(add(&repeated));
    }
    for (n, place) in places.into_iter().enumerate() {
        let scope = Scope { kinds: ALL_KINDS.to_vec(), place };
        let planned = Scope { kinds: ChangeKind::PLANNED.to_vec(), ..scope.clone() };
        let placed = Freeze {
            scope: planned.clone(),
            ..freeze(&format!("placed-{n}"), "2030-02-01T00:00", "2030-02-02T00:00", "Europe/Madrid")
        };
        all.push(add(&placed));
        all.push(override_proposal(&format!("leave-{n}"), "2030-02-01T12:00", planned));
        all.push(override_proposal(&format!("any-{n}"), "2030-02-01T12:00", scope));
    }
    all.push(add(&freeze("gone", "2030-05-01T00:00", "2030-05-02T00:00", "UTC")));
    all.push(Proposal::Revoke(Revoke { id: "gone".into(), asked_by: "ada".into(), reason: "over".into() }));
    all
}

fn committed_calendar() -> Calendar {
    let mut calendar = Calendar::new(ACTIVATION_DELAY);
    let at = support::utc("2029-12-01T00:00Z");
    for (revision, proposal) in (1..).zip(proposals()) {
        calendar.apply(revision, at + revision, &proposal);
    }
    calendar
}

#[test]
fn snapshot_keeps_its_encoding_and_is_restored() {
    let calendar = committed_calendar();
    expect_file!["golden/snapshot.txt"].assert_eq(&format!("{}\n", hex(&calendar.snapshot())));
    let old = unhex(include_str!("golden/snapshot.txt"));
    let restored = Calendar::restore(&old).unwrap();
    assert_eq!(restored, calendar);
    assert_eq!(restored.snapshot(), old);
}

#[test]
fn proposals_keep_their_encoding() {
    let mut text = String::new();
    for proposal in proposals() {
        writeln!(text, "{}", hex(&postcard::to_stdvec(&proposal).unwrap())).unwrap();
    }
    expect_file!["golden/proposals.txt"].assert_eq(&text);
    for (line, proposal) in include_str!("golden/proposals.txt").lines().zip(proposals()) {
        assert_eq!(postcard::from_bytes::<Proposal>(&unhex(line)).unwrap(), proposal);
    }
}

#[test]
fn proposals_keep_their_json() {
    let text = serde_json::to_string_pretty(&proposals()).unwrap();
    expect_file!["golden/proposals.json"].assert_eq(&format!("{text}\n"));
    let old: Vec<Proposal> = serde_json::from_str(include_str!("golden/proposals.json")).unwrap();
    assert_eq!(old, proposals());
}

#[test]
fn refusals_keep_their_texts() {
    let mut calendar = committed_calendar();
    let at = support::utc("2030-01-02T00:00Z");
    let refused = [
        add(&freeze("placed-0", "2030-02-01T00:00", "2030-02-02T00:00", "UTC")),
        add(&freeze("", "2030-02-01T00:00", "2030-02-02T00:00", "UTC")),
        add(&freeze("zone", "2030-02-01T00:00", "2030-02-02T00:00", "Nowhere/Land")),
        add(&freeze("order", "2030-02-02T00:00", "2030-02-01T00:00", "UTC")),
        add(&freeze("past", "2029-02-01T00:00", "2029-02-02T00:00", "UTC")),
        Proposal::Revoke(Revoke { id: "nobody".into(), asked_by: "ada".into(), reason: "over".into() }),
    ];
    let mut text = String::new();
    for (revision, proposal) in (100..).zip(&refused) {
        match calendar.validate_proposal(at, proposal) {
            Ok(()) => writeln!(text, "taken").unwrap(),
            Err(error) => writeln!(text, "{error}").unwrap(),
        }
        writeln!(text, "  {}", calendar.apply(revision, at, proposal) != Applied::Added).unwrap();
    }
    expect_file!["golden/refusals.txt"].assert_eq(&text);
}
