//! Keeps all balancers up to date: advertises the commit index, requests missing items, and responds to the
//! requests of other balancers.
use super::Agreement;
use crate::{
    message::MessageBody,
    store::Store,
    types::{Entry, Micros, NodeId, Revision},
};

/// Maximum size of the new items in an advertisement, in bytes. With its header, an advertisement stays below
/// [`crate::MAX_MESSAGE_BYTES`].
const MAX_ADVERTISED_BYTES: usize = 900;

impl<E: Entry, S: Store> Agreement<E, S> {
    /// An advertisement of the commit index, without items.
    pub(super) fn commit_advertisement(&self) -> MessageBody<E> {
        self.commit_advertisement_with(0)
    }

    fn commit_advertisement_with(&self, max_item_bytes: usize) -> MessageBody<E> {
        let newest = self.log.newest_items(max_item_bytes);
        MessageBody::CommitAdvertisement {
            revision: self.log.last_revision(),
            leader: self.leader_hint(),
            first: newest.first,
            items: newest.items,
        }
    }

    /// Advertises the commit index to some balancers when an advertisement is due, and new items immediately.
    pub(super) fn advertise(&mut self, now: Micros) {
        let receivers = self.catch_up.poll_advertisement(now, &mut self.random);
        let has_new_items = std::mem::take(&mut self.catch_up.has_new_items);
        if receivers.is_empty() {
            return;
        }
        let max_item_bytes = if has_new_items { MAX_ADVERTISED_BYTES } else { 0 };
        let advertisement = self.commit_advertisement_with(max_item_bytes);
        for receiver in receivers {
            self.send(receiver, advertisement.clone());
        }
    }

    /// Requests the next items if this balancer lags and no request is pending.
    pub(super) fn request_missing_items(&mut self, now: Micros) {
        let applied = self.log.last_revision();
        if let Some(to) = self.catch_up.poll_request(now, applied, &mut self.random) {
            self.send(to, MessageBody::CatchUpRequest { applied });
        }
    }

    /// Responds with the items after `applied`, or with a snapshot if they are trimmed.
    pub(super) fn handle_catch_up_request(&mut self, from: NodeId, applied: Revision) {
        if applied >= self.log.last_revision() || !self.catch_up.admit_response() {
            return;
        }
        let first = applied + 1;
        if let Some(items) = self.log.items_from(first) {
            self.send(from, MessageBody::CatchUpItems { first, items });
        } else if let Some(snapshot) = self.log.snapshot().cloned() {
            self.send(from, MessageBody::SnapshotTransfer(snapshot));
        }
    }
}
