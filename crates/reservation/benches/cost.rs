//! The cost of admission, lookups and a rejected booking in a book of 1,000 bookings.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use reservation::{
    Admission, BookingId, BookingRequest, Capacity, DYNAMIC_PARTS, Holder, LeaseRenewal, Micros, Outcome,
    PerKind, Proposal, RequestClasses, RequestKind, ReservationBook, SliceAllocation, SliceChange, Span,
    Tenant, TimeInterval,
};

const HOUR: Micros = 3_600_000_000;
const THIS_HOLDER: Holder = Holder { node_id: 0, incarnation: 1 };

fn book() -> ReservationBook {
    let mut book = ReservationBook::default();
    let baseline = vec![PerKind::uniform(1_000); 168];
    let total = PerKind::uniform(4_000_000_000);
    book.apply(1, 0, &Proposal::SetCapacity(Capacity { from: 0, total, baseline }));
    book.apply(2, 0, &Proposal::SetFleetSize(300));
    for id in 0..1_000_u64 {
        let windows =
            (0..20).map(|day| Span { from: day * 24 * HOUR + id, to: (day * 24 + 8) * HOUR + id }).collect();
        let tenant = Tenant(id as u32 / 4);
        let rate = PerKind::uniform(2_000_000);
        let request = BookingRequest { id: BookingId(id), tenant, classes: RequestClasses(2), rate, windows };
        let outcome = book.apply(3 + id, 0, &Proposal::Book(request));
        assert!(matches!(outcome, Outcome::Granted { .. }), "booking {id}: {outcome:?}");
    }
    let renewals = (0..300)
        .map(|node_id| LeaseRenewal {
            holder: Holder { node_id, ..THIS_HOLDER },
            requested_at: 0,
            applied: 0,
        })
        .collect();
    book.apply(
        2_000,
        HOUR,
        &Proposal::AllocateSlices(SliceAllocation { renewals, ..SliceAllocation::default() }),
    );
    for node_id in 0..300 {
        let parts = PerKind::uniform(DYNAMIC_PARTS / 300);
        let slice_of =
            |id| SliceChange { booking: BookingId(id), holder: Holder { node_id, ..THIS_HOLDER }, parts };
        let changes = (0..1_000).map(slice_of).collect();
        book.apply(
            2_001 + u64::from(node_id),
            HOUR,
            &Proposal::AllocateSlices(SliceAllocation { changes, ..SliceAllocation::default() }),
        );
    }
    book
}

fn cost(criterion: &mut Criterion) {
    let mut book = book();
    println!("snapshot of 1,000 bookings with 300 slices each: {} bytes", book.snapshot().len());
    let time = TimeInterval { earliest: HOUR, latest: HOUR + 5_000 };
    let mut admission = Admission::new(THIS_HOLDER);
    admission.refresh(1, time, &book);
    let (mut now, mut tenant) = (1, 0);
    criterion.bench_function("admit, 1,000 bookings", |b| {
        b.iter(|| {
            now = now % 1_000_000 + 1;
            tenant = (tenant + 7) % 250;
            black_box(admission.admit(now, Tenant(tenant), 1, RequestKind::Read))
        });
    });
    criterion.bench_function("rate_at, 1,000 bookings", |b| {
        b.iter(|| {
            tenant = (tenant + 7) % 1_000;
            black_box(book.rate_at(BookingId(u64::from(tenant)), HOUR * 30))
        });
    });
    criterion.bench_function("granted_at, 40,000 steps", |b| {
        b.iter(|| {
            tenant = (tenant + 7) % 400;
            black_box(book.granted_at(HOUR * u64::from(tenant)))
        });
    });
    criterion.bench_function("refresh, 1,000 bookings", |b| b.iter(|| admission.refresh(1, time, &book)));
    let mut revision = 10_000;
    criterion.bench_function("rejected booking of eight hours, with its next window", |b| {
        b.iter(|| {
            revision += 1;
            let windows = vec![Span { from: 30 * HOUR, to: 38 * HOUR }];
            let (tenant, rate) = (Tenant(revision as u32), PerKind::uniform(2_500_000_000));
            let request =
                BookingRequest { id: BookingId(revision), tenant, classes: RequestClasses(1), rate, windows };
            black_box(book.apply(revision, HOUR, &Proposal::Book(request)))
        });
    });
}

criterion_group!(benches, cost);
criterion_main!(benches);
