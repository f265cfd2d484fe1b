//! The encoding of datagrams, which members that run other versions must be able to decode.

mod common;

use common::{Fleet, INCARNATION, SECOND};
use expect_test::expect_file;
use std::fmt::Write;

/// Number of datagrams compared in each part of the run.
const COMPARED_DATAGRAMS: usize = 60;

fn record_datagrams(fleet: &mut Fleet, span: u64) -> String {
    fleet.captured = Some(Vec::new());
    fleet.run(span);
    let mut text = String::new();
    for (to, datagram) in fleet.captured.take().unwrap().iter().take(COMPARED_DATAGRAMS) {
        let bytes: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{to} {bytes}").unwrap();
    }
    text
}

#[test]
fn datagrams_keep_their_encoding() {
    let mut fleet = Fleet::new(5, 43);
    fleet.start(0, INCARNATION);
    fleet.captured = Some(Vec::new());
    (1..5).for_each(|number| fleet.start(number, INCARNATION + number as u64));
    let mut text = record_datagrams(&mut fleet, 3 * SECOND);
    fleet.crash(3);
    text += "\nafter a crash\n";
    text += &record_datagrams(&mut fleet, 10 * SECOND);
    fleet.leave(4);
    text += "\nafter one left\n";
    text += &record_datagrams(&mut fleet, 3 * SECOND);
    fleet.start(3, INCARNATION + 100);
    text += "\nafter a start\n";
    text += &record_datagrams(&mut fleet, 3 * SECOND);
    expect_file!["golden/datagrams.txt"].assert_eq(&text);
}
