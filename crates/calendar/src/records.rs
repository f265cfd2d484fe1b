//! The outcomes of topology changes, and the context in which changes are checked.

use crate::{ChangeKind, HoldReason, LeaseState, Millis, TimeInterval};
use proto::discovery::EndpointList;
use std::sync::Arc;

/// The time and the lease state against which changes are checked.
#[derive(Debug, Clone, Copy)]
pub struct GateContext {
    /// The time on the owner's clock.
    pub now: Millis,
    /// Bounds on fleet time, if known.
    pub fleet_time: Option<TimeInterval>,
    /// The state of the balancer's lease.
    pub lease: LeaseState,
}

/// The outcome of a topology change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Applied, because no freeze covers the change or its kind is never held.
    Applied,
    /// Applied under the override with this id.
    Override(Arc<str>),
    /// Applied during a freeze, as a replacement for weight lost since its start.
    Replacement,
    /// Applied with the first list of a process that started without a known list. Such a process cannot tell new
    /// endpoints from old ones.
    InitialList,
    /// Held.
    Held {
        /// Why the change is held.
        reason: HoldReason,
        /// The fleet time at which to check again, if known.
        until: Option<Millis>,
    },
    /// Neither applied nor queued, because the queue or the accepted list is full. A later complete list contains the
    /// change again.
    QueueFull,
}

/// A record of a change, its outcome and the revision of the calendar that it was checked against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// The endpoint.
    pub host: String,
    /// The kind of the change.
    pub kind: ChangeKind,
    /// The revision of the endpoint list.
    pub list_revision: u64,
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
    /// The revision of the calendar.
    pub calendar_revision: u64,
}

/// The accepted part of an endpoint list, and a record of each change that was applied or held.
#[derive(Debug, Clone, PartialEq)]
pub struct GateResult {
    /// The list for the decision module. In a list of changes, losses come first.
    pub list: EndpointList,
    /// The records of the changes.
    pub records: Vec<ChangeRecord>,
}
