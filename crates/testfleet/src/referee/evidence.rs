//! The records of a run that the rules are checked against.

use crate::cache_node::Attempt;
use crate::clients::Call;
use crate::discovery::EndpointNotification;
use crate::runtime::Stall;
use std::time::Instant;

/// A period in which a balancer was killed or stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interruption {
    /// The number of the balancer.
    pub balancer: usize,
    /// Whether it was killed and lost its state, or only stopped.
    pub killed: bool,
    /// The start of the interruption.
    pub from: Instant,
    /// The end; `None` while it lasts.
    pub until: Option<Instant>,
    /// When the next process was started, if it was killed.
    pub restarted: Option<Instant>,
}

/// The records of a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The seed of the run.
    pub seed: u64,
    /// The requests with their outcomes.
    pub calls: Vec<Call>,
    /// Attempts at cache nodes.
    pub attempts: Vec<Attempt>,
    /// Executions at the origin.
    pub runs: Vec<Attempt>,
    /// Phases written to balancers.
    pub notifications: Vec<EndpointNotification>,
    /// When balancers were killed or stopped.
    pub interruptions: Vec<Interruption>,
    /// When the event loop of the stand-ins was stalled.
    pub stalls: Vec<Stall>,
    /// Request classes that are not idempotent.
    pub non_idempotent: Vec<String>,
    /// The number of entries dropped because a log was full.
    pub dropped: usize,
}
