//! Available capacity: the weight at the start of each freeze, and how much of it losses have opened to replacement.

use crate::entry::{Scope, ScopeTarget};
use crate::{Calendar, Change, Millis, TimeInterval};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// The least fraction of a wanted weight that a replacement may get. Less is not worth a cold endpoint.
const MIN_REPLACEMENT_FRACTION: f64 = 0.1;
/// Rounding error of sums of some thousand weights, relative to the sum, in any order of addition.
const ROUNDING: f64 = 1e-9;

#[derive(Debug, Clone)]
struct EndpointWeight {
    zone: String,
    weight: f64,
}

/// Identifies one occurrence of a freeze.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Occurrence {
    entry_id: String,
    start: Millis,
}

/// The weight in the scope of one freeze.
#[derive(Debug, Clone)]
struct FreezeCapacity {
    scope: Scope,
    at_start: f64,
    now: f64,
}

fn in_scope(target: &ScopeTarget, host: &str, zone: &str) -> bool {
    match target {
        ScopeTarget::Fleet => true,
        ScopeTarget::Zones(zones) => zones.iter().any(|it| it == zone),
        ScopeTarget::Group { hosts, .. } => hosts.iter().any(|it| it == host),
    }
}

impl FreezeCapacity {
    fn lost(&self) -> f64 {
        self.at_start - self.now
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

/// The weight of each endpoint, and the capacity in the scope of each freeze in force. Bounded by the members of the
/// endpoint list and the entries of the calendar.
#[derive(Debug, Clone, Default)]
pub struct AvailableCapacity {
    endpoints: FxHashMap<String, EndpointWeight>,
    down: FxHashSet<String>,
    freezes: BTreeMap<Occurrence, FreezeCapacity>,
}

impl AvailableCapacity {
    /// Starts to track each freeze that has come into force, and drops those that are over. Call this before new weights are
    /// set: the weights set so far are those at the start of the freeze.
    pub fn update_freezes(&mut self, calendar: &Calendar, span: TimeInterval) {
        let mut before = std::mem::take(&mut self.freezes);
        for (entry, start) in calendar.freezes_in_force(span) {
            let occurrence = Occurrence { entry_id: entry.id().to_owned(), start };
            let capacity = before.remove(&occurrence).unwrap_or_else(|| {
                let weight = self.weight_in(&entry.scope().place);
                FreezeCapacity { scope: entry.scope().clone(), at_start: weight, now: weight }
            });
            self.freezes.insert(occurrence, capacity);
        }
    }

    fn weight_in(&self, target: &ScopeTarget) -> f64 {
        let members = self.endpoints.iter().filter(|(host, it)| in_scope(target, host, &it.zone));
        members.filter(|(host, _)| !self.down.contains(*host)).map(|(_, it)| it.weight).sum()
    }

    /// Adds the weight of an endpoint, times `sign`, to the freezes that cover it, unless the endpoint is down.
    fn add_weight(&mut self, host: &str, sign: f64) {
        let Some(endpoint) = self.endpoints.get(host).filter(|_| !self.down.contains(host)) else { return };
        for freeze in self.freezes.values_mut() {
            if in_scope(&freeze.scope.place, host, &endpoint.zone) {
                freeze.now += sign * endpoint.weight;
            }
        }
    }

    /// Sets the weight of an endpoint: 0 if it is gone or draining.
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

    /// The weight that a change may add as a replacement, at most `wanted`: the least that the freezes over it have lost.
    pub fn replacement(&self, change: &Change<'_>, wanted: f64) -> Option<f64> {
        let covering = self.freezes.values().filter(|it| it.covers(change));
        let least = covering.min_by(|one, other| one.lost().total_cmp(&other.lost()))?;
        let (lost, rounding) = (least.lost(), least.at_start * ROUNDING);
        if lost <= rounding || wanted <= 0.0 || lost < wanted * MIN_REPLACEMENT_FRACTION {
            return None;
        }
        // A weight that fits except for rounding is granted in full.
        Some(if wanted <= lost + rounding { wanted } else { lost })
    }
}
