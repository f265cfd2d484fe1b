//! The client's side of HTTP/1.1, as far as the origin and discovery need it.

use crate::{MAX_BUFFERED_VALUE_BYTES, ProtoError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use httparse::{Header, ParserConfig, Response, Status};
use memchr::memchr_iter;
use std::mem::MaybeUninit;
use winnow::ascii::{crlf, hex_uint};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Partial;
use winnow::token::take_till;

/// Most bytes of an answer's head.
const MAX_HEAD: usize = 16 * 1024;
/// Most lines of a head, beside its first, and of a trailer; real ones have some ten.
const MAX_HEADERS: usize = 63;
/// Most interim answers ahead of one.
const MAX_INTERIM: usize = 8;
/// Most bytes of the line before a chunk.
const MAX_CHUNK_LINE: usize = 256;

type Input<'a> = Partial<&'a [u8]>;
type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// What the head of an answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// `Srv-Declined: 1`: the request never ran.
    pub declined: bool,
    /// The connection stays open after this answer.
    pub keep: bool,
    body: Body,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    Length(usize),
    Chunked,
    UntilEnd,
}

impl ResponseHead {
    /// The length of the body, where it is stated and more than is read as one message.
    #[must_use]
    pub fn large(&self) -> Option<usize> {
        match self.body {
            Body::Length(n) if n > MAX_BUFFERED_VALUE_BYTES => Some(n),
            _ => None,
        }
    }
}

/// Where the decoder is in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Head,
    Length(usize),
    ChunkLine,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    UntilEnd,
}

/// What the decoder found next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyEvent {
    /// The head of an answer.
    Head(ResponseHead),
    /// A part of the body, a slice of the buffer it was read into.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Decodes answers piece by piece, so that a watch that never ends can be followed as well.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
    interim: usize,
    max_length: usize,
}

impl Default for Decoder {
    fn default() -> Self {
        Self { state: State::Head, interim: 0, max_length: MAX_BUFFERED_VALUE_BYTES }
    }
}

/// Bytes that are on nobody's terms.
struct Unusable;

/// What a parser makes of the buffer's start: what it found and how many bytes that took, or `None` while more are needed.
type Step<T> = Result<Option<(T, usize)>, Unusable>;

/// Whether each line ends as it must. Guards against a bare line feed, which httparse takes for the end of a line as well:
/// whoever stands between us and the peer may not, and would see other headers than we do.
fn ends_of_lines_are_whole(text: &[u8]) -> bool {
    memchr_iter(b'\n', text).all(|at| at > 0 && text[at - 1] == b'\r')
}

/// The length of lines that end with an empty one, as httparse found them; `None` while more bytes are needed.
fn lines<T>(
    text: &[u8], parsed: httparse::Result<T>, length: impl Fn(T) -> usize,
) -> Result<Option<usize>, Unusable> {
    let used = match parsed.map_err(|_| Unusable)? {
        Status::Complete(found) => Some(length(found)),
        Status::Partial => None,
    };
    if ends_of_lines_are_whole(&text[..used.unwrap_or(text.len())]) { Ok(used) } else { Err(Unusable) }
}

fn head(text: &[u8]) -> Step<ResponseHead> {
    // Guards against bytes ahead of an answer: httparse passes over empty lines there.
    if text.first().is_some_and(|byte| *byte != b'H') {
        return Err(Unusable);
    }
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut answer = Response::new(&mut []);
    let parsed = ParserConfig::default().parse_response_with_uninit_headers(&mut answer, text, &mut headers);
    // A status that is none is refused before the rest of its head has come.
    if answer.code.is_some_and(|code| !(100..600).contains(&code)) {
        return Err(Unusable);
    }
    let Some(used) = lines(text, parsed, |used| used)? else { return Ok(None) };
    Ok(Some((meaning(&answer)?, used)))
}

