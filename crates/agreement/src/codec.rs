//! Encoding of values that are sent or stored.
use bytes::Bytes;
use serde::Serialize;

/// Encodes a value in postcard.
///
/// # Panics
/// If an owner's [`crate::Entry`] has an implementation of `Serialize` that fails. Encoding into memory cannot fail otherwise.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_allocvec(value).expect("values of the log can be encoded").into()
}
