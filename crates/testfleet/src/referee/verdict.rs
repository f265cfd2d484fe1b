//! The result of checking a run: counters and the violations found.

use std::fmt;
use std::time::Duration;

/// The maximum number of violations that a verdict prints.
const MAX_VIOLATIONS_SHOWN: usize = 20;

/// A violation of a rule. The first field of a variant is the request id, unless stated otherwise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A request had no outcome.
    Unanswered(String),
    /// A request had more than one outcome.
    AnsweredTwice(String),
    /// A request was answered this long after its deadline.
    AnsweredLate(String, Duration),
    /// An attempt was sent this long after the client had disconnected.
    SentAfterDisconnect(String, Duration),
    /// An attempt stated this much more remaining time than was left until the deadline.
    DeadlineOverstated(String, Duration),
    /// A request was forwarded although the close of its connection raced it.
    ForwardedAfterClose(String),
    /// A client stopped within a request, and this balancer did not close its connection for this long.
    PartialRequestNotClosed(usize, Duration),
    /// This balancer was sent SIGTERM and was still running when it was due to be sent SIGKILL.
    StillRunning(usize),
    /// This balancer exceeded its memory limit or its socket limit: its memory in KB, and its number of descriptors.
    OverLimit(usize, u64, usize),
    /// A request was lost at a balancer that was not killed, with the error.
    Lost(String, String),
    /// A request without an idempotency key was executed this many times.
    NonIdempotentRetried(String, usize),
    /// A second attempt was sent while the first was in flight; the attempts were sent to these two endpoints.
    ConcurrentAttempts(String, [String; 2]),
    /// A balancer sent a new request to an endpoint after it was notified that the endpoint drains or is gone.
    SentToDrainingEndpoint {
        /// The id of the request.
        id: String,
        /// The number of the balancer.
        balancer: usize,
        /// The name of the endpoint.
        endpoint: String,
        /// How long after the notification the request was sent.
        after: Duration,
    },
    /// The records are incomplete by this many entries.
    RecordsDropped(usize),
}

impl Violation {
    /// Returns the id of the violating request, if there is one.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::Unanswered(id)
            | Self::AnsweredTwice(id)
            | Self::AnsweredLate(id, _)
            | Self::SentAfterDisconnect(id, _)
            | Self::DeadlineOverstated(id, _)
            | Self::ForwardedAfterClose(id)
            | Self::Lost(id, _)
            | Self::NonIdempotentRetried(id, _)
            | Self::ConcurrentAttempts(id, _)
            | Self::SentToDrainingEndpoint { id, .. } => Some(id),
            Self::PartialRequestNotClosed(..)
            | Self::StillRunning(_)
            | Self::OverLimit(..)
            | Self::RecordsDropped(_) => None,
        }
    }
}

/// The result of checking a run.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// The seed of the run.
    pub seed: u64,
    /// The number of requests.
    pub calls: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests that were lost because their balancer was killed.
    pub lost_with_killed: usize,
    /// Requests that were not sent completely, or whose clients disconnected.
    pub not_sent: usize,
    /// Requests that raced the close of their connection.
    pub raced_close: usize,
    /// Attempts at cache nodes.
    pub attempts: usize,
    /// Executions at the origin.
    pub runs: usize,
    /// The violations.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, calls, served, rejected, failed, .. } = self;
        let Self { not_sent, raced_close, lost_with_killed: lost, attempts, runs, violations, .. } = self;
        write!(f, "seed {seed:#x}: {calls} calls, {served} served, {rejected} rejected, {failed} failed, ")?;
        if not_sent + raced_close > 0 {
            write!(f, "{not_sent} not sent or disconnected, {raced_close} raced by a close, ")?;
        }
        write!(f, "{lost} lost with a killed balancer; {attempts} attempts, {runs} runs; ")?;
        write!(f, "{} violations{}", violations.len(), if violations.is_empty() { "" } else { ":" })?;
        violations.iter().take(MAX_VIOLATIONS_SHOWN).try_for_each(|violation| write!(f, "\n  {violation:?}"))
    }
}

impl Verdict {
    /// Asserts that no rule was violated.
    ///
    /// # Panics
    /// Panics with the verdict, including the seed, if there is a violation.
    pub fn assert_clean(&self) {
        assert!(self.violations.is_empty(), "{self}");
    }
}
