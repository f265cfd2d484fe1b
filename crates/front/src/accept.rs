//! Accepts client connections, and rejects the requests of a new connection when no connection slot is free.
//!
//! A request counts as accepted, and its deadline runs, from the time at which it is written to a connection that the
//! operating system has accepted. A new connection therefore waits for a slot only for a part of the shortest deadline
//! of requests, including the wait in the listener's queue. After that its requests are rejected, so that its client
//! can retry elsewhere in time.

use crate::client::{AcceptedConnection, Client};
use crate::front::{Front, SlotGrant};
use crate::slotless::{MAX_SLOTLESS, SlotlessLoad, SlotlessTimeouts};
use admission::{CommandTimeout, ConnectionId, ConnectionSlots, Micros};
use futures_util::FutureExt;
use gateway::stall_monitor::StallMonitor;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, interval, sleep, timeout};

/// The pause after a failed accept, when descriptors may have run out, and the interval at which a wait for the end of
/// a connection checks its condition again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Before the listener is closed, the connections in its queue are accepted until none has arrived for this long.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);
/// How often the counters of client connections are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// The longest wait of a new connection for a slot is the shortest deadline of requests divided by this.
const SLOT_WAIT_DIVISOR: u32 = 4;
/// The upper bound of the wait of a new connection for a slot, however long the shortest deadline is.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(500);

/// Returns how long a new connection may wait for a slot, given the shortest deadline of requests.
#[must_use]
pub fn slot_wait(shortest_deadline: Duration) -> Duration {
    (shortest_deadline / SLOT_WAIT_DIVISOR).min(MAX_SLOT_WAIT)
}

/// Bounds the time that connections have waited in the listener's queue.
#[derive(Debug, Clone, Copy)]
pub struct AcceptQueue {
    /// When the queue was last known to be empty: no connection in it arrived before that.
    empty_at: Instant,
}

impl AcceptQueue {
    /// Creates a queue that is empty now.
    #[must_use]
    pub fn empty(now: Instant) -> Self {
        Self { empty_at: now }
    }

    /// Records that the queue was empty at `now`.
    pub fn record_empty(&mut self, now: Instant) {
        self.empty_at = now;
    }

    /// Returns the longest time that the connection at the head of the queue may have waited.
    #[must_use]
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.empty_at)
    }

    /// Returns how long the connection at the head of the queue may still wait for a slot.
    #[must_use]
    pub fn remaining_wait(&self, now: Instant, slot_wait: Duration) -> Duration {
        slot_wait.saturating_sub(self.waited(now))
    }
}

/// Accepts the next connection. Cancel safe.
async fn accept_next(
    listener: &TcpListener, queue: &mut AcceptQueue, stall_monitor: &StallMonitor,
) -> io::Result<(TcpStream, SocketAddr)> {
    if let Some(accepted) = listener.accept().now_or_never() {
        return accepted;
    }
    queue.record_empty(Instant::now());
    let accepted = listener.accept().await;
    // The connections queued after this one may have arrived at any time while the event loop was stalled.
    let now = Instant::now();
    queue.record_empty(now.checked_sub(stall_monitor.overdue(now)).unwrap_or(now));
    accepted
}

impl Front {
    /// Accepts connections until `stop` fires, then accepts the connections left in the queue and closes the listener.
    ///
    /// A `shared` listener is also held by other processes, which serve it meanwhile: this process accepts from it only
    /// once it is ready, and leaves the queue to the other processes when it stops.
    pub async fn accept(
        self: Rc<Self>, listener: TcpListener, shared: bool, mut stop: oneshot::Receiver<()>,
    ) {
        if shared {
            tokio::select! {
                _ = &mut stop => return,
                () = self.handle.wait_until_ready() => log::info!("front: accepting from the inherited socket"),
            }
        }
        let mut report = interval(REPORT_INTERVAL);
        report.reset(); // skips the tick that fires immediately
        let mut queue = AcceptQueue::empty(Instant::now());
        loop {
            // The stop signal is checked first: a wait for a slot may never end.
            let accepted = tokio::select! {
                biased;
                _ = &mut stop => break,
                accepted = async {
                    if shared {
                        self.wait_for_slot().await;
                    }
                    accept_next(&listener, &mut queue, &self.handle.stall_monitor).await
                } => accepted,
                _ = report.tick() => {
                    queue.record_empty(Instant::now()); // no connection had arrived by now
                    self.log_report();
                    continue;
                }
            };
            match accepted {
                Ok((stream, address)) => self.serve_or_reject(stream, address.ip(), &queue).await,
                Err(error) => self.handle_accept_error(&error).await,
            }
        }
        if !shared {
            self.accept_remaining(&listener, &queue).await; // other processes serve the queue of a shared listener
        }
    }

    /// Serves a connection as soon as a slot is free, or rejects it when no slot becomes free in time.
    async fn serve_or_reject(self: &Rc<Self>, stream: TcpStream, address: IpAddr, queue: &AcceptQueue) {
        let remaining = queue.remaining_wait(Instant::now(), self.slot_wait);
        match self.wait_for_slot_within(remaining).await {
            SlotGrant::Granted => self.serve(stream, address, queue.waited(Instant::now())),
            SlotGrant::Denied => self.reject(stream, address, queue).await,
        }
    }

