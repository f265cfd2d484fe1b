//! Handlers of attempts: starting one, the start of a large streamed answer, and its end.

use crate::engine::Engine;
use crate::engine::input::{InFlightAttempt, Input};
use crate::engine::requests::{CancellableAttempt, SentAttempt};
use decide::api::{Effect, EndpointId, Event, Micros, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use upstream::call::{Answer, ServedValue};
use upstream::connection::{Attempt, AttemptResult, SendPermit, StreamedValue};
use upstream::endpoints::Endpoint;

impl Engine {
    /// Starts an attempt of a request at an endpoint. A timeout of 0 means that only the request's deadline applies.
    pub(in crate::engine) fn start_attempt(&mut self, id: RequestId, target: EndpointId, timeout_us: Micros) {
        let Some(context) = self.requests.get_mut(&id) else { return };
        let number = context.attempts_started;
        context.attempts_started += 1;
        let sent_at = Instant::now();
        let awaited = context.awaited.get();
        let endpoint = self.endpoints.endpoint(target).filter(|endpoint| endpoint.is_ready() && awaited);
        let Some(endpoint) = endpoint.cloned() else {
            return self.events.push_back(unsent_attempt(id, number, awaited));
        };
        let (cancel, cancelled) = oneshot::channel();
        context.in_flight.push(CancellableAttempt { number, cancel });
        let sent = SentAttempt { number, sent_at };
        let Some(attempt) = self.prepare_attempt(id, &endpoint, sent, timeout_us) else { return };
        let audited_version = self.audited_version(attempt.call.value.is_some());
        let in_flight = InFlightAttempt { request: id, number, endpoint, sent_at, audited_version };
        let inputs = self.handle.inputs.clone();
        spawn_local(async move {
            let on_streaming = |value| {
                let _ = inputs.send(Input::AttemptStreaming(in_flight.clone(), value));
            };
            let result = attempt.run(cancelled, on_streaming).await;
            let _ = inputs.send(Input::AttemptEnded(in_flight, result));
        });
    }

    /// Selects the connection of an attempt, and records that the attempt may execute the request.
    fn prepare_attempt(
        &mut self, id: RequestId, endpoint: &Rc<Endpoint>, sent: SentAttempt, timeout_us: Micros,
    ) -> Option<Attempt> {
        let context = self.requests.get_mut(&id)?;
        let deadline = match timeout_us {
            0 => context.deadline,
            us => context.deadline.min(sent.sent_at + Duration::from_micros(us)),
        };
        let permit = SendPermit {
            awaited: context.awaited.clone(),
            deduplication_ends: context.deduplication_ends(self.tick),
        };
        context.maybe_executed_attempts.push(sent);
        let call = context.call.clone();
        // A request that has met a stale connection must not meet another. A write must not meet one at all, and so
        // avoids idle connections to an endpoint that closed one recently.
        let needs_new_connection = context.used_stale_connection
            || (call.value.is_some() && self.pools.was_stale_recently(endpoint));
        let is_non_idempotent = context.effect == Effect::NonIdempotent;
        let source = if needs_new_connection {
            self.pools.check_out_new(endpoint)
        } else if is_non_idempotent {
            self.pools.check_out_unused(endpoint)
        } else {
            self.pools.check_out(endpoint)
        };
        Some(Attempt {
            endpoint: endpoint.clone(),
            call,
            source,
            connect_timeout: self.bounds.dial,
            deadline,
            permit,
            is_non_idempotent,
            throttles: self.throttles.clone(),
            budget: self.handle.answer_memory.clone(),
            written_count: self.handle.counters.borrow().attempts.clone(),
        })
    }

    /// Handles the start of a large streamed answer: gives it to the client, and reports the attempt to the decision
    /// module as served. If the stream fails later, the request is not retried. A slow client does not count as a
    /// request in flight.
    pub(in crate::engine) fn handle_streaming(
        &mut self, attempt: &InFlightAttempt, mut value: Box<StreamedValue>,
    ) {
        let id = attempt.request;
        let Some(context) = self.requests.get_mut(&id) else { return };
        context.is_streaming = true;
        value.set_deadline(context.deadline);
        self.handle.answer_sizes.record(context.class, true);
        self.handle.open_requests.record_answer_size(value.read_ahead_bytes());
        self.send_answer(id, Answer::Streamed(value));
        self.events.push_back(Event::Outcome {
            id,
            attempt: attempt.number,
            outcome: Outcome::Ok,
            latency_us: attempt.sent_at.elapsed().as_micros() as Micros,
            finished: true,
            fetch_pending: false,
            doubtful: false,
            stale: false,
        });
    }

    /// Handles the end of an attempt. A cancelled attempt may outlive its request: the decision module counts it as in
    /// flight until this event.
    pub(in crate::engine) fn handle_attempt_ended(
        &mut self, attempt: &InFlightAttempt, mut result: AttemptResult,
    ) {
        let InFlightAttempt { request: id, number, ref endpoint, sent_at, audited_version } = *attempt;
        self.audit_attempt(audited_version, endpoint.is_origin, result.outcome);
        self.handle.counters.borrow_mut().count_attempt(endpoint.is_origin, &result);
        self.pools.check_in(endpoint, result.connection.take());
        if result.stale {
            self.pools.record_stale(endpoint);
        }
        if matches!(result.outcome, Outcome::Timeout | Outcome::Cancelled) {
            self.preconnect(endpoint);
        }
        if self.finish_in_flight(id, number, &result) {
            return self.remove_if_finished(id);
        }
        let latency_us = sent_at.elapsed().as_micros() as Micros;
        let (name, outcome) = (&endpoint.name, result.outcome);
        log::debug!("request {}: attempt {number} at {name}: {outcome:?} in {latency_us} us", id.0);
        if outcome == Outcome::Ok {
            if let Some(context) = self.requests.get(&id) {
                self.handle.answer_sizes.record(context.class, result.large.is_some());
            }
            self.handle.open_requests.record_answer_size(result.value.len());
            let answer = match result.large {
                Some(large) => Answer::Streamed(large),
                None => Answer::Served(ServedValue { bytes: result.value, memory: result.memory }),
            };
            self.send_answer(id, answer);
        }
        let finished = self.requests.get(&id).is_none_or(|context| context.answer_sender.is_none());
        self.events.push_back(Event::Outcome {
            id,
            attempt: number,
            outcome,
            latency_us,
            finished,
            fetch_pending: result.fetch_pending,
            doubtful: result.doubtful,
            stale: result.stale,
        });
        self.remove_if_finished(id);
    }

    /// Removes an attempt from its request. Returns whether its answer was streamed. The decision module already knows
    /// the outcome of a streamed attempt, but only its end shows whether the answer was complete, which is counted
    /// here.
    fn finish_in_flight(&mut self, id: RequestId, number: u16, result: &AttemptResult) -> bool {
        let Some(context) = self.requests.get_mut(&id) else { return false };
        context.in_flight.retain(|attempt| attempt.number != number);
        if result.outcome.proves_never_ran() && !result.doubtful {
            context.mark_not_executed(number);
        }
        context.used_stale_connection |= result.stale;
        if context.is_streaming {
            let complete = result.outcome == Outcome::Ok;
            self.handle.counters.borrow_mut().count_streamed(context.class, complete);
        }
        context.is_streaming
    }
}

/// Returns the outcome event of an attempt that was not sent. If `awaited`, the endpoint is not ready any more, and the
/// request may be sent to another one. Otherwise, the client has left, and the decision module does not know it yet.
fn unsent_attempt(id: RequestId, attempt: u16, awaited: bool) -> Event {
    Event::Outcome {
        id,
        attempt,
        outcome: if awaited { Outcome::Rejected } else { Outcome::NotSent },
        latency_us: 0,
        finished: !awaited,
        fetch_pending: false,
        doubtful: false,
        stale: false,
    }
}
