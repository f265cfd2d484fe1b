//! Which newcomers are served, and which are refused for want of a connection slot.
//!
//! A request is taken once it is written to a connection that the system has accepted, and its time runs from then on. So
//! a newcomer waits for a slot only for as long as the shortest time that requests give allows, those ahead of it in the
//! listener's queue included; then what it has written is refused, and its client can ask elsewhere in time.

use crate::{Front, Room};
use admission::ConnectionSlots;
use futures_util::FutureExt;
use gateway::stall_monitor::StallMonitor;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, interval, sleep, timeout};

/// The wait after a failed accept, when descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long, at the end, nothing may have been dialled before no more is accepted.
const LAST_ACCEPTS: Duration = Duration::from_millis(20);
/// Connections without a slot that are open at a time, to be refused: of the descriptors that are kept back from clients.
const MOST_SLOTLESS: usize = 16;
/// As many of these are no crowd: each may take its time to its first command.
pub(crate) const FEW_SLOTLESS: usize = MOST_SLOTLESS / 2;
/// How often what has become of client connections is logged.
const REPORT: Duration = Duration::from_secs(10);
/// The part of the shortest time of a request for which a newcomer may wait for a slot, and the longest wait.
const SLOT_WAIT: (u32, Duration) = (4, Duration::from_millis(500));

/// How long a newcomer may wait for a slot, by the shortest time that requests give.
#[must_use]
pub fn slot_wait(shortest: Duration) -> Duration {
    (shortest / SLOT_WAIT.0).min(SLOT_WAIT.1)
}

/// The listener's queue, as far as it is known how long its connections have waited.
#[derive(Debug, Clone, Copy)]
pub struct Queue {
    /// When it was last known to be empty: nobody in it came before that.
    empty_at: Instant,
}

impl Queue {
    /// One that is empty now.
    #[must_use]
    pub fn empty(now: Instant) -> Self {
        Self { empty_at: now }
    }

    /// Takes in that it was empty up to now.
    pub fn found_empty(&mut self, now: Instant) {
        self.empty_at = now;
    }

    /// How long the newcomer at its head may have waited.
    #[must_use]
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.empty_at)
    }

    /// How long that one may go on waiting for a slot.
    #[must_use]
    pub fn may_wait(&self, now: Instant, slot_wait: Duration) -> Duration {
        slot_wait.saturating_sub(self.waited(now))
    }
}

/// The next newcomer. Nothing is lost where this is dropped before it is done.
async fn next_newcomer(
    listener: &TcpListener, queue: &mut Queue, heartbeat: &StallMonitor,
) -> io::Result<(TcpStream, SocketAddr)> {
    if let Some(accepted) = listener.accept().now_or_never() {
        return accepted;
    }
    queue.found_empty(Instant::now());
    let accepted = listener.accept().await;
    // Guards those behind it: all may have come while the thread was held up.
    let now = Instant::now();
    queue.found_empty(now.checked_sub(heartbeat.overdue(now)).unwrap_or(now));
    accepted
}

impl Front {
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
        let mut queue = Queue::empty(Instant::now());
        loop {
            // Guards the signal to stop against a wait for a slot that never comes.
            let accepted = tokio::select! {
                biased;
                _ = &mut stop => break,
                accepted = async {
                    if shared {
                        self.room().await;
                    }
                    next_newcomer(&listener, &mut queue, &self.handle.stall_monitor).await
                } => accepted,
                _ = report.tick() => {
                    queue.found_empty(Instant::now()); // nothing had come up to now
                    self.report();
                    continue;
                }
            };
            match accepted {
                Ok((stream, address)) => self.admit(stream, address.ip(), &queue).await,
                Err(error) => self.failed_to_accept(&error).await,
            }
        }
        if !shared {
            self.accept_rest(&listener).await; // who waits in the queue of a shared one is served by the others
        }
    }

    /// Serves a newcomer as soon as there is a slot for it; refuses it where that takes too long.
    async fn admit(self: &Rc<Self>, stream: TcpStream, address: IpAddr, queue: &Queue) {
        let may_wait = queue.may_wait(Instant::now(), self.slot_wait);
        match self.room_within(may_wait).await {
            Room::Slot => {
                let waited = queue.waited(Instant::now());
                self.clone().serve(stream, address, Room::Slot, waited);
            }
            Room::None => self.refuse(stream, address).await,
        }
    }

    /// The same as [`Front::room`], for so long. A timer takes a millisecond at the least, which each newcomer of a crowd would
    /// cost all behind it: where there is no time to wait, none is set.
    async fn room_within(&self, may_wait: Duration) -> Room {
        if may_wait.is_zero() {
            return if self.decide(ConnectionSlots::has_free_slot) { Room::Slot } else { Room::None };
        }
        timeout(may_wait, self.room()).await.unwrap_or(Room::None)
    }

    /// Takes what the system has accepted for us: with the listener it would be reset, and the requests written on it lost.
    /// Those for whom there is no slot are refused. Over when nothing more comes, or all else is to be answered.
    async fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        let ends = self.shutdown.get().ends().unwrap_or_else(Instant::now);
        while Instant::now() < ends {
            match timeout(LAST_ACCEPTS, listener.accept()).await {
                Err(_) => return,
                Ok(Err(error)) => self.failed_to_accept(&error).await,
                Ok(Ok((stream, address))) if self.decide(ConnectionSlots::has_free_slot) => {
                    self.clone().serve(stream, address.ip(), Room::Slot, Duration::ZERO);
                }
                Ok(Ok((stream, address))) => self.refuse(stream, address.ip()).await,
            }
        }
    }

    /// Refuses what a newcomer has written for whom there is no slot, and closes its connection.
    async fn refuse(self: &Rc<Self>, stream: TcpStream, address: IpAddr) {
        log::debug!("{address}: refused, there is no connection slot");
        while self.slotless.get() >= MOST_SLOTLESS {
            let _ = timeout(ACCEPT_PAUSE, self.freed.notified()).await;
        }
        self.clone().serve(stream, address, Room::None, Duration::ZERO);
    }

    /// Guards against a spin on EMFILE: the client stays in the queue meanwhile.
    async fn failed_to_accept(&self, error: &io::Error) {
        if let Some(more) = self.failed.line() {
            log::warn!("accepting: {error}{more}");
        }
        self.decide(|slots, now| slots.evict(now));
        sleep(ACCEPT_PAUSE).await;
    }

    /// Waits for a slot for one more client, at the cost of one that [`ConnectionSlots`] picks.
    async fn room(&self) -> Room {
        while !self.decide(ConnectionSlots::has_free_slot) {
            if self.shutdown.get().turns_away(Instant::now()) {
                return Room::None;
            }
            if self.slots.borrow().all_busy()
                && let Some(more) = self.full.line()
            {
                log::warn!("all {} client connections are busy{more}", self.most);
            }
            // Guards against waiting for one that was asked to close just as its next request came.
            let _ = timeout(ACCEPT_PAUSE, self.freed.notified()).await;
        }
        Room::Slot
    }
}
