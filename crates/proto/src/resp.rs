//! RESP2: decodes the commands of clients and the replies of endpoints, and encodes commands and replies.

use crate::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, ProtoError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::Range;
use winnow::Parser;
use winnow::ascii::{crlf, dec_int};
use winnow::combinator::{alt, dispatch, fail, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Partial};
use winnow::token::{any, take, take_while};

/// The most words of a command, or parts of a reply. The longest command that clients send has five words.
const MAX_WORDS: i64 = 16;
/// The most bytes of a command's words other than its value.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// The most bytes of a command, or of a reply, without a large value.
const MAX_MESSAGE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + MAX_HEAD_BYTES;
/// The most bytes of a command with a large value.
const MAX_LARGE_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + MAX_HEAD_BYTES;
/// The most bytes of a line: a count, a length, a status or an error.
const MAX_LINE_BYTES: usize = 512;

type Input<'a> = Partial<LocatingSlice<&'a [u8]>>;
type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// The words of a command, each a slice of the buffer that the command was read into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command(pub Vec<Bytes>);

/// One part of a reply, as a range of bytes in the message.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Part {
    Bulk(Range<usize>),
    Null,
    Line(Range<usize>),
}

/// The reply of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The value of a read, or the confirmation of a write.
    Served(Bytes),
    /// The endpoint does not have the key.
    Miss {
        /// Whether the endpoint has instructed another request to fetch the key.
        pending: bool,
    },
    /// The request was rejected and did not run.
    Busy,
    /// The request failed and may have run. Contains the error text of the endpoint.
    Failed(Bytes),
    /// The start of a reply with a large value. The value and its line end follow on the connection, and then the
    /// [`ReplyTail`].
    Large {
        /// The length of the value.
        length: usize,
        /// The part of the reply that follows the line end of the value.
        tail: ReplyTail,
    },
}

/// The part of a reply that follows a large value and its line end: this many parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyTail(usize);

fn number(input: &mut Input<'_>) -> Parsed<i64> {
    terminated(dec_int, crlf).parse_next(input)
}

/// Parses the length of a bulk string after its `$`; returns `None` for the null bulk string.
fn bulk_length(input: &mut Input<'_>) -> Parsed<Option<usize>> {
    let len = number.parse_next(input)?;
    if len == -1 {
        return Ok(None);
    }
    // Protects memory: a length that is too large is rejected before its bytes are awaited.
    let len = usize::try_from(len).ok().filter(|&len| len <= MAX_VALUE_BYTES);
    len.map(Some).ok_or_else(|| ErrMode::Cut(ContextError::new()))
}

/// Parses a bulk string after its `$`; returns `None` for the null bulk string.
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
    terminated(take_while(0..MAX_LINE_BYTES, |b| b != b'\r' && b != b'\n').span(), crlf).parse_next(input)
}

