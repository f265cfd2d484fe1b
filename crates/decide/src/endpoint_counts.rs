//! What the decision module makes of the list as a whole, for those who ask it and decide nothing.

use crate::api::{Micros, Presence};
use crate::policy::Router;

/// Cache servers on the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All of them.
    pub known: u64,
    /// Those that a new request would not be sent to now: they drain, or were taken out of use for what they failed.
    pub excluded: u64,
}

impl Router {
    /// Counts the cache servers on the list, the origin not among them.
    #[must_use]
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        let listed = (0..)
            .zip(&self.fleet.servers)
            .filter(|(_, server)| !server.is_origin && server.entry.presence != Presence::Gone);
        listed.fold(EndpointCounts::default(), |sum, (slot, _)| EndpointCounts {
            known: sum.known + 1,
            excluded: sum.excluded + u64::from(!self.fleet.usable(slot, now)),
        })
    }
}
