//! The platform's RESP front: the listener, and the places for client connections. Beside it, the admin endpoint.
//!
//! A front reads its protocol's words, hands the core a request ([`gateway::engine::Handle::submit`]) and words the one
//! answer that comes of it. Who keeps a connection is decided by `admission`, which a [`Front`] drives; [`operator`]
//! answers staff from the core and makes them wait for no traffic.
//!
//! It leaves to the core what becomes of a request, and to the program the listeners and when to stop. It knows no peer.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod client;
pub mod operator;
mod request;
pub mod shutdown;

use admission::{ConnectionId, Micros, Patience, Places};
use gateway::engine::Handle;
use gateway::setup::Names;
use rustc_hash::FxHashMap;
use seldom::Seldom;
use shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, interval, sleep, timeout};

/// The wait after a failed accept, when descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long, at the end, nothing may have been dialled before no more is accepted.
const LAST_ACCEPTS: Duration = Duration::from_millis(20);
/// Connections without a slot that are open at a time, to be refused: of the descriptors that are kept back from clients.
const MOST_SLOTLESS: usize = 16;
/// How often what has become of client connections is logged.
const REPORT: Duration = Duration::from_secs(10);

/// What all client connections share.
pub struct Front {
    /// The way to the core.
    pub handle: Handle,
    names: Names,
    most: usize,
    started: Instant,
    next: RefCell<u64>,
    places: RefCell<Places>,
    /// The way to ask each connection to close.
    close_signals: RefCell<FxHashMap<ConnectionId, Rc<Notify>>>,
    malformed: Seldom,
    full: Seldom,
    failed: Seldom,
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
    /// A front of at most `most` client connections.
    #[must_use]
    pub fn new(handle: Handle, names: Names, most: usize) -> Rc<Self> {
        Rc::new(Self {
            handle,
            names,
            most,
            started: Instant::now(),
            next: RefCell::default(),
            places: RefCell::new(Places::new(most)),
            close_signals: RefCell::default(),
            malformed: Seldom::default(),
            full: Seldom::default(),
            failed: Seldom::default(),
            freed: Notify::new(),
            slotless: Cell::default(),
            shutdown: Cell::default(),
            shutdown_changed: Notify::new(),
        })
    }

    /// Accepts until `stop` fires, then takes what has been dialled already, and lets the listener go. A `shared` one is
    /// held by others too, who serve meanwhile: nothing is taken from it before it can be served as well.
    pub async fn accept(
        self: Rc<Self>, listener: TcpListener, shared: bool, mut stop: oneshot::Receiver<()>,
    ) {
        if shared {
            tokio::select! {
                _ = &mut stop => return,
                () = self.handle.until_ready() => log::info!("accepting from the inherited socket"),
            }
        }
        let mut report = interval(REPORT);
        report.reset(); // nothing to tell yet
        loop {
            // Guards the signal to stop against a wait for a place that never comes.
            let accepted = tokio::select! {
                biased;
                _ = &mut stop => break,
                accepted = async { (self.room().await, listener.accept().await) } => accepted,
                _ = report.tick() => {
                    self.report();
                    continue;
                }
            };
            match accepted {
                (Room::None, Ok((stream, address))) if self.turns_away() => {
                    self.clone().refuse(stream, address.ip()).await;
                }
                (_, Ok((stream, address))) => self.clone().serve(stream, address.ip(), Room::Slot),
                (_, Err(error)) => self.failed_to_accept(&error).await,
            }
        }
        if shared {
            return; // who waits in its queue is served by the others
        }
        self.accept_rest(&listener).await;
    }

