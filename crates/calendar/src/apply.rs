//! The calendar: what was agreed, in the order of the log.

use crate::entry::{Entry, Proposal, ScopeTarget};
use crate::index::{Index, Title};
use crate::occurrences::{self, Interval};
use crate::{Change, HoldReason, Invalid, LeaseState, Millis, TimeInterval, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use thiserror::Error;

/// Entries: several for each day of the decades that a fleet lives.
pub const MAX_ENTRIES: usize = 10_000;
/// Occurrences of all entries, each counted once for every zone or host that it names: 50 MB of index at the worst.
pub const MAX_OCCURRENCES: usize = 100_000;
/// Milliseconds that an entry is kept behind its end, for whoever asks what held a change last month.
pub const RETENTION_MS: Millis = 90 * 24 * 3600 * 1000;
/// The form of the snapshot; another is refused.
const FORM: u16 = 1;

/// Why a proposal that was agreed has no effect, or should not be proposed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// It is not as it must be.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// `id` is taken.
    #[error("`id` is that of an entry that there is: {0}")]
    Duplicate(String),
    /// Nothing of that name is there to revoke.
    #[error("`id` names no entry that is not over: {0}")]
    Unknown(String),
    /// It would be over before it is in force.
    #[error("`end` is before the entry could be in force: {0}")]
    Over(String),
    /// Too many entries.
    #[error("`entries` has no room: {MAX_ENTRIES} at most")]
    Full,
    /// Too many occurrences together.
    #[error(
        "`repeat` has no room: {MAX_OCCURRENCES} occurrences at most, over all entries and the names in each"
    )]
    TooMany,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The entry is agreed.
    Added,
    /// The entry is over.
    Revoked,
    /// Nothing, at any balancer alike.
    Refused(ProposalError),
    /// Nothing: the calendar has that revision behind it.
    Known,
}

/// Where an entry is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// Not yet in force.
    Agreed,
    /// In force, or between two occurrences.
    InForce,
    /// Its last occurrence is over.
    Ended,
    /// Ended before its time.
    Revoked,
}

/// Why a snapshot is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// Not in the form of a snapshot.
    #[error("the calendar's snapshot is not in a form that is known")]
    Form,
    /// An entry in it is not as it must be.
    #[error("the calendar's snapshot holds an entry that cannot be: {0}")]
    Entry(#[from] ProposalError),
}

/// An entry, and when it was agreed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Agreed {
    at: Millis,
    revision: u64,
    revoked: Option<Millis>,
    entry: Entry,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Kept {
    agreed: Agreed,
    /// When it is in force; derived, as all that follows.
    force: Vec<Interval>,
    /// When it is over.
    end: Millis,
    /// Its part of [`MAX_OCCURRENCES`].
    places: usize,
}

impl Kept {
    fn new(agreed: Agreed, binding: Millis) -> Self {
        let least = agreed.at.saturating_add(binding);
        let last = agreed.revoked.unwrap_or(Millis::MAX);
        let (all, least) = match &agreed.entry {
            Entry::Freeze(it) => (occurrences::of_freeze(it), least),
            // An override holds nothing up: whoever has not heard of it holds more, which does no harm.
            Entry::Override(it) => {
                let end = occurrences::end_of_override(it).unwrap_or(0);
                (vec![Interval { start: agreed.at, end }], agreed.at)
            }
        };
        let clip = |it: Interval| Interval { start: it.start.max(least), end: it.end.min(last) };
        let force: Vec<_> = all.into_iter().map(clip).filter(|it| it.start < it.end).collect();
        let last = force.iter().map(|it| it.end).max();
        let end = last.max(agreed.revoked).unwrap_or(0);
        let names = match &agreed.entry.scope().place {
            ScopeTarget::Fleet => 1,
            ScopeTarget::Zones(names) | ScopeTarget::Group { hosts: names, .. } => names.len(),
        };
        Self { end, places: force.len() * names, agreed, force }
    }
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    form: u16,
    binding: Millis,
    revision: u64,
    entries: Vec<Agreed>,
}

