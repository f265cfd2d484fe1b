//! The capacity in the scope of each freeze: the weight at its start, and the lost weight that may be replaced.

use crate::entry::{Scope, ScopeTarget};
use crate::{Calendar, Change, Millis, TimeInterval};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// Minimum fraction of the requested weight that a replacement must get. Less weight is not worth a cold endpoint.
const MIN_REPLACEMENT_FRACTION: f64 = 0.1;
/// Upper bound on the relative rounding error of a sum of several thousand weights, added in any order.
const RELATIVE_ROUNDING_ERROR: f64 = 1e-9;

#[derive(Debug, Clone)]
struct EndpointWeight {
    zone: String,
    weight: f64,
}

/// The key of one occurrence of a freeze.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Occurrence {
    entry_id: String,
    start: Millis,
}

/// The weight in the scope of one freeze, at its start and now.
#[derive(Debug, Clone)]
struct FreezeCapacity {
    scope: Scope,
    initial_weight: f64,
    current_weight: f64,
}

fn in_scope(target: &ScopeTarget, host: &str, zone: &str) -> bool {
    match target {
        ScopeTarget::Fleet => true,
        ScopeTarget::Zones(zones) => zones.iter().any(|it| it == zone),
        ScopeTarget::Group { hosts, .. } => hosts.iter().any(|it| it == host),
    }
}

impl FreezeCapacity {
    fn lost_weight(&self) -> f64 {
        self.initial_weight - self.current_weight
    }

    fn covers(&self, change: &Change<'_>) -> bool {
        let kinds = &self.scope.kinds;
        let host = change.host.unwrap_or_default();
        let mut zones = change.zones.iter().flatten();
        (kinds.is_empty() || kinds.contains(&change.kind))
            && (in_scope(&self.scope.place, host, "")
                || zones.any(|zone| in_scope(&self.scope.place, host, zone)))
    }
}

/// Tracks the weight of each endpoint, and the capacity in the scope of each freeze in force. Its size is bounded by
/// the endpoints of the list and the entries of the calendar.
#[derive(Debug, Clone, Default)]
pub struct AvailableCapacity {
    endpoints: FxHashMap<String, EndpointWeight>,
    down: FxHashSet<String>,
    freezes: BTreeMap<Occurrence, FreezeCapacity>,
}

impl AvailableCapacity {
    /// Starts to track freezes that have come into force, and drops those that have ended. Call this before setting new
    /// weights, because the weights set so far count as those at the start of the freeze.
    pub fn update_freezes(&mut self, calendar: &Calendar, span: TimeInterval) {
        let mut previous = std::mem::take(&mut self.freezes);
        for (entry, start) in calendar.freezes_in_force(span) {
            let occurrence = Occurrence { entry_id: entry.id().to_owned(), start };
            let capacity = previous.remove(&occurrence).unwrap_or_else(|| {
                let weight = self.weight_in_scope(&entry.scope().place);
                FreezeCapacity {
                    scope: entry.scope().clone(),
                    initial_weight: weight,
                    current_weight: weight,
                }
            });
            self.freezes.insert(occurrence, capacity);
        }
    }

    fn weight_in_scope(&self, target: &ScopeTarget) -> f64 {
        let members = self.endpoints.iter().filter(|(host, it)| in_scope(target, host, &it.zone));
        members.filter(|(host, _)| !self.down.contains(*host)).map(|(_, it)| it.weight).sum()
    }

    /// Adds the weight of an endpoint, multiplied by `sign`, to the freezes that cover the endpoint, unless it is down.
    fn add_weight(&mut self, host: &str, sign: f64) {
        let Some(endpoint) = self.endpoints.get(host).filter(|_| !self.down.contains(host)) else { return };
        for freeze in self.freezes.values_mut() {
            if in_scope(&freeze.scope.place, host, &endpoint.zone) {
                freeze.current_weight += sign * endpoint.weight;
            }
        }
    }

    /// Sets the weight of an endpoint. The weight is 0 if the endpoint is gone or draining.
    pub fn set_weight(&mut self, host: &str, zone: &str, weight: f64) {
        self.add_weight(host, -1.0);
        if weight > 0.0 {
            self.endpoints.insert(host.to_owned(), EndpointWeight { zone: zone.to_owned(), weight });
            self.add_weight(host, 1.0);
        } else {
            self.endpoints.remove(host);
            self.down.remove(host);
        }
    }

    /// Marks a listed endpoint as down.
    pub fn mark_down(&mut self, host: &str) {
        self.add_weight(host, -1.0);
        if self.endpoints.contains_key(host) {
            self.down.insert(host.to_owned());
        }
    }

    /// Marks an endpoint as up again.
    pub fn mark_up(&mut self, host: &str) {
        if self.down.remove(host) {
            self.add_weight(host, 1.0);
        }
    }

    /// Returns the weight that a change may add as a replacement, up to `wanted`. Of the freezes that cover the change,
    /// the one that has lost the least weight limits it.
    pub fn replacement(&self, change: &Change<'_>, wanted: f64) -> Option<f64> {
        let covering = self.freezes.values().filter(|it| it.covers(change));
        let least = covering.min_by(|one, other| one.lost_weight().total_cmp(&other.lost_weight()))?;
        let (lost, rounding) = (least.lost_weight(), least.initial_weight * RELATIVE_ROUNDING_ERROR);
        if lost <= rounding || wanted <= 0.0 || lost < wanted * MIN_REPLACEMENT_FRACTION {
            return None;
        }
        // A weight that exceeds the loss only by the rounding error is granted in full.
        Some(if wanted <= lost + rounding { wanted } else { lost })
    }
}
