//! Rules for attempts: when a request may be sent or hedged, and the next step after a failed attempt.

use super::context::Context;
use super::retry_budget::indicates_overload;
use crate::api::{Effect, EndpointEntry, EndpointState, Micros, Mode, Outcome, Reason};
use crate::in_flight::{Attempt, InFlightRequest, RequestState, Target};

/// Fraction of the time to a read's objective after which an attempt without an answer is hedged or cut
/// short.
pub(super) const HEDGE_DELAY_FRACTION: f64 = 0.5;

/// A retry with an idempotency key must be sent at least this many ticks before the end of the key's span.
const DEDUP_MARGIN_TICKS: Micros = 2;

/// Attempts that a request must have left to wait for a value or to be hedged: this one and a fallback.
pub(super) const ATTEMPTS_WITH_FALLBACK: usize = 2;

/// Returns whether the request may be sent to this endpoint, given its earlier attempts.
pub(super) fn may_send(request: &InFlightRequest, entry: &EndpointEntry, context: &Context) -> bool {
    let settings = &context.settings;
    let max_outstanding = 1 + usize::from(settings.hedged_requests);
    if entry.state != EndpointState::Ready
        || context.now >= request.deadline
        || request.state == RequestState::Finished
        || request.attempts_left(settings) == 0
        || request.outstanding_attempts() >= max_outstanding
    {
        return false;
    }
    let mut may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
    match request.effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => may_have_run.next().is_none(),
        Effect::IdempotentWithKey { scope, span_us } => {
            let arrives_by = context.now + DEDUP_MARGIN_TICKS * settings.tick_us;
            let is_dropped = |attempt: &Attempt| {
                arrives_by < attempt.sent_at + span_us && attempt.shares_dedup_scope(scope, entry)
            };
            may_have_run.all(is_dropped)
        }
    }
}

/// Returns the delay after which a new attempt is hedged or cut short; `None` if neither may happen.
pub(super) fn hedge_delay(request: &InFlightRequest, target: Target, context: &Context) -> Option<Micros> {
    let to_objective_us = request.objective_at.saturating_sub(context.now);
    let delay_us = (to_objective_us as f64 * HEDGE_DELAY_FRACTION) as Micros;
    let may_hedge = target == Target::Cache
        && request.attempts_left(&context.settings) >= ATTEMPTS_WITH_FALLBACK
        && delay_us > 0
        && request.effect == Effect::Idempotent;
    may_hedge.then_some(delay_us)
}

/// The result of an attempt that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptResult {
    /// Number of the attempt.
    pub(super) attempt: u16,
    /// Its outcome.
    pub(super) outcome: Outcome,
    /// The time since it was sent.
    pub(super) latency_us: Micros,
    /// Whether the request is finished.
    pub(super) finished: bool,
    /// On a miss: whether another request is already fetching the key.
    pub(super) fetch_pending: bool,
    /// Whether the outcome may be that of an earlier attempt on the same connection.
    pub(super) doubtful: bool,
    /// Whether the attempt was lost with a stale connection.
    pub(super) stale: bool,
}

/// The next step of a request after an attempt that did not serve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Do nothing: the request's own fetch is in progress and decides.
    AwaitOwnFetch,
    /// Wait once for the fetch of another balancer, then read again.
    AwaitRemoteFetch,
    /// Fetch the value from the origin after a miss.
    Fetch,
    /// Read from a cache endpoint again, if the retry budget allows it.
    RetryRead,
    /// Fetch again, if the retry budget allows it.
    RetryFetch,
    /// Send the write again after a pause, if the retry budget allows it.
    RetryWrite,
    /// Give up the request for this reason.
    GiveUp(Reason),
}

/// Decides the next step after an attempt to `target` ended with `result` and did not serve the request.
/// `pause_us` is the origin's smoothed latency: the time to wait for the fetch of another balancer, or before
/// a write is retried.
pub(super) fn next_step(
    request: &InFlightRequest, target: Target, result: &AttemptResult, pause_us: Micros,
    origin: Option<&EndpointEntry>, context: &Context,
) -> NextStep {
    let outcome = result.outcome;
    if target == Target::Cache {
        if request.is_fetching() {
            return NextStep::AwaitOwnFetch;
        }
        if outcome == Outcome::Miss && context.settings.mode == Mode::CacheAside {
            let may_wait = result.fetch_pending
                && request.attempts_left(&context.settings) >= ATTEMPTS_WITH_FALLBACK
                && !request.awaited_remote_fetch
                && context.now + 2 * pause_us < request.objective_at;
            return if may_wait { NextStep::AwaitRemoteFetch } else { NextStep::Fetch };
        }
    }
    if matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
        return NextStep::GiveUp(Reason::NotSent);
    }
    if target == Target::Cache {
        return NextStep::RetryRead;
    }
    let is_write = request.request.write;
    if !is_write && !indicates_overload(outcome) {
        return NextStep::RetryFetch;
    }
    let in_time = context.now + pause_us < request.objective_at;
    let may_write = is_write && in_time && origin.is_some_and(|entry| may_send(request, entry, context));
    if may_write { NextStep::RetryWrite } else { NextStep::GiveUp(Reason::FetchFailed) }
}
