//! RESP2: the commands of clients, the answers of peers, and what is written to both.

use crate::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, ProtoError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::Range;
use winnow::ascii::{crlf, dec_int};
use winnow::combinator::{alt, dispatch, fail, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Partial};
use winnow::token::{any, take, take_while};

/// Most words of a command; the longest that clients send has five.
const MAX_WORDS: i64 = 16;
/// Most bytes of a command's words other than its value.
const MAX_HEAD: usize = 4 * 1024;
/// Most bytes of a command, or of an answer's parts, together.
const MAX_MESSAGE: usize = MAX_BUFFERED_VALUE_BYTES + MAX_HEAD;
/// Longest line: a count, a length, a status or an error.
const MAX_LINE: usize = 512;

type Input<'a> = Partial<LocatingSlice<&'a [u8]>>;
type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// A command: its words, each a slice of the buffer it was read into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command(pub Vec<Bytes>);

/// One part of an answer, as a place in the message.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Part {
    Bulk(Range<usize>),
    Null,
    Line(Range<usize>),
}

/// What a peer answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The value or the write's receipt.
    Served(Bytes),
    /// The peer lacks the key; `pending` when it has told another request to fetch it.
    Miss {
        /// Another fetch of the key is out.
        pending: bool,
    },
    /// Turned away unseen.
    Busy,
    /// Failed; it may have run. The text is the peer's.
    Failed(Bytes),
    /// Served, with a large value that follows on the connection; behind it comes its [`ReplyTail`].
    Large {
        /// The value's length.
        length: usize,
        /// What follows it.
        tail: ReplyTail,
    },
}

/// What follows a large value: the end of its line, and so many parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyTail(usize);

fn number(input: &mut Input<'_>) -> Parsed<i64> {
    terminated(dec_int, crlf).parse_next(input)
}

/// The length of a bulk string after its `$`; `None` for the null one.
fn bulk_length(input: &mut Input<'_>) -> Parsed<Option<usize>> {
    let len = number.parse_next(input)?;
    if len == -1 {
        return Ok(None);
    }
    // Guards memory: a length is refused before any of its bytes are waited for.
    let len = usize::try_from(len).ok().filter(|&len| len <= MAX_VALUE_BYTES);
    len.map(Some).ok_or_else(|| ErrMode::Cut(ContextError::new()))
}

/// The bytes of a bulk string after its `$`; `None` for the null one.
fn bulk_body(input: &mut Input<'_>) -> Parsed<Option<Range<usize>>> {
    match bulk_length.parse_next(input)? {
        Some(len) => terminated(take(len).span(), crlf).map(Some).parse_next(input),
        None => Ok(None),
    }
}

fn word(input: &mut Input<'_>) -> Parsed<Range<usize>> {
    preceded(b'$', bulk_body).verify_map(|found| found).parse_next(input)
}

fn line(input: &mut Input<'_>) -> Parsed<Range<usize>> {
    terminated(take_while(0..MAX_LINE, |b| b != b'\r' && b != b'\n').span(), crlf).parse_next(input)
}

fn command(input: &mut Input<'_>) -> Parsed<Vec<Range<usize>>> {
    let words = preceded(b'*', number).verify(|n| (1..=MAX_WORDS).contains(n)).parse_next(input)?;
    repeat(words as usize, word).parse_next(input)
}

fn part(input: &mut Input<'_>) -> Parsed<Part> {
    dispatch! { any;
        b'$' => bulk_body.map(|found| found.map_or(Part::Null, Part::Bulk)),
        b'+' | b':' => line.map(Part::Line),
        _ => fail,
    }
    .parse_next(input)
}

enum Shape {
    Array(Vec<Part>),
    Error(Range<usize>),
}

fn answer(input: &mut Input<'_>) -> Parsed<Shape> {
    let array = preceded(b'*', number)
        .verify(|n| (1..=MAX_WORDS).contains(n))
        .flat_map(|n| repeat(n as usize, part))
        .map(Shape::Array);
    alt((array, preceded(b'-', line).map(Shape::Error))).parse_next(input)
}

/// The start of an array whose first part is a large value: how many parts it has, and the value's length.
fn large(input: &mut Input<'_>) -> Parsed<(usize, usize)> {
    let parts = preceded(b'*', number).verify(|n| (1..=MAX_WORDS).contains(n)).parse_next(input)?;
    let mut length =
        preceded(b'$', bulk_length).verify_map(|len| len.filter(|len| *len > MAX_BUFFERED_VALUE_BYTES));
    Ok((parts as usize, length.parse_next(input)?))
}

/// The end of a large value, and the parts behind it.
fn tail(parts: usize) -> impl FnMut(&mut Input<'_>) -> Parsed<()> {
    move |input| {
        crlf.void().parse_next(input)?;
        repeat::<_, _, (), _, _>(parts, part.void()).parse_next(input)
    }
}

/// The words of a command ahead of its last, and the length of that one, which may not have come.
fn last_word(input: &mut Input<'_>) -> Parsed<(Vec<Range<usize>>, usize)> {
    let words = preceded(b'*', number).verify(|n| (1..=MAX_WORDS).contains(n)).parse_next(input)?;
    let ahead = repeat(words as usize - 1, word).parse_next(input)?;
    let length = preceded(b'$', bulk_length).verify_map(|len| len).parse_next(input)?;
    Ok((ahead, length))
}