fn meaning(answer: &Response<'_, '_>) -> Result<ResponseHead, Unusable> {
    let status = answer.code.ok_or(Unusable)?;
    let keep = answer.version == Some(1);
    let mut found = ResponseHead { status, declined: false, keep, body: Body::Length(0) };
    let (mut length, mut ends) = (None, false);
    for Header { name, value } in answer.headers.iter() {
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            // Two lengths that differ would let one answer be read as two.
            if text.is_none() || length.is_some_and(|n| Some(n) != text) {
                return Err(Unusable);
            }
            length = text;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Unusable);
            }
            found.body = Body::Chunked;
        } else if name.eq_ignore_ascii_case("connection") {
            ends |= value.eq_ignore_ascii_case(b"close");
        } else if name.eq_ignore_ascii_case("srv-declined") {
            found.declined = *value == b"1";
        }
    }
    found.keep &= !ends;
    // Guards good answers that come behind interim ones (1xx): those state no length, since they have no body.
    let bodiless = status < 200 || status == 204 || status == 304;
    if bodiless {
        found.body = Body::Length(0);
    } else if found.body != Body::Chunked {
        found.body = match length {
            Some(length) => Body::Length(length),
            // It ends with its connection, and says so. The age of its version alone does not.
            None if ends => Body::UntilEnd,
            // Any other without a stated end cannot be told from a broken one.
            None => return Err(Unusable),
        };
    }
    Ok(found)
}

fn chunk_line(input: &mut Input<'_>) -> Parsed<usize> {
    let size: u32 = hex_uint.parse_next(input)?;
    (take_till(0.., (b'\r', b'\n')), crlf).void().parse_next(input)?;
    Ok(size as usize)
}

/// The end of a chunked body: its trailer lines, then an empty one.
fn trailer(text: &[u8]) -> Step<()> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = httparse::parse_headers(text, &mut headers);
    Ok(lines(text, parsed, |(used, _)| used)?.map(|used| ((), used)))
}

/// Runs a parser of a single line. The size of a chunk is not httparse's: it takes no digits at all for 0, the last chunk.
fn line<T>(text: &[u8], parser: impl Fn(&mut Input<'_>) -> Parsed<T>) -> Step<T> {
    let mut input = Partial::new(text);
    match parser(&mut input) {
        Ok(found) => Ok(Some((found, text.len() - input.len()))),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Unusable),
    }
}

/// Runs a parser over the buffer's start and takes what it used.
fn take<T>(
    buffer: &mut BytesMut, most: usize, what: &'static str, parser: impl FnOnce(&[u8]) -> Step<T>,
) -> Result<Option<T>, ProtoError> {
    match parser(buffer) {
        Ok(Some((found, used))) => {
            buffer.advance(used);
            Ok(Some(found))
        }
        Ok(None) if buffer.len() > most => Err(ProtoError::TooLong(what)),
        Ok(None) => Ok(None),
        Err(Unusable) => Err(ProtoError::Malformed(what)),
    }
}

impl Decoder {
    /// A decoder for bodies of up to `max_length` bytes where they state a length.
    #[must_use]
    pub fn new(max_length: usize) -> Self {
        Self { max_length, ..Self::default() }
    }

