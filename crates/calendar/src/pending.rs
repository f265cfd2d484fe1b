//! The queue of held changes, which keeps the newest state of each subject, and the pace at which it releases them.

use crate::{ChangeKind, HoldReason, Millis};
use hashlink::LinkedHashMap;

/// Maximum number of held changes: more than the endpoints that a list can name.
pub const MAX_PENDING_CHANGES: usize = 16_384;

/// The pace at which held changes are released. It limits the load that cold endpoints put on the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasePace {
    /// Number of endpoints released in one step. 0 counts as 1.
    pub endpoints_per_step: usize,
    /// Time from one step to the next, on the owner's clock.
    pub interval_ms: Millis,
}

/// A held change.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingChange<T> {
    /// Why the change is held, according to the last check.
    pub reason: HoldReason,
    /// The kind of the change.
    pub kind: ChangeKind,
    /// When the change was first held, on the owner's clock.
    pub since: Millis,
    /// The newest state of the subject.
    pub state: T,
    /// The fleet time at which to check again, if known.
    pub until: Option<Millis>,
}

/// A released change, with its subject.
#[derive(Debug, Clone, PartialEq)]
pub struct ReleasedChange<T> {
    /// The endpoint or other subject that changes.
    pub subject: String,
    /// The change.
    pub change: PendingChange<T>,
}

/// The result of reviewing a held change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Review {
    /// The change is applied and leaves the queue.
    Applied,
    /// A part of the change is applied, and the rest stays in the queue.
    Partial,
    /// The change stays in the queue.
    Held,
}

/// A bounded queue of held changes. Losses of capacity must not be held but applied at once, so that no loss queues
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

    /// Returns the number of held changes.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no change is held.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the held changes with their subjects, in the order of their release.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &PendingChange<T>)> {
        self.queue.iter().map(|(subject, it)| (subject.as_str(), it))
    }

    /// Returns the held change of a subject.
    pub fn get(&self, subject: &str) -> Option<&PendingChange<T>> {
        self.queue.get(subject)
    }

    /// Holds a change. If the subject is already queued, the change replaces the queued one and keeps its position and
    /// age. Returns whether the queue has changed.
    ///
    /// # Errors
    /// Returns the change if the queue is full.
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

    /// Removes the held change of a subject, if any.
    pub fn cancel(&mut self, subject: &str) -> Option<PendingChange<T>> {
        self.queue.remove(subject)
    }

    /// Returns when the next release is due, on the owner's clock, or `None` if no change is held.
    pub fn next_release_at(&self) -> Option<Millis> {
        (!self.queue.is_empty()).then_some(self.next_release_at)
    }

    /// Releases the changes that `allowed` accepts, from the front of the queue and at most as many as one step allows.
    pub fn release_due(
        &mut self, now: Millis, mut allowed: impl FnMut(&str, &PendingChange<T>) -> bool,
    ) -> Vec<ReleasedChange<T>> {
        self.review(now, |subject, it| if allowed(subject, it) { Review::Applied } else { Review::Held })
    }

    /// Reviews held changes from the front of the queue, until as many are applied as one step allows. Returns the
    /// changes that left the queue.
    pub(crate) fn review(
        &mut self, now: Millis, mut reviewer: impl FnMut(&str, &mut PendingChange<T>) -> Review,
    ) -> Vec<ReleasedChange<T>> {
        if now < self.next_release_at {
            return Vec::new();
        }
        let max_applied = self.pace.endpoints_per_step.max(1);
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
        // Set even if nothing was applied. Otherwise an owner that wakes for the next release would busy-loop during a
        // freeze.
        self.next_release_at = now.saturating_add(self.pace.interval_ms.max(1));
        let release = |subject: String| {
            let change = self.queue.remove(&subject)?;
            Some(ReleasedChange { subject, change })
        };
        subjects.into_iter().filter_map(release).collect()
    }
}