fn command_words(input: &mut Input<'_>) -> Parsed<Vec<Range<usize>>> {
    let words = preceded(b'*', number).verify(|count| (1..=MAX_WORDS).contains(count)).parse_next(input)?;
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

/// A parsed reply, with its texts as ranges of bytes in the message.
enum ReplyShape {
    Array(Vec<Part>),
    Error(Range<usize>),
}

fn reply(input: &mut Input<'_>) -> Parsed<ReplyShape> {
    let array = preceded(b'*', number)
        .verify(|count| (1..=MAX_WORDS).contains(count))
        .flat_map(|count| repeat(count as usize, part))
        .map(ReplyShape::Array);
    alt((array, preceded(b'-', line).map(ReplyShape::Error))).parse_next(input)
}

/// Parses the start of a reply whose first part is a large value: the number of parts, and the value's length.
fn large_reply(input: &mut Input<'_>) -> Parsed<(usize, usize)> {
    let parts = preceded(b'*', number).verify(|count| (1..=MAX_WORDS).contains(count)).parse_next(input)?;
    let mut length =
        preceded(b'$', bulk_length).verify_map(|len| len.filter(|len| *len > MAX_BUFFERED_VALUE_BYTES));
    Ok((parts as usize, length.parse_next(input)?))
}

/// Parses the start of a reply whose first part is a value, and returns the length of the value.
fn value_length(input: &mut Input<'_>) -> Parsed<usize> {
    let _parts = preceded(b'*', number).parse_next(input)?;
    preceded(b'$', bulk_length).verify_map(|length| length).parse_next(input)
}

/// Returns how many bytes an incomplete reply has up to the end of its value, if it has one whose length has arrived.
#[must_use]
pub fn value_end(buffer: &[u8]) -> Option<usize> {
    let (length, start) = parse(buffer, usize::MAX, "answer", value_length).ok()??;
    Some(start + length)
}

/// Parses the parts of a reply that follow a large value.
fn reply_tail(parts: usize) -> impl FnMut(&mut Input<'_>) -> Parsed<()> {
    move |input| repeat::<_, _, (), _, _>(parts, part.void()).parse_next(input)
}

/// Parses all words of a command but the last, and the length of the last word, which may not have arrived.
fn partial_words(input: &mut Input<'_>) -> Parsed<(Vec<Range<usize>>, usize)> {
    let words = preceded(b'*', number).verify(|count| (1..=MAX_WORDS).contains(count)).parse_next(input)?;
    let before = repeat(words as usize - 1, word).parse_next(input)?;
    let length = preceded(b'$', bulk_length).verify_map(|len| len).parse_next(input)?;
    Ok((before, length))
}

/// Runs a parser over the buffer. Returns the result and the number of bytes parsed, or `None` while the message is
/// incomplete. The message may have at most `max_bytes`; `what` names it in errors.
fn parse<'a, T>(
    buffer: &'a [u8], max_bytes: usize, what: &'static str,
    mut parser: impl FnMut(&mut Input<'a>) -> Parsed<T>,
) -> Result<Option<(T, usize)>, ProtoError> {
    let mut input = Partial::new(LocatingSlice::new(buffer));
    match parser(&mut input) {
        Ok(found) => {
            let end = buffer.len() - input.len();
            if end > max_bytes { Err(ProtoError::TooLong(what)) } else { Ok(Some((found, end))) }
        }
        // Protects memory from a message that never ends.
        Err(ErrMode::Incomplete(_)) if buffer.len() > max_bytes => Err(ProtoError::TooLong(what)),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(ProtoError::Malformed(what)),
    }
}

/// Removes the next command from the buffer; `None` while it is incomplete.
///
/// # Errors
/// When the bytes are not a valid command; the connection cannot be used any more.
pub fn decode_command(buffer: &mut BytesMut) -> Result<Option<Command>, ProtoError> {
    take_command(buffer, MAX_MESSAGE_BYTES)
}

fn take_command(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Command>, ProtoError> {
    let Some((words, end)) = parse(buffer, max_bytes, "command", command_words)? else { return Ok(None) };
    let message = buffer.split_to(end).freeze();
    Ok(Some(Command(words.into_iter().map(|at| message.slice(at)).collect())))
}

/// Removes the next command, which may end with a large value, from the buffer; `None` while it is incomplete.
///
/// # Errors
/// When the bytes are not a valid command; the connection cannot be used any more.
pub fn decode_large_command(buffer: &mut BytesMut) -> Result<Option<Command>, ProtoError> {
    take_command(buffer, MAX_LARGE_MESSAGE_BYTES)
}

/// A command of which all words but the last have arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialCommand {
    /// The words before the last.
    pub words: Command,
    /// The length of the complete command in bytes, from the stated length of its last word.
    pub bytes: usize,
    /// Whether the last word is large.
    pub large: bool,
}

/// Parses the start of an incomplete command; `None` while the length of its last word is unknown.
///
/// # Errors
/// When the bytes are not a valid command; the connection cannot be used any more.
pub fn parse_partial_command(buffer: &[u8]) -> Result<Option<PartialCommand>, ProtoError> {
    let Some(((words, length), end)) = parse(buffer, MAX_HEAD_BYTES, "command", partial_words)? else {
        return Ok(None);
    };
    let words = Command(words.into_iter().map(|at| Bytes::copy_from_slice(&buffer[at])).collect());
    Ok(Some(PartialCommand { words, bytes: end + length + 2, large: length > MAX_BUFFERED_VALUE_BYTES }))
}

/// Removes the next reply from the buffer; `None` while it is incomplete. If the reply has a large value, only the
/// start before the value is removed.
///
/// # Errors
/// When the bytes are not a valid reply; the connection cannot be used any more.
pub fn decode_reply(buffer: &mut BytesMut) -> Result<Option<Reply>, ProtoError> {
    if buffer.len() <= MAX_BUFFERED_VALUE_BYTES
        && let Some((shape, end)) = parse(buffer, MAX_MESSAGE_BYTES, "answer", reply)?
    {
        return take_reply(buffer, shape, end).map(Some);
    }
    if let Ok(Some(((parts, length), end))) = parse(buffer, usize::MAX, "answer", large_reply) {
        buffer.advance(end);
        return Ok(Some(Reply::Large { length, tail: ReplyTail(parts - 1) }));
    }
    match parse(buffer, MAX_MESSAGE_BYTES, "answer", reply)? {
        Some((shape, end)) => take_reply(buffer, shape, end).map(Some),
        None => Ok(None),
    }
}

fn take_reply(buffer: &mut BytesMut, shape: ReplyShape, end: usize) -> Result<Reply, ProtoError> {
    let message = buffer.split_to(end).freeze();
    Ok(match shape {
        ReplyShape::Error(at) => {
            let text = message.slice(at);
            let is_busy =
                text.strip_prefix(b"BUSY").is_some_and(|rest| rest.first().is_none_or(|b| *b == b' '));
            if is_busy { Reply::Busy } else { Reply::Failed(text) }
        }
        ReplyShape::Array(parts) => match &parts[0] {
            Part::Bulk(at) => Reply::Served(message.slice(at.clone())),
            Part::Null => {
                let reason = parts.get(1).map(|part| match part {
                    Part::Bulk(at) | Part::Line(at) => &message[at.clone()],
                    Part::Null => &[],
                });
                Reply::Miss { pending: reason == Some(b"pending") }
            }
            Part::Line(_) => return Err(ProtoError::Malformed("answer")),
        },
    })
}

/// Removes the line end of a large value from the buffer; `None` while it is incomplete.
///
/// # Errors
/// When the bytes are not a line end: the stated length of the value is wrong.
pub fn decode_value_end(buffer: &mut BytesMut) -> Result<Option<()>, ProtoError> {
    let Some((_, end)) = parse(buffer, MAX_MESSAGE_BYTES, "answer", |input| crlf.parse_next(input))? else {
        return Ok(None);
    };
    buffer.advance(end);
    Ok(Some(()))
}

/// Removes the part of a reply that follows a large value and its line end from the buffer; `None` while it is
/// incomplete.
///
/// # Errors
/// When the bytes are not such a part; the connection cannot be used any more.
pub fn decode_reply_tail(
    buffer: &mut BytesMut, ReplyTail(parts): ReplyTail,
) -> Result<Option<()>, ProtoError> {
    let Some(((), end)) = parse(buffer, MAX_MESSAGE_BYTES, "answer", reply_tail(parts))? else {
        return Ok(None);
    };
    buffer.advance(end);
    Ok(Some(()))
}

/// Appends a type byte, a decimal number and a line end.
fn encode_count(out: &mut BytesMut, kind: u8, count: usize) {
    out.put_u8(kind);
    out.put_slice(count.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

/// Appends the header of a bulk string. The caller appends its bytes and a line end.
pub fn encode_bulk_header(out: &mut BytesMut, length: usize) {
    encode_count(out, b'$', length);
}

/// Appends a bulk string.
pub fn encode_bulk(out: &mut BytesMut, bytes: &[u8]) {
    out.reserve(bytes.len() + 16);
    encode_count(out, b'$', bytes.len());
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}

/// Appends a command that consists of `words`.
pub fn encode_command(out: &mut BytesMut, words: &[&[u8]]) {
    encode_count(out, b'*', words.len());
    for word in words {
        encode_bulk(out, word);
    }
}
