//! The list of hosts as discovery tells it, what staff have ordered laid over it, and the file that these orders outlive
//! the process in.

use super::{Engine, Input};
use crate::override_file::OverrideFile;
use decide::api::Event;
use maintenance::{CommandOutcome, OperatorOverrides, OverrideChange, StoreAction};
use proto::discovery::EndpointList;
use std::io;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::Instant;

/// How often the orders that another process of this balancer may have been given are looked for. They are due 250 ms
/// after that process has said yes.
pub(super) const ORDERS_SEEN: Duration = Duration::from_millis(100);
/// How long a start waits for the orders of the process before, on a disk that stands still: it is due ready within 6 s.
pub(super) const FIRST_ORDERS: Duration = Duration::from_secs(4);

/// The file of the orders in force.
pub(super) const ORDERS: &str = "spindlebeam-orders.json";

/// From what time on a list that was slow to be in force is a warning: a part of the grace that drains leave.
const SLOW_LIST: Duration = Duration::from_millis(50);

/// Says how long a list, or changes to it, took from being handed on to being in force.
fn log_in_force(list: &EndpointList, took: Duration) {
    let level = if took >= SLOW_LIST { log::Level::Warn } else { log::Level::Debug };
    let (revision, members) = (list.revision, list.members.len());
    log::log!(level, "discovery: revision {revision}, {members} members, in force after {took:?}");
}

impl Engine {
    /// Takes in a list of discovery, or changes to it. What it says of endpoints is in force before any of them is dialled.
    pub(super) fn take_list(&mut self, list: &EndpointList, handed_on: Instant) {
        self.told(list, false);
        self.settle();
        log_in_force(list, handed_on.elapsed());
        self.awaits.list = false;
        self.dial_listed(list);
    }

    pub(super) fn told(&mut self, list: &EndpointList, cached: bool) {
        match self.gated(list) {
            Some(passed) => self.let_in(&passed, cached),
            None => self.let_in(list, cached),
        }
    }

    /// What staff have ordered is laid over a list behind the fleet's gate, which holds none of it.
    pub(super) fn let_in(&mut self, list: &EndpointList, cached: bool) {
        let laid = self.maintenance.apply_list(list);
        self.listed(&laid, cached);
    }

    fn listed(&mut self, list: &EndpointList, cached: bool) {
        let (kind, entries, stale) = self.group.apply(list, cached);
        stale.into_iter().for_each(|id| self.pools.close_idle(id));
        self.events.push_back(Event::EndpointList(kind, entries));
    }

    /// Does what is to be done about orders. The module has heard of one before anybody is told that it is in force.
    pub(super) fn keep(&mut self) {
        while let Some(step) = self.keeping.poll() {
            match step {
                StoreAction::Read => self.on_file(OverrideFile::poll, Input::Looked),
                StoreAction::Write(orders) => {
                    self.on_file(move |file| file.save(&orders), Input::Wrote);
                }
                StoreAction::Changed(change, hosts) => {
                    match change {
                        OverrideChange::Command(order) => log::info!("ordered: {order:?}"),
                        OverrideChange::Loaded if self.awaits.orders => {
                            log::info!("orders of the process before: {:?}", self.maintenance.overrides());
                        }
                        OverrideChange::Loaded => {
                            log::debug!("orders of the other process: {:?}", self.maintenance.overrides())
                        }
                        OverrideChange::RolledBack => log::error!("orders: not written, and taken back"),
                    }
                    self.orders_changed(&hosts);
                    self.settle();
                }
                StoreAction::Answer(done, verdict) => {
                    if verdict == CommandOutcome::Applied {
                        log::warn!(
                            "orders: in force, but {ORDERS} is not written as yet: the disk stands still"
                        );
                    }
                    let _ = done.send(verdict);
                }
            }
        }
    }

    /// Takes in a look at the file. One that failed is made good by the next: a start goes on waiting meanwhile.
    pub(super) fn looked(&mut self, looked: io::Result<Option<OperatorOverrides>>) {
        let found = match looked {
            Ok(found) => {
                self.unreadable_orders = false;
                Some(found)
            }
            Err(error) => {
                if !std::mem::replace(&mut self.unreadable_orders, true) {
                    log::error!("orders: {ORDERS} cannot be read: {error}; tried again");
                }
                None
            }
        };
        let was_read = found.is_some();
        self.keeping.handle_read(self.now() / 1_000, &mut self.maintenance, found.flatten());
        self.keep();
        if was_read {
            self.awaits.orders = false;
        }
    }

    /// Does something with the file of orders on a thread of its own: the disk may stand still for seconds.
    fn on_file<T: Send + 'static>(
        &self, work: impl FnOnce(&mut OverrideFile) -> T + Send + 'static,
        done: impl FnOnce(T) -> Input + 'static,
    ) {
        let Some(file) = self.override_file.clone() else { return };
        let inputs = self.handle.inputs.clone();
        tokio::task::spawn_local(async move {
            let working =
                spawn_blocking(move || work(&mut file.lock().unwrap_or_else(PoisonError::into_inner)));
            if let Ok(worked) = working.await {
                let _ = inputs.send(done(worked));
            }
        });
    }

    fn orders_changed(&mut self, changed: &[String]) {
        let list = self.maintenance.current_entries(changed);
        if !list.members.is_empty() {
            self.listed(&list, false);
            self.dial_listed(&list);
        }
        let draining = self.maintenance.overrides().draining();
        if self.handle.draining.send_replace(draining) != draining {
            log::info!("{}", if draining { "draining" } else { "the drain has ended" });
        }
    }
}
