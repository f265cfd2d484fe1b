//! The book and its proposals as bytes, in the forms that are stored and sent.

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

fn two(reads: u64, fetches: u64) -> Rate {
    Two { reads, fetches }
}

fn booking(id: u64, reads: u64, from: Micros) -> Proposal {
    let windows = vec![Span { from, to: from + HOUR }, Span { from: from + 2 * HOUR, to: from + 3 * HOUR }];
    Proposal::Book(Request {
        id: BookingId(id),
        tenant: Tenant(7),
        classes: Classes(5),
        rate: two(reads, reads / 10),
        windows,
    })
}

/// Proposals of every form, some of them refused.
fn proposals() -> Vec<Proposal> {
    let holder = |number| Holder { number, incarnation: 1_000 + u64::from(number) };
    let capacity = |from, reads| Capacity { from, whole: two(reads, reads / 4), everyday: vec![two(10, 1)] };
    vec![
        Proposal::Capacity(capacity(0, 4_000)),
        Proposal::Capacity(capacity(10 * HOUR, 2_000)),
        booking(1, 100, HOUR),
        booking(2, 200, 2 * HOUR),
        booking(3, 100_000, 2 * HOUR),
        Proposal::Freezes(vec![Frozen {
            freeze: 5,
            span: Span { from: 20 * HOUR, to: 30 * HOUR },
            terms: Terms::Move,
        }]),
        booking(4, 50, 21 * HOUR),
        Proposal::Slices(Slices {
            turn: (1, 2),
            lapsed: 3,
            gone: vec![holder(9)],
            renewals: vec![Renewal { holder: holder(1), asked: HOUR, applied: 4 }],
            cuts: vec![Cut { booking: BookingId(1), holder: holder(1), parts: Two { reads: 7, fetches: 8 } }],
            shown: vec![BookingId(2)],
        }),
        Proposal::Cancel(BookingId(2)),
    ]
}

fn agreed() -> (Book, String) {
    let mut book = Book::default();
    let mut text = String::new();
    for (revision, proposal) in (1..).zip(proposals()) {
        let answer = book.apply(revision, revision * 1_000, &proposal);
        writeln!(text, "{}", hex(&postcard::to_stdvec(&answer).unwrap())).unwrap();
    }
    (book, text)
}

#[test]
fn a_snapshot_keeps_its_form_and_is_read() {
    let (book, _) = agreed();
    expect_file!["golden/snapshot.txt"].assert_eq(&format!("{}\n", hex(&book.snapshot())));
    let old = unhex(include_str!("golden/snapshot.txt"));
    assert_eq!(Book::restore(&old).unwrap().snapshot(), old);
}

#[test]
fn proposals_and_answers_keep_their_bytes() {
    let mut text = String::new();
    for proposal in proposals() {
        writeln!(text, "{}", hex(&postcard::to_stdvec(&proposal).unwrap())).unwrap();
    }
    expect_file!["golden/proposals.txt"].assert_eq(&text);
    expect_file!["golden/answers.txt"].assert_eq(&agreed().1);
    for (line, proposal) in include_str!("golden/proposals.txt").lines().zip(proposals()) {
        assert_eq!(postcard::from_bytes::<Proposal>(&unhex(line)).unwrap(), proposal);
    }
}
