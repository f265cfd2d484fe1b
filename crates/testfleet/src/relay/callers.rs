//! The registry by which stand-ins identify the balancer behind a relayed connection.

use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The balancer behind a relayed connection, and when it last wrote.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The number of the balancer.
    pub balancer: usize,
    pub(super) wrote: Arc<Mutex<Instant>>,
}

impl Caller {
    /// Returns when the relay last read from it, no matter how long the relay buffered that.
    #[must_use]
    pub fn last_write(&self) -> Instant {
        *self.wrote.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The balancers by the local address of their relayed connection, so that a stand-in can identify its peer.
#[derive(Debug, Clone, Default)]
pub struct Callers(Arc<Mutex<FxHashMap<SocketAddr, Caller>>>);

impl Callers {
    /// Returns the balancer behind an address.
    #[must_use]
    pub fn find(&self, addr: SocketAddr) -> Option<Caller> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&addr).cloned()
    }
    pub(super) fn register(&self, addr: SocketAddr, caller: Caller) -> CallerRegistration {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(addr, caller);
        CallerRegistration(self.clone(), addr)
    }
}

/// Removes the address of a connection from the registry when dropped.
pub(super) struct CallerRegistration(Callers, SocketAddr);

impl Drop for CallerRegistration {
    fn drop(&mut self) {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
    }
}