/// The freezes and overrides that a fleet agreed on.
#[derive(Debug, Clone)]
pub struct Calendar {
    binding: Millis,
    revision: u64,
    entries: BTreeMap<String, Kept>,
    index: OnceLock<Index>,
}

impl PartialEq for Calendar {
    fn eq(&self, other: &Self) -> bool {
        (self.binding, self.revision, &self.entries) == (other.binding, other.revision, &other.entries)
    }
}

impl Calendar {
    /// An empty one. A freeze is in force no sooner than `binding` after it is agreed: a lease and the error of its clocks.
    pub fn new(binding: Millis) -> Self {
        Self { binding, revision: 0, entries: BTreeMap::new(), index: OnceLock::new() }
    }
    /// The last revision that it has applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }
    /// All entries by name, those that are over too.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|it| &it.agreed.entry)
    }
    /// The fleet time and the revision at which an entry was agreed.
    pub fn agreed_at(&self, id: &str) -> Option<(Millis, u64)> {
        self.entries.get(id).map(|it| (it.agreed.at, it.agreed.revision))
    }
    /// Where an entry is in its life.
    pub fn phase(&self, id: &str, fleet_time: Millis) -> Option<EntryPhase> {
        let kept = self.entries.get(id)?;
        let first = kept.force.first().map_or(Millis::MAX, |it| it.start);
        Some(match kept.agreed.revoked {
            Some(at) if at <= fleet_time => EntryPhase::Revoked,
            _ if fleet_time < first => EntryPhase::Agreed,
            _ if fleet_time < kept.end => EntryPhase::InForce,
            _ => EntryPhase::Ended,
        })
    }
    /// Whether the proposal would have an effect, were it agreed at `at`; to be asked before it is proposed.
    ///
    /// # Errors
    /// Why not, by the field.
    pub fn validate_proposal(&self, at: Millis, proposal: &Proposal) -> Result<(), ProposalError> {
        self.judge(0, at, proposal).map(|_| ())
    }
    fn judge(&self, revision: u64, at: Millis, proposal: &Proposal) -> Result<Kept, ProposalError> {
        proposal.validate()?;
        match proposal {
            Proposal::Add(entry) => self.admit(Agreed { at, revision, revoked: None, entry: entry.clone() }),
            Proposal::Revoke(it) => {
                let open =
                    self.entries.get(&it.id).filter(|kept| kept.agreed.revoked.is_none() && at < kept.end);
                let kept = open.ok_or_else(|| ProposalError::Unknown(it.id.clone()))?;
                Ok(Kept::new(Agreed { revoked: Some(at), ..kept.agreed.clone() }, self.binding))
            }
        }
    }
    fn admit(&self, agreed: Agreed) -> Result<Kept, ProposalError> {
        let id = agreed.entry.id().to_owned();
        if self.entries.contains_key(&id) {
            return Err(ProposalError::Duplicate(id));
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Err(ProposalError::Full);
        }
        let kept = Kept::new(agreed, self.binding);
        if kept.force.is_empty() && kept.agreed.revoked.is_none() {
            return Err(ProposalError::Over(id));
        }
        let places: usize = self.entries.values().map(|it| it.places).sum();
        if places + kept.places > MAX_OCCURRENCES { Err(ProposalError::TooMany) } else { Ok(kept) }
    }
    /// Takes what the log says at a revision. Whoever applies the same log has the same calendar.
    pub fn apply(&mut self, revision: u64, at: Millis, proposal: &Proposal) -> Applied {
        if revision <= self.revision {
            return Applied::Known;
        }
        self.revision = revision;
        self.index = OnceLock::new();
        self.entries.retain(|_, it| it.end.saturating_add(RETENTION_MS) > at);
        match self.judge(revision, at, proposal) {
            Err(refused) => Applied::Refused(refused),
            Ok(kept) => {
                self.entries.insert(kept.agreed.entry.id().to_owned(), kept);
                if matches!(proposal, Proposal::Add(_)) { Applied::Added } else { Applied::Revoked }
            }
        }
    }
    /// All of it as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let entries = self.entries.values().map(|it| it.agreed.clone()).collect();
        let all = Snapshot { form: FORM, binding: self.binding, revision: self.revision, entries };
        postcard::to_stdvec(&all).unwrap_or_default()
    }
    /// The calendar that a snapshot was taken of.
    ///
    /// # Errors
    /// When the bytes are no snapshot, or one of entries that could not have been agreed.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let (all, rest): (Snapshot, _) = postcard::take_from_bytes(bytes).map_err(|_| RestoreError::Form)?;
        if all.form != FORM || !rest.is_empty() || all.entries.len() > MAX_ENTRIES {
            return Err(RestoreError::Form);
        }
        let mut calendar = Self { revision: all.revision, ..Self::new(all.binding) };
        let mut places = 0;
        for agreed in all.entries {
            Proposal::Add(agreed.entry.clone()).validate().map_err(ProposalError::from)?;
            let id = agreed.entry.id().to_owned();
            let kept = Kept::new(agreed, all.binding);
            places += kept.places;
            if places > MAX_OCCURRENCES {
                return Err(ProposalError::TooMany.into());
            }
            if calendar.entries.insert(id.clone(), kept).is_some() {
                return Err(ProposalError::Duplicate(id).into());
            }
        }
        Ok(calendar)
    }
    /// Lays the entries out for checks, where they changed. The first check does it too; whoever hands the calendar to a thread
    /// that must not wait calls this first.
    pub fn build_index(&self) {
        self.index();
    }
    fn index(&self) -> &Index {
        self.index.get_or_init(|| {
            let mut index = Index::default();
            for kept in self.entries.values() {
                let entry = &kept.agreed.entry;
                let title = Title { id: entry.id().into(), reason: entry.reason().into() };
                index.add(title, matches!(entry, Entry::Freeze(_)), entry.scope(), &kept.force);
            }
            index.settle();
            index
        })
    }
    /// The freezes with a moment of the span in force, each with the start of its occurrence.
    pub(crate) fn in_force(&self, span: TimeInterval) -> impl Iterator<Item = (&Entry, Millis)> {
        let now = move |it: &&Interval| it.start <= span.latest && span.earliest < it.end;
        let freezes = self.entries.values().filter(|it| matches!(it.agreed.entry, Entry::Freeze(_)));
        freezes.filter_map(move |it| it.force.iter().find(now).map(|at| (&it.agreed.entry, at.start)))
    }
    /// The one check of every change of topology: taken, or held and why. Frozen if any moment that fleet time can be is.
    pub fn check(
        &self, fleet_time: Option<TimeInterval>, standing: LeaseState, change: &Change<'_>,
    ) -> Verdict {
        let take = |override_id| Verdict::Allow { revision: self.revision, override_id };
        if !change.kind.planned() {
            return take(None);
        }
        let span = match (standing, fleet_time) {
            (LeaseState::Held | LeaseState::NoFleet, Some(span)) => span,
            (LeaseState::NoFleet, None) => return take(None),
            _ => return Verdict::Hold { reason: HoldReason::NoLease, until: None },
        };
        let index = self.index();
        let Some(freeze) = index.freeze(span, change) else { return take(None) };
        if let Some(title) = index.leave(span, change).and_then(|it| index.title(it)) {
            return take(Some(Arc::clone(&title.id)));
        }
        let reason = index.title(freeze).map_or(HoldReason::NoLease, |title| HoldReason::Freeze {
            id: Arc::clone(&title.id),
            reason: Arc::clone(&title.reason),
        });
        Verdict::Hold { reason, until: Some(freeze.until) }
    }
}