/// Runs a parser over what has been read: `None` while the message of at most so many bytes is not whole.
fn run<'a, T>(
    buffer: &'a [u8], most: usize, what: &'static str, mut parser: impl FnMut(&mut Input<'a>) -> Parsed<T>,
) -> Result<Option<(T, usize)>, ProtoError> {
    let mut input = Partial::new(LocatingSlice::new(buffer));
    match parser(&mut input) {
        Ok(found) => {
            let end = buffer.len() - input.len();
            if end > most { Err(ProtoError::TooLong(what)) } else { Ok(Some((found, end))) }
        }
        // Guards memory against a message that never ends.
        Err(ErrMode::Incomplete(_)) if buffer.len() > most => Err(ProtoError::TooLong(what)),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(ProtoError::Malformed(what)),
    }
}

/// Takes the next whole command off the buffer; `None` while it has not all come.
///
/// # Errors
/// When the bytes are no command; the connection cannot go on.
pub fn decode_command(buffer: &mut BytesMut) -> Result<Option<Command>, ProtoError> {
    command_of(buffer, MAX_MESSAGE)
}

fn command_of(buffer: &mut BytesMut, most: usize) -> Result<Option<Command>, ProtoError> {
    let Some((words, end)) = run(buffer, most, "command", command)? else { return Ok(None) };
    let message = buffer.split_to(end).freeze();
    Ok(Some(Command(words.into_iter().map(|at| message.slice(at)).collect())))
}

/// Takes the next command off the buffer, which may end with a large value, once it has all come.
///
/// # Errors
/// When the bytes are no command; the connection cannot go on.
pub fn decode_large_command(buffer: &mut BytesMut) -> Result<Option<Command>, ProtoError> {
    command_of(buffer, MAX_HEAD + MAX_VALUE_BYTES)
}

/// A command of which everything has come but its last word.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialCommand {
    /// The words ahead of the last.
    pub words: Command,
    /// Bytes of the whole command, as it states them.
    pub bytes: usize,
    /// Whether the last word is large.
    pub large: bool,
}

/// What is known of a command that is not whole: `None` while that is less than the length of its last word.
///
/// # Errors
/// When the bytes are no command; the connection cannot go on.
pub fn partial_command(buffer: &[u8]) -> Result<Option<PartialCommand>, ProtoError> {
    let Some(((words, length), end)) = run(buffer, MAX_HEAD + MAX_VALUE_BYTES, "command", last_word)? else {
        return Ok(None);
    };
    let words = Command(words.into_iter().map(|at| Bytes::copy_from_slice(&buffer[at])).collect());
    Ok(Some(PartialCommand { words, bytes: end + length + 2, large: length > MAX_BUFFERED_VALUE_BYTES }))
}

/// Takes a peer's next whole answer off the buffer; `None` while it has not all come.
///
/// # Errors
/// When the bytes are no answer; the connection cannot go on.
pub fn decode_reply(buffer: &mut BytesMut) -> Result<Option<Reply>, ProtoError> {
    let whole = if buffer.len() > MAX_BUFFERED_VALUE_BYTES {
        None
    } else {
        run(buffer, MAX_MESSAGE, "answer", answer)?
    };
    let Some((shape, end)) = whole else {
        if let Ok(Some(((parts, length), end))) = run(buffer, usize::MAX, "answer", large) {
            buffer.advance(end);
            return Ok(Some(Reply::Large { length, tail: ReplyTail(parts - 1) }));
        }
        return match run(buffer, MAX_MESSAGE, "answer", answer)? {
            Some((shape, end)) => answer_of(buffer, shape, end).map(Some),
            None => Ok(None),
        };
    };
    answer_of(buffer, shape, end).map(Some)
}

fn answer_of(buffer: &mut BytesMut, shape: Shape, end: usize) -> Result<Reply, ProtoError> {
    let message = buffer.split_to(end).freeze();
    Ok(match shape {
        Shape::Error(at) => {
            let text = message.slice(at);
            let busy = text.strip_prefix(b"BUSY").is_some_and(|rest| rest.first().is_none_or(|b| *b == b' '));
            if busy { Reply::Busy } else { Reply::Failed(text) }
        }
        Shape::Array(parts) => match &parts[0] {
            Part::Bulk(at) => Reply::Served(message.slice(at.clone())),
            Part::Null => {
                let note = parts.get(1).map(|part| match part {
                    Part::Bulk(at) | Part::Line(at) => &message[at.clone()],
                    Part::Null => &[],
                });
                Reply::Miss { pending: note == Some(b"pending") }
            }
            Part::Line(_) => return Err(ProtoError::Malformed("answer")),
        },
    })
}

/// Takes what follows a large value off the buffer; `None` while it has not all come.
///
/// # Errors
/// When the bytes are nothing of the kind; the connection cannot go on.
pub fn decode_reply_tail(
    buffer: &mut BytesMut, ReplyTail(parts): ReplyTail,
) -> Result<Option<()>, ProtoError> {
    let Some(((), end)) = run(buffer, MAX_MESSAGE, "answer", tail(parts))? else { return Ok(None) };
    buffer.advance(end);
    Ok(Some(()))
}

/// A decimal number and a line end, without formatting machinery.
fn put_count(out: &mut BytesMut, sign: u8, n: usize) {
    out.put_u8(sign);
    out.put_slice(n.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

/// Appends what goes ahead of the bytes of a bulk string; a line end goes behind them.
pub fn encode_bulk_header(out: &mut BytesMut, length: usize) {
    put_count(out, b'$', length);
}

/// Appends one bulk string.
pub fn encode_bulk(out: &mut BytesMut, bytes: &[u8]) {
    out.reserve(bytes.len() + 16);
    put_count(out, b'$', bytes.len());
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}

/// Appends a command of these words.
pub fn encode_command(out: &mut BytesMut, words: &[&[u8]]) {
    put_count(out, b'*', words.len());
    for word in words {
        encode_bulk(out, word);
    }
}
