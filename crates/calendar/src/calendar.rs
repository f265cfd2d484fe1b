//! The calendar: the committed entries, and the check of topology changes against them.

use crate::entry::{Entry, Proposal};
use crate::errors::{ProposalError, RestoreError};
use crate::index::{EntryKind, EntrySummary, Index};
use crate::limits::{MAX_ENTRIES, MAX_OCCURRENCES, RETENTION_MS};
use crate::occurrences::Interval;
use crate::schedule::{CommittedEntry, ScheduledEntry};
use crate::{Change, HoldReason, LeaseState, Millis, TimeInterval, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

/// Version of the snapshot format. Snapshots of other versions are rejected.
const SNAPSHOT_VERSION: u16 = 1;

/// The outcome of a committed proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The entry was added.
    Added,
    /// The entry was revoked.
    Revoked,
    /// The proposal is refused and has no effect, at all balancers alike.
    Refused(ProposalError),
    /// The proposal has no effect, because the calendar has already applied its revision.
    AlreadyApplied,
}

/// The phase of an entry in its lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// Committed and not yet in force.
    Committed,
    /// In force, or between two occurrences.
    InForce,
    /// The last occurrence is over.
    Ended,
    /// Revoked before its end.
    Revoked,
}

/// The encoded form of a calendar. postcard fixes the order of the fields.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: u16,
    #[serde(rename = "binding")]
    activation_delay: Millis,
    revision: u64,
    entries: Vec<CommittedEntry>,
}

/// The freezes and overrides that a fleet has committed.
#[derive(Debug, Clone)]
pub struct Calendar {
    activation_delay: Millis,
    revision: u64,
    entries: BTreeMap<String, ScheduledEntry>,
    index: OnceLock<Index>,
}

impl PartialEq for Calendar {
    fn eq(&self, other: &Self) -> bool {
        (self.activation_delay, self.revision, &self.entries)
            == (other.activation_delay, other.revision, &other.entries)
    }
}

impl Calendar {
    /// Creates an empty calendar. A freeze comes into force no earlier than `activation_delay` after its commit. This
    /// delay covers the duration of a lease and its clock error.
    pub fn new(activation_delay: Millis) -> Self {
        Self { activation_delay, revision: 0, entries: BTreeMap::new(), index: OnceLock::new() }
    }

