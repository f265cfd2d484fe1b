//! Outcomes of the book, compared with a simple model and after a restored snapshot.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reservation::*;

const HOUR: Micros = 3_600_000_000;

fn rate(reads: u64, fetches: u64) -> Rate {
    PerKind { reads, fetches }
}

fn request(id: u64, rate: Rate, windows: &[(Micros, Micros)]) -> BookingRequest {
    let windows = windows.iter().map(|&(from, to)| Span { from, to }).collect();
    BookingRequest {
        id: BookingId(id),
        tenant: Tenant(id as u32 % 97),
        classes: RequestClasses(1),
        rate,
        windows,
    }
}

fn capacity(from: Micros, reads: u64, baseline: Vec<Rate>) -> Proposal {
    Proposal::SetCapacity(Capacity { from, total: rate(reads, reads), baseline })
}

fn windows(from: Micros, to: Micros) -> Outcome {
    Outcome::Granted { windows: vec![Span { from, to }], moved_by: None }
}

#[test]
fn repeated_booking_gets_its_first_outcome() {
    let mut book = ReservationBook::default();
    book.apply(1, 1, &capacity(0, 400, vec![]));
    let rejected = book.apply(2, 2, &Proposal::Book(request(1, rate(301, 0), &[(10, 20)])));
    assert_eq!(
        rejected,
        Outcome::Rejected { reason: RejectReason::Capacity, largest: rate(300, 300), next: None }
    );
    book.apply(3, 3, &capacity(0, 4_000, vec![]));
    assert_eq!(book.apply(4, 4, &Proposal::Book(request(1, rate(1, 0), &[(10, 20)]))), rejected);
    let mut restored = ReservationBook::restore(&book.snapshot()).expect("the book's own snapshot is valid");
    assert_eq!(restored.apply(5, 5, &Proposal::Book(request(1, rate(1, 0), &[(10, 20)]))), rejected);
    assert_eq!(restored.apply(2, 2, &Proposal::Book(request(1, rate(1, 0), &[(10, 20)]))), rejected);
    let late = HOUR * 24 * 3;
    assert_eq!(
        restored.apply(6, late, &Proposal::Book(request(1, rate(1, 0), &[(10, 20)]))),
        Outcome::NotRecorded
    );
}

#[test]
fn freeze_policy_decides_and_affected_bookings_are_listed() {
    for (policy, expected) in [
        (FreezePolicy::Allow, windows(100, 200)),
        (
            FreezePolicy::Reject,
            Outcome::Rejected {
                reason: RejectReason::Freeze(5),
                largest: rate(0, 0),
                next: Some(Span { from: 150, to: 250 }),
            },
        ),
        (
            FreezePolicy::Move,
            Outcome::Granted { windows: vec![Span { from: 150, to: 250 }], moved_by: Some(5) },
        ),
    ] {
        let mut book = ReservationBook::default();
        let freeze = Freeze { id: 5, span: Span { from: 50, to: 150 }, policy };
        book.apply(1, 1, &capacity(0, 400, vec![]));
        book.apply(2, 2, &Proposal::Book(request(9, rate(10, 0), &[(20, 51)])));
        let affected = book.affected_by(&PlannedChange::Freeze(freeze));
        assert_eq!(affected, if policy == FreezePolicy::Allow { vec![] } else { vec![BookingId(9)] });
        book.apply(3, 3, &Proposal::SetFreezes(vec![freeze]));
        assert_eq!(book.apply(4, 4, &Proposal::Book(request(1, rate(200, 1), &[(100, 200)]))), expected);
    }
}

#[test]
fn booking_granted_last_is_reduced_first_and_restored_last() {
    let mut book = ReservationBook::default();
    book.apply(1, 1, &capacity(0, 400, vec![]));
    for (revision, id) in [(2, 7), (3, 5), (4, 6)] {
        book.apply(revision, 2, &Proposal::Book(request(id, rate(100, 0), &[(10, 1_000)])));
    }
    let rates = |book: &ReservationBook, at| {
        [7, 5, 6].map(|id| book.rate_at(BookingId(id), at).map_or(0, |rate| rate.reads))
    };
    let Proposal::SetCapacity(reduced_capacity) = capacity(500, 200, vec![]) else { unreachable!() };
    let affected = book.affected_by(&PlannedChange::Capacity(reduced_capacity.clone()));
    assert_eq!(affected, [BookingId(5), BookingId(6)]);
    book.apply(5, 20, &Proposal::SetCapacity(reduced_capacity));
    assert_eq!((rates(&book, 499), rates(&book, 500)), ([100, 100, 100], [100, 50, 0]));
    let events: Vec<_> = std::iter::from_fn(|| book.poll_event()).collect();
    let reduced = |id, reads| BookingEvent::Reduced {
        booking: BookingId(id),
        rate: rate(reads, 0),
        from: 500,
        until: 1_000,
    };
    assert_eq!(events, [reduced(5, 50), reduced(6, 0)]);
    book.apply(6, 21, &capacity(500, 300, vec![]));
    assert_eq!(rates(&book, 600), [100, 100, 25]);
    book.apply(7, 22, &capacity(500, 400, vec![]));
    assert_eq!(rates(&book, 600), [100, 100, 100]);
    let restored = std::iter::from_fn(|| book.poll_event())
        .filter(|event| matches!(event, BookingEvent::Restored { .. }));
    assert_eq!(restored.count(), 2);
}

