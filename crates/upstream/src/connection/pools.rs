//! Pools of idle connections, and the limit on open ones.

use super::socket::{Connection, ConnectionPermit};
use crate::endpoints::Endpoint;
use crate::setup::Bounds;
use decide::api::EndpointId;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an endpoint that closed a connection unnoticed counts as one that does so.
const STALE_PERIOD: Duration = Duration::from_secs(10);

/// The connection that an attempt uses.
#[derive(Debug)]
pub enum ConnectionSource {
    /// A connection that was idle.
    Idle(Connection),
    /// A new one, to be opened.
    Dial(ConnectionPermit),
    /// None: the limit on open connections is reached.
    Unavailable,
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    since: Instant,
    connection: Connection,
}

impl IdleConnection {
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && self.connection.has_no_input()
    }
}

/// The idle connections of every endpoint, and the count of all open ones.
#[derive(Debug)]
pub struct ConnectionPools {
    idle: FxHashMap<EndpointId, Vec<IdleConnection>>,
    /// Endpoints that closed connections unnoticed, and when that was last seen.
    stale_seen_at: FxHashMap<EndpointId, Instant>,
    open: Rc<Cell<usize>>,
    bounds: Bounds,
    counters: ConnectionCounters,
}

/// What has become of connections since the start.
#[derive(Debug, Default, Clone, Copy)]
pub struct ConnectionCounters {
    /// Connections dialled to cache nodes.
    pub dialled: u64,
    /// Connections dialled to the origin.
    pub dialled_origin: u64,
    /// Attempts that used an idle connection.
    pub reused: u64,
    /// Idle connections that were closed by the endpoint, or idle for too long.
    pub retired: u64,
    /// Idle connections closed on behalf of the decision module or the endpoint list.
    pub closed: u64,
    /// Connections closed with the attempt on them.
    pub not_reusable: u64,
    /// Of these, those that the endpoint had closed unnoticed when a request was written.
    pub stale: u64,
}

impl fmt::Display for ConnectionCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { dialled, dialled_origin, reused, retired, closed, not_reusable, stale } = self;
        write!(f, "{dialled} dialled to cache nodes, {dialled_origin} to the origin, {reused} reused, ")?;
        write!(
            f,
            "{retired} retired, {closed} closed idle, {not_reusable} not reusable, {stale} of them stale"
        )
    }
}

impl ConnectionPools {
    /// Empty pools.
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

    /// A connection for an attempt: the idle one used last, or a new one.
    pub fn check_out(&mut self, endpoint: &Endpoint) -> ConnectionSource {
        let idle = self.idle.entry(endpoint.id).or_default();
        while let Some(candidate) = idle.pop() {
            if candidate.is_usable(self.bounds.idle) {
                self.counters.reused += 1;
                return ConnectionSource::Idle(candidate.connection);
            }
            self.counters.retired += 1;
        }
        self.check_out_new(endpoint)
    }

    /// A new connection, whether or not there are idle ones.
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

    /// A permit to connect ahead of use, if the endpoint has no idle connection: its next attempt will need one, and must not wait
    /// for the handshake.
    pub fn permit_preconnect(&mut self, endpoint: &Endpoint) -> Option<ConnectionPermit> {
        let has_idle = self.idle.get(&endpoint.id).is_some_and(|idle| !idle.is_empty());
        // At most half of all connections, so that attempts do not lack them.
        let has_capacity = 2 * self.open.get() < self.bounds.peers;
        if has_idle || !has_capacity || !endpoint.ready() {
            return None;
        }
        match self.check_out(endpoint) {
            ConnectionSource::Dial(permit) => Some(permit),
            ConnectionSource::Idle(_) | ConnectionSource::Unavailable => None,
        }
    }

    /// Returns the connection of an attempt; `None` if it was closed, or could not be opened. It is kept if the endpoint is ready and
    /// sent nothing beyond its response.
    pub fn check_in(&mut self, endpoint: &Endpoint, connection: Option<Connection>) {
        let reusable = connection.filter(|connection| endpoint.ready() && connection.has_no_input());
        let Some(connection) = reusable else {
            self.counters.not_reusable += 1;
            return;
        };
        let idle = IdleConnection { since: Instant::now(), connection };
        self.idle.entry(endpoint.id).or_default().push(idle);
    }

    /// Records that an endpoint had closed a connection unnoticed.
    pub fn record_stale(&mut self, endpoint: &Endpoint) {
        self.counters.stale += 1;
        self.stale_seen_at.insert(endpoint.id, Instant::now());
    }

    /// Whether this endpoint has recently closed connections unnoticed.
    #[must_use]
    pub fn was_stale_recently(&self, endpoint: &Endpoint) -> bool {
        self.stale_seen_at.get(&endpoint.id).is_some_and(|seen| seen.elapsed() < STALE_PERIOD)
    }

    /// Closes an endpoint's idle connections.
    pub fn close_idle(&mut self, id: EndpointId) {
        self.counters.closed += self.idle.remove(&id).map_or(0, |idle| idle.len() as u64);
    }

    /// Closes connections that were idle for too long or that their endpoint has closed.
    pub fn sweep(&mut self) {
        self.stale_seen_at.retain(|_, seen| seen.elapsed() < STALE_PERIOD);
        let idle_timeout = self.bounds.idle;
        let retired = &mut self.counters.retired;
        self.idle.retain(|_, idle| {
            let before = idle.len();
            idle.retain(|connection| connection.is_usable(idle_timeout));
            *retired += (before - idle.len()) as u64;
            !idle.is_empty()
        });
    }

    /// How many connections are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// What has become of connections since the start.
    #[must_use]
    pub fn counters(&self) -> ConnectionCounters {
        self.counters
    }

    /// Closes the connection that has been idle longest, to stay below the descriptor limit. Returns whether there was one.
    fn close_oldest_idle(&mut self) -> bool {
        let non_empty = self.idle.values_mut().filter(|idle| !idle.is_empty());
        let oldest = non_empty.min_by_key(|idle| idle[0].since);
        oldest.map(|idle| idle.remove(0)).is_some()
    }
}
