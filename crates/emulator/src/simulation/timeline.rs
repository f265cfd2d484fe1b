//! The events of the simulation, ordered by time.

use crate::Micros;
use crate::referee::Answer;
use crate::{node, origin};
use decide::api::{EndpointEntry, Outcome, RequestId, Token};
use std::cmp::Ordering;

/// An attempt of a gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Tag {
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

/// An event of the simulation. Gateways, nodes, intents and faults are given by number.
#[derive(Debug)]
pub(super) enum SimEvent {
    Arrival,
    Retry(usize, u32),
    Reaches(usize, ClientAttempt),
    AtNode(usize, node::Job<Tag>),
    NodeEnds(usize, u32, node::Job<Tag>),
    AtArchive(origin::Job<Tag>),
    ArchiveEnds(origin::Job<Tag>),
    Comes(Tag, Outcome, RequestId, f64),
    TimesOut(Tag),
    TimeIsUp(usize, RequestId),
    AtClient(ClientAttempt, Answer, Micros),
    Timer(usize, Token),
    Told(usize, usize, u32, EndpointEntry),
    Falls(usize),
    Passes(usize),
    Goes(usize),
    Returns(usize, u32),
}

/// An event with its time; events at the same time happen in the order they were scheduled.
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
