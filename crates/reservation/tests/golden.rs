//! The encodings of snapshots, proposals and outcomes, as stored and sent.

use expect_test::expect_file;
use reservation::*;
use std::fmt::Write;

const HOUR: Micros = 3_600_000_000;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let text = text.trim();
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

fn rate(reads: u64, fetches: u64) -> Rate {
    PerKind { reads, fetches }
}

fn booking(id: u64, reads: u64, from: Micros) -> Proposal {
    let windows = vec![Span { from, to: from + HOUR }, Span { from: from + 2 * HOUR, to: from + 3 * HOUR }];
    Proposal::Book(BookingRequest {
        id: BookingId(id),
        tenant: Tenant(7),
        classes: RequestClasses(5),
        rate: rate(reads, reads / 10),
        windows,
    })
}

/// Proposals of most kinds, some of which are rejected.
fn proposals() -> Vec<Proposal> {
    let holder = |node_id| Holder { node_id, incarnation: 1_000 + u64::from(node_id) };
    let capacity =
        |from, reads| Capacity { from, total: rate(reads, reads / 4), baseline: vec![rate(10, 1)] };
    vec![
        Proposal::SetCapacity(capacity(0, 4_000)),
        Proposal::SetCapacity(capacity(10 * HOUR, 2_000)),
        booking(1, 100, HOUR),
        booking(2, 200, 2 * HOUR),
        booking(3, 100_000, 2 * HOUR),
        Proposal::SetFreezes(vec![Freeze {
            id: 5,
            span: Span { from: 20 * HOUR, to: 30 * HOUR },
            policy: FreezePolicy::Move,
        }]),
        booking(4, 50, 21 * HOUR),
        Proposal::AllocateSlices(SliceAllocation {
            id: AllocationId { incarnation: 1, sequence: 2 },
            expired: 3,
            departed: vec![holder(9)],
            renewals: vec![LeaseRenewal { holder: holder(1), requested_at: HOUR, applied: 4 }],
            changes: vec![SliceChange {
                booking: BookingId(1),
                holder: holder(1),
                parts: PerKind { reads: 7, fetches: 8 },
            }],
            used: vec![BookingId(2)],
        }),
        Proposal::Cancel(BookingId(2)),
    ]
}

/// Applies all proposals, and returns the book and the encoded outcomes, one a line.
fn apply_all() -> (ReservationBook, String) {
    let mut book = ReservationBook::default();
    let mut text = String::new();
    for (revision, proposal) in (1..).zip(proposals()) {
        let outcome = book.apply(revision, revision * 1_000, &proposal);
        writeln!(text, "{}", hex(&postcard::to_stdvec(&outcome).unwrap())).unwrap();
    }
    (book, text)
}

#[test]
fn snapshot_keeps_its_encoding_and_is_restored() {
    let (book, _) = apply_all();
    expect_file!["golden/snapshot.txt"].assert_eq(&format!("{}\n", hex(&book.snapshot())));
    let stored = unhex(include_str!("golden/snapshot.txt"));
    assert_eq!(ReservationBook::restore(&stored).unwrap().snapshot(), stored);
}

#[test]
fn proposals_and_outcomes_keep_their_encoding() {
    let mut text = String::new();
    for proposal in proposals() {
        writeln!(text, "{}", hex(&postcard::to_stdvec(&proposal).unwrap())).unwrap();
    }
    expect_file!["golden/proposals.txt"].assert_eq(&text);
    expect_file!["golden/answers.txt"].assert_eq(&apply_all().1);
    for (line, proposal) in include_str!("golden/proposals.txt").lines().zip(proposals()) {
        assert_eq!(postcard::from_bytes::<Proposal>(&unhex(line)).unwrap(), proposal);
    }
}
