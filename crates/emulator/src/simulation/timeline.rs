//! The events of the simulation and their order.

use crate::Micros;
use crate::referee::Answer;
use crate::{node, origin};
use decide::api::{EndpointEntry, Outcome, RequestId, Token};
use std::cmp::Ordering;

/// The identity of an attempt that a gateway sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AttemptId {
    pub(super) gateway: usize,
    pub(super) request: RequestId,
    pub(super) attempt: u16,
}

/// A request sent by a client: the first attempt of an intent, or a retry.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClientAttempt {
    pub(super) request: RequestId,
    pub(super) intent: usize,
    pub(super) number: u32,
}

/// The end of an attempt, as it reaches the gateway.
#[derive(Debug, Clone, Copy)]
pub(super) struct Response {
    pub(super) id: AttemptId,
    pub(super) outcome: Outcome,
    /// The request that the answer was made for.
    pub(super) made_for: RequestId,
    /// The work that the node did for the attempt.
    pub(super) work_us: f64,
}

/// A changed endpoint, as discovery reports it to a gateway.
#[derive(Debug, Clone, Copy)]
pub(super) struct Notification {
    pub(super) gateway: usize,
    pub(super) node: usize,
    /// The version of the node's entry; a gateway ignores a notification with an outdated version.
    pub(super) version: u32,
    pub(super) entry: EndpointEntry,
}

/// An event of the simulation. Gateways, nodes, intents and faults are identified by number.
#[derive(Debug)]
pub(super) enum SimEvent {
    Arrival,
    Retry(usize, u32),
    ArriveAtGateway(usize, ClientAttempt),
    ArriveAtNode(usize, node::Job<AttemptId>),
    FinishAtNode(usize, u32, node::Job<AttemptId>),
    ArriveAtOrigin(origin::Job<AttemptId>),
    FinishAtOrigin(origin::Job<AttemptId>),
    Response(Response),
    AttemptTimeout(AttemptId),
    ClientDeadline(usize, RequestId),
    AnswerAtClient(ClientAttempt, Answer, Micros),
    Timer(usize, Token),
    Notify(Notification),
    FaultStart(usize),
    FaultEnd(usize),
    StopDrained(usize),
    RestartNode(usize, u32),
}

/// An event with its time. Events at the same time are handled in the order in which they were scheduled.
pub(super) struct ScheduledEvent {
    pub(super) at: Micros,
    pub(super) order: u64,
    pub(super) event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order)) // reversed, so that the max-heap yields the earliest event
    }
}
