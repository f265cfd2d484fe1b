//! Connections to peers and the origin: the pools, and one try on one connection.

mod answers;
mod exchange;
mod streamed;

use crate::endpoints::Endpoint;
use crate::setup::Bounds;
use bytes::BytesMut;
use decide::api::EndpointId;
pub use exchange::{Attempt, AttemptLogThrottles, AttemptResult, Permit, dial};
use rustc_hash::FxHashMap;
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
pub use streamed::StreamedValue;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A place among the connections that may be open; given back when dropped.
#[derive(Debug)]
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An open connection. It carries one try at a time: answers come in order, and a quick one must not wait.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    _place: Place,
}

impl Connection {
    /// Whether nothing has come since the last answer, neither an end nor stray bytes. Guards the next request against
    /// being served with what came behind the answer to another. The system itself is asked: what the runtime knows of
    /// the socket is as old as its last look at all of them.
    fn quiet(&self) -> bool {
        self.heard_nothing().is_ok()
    }

    /// The same, and what was heard otherwise.
    fn heard_nothing(&self) -> Result<(), Heard> {
        if !self.buffer.is_empty() {
            return Err(Heard::Bytes);
        }
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(Heard::Error(error)),
            Ok(0) => Err(Heard::End),
            Ok(_) => Err(Heard::Bytes),
        }
    }
}

/// What has come on a connection on which nothing may come.
#[derive(Debug, thiserror::Error)]
enum Heard {
    #[error("bytes that nobody asked for")]
    Bytes,
    #[error("its end")]
    End,
    #[error(transparent)]
    Error(std::io::Error),
}

/// What a try runs on.
#[derive(Debug)]
pub enum ConnectionChoice {
    /// A connection that was idle.
    Open(Connection),
    /// A new one is to be dialled.
    Dial(DialPlace),
    /// No connection may be opened.
    None,
}

/// Permission to open one connection.
#[derive(Debug)]
pub struct DialPlace(Place);

/// The idle connections of every peer, and the count of all.
#[derive(Debug)]
pub struct ConnectionPools {
    idle: FxHashMap<EndpointId, Vec<(Instant, Connection)>>,
    /// Peers that closed connections without our noticing, and when that was last seen.
    stale: FxHashMap<EndpointId, Instant>,
    open: Rc<Cell<usize>>,
    bounds: Bounds,
    counts: Counts,
}

/// How long a peer that closed a connection without our noticing counts as one that does so.
const STALE_FOR: Duration = Duration::from_secs(10);

/// What has become of connections since the start.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Dialled to peers.
    pub dialled: u64,
    /// Dialled to the origin.
    pub dialled_origin: u64,
    /// Tries that used an idle one.
    pub reused: u64,
    /// Idle ones found ended by the other side, or idle for too long.
    pub retired: u64,
    /// Idle ones closed because the module or the list said so.
    pub closed: u64,
    /// Given up with the try on them.
    pub spent: u64,
    /// Of these, found closed by their peer when a request had been written.
    pub stale: u64,
}

impl ConnectionPools {
    /// Empty pools.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        let (idle, stale) = Default::default();
        Self { idle, stale, open: Rc::default(), bounds, counts: Counts::default() }
    }

    /// A connection for a try: the one used last, or a new one.
    pub fn line(&mut self, peer: &Endpoint) -> ConnectionChoice {
        let idle = self.idle.entry(peer.id).or_default();
        while let Some((since, connection)) = idle.pop() {
            if since.elapsed() < self.bounds.idle && connection.quiet() {
                self.counts.reused += 1;
                return ConnectionChoice::Open(connection);
            }
            self.counts.retired += 1;
        }
        self.dial(peer)
    }

    /// A new connection, whether or not there are idle ones.
    pub fn dial(&mut self, peer: &Endpoint) -> ConnectionChoice {
        if self.open.get() >= self.bounds.peers && !self.close_oldest() {
            return ConnectionChoice::None;
        }
        self.open.set(self.open.get() + 1);
        let dialled = if peer.origin { &mut self.counts.dialled_origin } else { &mut self.counts.dialled };
        *dialled += 1;
        ConnectionChoice::Dial(DialPlace(Place(self.open.clone())))
    }

    /// Books a connection that its peer had closed without our noticing.
    pub fn found_stale(&mut self, peer: &Endpoint) {
        self.counts.stale += 1;
        self.stale.insert(peer.id, Instant::now());
    }

    /// Whether this peer has closed connections without our noticing of late.
    #[must_use]
    pub fn stale_lately(&self, peer: &Endpoint) -> bool {
        self.stale.get(&peer.id).is_some_and(|seen| seen.elapsed() < STALE_FOR)
    }

    /// Permission to dial ahead for a peer that has lost its last connection with the try on it: its next try will
    /// need one anyway, and must not wait for the handshake as well.
    pub fn ahead(&mut self, peer: &Endpoint) -> Option<DialPlace> {
        let bare = self.idle.get(&peer.id).is_none_or(Vec::is_empty);
        let spare = 2 * self.open.get() < self.bounds.peers; // never at the cost of connections in use
        match (bare && spare && peer.ready()).then(|| self.line(peer)) {
            Some(ConnectionChoice::Dial(place)) => Some(place),
            _ => None,
        }
    }

    /// Makes room below the descriptor limit.
    fn close_oldest(&mut self) -> bool {
        let oldest = self.idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].0);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// Takes in a connection that is free and brought no more than belongs to its answer; none when it was spent with the try on it, or could not be dialled.
    pub fn put(&mut self, peer: &Endpoint, connection: Option<Connection>) {
        let Some(connection) = connection.filter(|it| peer.ready() && it.quiet()) else {
            self.counts.spent += 1;
            return;
        };
        self.idle.entry(peer.id).or_default().push((Instant::now(), connection));
    }

    /// Closes a peer's idle connections.
    pub fn close_idle(&mut self, id: EndpointId) {
        self.counts.closed += self.idle.remove(&id).map_or(0, |idle| idle.len() as u64);
    }

    /// Closes connections that were idle too long or that their peer has ended.
    pub fn sweep(&mut self) {
        self.stale.retain(|_, seen| seen.elapsed() < STALE_FOR);
        let (keep, retired) = (self.bounds.idle, &mut self.counts.retired);
        self.idle.retain(|_, idle| {
            let before = idle.len();
            idle.retain(|(since, connection)| since.elapsed() < keep && connection.quiet());
            *retired += (before - idle.len()) as u64;
            !idle.is_empty()
        });
    }

    /// Connections open now, and what has become of all so far.
    #[must_use]
    pub fn counts(&self) -> (usize, Counts) {
        (self.open.get(), self.counts)
    }
}
