//! Counts of the listed endpoints, for metrics. Nothing is decided by them.

use crate::api::{Micros, Presence};
use crate::policy::Router;

/// Counts of the cache endpoints on the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All cache endpoints that are not gone.
    pub known: u64,
    /// Those that no new request would be sent to now, because they drain or are ejected.
    pub excluded: u64,
}

impl Router {
    /// Counts the listed cache endpoints; the origin is not among them.
    #[must_use]
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        let table = self.endpoint_table();
        let mut counts = EndpointCounts::default();
        for (slot, endpoint) in table.iter() {
            if endpoint.is_origin || endpoint.entry.presence == Presence::Gone {
                continue;
            }
            counts.known += 1;
            counts.excluded += u64::from(!table.is_usable(slot, now));
        }
        counts
    }
}
