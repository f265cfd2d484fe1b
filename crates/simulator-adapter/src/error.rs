//! Errors of reading and decoding the input.

use decide::settings::SettingsError;
use std::io;
use thiserror::Error;

/// An input that cannot be read or violates the wire format.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input could not be read.
    #[error("reading a batch: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a batch.
    #[error("truncated batch: {got} of {wanted} bytes of the {part}")]
    Truncated {
        /// The truncated part: the header or the body.
        part: &'static str,
        /// Bytes found.
        got: usize,
        /// Bytes announced.
        wanted: usize,
    },
    /// The length in the header is too short for the number of records in the header.
    #[error("batch length {len} is too short for {records} records")]
    Short {
        /// The length of the body in the header.
        len: usize,
        /// The number of records in the header.
        records: usize,
    },
    /// A field holds a code that the wire format does not define.
    #[error("record {record}: unknown {what} {code}")]
    Unknown {
        /// The index of the record, from 0.
        record: usize,
        /// The name of the field.
        what: &'static str,
        /// The value of the field.
        code: u64,
    },
    /// An offset or a length points outside the tail.
    #[error("record {record}: {what} at {offset} + {bytes} bytes lies outside the tail of {tail}")]
    OutsideTail {
        /// The index of the record, from 0.
        record: usize,
        /// The name of the field.
        what: &'static str,
        /// The offset in the tail.
        offset: usize,
        /// The length in bytes.
        bytes: usize,
        /// The length of the tail in bytes.
        tail: usize,
    },
    /// The settings of an instance are not UTF-8 text.
    #[error("record {record}: the settings are not UTF-8")]
    NotText {
        /// The index of the record, from 0.
        record: usize,
    },
    /// A setting has an invalid value.
    #[error("record {record}: {source}")]
    Setting {
        /// The index of the record, from 0.
        record: usize,
        /// The setting, its value and the allowed values.
        source: SettingsError,
    },
}
