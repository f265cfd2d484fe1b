//! Scans a JSON object byte by byte as it arrives, to find its end and invalid bytes.

use actson::feeder::JsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};
use std::fmt;

/// The deepest nesting of objects and arrays; an endpoint list has a depth of three.
const MAX_DEPTH: usize = 16;

/// The state of a line after a byte was scanned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scanned {
    /// The line is incomplete.
    Incomplete,
    /// The line is complete and blank.
    BlankLine,
    /// The line is complete and contains an object.
    ObjectLine,
    /// The byte is invalid at this position.
    Invalid,
}

/// Feeds bytes to the parser one at a time.
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

/// The position of the scanner in a line.
enum State {
    /// Before the object: only white space was scanned.
    Before,
    /// Inside the object.
    Inside { parser: Box<JsonParser<Feeder>>, depth: usize },
    /// After the object, before the end of its line.
    After,
}

/// Scans one line, or the lines of one indented object, byte by byte.
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
