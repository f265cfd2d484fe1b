//! The open connections, in queues by state.

use crate::Micros;
use hashlink::LinkedHashMap;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::mem;
use std::net::IpAddr;

/// A client connection, identified by the owner; an id is never used again for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Its command is awaited, and its address has too many such connections.
    Suspect,
    /// Its first command, or the rest of one, is awaited; or it ends with an error.
    AwaitingCommand,
    /// Idle, and never used again after a pause.
    IdleOnce,
    /// The same, as a sample that is left open to show what such connections do.
    IdleSample,
    /// Idle, and used again after a pause before.
    IdleReused,
    /// A command was read and its answer is due.
    Busy,
    /// It was asked to close.
    Closing,
}

impl State {
    /// All states in which a connection may be closed, with those that close already.
    pub(crate) const NOT_BUSY: [State; 6] = [
        State::Suspect,
        State::AwaitingCommand,
        State::IdleOnce,
        State::IdleSample,
        State::IdleReused,
        State::Closing,
    ];

    /// Whether everything that was asked has been answered.
    pub(crate) fn is_idle(self) -> bool {
        matches!(self, State::IdleOnce | State::IdleSample | State::IdleReused)
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The client's address.
    pub(crate) address: IpAddr,
    /// What it is doing.
    pub(crate) state: State,
    /// Since when it has been doing that.
    pub(crate) since: Micros,
    /// Whether its address had too many silent connections when it was opened.
    pub(crate) is_suspect: bool,
    /// Whether it has sent a command.
    pub(crate) has_sent_command: bool,
    /// Whether it was used again after a pause.
    pub(crate) was_reused: bool,
    /// Whether the idle period under way is counted in the estimate of reuse.
    pub(crate) idle_is_counted: bool,
}

type Queue = LinkedHashMap<ConnectionId, (), FxBuildHasher>;

/// The open connections. Each queue is in the order of [`Connection::since`].
#[derive(Debug, Default)]
pub(crate) struct Connections {
    by_id: FxHashMap<ConnectionId, Connection>,
    suspect: Queue,
    awaiting_command: Queue,
    idle_once: Queue,
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

    /// A connection, if it is open.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.by_id.get(&id)
    }

    /// A connection, if it is open. Its state is changed by [`Connections::set_state`] only.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Moves a connection to the end of a state's queue. One that is in that state already stays where it is, unless it
    /// is busy.
    pub(crate) fn set_state(&mut self, now: Micros, id: ConnectionId, state: State) {
        let Some(connection) = self.by_id.get_mut(&id) else { return };
        if connection.state == state && state != State::Busy {
            return;
        }
        let before = mem::replace(&mut connection.state, state);
        connection.since = now;
        if let Some(queue) = self.queue_mut(before) {
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

    /// The same, with the time since when it has been in that state.
    pub(crate) fn oldest_since(&self, state: State) -> Option<(Micros, ConnectionId)> {
        self.oldest(state).map(|id| (self.by_id[&id].since, id))
    }

    fn queue(&self, state: State) -> Option<&Queue> {
        match state {
            State::Suspect => Some(&self.suspect),
            State::AwaitingCommand => Some(&self.awaiting_command),
            State::IdleOnce => Some(&self.idle_once),
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
            State::IdleOnce => Some(&mut self.idle_once),
            State::IdleSample => Some(&mut self.idle_sample),
            State::IdleReused => Some(&mut self.idle_reused),
            State::Closing => Some(&mut self.closing),
            State::Busy => None,
        }
    }
}
