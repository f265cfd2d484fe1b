//! The committed items that this balancer retains, and the snapshot that replaces trimmed ones.
use crate::{
    codec::encode,
    message::LogSnapshot,
    segment::{LogItem, Segment},
    types::{Entry, ProposalKey, Revision},
};
use bytes::Bytes;
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// Number of items retained before the snapshot's revision, to serve slightly lagging balancers and to detect
/// repeated proposals.
const RETAINED_ITEMS: u64 = 2_048;
/// Number of items at which the log is full: a leader then accepts no proposals until its owner supplies a
/// snapshot.
const MAX_ITEMS: u64 = 16_384;
/// Maximum size of the items in one catch-up response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Maximum number of items in one commit advertisement.
const MAX_ADVERTISED_ITEMS: usize = 8;

/// The changes made by [`CommittedLog::install_owner_snapshot`].
pub(crate) struct Compaction<'a> {
    pub(crate) snapshot: &'a LogSnapshot,
    /// Items up to this revision are trimmed.
    pub(crate) trimmed_to: Option<Revision>,
}

/// Consecutive items of the log.
pub(crate) struct ItemRange<E> {
    pub(crate) first: Revision,
    pub(crate) items: Vec<LogItem<E>>,
}

/// The committed items from `first_revision` on. Detects proposals that are already committed.
pub(crate) struct CommittedLog<E> {
    first_revision: Revision,
    items: VecDeque<LogItem<E>>,
    /// The segment of `first_revision`.
    first_segment: Segment,
    /// The segment of the next item.
    segment: Segment,
    snapshot: Option<LogSnapshot>,
    last_timestamp: u64,
    /// The keys of the proposals in `items`.
    proposals: FxHashSet<ProposalKey>,
}

impl<E: Entry> CommittedLog<E> {
    pub(crate) fn new(founding: Segment) -> Self {
        CommittedLog {
            first_revision: 1,
            items: VecDeque::new(),
            first_segment: founding.clone(),
            segment: founding,
            snapshot: None,
            last_timestamp: 0,
            proposals: FxHashSet::default(),
        }
    }

    /// The commit index: the revision of the last item.
    pub(crate) fn last_revision(&self) -> Revision {
        self.first_revision + self.items.len() as u64 - 1
    }

    pub(crate) fn segment(&self) -> &Segment {
        &self.segment
    }

    pub(crate) fn last_timestamp(&self) -> u64 {
        self.last_timestamp
    }

    /// Whether the log is full: it retains [`MAX_ITEMS`] or more.
    pub(crate) fn is_full(&self) -> bool {
        self.items.len() as u64 >= MAX_ITEMS
    }

    pub(crate) fn snapshot(&self) -> Option<&LogSnapshot> {
        self.snapshot.as_ref()
    }

    /// Whether a proposal made at the commit index `proposed_after` is in the log; `None` if items that
    /// may hold it are trimmed.
    pub(crate) fn contains_proposal(&self, key: ProposalKey, proposed_after: Revision) -> Option<bool> {
        (proposed_after + 1 >= self.first_revision).then(|| self.proposals.contains(&key))
    }

    /// Appends the next item.
    pub(crate) fn push(&mut self, item: LogItem<E>) {
        self.last_timestamp = item.timestamp();
        self.proposals.insert(item.proposal_key());
        self.items.push_back(item);
        let revision = self.last_revision();
        if let Some(LogItem::StopSign(stamped)) = self.items.back() {
            self.segment = self.segment.next(revision, stamped.entry.clone());
        }
    }

    /// The items from `revision` on that fit one catch-up response; `None` if the first of them is trimmed.
    pub(crate) fn items_from(&self, revision: Revision) -> Option<Vec<LogItem<E>>> {
        let skipped = revision.checked_sub(self.first_revision)? as usize;
        let fits = fits_within(MAX_RESPONSE_BYTES);
        Some(self.items.iter().skip(skipped).take_while(fits).cloned().collect())
    }

    /// The newest items whose total size is at most `max_bytes`.
    pub(crate) fn newest_items(&self, max_bytes: usize) -> ItemRange<E> {
        let newest = self.items.iter().rev().take(MAX_ADVERTISED_ITEMS);
        let mut items: Vec<_> = newest.take_while(fits_within(max_bytes)).cloned().collect();
        items.reverse();
        ItemRange { first: self.last_revision() + 1 - items.len() as u64, items }
    }

    /// The segment that follows the item at `revision`.
    fn segment_after(&self, revision: Revision) -> Segment {
        let mut segment = self.first_segment.clone();
        for (at, item) in (self.first_revision..=revision).zip(&self.items) {
            if let LogItem::StopSign(stamped) = item {
                segment = segment.next(at, stamped.entry.clone());
            }
        }
        segment
    }

    /// Stores a snapshot of the owner's state and trims the items well before it. Ignores a snapshot that is not
    /// newer than the last one, or whose revision is not retained.
    pub(crate) fn install_owner_snapshot(
        &mut self, revision: Revision, state: Bytes,
    ) -> Option<Compaction<'_>> {
        let is_newer = self.snapshot.as_ref().is_none_or(|snapshot| snapshot.revision < revision);
        if !is_newer || revision < self.first_revision || revision > self.last_revision() {
            return None;
        }
        let timestamp = self.items[(revision - self.first_revision) as usize].timestamp();
        let segment = self.segment_after(revision);
        let trimmed_to =
            Some(revision.saturating_sub(RETAINED_ITEMS)).filter(|to| *to >= self.first_revision);
        if let Some(to) = trimmed_to {
            self.trim(to);
        }
        let snapshot = self.snapshot.insert(LogSnapshot { revision, timestamp, segment, state });
        Some(Compaction { snapshot, trimmed_to })
    }

    /// Removes the items up to and including revision `to`.
    fn trim(&mut self, to: Revision) {
        self.first_segment = self.segment_after(to);
        for item in self.items.drain(..(to + 1 - self.first_revision) as usize) {
            self.proposals.remove(&item.proposal_key());
        }
        self.first_revision = to + 1;
    }

    /// Restarts the log after a snapshot, either received from another balancer or loaded from the store.
    pub(crate) fn restore(&mut self, snapshot: LogSnapshot) {
        self.first_revision = snapshot.revision + 1;
        self.items.clear();
        self.proposals.clear();
        self.first_segment = snapshot.segment.clone();
        self.segment = snapshot.segment.clone();
        self.last_timestamp = snapshot.timestamp;
        self.snapshot = Some(snapshot);
    }
}

/// Returns a predicate that holds while the total size of the items passed to it is at most `max_bytes`.
fn fits_within<E: Entry>(max_bytes: usize) -> impl FnMut(&&LogItem<E>) -> bool {
    let mut bytes = 0;
    move |item| {
        bytes += encode(*item).len();
        bytes <= max_bytes
    }
}
