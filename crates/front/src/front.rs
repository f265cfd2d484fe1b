//! The state shared by all client connections: connection slots, the shutdown, and the handle of the core.

use crate::shutdown::Shutdown;
use admission::{ConnectionId, ConnectionSlots, Micros};
use gateway::engine::Handle;
use gateway::setup::Names;
use log_throttle::LogThrottle;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The outcome of a wait for a connection slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotGrant {
    /// A slot is free: the connection is served.
    Granted,
    /// No slot became free in time: the requests of the connection are rejected.
    Denied,
}

/// Throttles for the log lines that clients can cause at any rate.
#[derive(Debug, Default)]
pub(crate) struct FrontLogThrottles {
    pub(crate) malformed_command: LogThrottle,
    pub(crate) all_slots_busy: LogThrottle,
    pub(crate) accept_failed: LogThrottle,
}

/// The RESP front: the state shared by all client connections.
pub struct Front {
    /// Submits requests to the core, and reports its state.
    pub handle: Handle,
    pub(crate) names: Names,
    pub(crate) max_connections: usize,
    /// How long a new connection may wait for a slot.
    pub(crate) slot_wait: Duration,
    started: Instant,
    last_id: Cell<u64>,
    slots: RefCell<ConnectionSlots>,
    /// The signal that asks each connection to close.
    close_signals: RefCell<FxHashMap<ConnectionId, Rc<Notify>>>,
    pub(crate) log_throttles: FrontLogThrottles,
    /// Notified when a connection has ended.
    pub(crate) connection_ended: Notify,
    /// The number of connections without a slot.
    pub(crate) slotless: Cell<usize>,
    /// The shutdown in progress.
    shutdown: Cell<Shutdown>,
    /// Notified when the shutdown has changed.
    pub(crate) shutdown_changed: Notify,
}

impl Front {
    /// Creates a front with `max_connections` connection slots. A new connection waits for a slot for at most
    /// `slot_wait`.
    #[must_use]
    pub fn new(handle: Handle, names: Names, max_connections: usize, slot_wait: Duration) -> Rc<Self> {
        Rc::new(Self {
            handle,
            names,
            max_connections,
            slot_wait,
            started: Instant::now(),
            last_id: Cell::default(),
            slots: RefCell::new(ConnectionSlots::new(max_connections)),
            close_signals: RefCell::default(),
            log_throttles: FrontLogThrottles::default(),
            connection_ended: Notify::new(),
            slotless: Cell::default(),
            shutdown: Cell::default(),
            shutdown_changed: Notify::new(),
        })
    }

    /// Updates the connection slots, and signals the connections that must close as a result.
    pub(crate) fn update_slots<T>(&self, update: impl FnOnce(&mut ConnectionSlots, Micros) -> T) -> T {
        let mut slots = self.slots.borrow_mut();
        let result = update(&mut slots, self.now());
        while let Some(id) = slots.poll_close() {
            if let Some(close_signal) = self.close_signals.borrow().get(&id) {
                close_signal.notify_one();
            }
        }
        result
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Returns whether every slot is held by a connection that must not be closed.
    pub(crate) fn all_slots_busy(&self) -> bool {
        self.slots.borrow().all_busy()
    }

    /// Returns whether a connection must still close to free its slot for another one.
    pub(crate) fn is_closing(&self, id: ConnectionId) -> bool {
        self.slots.borrow().is_closing(id)
    }

    /// Counts a command that raced the close of its connection.
    pub(crate) fn count_close_race(&self) {
        self.slots.borrow_mut().count_close_race();
    }

    /// Registers a connection, and returns its id and the signal that asks it to close.
    pub(crate) fn register_connection(&self) -> (ConnectionId, Rc<Notify>) {
        self.last_id.set(self.last_id.get() + 1);
        let id = ConnectionId(self.last_id.get());
        let close_signal = Rc::new(Notify::new());
        self.close_signals.borrow_mut().insert(id, close_signal.clone());
        (id, close_signal)
    }

    /// Removes a connection that has ended, and frees its slot or, if it had none, its descriptor.
    pub(crate) fn remove_connection(&self, id: ConnectionId, slotless: bool) {
        self.close_signals.borrow_mut().remove(&id);
        self.update_slots(|slots, now| slots.closed(now, id));
        if slotless {
            self.slotless.set(self.slotless.get() - 1);
        }
        self.connection_ended.notify_one();
    }

    /// Logs the number of slots in use and the counters of client connections.
    pub(crate) fn log_report(&self) {
        let slots = self.slots.borrow();
        let (open, reuse, counters) =
            (slots.open_connections(), slots.reuse_share(self.now()), slots.counters());
        log::info!(
            "front: {open} client connections of {}; reuse {reuse:.2}; so far {counters:?}",
            self.max_connections
        );
    }

    /// Announces that the process is about to end: from now on a new connection is rejected at once when no slot is
    /// free.
    pub fn announce_end(&self) {
        self.change_shutdown(|shutdown| shutdown.announce_end(Instant::now()));
    }

    /// Closes every connection: idle ones after `idle_timeout`, the others once their requests are answered, and all at
    /// `deadline`. This cannot be undone; the end of a drain does not change it.
    pub fn terminate(&self, idle_timeout: Duration, deadline: Instant) {
        self.change_shutdown(|shutdown| shutdown.terminate(Instant::now(), idle_timeout, deadline));
    }

    /// Follows the drain state of the balancer until the core stops: client connections close while it is draining.
    pub async fn follow_drain(self: Rc<Self>) {
        let mut draining = self.handle.subscribe_draining();
        loop {
            let is_draining = *draining.borrow_and_update();
            self.change_shutdown(|shutdown| shutdown.set_draining(Instant::now(), is_draining));
            if draining.changed().await.is_err() {
                return; // the core has stopped
            }
        }
    }

    fn change_shutdown(&self, change: impl FnOnce(&mut Shutdown)) {
        let mut shutdown = self.shutdown.get();
        change(&mut shutdown);
        self.shutdown.set(shutdown);
        self.shutdown_changed.notify_waiters();
    }

    /// Returns the shutdown in progress, which states whether and when connections close.
    pub(crate) fn shutdown(&self) -> Shutdown {
        self.shutdown.get()
    }

    /// Returns the reason why clients should not connect now, if there is one.
    #[must_use]
    pub fn closing_reason(&self) -> Option<&'static str> {
        self.shutdown.get().reason()
    }

    /// Waits until no client connection is open.
    pub async fn wait_until_empty(&self) {
        while self.slots.borrow().open_connections() + self.slotless.get() > 0 {
            self.connection_ended.notified().await;
        }
    }
}
