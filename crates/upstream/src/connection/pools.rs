//! Pools of idle connections, and the limit on open connections.

use super::socket::{Connection, ConnectionPermit, UnexpectedInput};
use crate::endpoints::Endpoint;
use crate::setup::Bounds;
use decide::api::EndpointId;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an endpoint is remembered as one that closes idle connections without this balancer noticing before the
/// next request.
const STALE_PERIOD: Duration = Duration::from_secs(10);

/// The source of the connection that an attempt uses.
#[derive(Debug)]
pub enum ConnectionSource {
    /// An idle connection from the pool.
    Idle(Connection),
    /// A new connection, which the attempt must open.
    Dial(ConnectionPermit),
    /// No connection: the limit on open connections is reached.
    Unavailable,
}

/// An idle connection, and when it was returned to the pool.
#[derive(Debug)]
struct IdleConnection {
    since: Instant,
    connection: Connection,
}

impl IdleConnection {
    /// Checks whether the connection can be used. If not, counts why.
    fn is_usable(&self, idle_timeout: Duration, counters: &mut ConnectionCounters) -> bool {
        match self.connection.check_no_input() {
            Err(UnexpectedInput::Bytes) => counters.unexpected_input += 1,
            Ok(()) if self.since.elapsed() < idle_timeout => return true,
            _ => counters.retired += 1,
        }
        false
    }
}

/// The idle connections of all endpoints, and the number of open connections.
#[derive(Debug)]
pub struct ConnectionPools {
    idle: FxHashMap<EndpointId, Vec<IdleConnection>>,
    /// For each endpoint that has closed a connection unnoticed, when this was last seen.
    stale_seen_at: FxHashMap<EndpointId, Instant>,
    open: Rc<Cell<usize>>,
    bounds: Bounds,
    counters: ConnectionCounters,
}

/// Counters of connections to endpoints since the start.
#[derive(Debug, Default, Clone, Copy)]
pub struct ConnectionCounters {
    /// Connections dialled to cache nodes.
    pub dialled: u64,
    /// Connections dialled to the origin.
    pub dialled_origin: u64,
    /// Attempts that used an idle connection.
    pub reused: u64,
    /// Idle connections that were removed because the endpoint had closed them or the idle timeout had passed.
    pub retired: u64,
    /// Connections that were closed because bytes had arrived after a complete response, such as a second copy of it.
    pub unexpected_input: u64,
    /// Idle connections that were closed because of the decision module or an endpoint list, or replaced by a new one
    /// for a request that needs an unused connection.
    pub closed: u64,
    /// Connections that could not be opened, or could not be reused after an attempt.
    pub not_reusable: u64,
    /// The part of `not_reusable` that the endpoint had closed unnoticed before a request was written.
    pub stale: u64,
}

impl fmt::Display for ConnectionCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { dialled, dialled_origin, reused, retired, unexpected_input, closed, not_reusable, stale } =
            self;
        write!(f, "{dialled} dialled to cache nodes, {dialled_origin} to the origin, {reused} reused, ")?;
        write!(f, "{retired} retired, {unexpected_input} with unexpected input, {closed} closed idle, ")?;
        write!(f, "{not_reusable} not reusable, {stale} of them stale")
    }
}

