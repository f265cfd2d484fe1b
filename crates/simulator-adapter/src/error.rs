//! What can be wrong with the input.

use decide::settings::SettingsError;
use std::io;
use thiserror::Error;

/// Input that breaks the wire format.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input could not be read.
    #[error("reading a batch: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a batch.
    #[error("truncated batch: {got} of {wanted} bytes of the {part}")]
    Truncated {
        /// Which part was cut.
        part: &'static str,
        /// Bytes found.
        got: usize,
        /// Bytes announced.
        wanted: usize,
    },
    /// The header's length cannot hold the records it announces.
    #[error("batch length {len} is too short for {records} records")]
    Short {
        /// The length field.
        len: usize,
        /// The record count.
        records: usize,
    },
    /// A field holds a code that the wire does not know.
    #[error("record {record}: unknown {what} {code}")]
    Unknown {
        /// Number of the record, from 0.
        record: usize,
        /// Which field.
        what: &'static str,
        /// Its value.
        code: u64,
    },
    /// An offset or a length points outside the tail.
    #[error("record {record}: {what} at {offset} + {bytes} bytes lies outside the tail of {tail}")]
    OutsideTail {
        /// Number of the record, from 0.
        record: usize,
        /// Which field.
        what: &'static str,
        /// Its offset.
        offset: usize,
        /// Its size in bytes.
        bytes: usize,
        /// Size of the tail.
        tail: usize,
    },
    /// The settings of an instance are not text.
    #[error("record {record}: the settings are not UTF-8")]
    NotText {
        /// Number of the record, from 0.
        record: usize,
    },
    /// A setting cannot be used.
    #[error("record {record}: {source}")]
    Setting {
        /// Number of the record, from 0.
        record: usize,
        /// What is wrong with it.
        source: SettingsError,
    },
}
