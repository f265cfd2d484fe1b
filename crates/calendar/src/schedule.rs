//! A committed entry and the intervals in which it is in force.

use crate::Millis;
use crate::entry::{Entry, ScopeTarget};
use crate::occurrences::{self, Interval};
use serde::{Deserialize, Serialize};

/// A committed entry with its commit and revocation. Part of the snapshot, in which postcard fixes the order of the
/// fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CommittedEntry {
    /// Fleet time of the commit.
    #[serde(rename = "at")]
    pub(crate) committed_at: Millis,
    /// Revision of the commit.
    pub(crate) revision: u64,
    /// Fleet time of the revocation, if any.
    #[serde(rename = "revoked")]
    pub(crate) revoked_at: Option<Millis>,
    /// The entry.
    pub(crate) entry: Entry,
}

/// A committed entry and the schedule derived from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ScheduledEntry {
    pub(crate) committed: CommittedEntry,
    /// The intervals in which the entry is in force, in order.
    pub(crate) in_force: Vec<Interval>,
    /// The end of the last occurrence, or the revocation if it is later.
    pub(crate) end: Millis,
    /// The number of occurrences that count towards [`MAX_OCCURRENCES`](crate::MAX_OCCURRENCES).
    pub(crate) occurrences: usize,
}

impl ScheduledEntry {
    /// Computes the schedule of an entry. A freeze comes into force no earlier than `activation_delay` after its
    /// commit.
    pub(crate) fn new(committed: CommittedEntry, activation_delay: Millis) -> Self {
        let revoked_at = committed.revoked_at.unwrap_or(Millis::MAX);
        let clip = |earliest: Millis, it: Interval| Interval {
            start: it.start.max(earliest),
            end: it.end.min(revoked_at),
        };
        let in_force: Vec<Interval> = match &committed.entry {
            Entry::Freeze(freeze) => {
                let earliest = committed.committed_at.saturating_add(activation_delay);
                occurrences::freeze_occurrences(freeze).into_iter().map(|it| clip(earliest, it)).collect()
            }
            // In force at once, because a balancer that has not yet applied the override only holds more changes, which
            // is safe.
            Entry::Override(entry) => {
                let end = occurrences::override_end(entry).unwrap_or(0);
                vec![clip(committed.committed_at, Interval { start: committed.committed_at, end })]
            }
        };
        let in_force: Vec<Interval> = in_force.into_iter().filter(|it| it.start < it.end).collect();
        let last = in_force.iter().map(|it| it.end).max();
        let end = last.max(committed.revoked_at).unwrap_or(0);
        let name_count = match &committed.entry.scope().place {
            ScopeTarget::Fleet => 1,
            ScopeTarget::Zones(names) | ScopeTarget::Group { hosts: names, .. } => names.len(),
        };
        Self { end, occurrences: in_force.len() * name_count, committed, in_force }
    }
}
