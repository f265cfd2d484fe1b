//! The wire format of a datagram: a version, the sender's incarnation and the report's number, then four bytes for each
//! endpoint with load.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | version, 1 |
//! | 1, 2 | incarnation: the sender's start in quarters of a second, modulo 2^16, big-endian |
//! | 3, 4 | number of the report within the incarnation, modulo 2^16, big-endian |
//! | 4 per endpoint | hash of the endpoint's id (2 bytes, big-endian); load (2 bytes) |
//!
//! The first byte of a load is the mean number of requests in flight, in sixteenths. The second is the number
//! of answered requests (high 4 bits) and failed requests (low 4 bits), at most 15 of each.

use crate::Micros;
use decide::api::{EndpointId, LoadReport};
use fnv::FnvHasher;
use std::hash::Hasher;
use thiserror::Error;

/// The version of the format that is written, and the only one that is read.
pub const VERSION: u8 = 1;
/// The longest datagram that the platform carries, in bytes.
pub const MAX_BYTES: usize = 256;
const HEADER_BYTES: usize = 5;
const ENTRY_BYTES: usize = 4;
/// The largest number of endpoints that fits a report. Endpoints with the most requests in flight come first.
pub const MAX_ENTRIES: usize = (MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// The value of one request in the byte for requests in flight.
const STEPS_PER_REQUEST: f64 = 16.0;
/// The largest count that fits 4 bits.
const MAX_COUNT: u32 = 15;
/// The unit of [`ReportStamp::incarnation`].
const INCARNATION_STEP_US: Micros = 250_000;

/// The hash of an endpoint's id on the wire. If two endpoints have the same hash, the load of each counts for both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointHash(pub u16);

impl From<EndpointId> for EndpointHash {
    fn from(id: EndpointId) -> Self {
        // The hash covers every bit of the id, because ids may be addresses that differ in few bits.
        let mut hasher = FnvHasher::default();
        hasher.write(&id.0.to_be_bytes());
        Self(hasher.finish() as u16)
    }
}

/// The position of a report among all reports of its sender. It shows whether a report is late, duplicated or from an
/// earlier incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportStamp {
    /// The sender's start.
    pub incarnation: u16,
    /// The number of the report within the incarnation.
    pub number: u16,
}

impl ReportStamp {
    /// Returns the first stamp of an incarnation that started at the Unix time `unix`.
    #[must_use]
    pub fn first(unix: Micros) -> Self {
        Self { incarnation: (unix / INCARNATION_STEP_US) as u16, number: 0 }
    }

    /// Returns the stamp of the next report.
    #[must_use]
    pub fn next(self) -> Self {
        Self { number: self.number.wrapping_add(1), ..self }
    }

    /// Returns whether this stamp is newer than `other`. Numbers wrap around, and the shorter distance decides.
    #[must_use]
    pub fn is_newer_than(self, other: Self) -> bool {
        let is_newer = |a: u16, b: u16| (a.wrapping_sub(b) as i16) > 0;
        is_newer(self.incarnation, other.incarnation)
            || (self.incarnation == other.incarnation && is_newer(self.number, other.number))
    }
}

/// The load of one balancer's requests on an endpoint since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointLoad {
    /// The mean number of requests in flight.
    pub in_flight: f64,
    /// Requests answered.
    pub answered: u32,
    /// Requests that failed.
    pub failed: u32,
}

impl EndpointLoad {
    /// Returns the sum of this load and `report`.
    pub(crate) fn plus(self, report: &LoadReport) -> Self {
        Self {
            in_flight: self.in_flight + report.in_flight,
            answered: self.answered + report.answered,
            failed: self.failed + report.failed,
        }
    }

    /// Encodes the requests in flight and both counts as one byte each.
    fn encode(self) -> (u8, u8) {
        let [answered, failed] = [self.answered, self.failed].map(|count| count.min(MAX_COUNT) as u8);
        ((self.in_flight * STEPS_PER_REQUEST).round() as u8, answered << 4 | failed)
    }

    fn decode(in_flight: u8, counts: u8) -> Self {
        let counts = u32::from(counts);
        Self {
            in_flight: f64::from(in_flight) / STEPS_PER_REQUEST,
            answered: counts >> 4,
            failed: counts & MAX_COUNT,
        }
    }
}

/// A balancer's report of its load on endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The position of the report among all reports of its sender.
    pub stamp: ReportStamp,
    /// The load of each endpoint.
    pub loads: Vec<(EndpointHash, EndpointLoad)>,
}

/// The reason why a datagram cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The datagram has another version than [`VERSION`].
    #[error("report of version {0}; only version {VERSION} is supported")]
    Version(u8),
    /// The datagram is too short, too long, or ends within an entry.
    #[error(
        "invalid report length of {0} bytes; \
         it must be {HEADER_BYTES} plus {ENTRY_BYTES} for each entry, at most {MAX_BYTES}"
    )]
    Length(usize),
}

/// An endpoint's load in encoded form.
struct Entry {
    endpoint: EndpointHash,
    in_flight: u8,
    counts: u8,
}

impl Report {
    /// Encodes the report. Leaves out endpoints without load, and the least loaded endpoints beyond [`MAX_ENTRIES`].
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut entries = Vec::with_capacity(self.loads.len());
        for &(endpoint, load) in &self.loads {
            let (in_flight, counts) = load.encode();
            if (in_flight, counts) != (0, 0) {
                entries.push(Entry { endpoint, in_flight, counts });
            }
        }
        entries.sort_by_key(|entry| (u8::MAX - entry.in_flight, entry.endpoint));
        entries.truncate(MAX_ENTRIES);
        let mut datagram = Vec::with_capacity(HEADER_BYTES + ENTRY_BYTES * entries.len());
        datagram.push(VERSION);
        datagram.extend(self.stamp.incarnation.to_be_bytes());
        datagram.extend(self.stamp.number.to_be_bytes());
        for entry in entries {
            datagram.extend(entry.endpoint.0.to_be_bytes());
            datagram.extend([entry.in_flight, entry.counts]);
        }
        datagram
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the datagram has another version or an invalid length.
    pub fn decode(datagram: &[u8]) -> Result<Self, DecodeError> {
        let wrong_length = DecodeError::Length(datagram.len());
        let (&version, rest) = datagram.split_first().ok_or(wrong_length)?;
        if version != VERSION {
            return Err(DecodeError::Version(version));
        }
        let (header, entries) = rest.split_first_chunk::<{ HEADER_BYTES - 1 }>().ok_or(wrong_length)?;
        if datagram.len() > MAX_BYTES || entries.len() % ENTRY_BYTES != 0 {
            return Err(wrong_length);
        }
        let [incarnation, number] = [[header[0], header[1]], [header[2], header[3]]].map(u16::from_be_bytes);
        let decode_entry = |entry: &[u8]| {
            let endpoint = EndpointHash(u16::from_be_bytes([entry[0], entry[1]]));
            (endpoint, EndpointLoad::decode(entry[2], entry[3]))
        };
        let loads = entries.chunks_exact(ENTRY_BYTES).map(decode_entry).collect();
        Ok(Self { stamp: ReportStamp { incarnation, number }, loads })
    }
}
