//! Activity reports and ledger entries: counts of a balancer under one version of its state, and their encoding.

use crate::lease::TimeInterval;
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// Maximum number of periods in one report. This many fit [`MAX_REPORT_BYTES`] with every number at its largest.
pub const MAX_PERIODS_PER_REPORT: usize = 3;

/// Upper bound on the size of an encoded report, which shares a datagram with other messages.
pub const MAX_REPORT_BYTES: usize = 1_100;

/// The number of [`CountKind`]s.
pub const COUNT_KINDS: usize = CountKind::ChangeRefused as usize + 1;

/// Integers and fixed-size arrays of them always encode into a growing buffer.
const ALWAYS_ENCODES: &str = "a record of integers always encodes";

/// A kind of counted event. The order of the variants is the order of [`ActivityPeriod::counts`] on the wire and on
/// disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[repr(u8)]
pub enum CountKind {
    /// A read attempt that succeeded.
    ReadOk,
    /// A read attempt that failed with an error.
    ReadError,
    /// A read attempt that the endpoint rejected because it had no free capacity.
    ReadFull,
    /// A read attempt that timed out.
    ReadTimeout,
    /// A read attempt that reached no endpoint.
    ReadUnreachable,
    /// A write attempt that succeeded.
    WriteOk,
    /// A write attempt that failed with an error.
    WriteError,
    /// A write attempt that the endpoint rejected because it had no free capacity.
    WriteFull,
    /// A write attempt that timed out.
    WriteTimeout,
    /// A write attempt that reached no endpoint.
    WriteUnreachable,
    /// An origin fetch attempt that succeeded.
    FetchOk,
    /// An origin fetch attempt that failed with an error.
    FetchError,
    /// An origin fetch attempt that the endpoint rejected because it had no free capacity.
    FetchFull,
    /// An origin fetch attempt that timed out.
    FetchTimeout,
    /// An origin fetch attempt that reached no endpoint.
    FetchUnreachable,
    /// A request that was rejected.
    Refused,
    /// A change of topology that was applied.
    ChangeAccepted,
    /// A change of topology that was held.
    ChangeRefused,
}

/// A period in which a balancer acted on one version, with its counts in that period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivityPeriod {
    /// Number of the period within the incarnation. It grows by one with each period, so a gap shows a lost period.
    pub serial: u64,
    /// The version that the balancer acted on.
    pub version: Version,
    /// When the period began.
    pub from: TimeInterval,
    /// When the period ended, or was last reported.
    pub to: TimeInterval,
    /// Counts by [`CountKind`] since the period began.
    pub counts: [u64; COUNT_KINDS],
    /// Digest of the topology changes of the period. It does not depend on their order.
    pub digest: u64,
}

impl ActivityPeriod {
    pub(crate) fn new(serial: u64, version: Version, now: TimeInterval) -> Self {
        Self { serial, version, from: now, to: now, counts: [0; COUNT_KINDS], digest: 0 }
    }
}

/// A balancer's report of its own activity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivityReport {
    /// The reporting balancer.
    pub number: u16,
    /// The balancer's incarnation.
    pub incarnation: u64,
    /// Number of the report within the incarnation, starting at 1.
    pub sequence: u64,
    /// When the report was made.
    pub at: TimeInterval,
    /// The reported periods; the period in progress is the last.
    pub periods: Vec<ActivityPeriod>,
}

impl ActivityReport {
    /// Encodes the report for a datagram.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect(ALWAYS_ENCODES)
    }

    /// Decodes a report. Returns `None` for malformed bytes and for reports over the limits.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_REPORT_BYTES {
            return None;
        }
        postcard::from_bytes(bytes)
            .ok()
            .filter(|report: &Self| report.periods.len() <= MAX_PERIODS_PER_REPORT)
    }
}

/// Identifies a [`LedgerEntry`]. An entry with the same key and a later report replaces the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LedgerKey {
    /// The balancer.
    pub number: u16,
    /// The balancer's incarnation.
    pub incarnation: u64,
    /// Number of the period within the incarnation.
    pub serial: u64,
}

/// One activity period of one balancer, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The balancer.
    pub number: u16,
    /// The balancer's incarnation.
    pub incarnation: u64,
    /// Sequence number of the latest report that contained the period.
    pub sequence: u64,
    /// The period.
    pub period: ActivityPeriod,
}

impl LedgerEntry {
    /// Encodes the entry for the disk.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect(ALWAYS_ENCODES)
    }

    /// Decodes an entry. Returns `None` for malformed bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The key under which the entry is stored.
    pub fn key(&self) -> LedgerKey {
        LedgerKey { number: self.number, incarnation: self.incarnation, serial: self.period.serial }
    }
}
