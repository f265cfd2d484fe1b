//! The connection slots: which connection is closed for another, and how long an idle one is worth its slot.

use crate::Micros;
use crate::addresses::AddressLimiter;
use crate::connections::{ConnectionId, Connections, State};
use crate::reuse::{IdleEnd, ReuseEstimate};
use std::collections::VecDeque;
use std::mem;
use std::net::IpAddr;

/// A connection whose command has been awaited for this long is closed before others. A usual client sends its first
/// command as soon as it is connected.
const OVERDUE_US: Micros = 250_000;
/// How long a command is awaited from its first byte on, and a connection's first command from its opening on. A usual
/// client may take 2 s over the beginning of one; a bad one is owed an error 3 s after it has connected.
const COMMAND_TIMEOUT_US: Micros = 2_500_000;
/// The same for a suspect connection: until it would be closed before others.
const SUSPECT_TIMEOUT_US: Micros = OVERDUE_US;
/// One slot in so many is reserved for connections that are idle for the first time, whatever the estimate of reuse: a
/// client that reuses its connections needs a while to show it.
const PROBATION_DIVISOR: usize = 8;
/// Of these, one in so many is a sample: left open to show what an idle connection does that nobody closes.
const SAMPLE_DIVISOR: usize = 4;
/// After this time a sample may be closed like the others. The platform lets idle connections be closed from here on.
const SAMPLE_SPAN_US: Micros = 2_000_000;
/// How many idle connections are closed for each new connection with a command, while there are more than reuse pays
/// for: more than one, so that an excess goes away; not all, so that a burst does not close the pool of a quiet client.
const CLOSED_PER_NEW: usize = 2;
/// A reused connection stays idle for this multiple of the longest recent pause ...
const PAUSE_FACTOR: Micros = 4;
/// ... but at least this long: a pool that rests for some seconds is no excess ...
const MIN_REUSED_IDLE_US: Micros = 10_000_000;
/// ... and at most this long.
const MAX_REUSED_IDLE_US: Micros = 120_000_000;
/// By which part the longest recent pause shrinks with each reuse.
const PAUSE_DECAY_DIVISOR: Micros = 64;
/// A connection that was asked to close and is still open after this time does not hold up the next.
const CLOSE_TIMEOUT_US: Micros = 20_000;

/// How long the first command of a new connection is awaited, and the rest of any that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandTimeout(pub Micros);

/// Counters of connections since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Opened.
    pub opened: u64,
    /// Idle ones used again.
    pub reused: u64,
    /// Asked to close because idle connections like them are not used again.
    pub unused: u64,
    /// Asked to close for a new connection.
    pub evicted: u64,
    /// Opened by an address beyond its limit of silent ones.
    pub suspects: u64,
    /// Closed by us while a command was on its way, which its client had to send again.
    pub close_races: u64,
}