    /// Waits for a slot for at most `remaining`. Without time remaining, no timer is set: it takes at least a
    /// millisecond, by which each connection would delay all connections queued after it.
    async fn wait_for_slot_within(&self, remaining: Duration) -> SlotGrant {
        if remaining.is_zero() {
            let is_free = self.update_slots(ConnectionSlots::has_free_slot);
            return if is_free { SlotGrant::Granted } else { SlotGrant::Denied };
        }
        timeout(remaining, self.wait_for_slot()).await.unwrap_or(SlotGrant::Denied)
    }

    /// Accepts the connections left in the listener's queue before the listener is closed: closing it would reset them
    /// and lose the requests written to them. Rejects those for which no slot is free. Returns when the queue is empty,
    /// or at the deadline by which all requests must be answered.
    async fn accept_remaining(self: &Rc<Self>, listener: &TcpListener, queue: &AcceptQueue) {
        let deadline = self.shutdown().termination_deadline().unwrap_or_else(Instant::now);
        while Instant::now() < deadline {
            match timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
                Err(_) => return,
                Ok(Err(error)) => self.handle_accept_error(&error).await,
                Ok(Ok((stream, address))) if self.update_slots(ConnectionSlots::has_free_slot) => {
                    self.serve(stream, address.ip(), Duration::ZERO);
                }
                Ok(Ok((stream, address))) => self.reject(stream, address.ip(), queue).await,
            }
        }
    }

    /// Serves a connection that has a slot, for which it has waited for `waited`.
    fn serve(self: &Rc<Self>, stream: TcpStream, address: IpAddr, waited: Duration) {
        let (id, close_signal) = self.register_connection();
        let timeout = self.update_slots(|slots, now| slots.accepted(now, id, address));
        self.spawn_client(id, AcceptedConnection { stream, close_signal, timeout, slotless: None, waited });
    }

    /// Rejects the requests of a connection for which no slot is free, once one of the descriptors reserved for such
    /// connections is available. If a slot becomes free before that, the connection is served.
    async fn reject(self: &Rc<Self>, stream: TcpStream, address: IpAddr, queue: &AcceptQueue) {
        while self.slotless.get() >= MAX_SLOTLESS {
            let _ = timeout(RETRY_DELAY, self.connection_ended.notified()).await;
            if self.update_slots(ConnectionSlots::has_free_slot) {
                return self.serve(stream, address, queue.waited(Instant::now()));
            }
        }
        log::debug!("front: rejecting {address}: no connection slot is free");
        self.serve_without_slot(stream, queue.waited(Instant::now()));
    }

    /// Rejects the requests of a connection without a slot, and closes it.
    fn serve_without_slot(self: &Rc<Self>, stream: TcpStream, waited: Duration) {
        let (id, close_signal) = self.register_connection();
        self.slotless.set(self.slotless.get() + 1);
        let load = SlotlessLoad::assess(self.slotless.get(), waited, self.slot_wait);
        let timeouts = SlotlessTimeouts::new(load, self.slot_wait);
        let timeout = CommandTimeout(timeouts.first_command.as_micros() as Micros);
        let slotless = Some(timeouts);
        self.spawn_client(
            id,
            AcceptedConnection { stream, close_signal, timeout, slotless, waited: Duration::ZERO },
        );
    }

    fn spawn_client(self: &Rc<Self>, id: ConnectionId, accepted: AcceptedConnection) {
        let slotless = accepted.slotless.is_some();
        let client = Client::new(self.clone(), id, accepted);
        let front = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = client.run().await {
                log::debug!("front: client {}: {error}", id.0);
            }
            front.remove_connection(id, slotless);
        });
    }

    /// Evicts a connection and pauses after a failed accept, so that EMFILE causes no busy loop. The new connection
    /// stays in the listener's queue meanwhile.
    async fn handle_accept_error(&self, error: &io::Error) {
        if let Some(suppressed) = self.log_throttles.accept_failed.admit_line() {
            log::warn!("front: accept failed: {error}{suppressed}");
        }
        self.update_slots(|slots, now| slots.evict(now));
        sleep(RETRY_DELAY).await;
    }

    /// Waits until a slot is free. [`ConnectionSlots`] chooses the connection that is closed to free one.
    async fn wait_for_slot(&self) -> SlotGrant {
        while !self.update_slots(ConnectionSlots::has_free_slot) {
            if self.shutdown().rejects_without_slot(Instant::now()) {
                return SlotGrant::Denied;
            }
            if self.all_slots_busy()
                && let Some(suppressed) = self.log_throttles.all_slots_busy.admit_line()
            {
                log::warn!("front: all {} client connections are busy{suppressed}", self.max_connections);
            }
            // The timeout covers a connection whose next request arrived just as it was asked to close: it stays open.
            let _ = timeout(RETRY_DELAY, self.connection_ended.notified()).await;
        }
        SlotGrant::Granted
    }
}
