//! The datagram: a version, the sender's incarnation and the report's number, then four bytes for each endpoint with load.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | version, 1 |
//! | 1, 2 | incarnation: the sender's start, in quarters of a second, modulo 2^16, big-endian |
//! | 3, 4 | number of this report within that incarnation, modulo 2^16, big-endian |
//! | then 4 each | the hash of an endpoint's id (2, big-endian); mean requests in flight, in sixteenths (1); answered and failed requests, at most 15 of each (4 bits, 4 bits) |

use crate::Micros;
use decide::api::{EndpointId, LoadReport};
use fnv::FnvHasher;
use std::hash::Hasher;
use thiserror::Error;

/// The version that this build writes, and the only one that it reads.
pub const VERSION: u8 = 1;
/// The longest datagram that the platform carries, in bytes.
pub const MAX_BYTES: usize = 256;
const HEADER_BYTES: usize = 5;
const ENTRY_BYTES: usize = 4;
/// The most endpoints in one report: what fits. Those with the most requests in flight go first.
pub const MAX_ENTRIES: usize = (MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Steps of the byte for requests in flight, for one request.
const STEPS_PER_REQUEST: f64 = 16.0;
/// The largest count that fits half a byte.
const MAX_COUNT: u32 = 15;
/// One step of [`ReportStamp::incarnation`].
const INCARNATION_STEP_US: Micros = 250_000;

/// The hash of an endpoint's id on the wire. Where two endpoints share one, the load of either counts for both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointHash(pub u16);

impl From<EndpointId> for EndpointHash {
    fn from(id: EndpointId) -> Self {
        // Every bit of the id counts: ids may be addresses that differ in few of them.
        let mut hasher = FnvHasher::default();
        hasher.write(&id.0.to_be_bytes());
        Self(hasher.finish() as u16)
    }
}

/// The position of a report among those of its sender. Detects reports that are late, duplicated, or of an earlier
/// incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportStamp {
    /// The sender's start.
    pub incarnation: u16,
    /// The report's number since then.
    pub number: u16,
}

impl ReportStamp {
    /// The first stamp of an incarnation that began at `unix`.
    #[must_use]
    pub fn first(unix: Micros) -> Self {
        Self { incarnation: (unix / INCARNATION_STEP_US) as u16, number: 0 }
    }

    /// The stamp after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self { number: self.number.wrapping_add(1), ..self }
    }

    /// Whether this is newer than `other`, by the shorter way round.
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
    /// Requests in flight, in the mean.
    pub in_flight: f64,
    /// Requests answered.
    pub answered: u32,
    /// Requests that failed.
    pub failed: u32,
}

impl EndpointLoad {
    /// The sum of this load and a further one.
    pub(crate) fn plus(self, report: &LoadReport) -> Self {
        Self {
            in_flight: self.in_flight + report.in_flight,
            answered: self.answered + report.answered,
            failed: self.failed + report.failed,
        }
    }

    /// The two bytes on the wire: the requests in flight, and both counts.
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

/// One report.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Its position among those of its sender.
    pub stamp: ReportStamp,
    /// The load of each endpoint.
    pub loads: Vec<(EndpointHash, EndpointLoad)>,
}

/// Why a datagram is no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Another version than [`VERSION`].
    #[error("version {0}, not {VERSION}")]
    Version(u8),
    /// Too short, too long, or cut within an entry.
    #[error("{0} bytes are no whole report")]
    Length(usize),
}

/// An endpoint's load as it is written.
struct Entry {
    endpoint: EndpointHash,
    in_flight: u8,
    counts: u8,
}

impl Report {
    /// Encodes the report. Endpoints without load are left out, and those beyond [`MAX_ENTRIES`] with the least load.
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
    /// When it is no report of this version.
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