impl ConnectionPools {
    /// Creates empty pools.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            idle: FxHashMap::default(),
            stale_seen_at: FxHashMap::default(),
            open: Rc::default(),
            bounds,
            counters: ConnectionCounters::default(),
        }
    }

    /// Returns a connection for an attempt: of the idle connections that have rested, the most recently used one; else
    /// the longest idle one that is worth waiting for, which the attempt must let rest; else a new connection.
    pub fn check_out(&mut self, endpoint: &Endpoint) -> ConnectionSource {
        let now = Instant::now();
        let idle = self.take_idle(endpoint, |idle| {
            let rested = idle.iter().rposition(|idle| idle.connection.rests_until(now).is_none());
            rested.or_else(|| idle.iter().position(|idle| idle.connection.is_worth_waiting_for()))
        });
        idle.map_or_else(|| self.check_out_new(endpoint), ConnectionSource::Idle)
    }

    /// Returns a connection that has carried no response, for a request that must never be executed twice: a late
    /// second copy of an earlier response could say that the request was not executed. A new connection replaces the
    /// one that has been idle longest, so that the pool does not grow.
    pub fn check_out_unused(&mut self, endpoint: &Endpoint) -> ConnectionSource {
        let unused = self.take_idle(endpoint, |idle| {
            idle.iter().rposition(|idle| !idle.connection.has_carried_response())
        });
        if let Some(unused) = unused {
            return ConnectionSource::Idle(unused);
        }
        if let Some(idle) = self.idle.get_mut(&endpoint.id).filter(|idle| !idle.is_empty()) {
            idle.remove(0);
            self.counters.closed += 1;
        }
        self.check_out_new(endpoint)
    }

    /// Removes the idle connection at the index that `find` returns. Closes those that are unusable.
    fn take_idle(
        &mut self, endpoint: &Endpoint, find: impl Fn(&[IdleConnection]) -> Option<usize>,
    ) -> Option<Connection> {
        let idle = self.idle.entry(endpoint.id).or_default();
        while let Some(index) = find(idle) {
            let candidate = idle.remove(index);
            if candidate.is_usable(self.bounds.idle, &mut self.counters) {
                self.counters.reused += 1;
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a new connection for an attempt, even if the endpoint has idle connections.
    pub fn check_out_new(&mut self, endpoint: &Endpoint) -> ConnectionSource {
        if self.open.get() >= self.bounds.peers && !self.close_oldest_idle() {
            return ConnectionSource::Unavailable;
        }
        if endpoint.is_origin {
            self.counters.dialled_origin += 1;
        } else {
            self.counters.dialled += 1;
        }
        ConnectionSource::Dial(ConnectionPermit::acquire(&self.open))
    }

    /// Returns a permit to connect ahead of the next attempt, so that the attempt does not wait for the handshake.
    /// Returns `None` if the endpoint has an idle connection or is not ready, or if half of the permitted connections
    /// are open.
    pub fn permit_preconnect(&mut self, endpoint: &Endpoint) -> Option<ConnectionPermit> {
        let has_idle = self.idle.get(&endpoint.id).is_some_and(|idle| !idle.is_empty());
        // Leaves half of the permitted connections to attempts.
        let has_capacity = 2 * self.open.get() < self.bounds.peers;
        if has_idle || !has_capacity || !endpoint.is_ready() {
            return None;
        }
        match self.check_out(endpoint) {
            ConnectionSource::Dial(permit) => Some(permit),
            ConnectionSource::Idle(_) | ConnectionSource::Unavailable => None,
        }
    }

    /// Returns the connection of an attempt to the pool; `None` if it was closed or could not be opened. The connection
    /// is kept if the endpoint is ready and has sent nothing after its response.
    pub fn check_in(&mut self, endpoint: &Endpoint, connection: Option<Connection>) {
        let Some(mut connection) = connection.filter(|_| endpoint.is_ready()) else {
            self.counters.not_reusable += 1;
            return;
        };
        connection.release_buffer();
        drop(connection.take_memory());
        match connection.check_no_input() {
            Ok(()) => {
                let idle = IdleConnection { since: Instant::now(), connection };
                self.idle.entry(endpoint.id).or_default().push(idle);
            }
            Err(UnexpectedInput::Bytes) => self.counters.unexpected_input += 1,
            Err(_) => self.counters.not_reusable += 1,
        }
    }

    /// Records that an endpoint has closed a connection without this balancer noticing before the next request.
    pub fn record_stale(&mut self, endpoint: &Endpoint) {
        self.counters.stale += 1;
        self.stale_seen_at.insert(endpoint.id, Instant::now());
    }

    /// Returns whether [`ConnectionPools::record_stale`] was called for this endpoint within the last `STALE_PERIOD`.
    #[must_use]
    pub fn was_stale_recently(&self, endpoint: &Endpoint) -> bool {
        self.stale_seen_at.get(&endpoint.id).is_some_and(|seen| seen.elapsed() < STALE_PERIOD)
    }

    /// Closes the idle connections of an endpoint.
    pub fn close_idle(&mut self, id: EndpointId) {
        self.counters.closed += self.idle.remove(&id).map_or(0, |idle| idle.len() as u64);
    }

    /// Closes the connections whose idle timeout has passed or that their endpoint has closed.
    pub fn sweep(&mut self) {
        self.stale_seen_at.retain(|_, seen| seen.elapsed() < STALE_PERIOD);
        let (idle_timeout, counters) = (self.bounds.idle, &mut self.counters);
        self.idle.retain(|_, idle| {
            idle.retain(|connection| connection.is_usable(idle_timeout, counters));
            !idle.is_empty()
        });
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns the counters of connections since the start.
    #[must_use]
    pub fn counters(&self) -> ConnectionCounters {
        self.counters
    }

    /// Closes the connection that has been idle longest, to stay below the descriptor limit. Returns `false` if none is
    /// idle.
    fn close_oldest_idle(&mut self) -> bool {
        let non_empty = self.idle.values_mut().filter(|idle| !idle.is_empty());
        let oldest = non_empty.min_by_key(|idle| idle[0].since);
        oldest.map(|idle| idle.remove(0)).is_some()
    }
}
