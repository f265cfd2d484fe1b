//! What the log holds, and the state that it makes: who was granted a lease, and the calendar.

use crate::Micros;
use audit::lease::{Lease, LeaseGrant, LeaseHolders, Settings};
use calendar::{Applied, Calendar, Proposal};
use serde::{Deserialize, Serialize};

/// An entry of the council's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Leases granted, those of half a second together.
    Leases(Vec<LeaseGrant>),
    /// A change of the calendar.
    Calendar(Box<Proposal>),
}

/// The state that the log makes, the same at every balancer that has applied as much of it.
#[derive(Debug, Clone)]
pub(crate) struct State {
    pub(crate) holders: LeaseHolders,
    pub(crate) calendar: Calendar,
}

/// The state as a snapshot carries it. Grants go with it, so that one brought up by a snapshot has its lease at once.
#[derive(Serialize, Deserialize)]
struct Image {
    grants: Vec<LeaseGrant>,
    calendar: Vec<u8>,
}

impl State {
    /// The state before the first entry. A freeze binds no sooner than every lease without it has ended.
    pub(crate) fn new(settings: Settings) -> Self {
        let binding = settings.longer(settings.lease).div_ceil(1_000) + 1;
        Self { holders: LeaseHolders::new(settings), calendar: Calendar::new(binding) }
    }

    /// Applies an entry; yields what became of a change of the calendar.
    pub(crate) fn apply(
        &mut self, now: Micros, revision: u64, at: u64, entry: &Entry, lease: &mut Lease,
    ) -> Option<Applied> {
        match entry {
            Entry::Leases(grants) => {
                self.holders.apply_grants(now, revision, grants);
                lease.apply_grants(now, revision, at, grants);
                None
            }
            Entry::Calendar(proposal) => Some(self.calendar.apply(revision, at / 1_000, proposal)),
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let image = Image { grants: self.holders.grants(), calendar: self.calendar.snapshot() };
        postcard::to_stdvec(&image).unwrap_or_default() // plain values into memory: it cannot fail
    }

    /// Takes a snapshot's state in the place of its own; says no to bytes that are none.
    pub(crate) fn restore(
        &mut self, now: Micros, revision: u64, at: u64, bytes: &[u8], lease: &mut Lease,
    ) -> bool {
        let Ok(image) = postcard::from_bytes::<Image>(bytes) else { return false };
        let Ok(calendar) = Calendar::restore(&image.calendar) else { return false };
        self.calendar = calendar;
        self.holders.apply_grants(now, revision, &image.grants);
        lease.apply_grants(now, revision, at, &image.grants);
        true
    }
}