/// The connection slots of one front.
///
/// The owner reports what each connection does, and closes those that [`ConnectionSlots::poll_close`] returns. A connection
/// that was asked to close keeps its slot until [`ConnectionSlots::closed`]. If a command is read from it meanwhile, the
/// command is served and the connection stays open.
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
    /// Creates slots for `max_connections` connections, at least one.
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

    /// Whether there is a free slot. If not, a connection is asked to close for it, unless one is closing already or all
    /// are busy.
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

    /// Asks one connection to close, for want of slots or descriptors. Returns false if all are busy or closing.
    ///
    /// Suspects are closed first, then those that have owed a command for long, then idle ones that were never used again,
    /// then the others. This protects usual clients, whose next request may be on its way, from those that open many
    /// connections and send nothing.
    pub fn evict(&mut self, now: Micros) -> bool {
        let Some(id) = self.eviction_candidate(now) else { return false };
        self.counters.evicted += 1;
        self.ask_to_close(now, id);
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
        // While others are closing already, nothing is gained by a new connection whose command may be on its way.
        let awaiting = awaiting.filter(|_| self.connections.count(State::Closing) == 0);
        // A command may be on its way on the younger one. Of idle ones, one that was never used again is closed first.
        let oldest = match (awaiting, self.oldest_never_reused()) {
            (Some(awaiting), Some(idle)) => Some(if awaiting.0 < idle.0 { awaiting } else { idle }),
            (awaiting, idle) => awaiting.or(idle),
        };
        oldest.map(|(_, id)| id).or_else(|| self.connections.oldest(State::IdleReused))
    }

    /// Records a connection that was accepted, and returns how long its commands are awaited.
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

    /// Records that the first bytes of a command arrived, or that the connection ends with an error and is read for a while.
    pub fn command_started(&mut self, now: Micros, id: ConnectionId) {
        self.end_idle_period(now, id, IdleEnd::EndedByUs);
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
            return; // idle already, or to be closed
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
        self.connections.set_state(now, id, if is_sample { State::IdleSample } else { State::IdleOnce });
    }

    /// Records that a connection was closed, by its client or by us. Its slot is free.
    pub fn closed(&mut self, now: Micros, id: ConnectionId) {
        let by_client = self.connections.get(id).is_some_and(|it| it.state != State::Closing);
        let how = if by_client { IdleEnd::ClosedByClient } else { IdleEnd::EndedByUs };
        self.end_idle_period(now, id, how);
        let Some(connection) = self.connections.remove(id) else { return };
        if !connection.has_sent_command {
            self.addresses.record_silent_close(now, connection.address);
        }
    }

    /// Counts a command that arrived on a connection that we were closing and could not be read any more.
    pub fn count_close_race(&mut self) {
        self.counters.close_races += 1;
    }

    /// Returns the next connection to close.
    pub fn poll_close(&mut self) -> Option<ConnectionId> {
        self.to_close.pop_front()
    }

    /// Whether a connection is still to be closed: a command may have been read since it was asked to.
    #[must_use]
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some_and(|it| it.state == State::Closing)
    }

    /// Whether every slot is taken by a connection that must not be closed.
    #[must_use]
    pub fn all_busy(&self) -> bool {
        let is_full = self.connections.len() >= self.max_connections;
        is_full && State::NOT_BUSY.into_iter().all(|state| self.connections.count(state) == 0)
    }

    /// The number of connections that have a slot.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// The counters since the start.
    #[must_use]
    pub fn counters(&self) -> ConnectionCounters {
        self.counters
    }

    /// The share of recent connections that were used again after their first idle period.
    #[must_use]
    pub fn reuse_share(&self, now: Micros) -> f64 {
        self.reuse.share(now)
    }

    /// Closes idle connections that reuse does not pay for, because a new connection has sent its first command.
    ///
    /// The first command triggers this, not the connecting: a client that connects again after each close without
    /// a command has no effect.
    fn trim(&mut self, now: Micros) {
        // Reuse pays while the share that is used again is above the square of the share of slots taken: where half are
        // taken, one in four is enough. A linear rule closed clients that reuse beside many that do not.
        let taken = self.connections.len() as f64 / self.max_connections as f64;
        let is_beyond_probation = self.connections.count(State::IdleOnce) > self.probation_slots;
        self.is_trimming = is_beyond_probation && self.reuse.share(now) < taken * taken;
        for _ in 0..CLOSED_PER_NEW {
            let Some(id) = self.trim_candidate(now) else { return };
            self.counters.unused += 1;
            self.ask_to_close(now, id);
        }
    }

    /// An idle connection that is not worth its slot.
    fn trim_candidate(&self, now: Micros) -> Option<ConnectionId> {
        let is_beyond_probation = |state: State| self.connections.count(state) > self.probation_slots;
        if self.is_trimming {
            let sample = self.connections.oldest_since(State::IdleSample);
            let expired = sample.filter(|(since, _)| now >= since + SAMPLE_SPAN_US).map(|(_, id)| id);
            let once =
                self.connections.oldest(State::IdleOnce).filter(|_| is_beyond_probation(State::IdleOnce));
            if let Some(id) = expired.or(once) {
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
        // One that was never used again is closed first if it has been idle for longer, sample or not.
        let never_reused = self.oldest_never_reused().filter(|(since, _)| *since <= reused_since);
        Some(never_reused.map_or(reused, |(_, id)| id))
    }

    /// Of the idle connections that were never used again, the one idle for longest, with the time since when.
    fn oldest_never_reused(&self) -> Option<(Micros, ConnectionId)> {
        let once = self.connections.oldest_since(State::IdleOnce);
        let sample = self.connections.oldest_since(State::IdleSample);
        once.into_iter().chain(sample).min()
    }

    fn ask_to_close(&mut self, now: Micros, id: ConnectionId) {
        self.end_idle_period(now, id, IdleEnd::EndedByUs);
        self.connections.set_state(now, id, State::Closing);
        self.to_close.push_back(id);
    }

    /// Ends the idle period of a connection in the estimate of reuse, if one is counted.
    fn end_idle_period(&mut self, now: Micros, id: ConnectionId, how: IdleEnd) {
        let connection = self.connections.get_mut(id);
        if connection.is_some_and(|it| mem::take(&mut it.idle_is_counted)) {
            self.reuse.end(now, how);
        }
    }
}
