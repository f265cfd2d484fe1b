//! Runs parsers over the start of a buffer, and checks line ends.

use crate::ProtoError;
use bytes::{Buf, BytesMut};
use httparse::Status;
use memchr::memchr_iter;
use winnow::Parser;
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Partial;

/// The most header lines of a response, and trailer lines of a body; real ones have some ten.
pub(super) const MAX_HEADERS: usize = 63;

/// The input of a parser of a single line.
pub(super) type Input<'a> = Partial<&'a [u8]>;
/// The result of a parser of a single line.
pub(super) type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// The bytes are not in the protocol's form.
pub(super) struct Malformed;

/// What a parser found at the start of the buffer.
pub(super) struct Found<T> {
    /// What it found.
    pub(super) value: T,
    /// The bytes that this took.
    pub(super) length: usize,
}

/// The result of a parser: `None` while more bytes are needed.
pub(super) type Step<T> = Result<Option<Found<T>>, Malformed>;

/// Runs a parser over the start of the buffer, and removes the bytes of what it found. `max_bytes` bounds what may be buffered
/// for it.
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

/// The length of header lines up to and with the empty one, as httparse found them; `None` while more bytes are needed.
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

/// Whether every line ends with CR LF. httparse accepts a bare line feed as well; an intermediary may not, and would see
/// other headers than we do.
fn line_ends_are_complete(text: &[u8]) -> bool {
    memchr_iter(b'\n', text).all(|at| at > 0 && text[at - 1] == b'\r')
}
