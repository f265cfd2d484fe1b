//! Finds the end of a JSON object that comes byte by byte, and what cannot become one.

use actson::feeder::JsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};
use std::fmt;

/// How deep objects and arrays may lie in one another; those of a list lie three deep.
const MOST_DEEP: usize = 16;

/// What a byte has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scanned {
    /// More is to come.
    GoesOn,
    /// It ends a line on which nothing stands.
    Blank,
    /// It ends the line on which an object has ended.
    Object,
    /// It cannot stand there.
    Wrong,
}

/// Gives the parser the one byte that has come.
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

/// Where the scan is.
enum State {
    /// Nothing but white space has come.
    Before,
    /// In an object.
    Inside { parser: Box<JsonParser<Feeder>>, depth: usize },
    /// The object has ended, its line has not.
    Behind,
}

/// A scan for one line.
pub(super) struct Scan(State);

impl Default for Scan {
    fn default() -> Self {
        Self(State::Before)
    }
}

impl fmt::Debug for Scan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            State::Before => "Before",
            State::Inside { .. } => "Inside",
            State::Behind => "Behind",
        })
    }
}

fn parser() -> Box<JsonParser<Feeder>> {
    let options = JsonParserOptionsBuilder::default().with_max_depth(MOST_DEEP).build();
    Box::new(JsonParser::new_with_options(Feeder::default(), options))
}

impl Scan {
    /// Takes in the next byte.
    pub(super) fn byte(&mut self, byte: u8) -> Scanned {
        match &mut self.0 {
            State::Before if byte == b'\n' => Scanned::Blank,
            State::Behind if byte == b'\n' => Scanned::Object,
            State::Before | State::Behind if byte.is_ascii_whitespace() => Scanned::GoesOn,
            State::Before if byte == b'{' => {
                self.0 = State::Inside { parser: parser(), depth: 0 };
                self.inside(byte)
            }
            State::Inside { .. } => self.inside(byte),
            State::Before | State::Behind => Scanned::Wrong,
        }
    }

    fn inside(&mut self, byte: u8) -> Scanned {
        let State::Inside { parser, depth } = &mut self.0 else { return Scanned::Wrong };
        parser.feeder.0 = Some(byte);
        loop {
            match parser.next_event() {
                Ok(Some(JsonEvent::NeedMoreInput)) => return Scanned::GoesOn,
                Ok(Some(JsonEvent::StartObject | JsonEvent::StartArray)) => *depth += 1,
                Ok(Some(JsonEvent::EndObject | JsonEvent::EndArray)) => {
                    *depth -= 1;
                    if *depth == 0 {
                        self.0 = State::Behind;
                        return Scanned::GoesOn;
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return Scanned::Wrong,
            }
        }
    }
}
