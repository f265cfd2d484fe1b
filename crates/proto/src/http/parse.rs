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
pub(super) struct Prefix<T> {
    /// The parsed value.
    pub(super) value: T,
    /// The number of bytes parsed.
    pub(super) length: usize,
}

/// The result of a parser: `None` while more bytes are needed.
pub(super) type ParseResult<T> = Result<Option<Prefix<T>>, Malformed>;

/// Runs a parser on the start of the buffer, and removes the bytes parsed. Fails if the buffer holds more than
/// `max_bytes` without a result; `what` names the parsed part in errors.
pub(super) fn parse_prefix<T>(
    buffer: &mut BytesMut, max_bytes: usize, what: &'static str, parser: impl FnOnce(&[u8]) -> ParseResult<T>,
) -> Result<Option<T>, ProtoError> {
    match parser(buffer) {
        Ok(Some(prefix)) => {
            buffer.advance(prefix.length);
            Ok(Some(prefix.value))
        }
        Ok(None) if buffer.len() > max_bytes => Err(ProtoError::TooLong(what)),
        Ok(None) => Ok(None),
        Err(Malformed) => Err(ProtoError::Malformed(what)),
    }
}

/// Runs a parser of a single line.
pub(super) fn parse_single_line<T>(
    text: &[u8], mut parser: impl FnMut(&mut Input<'_>) -> Parsed<T>,
) -> ParseResult<T> {
    let mut input = Partial::new(text);
    match parser.parse_next(&mut input) {
        Ok(value) => Ok(Some(Prefix { value, length: text.len() - input.len() })),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Malformed),
    }
}

/// Checks the line ends of header lines that httparse has parsed. Returns their length including the empty line, or
/// `None` while more bytes are needed.
pub(super) fn checked_header_length<T>(
    text: &[u8], parsed: httparse::Result<T>, length_of: impl Fn(T) -> usize,
) -> Result<Option<usize>, Malformed> {
    let length = match parsed.map_err(|_| Malformed)? {
        Status::Complete(parsed) => Some(length_of(parsed)),
        Status::Partial => None,
    };
    let lines = &text[..length.unwrap_or(text.len())];
    if has_only_crlf_line_ends(lines) { Ok(length) } else { Err(Malformed) }
}

/// Returns whether every line ends with CR LF. httparse also accepts a bare line feed; an intermediary may not, and
/// would see other headers than this parser.
fn has_only_crlf_line_ends(text: &[u8]) -> bool {
    memchr_iter(b'\n', text).all(|at| at > 0 && text[at - 1] == b'\r')
}
