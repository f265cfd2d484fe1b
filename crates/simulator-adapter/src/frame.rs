//! Reads frames from the input.

use crate::WireError;
use crate::event::{CLOCK_BYTES, EVENT_BYTES};
use crate::record::Record;
use std::io::Read;

/// The size in bytes of a frame's header: the number of records and the length of the body, 4 bytes each.
const HEADER_BYTES: usize = 8;

/// Reads one frame and returns its number of records and its body, or `None` if the input ends before the frame.
///
/// # Errors
/// Returns an error if the input ends inside the frame, cannot be read, or has a length that is too short for the
/// number of records.
pub fn read_frame(input: &mut impl Read) -> Result<Option<(usize, Vec<u8>)>, WireError> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
    match header.len() {
        0 => return Ok(None),
        HEADER_BYTES => {}
        found => return Err(WireError::Truncated { part: "header", found, expected: HEADER_BYTES }),
    }
    let header = Record(&header);
    let (records, len) = (header.size(0), header.size(4));
    if records.checked_mul(EVENT_BYTES).and_then(|n| n.checked_add(CLOCK_BYTES)).is_none_or(|n| n > len) {
        return Err(WireError::BodyTooShort { len, records });
    }
    // The buffer grows with the bytes that arrive: a wrong length in the header must not allocate gigabytes.
    let mut body = Vec::new();
    input.by_ref().take(len as u64).read_to_end(&mut body)?;
    if body.len() < len {
        return Err(WireError::Truncated { part: "body", found: body.len(), expected: len });
    }
    Ok(Some((records, body)))
}
