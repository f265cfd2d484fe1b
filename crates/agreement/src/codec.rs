//! Encoding of values that are sent or stored.
use bytes::Bytes;
use serde::Serialize;

/// Encodes a value in postcard.
///
/// # Panics
/// Panics if the `Serialize` implementation of an owner's [`crate::Entry`] fails. Encoding into memory cannot
/// fail otherwise.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_allocvec(value).expect("the `Serialize` implementation of a log entry must not fail").into()
}
