//! The dispatcher: carries out attempts, fetches, waits and final answers for the requests in flight.

use super::attempts::{self, ATTEMPTS_WITH_FALLBACK, AttemptResult, NextStep};
use super::context::Context;
use super::endpoints::Endpoints;
use super::keys::{self, KeyPlacement};
use super::origin::OriginLimiter;
use super::retry_budget::RetryBudget;
use super::single_flight::SingleFlight;
use crate::api::{Action, Micros, Outcome, Reason, RequestId, Settings, Token};
use crate::endpoint_table::Slot;
use crate::in_flight::{Attempt, InFlightRequest, RequestState, Target};
use rustc_hash::FxHashMap;
use std::mem;

/// The treatment of the outstanding attempts of a finished request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OutstandingAttempts {
    /// Cancel them if that is permitted.
    Cancel,
    /// Let them go on.
    Keep,
}

/// The requests in flight, and the state that their attempts depend on.
#[derive(Debug)]
pub(super) struct Dispatcher {
    /// The time, the settings and the random number generator.
    pub(super) context: Context,
    /// The actions that the current event has led to.
    pub(super) actions: Vec<Action>,
    /// The requests in flight.
    pub(super) requests: FxHashMap<RequestId, InFlightRequest>,
    /// The endpoints and their load.
    pub(super) endpoints: Endpoints,
    /// The assignment of keys to endpoints.
    pub(super) keys: KeyPlacement,
    /// The limiter of fetches.
    pub(super) origin: OriginLimiter,
    /// The budgets for retries and hedged requests.
    pub(super) retry_budget: RetryBudget,
    fetches: SingleFlight,
}

