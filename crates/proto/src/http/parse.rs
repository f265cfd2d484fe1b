//! Runs parsers on the start of a buffer, and checks line ends.

use crate::ProtoError;
use bytes::{Buf, BytesMut};
use httparse::Status;
use memchr::memchr_iter;
use winnow::Parser;
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Partial;

/// The most header lines of a response, or trailer lines of a body; usual responses have about ten.
pub(super) const MAX_HEADERS: usize = 63;

/// The input of a parser of a single line.
pub(super) type Input<'a> = Partial<&'a [u8]>;
/// The result of a parser of a single line.
pub(super) type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// The error of a parser: the bytes do not follow the protocol.
pub(super) struct Malformed;

/// The result of a parser, from the start of the buffer.
pub(super) struct Found<T> {
    /// The parsed value.
    pub(super) value: T,
    /// The number of bytes parsed.
    pub(super) length: usize,
}

/// The result of a parser: `None` while more bytes are needed.
pub(super) type Step<T> = Result<Option<Found<T>>, Malformed>;

/// Runs a parser on the start of the buffer, and removes the bytes parsed. Fails if the buffer holds more than
/// `max_bytes` without a result; `what` names the parsed part in errors.
pub(super) fn take<T>(
    buffer: &mut BytesMut, max_bytes: usize, what: &'static str, parser: impl FnOnce(&[u8]) -> Step<T>,
) -> Result<Option<T>, ProtoError> {
    match parser(buffer) {
        Ok(Some(found)) => {
            buffer.advance(found.length);
            Ok(Some(found.value))
        }
        Ok(None) if buffer.len() > max_bytes => Err(ProtoError::TooLong(what)),
        Ok(None) => Ok(None),
        Err(Malformed) => Err(ProtoError::Malformed(what)),
    }
}

/// Runs a parser of a single line.
pub(super) fn single_line<T>(text: &[u8], mut parser: impl FnMut(&mut Input<'_>) -> Parsed<T>) -> Step<T> {
    let mut input = Partial::new(text);
    match parser.parse_next(&mut input) {
        Ok(value) => Ok(Some(Found { value, length: text.len() - input.len() })),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Malformed),
    }
}

/// Checks the line ends of header lines that httparse has parsed. Returns their length including the empty line, or
/// `None` while more bytes are needed.
pub(super) fn checked_length<T>(
    text: &[u8], parsed: httparse::Result<T>, length_of: impl Fn(T) -> usize,
) -> Result<Option<usize>, Malformed> {
    let length = match parsed.map_err(|_| Malformed)? {
        Status::Complete(found) => Some(length_of(found)),
        Status::Partial => None,
    };
    let lines = &text[..length.unwrap_or(text.len())];
    if line_ends_are_complete(lines) { Ok(length) } else { Err(Malformed) }
}

/// Returns whether every line ends with CR LF. httparse also accepts a bare line feed; an intermediary may not, and
/// would see other headers than this parser.
fn line_ends_are_complete(text: &[u8]) -> bool {
    memchr_iter(b'\n', text).all(|at| at > 0 && text[at - 1] == b'\r')
}
