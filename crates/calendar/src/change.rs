//! Topology changes, and the verdict on a change.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The kind of a topology change. The order of the variants is part of the encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// An endpoint drains. Never held.
    Drain,
    /// An endpoint is gone from the endpoint list. Never held.
    Gone,
    /// An endpoint goes down. Never held.
    #[serde(rename = "fall")]
    Down,
    /// An endpoint has restarted and is cold. Never held.
    #[serde(rename = "cold")]
    Restarted,
    /// An operator disables an endpoint. Never held.
    #[serde(rename = "out")]
    Disabled,
    /// An operator enables an endpoint again. Never held, like every operator override.
    #[serde(rename = "back")]
    Enabled,
    /// An endpoint's weight decreases, or its address changes. Never held.
    #[serde(rename = "less")]
    WeightReduced,
    /// An endpoint joins the fleet.
    Join,
    /// An endpoint's weight increases, or it returns from draining.
    #[serde(rename = "more")]
    WeightIncreased,
    /// An endpoint changes its zone, flavor or cell.
    Zone,
    /// The discovery source changes.
    Discovery,
    /// The configuration changes.
    Configuration,
    /// A balancer restarts as planned.
    Restart,
    /// The fleet of balancers grows.
    Growth,
    /// The quorum group changes.
    Council,
}

impl ChangeKind {
    /// The kinds that a freeze can hold.
    pub const PLANNED: [Self; 8] = [
        Self::Join,
        Self::WeightIncreased,
        Self::Zone,
        Self::Discovery,
        Self::Configuration,
        Self::Restart,
        Self::Growth,
        Self::Council,
    ];
    /// Returns whether a freeze can hold this kind.
    pub fn is_planned(self) -> bool {
        Self::PLANNED.contains(&self)
    }
    /// Returns the word for this kind in digests and log lines. Balancers compare digests, so a word must never change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drain => "Drain",
            Self::Gone => "Gone",
            Self::Down => "Fall",
            Self::Restarted => "Cold",
            Self::Disabled => "Out",
            Self::Enabled => "Back",
            Self::WeightReduced => "Less",
            Self::Join => "Join",
            Self::WeightIncreased => "More",
            Self::Zone => "Zone",
            Self::Discovery => "Discovery",
            Self::Configuration => "Configuration",
            Self::Restart => "Restart",
            Self::Growth => "Growth",
            Self::Council => "Council",
        }
    }
}

/// A topology change and the part of the fleet that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change<'a> {
    /// The kind of the change.
    pub kind: ChangeKind,
    /// The endpoint or balancer that changes. `None` for a change of the whole fleet, which a freeze of any part of the
    /// fleet holds.
    pub host: Option<&'a str>,
    /// The affected zones: the new zone, and the old zone if it differs.
    pub zones: [Option<&'a str>; 2],
}

impl<'a> Change<'a> {
    /// Creates a change of the whole fleet.
    pub fn of_fleet(kind: ChangeKind) -> Self {
        Self { kind, host: None, zones: [None, None] }
    }
    /// Creates a change of one endpoint or balancer.
    pub fn of_host(kind: ChangeKind, host: &'a str, zone: &'a str) -> Self {
        Self { kind, host: Some(host), zones: [Some(zone), None] }
    }
}

/// Bounds on the current fleet time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeInterval {
    /// Lower bound, inclusive.
    pub earliest: Millis,
    /// Upper bound, inclusive.
    pub latest: Millis,
}

/// The state of the balancer's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The balancer holds a lease.
    Held,
    /// The balancer holds no lease, and other balancers do.
    Fenced,
    /// The balancer holds no lease, and neither does any balancer that it hears from.
    Orphaned,
    /// The balancer is not part of a fleet.
    NoFleet,
}

/// Why a change is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReason {
    /// A freeze covers the change.
    Freeze {
        /// The freeze's id.
        id: Arc<str>,
        /// The freeze's reason.
        reason: Arc<str>,
    },
    /// The calendar may not be current: the balancer has no lease, or does not know fleet time.
    NoLease,
    /// The change waits behind changes that were held earlier and are being released in steps.
    Queued,
}

/// The verdict on a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change may be applied.
    Allow {
        /// The revision of the calendar.
        revision: u64,
        /// The override that allows the change, if a freeze covers it.
        override_id: Option<Arc<str>>,
    },
    /// The change is held.
    Hold {
        /// Why the change is held.
        reason: HoldReason,
        /// The fleet time at which to check again, if known.
        until: Option<Millis>,
    },
}