/// An attempt that has just ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedAttempt {
    /// The endpoint of the attempt.
    pub(super) slot: Slot,
    /// Whether the endpoint is a cache or the origin.
    pub(super) target: Target,
    /// Whether the request needs no further attempt.
    pub(super) request_is_finished: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints or requests.
    pub(super) fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Self {
            context: Context { now, settings, rng: fastrand::Rng::with_seed(seed) },
            actions: Vec::new(),
            requests: FxHashMap::default(),
            endpoints: Endpoints::default(),
            keys: KeyPlacement::default(),
            origin: OriginLimiter::default(),
            retry_budget: RetryBudget::new(),
            fetches: SingleFlight::default(),
        }
    }

    /// Handles the timer of a request, if it is due.
    pub(super) fn handle_timer(&mut self, id: RequestId) {
        let now = self.context.now;
        let Some(request) = self.requests.get_mut(&id).filter(|request| now >= request.state.due()) else {
            return;
        };
        match request.state {
            RequestState::WaitingForOrigin { .. } => self.send_to_origin(id),
            RequestState::WaitingForFetch { .. } if now >= request.deadline => {
                self.give_up(id, Reason::Deadline);
            }
            RequestState::WaitingForFetch { .. } => {
                let stored_at = request.missed_at();
                self.read_again(id, stored_at);
            }
            RequestState::Attempting { .. } if !self.context.settings.hedged_requests => {
                self.cut_short_if_lost(id);
            }
            RequestState::Attempting { .. } if self.retry_budget.withdraw_hedge() => {
                request.state = RequestState::Attempting { check_at: Micros::MAX };
                self.send_read(id);
            }
            RequestState::Attempting { .. } | RequestState::Finished => {}
        }
    }

    /// Records the end of an attempt; returns `None` if there is no such attempt outstanding. The
    /// cancellation of an attempt that was cut short becomes a timeout.
    pub(super) fn record_end(&mut self, id: RequestId, result: &mut AttemptResult) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let request_is_finished = result.finished || request.state == RequestState::Finished;
        let attempt = request.attempts.get_mut(usize::from(result.attempt))?;
        if !attempt.is_outstanding() {
            return None;
        }
        if attempt.cut_short && result.outcome == Outcome::Cancelled {
            result.outcome = Outcome::Timeout;
        }
        attempt.outcome = Some(result.outcome);
        attempt.stale = result.stale;
        attempt.doubtful = result.doubtful;
        if attempt.cut_short {
            self.retry_budget.release_reserved(result.outcome);
        }
        let (slot, target) = (attempt.slot, attempt.target);
        self.endpoints.record_end(slot, target, self.context.now);
        if result.outcome.is_read_answer() && !request.request.write {
            self.endpoints.reads.record_answer(self.context.now);
        }
        if result.outcome.is_answer() {
            self.endpoints.table[slot].record_answer(self.context.now, attempt.sent_at);
        }
        Some(EndedAttempt { slot, target, request_is_finished })
    }

    /// Adjusts the fetch rate after the outcome of a fetch or write.
    pub(super) fn learn_from_origin(&mut self, id: RequestId, slot: Slot, result: &AttemptResult) {
        if result.stale || matches!(result.outcome, Outcome::NotSent | Outcome::Cancelled) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        self.origin.record(request, result.outcome, result.latency_us, &self.context);
        if self.origin.should_close_idle() {
            self.actions.push(Action::CloseIdle(self.endpoints.table[slot].entry.id));
        }
    }

    /// Takes the next step after an attempt that did not serve its request.
    pub(super) fn continue_after(&mut self, id: RequestId, target: Target, result: &AttemptResult) {
        if target == Target::Origin {
            self.complete_fetch(id); // a failed fetch must not hold up the requests that wait for it
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let pause_us = self.origin.latency_us();
        let pause_until = self.context.now + pause_us;
        let table = &self.endpoints.table;
        let origin = table.origin().map(|slot| &table[slot].entry);
        let step = attempts::next_step(request, target, result, pause_us, origin, &self.context);
        match step {
            NextStep::AwaitOwnFetch => {}
            NextStep::AwaitRemoteFetch => {
                request.awaited_remote_fetch = true;
                self.wait(id, RequestState::WaitingForFetch { until: pause_until });
            }
            NextStep::Fetch => self.fetch(id),
            NextStep::GiveUp(reason) => self.give_up(id, reason),
            NextStep::RetryRead | NextStep::RetryFetch | NextStep::RetryWrite => {
                if !self.retry_budget.withdraw_retry(result.outcome) {
                    return self.give_up(id, Reason::RetryBudget);
                }
                match step {
                    NextStep::RetryRead => self.send_read(id),
                    NextStep::RetryFetch => self.fetch(id),
                    _ => self.wait(id, RequestState::WaitingForOrigin { until: pause_until }),
                }
            }
        }
    }

    /// Starts an attempt if the request may be sent to the endpoint; returns whether it was sent.
    fn send(&mut self, id: RequestId, slot: Slot, target: Target) -> bool {
        let now = self.context.now;
        let entry = self.endpoints.table[slot].entry;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !attempts::may_send(request, &entry, &self.context) {
            return false;
        }
        let hedge_delay_us = attempts::hedge_delay(request, target, &self.context);
        let can_intervene = self.context.settings.hedged_requests || self.context.settings.may_cancel;
        // An attempt that can neither be hedged nor cancelled later is cut short by a timeout from the start.
        let timeout_us = hedge_delay_us.filter(|_| !can_intervene && self.retry_budget.withdraw_hedge());
        let mut attempt = Attempt::new(slot, now, target, &entry);
        attempt.cut_short = timeout_us.is_some();
        request.attempts.push(attempt);
        let check_at = hedge_delay_us.map_or(Micros::MAX, |delay_us| now + delay_us);
        request.state = RequestState::Attempting { check_at };
        self.endpoints.record_send(slot, target, now);
        self.actions.push(Action::Forward { id, endpoint: entry.id, timeout_us: timeout_us.unwrap_or(0) });
        if let Some(delay_us) = hedge_delay_us.filter(|_| can_intervene) {
            self.actions.push(Action::Timer { delay_us, token: Token(id.0) });
        }
        true
    }

    /// Sends a read to the endpoint chosen for it. If none can take it, a first attempt becomes a fetch, and
    /// any other gives up.
    pub(super) fn send_read(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (key, is_first) = (request.key, request.attempts.is_empty());
        let assignment = self.keys.assignment(key, &self.endpoints.table, &self.context.settings);
        let tried = &request.attempts;
        let slot = keys::choose_endpoint(key, &assignment, tried, &mut self.endpoints, &mut self.context);
        if slot.is_some_and(|slot| self.send(id, slot, Target::Cache)) {
            return;
        }
        // If no cache endpoint can take a new read, its value can still be fetched if the origin has a
        // permit.
        if is_first && self.endpoints.table.origin().is_some() {
            self.fetch(id);
        } else {
            self.give_up(id, Reason::NoEndpoint);
        }
    }

    /// Sends a fetch or a write to the origin, or gives up if no origin can take it.
    pub(super) fn send_to_origin(&mut self, id: RequestId) {
        let origin = self.endpoints.table.origin();
        if !origin.is_some_and(|slot| self.send(id, slot, Target::Origin)) {
            self.give_up(id, Reason::NoEndpoint);
        }
    }

    /// Fetches a value: joins the fetch of its key, sends a fetch as soon as its permit allows, or gives up
    /// at once.
    fn fetch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.fetches.join(request.key, id) {
            let until = request.deadline;
            return self.wait(id, RequestState::WaitingForFetch { until });
        }
        if request.attempts_left(&self.context.settings) == 0 {
            return self.give_up(id, Reason::AttemptLimit); // no permit for a fetch that cannot be sent
        }
        let Some(at) = self.origin.try_reserve(request, &self.context) else {
            return self.give_up(id, Reason::NoPermit);
        };
        self.fetches.start(request.key, id);
        if at <= self.context.now {
            self.send_to_origin(id);
        } else {
            self.wait(id, RequestState::WaitingForOrigin { until: at });
        }
    }

    /// Ends the fetch that `id` leads. The requests that waited for it read the stored value, or one of them
    /// leads the next fetch.
    fn complete_fetch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let stored_at = request.missed_at().filter(|_| request.origin_answered());
        for waiter in self.fetches.complete(request.key, id) {
            self.read_again(waiter, stored_at);
        }
    }

    /// Reads from the endpoint where a fetch stored the value, if an attempt is left for the request's own
    /// fetch. Otherwise fetches.
    fn read_again(&mut self, id: RequestId, stored_at: Option<Slot>) {
        let Some(request) = self.requests.get(&id) else { return };
        if !matches!(request.state, RequestState::WaitingForFetch { .. }) {
            return;
        }
        let has_fallback = request.attempts_left(&self.context.settings) >= ATTEMPTS_WITH_FALLBACK;
        // The endpoint where this request missed takes the read without a further slow-start permit.
        let missed_there = stored_at == request.missed_at();
        let readable = stored_at.filter(|&slot| {
            has_fallback && (missed_there || self.endpoints.has_slow_start_permit(slot, &mut self.context))
        });
        if !readable.is_some_and(|slot| self.send(id, slot, Target::Cache)) {
            self.fetch(id);
        }
    }

    /// Puts a request into `state` and sets the timer that ends the wait at the latest.
    fn wait(&mut self, id: RequestId, state: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = state;
        let delay_us = state.due().saturating_sub(self.context.now);
        self.actions.push(Action::Timer { delay_us, token: Token(id.0) });
    }

    /// Cancels a read's attempt if it looks lost. Otherwise checks again later: most endpoints are only slow.
    fn cut_short_if_lost(&mut self, id: RequestId) {
        let now = self.context.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = RequestState::Attempting { check_at: Micros::MAX };
        let number = request.attempts.len() - 1;
        let attempt = &mut request.attempts[number];
        let endpoint = &self.endpoints.table[attempt.slot];
        // An attempt is lost if the endpoint has answered two later ones, and may be lost if the endpoint has
        // answered nothing since it was sent. The retry is reserved here, so that its budget cannot run out.
        let reserved = if endpoint.answered_two_since(attempt.sent_at) {
            self.retry_budget.reserve_retry()
        } else {
            endpoint.last_answer_at < attempt.sent_at && self.retry_budget.withdraw_hedge()
        };
        if reserved {
            attempt.cut_short = true;
            self.actions.push(Action::Cancel { id, attempt: number as u16 });
            return;
        }
        let check_in_us = request.objective_at.saturating_sub(now) / 2;
        if check_in_us > self.context.settings.tick_us {
            self.wait(id, RequestState::Attempting { check_at: now + check_in_us });
        }
    }

    /// Stops making attempts: gives the final answer, unless an outstanding attempt may still bring one.
    pub(super) fn give_up(&mut self, id: RequestId, cause: Reason) {
        let context = &self.context;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.state == RequestState::Finished {
            return;
        }
        if !request.all_attempts_ended() {
            // The request leaves a waiting state, because nothing would handle the end of that wait any more.
            request.state = RequestState::Attempting { check_at: request.state.due() };
            return;
        }
        let reason = request.final_reason(cause, context.now, &context.settings);
        self.actions.push(if request.is_safe_to_repeat() {
            Action::Reject { id, retry_after_us: self.origin.retry_after_us(context), reason }
        } else {
            Action::Fail { id, reason }
        });
        self.finish(id, OutstandingAttempts::Cancel);
    }

    /// Finishes a request that needs no further answer. Its outstanding attempts still report their outcomes.
    pub(super) fn finish(&mut self, id: RequestId, outstanding: OutstandingAttempts) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let previous_state = mem::replace(&mut request.state, RequestState::Finished);
        let cancels = outstanding == OutstandingAttempts::Cancel && self.context.settings.may_cancel;
        if previous_state != RequestState::Finished && cancels {
            let attempts = (0..).zip(&request.attempts).filter(|(_, attempt)| attempt.is_outstanding());
            self.actions.extend(attempts.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        self.complete_fetch(id);
        if self.requests.get(&id).is_some_and(InFlightRequest::all_attempts_ended) {
            self.requests.remove(&id);
        }
    }
}
