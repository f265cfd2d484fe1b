//! The state that results from the entries of the log: the holders of leases, and the calendar.

use crate::entry::Entry;
use agreement::{Micros, Revision};
use audit::lease::{Lease, LeaseGrant, LeaseHolders, LeaseSettings};
use calendar::{Applied, Calendar};
use serde::{Deserialize, Serialize};

/// The state after the entries applied so far. At the same revision it is the same on every balancer.
#[derive(Debug, Clone)]
pub(crate) struct ReplicatedState {
    pub(crate) holders: LeaseHolders,
    pub(crate) calendar: Calendar,
}

/// The position of an entry or a snapshot in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogPosition {
    pub(crate) revision: Revision,
    /// Fleet time in Unix microseconds.
    pub(crate) timestamp: u64,
}

/// The encoded form of a snapshot. It includes the grants, so that a balancer has its lease as soon as it
/// installs the snapshot.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    grants: Vec<LeaseGrant>,
    calendar: Vec<u8>,
}

/// Error for a snapshot that cannot be decoded.
#[derive(Debug)]
pub(crate) struct InvalidSnapshot;

impl ReplicatedState {
    /// Creates the state before the first entry. A freeze takes effect only after all leases that were granted
    /// without it have ended.
    pub(crate) fn new(settings: LeaseSettings) -> Self {
        let binding_delay_ms = settings.max_elapsed(settings.lease).div_ceil(1_000) + 1;
        Self { holders: LeaseHolders::new(settings), calendar: Calendar::new(binding_delay_ms) }
    }

    /// Applies an entry to the state, and its grants to this balancer's own lease. Returns the calendar's result if
    /// the entry is a change of the calendar.
    pub(crate) fn apply(
        &mut self, now: Micros, position: LogPosition, entry: &Entry, lease: &mut Lease,
    ) -> Option<Applied> {
        let LogPosition { revision, timestamp } = position;
        match entry {
            Entry::Leases(grants) => {
                self.holders.apply_grants(now, revision, grants);
                lease.apply_grants(now, revision, timestamp, grants);
                None
            }
            Entry::Calendar(proposal) => Some(self.calendar.apply(revision, timestamp / 1_000, proposal)),
        }
    }

    /// Encodes the state.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot { grants: self.holders.grants(), calendar: self.calendar.snapshot() };
        postcard::to_stdvec(&snapshot)
            .expect("a snapshot must be encodable, as it has only integers, strings and lists")
    }

    /// Replaces the state with that of a snapshot, and applies the snapshot's grants to this balancer's own lease.
    pub(crate) fn restore(
        &mut self, now: Micros, position: LogPosition, bytes: &[u8], lease: &mut Lease,
    ) -> Result<(), InvalidSnapshot> {
        let snapshot: Snapshot = postcard::from_bytes(bytes).map_err(|_| InvalidSnapshot)?;
        self.calendar = Calendar::restore(&snapshot.calendar).map_err(|_| InvalidSnapshot)?;
        self.holders.apply_grants(now, position.revision, &snapshot.grants);
        lease.apply_grants(now, position.revision, position.timestamp, &snapshot.grants);
        Ok(())
    }
}
