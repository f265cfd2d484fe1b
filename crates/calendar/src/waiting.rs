//! Changes that are held, each subject's newest state in the place of its first, and how they are taken at the end.

use crate::{ChangeKind, HoldReason, Millis};
use hashlink::LinkedHashMap;

/// Subjects that wait: more hosts than a list can name.
pub const MAX_WAITING: usize = 16_384;

/// How what waited is taken: no host that is cold, nor the archive behind, pays for all at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasePace {
    /// Hosts at once; at least one.
    pub hosts: usize,
    /// From one step to the next, on the owner's clock.
    pub pause: Millis,
}

/// A change that is held.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingChange<T> {
    /// Why, as of the last look.
    pub reason: HoldReason,
    /// What changes.
    pub kind: ChangeKind,
    /// Since when, on the owner's clock.
    pub since: Millis,
    /// The newest state.
    pub state: T,
    /// The fleet time at which to look again, where it is known.
    pub until: Option<Millis>,
}

/// What became of a change that was looked at in its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Looked {
    /// It is taken.
    Taken,
    /// A part is taken, and the rest waits on.
    InPart,
    /// It waits on.
    Held,
}

/// A bounded queue of what is held. Only what adds may be put here: losses pass at once, so that none is behind a join.
#[derive(Debug, Clone)]
pub struct PendingChanges<T> {
    queue: LinkedHashMap<String, PendingChange<T>>,
    steps: ReleasePace,
    next: Millis,
}

impl<T: PartialEq> PendingChanges<T> {
    /// An empty one.
    pub fn new(steps: ReleasePace) -> Self {
        Self { queue: LinkedHashMap::new(), steps, next: 0 }
    }
    /// How many wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }
    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
    /// What waits, in its order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &PendingChange<T>)> {
        self.queue.iter().map(|(subject, it)| (subject.as_str(), it))
    }
    /// What waits of a subject.
    pub fn get(&self, subject: &str) -> Option<&PendingChange<T>> {
        self.queue.get(subject)
    }
    /// Holds a change. One of the same subject is merged into it, and keeps its place and its age. Whether anything is new of
    /// it.
    ///
    /// # Errors
    /// The change, when there is no room.
    pub fn hold(&mut self, subject: &str, change: PendingChange<T>) -> Result<bool, PendingChange<T>> {
        if let Some(there) = self.queue.get_mut(subject) {
            let since = there.since;
            let before = std::mem::replace(there, PendingChange { since, ..change });
            return Ok(before != *there);
        }
        if self.queue.len() >= MAX_WAITING {
            return Err(change);
        }
        self.queue.insert(subject.to_owned(), change);
        Ok(true)
    }
    /// Forgets a subject that wants nothing any more.
    pub fn cancel(&mut self, subject: &str) -> Option<PendingChange<T>> {
        self.queue.remove(subject)
    }
    /// The next look, on the owner's clock; `None` while nothing waits.
    pub fn wake(&self) -> Option<Millis> {
        (!self.queue.is_empty()).then_some(self.next)
    }
    /// Takes, from the front, at most one step of what `may` lets pass.
    pub fn due(
        &mut self, now: Millis, mut may: impl FnMut(&str, &PendingChange<T>) -> bool,
    ) -> Vec<(String, PendingChange<T>)> {
        let mut taken = Vec::new();
        self.look(now, |subject, it| if may(subject, it) { Looked::Taken } else { Looked::Held }, &mut taken);
        taken
    }
    pub(crate) fn look(
        &mut self, now: Millis, mut at: impl FnMut(&str, &mut PendingChange<T>) -> Looked,
        taken: &mut Vec<(String, PendingChange<T>)>,
    ) {
        if now < self.next {
            return;
        }
        let most = self.steps.hosts.max(1);
        let (mut took, mut over) = (0, Vec::new());
        for (subject, waited) in &mut self.queue {
            if took >= most {
                break;
            }
            let looked = at(subject, waited);
            took += usize::from(looked != Looked::Held);
            if looked == Looked::Taken {
                over.push(subject.clone());
            }
        }
        // After a look in vain too: an owner that wakes for the next one must not spin through a freeze.
        self.next = now.saturating_add(self.steps.pause.max(1));
        for subject in over {
            if let Some(it) = self.queue.remove(&subject) {
                taken.push((subject, it));
            }
        }
    }
}
