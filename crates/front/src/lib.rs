//! The platform's RESP front: the listener, and the places for client connections. Beside it, the admin endpoint.
//!
//! A front reads its protocol's words, hands the core a request ([`gateway::engine::Handle::submit`]) and words the one
//! answer that comes of it. Who keeps a connection is decided by `admission`, which a [`Front`] drives; [`operator`]
//! answers staff from the core and makes them wait for no traffic.
//!
//! It leaves to the core what becomes of a request, and to the program the listeners and when to stop. It knows no peer.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod accept;
mod client;
pub mod operator;
mod request;
pub mod shutdown;

use admission::{CommandTimeout, ConnectionId, ConnectionSlots, Micros};
use gateway::engine::Handle;
use gateway::setup::Names;
use log_throttle::LogThrottle;
use rustc_hash::FxHashMap;
use shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What all client connections share.
pub struct Front {
    /// The way to the core.
    pub handle: Handle,
    names: Names,
    most: usize,
    /// How long a newcomer may wait for a connection slot.
    slot_wait: Duration,
    started: Instant,
    next: RefCell<u64>,
    slots: RefCell<ConnectionSlots>,
    /// The way to ask each connection to close.
    close_signals: RefCell<FxHashMap<ConnectionId, Rc<Notify>>>,
    malformed: LogThrottle,
    full: LogThrottle,
    failed: LogThrottle,
    freed: Notify,
    /// Connections without a slot.
    slotless: Cell<usize>,
    /// Whether and when connections are to close.
    shutdown: Cell<Shutdown>,
    /// Wakes those who wait for that to change.
    shutdown_changed: Notify,
}

/// Whether there is a connection slot for a newcomer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    Slot,
    /// None, and it is not waited for.
    None,
}

impl Front {
    /// A front of at most `most` client connections, for one of which a newcomer waits for `slot_wait` at most.
    #[must_use]
    pub fn new(handle: Handle, names: Names, most: usize, slot_wait: Duration) -> Rc<Self> {
        Rc::new(Self {
            handle,
            names,
            most,
            slot_wait,
            started: Instant::now(),
            next: RefCell::default(),
            slots: RefCell::new(ConnectionSlots::new(most)),
            close_signals: RefCell::default(),
            malformed: LogThrottle::default(),
            full: LogThrottle::default(),
            failed: LogThrottle::default(),
            freed: Notify::new(),
            slotless: Cell::default(),
            shutdown: Cell::default(),
            shutdown_changed: Notify::new(),
        })
    }

    /// Notifies the places of something, and passes on whom they ask to close for it.
    fn decide<T>(&self, notify: impl FnOnce(&mut ConnectionSlots, Micros) -> T) -> T {
        let mut slots = self.slots.borrow_mut();
        let outcome = notify(&mut slots, self.started.elapsed().as_micros() as Micros);
        while let Some(id) = slots.poll_close() {
            if let Some(close_signal) = self.close_signals.borrow().get(&id) {
                close_signal.notify_one();
            }
        }
        outcome
    }

    fn report(&self) {
        let (slots, now) = (self.slots.borrow(), self.started.elapsed().as_micros() as Micros);
        let (held, reuse, counts) = (slots.open_connections(), slots.reuse_share(now), slots.counters());
        log::info!("{held} client connections of {}; reuse {reuse:.2}; so far {counts:?}", self.most);
    }

    /// Serves a connection that may have waited so long for its slot, or refuses what comes on one that has none.
    fn serve(self: Rc<Self>, stream: TcpStream, address: IpAddr, room: Room, waited: Duration) {
        *self.next.borrow_mut() += 1;
        let id = ConnectionId(*self.next.borrow());
        let close_signal = Rc::new(Notify::new());
        self.close_signals.borrow_mut().insert(id, close_signal.clone());
        let patience = match room {
            Room::Slot => self.decide(|slots, now| slots.accepted(now, id, address)),
            Room::None => {
                self.slotless.set(self.slotless.get() + 1);
                // Guards one that is slow to say its first word; a crowd has no time for that.
                let few = self.slotless.get() <= accept::FEW_SLOTLESS;
                let patience = if few { shutdown::FIRST_COMMAND } else { shutdown::SLOTLESS };
                CommandTimeout(patience.as_micros() as Micros)
            }
        };
        let client = client::Client::new(self.clone(), stream, id, close_signal, patience, room, waited);
        tokio::task::spawn_local(async move {
            if let Err(error) = client.run().await {
                log::debug!("client {}: {error}", id.0);
            }
            self.close_signals.borrow_mut().remove(&id);
            self.decide(|slots, now| slots.closed(now, id));
            if room == Room::None {
                self.slotless.set(self.slotless.get() - 1);
            }
            self.freed.notify_one();
        });
    }

    /// Has newcomers without a slot refused from now on: the process is about to end.
    pub fn announce_end(&self) {
        self.change_shutdown(|shutdown| shutdown.announce_end(Instant::now()));
    }

    /// Has every connection closed, those that ask nothing after `idle`, and gives all that is taken its answer by `ends`.
    /// For good: a drain that ends changes nothing.
    pub fn terminate(&self, idle: Duration, ends: Instant) {
        self.change_shutdown(|shutdown| shutdown.terminate(Instant::now(), idle, ends));
    }

    /// Has connections closed while the balancer is being drained, for as long as the program runs.
    pub async fn follow_drain(self: Rc<Self>) {
        let mut draining = self.handle.draining();
        loop {
            let drained = *draining.borrow_and_update();
            self.change_shutdown(|shutdown| shutdown.drain(Instant::now(), drained));
            if draining.changed().await.is_err() {
                return; // the core is gone
            }
        }
    }

    fn change_shutdown(&self, change: impl FnOnce(&mut Shutdown)) {
        let mut shutdown = self.shutdown.get();
        change(&mut shutdown);
        self.shutdown.set(shutdown);
        self.shutdown_changed.notify_waiters();
    }

    /// Why no client should come here now, if so.
    #[must_use]
    pub fn closing_reason(&self) -> Option<&'static str> {
        self.shutdown.get().reason()
    }

    /// Waits until no client connection is open.
    pub async fn emptied(&self) {
        while self.slots.borrow().open_connections() + self.slotless.get() > 0 {
            self.freed.notified().await;
        }
    }
}
