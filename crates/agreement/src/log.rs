//! The decided part of the log as this balancer keeps it, behind a snapshot of what came before.
use crate::{
    Entry, NodeId, Revision, StoreChange,
    journal::{Journal, encode},
    message::Image,
    segment::{Item, Segment},
};
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// Items kept before the snapshot's revision, for those little behind and to know proposals that come twice.
pub(crate) const KEPT: u64 = 2_048;
/// Items kept at most; a leader with so many takes no proposals until its owner hands a snapshot.
pub(crate) const MOST: u64 = 16_384;
/// Bytes of items in one answer.
const ANSWER_BYTES: usize = 64 * 1024;

pub(crate) struct Log<E> {
    first: Revision,
    items: VecDeque<Item<E>>,
    /// The segment that `first` lies in, and the one the next item will lie in.
    before: Segment,
    segment: Segment,
    image: Option<Image>,
    last_at: u64,
    names: FxHashSet<(NodeId, u64)>,
}

impl<E: Entry> Log<E> {
    pub(crate) fn new(founding: Segment) -> Self {
        let (before, segment) = (founding.clone(), founding);
        let names = FxHashSet::default();
        Log { first: 1, items: VecDeque::new(), before, segment, image: None, last_at: 0, names }
    }

    pub(crate) fn applied(&self) -> Revision {
        self.first + self.items.len() as u64 - 1
    }
    pub(crate) fn segment(&self) -> &Segment {
        &self.segment
    }
    pub(crate) fn last_at(&self) -> u64 {
        self.last_at
    }
    pub(crate) fn full(&self) -> bool {
        self.items.len() as u64 >= MOST
    }
    pub(crate) fn image(&self) -> Option<&Image> {
        self.image.as_ref()
    }

    /// Whether a proposal made when `after` was known is in the log; none if that is too long ago to tell.
    pub(crate) fn has(&self, name: (NodeId, u64), after: Revision) -> Option<bool> {
        (after + 1 >= self.first).then(|| self.names.contains(&name))
    }

    /// Takes the next item.
    pub(crate) fn push(&mut self, item: Item<E>) {
        self.last_at = item.at();
        self.names.insert(item.name());
        self.items.push_back(item);
        let revision = self.applied();
        if let Some(Item::Stop(stop)) = self.items.back() {
            self.segment = Segment { id: self.segment.id + 1, base: revision, members: stop.entry.clone() };
        }
    }

    /// Items from a revision on, as many as go into one answer.
    pub(crate) fn from(&self, revision: Revision) -> Option<Vec<Item<E>>> {
        let skip = revision.checked_sub(self.first)? as usize;
        let mut bytes = 0;
        let fits = |item: &&Item<E>| {
            bytes += encode(item).len();
            bytes <= ANSWER_BYTES
        };
        Some(self.items.iter().skip(skip).take_while(fits).cloned().collect())
    }

    /// The newest items that together are no longer than `most` bytes.
    pub(crate) fn newest(&self, most: usize) -> (Revision, Vec<Item<E>>) {
        let mut bytes = 0;
        let fits = |item: &&Item<E>| {
            bytes += encode(item).len();
            bytes <= most
        };
        let mut items: Vec<_> = self.items.iter().rev().take(8).take_while(fits).cloned().collect();
        items.reverse();
        (self.applied() + 1 - items.len() as u64, items)
    }

    fn segment_at(&self, revision: Revision) -> Segment {
        let mut segment = self.before.clone();
        for (at, item) in (self.first..=revision).zip(&self.items) {
            if let Item::Stop(stop) = item {
                segment = Segment { id: segment.id + 1, base: at, members: stop.entry.clone() };
            }
        }
        segment
    }

    /// Keeps a snapshot of the owner's state and trims what lies well before it.
    pub(crate) fn snapshot(&mut self, revision: Revision, bytes: bytes::Bytes, journal: &mut Journal<E>) {
        let newer = self.image.as_ref().is_none_or(|image| image.revision < revision);
        if !newer || revision < self.first || revision > self.applied() {
            return;
        }
        let at = self.items[(revision - self.first) as usize].at();
        let image = Image { revision, at, segment: self.segment_at(revision), bytes };
        journal.note(StoreChange::Snapshot(encode(&image)));
        self.image = Some(image);
        let to = revision.saturating_sub(KEPT);
        if to >= self.first {
            self.before = self.segment_at(to);
            for item in self.items.drain(..(to + 1 - self.first) as usize) {
                self.names.remove(&item.name());
            }
            self.first = to + 1;
            journal.note(StoreChange::Trim(to));
        }
    }

    /// Starts anew behind a snapshot.
    pub(crate) fn restore(&mut self, image: Image) {
        self.first = image.revision + 1;
        self.items.clear();
        self.names.clear();
        self.before = image.segment.clone();
        self.segment = image.segment.clone();
        self.last_at = image.at;
        self.image = Some(image);
    }
}
