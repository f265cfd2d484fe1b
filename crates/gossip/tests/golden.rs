//! The datagram in the form that balancers of other versions know.

use decide::api::EndpointId;
use expect_test::expect_file;
use gossip::wire::{Report, Short, Stamp, Word};

fn report() -> Report {
    let word = |held, answered, failed| Word { held, answered, failed };
    let short = |id| Short::from(EndpointId(id));
    Report {
        stamp: Stamp::first(1_764_600_123_456_789).next(),
        words: vec![
            (short(0x0a12_4a07_2bc3), word(4.5, 9, 1)),
            (short(0xcbf2_9ce4_8422_2325), word(0.0625, 0, 15)),
            (Short(77), word(15.0, 12, 3)),
        ],
    }
}

#[test]
fn a_datagram_keeps_its_form() {
    let datagram = report().encode();
    let text: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
    expect_file!["golden/datagram.txt"].assert_eq(&format!("{text}\n"));
    let read = Report::decode(&datagram).unwrap();
    let mut words = report().words;
    words.sort_by(|a, b| b.1.held.total_cmp(&a.1.held));
    assert_eq!(read, Report { words, ..report() });
}
