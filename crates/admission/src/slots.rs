//! The connection slots: which connection is closed to free a slot, and how long an idle connection keeps its slot.

use crate::Micros;
use crate::addresses::AddressLimiter;
use crate::connections::{ConnectionId, Connections, State};
use crate::reuse::{IdleEnd, ReuseEstimate};
use std::collections::VecDeque;
use std::mem;
use std::net::IpAddr;

/// A connection whose command has been awaited for this long is closed before others. Most clients send their first
/// command as soon as they are connected.
const OVERDUE_US: Micros = 250_000;
/// Time limit for a command, from its first byte, and for a connection's first command, from the opening. A
/// well-behaved client may take 2 s to send the start of a command. Any other client must be sent an error 3 s after
/// it has connected.
const COMMAND_TIMEOUT_US: Micros = 2_500_000;
/// Time limit for a command of a suspect connection. After this time any connection whose command is awaited is
/// closed before others.
const SUSPECT_TIMEOUT_US: Micros = OVERDUE_US;
/// The number of slots divided by this is reserved for connections that are idle for the first time, whatever the
/// estimate of reuse, since a client that reuses its connections needs time to do so.
const PROBATION_DIVISOR: usize = 8;
/// The number of probation slots divided by this is the number of samples. Samples are left open, to observe whether a
/// connection that the front does not close is reused.
const SAMPLE_DIVISOR: usize = 4;
/// After this time a sample may be closed like other idle connections. The platform allows idle connections to be
/// closed from this time on.
const SAMPLE_SPAN_US: Micros = 2_000_000;
/// Maximum number of idle connections closed for each new connection with a command, while more are idle than their
/// reuse justifies. It is above one, so that an excess shrinks, and bounded, so that a burst does not close the pool
/// of a quiet client.
const CLOSED_PER_NEW: usize = 2;
/// A reused connection may stay idle for this multiple of the longest recent pause, within [`MIN_REUSED_IDLE_US`] and
/// [`MAX_REUSED_IDLE_US`].
const PAUSE_FACTOR: Micros = 4;
/// Minimum time for which a reused connection may stay idle. A pool that is idle for some seconds is not an excess.
const MIN_REUSED_IDLE_US: Micros = 10_000_000;
/// Maximum time for which a reused connection may stay idle.
const MAX_REUSED_IDLE_US: Micros = 120_000_000;
/// The longest recent pause shrinks by one part in `PAUSE_DECAY_DIVISOR` with each reuse.
const PAUSE_DECAY_DIVISOR: Micros = 64;
/// After a connection was asked to close, the next one is asked after this time even if the first is still open.
const CLOSE_TIMEOUT_US: Micros = 20_000;

/// Time limit for the first command of a new connection, and for the rest of any command that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandTimeout(pub Micros);

/// Counters of connections since the start of the process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Connections opened.
    pub opened: u64,
    /// Idle periods that ended in a further command.
    pub reused: u64,
    /// Connections asked to close because idle connections of their kind are rarely reused.
    pub unused: u64,
    /// Connections asked to close for a new connection.
    pub evicted: u64,
    /// Connections opened by an address that was over its limits.
    pub suspects: u64,
    /// Connections closed by the front while a command was in flight, which the client had to send again.
    pub close_races: u64,
}

/// The connection slots of one front.
///
/// The owner reports the events of each connection, and closes the connections that [`ConnectionSlots::poll_close`]
/// returns. A connection that was asked to close keeps its slot until [`ConnectionSlots::closed`]. If a command is read
/// from it before then, the command is served and the connection stays open.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_connections: usize,
    probation_slots: usize,
    connections: Connections,
    to_close: VecDeque<ConnectionId>,
    reuse: ReuseEstimate,
    /// Whether connections that are idle for the first time are closed early.
    is_trimming: bool,
    longest_pause_us: Micros,
    addresses: AddressLimiter,
    counters: ConnectionCounters,
}

