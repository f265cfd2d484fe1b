//! Finds the end of a JSON object that arrives byte by byte, and bytes that cannot be part of one.

use actson::feeder::JsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};
use std::fmt;

/// How deep objects and arrays may be nested; those of a list are three deep.
const MAX_DEPTH: usize = 16;

/// What a line is once a byte was scanned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scanned {
    /// It is incomplete.
    Incomplete,
    /// It is complete and blank.
    BlankLine,
    /// It is complete and contains an object.
    ObjectLine,
    /// The byte cannot follow.
    Invalid,
}

/// Passes the byte that has arrived to the parser.
#[derive(Default)]
struct Feeder(Option<u8>);

impl JsonFeeder for Feeder {
    fn has_input(&self) -> bool {
        self.0.is_some()
    }
    fn is_done(&self) -> bool {
        false
    }
    fn next_input(&mut self) -> Option<u8> {
        self.0.take()
    }
}

/// Where the scanner is in a line.
enum State {
    /// Before the object: only white space has arrived.
    Before,
    /// In the object.
    Inside { parser: Box<JsonParser<Feeder>>, depth: usize },
    /// After the object, whose line has not ended.
    After,
}

/// Scans one line, or the lines of one indented object.
pub(super) struct Scanner(State);

impl Default for Scanner {
    fn default() -> Self {
        Self(State::Before)
    }
}

impl fmt::Debug for Scanner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            State::Before => "Before",
            State::Inside { .. } => "Inside",
            State::After => "After",
        })
    }
}

fn new_parser() -> Box<JsonParser<Feeder>> {
    let options = JsonParserOptionsBuilder::default().with_max_depth(MAX_DEPTH).build();
    Box::new(JsonParser::new_with_options(Feeder::default(), options))
}

impl Scanner {
    /// Scans the next byte.
    pub(super) fn scan(&mut self, byte: u8) -> Scanned {
        match &mut self.0 {
            State::Before if byte == b'\n' => Scanned::BlankLine,
            State::After if byte == b'\n' => Scanned::ObjectLine,
            State::Before | State::After if byte.is_ascii_whitespace() => Scanned::Incomplete,
            State::Before if byte == b'{' => {
                self.0 = State::Inside { parser: new_parser(), depth: 0 };
                self.scan_in_object(byte)
            }
            State::Inside { .. } => self.scan_in_object(byte),
            State::Before | State::After => Scanned::Invalid,
        }
    }

    fn scan_in_object(&mut self, byte: u8) -> Scanned {
        let State::Inside { parser, depth } = &mut self.0 else { return Scanned::Invalid };
        parser.feeder.0 = Some(byte);
        loop {
            match parser.next_event() {
                Ok(Some(JsonEvent::NeedMoreInput)) => return Scanned::Incomplete,
                Ok(Some(JsonEvent::StartObject | JsonEvent::StartArray)) => *depth += 1,
                Ok(Some(JsonEvent::EndObject | JsonEvent::EndArray)) => {
                    *depth -= 1;
                    if *depth == 0 {
                        self.0 = State::After;
                        return Scanned::Incomplete;
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return Scanned::Invalid,
            }
        }
    }
}
