//! Decodes responses incrementally, which includes the response of a watch, whose body never ends.

use super::head::{self, BodyFraming, ResponseHead};
use super::parse::{
    Input, MAX_HEADERS, ParseResult, Parsed, Prefix, checked_header_length, parse_prefix, parse_single_line,
};
use crate::{MAX_BUFFERED_VALUE_BYTES, ProtoError};
use bytes::{Bytes, BytesMut};
use winnow::Parser;
use winnow::ascii::{crlf, hex_uint};
use winnow::token::take_till;

/// The most bytes of a head, or of a trailer.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most interim responses (1xx) before a final one.
const MAX_INTERIM: usize = 8;
/// The most bytes of the line before a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The length in bytes of the line end after a chunk.
const LINE_END_BYTES: usize = 2;
/// The lowest status of a final response; lower ones are interim responses.
const FIRST_FINAL_STATUS: u16 = 200;

/// The position of the decoder in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Before or inside the head.
    Head,
    /// Before a body of this length.
    Length(usize),
    /// Before or inside the line before a chunk.
    ChunkLine,
    /// Inside a chunk, with this many bytes left.
    Chunk(usize),
    /// Before the line end after a chunk.
    ChunkEnd,
    /// After the last chunk, before the end of the trailer.
    Trailer,
    /// Inside a body that ends with the connection.
    UntilClose,
}

/// A decoded piece of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyEvent {
    /// The head of a response.
    Head(ResponseHead),
    /// A piece of the body, as a slice of the buffer that it was read into.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// The result of one step of the decoder.
enum Progress {
    /// A piece was decoded.
    Event(BodyEvent),
    /// The state has changed; the next step may decode a piece.
    Continue,
    /// More bytes are needed.
    NeedMore,
}

/// An incremental decoder of responses.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
    interim_responses: usize,
    pub(super) max_length: usize,
}

impl Default for Decoder {
    fn default() -> Self {
        Self { state: State::Head, interim_responses: 0, max_length: MAX_BUFFERED_VALUE_BYTES }
    }
}

impl Decoder {
    /// Creates a decoder that rejects a body whose stated length is more than `max_length` bytes.
    #[must_use]
    pub fn new(max_length: usize) -> Self {
        Self { max_length, ..Self::default() }
    }

    /// Removes the next piece from the buffer; `None` while more bytes are needed.
    ///
    /// # Errors
    /// When the bytes are not a valid response; the connection cannot be used any more.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<BodyEvent>, ProtoError> {
        loop {
            match self.step(buffer)? {
                Progress::Event(event) => return Ok(Some(event)),
                Progress::Continue => {}
                Progress::NeedMore => return Ok(None),
            }
        }
    }

    /// Handles the end of the connection by a FIN, not by a reset. Returns the end of the body if the body ends with
    /// the connection.
    pub fn ended(&mut self) -> Option<BodyEvent> {
        (self.state == State::UntilClose).then(|| {
            self.state = State::Head;
            BodyEvent::End
        })
    }

    fn step(&mut self, buffer: &mut BytesMut) -> Result<Progress, ProtoError> {
        match self.state {
            State::Head => self.decode_head(buffer),
            State::Length(length) => Ok(self.decode_body(buffer, length)),
            State::ChunkLine => self.decode_chunk_line(buffer),
            State::Chunk(length) => Ok(self.decode_chunk(buffer, length)),
            State::ChunkEnd => self.decode_chunk_end(buffer),
            State::Trailer => self.decode_trailer(buffer),
            State::UntilClose if buffer.is_empty() => Ok(Progress::NeedMore),
            State::UntilClose => Ok(Progress::Event(BodyEvent::Data(buffer.split().freeze()))),
        }
    }

    fn decode_head(&mut self, buffer: &mut BytesMut) -> Result<Progress, ProtoError> {
        let Some(head) = parse_prefix(buffer, MAX_HEAD_BYTES, "head", head::parse)? else {
            return Ok(Progress::NeedMore);
        };
        if head.status < FIRST_FINAL_STATUS {
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM {
                return Err(ProtoError::TooLong("run of interim answers"));
            }
            return Ok(Progress::Continue);
        }
        self.interim_responses = 0;
        self.state = match head.body {
            BodyFraming::Length(length) if length > self.max_length => {
                return Err(ProtoError::TooLong("body"));
            }
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::Chunked => State::ChunkLine,
            BodyFraming::UntilClose => State::UntilClose,
        };
        Ok(Progress::Event(BodyEvent::Head(head)))
    }

    /// Decodes a body of a known length. Most bodies are small, so the whole body is awaited and returned as one slice.
    fn decode_body(&mut self, buffer: &mut BytesMut, length: usize) -> Progress {
        if length == 0 {
            self.state = State::Head;
            return Progress::Event(BodyEvent::End);
        }
        if buffer.len() < length {
            return Progress::NeedMore;
        }
        self.state = State::Length(0);
        Progress::Event(BodyEvent::Data(buffer.split_to(length).freeze()))
    }

    fn decode_chunk_line(&mut self, buffer: &mut BytesMut) -> Result<Progress, ProtoError> {
        let parse = |text: &[u8]| parse_single_line(text, chunk_line);
        let Some(length) = parse_prefix(buffer, MAX_CHUNK_LINE_BYTES, "chunk", parse)? else {
            return Ok(Progress::NeedMore);
        };
        self.state = if length == 0 { State::Trailer } else { State::Chunk(length) };
        Ok(Progress::Continue)
    }

    fn decode_chunk(&mut self, buffer: &mut BytesMut, length: usize) -> Progress {
        if buffer.is_empty() {
            return Progress::NeedMore;
        }
        let data = buffer.split_to(length.min(buffer.len())).freeze();
        let left = length - data.len();
        self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
        Progress::Event(BodyEvent::Data(data))
    }

    fn decode_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<Progress, ProtoError> {
        let parse = |text: &[u8]| parse_single_line(text, |input| crlf.void().parse_next(input));
        if parse_prefix(buffer, LINE_END_BYTES, "chunk", parse)?.is_none() {
            return Ok(Progress::NeedMore);
        }
        self.state = State::ChunkLine;
        Ok(Progress::Continue)
    }

    fn decode_trailer(&mut self, buffer: &mut BytesMut) -> Result<Progress, ProtoError> {
        if parse_prefix(buffer, MAX_HEAD_BYTES, "trailer", trailer)?.is_none() {
            return Ok(Progress::NeedMore);
        }
        self.state = State::Head;
        Ok(Progress::Event(BodyEvent::End))
    }
}

/// Parses the line before a chunk: its length, and extensions, which are ignored. This does not use httparse, which
/// accepts a line without digits as the length 0, that is, as the last chunk.
fn chunk_line(input: &mut Input<'_>) -> Parsed<usize> {
    let length: u32 = hex_uint.parse_next(input)?;
    (take_till(0.., (b'\r', b'\n')), crlf).void().parse_next(input)?;
    Ok(length as usize)
}

/// Parses the trailer of a chunked body: header lines, then an empty line.
fn trailer(text: &[u8]) -> ParseResult<()> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = httparse::parse_headers(text, &mut headers);
    let length = checked_header_length(text, parsed, |(length, _)| length)?;
    Ok(length.map(|length| Prefix { value: (), length }))
}
