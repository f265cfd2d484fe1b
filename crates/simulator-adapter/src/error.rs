//! Errors of reading and decoding the input.

use decide::settings::SettingsError;
use std::io;
use thiserror::Error;

/// An input that cannot be read or violates the wire format.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input could not be read.
    #[error("cannot read a batch: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a batch.
    #[error("truncated batch: {found} of {expected} bytes of the {part}")]
    Truncated {
        /// The truncated part: the header or the body.
        part: &'static str,
        /// The number of bytes that were read.
        found: usize,
        /// The number of bytes that the part has.
        expected: usize,
    },
    /// The length in the header is too short for the number of records in the header.
    #[error("batch length {len} is too short for {records} records")]
    BodyTooShort {
        /// The length of the body in the header.
        len: usize,
        /// The number of records in the header.
        records: usize,
    },
    /// A field holds a code that the wire format does not define.
    #[error("record {record}: unknown {what} {code}")]
    UnknownCode {
        /// The index of the record, from 0.
        record: usize,
        /// The name of the field.
        what: &'static str,
        /// The value of the field.
        code: u64,
    },
    /// An offset or a length points outside the tail.
    #[error("record {record}: {what} at {offset} + {bytes} bytes lies outside the tail of {tail} bytes")]
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
    SettingsNotUtf8 {
        /// The index of the record, from 0.
        record: usize,
    },
    /// A setting has an invalid value.
    #[error("record {record}: {source}")]
    InvalidSetting {
        /// The index of the record, from 0.
        record: usize,
        /// The setting, its value and the allowed values.
        source: SettingsError,
    },
}
