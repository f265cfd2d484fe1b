//! Coalescing of fetches: requests that miss the same key wait for the fetch of the first one.

use crate::api::{Key, RequestId};
use rustc_hash::FxHashMap;

#[derive(Debug)]
struct Flight {
    leader: RequestId,
    waiters: Vec<RequestId>,
}

/// The fetches in progress, by key, and the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct SingleFlight {
    flights: FxHashMap<Key, Flight>,
}

impl SingleFlight {
    /// Adds a request to those that wait for the fetch of `key`. Returns false if no fetch is in progress.
    pub(super) fn join(&mut self, key: Key, id: RequestId) -> bool {
        let flight = self.flights.get_mut(&key);
        flight.map(|flight| flight.waiters.push(id)).is_some()
    }

    /// Records that `leader` fetches `key`. No other fetch of the key may be in progress.
    pub(super) fn start(&mut self, key: Key, leader: RequestId) {
        self.flights.insert(key, Flight { leader, waiters: Vec::new() });
    }

    /// Removes the fetch of `key` if `id` leads it, and returns the requests that waited for it.
    pub(super) fn complete(&mut self, key: Key, id: RequestId) -> Vec<RequestId> {
        if self.flights.get(&key).is_none_or(|flight| flight.leader != id) {
            return Vec::new();
        }
        self.flights.remove(&key).map_or_else(Vec::new, |flight| flight.waiters)
    }
}
