//! A request between its arrival and its final answer, and the attempts made for it.

use crate::api::{
    CellId, Class, DedupScope, Effect, EndpointEntry, Key, Micros, Outcome, Reason, Request, Settings, ZoneId,
};
use crate::endpoint_table::Slot;

/// The kind of endpoint that an attempt is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// A cache endpoint.
    Cache,
    /// The origin.
    Origin,
}

/// One attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// Slot of its endpoint.
    pub(crate) slot: Slot,
    /// Time at which the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Whether the endpoint is a cache or the origin.
    pub(crate) target: Target,
    zone: ZoneId,
    cell: CellId,
    /// Whether the attempt ends early, with a retry reserved in the retry budget.
    pub(crate) cut_short: bool,
    /// Whether the attempt was lost with a stale connection, so that its endpoint may be tried again.
    pub(crate) stale: bool,
    /// Whether the outcome may be that of an earlier attempt on the same connection.
    pub(crate) doubtful: bool,
    /// Outcome of the attempt; `None` while it is outstanding.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Creates an attempt that is sent now to the endpoint in `slot`, listed as `entry`.
    pub(crate) fn new(slot: Slot, sent_at: Micros, target: Target, entry: &EndpointEntry) -> Self {
        Self {
            slot,
            sent_at,
            target,
            zone: entry.zone,
            cell: entry.cell,
            cut_short: false,
            stale: false,
            doubtful: false,
            outcome: None,
        }
    }

    /// Returns whether the endpoint listed as `entry` drops repeats of this attempt.
    pub(crate) fn shares_dedup_scope(&self, scope: DedupScope, entry: &EndpointEntry) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == entry.zone,
            DedupScope::Cell => self.cell == entry.cell,
        }
    }

    /// Returns whether the endpoint may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.doubtful || self.outcome.is_none_or(|outcome| !outcome.proves_never_ran())
    }

    /// Returns whether the attempt has not ended.
    pub(crate) fn is_outstanding(&self) -> bool {
        self.outcome.is_none()
    }
}

/// The state of a request, and the time when its timer is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// An attempt is outstanding; it may be hedged or cut short from `check_at` on.
    Attempting {
        /// Time of that check; `Micros::MAX` for none.
        check_at: Micros,
    },
    /// A fetch waits for its permit, or a write for its retry.
    WaitingForOrigin {
        /// Time at which the fetch or write is sent.
        until: Micros,
    },
    /// The request waits while another one fetches its key, here or at another balancer.
    WaitingForFetch {
        /// Time at which the wait ends if that fetch has not ended.
        until: Micros,
    },
    /// The request is answered or its answer is streaming; only outcomes of attempts still arrive.
    Finished,
}

impl RequestState {
    /// Returns the time when the request's timer is due; `Micros::MAX` for never.
    pub(crate) fn due(self) -> Micros {
        match self {
            RequestState::Attempting { check_at } => check_at,
            RequestState::WaitingForOrigin { until } | RequestState::WaitingForFetch { until } => until,
            RequestState::Finished => Micros::MAX,
        }
    }
}

/// The priority of a request under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Rejected last; a fetch may wait for its permit.
    Normal,
    /// Of low weight: rejected first; a fetch does not wait for its permit.
    Low,
    /// Of low weight because its tenant is over its quota; treated like [`Priority::Low`].
    OverQuota,
}

