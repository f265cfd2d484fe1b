//! The open connections, in queues by state.

use crate::Micros;
use hashlink::LinkedHashMap;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::mem;
use std::net::IpAddr;

/// Identifies a client connection. The owner chooses the id and never reuses it for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// A command is awaited, and the client's address has too many silent connections.
    Suspect,
    /// The first command, or the rest of a command, is awaited; or the connection ends with an error.
    AwaitingCommand,
    /// Idle for the first time: the connection has never been reused.
    FirstIdle,
    /// Idle for the first time, and left open as a sample for the estimate of reuse.
    IdleSample,
    /// Idle, and reused before.
    IdleReused,
    /// A command was read and is not answered yet.
    Busy,
    /// The connection was asked to close.
    Closing,
}

impl State {
    /// All states but [`State::Busy`]: the connection may be closed, or is closing already.
    pub(crate) const NOT_BUSY: [State; 6] = [
        State::Suspect,
        State::AwaitingCommand,
        State::FirstIdle,
        State::IdleSample,
        State::IdleReused,
        State::Closing,
    ];

    /// Whether all commands have been answered and no further one has begun.
    pub(crate) fn is_idle(self) -> bool {
        matches!(self, State::FirstIdle | State::IdleSample | State::IdleReused)
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The client's address.
    pub(crate) address: IpAddr,
    /// The current state.
    pub(crate) state: State,
    /// When the connection entered the current state.
    pub(crate) since: Micros,
    /// Whether the client's address was over its limits when the connection was opened.
    pub(crate) is_suspect: bool,
    /// Whether a command has been read from the connection.
    pub(crate) has_sent_command: bool,
    /// Whether a command has been read after an idle period.
    pub(crate) was_reused: bool,
    /// Whether the current idle period is counted in the estimate of reuse.
    pub(crate) idle_is_counted: bool,
}

type Queue = LinkedHashMap<ConnectionId, (), FxBuildHasher>;

/// The open connections, with a queue for each state but [`State::Busy`]. Each queue is in the order of
/// [`Connection::since`].
#[derive(Debug, Default)]
pub(crate) struct Connections {
    by_id: FxHashMap<ConnectionId, Connection>,
    suspect: Queue,
    awaiting_command: Queue,
    first_idle: Queue,
    idle_sample: Queue,
    idle_reused: Queue,
    closing: Queue,
}

impl Connections {
    /// Inserts a connection that has just been opened.
    pub(crate) fn insert(&mut self, now: Micros, id: ConnectionId, address: IpAddr, state: State) {
        let connection = Connection {
            address,
            state: State::Busy,
            since: now,
            is_suspect: state == State::Suspect,
            has_sent_command: false,
            was_reused: false,
            idle_is_counted: false,
        };
        self.by_id.insert(id, connection);
        self.set_state(now, id, state);
    }

    /// Removes and returns a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.by_id.remove(&id)?;
        if let Some(queue) = self.queue_mut(connection.state) {
            queue.remove(&id);
        }
        Some(connection)
    }

    /// Returns a connection, if it is open.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.by_id.get(&id)
    }

    /// Returns a connection, if it is open. Its state must be changed by [`Connections::set_state`] only.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Moves a connection to the end of a state's queue. A connection that is already in that state keeps its position.
    /// If that state is [`State::Busy`], its time is updated.
    pub(crate) fn set_state(&mut self, now: Micros, id: ConnectionId, state: State) {
        let Some(connection) = self.by_id.get_mut(&id) else { return };
        if connection.state == state && state != State::Busy {
            return;
        }
        let previous = mem::replace(&mut connection.state, state);
        connection.since = now;
        if let Some(queue) = self.queue_mut(previous) {
            queue.remove(&id);
        }
        if let Some(queue) = self.queue_mut(state) {
            queue.insert(id, ());
        }
    }

    /// The number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The number of connections in a state other than [`State::Busy`].
    pub(crate) fn count(&self, state: State) -> usize {
        self.queue(state).map_or(0, LinkedHashMap::len)
    }

    /// The connection that has been in a state other than [`State::Busy`] for longest.
    pub(crate) fn oldest(&self, state: State) -> Option<ConnectionId> {
        self.queue(state)?.front().map(|(id, ())| *id)
    }

    /// The connection that has been in a state other than [`State::Busy`] for longest, with the time when it entered
    /// it.
    pub(crate) fn oldest_since(&self, state: State) -> Option<(Micros, ConnectionId)> {
        self.oldest(state).map(|id| (self.by_id[&id].since, id))
    }

    fn queue(&self, state: State) -> Option<&Queue> {
        match state {
            State::Suspect => Some(&self.suspect),
            State::AwaitingCommand => Some(&self.awaiting_command),
            State::FirstIdle => Some(&self.first_idle),
            State::IdleSample => Some(&self.idle_sample),
            State::IdleReused => Some(&self.idle_reused),
            State::Closing => Some(&self.closing),
            State::Busy => None,
        }
    }

    fn queue_mut(&mut self, state: State) -> Option<&mut Queue> {
        match state {
            State::Suspect => Some(&mut self.suspect),
            State::AwaitingCommand => Some(&mut self.awaiting_command),
            State::FirstIdle => Some(&mut self.first_idle),
            State::IdleSample => Some(&mut self.idle_sample),
            State::IdleReused => Some(&mut self.idle_reused),
            State::Closing => Some(&mut self.closing),
            State::Busy => None,
        }
    }
}
