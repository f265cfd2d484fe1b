//! Outcomes of attempts, and reasons for rejected and failed requests.

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The endpoint answered with an error; the request may have run.
    Error,
    /// The endpoint rejected the request unread; it never ran.
    Rejected,
    /// No answer arrived in time; the request may have run, or may still run.
    Timeout,
    /// No connection could be opened; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The balancer cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The cache node has no value for the key; the request never ran.
    Miss,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    #[must_use]
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }

    /// Returns whether the endpoint responded in some way. Silence is no answer, nor is an attempt that the balancer
    /// itself cancelled or did not send.
    #[must_use]
    pub fn is_answer(self) -> bool {
        !matches!(self, Outcome::NotSent | Outcome::Cancelled | Outcome::Timeout | Outcome::ConnectFailed)
    }

    /// Returns whether the endpoint has completed a read: it returned the value, or has none.
    #[must_use]
    pub fn is_read_answer(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Miss)
    }
}

/// The reason for a rejected or failed request. Each final answer that does not serve the request has one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The tenant is over its quota, and there is not enough capacity for all requests.
    OverQuota,
    /// Load shedding on arrival: more reads are in flight than the endpoints can answer in time.
    Shed,
    /// No permit for the fetch after a miss is free in time.
    NoPermit,
    /// An attempt failed, and the retry budget is spent.
    RetryBudget,
    /// The request has made all attempts that it may make.
    AttemptLimit,
    /// No endpoint may be sent the request.
    NoEndpoint,
    /// The origin rejected the fetch or was too slow for it, and a retry would be no better.
    FetchFailed,
    /// An attempt may have run, and the request must not be sent again.
    MayHaveRun,
    /// An attempt could not be sent: the balancer's connection limit was reached, or the request's time was over.
    NotSent,
    /// The request's deadline has passed.
    Deadline,
    /// The memory for values or the slots for answers are used up; the request did not reach the decision module.
    NoCapacity,
    /// This balancer held no lease on arrival; the request did not reach the decision module.
    Fenced,
    /// The balancer is draining, or its process is ending.
    ShuttingDown,
    /// The record of the request was lost, which is a fault of this program.
    RecordLost,
}

impl Reason {
    /// Returns the word for this reason in logs and reports.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Reason::OverQuota => "over-share",
            Reason::Shed => "shed",
            Reason::NoPermit => "no-permit",
            Reason::RetryBudget => "repeat-budget",
            Reason::AttemptLimit => "attempts",
            Reason::NoEndpoint => "no-server",
            Reason::FetchFailed => "fetch-failed",
            Reason::MayHaveRun => "may-have-run",
            Reason::NotSent => "not-sent",
            Reason::Deadline => "deadline",
            Reason::NoCapacity => "no-place",
            Reason::Fenced => "fenced",
            Reason::ShuttingDown => "shutting-down",
            Reason::RecordLost => "forgotten",
        }
    }
}
