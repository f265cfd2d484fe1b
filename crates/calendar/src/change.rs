//! A change of topology, and what is said of it.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A host drains. Never held.
    Drain,
    /// A host is gone. Never held.
    Gone,
    /// A host falls. Never held.
    Fall,
    /// A host is cold. Never held.
    Cold,
    /// A host is put out by staff. Never held.
    Out,
    /// A host is called back by staff: an order of theirs as the other. Never held.
    Back,
    /// A host has less weight, or tells of another address. Never held.
    Less,
    /// A host joins.
    Join,
    /// A host comes back to more weight, or is given more.
    More,
    /// A host changes its zone, kind or cell.
    Zone,
    /// Discovery moves.
    Discovery,
    /// The configuration changes.
    Configuration,
    /// A balancer is restarted by plan.
    Restart,
    /// The fleet of balancers grows.
    Growth,
    /// The council changes.
    Council,
}

impl ChangeKind {
    /// The kinds that a freeze can hold.
    pub const PLANNED: [Self; 8] = [
        Self::Join,
        Self::More,
        Self::Zone,
        Self::Discovery,
        Self::Configuration,
        Self::Restart,
        Self::Growth,
        Self::Council,
    ];
    /// Whether a freeze can hold it.
    pub fn planned(self) -> bool {
        Self::PLANNED.contains(&self)
    }
    /// The word for this kind in digests and log lines. Balancers compare digests, so a word must never change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drain => "Drain",
            Self::Gone => "Gone",
            Self::Fall => "Fall",
            Self::Cold => "Cold",
            Self::Out => "Out",
            Self::Back => "Back",
            Self::Less => "Less",
            Self::Join => "Join",
            Self::More => "More",
            Self::Zone => "Zone",
            Self::Discovery => "Discovery",
            Self::Configuration => "Configuration",
            Self::Restart => "Restart",
            Self::Growth => "Growth",
            Self::Council => "Council",
        }
    }
}

/// A change of topology, and what it touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change<'a> {
    /// What changes.
    pub kind: ChangeKind,
    /// The host or balancer; `None` for what touches the whole fleet, which a freeze of any part of it holds.
    pub host: Option<&'a str>,
    /// The zones that it is in, before and after.
    pub zones: [Option<&'a str>; 2],
}

impl<'a> Change<'a> {
    /// A change of the whole fleet.
    pub fn of_fleet(kind: ChangeKind) -> Self {
        Self { kind, host: None, zones: [None, None] }
    }
    /// A change of one host.
    pub fn of_host(kind: ChangeKind, host: &'a str, zone: &'a str) -> Self {
        Self { kind, host: Some(host), zones: [Some(zone), None] }
    }
}

/// What is known of fleet time: it is now within, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeInterval {
    /// The least that it can be.
    pub earliest: Millis,
    /// The most that it can be.
    pub latest: Millis,
}

/// How the balancer stands to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// It holds a lease.
    Held,
    /// It holds none, and others do.
    Fenced,
    /// None that it hears of holds one.
    Orphaned,
    /// It is in no fleet.
    NoFleet,
}

/// Why a change is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReason {
    /// A freeze covers it.
    Freeze {
        /// The freeze.
        id: Arc<str>,
        /// The freeze's reason.
        reason: Arc<str>,
    },
    /// What was agreed may not all be known here: no lease, or no fleet time.
    NoLease,
    /// Others waited before it and are taken in steps.
    Queued,
}

/// What is said of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Allow {
        /// The calendar's revision.
        revision: u64,
        /// The override that lets it pass.
        override_id: Option<Arc<str>>,
    },
    /// It is held.
    Hold {
        /// Why.
        reason: HoldReason,
        /// The fleet time at which to look again, where it is known.
        until: Option<Millis>,
    },
}
