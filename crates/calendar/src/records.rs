//! What became of a change of topology, and the context in which changes are checked.

use crate::{ChangeKind, HoldReason, LeaseState, Millis, TimeInterval};
use proto::discovery::EndpointList;
use std::sync::Arc;

/// The time and the lease state at which changes are checked.
#[derive(Debug, Clone, Copy)]
pub struct GateContext {
    /// The time on the owner's clock.
    pub now: Millis,
    /// Bounds on fleet time, if known.
    pub fleet_time: Option<TimeInterval>,
    /// The state of the balancer's lease.
    pub lease: LeaseState,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Applied: no freeze covers it, or none can.
    Applied,
    /// Applied under the override with this id.
    Override(Arc<str>),
    /// Applied during a freeze, as a replacement for weight lost since its start.
    Replacement,
    /// Applied with the first list of a process that starts without a known list, which cannot tell new endpoints from old.
    InitialList,
    /// Held.
    Held {
        /// Why.
        reason: HoldReason,
        /// The fleet time at which to check again, if known.
        until: Option<Millis>,
    },
    /// Neither applied nor queued, since the queue or the list is full. A later complete list contains the change again.
    QueueFull,
}

/// What became of a change, and the state of the calendar it was checked against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// The endpoint.
    pub host: String,
    /// What changed.
    pub kind: ChangeKind,
    /// The revision of the endpoint list.
    pub list: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// The revision of the calendar.
    pub revision: u64,
}

/// The part of a list that is accepted now, and a record of each change that was applied or held.
#[derive(Debug, Clone, PartialEq)]
pub struct GateResult {
    /// The list for the decision module. In a list of changes, losses come first.
    pub list: EndpointList,
    /// What became of each change.
    pub records: Vec<ChangeRecord>,
}