impl ConnectionSlots {
    /// Creates slots for `max_connections` connections, or for one if it is 0.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        let max_connections = max_connections.max(1);
        Self {
            max_connections,
            probation_slots: (max_connections / PROBATION_DIVISOR).max(1),
            connections: Connections::default(),
            to_close: VecDeque::new(),
            reuse: ReuseEstimate::default(),
            is_trimming: false,
            longest_pause_us: 0,
            addresses: AddressLimiter::new(max_connections),
            counters: ConnectionCounters::default(),
        }
    }

    /// Whether a slot is free. If not, asks a connection to close, unless one is closing already or all are busy.
    pub fn has_free_slot(&mut self, now: Micros) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let closing = self.connections.oldest_since(State::Closing);
        if closing.is_none_or(|(since, _)| now >= since + CLOSE_TIMEOUT_US) {
            self.evict(now);
        }
        false
    }

    /// Asks one connection to close because slots or descriptors have run out. Returns false if all connections are
    /// busy or closing.
    ///
    /// Suspect connections are closed first, then those whose command is overdue, then the oldest of those that await a
    /// command or are idle and were never reused, then reused ones. This protects clients whose next request may be in
    /// flight from clients that open many connections and send nothing.
    pub fn evict(&mut self, now: Micros) -> bool {
        let Some(id) = self.eviction_candidate(now) else { return false };
        self.counters.evicted += 1;
        self.request_close(now, id);
        true
    }

    fn eviction_candidate(&self, now: Micros) -> Option<ConnectionId> {
        if let Some(suspect) = self.connections.oldest(State::Suspect) {
            return Some(suspect);
        }
        let awaiting = self.connections.oldest_since(State::AwaitingCommand);
        if let Some((since, overdue)) = awaiting
            && now.saturating_sub(since) >= OVERDUE_US
        {
            return Some(overdue);
        }
        // While other connections are closing, do not close a new one, whose first command may be in flight.
        let awaiting = awaiting.filter(|_| self.connections.count(State::Closing) == 0);
        // Close the older of the two, since a command may be in flight on the younger one. Idle connections that were
        // never reused are closed before reused ones.
        let oldest = match (awaiting, self.oldest_never_reused()) {
            (Some(awaiting), Some(idle)) => Some(if awaiting.0 < idle.0 { awaiting } else { idle }),
            (awaiting, idle) => awaiting.or(idle),
        };
        oldest.map(|(_, id)| id).or_else(|| self.connections.oldest(State::IdleReused))
    }

    /// Records that a connection was accepted, and returns the time limit for its commands.
    pub fn accepted(&mut self, now: Micros, id: ConnectionId, address: IpAddr) -> CommandTimeout {
        self.counters.opened += 1;
        if self.addresses.record_open(now, address) {
            self.connections.insert(now, id, address, State::AwaitingCommand);
            CommandTimeout(COMMAND_TIMEOUT_US)
        } else {
            self.counters.suspects += 1;
            self.connections.insert(now, id, address, State::Suspect);
            CommandTimeout(SUSPECT_TIMEOUT_US)
        }
    }

    /// Records that the first bytes of a command arrived, or that the connection ends with an error and is still read
    /// for a while.
    pub fn command_started(&mut self, now: Micros, id: ConnectionId) {
        self.end_idle_period(now, id, IdleEnd::Inconclusive);
        let connection = self.connections.get(id);
        let is_suspect = connection.is_some_and(|it| it.is_suspect && !it.has_sent_command);
        let state = if is_suspect { State::Suspect } else { State::AwaitingCommand };
        self.connections.set_state(now, id, state);
    }

    /// Records that a complete command was read.
    pub fn command_received(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let address = connection.address;
        let is_first = !connection.has_sent_command;
        let was_idle = connection.state.is_idle() || (connection.state == State::Closing && !is_first);
        connection.has_sent_command = true;
        if was_idle {
            connection.was_reused = true;
            let pause_us = now.saturating_sub(connection.since);
            self.counters.reused += 1;
            let decayed_us = self.longest_pause_us - self.longest_pause_us / PAUSE_DECAY_DIVISOR;
            self.longest_pause_us = pause_us.max(decayed_us);
        }
        self.end_idle_period(now, id, IdleEnd::Reused);
        self.connections.set_state(now, id, State::Busy);
        if is_first {
            self.addresses.record_first_command(now, address);
            self.trim(now);
        }
    }

    /// Records that all commands of a connection have been answered.
    pub fn answered(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.state != State::Busy {
            return; // already idle, or closing
        }
        if connection.was_reused {
            return self.connections.set_state(now, id, State::IdleReused);
        }
        let max_samples = (self.probation_slots / SAMPLE_DIVISOR).max(1);
        let is_sample = self.connections.count(State::IdleSample) < max_samples;
        let is_counted = is_sample || !self.is_trimming;
        if let Some(connection) = self.connections.get_mut(id) {
            connection.idle_is_counted = is_counted;
        }
        if is_counted {
            self.reuse.begin();
        }
        self.connections.set_state(now, id, if is_sample { State::IdleSample } else { State::FirstIdle });
    }

    /// Records that a connection was closed, by its client or by the front, and frees its slot.
    pub fn closed(&mut self, now: Micros, id: ConnectionId) {
        let by_client = self.connections.get(id).is_some_and(|it| it.state != State::Closing);
        let end = if by_client { IdleEnd::ClosedByClient } else { IdleEnd::Inconclusive };
        self.end_idle_period(now, id, end);
        let Some(connection) = self.connections.remove(id) else { return };
        if !connection.has_sent_command {
            self.addresses.record_silent_close(now, connection.address);
        }
    }

    /// Counts a command that arrived on a connection while the front closed it, too late to be read.
    pub fn count_close_race(&mut self) {
        self.counters.close_races += 1;
    }

    /// Returns the next connection to close.
    pub fn poll_close(&mut self) -> Option<ConnectionId> {
        self.to_close.pop_front()
    }

    /// Whether a connection that was asked to close must still be closed. It must not if a command has been read since.
    #[must_use]
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some_and(|it| it.state == State::Closing)
    }

    /// Whether every slot is occupied by a busy connection.
    #[must_use]
    pub fn all_busy(&self) -> bool {
        let is_full = self.connections.len() >= self.max_connections;
        is_full && State::NOT_BUSY.into_iter().all(|state| self.connections.count(state) == 0)
    }

    /// The number of open connections, each of which occupies a slot.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// The counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> ConnectionCounters {
        self.counters
    }

    /// The share of recent connections that were reused after their first idle period.
    #[must_use]
    pub fn reuse_share(&self, now: Micros) -> f64 {
        self.reuse.share(now)
    }

    /// Closes idle connections that are not reused often enough to keep their slots. Called when a new connection has
    /// sent its first command.
    ///
    /// The trigger is the first command and not the opening, so that a client that reconnects after each close without
    /// sending a command has no effect.
    fn trim(&mut self, now: Micros) {
        // Idle connections keep their slots while the share of reused ones is at least the square of the share of
        // occupied slots: with half of them occupied, one in four is enough. A linear rule closed the connections of
        // reusing clients beside many clients that do not reuse theirs.
        let occupied = self.connections.len() as f64 / self.max_connections as f64;
        let is_beyond_probation = self.connections.count(State::FirstIdle) > self.probation_slots;
        self.is_trimming = is_beyond_probation && self.reuse.share(now) < occupied * occupied;
        for _ in 0..CLOSED_PER_NEW {
            let Some(id) = self.trim_candidate(now) else { return };
            self.counters.unused += 1;
            self.request_close(now, id);
        }
    }

    /// The next idle connection to close, if one has been idle for too long or is in excess.
    fn trim_candidate(&self, now: Micros) -> Option<ConnectionId> {
        let is_beyond_probation = |state: State| self.connections.count(state) > self.probation_slots;
        if self.is_trimming {
            let sample = self.connections.oldest_since(State::IdleSample);
            let expired = sample.filter(|(since, _)| now >= since + SAMPLE_SPAN_US).map(|(_, id)| id);
            let first_idle =
                self.connections.oldest(State::FirstIdle).filter(|_| is_beyond_probation(State::FirstIdle));
            if let Some(id) = expired.or(first_idle) {
                return Some(id);
            }
        }
        let max_idle_us =
            (PAUSE_FACTOR * self.longest_pause_us).clamp(MIN_REUSED_IDLE_US, MAX_REUSED_IDLE_US);
        let reused = self.connections.oldest_since(State::IdleReused);
        let (reused_since, reused) = reused.filter(|_| is_beyond_probation(State::IdleReused))?;
        if now < reused_since + max_idle_us {
            return None;
        }
        // A connection that was never reused is closed first if it has been idle for longer, sample or not.
        let never_reused = self.oldest_never_reused().filter(|(since, _)| *since <= reused_since);
        Some(never_reused.map_or(reused, |(_, id)| id))
    }

    /// The connection that has been idle for longest of those never reused, with the time when it became idle.
    fn oldest_never_reused(&self) -> Option<(Micros, ConnectionId)> {
        let first_idle = self.connections.oldest_since(State::FirstIdle);
        let sample = self.connections.oldest_since(State::IdleSample);
        first_idle.into_iter().chain(sample).min()
    }

    fn request_close(&mut self, now: Micros, id: ConnectionId) {
        self.end_idle_period(now, id, IdleEnd::Inconclusive);
        self.connections.set_state(now, id, State::Closing);
        self.to_close.push_back(id);
    }

    /// Ends the idle period of a connection in the estimate of reuse, if that period is counted.
    fn end_idle_period(&mut self, now: Micros, id: ConnectionId, end: IdleEnd) {
        let connection = self.connections.get_mut(id);
        if connection.is_some_and(|it| mem::take(&mut it.idle_is_counted)) {
            self.reuse.end(now, end);
        }
    }
}
