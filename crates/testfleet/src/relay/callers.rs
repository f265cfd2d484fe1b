//! The registry by which stand-ins identify the balancer behind a relayed connection.

use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The balancer behind a relayed connection, and when it last wrote.
#[derive(Debug, Clone)]
pub struct RelayedConnection {
    /// The number of the balancer.
    pub balancer: usize,
    pub(super) last_write: Arc<Mutex<Instant>>,
}

impl RelayedConnection {
    /// Returns when the relay last read data from the balancer. Buffering in the relay does not change this time.
    #[must_use]
    pub fn last_write(&self) -> Instant {
        *self.last_write.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The registry of relayed connections. A stand-in looks up the balancer behind a connection by the connection's remote
/// address, which is the relay's local address.
#[derive(Debug, Clone, Default)]
pub struct ConnectionRegistry(Arc<Mutex<FxHashMap<SocketAddr, RelayedConnection>>>);

impl ConnectionRegistry {
    /// Returns the balancer behind the connection with this remote address; `None` if it is not a relayed connection.
    #[must_use]
    pub fn find(&self, remote_addr: SocketAddr) -> Option<RelayedConnection> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&remote_addr).cloned()
    }
    pub(super) fn register(&self, remote_addr: SocketAddr, connection: RelayedConnection) -> Registration {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(remote_addr, connection);
        Registration(self.clone(), remote_addr)
    }
}

/// Removes a connection from the registry when dropped.
pub(super) struct Registration(ConnectionRegistry, SocketAddr);

impl Drop for Registration {
    fn drop(&mut self) {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
    }
}