#[test]
fn token_bucket_admits_rate_and_burst_and_returns_retry_time() {
    let (mut book, holder) = (ReservationBook::default(), Holder { node_id: 0, incarnation: 3 });
    book.apply(1, 1, &capacity(0, 64_000_000, vec![]));
    book.apply(2, 2, &Proposal::SetFleetSize(1));
    book.apply(3, 3, &Proposal::Book(request(97, rate(6_400_000, 0), &[(10, HOUR)])));
    let renewals = vec![LeaseRenewal { holder, requested_at: 0, applied: 3 }];
    book.apply(4, 10, &Proposal::AllocateSlices(SliceAllocation { renewals, ..SliceAllocation::default() }));
    let mut admission = Admission::new(holder);
    admission.refresh(0, TimeInterval { earliest: 10, latest: 10 }, &book);
    let mut admit = |now| admission.admit(now, Tenant(0), 0, RequestKind::Read);
    let booked = AdmissionDecision::Booked { booking: BookingId(97), priority: Priority::Booked };
    assert_eq!((0..60).filter(|_| admit(1_000_000) == booked).count(), 25);
    assert_eq!(admit(1_000_000), AdmissionDecision::Exhausted { booking: BookingId(97), retry_after_ms: 10 });
    assert_eq!((admit(1_009_000) == booked, admit(1_010_000) == booked), (false, true));
    assert!(matches!(
        admit(LEASE_US - LEASE_US / RATE_ERROR),
        AdmissionDecision::Exhausted { retry_after_ms: 500, .. }
    ));
    assert_eq!(admission.admit(1_020_000, Tenant(0), 1, RequestKind::Read), AdmissionDecision::NotBooked);
    assert!(Priority::WithinShare < Priority::Booked && Priority::Booked < Priority::OverShare);
}

#[test]
fn released_rate_and_old_incarnation_are_free_after_a_lease() {
    let (mut book, old, new) = (
        ReservationBook::default(),
        Holder { node_id: 0, incarnation: 3 },
        Holder { node_id: 0, incarnation: 4 },
    );
    let renew = |holder, expired| {
        let renewals = vec![LeaseRenewal { holder, requested_at: 1, applied: 0 }];
        Proposal::AllocateSlices(SliceAllocation { renewals, expired, ..SliceAllocation::default() })
    };
    book.apply(1, 1, &capacity(0, 400, vec![]));
    book.apply(2, 2, &Proposal::Book(request(1, rate(300, 0), &[(10, HOUR)])));
    book.apply(3, 20, &renew(old, 0));
    book.apply(4, 21, &renew(new, 0));
    assert_eq!((book.parts(old, BookingId(1)).reads, book.parts(new, BookingId(1)).reads), (STATIC_PARTS, 0));
    book.apply(5, 22, &Proposal::Cancel(BookingId(1)));
    assert_eq!(book.rate_at(BookingId(1), 22), None);
    book.apply(6, 23, &renew(new, 4));
    assert_eq!((book.lease_end(old), book.lease_end(new).is_some()), (None, true));
    let rebook = |id| Proposal::Book(request(id, rate(300, 0), &[(30, HOUR)]));
    assert!(matches!(book.apply(7, 24, &rebook(2)), Outcome::Rejected { .. }));
    book.apply(8, 25, &renew(new, 5));
    assert_eq!(book.apply(9, 26, &rebook(3)), windows(30, HOUR));
}

