//! The cost of a check against a full calendar, and of building its index.
#![allow(missing_docs)]

use calendar::{
    Applied, Calendar, Change, ChangeKind, Entry, Freeze, LeaseState, MAX_ENTRIES, Override, Proposal,
    Recurrence, Repeat, Revoke, Scope, ScopeTarget, TimeInterval,
};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::hint::black_box;

/// Half of the 10,000 recur ten times; zones, groups, kinds and overrides are mixed.
fn full() -> Calendar {
    let mut calendar = Calendar::new(10_000);
    for n in 0..MAX_ENTRIES {
        let place = match n % 4 {
            0 => ScopeTarget::Fleet,
            1 => ScopeTarget::Zones(vec![format!("zone-{}", n % 40)]),
            _ => ScopeTarget::Group {
                name: "some".into(),
                hosts: (0..4).map(|it| format!("host-{}", n % 500 + it)).collect(),
            },
        };
        let kinds = if n % 3 == 0 { vec![] } else { vec![ChangeKind::PLANNED[n % 8]] };
        let day = jiff::civil::date(2026, 1, 1)
            .checked_add(jiff::SignedDuration::from_hours(24 * (n as i64 % 700)));
        let start = day.unwrap().at((n % 24) as i8, (n % 60) as i8, 0, 0);
        let end = start.checked_add(jiff::SignedDuration::from_mins(30 + n as i64 % 90)).unwrap();
        let until = start.date().checked_add(jiff::SignedDuration::from_hours(24 * 69)).unwrap();
        let repeat =
            (n % 4 < 2).then_some(Repeat { until, rhythm: Recurrence::Weekly { every: 1, days: vec![] } });
        let (id, reason, zone) = (n.to_string(), "permit deadline".to_owned(), "America/Tijuana".to_owned());
        let scope = Scope { kinds, place };
        let entry = if n % 50 == 0 {
            Entry::Override(Override { id, person: "Ana".into(), reason, end, zone, scope })
        } else {
            let asked_by = "Ana".to_owned();
            Entry::Freeze(Freeze {
                id,
                reason,
                asked_by,
                start,
                end,
                zone,
                exceptions: vec![],
                scope,
                repeat,
            })
        };
        let at = if n % 50 == 0 { 1_767_000_000_000 } else { 1_000 };
        assert_eq!(calendar.apply(n as u64 + 1, at, &Proposal::Add(entry)), Applied::Added);
    }
    calendar.build_index();
    calendar
}

fn check(criterion: &mut Criterion) {
    let calendar = full();
    let join = Change { kind: ChangeKind::Join, host: Some("host-77"), zones: [Some("zone-9"), None] };
    let moved =
        Change { kind: ChangeKind::Zone, host: Some("host-77"), zones: [Some("zone-9"), Some("zone-13")] };
    for (name, change) in
        [("join", join), ("zone", moved), ("fleet", Change::of_fleet(ChangeKind::Configuration))]
    {
        let mut at = 1_767_000_000_000_u64;
        criterion.bench_function(&format!("check {name}, 10,000 entries"), |bencher| {
            bencher.iter(|| {
                at = 1_767_000_000_000 + (at + 977_777_777) % 60_000_000_000;
                let span = Some(TimeInterval { earliest: at, latest: at + 40 });
                calendar.check(black_box(span), LeaseState::Held, black_box(&change))
            });
        });
    }
    let snapshot = calendar.snapshot();
    criterion.bench_function("restore and settle, 10,000 entries", |bencher| {
        bencher.iter_batched(
            || snapshot.clone(),
            |it| Calendar::restore(&it).map(|it| it.build_index()),
            BatchSize::LargeInput,
        );
    });
    let restored = Calendar::restore(&snapshot).unwrap();
    criterion.bench_function("settle, 10,000 entries", |bencher| {
        bencher.iter_batched(
            || {
                let mut it = restored.clone();
                let revoke = Revoke { id: "1".into(), asked_by: "Ana".into(), reason: "over".into() };
                it.apply(u64::MAX, 1_001, &Proposal::Revoke(revoke));
                it
            },
            |it| it.build_index(),
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, check);
criterion_main!(benches);
