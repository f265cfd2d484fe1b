//! The queue of held changes, with the newest state of each subject, and the pace of their release.

use crate::{ChangeKind, HoldReason, Millis};
use hashlink::LinkedHashMap;

/// Upper bound on the held changes: more endpoints than a list can name.
pub const MAX_PENDING_CHANGES: usize = 16_384;

/// How fast held changes are released. It limits the load of cold endpoints on the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasePace {
    /// Endpoints in one step; at least one.
    pub hosts: usize,
    /// Time from one step to the next, on the owner's clock.
    pub pause: Millis,
}

/// A held change.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingChange<T> {
    /// Why it is held, as of the last check.
    pub reason: HoldReason,
    /// What changes.
    pub kind: ChangeKind,
    /// When it was first held, on the owner's clock.
    pub since: Millis,
    /// The newest state.
    pub state: T,
    /// The fleet time at which to check again, if known.
    pub until: Option<Millis>,
}

/// A released change, with its subject.
#[derive(Debug, Clone, PartialEq)]
pub struct ReleasedChange<T> {
    /// What the change is about.
    pub subject: String,
    /// The change.
    pub change: PendingChange<T>,
}

/// The outcome of the review of a held change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Review {
    /// It is applied, and leaves the queue.
    Applied,
    /// A part of it is applied, and the rest is held.
    Partial,
    /// It stays held.
    Held,
}

/// A bounded queue of held changes. Only changes that add capacity may be held: losses apply at once, so that none queues
/// behind a join.
#[derive(Debug, Clone)]
pub struct PendingChanges<T> {
    queue: LinkedHashMap<String, PendingChange<T>>,
    pace: ReleasePace,
    next_release_at: Millis,
}

impl<T: PartialEq> PendingChanges<T> {
    /// Creates an empty queue.
    pub fn new(pace: ReleasePace) -> Self {
        Self { queue: LinkedHashMap::new(), pace, next_release_at: 0 }
    }

    /// The number of held changes.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no change is held.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The held changes with their subjects, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &PendingChange<T>)> {
        self.queue.iter().map(|(subject, it)| (subject.as_str(), it))
    }

    /// The held change of a subject.
    pub fn get(&self, subject: &str) -> Option<&PendingChange<T>> {
        self.queue.get(subject)
    }

    /// Holds a change. A change of a queued subject replaces the queued one, and keeps its position and age. Returns whether
    /// the queue has changed.
    ///
    /// # Errors
    /// The change, when the queue is full.
    pub fn hold(&mut self, subject: &str, change: PendingChange<T>) -> Result<bool, PendingChange<T>> {
        if let Some(queued) = self.queue.get_mut(subject) {
            let since = queued.since;
            let before = std::mem::replace(queued, PendingChange { since, ..change });
            return Ok(before != *queued);
        }
        if self.queue.len() >= MAX_PENDING_CHANGES {
            return Err(change);
        }
        self.queue.insert(subject.to_owned(), change);
        Ok(true)
    }

    /// Drops the held change of a subject that needs none any more.
    pub fn cancel(&mut self, subject: &str) -> Option<PendingChange<T>> {
        self.queue.remove(subject)
    }

    /// When the next release is due, on the owner's clock; `None` while no change is held.
    pub fn next_release_at(&self) -> Option<Millis> {
        (!self.queue.is_empty()).then_some(self.next_release_at)
    }

    /// Releases, from the front, at most one step of the changes that `allowed` accepts.
    pub fn release_due(
        &mut self, now: Millis, mut allowed: impl FnMut(&str, &PendingChange<T>) -> bool,
    ) -> Vec<ReleasedChange<T>> {
        self.review(now, |subject, it| if allowed(subject, it) { Review::Applied } else { Review::Held })
    }

    /// Reviews held changes from the front, until one step of them is applied. Returns those that left the queue.
    pub(crate) fn review(
        &mut self, now: Millis, mut reviewer: impl FnMut(&str, &mut PendingChange<T>) -> Review,
    ) -> Vec<ReleasedChange<T>> {
        if now < self.next_release_at {
            return Vec::new();
        }
        let max_applied = self.pace.hosts.max(1);
        let (mut applied, mut subjects) = (0, Vec::new());
        for (subject, change) in &mut self.queue {
            if applied >= max_applied {
                break;
            }
            let review = reviewer(subject, change);
            applied += usize::from(review != Review::Held);
            if review == Review::Applied {
                subjects.push(subject.clone());
            }
        }
        // Also if nothing was applied: an owner that wakes for the next release must not spin through a freeze.
        self.next_release_at = now.saturating_add(self.pace.pause.max(1));
        let release = |subject: String| {
            let change = self.queue.remove(&subject)?;
            Some(ReleasedChange { subject, change })
        };
        subjects.into_iter().filter_map(release).collect()
    }
}