    /// Takes the next piece off the buffer; `None` while more bytes are needed.
    ///
    /// # Errors
    /// When the bytes are no answer; the connection cannot go on.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<BodyEvent>, ProtoError> {
        loop {
            match self.state {
                State::Head => {
                    let Some(head) = take(buffer, MAX_HEAD, "head", head)? else { return Ok(None) };
                    if head.status < 200 {
                        // An interim answer: the real one follows, but not after any number of them.
                        self.interim += 1;
                        if self.interim > MAX_INTERIM {
                            return Err(ProtoError::TooLong("run of interim answers"));
                        }
                        continue;
                    }
                    self.interim = 0;
                    self.state = match head.body {
                        Body::Length(n) if n > self.max_length => return Err(ProtoError::TooLong("body")),
                        Body::Length(n) => State::Length(n),
                        Body::Chunked => State::ChunkLine,
                        Body::UntilEnd => State::UntilEnd,
                    };
                    return Ok(Some(BodyEvent::Head(head)));
                }
                State::Length(0) => {
                    self.state = State::Head;
                    return Ok(Some(BodyEvent::End));
                }
                // Most are small: waited for and given as one slice.
                State::Length(n) if buffer.len() < n => return Ok(None),
                State::Length(n) => {
                    self.state = State::Length(0);
                    return Ok(Some(BodyEvent::Data(buffer.split_to(n).freeze())));
                }
                State::ChunkLine => {
                    let Some(n) = take(buffer, MAX_CHUNK_LINE, "chunk", |text| line(text, chunk_line))?
                    else {
                        return Ok(None);
                    };
                    self.state = if n == 0 { State::Trailer } else { State::Chunk(n) };
                }
                State::Chunk(_) if buffer.is_empty() => return Ok(None),
                State::Chunk(n) => {
                    let part = buffer.split_to(n.min(buffer.len())).freeze();
                    let left = n - part.len();
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Some(BodyEvent::Data(part)));
                }
                State::UntilEnd if buffer.is_empty() => return Ok(None),
                State::UntilEnd => return Ok(Some(BodyEvent::Data(buffer.split().freeze()))),
                State::ChunkEnd => {
                    if take(buffer, 2, "chunk", |text| line(text, |input| crlf.void().parse_next(input)))?
                        .is_none()
                    {
                        return Ok(None);
                    }
                    self.state = State::ChunkLine;
                }
                State::Trailer => {
                    if take(buffer, MAX_HEAD, "trailer", trailer)?.is_none() {
                        return Ok(None);
                    }
                    self.state = State::Head;
                    return Ok(Some(BodyEvent::End));
                }
            }
        }
    }
}

impl Decoder {
    /// The connection has ended, after a whole message of TCP and not by a reset: whether that ends the body.
    pub fn ended(&mut self) -> Option<BodyEvent> {
        (self.state == State::UntilEnd).then(|| {
            self.state = State::Head;
            BodyEvent::End
        })
    }
}

/// Gathers the pieces of one answer with a body of bounded size.
#[derive(Debug, Default)]
pub struct ResponseReader {
    decoder: Decoder,
    head: Option<ResponseHead>,
    first: Bytes,
    more: BytesMut,
}

impl ResponseReader {
    /// Gathers an answer whose body has at most `max` bytes.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { decoder: Decoder::new(max), ..Self::default() }
    }

    /// The answer once it is whole; `None` while more bytes are needed. One slice is passed on uncopied.
    ///
    /// # Errors
    /// When the bytes are no answer, or its body is too long.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<(ResponseHead, Bytes)>, ProtoError> {
        while let Some(piece) = self.decoder.next(buffer)? {
            match piece {
                BodyEvent::Head(head) => self.head = Some(head),
                BodyEvent::Data(part) => {
                    if self.first.len() + self.more.len() + part.len() > self.decoder.max_length {
                        return Err(ProtoError::TooLong("body"));
                    }
                    match self.first.is_empty() {
                        true => self.first = part,
                        false => self.more.put_slice(&part),
                    }
                }
                BodyEvent::End => {
                    let first = std::mem::take(&mut self.first);
                    let body = if self.more.is_empty() {
                        first
                    } else {
                        [&first[..], &self.more.split()[..]].concat().into()
                    };
                    return Ok(self.head.take().map(|head| (head, body)));
                }
            }
        }
        Ok(None)
    }
}

/// Writes the head of a request; the body, if any, follows as it is.
#[must_use]
pub fn encode_request(method: &str, path: &[u8], host: &str, headers: &[(&str, &[u8])]) -> BytesMut {
    let mut out = BytesMut::with_capacity(256);
    for part in [method.as_bytes(), b" ", path, b" HTTP/1.1\r\nHost: ", host.as_bytes(), b"\r\n"] {
        out.put_slice(part);
    }
    for (name, value) in headers {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            out.put_slice(part);
        }
    }
    out.put_slice(b"\r\n");
    out
}
