//! What the referee observes, and what it reports.

use crate::Micros;
use decide::api::{Effect, EndpointId, Outcome, Presence, RequestId};
use serde::Serialize;
use std::fmt;

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request has one final answer, before the client's deadline.
    OneAnswer,
    /// An abandoned request is answered at once.
    NotHeldBack,
    /// A request never has two attempts in flight.
    OneAttempt,
    /// A request that may have been executed is not retried or answered as rejected, unless its class allows it.
    NoSecondRun,
    /// No new requests go to a draining or removed node.
    OrderlyDrain,
    /// No node is overloaded during slow start.
    ColdNode,
    /// The served value was made for this request.
    OwnValue,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// The time.
    pub at: Micros,
    /// The request, if there is one.
    pub request: Option<u64>,
    /// What was observed.
    pub seen: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: ", self.rule, self.at as f64 / 1e6)?;
        if let Some(request) = self.request {
            write!(f, "request {request:x}: ")?;
        }
        f.write_str(&self.seen)
    }
}

/// A final answer, as received by the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A value or receipt.
    Served {
        /// The request that it was made for.
        made_for: RequestId,
    },
    /// The request was rejected.
    Refused,
    /// The request failed.
    Failed,
}

/// An observed event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A gateway accepted a request.
    Accepted {
        /// The gateway.
        gateway: usize,
        /// The request.
        request: RequestId,
        /// Whether it may be executed more than once.
        effect: Effect,
        /// When its client gives up.
        client_deadline: Micros,
    },
    /// A gateway was notified of an endpoint.
    Notified {
        /// The gateway.
        gateway: usize,
        /// The endpoint.
        endpoint: EndpointId,
        /// The state of the endpoint.
        presence: Presence,
    },
    /// An attempt was sent.
    Sent {
        /// The gateway.
        gateway: usize,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The endpoint it was sent to.
        endpoint: EndpointId,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
    },
    /// The decision module abandoned a request.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A final answer was sent to the client.
    Answered {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// The origin executed a request.
    Executed {
        /// The request.
        request: RequestId,
        /// The number of executions so far.
        times: u32,
    },
    /// A node was overloaded during slow start.
    Overloaded {
        /// The rule.
        endpoint: EndpointId,
    },
}

/// The tolerances of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slack {
    /// How long after the client's deadline, or after it was abandoned, a request may be answered.
    pub answer: Micros,
    /// How long after the notification of a drain new requests may be sent.
    pub drain: Micros,
}

impl Slack {
    /// The tolerances on a virtual clock.
    pub const VIRTUAL: Self = Self { answer: 10_000, drain: 250_000 };
    /// The tolerances on sockets.
    pub const SOCKETS: Self = Self { answer: 60_000, drain: 300_000 };
}
