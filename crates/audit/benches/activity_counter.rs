//! The cost of counting one attempt under the version in force.

use audit::activity_counter::{ActivityCounter, CountKind};
use audit::lease::TimeInterval;
use audit::version::Version;
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;

fn count(criterion: &mut Criterion) {
    let now = TimeInterval { earliest: 1, latest: 2 };
    let mut counter = ActivityCounter::new(0, 1, Version::default(), now);
    let earlier = counter.version();
    counter.switch_version(Version { calendar: 1, ..Version::default() }, now);
    criterion.bench_function("count", |it| {
        it.iter(|| black_box(&mut counter).count(black_box(CountKind::ReadOk)))
    });
    criterion.bench_function("count under an earlier version", |it| {
        it.iter(|| black_box(&mut counter).count_under(black_box(earlier), black_box(CountKind::ReadOk)));
    });
    criterion.bench_function("report", |it| it.iter(|| black_box(&mut counter).report(now)));
}

criterion_group!(benches, count);
criterion_main!(benches);