/// A request that has no final answer yet, or whose attempts have not all ended.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    /// The request as it arrived.
    pub(crate) request: Request,
    /// Its key; a random one if the request has none.
    pub(crate) key: Key,
    /// Effect of a repeat of the request.
    pub(crate) effect: Effect,
    /// End of its latency objective, never after the deadline.
    pub(crate) objective_at: Micros,
    /// Time at which the client gives up.
    pub(crate) deadline: Micros,
    /// Time until which an answer still counts: the deadline, or the objective if late answers have no weight.
    pub(crate) useful_until: Micros,
    /// Its priority under load.
    pub(crate) priority: Priority,
    /// Its state.
    pub(crate) state: RequestState,
    /// Whether the request has already waited for another balancer's fetch.
    pub(crate) awaited_remote_fetch: bool,
    /// Its attempts, in the order sent.
    pub(crate) attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// Creates the record of a request that arrives now. A request without a class counts as non-idempotent.
    pub(crate) fn new(now: Micros, request: Request, key: Key, class: Option<&Class>) -> Self {
        let deadline = now + request.remaining_us;
        let objective_at = class.map_or(deadline, |class| deadline.min(now + class.latency_objective_us));
        let late_answer_counts = class.is_some_and(|class| class.late_weight > 0.0);
        Self {
            request,
            key,
            effect: class.map_or(Effect::NonIdempotent, |class| class.effect),
            objective_at,
            deadline,
            useful_until: if late_answer_counts { deadline } else { objective_at },
            priority: Priority::Normal,
            state: RequestState::Attempting { check_at: Micros::MAX },
            awaited_remote_fetch: false,
            attempts: Vec::with_capacity(2),
        }
    }

    /// Returns the time from the first attempt to the end of the latency objective, in microseconds.
    pub(crate) fn objective_span_us(&self) -> f64 {
        self.attempts.first().map_or(0.0, |first| self.objective_at.saturating_sub(first.sent_at) as f64)
    }

    /// Returns the first endpoint that answered with a miss; a fetch stores the value there.
    pub(crate) fn missed_at(&self) -> Option<Slot> {
        let missed = self.attempts.iter().find(|attempt| attempt.outcome == Some(Outcome::Miss));
        missed.map(|attempt| attempt.slot)
    }

    /// Returns whether the origin has served the request, so that the value is stored where the miss occurred.
    pub(crate) fn origin_answered(&self) -> bool {
        let answered =
            |attempt: &Attempt| attempt.target == Target::Origin && attempt.outcome == Some(Outcome::Ok);
        self.attempts.iter().any(answered)
    }

    /// Returns whether the request's own fetch or write is waiting to be sent or outstanding.
    pub(crate) fn is_fetching(&self) -> bool {
        let outstanding = |attempt: &Attempt| attempt.target == Target::Origin && attempt.is_outstanding();
        matches!(self.state, RequestState::WaitingForOrigin { .. }) || self.attempts.iter().any(outstanding)
    }

    /// Returns whether any endpoint may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Returns whether the client may send the request again without harm.
    pub(crate) fn is_safe_to_repeat(&self) -> bool {
        let repeatable = matches!(
            self.effect,
            Effect::Idempotent | Effect::IdempotentWithKey { scope: DedupScope::All, .. }
        );
        repeatable || !self.may_have_run()
    }

    /// Returns the reason to report when the request is given up. A lasting limit takes precedence over `cause`, which
    /// may have been reached first by coincidence.
    pub(crate) fn final_reason(&self, cause: Reason, now: Micros, settings: &Settings) -> Reason {
        let over_quota = self.priority == Priority::OverQuota;
        match cause {
            _ if now >= self.deadline => Reason::Deadline,
            Reason::Shed | Reason::NoPermit if over_quota => Reason::OverQuota,
            _ if !self.is_safe_to_repeat() => Reason::MayHaveRun,
            Reason::NoEndpoint if self.attempts_left(settings) == 0 => Reason::AttemptLimit,
            cause => cause,
        }
    }

    /// Returns the number of attempts that may still be made.
    pub(crate) fn attempts_left(&self, settings: &Settings) -> usize {
        (settings.max_attempts as usize).saturating_sub(self.attempts.len())
    }

    /// Returns the number of attempts that have not ended.
    pub(crate) fn outstanding_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_outstanding()).count()
    }

    /// Returns whether every attempt has ended.
    pub(crate) fn all_attempts_ended(&self) -> bool {
        self.outstanding_attempts() == 0
    }
}