    /// Takes what the system has accepted for us: with the listener it would be reset, and the requests written on it lost.
    /// Those for whom there is no slot are refused. Over when nothing more comes, or all else is to be answered.
    async fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        let ends = self.shutdown.get().ends().unwrap_or_else(Instant::now);
        while Instant::now() < ends {
            match timeout(LAST_ACCEPTS, listener.accept()).await {
                Err(_) => return,
                Ok(Err(error)) => self.failed_to_accept(&error).await,
                Ok(Ok((stream, address))) if self.decide(Places::has_room) => {
                    self.clone().serve(stream, address.ip(), Room::Slot);
                }
                Ok(Ok((stream, address))) => self.clone().refuse(stream, address.ip()).await,
            }
        }
    }

    /// Refuses what a newcomer has written for whom there is no slot, and closes its connection.
    async fn refuse(self: Rc<Self>, stream: TcpStream, address: IpAddr) {
        log::debug!("{address}: turned away, all connections are busy");
        while self.slotless.get() >= MOST_SLOTLESS {
            let _ = timeout(ACCEPT_PAUSE, self.freed.notified()).await;
        }
        self.serve(stream, address, Room::None);
    }

    /// Guards against a spin on EMFILE: the client stays in the backlog meanwhile.
    async fn failed_to_accept(&self, error: &io::Error) {
        if let Some(more) = self.failed.line() {
            log::warn!("accepting: {error}{more}");
        }
        self.decide(|places, now| places.evict(now));
        sleep(ACCEPT_PAUSE).await;
    }

    /// Whether a newcomer is turned away: a slot may have fallen free, or the drain have ended, since it was waited for.
    fn turns_away(&self) -> bool {
        !self.decide(Places::has_room) && self.shutdown.get().turns_away(Instant::now())
    }

    /// Waits for a place for one more client, at the cost of one that [`Places`] picks.
    async fn room(&self) -> Room {
        while !self.decide(Places::has_room) {
            if self.shutdown.get().turns_away(Instant::now()) {
                return Room::None;
            }
            if self.places.borrow().all_busy()
                && let Some(more) = self.full.line()
            {
                log::warn!("all {} client connections are busy{more}", self.most);
            }
            // Guards against waiting for one that was asked to close just as its next request came.
            let _ = timeout(ACCEPT_PAUSE, self.freed.notified()).await;
        }
        Room::Slot
    }

    /// Notifies the places of something, and passes on whom they ask to close for it.
    fn decide<T>(&self, notify: impl FnOnce(&mut Places, Micros) -> T) -> T {
        let mut places = self.places.borrow_mut();
        let outcome = notify(&mut places, self.started.elapsed().as_micros() as Micros);
        while let Some(id) = places.poll_close() {
            if let Some(close_signal) = self.close_signals.borrow().get(&id) {
                close_signal.notify_one();
            }
        }
        outcome
    }

    fn report(&self) {
        let (places, now) = (self.places.borrow(), self.started.elapsed().as_micros() as Micros);
        let (held, reuse, counts) = (places.held(), places.reuse(now), places.counts());
        log::info!("{held} client connections of {}; reuse {reuse:.2}; so far {counts:?}", self.most);
    }

    fn serve(self: Rc<Self>, stream: TcpStream, address: IpAddr, room: Room) {
        *self.next.borrow_mut() += 1;
        let id = ConnectionId(*self.next.borrow());
        let close_signal = Rc::new(Notify::new());
        self.close_signals.borrow_mut().insert(id, close_signal.clone());
        let patience = match room {
            Room::Slot => self.decide(|places, now| places.enter(now, id, address)),
            Room::None => {
                self.slotless.set(self.slotless.get() + 1);
                Patience(shutdown::SLOTLESS.as_micros() as Micros)
            }
        };
        let client = client::Client::new(self.clone(), stream, id, close_signal, patience, room);
        tokio::task::spawn_local(async move {
            if let Err(error) = client.run().await {
                log::debug!("client {}: {error}", id.0);
            }
            self.close_signals.borrow_mut().remove(&id);
            self.decide(|places, now| places.left(now, id));
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
        while self.places.borrow().held() + self.slotless.get() > 0 {
            self.freed.notified().await;
        }
    }

    /// Lets the runtime look at its sockets once more.
    async fn yield_to_runtime() {
        let mut polled = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut polled, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }
}
