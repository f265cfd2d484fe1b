//! The observations of the referee, its findings, and the rules with their tolerances.

use crate::Micros;
use decide::api::{Effect, EndpointId, EndpointState, Outcome, RequestId};
use serde::Serialize;
use std::fmt;

/// A rule that the referee checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request gets exactly one final answer, before the client's deadline.
    OneAnswer,
    /// An abandoned request is answered at once.
    NotHeldBack,
    /// A request never has two attempts in flight.
    OneAttempt,
    /// A request that may have been executed is not retried or answered as rejected, unless its class allows it.
    NoSecondRun,
    /// No new request is sent to a draining or removed node.
    OrderlyDrain,
    /// No node is overloaded during slow start.
    ColdNode,
    /// The served value was made for this request.
    OwnValue,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// The time of the violation, in microseconds.
    pub at: Micros,
    /// The id of the request, if the violation concerns one.
    pub request: Option<u64>,
    /// A description of the observed violation.
    #[serde(rename = "seen")]
    pub description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: ", self.rule, self.at as f64 / 1e6)?;
        if let Some(request) = self.request {
            write!(f, "request {request:x}: ")?;
        }
        f.write_str(&self.description)
    }
}

/// A final answer, as received by the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The request was served with a value or a receipt.
    Served {
        /// The request that the value was made for.
        made_for: RequestId,
    },
    /// The request was rejected.
    Refused,
    /// The request failed.
    Failed,
}

/// An event that the referee observes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A gateway accepted a request.
    Accepted {
        /// The gateway.
        gateway: usize,
        /// The request.
        request: RequestId,
        /// Whether the request may be executed more than once.
        effect: Effect,
        /// The time at which the client gives up.
        client_deadline: Micros,
    },
    /// A gateway was notified of an endpoint.
    Notified {
        /// The gateway.
        gateway: usize,
        /// The endpoint.
        endpoint: EndpointId,
        /// The state of the endpoint.
        state: EndpointState,
    },
    /// An attempt was sent.
    Sent {
        /// The gateway.
        gateway: usize,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The outcome of the attempt.
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
        /// The number of executions of the request, including this one.
        times: u32,
    },
    /// A node was overloaded during slow start.
    Overloaded {
        /// The overloaded node.
        endpoint: EndpointId,
    },
}

/// The tolerances of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tolerance {
    /// The maximum time from the client's deadline, or from the moment a request is abandoned, to its answer.
    pub answer: Micros,
    /// The maximum time from the notification of a drain to the last new request.
    pub drain: Micros,
}

impl Tolerance {
    /// The tolerances of a simulation on a virtual clock.
    pub const VIRTUAL: Self = Self { answer: 10_000, drain: 250_000 };
    /// The tolerances of a run on sockets.
    pub const SOCKETS: Self = Self { answer: 60_000, drain: 300_000 };
}
