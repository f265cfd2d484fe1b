//! Which attempts a request may make, when one is hedged, and what follows one that did not serve.

use super::context::Context;
use super::retry_budget::failed_by_load;
use crate::api::{Effect, EndpointEntry, Micros, Mode, Outcome, Presence, Reason};
use crate::in_flight::{Attempt, InFlightRequest, RequestState, Target};

/// A read without an answer for this fraction of the time to its objective is hedged or cut short.
pub(super) const HEDGE_DELAY_FRACTION: f64 = 0.5;

/// A repeat with an idempotency key is sent this many ticks before the end of the span at the latest.
const DEDUP_MARGIN_TICKS: Micros = 2;

/// Attempts that must be left for a request to wait for a value, or to hedge: this one and its fallback.
pub(super) const WITH_FALLBACK: usize = 2;

/// Whether the request may be sent to this endpoint, given its earlier attempts.
pub(super) fn may_send(request: &InFlightRequest, entry: &EndpointEntry, context: &Context) -> bool {
    let settings = &context.settings;
    let max_outstanding = 1 + usize::from(settings.hedged_requests);
    if entry.presence != Presence::Ready
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
            let latest = context.now + DEDUP_MARGIN_TICKS * settings.tick_us;
            let is_dropped = |attempt: &Attempt| {
                latest < attempt.sent_at + span_us && attempt.shares_dedup_scope(scope, entry)
            };
            may_have_run.all(is_dropped)
        }
    }
}

/// After which delay a new attempt is hedged or cut short; `None` when it is left alone.
pub(super) fn hedge_delay(request: &InFlightRequest, target: Target, context: &Context) -> Option<Micros> {
    let to_objective_us = request.objective_at.saturating_sub(context.now);
    let delay_us = (to_objective_us as f64 * HEDGE_DELAY_FRACTION) as Micros;
    let may_hedge = target == Target::Cache
        && request.attempts_left(&context.settings) >= WITH_FALLBACK
        && delay_us > 0
        && request.effect == Effect::Idempotent;
    may_hedge.then_some(delay_us)
}

/// How an attempt ended.
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
    /// On a miss: whether another request fetches the key already.
    pub(super) fetch_pending: bool,
    /// Whether it was lost with a stale connection.
    pub(super) stale: bool,
}

/// What follows an attempt that did not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Nothing: the request's own fetch is under way and decides.
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
    /// Give the request up.
    GiveUp(Reason),
}

/// Decides what follows an attempt to `target` that ended with `result` and did not serve. `pause_us` is the
/// origin's usual latency: the time to wait for a fetch elsewhere, or before a write is sent again.
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
                && request.attempts_left(&context.settings) >= WITH_FALLBACK
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
    if !is_write && !failed_by_load(outcome) {
        return NextStep::RetryFetch;
    }
    let in_time = context.now + pause_us < request.objective_at;
    let may_write = is_write && in_time && origin.is_some_and(|entry| may_send(request, entry, context));
    if may_write { NextStep::RetryWrite } else { NextStep::GiveUp(Reason::FetchFailed) }
}
