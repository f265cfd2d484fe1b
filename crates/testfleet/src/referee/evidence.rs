//! The records of a run that are checked against the rules.

use crate::cache_node::Attempt;
use crate::clients::Call;
use crate::discovery::EndpointNotification;
use crate::runtime::Stall;
use std::time::Instant;

/// A period in which a balancer was killed, or stopped with SIGSTOP.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interruption {
    /// The number of the balancer.
    pub balancer: usize,
    /// Whether the balancer was killed and lost its state; otherwise it was stopped.
    pub killed: bool,
    /// The start of the interruption.
    pub from: Instant,
    /// The end of the interruption; `None` while it lasts.
    pub until: Option<Instant>,
    /// When the next process was started; `None` if the balancer was stopped or has not been restarted.
    pub restarted: Option<Instant>,
}

/// The records of a run, with the information needed to check them.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The seed of the run.
    pub seed: u64,
    /// The requests with their outcomes.
    pub calls: Vec<Call>,
    /// The attempts at cache nodes.
    pub attempts: Vec<Attempt>,
    /// The executions at the origin.
    pub runs: Vec<Attempt>,
    /// The phases written to balancers.
    pub notifications: Vec<EndpointNotification>,
    /// The periods in which balancers were killed or stopped.
    pub interruptions: Vec<Interruption>,
    /// The periods in which the event loop of the stand-ins was stalled.
    pub stalls: Vec<Stall>,
    /// The names of request classes that are not idempotent.
    pub non_idempotent: Vec<String>,
    /// The number of entries dropped because a log was full.
    pub dropped: usize,
}
