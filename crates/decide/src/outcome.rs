//! How a try ended, and why a request did that was not served.

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server failed; the request may have run.
    Error,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run, or may yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by this side; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No value kept for the key; it never ran.
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    #[must_use]
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }

    /// Whether its server has said or done something: neither silence nor our own doing.
    #[must_use]
    pub fn is_answer(self) -> bool {
        !matches!(self, Outcome::NotSent | Outcome::Cancelled | Outcome::Timeout | Outcome::ConnectFailed)
    }
}

/// Why a request was refused or failed: one for each final answer that does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Beyond its tenant's share, when there was not enough for all.
    OverQuota,
    /// On arrival: more reads are out than the fleet can answer in time.
    Shed,
    /// After a miss: no permit for a fetch comes in time.
    NoPermit,
    /// A try was turned away or timed out, and the budget for repeats is spent.
    RetryBudget,
    /// All the attempts that a request may make were made.
    AttemptLimit,
    /// No server that may be sent to.
    NoEndpoint,
    /// The origin turned the fetch away, or was too slow for it, and another would be no better.
    FetchFailed,
    /// A try may have run, and may not be sent again.
    MayHaveRun,
    /// A try could not be sent: a connection limit of our own, or its time was over.
    NotSent,
    /// Its time was over.
    Deadline,
    /// Held memory or places for answers are used up; the module has not heard of it.
    NoCapacity,
    /// On arrival: no lease of the fleet is held; the module has not heard of it.
    Fenced,
    /// The balancer drains, or its process ends.
    ShuttingDown,
    /// Forgotten: a fault of this program.
    Forgotten,
}

impl Reason {
    /// The word for logs and reports.
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
            Reason::Forgotten => "forgotten",
        }
    }
}