    /// Returns the last applied revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all entries ordered by id, including ended ones.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|it| &it.committed.entry)
    }

    /// Returns the fleet time and the revision at which an entry was committed.
    pub fn committed_at(&self, id: &str) -> Option<(Millis, u64)> {
        self.entries.get(id).map(|it| (it.committed.committed_at, it.committed.revision))
    }

    /// Returns the phase of an entry at a fleet time.
    pub fn phase(&self, id: &str, fleet_time: Millis) -> Option<EntryPhase> {
        let scheduled = self.entries.get(id)?;
        let first = scheduled.in_force.first().map_or(Millis::MAX, |it| it.start);
        Some(match scheduled.committed.revoked_at {
            Some(at) if at <= fleet_time => EntryPhase::Revoked,
            _ if fleet_time < first => EntryPhase::Committed,
            _ if fleet_time < scheduled.end => EntryPhase::InForce,
            _ => EntryPhase::Ended,
        })
    }

    /// Checks that the proposal would have an effect if it were committed at `at`. Call this before proposing it.
    ///
    /// # Errors
    /// Returns the reason why the proposal would have no effect.
    pub fn validate_proposal(&self, at: Millis, proposal: &Proposal) -> Result<(), ProposalError> {
        self.evaluate(0, at, proposal).map(|_| ())
    }

    /// Returns the entry as it would be after the proposal.
    fn evaluate(
        &self, revision: u64, at: Millis, proposal: &Proposal,
    ) -> Result<ScheduledEntry, ProposalError> {
        proposal.validate()?;
        match proposal {
            Proposal::Add(entry) => self.evaluate_added(CommittedEntry {
                committed_at: at,
                revision,
                revoked_at: None,
                entry: entry.clone(),
            }),
            Proposal::Revoke(revoke) => {
                let revocable = self.entries.get(&revoke.id);
                let revocable = revocable.filter(|it| it.committed.revoked_at.is_none() && at < it.end);
                let revocable = revocable.ok_or_else(|| ProposalError::UnknownEntry(revoke.id.clone()))?;
                let revoked = CommittedEntry { revoked_at: Some(at), ..revocable.committed.clone() };
                Ok(ScheduledEntry::new(revoked, self.activation_delay))
            }
        }
    }

    fn evaluate_added(&self, committed: CommittedEntry) -> Result<ScheduledEntry, ProposalError> {
        let id = committed.entry.id().to_owned();
        if self.entries.contains_key(&id) {
            return Err(ProposalError::Duplicate(id));
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Err(ProposalError::TooManyEntries);
        }
        let scheduled = ScheduledEntry::new(committed, self.activation_delay);
        if scheduled.in_force.is_empty() && scheduled.committed.revoked_at.is_none() {
            return Err(ProposalError::EndsBeforeInForce(id));
        }
        let occurrences: usize = self.entries.values().map(|it| it.occurrences).sum();
        if occurrences + scheduled.occurrences > MAX_OCCURRENCES {
            return Err(ProposalError::TooManyOccurrences);
        }
        Ok(scheduled)
    }

    /// Applies a proposal that was committed at `revision` and fleet time `at`. Calendars that apply the same log are
    /// equal.
    pub fn apply(&mut self, revision: u64, at: Millis, proposal: &Proposal) -> Applied {
        if revision <= self.revision {
            return Applied::AlreadyApplied;
        }
        self.revision = revision;
        self.index = OnceLock::new();
        self.entries.retain(|_, it| it.end.saturating_add(RETENTION_MS) > at);
        match self.evaluate(revision, at, proposal) {
            Err(refused) => Applied::Refused(refused),
            Ok(scheduled) => {
                self.entries.insert(scheduled.committed.entry.id().to_owned(), scheduled);
                if matches!(proposal, Proposal::Add(_)) { Applied::Added } else { Applied::Revoked }
            }
        }
    }

    /// Encodes the calendar as a snapshot for [`Calendar::restore`].
    pub fn snapshot(&self) -> Vec<u8> {
        let entries = self.entries.values().map(|it| it.committed.clone()).collect();
        let snapshot = Snapshot {
            version: SNAPSHOT_VERSION,
            activation_delay: self.activation_delay,
            revision: self.revision,
            entries,
        };
        postcard::to_stdvec(&snapshot)
            .expect("a calendar snapshot consists of numbers and strings, which postcard always encodes")
    }

    /// Decodes a calendar from the bytes of [`Calendar::snapshot`].
    ///
    /// # Errors
    /// Returns an error if the bytes are not a snapshot, or contain an entry that could not have been committed.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let (snapshot, rest): (Snapshot, _) =
            postcard::take_from_bytes(bytes).map_err(|_| RestoreError::UnknownFormat)?;
        let known_format = snapshot.version == SNAPSHOT_VERSION && rest.is_empty();
        if !known_format || snapshot.entries.len() > MAX_ENTRIES {
            return Err(RestoreError::UnknownFormat);
        }
        let mut calendar = Self { revision: snapshot.revision, ..Self::new(snapshot.activation_delay) };
        let mut occurrences = 0;
        for committed in snapshot.entries {
            Proposal::Add(committed.entry.clone()).validate().map_err(ProposalError::from)?;
            let id = committed.entry.id().to_owned();
            let scheduled = ScheduledEntry::new(committed, snapshot.activation_delay);
            occurrences += scheduled.occurrences;
            if occurrences > MAX_OCCURRENCES {
                return Err(ProposalError::TooManyOccurrences.into());
            }
            if calendar.entries.insert(id.clone(), scheduled).is_some() {
                return Err(ProposalError::Duplicate(id).into());
            }
        }
        Ok(calendar)
    }

    /// Builds the index for [`Calendar::check`], unless it is up to date. Otherwise the next check builds it, so call
    /// this before passing the calendar to a thread that must not block.
    pub fn build_index(&self) {
        self.index();
    }

    fn index(&self) -> &Index {
        self.index.get_or_init(|| {
            let mut index = Index::default();
            for scheduled in self.entries.values() {
                let entry = &scheduled.committed.entry;
                let summary = EntrySummary { id: entry.id().into(), reason: entry.reason().into() };
                let kind = match entry {
                    Entry::Freeze(_) => EntryKind::Freeze,
                    Entry::Override(_) => EntryKind::Override,
                };
                index.add(summary, kind, entry.scope(), &scheduled.in_force);
            }
            index.finish();
            index
        })
    }

    /// Returns the freezes in force at any time in `span`, each with the start of its occurrence.
    pub(crate) fn freezes_in_force(&self, span: TimeInterval) -> impl Iterator<Item = (&Entry, Millis)> {
        let overlaps = move |it: &&Interval| it.start <= span.latest && span.earliest < it.end;
        let freezes = self.entries.values().filter(|it| matches!(it.committed.entry, Entry::Freeze(_)));
        freezes.filter_map(move |it| {
            let occurrence = it.in_force.iter().find(overlaps)?;
            Some((&it.committed.entry, occurrence.start))
        })
    }

    /// Checks whether a topology change is allowed now, or held and why. A freeze holds a change if it is in force at
    /// any time within the bounds of fleet time, and no override allows the change.
    pub fn check(&self, fleet_time: Option<TimeInterval>, lease: LeaseState, change: &Change<'_>) -> Verdict {
        let allow = |override_id| Verdict::Allow { revision: self.revision, override_id };
        if !change.kind.is_planned() {
            return allow(None);
        }
        let span = match (lease, fleet_time) {
            (LeaseState::Held | LeaseState::NoFleet, Some(span)) => span,
            (LeaseState::NoFleet, None) => return allow(None),
            _ => return Verdict::Hold { reason: HoldReason::NoLease, until: None },
        };
        let index = self.index();
        let Some(freeze) = index.find_freeze(span, change) else { return allow(None) };
        if let Some(summary) = index.find_override(span, change).and_then(|it| index.summary(it)) {
            return allow(Some(Arc::clone(&summary.id)));
        }
        let reason = index.summary(freeze).map_or(HoldReason::NoLease, |summary| HoldReason::Freeze {
            id: Arc::clone(&summary.id),
            reason: Arc::clone(&summary.reason),
        });
        Verdict::Hold { reason, until: Some(freeze.contiguous_end) }
    }
}
