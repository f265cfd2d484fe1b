//! The encoding of the datagram, which balancers that run other versions must be able to decode.

use decide::api::EndpointId;
use expect_test::expect_file;
use gossip::wire::{EndpointHash, EndpointLoad, Report, ReportStamp};

fn report() -> Report {
    let load = |in_flight, answered, failed| EndpointLoad { in_flight, answered, failed };
    let hash = |id| EndpointHash::from(EndpointId(id));
    Report {
        stamp: ReportStamp::first(1_764_600_123_456_789).next(),
        loads: vec![
            (hash(0x0a12_4a07_2bc3), load(4.5, 9, 1)),
            (hash(0xcbf2_9ce4_8422_2325), load(0.0625, 0, 15)),
            (EndpointHash(77), load(15.0, 12, 3)),
        ],
    }
}

#[test]
fn datagram_keeps_its_encoding() {
    let datagram = report().encode();
    let text: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
    expect_file!["golden/datagram.txt"].assert_eq(&format!("{text}\n"));
    let decoded = Report::decode(&datagram).unwrap();
    let mut loads = report().loads;
    loads.sort_by(|a, b| b.1.in_flight.total_cmp(&a.1.in_flight));
    assert_eq!(decoded, Report { loads, ..report() });
}
