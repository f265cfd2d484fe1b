//! Applies committed items and snapshots to the log, and reports them to the owner.
use super::Agreement;
use crate::{
    action::Action,
    codec::encode,
    message::LogSnapshot,
    segment::LogItem,
    store::{Store, StoreChange},
    types::{Entry, Micros, Revision},
};

impl<E: Entry, S: Store> Agreement<E, S> {
    /// Applies the snapshot and the items that were loaded from the store.
    pub(super) fn apply_recovered(
        &mut self, now: Micros, snapshot: Option<LogSnapshot>, items: Vec<LogItem<E>>,
    ) {
        if let Some(snapshot) = snapshot {
            self.restore(snapshot);
        }
        for item in items {
            self.append_committed(item);
        }
        self.enter_segment(now);
    }

    /// Applies the items that the replica has committed since the last call.
    pub(super) fn apply_committed(&mut self, now: Micros) {
        // Applying a stop sign replaces the replica, so each iteration polls the current replica.
        while let Some(replica) = &mut self.replica {
            let committed = replica.poll_committed();
            if committed.is_empty() {
                return;
            }
            for committed in committed {
                self.apply_item(now, committed.revision, committed.item);
            }
        }
    }

    /// Applies items that another balancer sent; `first` is the revision of the first one.
    pub(super) fn apply_items(&mut self, now: Micros, first: Revision, items: Vec<LogItem<E>>) {
        for (revision, item) in (first..).zip(items) {
            self.apply_item(now, revision, item);
        }
    }

    /// Applies an item if it is the next one of the log.
    fn apply_item(&mut self, now: Micros, revision: Revision, item: LogItem<E>) {
        if revision != self.log.last_revision() + 1 {
            return;
        }
        let ends_segment = matches!(item, LogItem::StopSign(_));
        let change = StoreChange::Items { from: revision, items: vec![encode(&item)] };
        self.journal.lock().record(change);
        self.catch_up.has_new_items = true;
        self.append_committed(item);
        if ends_segment {
            self.enter_segment(now);
        }
    }

    /// Appends the next item to the log and reports it to the owner.
    fn append_committed(&mut self, item: LogItem<E>) {
        self.log.push(item.clone());
        let revision = self.log.last_revision();
        let key = item.proposal_key();
        self.actions.push_back(match item {
            LogItem::Entry(stamped) => Action::Committed { revision, stamped },
            LogItem::StopSign(stamped) => {
                Action::VotersChanged { revision, timestamp: stamped.timestamp, voters: stamped.entry }
            }
        });
        if key.proposer == self.settings.node_id
            && let Some(finished) = self.proposals.handle_committed(key.proposal_id, revision)
        {
            self.report_finished(finished);
        }
    }

    /// Installs a snapshot that another balancer sent, if it is ahead of the log.
    pub(super) fn install_snapshot(&mut self, now: Micros, snapshot: LogSnapshot) {
        let is_ahead =
            snapshot.revision > self.log.last_revision() && snapshot.segment.id >= self.log.segment().id;
        if !is_ahead {
            return;
        }
        {
            let mut journal = self.journal.lock();
            journal.record(StoreChange::Snapshot(encode(&snapshot)));
            journal.record(StoreChange::Trim(snapshot.revision));
        }
        self.restore(snapshot);
        self.catch_up.handle_response();
        self.catch_up.has_new_items = true;
        self.enter_segment(now);
        self.request_missing_items(now);
    }

    fn restore(&mut self, snapshot: LogSnapshot) {
        self.actions.push_back(Action::Restore {
            revision: snapshot.revision,
            timestamp: snapshot.timestamp,
            snapshot: snapshot.state.clone(),
        });
        self.log.restore(snapshot);
    }
}