#[test]
fn unused_rate_is_shared_within_a_second_until_it_is_used() {
    let (mut book, holder) = (ReservationBook::default(), Holder { node_id: 0, incarnation: 3 });
    book.apply(1, 1, &capacity(0, 64_000_000, vec![]));
    book.apply(2, 2, &Proposal::SetFleetSize(1));
    book.apply(3, 3, &Proposal::Book(request(97, rate(6_400_000, 0), &[(10, HOUR)])));
    let renewals = vec![LeaseRenewal { holder, requested_at: 0, applied: 3 }];
    let changes =
        vec![SliceChange { booking: BookingId(97), holder, parts: PerKind::uniform(DYNAMIC_PARTS) }];
    book.apply(
        4,
        10,
        &Proposal::AllocateSlices(SliceAllocation { renewals, changes, ..SliceAllocation::default() }),
    );
    let mut admission = Admission::new(holder);
    let mut unused_after = |second: Micros, requests: u64| {
        for step in 1..=10 {
            let now = second * 1_000_000 + step * 50_000;
            admission.refresh(now, TimeInterval { earliest: now + 10, latest: now + 10 }, &book);
            (0..requests).for_each(|_| _ = admission.admit(now, Tenant(0), 0, RequestKind::Read));
            admission.poll_request(now, 4);
        }
        admission.unused_rate(second * 1_000_000 + 500_000).reads
    };
    assert_eq!(unused_after(0, 0), 6_400_000);
    let unused = unused_after(1, 160);
    assert!((2_900_000..3_500_000).contains(&unused), "{unused} unused at 3,200 reads a second");
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(11, 256))]
    #[test]
    fn outcomes_match_a_simple_model(
        requests in prop::collection::vec((1..60_u64, 1..60_u64, 0..200_u64, 1..25_u64, prop::option::of(0..60_u64)), 1..25),
        steps in prop::collection::vec((0..200_u64, 50..140_u64), 0..4),
    ) {
        const DURATION: usize = 400;
        let mut book = ReservationBook::default();
        book.apply(1, 0, &capacity(0, 100, vec![]));
        let mut bookable = vec![75_i64; DURATION];
        for (index, &(from, reads)) in steps.iter().enumerate() {
            book.apply(2 + index as u64, 0, &capacity(from, reads, vec![]));
        }
        let mut entries = steps.clone();
        entries.insert(0, (0, 100));
        for (time, bookable) in bookable.iter_mut().enumerate() {
            // The entry in force has the latest time that is not after `time`, and is the last entry at that time.
            let in_force = entries.iter().enumerate().filter(|(_, e)| e.0 <= time as u64).max_by_key(|(i, e)| (e.0, *i));
            let reads = in_force.map_or(0, |(_, e)| e.1);
            *bookable = (reads - reads.div_ceil(4)) as i64;
        }
        let mut taken = vec![[0_i64; 2]; DURATION];
        for (index, &(reads, fetches, from, length, second)) in requests.iter().enumerate() {
            let mut spans = vec![(from, from + length)];
            spans.extend(second.map(|gap| (from + length + gap, from + 2 * length + gap)));
            let free = |at: u64, kind: usize| (bookable[(at as usize).min(DURATION - 1)]
                - taken.get(at as usize).map_or(0, |taken| taken[kind])).max(0) as u64;
            let times = |shift: u64| spans.clone().into_iter().flat_map(move |(a, b)| a + shift..b + shift);
            let largest = rate(times(0).map(|at| free(at, 0)).min().unwrap(), times(0).map(|at| free(at, 1)).min().unwrap());
            let fits = |shift: u64| times(shift).all(|at| reads <= free(at, 0) && fetches <= free(at, 1));
            let expected = if fits(0) {
                times(0).for_each(|at| {
                    taken[at as usize][0] += reads as i64;
                    taken[at as usize][1] += fetches as i64;
                });
                Outcome::Granted { windows: spans.iter().map(|&(from, to)| Span { from, to }).collect(), moved_by: None }
            } else {
                let shift = (0..DURATION as u64).find(|shift| fits(*shift));
                let next = shift.map(|shift| Span { from: spans[0].0 + shift, to: spans[0].1 + shift });
                Outcome::Rejected { reason: RejectReason::Capacity, largest, next }
            };
            let outcome = book.apply(100 + index as u64, 0, &Proposal::Book(request(index as u64, rate(reads, fetches), &spans)));
            prop_assert_eq!(outcome, expected);
            if index % 7 == 3 {
                book = ReservationBook::restore(&book.snapshot()).unwrap();
            }
        }
    }

    #[test]
    fn restore_never_panics_and_restored_book_continues(
        noise in prop::collection::vec(any::<u8>(), 0..200),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let _ = ReservationBook::restore(&noise);
        let mut book = ReservationBook::default();
        book.apply(1, 1, &capacity(0, 400_000, vec![rate(3, 3); 168]));
        book.apply(2, 2, &Proposal::SetFleetSize(3));
        book.apply(3, 3, &Proposal::Book(request(0, rate(1_000, 5), &[(10, HOUR), (2 * HOUR, 3 * HOUR)])));
        let holder = Holder { node_id: 1, incarnation: 8 };
        let renewals = vec![LeaseRenewal { holder, requested_at: 5, applied: 3 }];
        let changes = vec![SliceChange { booking: BookingId(0), holder, parts: PerKind::uniform(9) }];
        book.apply(4, 20, &Proposal::AllocateSlices(SliceAllocation { renewals, changes, ..SliceAllocation::default() }));
        let mut bytes = book.snapshot();
        let restored = ReservationBook::restore(&bytes).unwrap();
        prop_assert_eq!(restored.snapshot(), bytes.clone());
        for (index, value) in damage {
            *index.get_mut(&mut bytes) = value;
        }
        bytes.truncate(cut.index(bytes.len() * 4).max(1));
        if let Ok(mut book) = ReservationBook::restore(&bytes) {
            Admission::new(holder).refresh(9, TimeInterval { earliest: 11, latest: 12 }, &book);
            let next = book.revision().saturating_add(1);
            book.apply(next, 30, &capacity(0, 100, vec![]));
            book.apply(next.saturating_add(1), u64::MAX, &Proposal::Book(request(5, rate(1, 1), &[(40, 50)])));
        }
    }
}
