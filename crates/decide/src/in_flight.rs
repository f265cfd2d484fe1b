//! A request between its arrival and its final answer, and the attempts made for it.

use crate::api::{
    CellId, Class, DedupScope, Effect, EndpointEntry, Key, Micros, Outcome, Reason, Request, Settings, ZoneId,
};
use crate::endpoint_table::Slot;

/// What an attempt is sent to.
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
    /// The endpoint.
    pub(crate) slot: Slot,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Whether the endpoint is a cache or the origin.
    pub(crate) target: Target,
    zone: ZoneId,
    cell: CellId,
    /// Whether it ends early, with a retry reserved for it in the retry budget.
    pub(crate) cut_short: bool,
    /// Whether it was lost with a stale connection, so that its endpoint may be asked again.
    pub(crate) stale: bool,
    /// How it ended; `None` while it is outstanding.
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
            outcome: None,
        }
    }

    /// Whether `entry` drops repeats of what was sent in this attempt.
    pub(crate) fn shares_dedup_scope(&self, scope: DedupScope, entry: &EndpointEntry) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == entry.zone,
            DedupScope::Cell => self.cell == entry.cell,
        }
    }

    /// Whether the endpoint may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.proves_never_ran())
    }

    /// Whether it has not ended.
    pub(crate) fn is_outstanding(&self) -> bool {
        self.outcome.is_none()
    }
}

/// Where a request stands, and when its timer is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// An attempt is outstanding; from `check_at` on it may be hedged or cut short.
    Attempting {
        /// `Micros::MAX` when it is left alone.
        check_at: Micros,
    },
    /// A fetch waits for its permit, or a write for its retry.
    WaitingForOrigin {
        /// When it is sent.
        until: Micros,
    },
    /// Another request fetches the key, here or at another balancer.
    WaitingForFetch {
        /// When the wait ends without that fetch.
        until: Micros,
    },
    /// Streaming or answered; only outcomes of its attempts still arrive.
    Finished,
}

impl RequestState {
    /// When the request's timer is due; `Micros::MAX` for never.
    pub(crate) fn due(self) -> Micros {
        match self {
            RequestState::Attempting { check_at } => check_at,
            RequestState::WaitingForOrigin { until } | RequestState::WaitingForFetch { until } => until,
            RequestState::Finished => Micros::MAX,
        }
    }
}

/// How early a request is rejected under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Rejected last.
    Normal,
    /// Of low weight: rejected first.
    Low,
    /// Of low weight because its tenant is beyond its quota.
    OverQuota,
}

/// A request that has no final answer yet, or whose attempts have not all ended.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    /// The request as it arrived.
    pub(crate) request: Request,
    /// Its key; a random one where the request has none.
    pub(crate) key: Key,
    /// What a repeat may do.
    pub(crate) effect: Effect,
    /// The latency objective as a point in time, never after the deadline.
    pub(crate) objective_at: Micros,
    /// When the client gives up.
    pub(crate) deadline: Micros,
    /// Until when an answer still has a value.
    pub(crate) useful_until: Micros,
    /// How early it is rejected under load.
    pub(crate) priority: Priority,
    /// Where it stands.
    pub(crate) state: RequestState,
    /// Whether it has waited once for another balancer's fetch.
    pub(crate) awaited_remote_fetch: bool,
    /// Its attempts, in the order sent.
    pub(crate) attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// Creates the record of a request that arrives now. Without a class it is never sent twice.
    pub(crate) fn new(now: Micros, request: Request, key: Key, class: Option<&Class>) -> Self {
        let deadline = now + request.remaining_us;
        let objective_at = class.map_or(deadline, |class| deadline.min(now + class.latency_objective_us));
        let late_pays = class.is_some_and(|class| class.late_weight > 0.0);
        Self {
            request,
            key,
            effect: class.map_or(Effect::NonIdempotent, |class| class.effect),
            objective_at,
            deadline,
            useful_until: if late_pays { deadline } else { objective_at },
            priority: Priority::Normal,
            state: RequestState::Attempting { check_at: Micros::MAX },
            awaited_remote_fetch: false,
            attempts: Vec::with_capacity(2),
        }
    }

    /// The time from the first attempt to the latency objective, in microseconds.
    pub(crate) fn objective_span_us(&self) -> f64 {
        self.attempts.first().map_or(0.0, |first| self.objective_at.saturating_sub(first.sent_at) as f64)
    }

    /// The first endpoint that lacked the key; a fetch stores the value there.
    pub(crate) fn missed_at(&self) -> Option<Slot> {
        let missed = self.attempts.iter().find(|attempt| attempt.outcome == Some(Outcome::Miss));
        missed.map(|attempt| attempt.slot)
    }

    /// Whether the origin has answered, so that the value is stored at the endpoint that lacked it.
    pub(crate) fn origin_answered(&self) -> bool {
        let answered =
            |attempt: &Attempt| attempt.target == Target::Origin && attempt.outcome == Some(Outcome::Ok);
        self.attempts.iter().any(answered)
    }

    /// Whether its own fetch or write waits for its time or is outstanding.
    pub(crate) fn is_fetching(&self) -> bool {
        let outstanding = |attempt: &Attempt| attempt.target == Target::Origin && attempt.is_outstanding();
        matches!(self.state, RequestState::WaitingForOrigin { .. }) || self.attempts.iter().any(outstanding)
    }

    /// Whether any endpoint may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Whether the client may send the request again without harm.
    pub(crate) fn is_safe_to_repeat(&self) -> bool {
        let repeatable = matches!(
            self.effect,
            Effect::Idempotent | Effect::IdempotentWithKey { scope: DedupScope::All, .. }
        );
        repeatable || !self.may_have_run()
    }

    /// The reason to report for giving the request up: a lasting limit takes precedence over `cause`, which may have
    /// been the limit by coincidence.
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

    /// The number of attempts that may still be made.
    pub(crate) fn attempts_left(&self, settings: &Settings) -> usize {
        (settings.max_attempts as usize).saturating_sub(self.attempts.len())
    }

    /// The number of attempts that have not ended.
    pub(crate) fn outstanding_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_outstanding()).count()
    }

    /// Whether every attempt has ended.
    pub(crate) fn all_attempts_ended(&self) -> bool {
        self.outstanding_attempts() == 0
    }
}
