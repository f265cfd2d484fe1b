//! Counts of the listed endpoints for metrics. No decision depends on them.

use crate::api::{EndpointState, Micros};
use crate::policy::Router;

/// Counts of the cache endpoints on the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All cache endpoints that are not removed from the list.
    pub known: u64,
    /// Cache endpoints that would get no new request now, because they are draining or ejected.
    pub excluded: u64,
}

impl Router {
    /// Counts the listed cache endpoints, without the origin.
    #[must_use]
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        let table = self.endpoint_table();
        let mut counts = EndpointCounts::default();
        for (slot, endpoint) in table.iter() {
            if endpoint.is_origin || endpoint.entry.state == EndpointState::Gone {
                continue;
            }
            counts.known += 1;
            counts.excluded += u64::from(!table.is_usable(slot, now));
        }
        counts
    }
}
