//! One fetch a key: the requests that missed the same key wait for the fetch of the first.

use crate::api::{Key, RequestId};
use rustc_hash::FxHashMap;

#[derive(Debug)]
struct Flight {
    leader: RequestId,
    waiters: Vec<RequestId>,
}

/// The fetches under way, by key.
#[derive(Debug, Default)]
pub(super) struct SingleFlight {
    flights: FxHashMap<Key, Flight>,
}

impl SingleFlight {
    /// Makes a request wait for the fetch of its key; returns whether there is one.
    pub(super) fn join(&mut self, key: Key, id: RequestId) -> bool {
        let flight = self.flights.get_mut(&key);
        flight.map(|flight| flight.waiters.push(id)).is_some()
    }

    /// Starts a fetch of a key that none is under way for.
    pub(super) fn lead(&mut self, key: Key, leader: RequestId) {
        self.flights.insert(key, Flight { leader, waiters: Vec::new() });
    }

    /// Ends the fetch of a key if `id` leads it, and returns those who waited.
    pub(super) fn complete(&mut self, key: Key, id: RequestId) -> Vec<RequestId> {
        if self.flights.get(&key).is_none_or(|flight| flight.leader != id) {
            return Vec::new();
        }
        self.flights.remove(&key).map_or_else(Vec::new, |flight| flight.waiters)
    }
}
