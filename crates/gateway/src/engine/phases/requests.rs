//! The life cycle of a request: the engine accepts it, passes its events to the decision module, gives its one final
//! answer, and removes it when none of its attempts is in flight.

use crate::engine::Engine;
use crate::engine::input::{AnswerSlot, IncomingRequest};
use crate::engine::requests::RequestContext;
use crate::engine::timers::TimerEvent;
use decide::api::{Action, Effect, Event, Micros, Reason, Request, RequestId};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::time::delay_queue;
use upstream::call::Answer;

/// How long after its deadline a request is failed if the decision module has left it unanswered.
const OVERDUE_DELAY: Duration = Duration::from_millis(10);
/// An answer must follow less than this long after the deadline of its request. A later answer is logged with the
/// client's id of the request.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(50);

impl Engine {
    /// Accepts a request, or rejects it before it reaches the decision module.
    pub(in crate::engine) fn accept_request(
        &mut self, id: RequestId, incoming: IncomingRequest, slot: AnswerSlot,
    ) {
        let accepted_at = Instant::now();
        if !slot.awaited.get() {
            self.handle.counters.borrow_mut().client_left += 1; // the client left while the request was queued
            return;
        }
        // Caps the time limit, so that no client can keep a request open for minutes.
        let deadline = incoming.received + incoming.time_limit.min(self.bounds.longest);
        let time_left = deadline.saturating_duration_since(accepted_at);
        if let Err(reason) = self.check_admission(&incoming, time_left) {
            return self.reject_before_routing(&incoming, slot, reason);
        }
        let request = Request {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            key: incoming.key,
            write: incoming.call.value.is_some(),
            remaining_us: time_left.as_micros() as Micros,
        };
        let client_id = String::from_utf8_lossy(&incoming.call.id);
        log::debug!("request {}: {client_id}, class {}, {time_left:?} left", id.0, incoming.class.0);
        let overdue_timer = self.timers.schedule(TimerEvent::RequestOverdue(id), time_left + OVERDUE_DELAY);
        let context = RequestContext {
            call: incoming.call,
            _command_memory: incoming.memory,
            memory: slot.memory,
            client_id: slot.id,
            class: incoming.class,
            effect: self.effects.get(usize::from(incoming.class.0)).copied().unwrap_or(Effect::NonIdempotent),
            accepted_at,
            deadline,
            answer_sender: Some(slot.sender),
            awaited: slot.awaited,
            attempts_started: 0,
            used_stale_connection: false,
            maybe_executed_attempts: Vec::new(),
            in_flight: Vec::new(),
            is_streaming: false,
            overdue_timer_extended: false,
            timers: vec![overdue_timer],
        };
        self.requests.insert(id, context);
        self.events.push_back(Event::Request(request));
    }

    /// Checks whether a request can be accepted.
    fn check_admission(&self, incoming: &IncomingRequest, time_left: Duration) -> Result<(), Reason> {
        if self.is_fenced() {
            return Err(Reason::Fenced);
        }
        // A request with a time limit of zero is not rejected here; it is passed to the decision module.
        if time_left.is_zero() && !incoming.time_limit.is_zero() {
            return Err(Reason::Deadline);
        }
        Ok(())
    }

    fn reject_before_routing(&mut self, incoming: &IncomingRequest, slot: AnswerSlot, reason: Reason) {
        self.audit_rejected();
        self.handle.counters.borrow_mut().count_rejected_before_routing(incoming.class, reason);
        let _ = slot.sender.send(Answer::Rejected(0)); // fails if the client has left
    }

    /// Passes events to the decision module and executes its actions, until no event is left.
    pub(in crate::engine) fn dispatch_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.router.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Forward { id, endpoint, timeout_us } => self.start_attempt(id, endpoint, timeout_us),
            Action::Reject { id, retry_after_us, reason } => self.reject_request(id, retry_after_us, reason),
            Action::Fail { id, reason } => {
                self.handle.counters.borrow_mut().count_failed(reason);
                log::debug!("request {}: failed ({})", id.0, reason.label());
                self.send_answer(id, Answer::Failed);
                self.remove_if_finished(id);
            }
            Action::Cancel { id, attempt } => {
                let context = self.requests.get_mut(&id);
                if let Some(in_flight) = context.and_then(|context| context.remove_in_flight(attempt)) {
                    let _ = in_flight.cancel.send(()); // the attempt closes its connection and reports its end
                }
            }
            Action::Timer { delay_us, token } => {
                let delay = Duration::from_micros(delay_us);
                let key = self.timers.schedule(TimerEvent::Decision(token), delay);
                // The token of a timer that belongs to a request is the id of the request.
                if let Some(context) = self.requests.get_mut(&RequestId(token.0)) {
                    context.timers.push(key);
                }
            }
            Action::CloseIdle(endpoint) => self.pools.close_idle(endpoint),
            Action::WatchEndpoints => {} // nothing to do: a watch of the endpoint list is always open
            Action::PublishLoad(reports) => {
                let now = self.now();
                self.events.extend(self.gossip.publish(now, &reports));
            }
        }
    }

    fn reject_request(&mut self, id: RequestId, retry_after_us: Micros, reason: Reason) {
        self.handle.counters.borrow_mut().count_rejected(reason);
        self.audit_rejected();
        log::debug!("request {}: rejected ({}), retry after {retry_after_us} us", id.0, reason.label());
        self.send_answer(id, Answer::Rejected(retry_after_us.div_ceil(1_000)));
        self.remove_if_finished(id);
    }

    /// Sends the final answer of a request, if the client still waits for it.
    pub(in crate::engine) fn send_answer(&mut self, id: RequestId, answer: Answer) {
        let Some(context) = self.requests.get_mut(&id) else { return };
        let Some(sender) = context.answer_sender.take() else { return };
        context.awaited.set(false); // stops attempts that are still connecting or writing
        let (class, us) = (context.class, context.accepted_at.elapsed().as_micros());
        log::debug!("request {}: class {} {} after {us} us", id.0, class.0, answer.label());
        let late = context.deadline.elapsed();
        if late >= MAX_ANSWER_DELAY
            && let Some(more) = self.throttles.late_answer.admit_line()
        {
            let client_id = String::from_utf8_lossy(&context.call.id);
            log::warn!("request {client_id}: {} {late:?} after its deadline{more}", answer.label());
        }
        self.handle.counters.borrow_mut().count_answer(class, &answer);
        let _ = sender.send(answer); // fails if the client has left
    }

    /// Handles the disconnection of the client before the answer.
    pub(in crate::engine) fn handle_client_left(&mut self, id: RequestId) {
        if self.requests.get_mut(&id).is_some_and(|context| context.answer_sender.take().is_some()) {
            self.handle.counters.borrow_mut().client_left += 1;
            self.events.push_back(Event::ClientLeft(id));
            self.remove_if_finished(id);
        }
    }

    /// Handles a request that the front no longer waits for: counts it as failed, and ends its attempts.
    pub(in crate::engine) fn handle_abandoned(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|context| context.answer_sender.is_some()) {
            self.fail_request(id, Reason::ShuttingDown);
        }
    }

    /// Fails a request that the decision module has not answered in time. A safeguard for the rule that every request
    /// gets an answer; no case is known in which it was needed.
    pub(in crate::engine) fn handle_overdue(&mut self, id: RequestId) {
        let Some(context) = self.requests.get_mut(&id).filter(|context| context.answer_sender.is_some())
        else {
            return;
        };
        // After a stall of the event loop, the timers of the decision module and of attempts are as late as this one.
        // The extension lets them be handled first.
        // The timer is due one delay after the deadline, so at twice the delay it has fired late.
        let was_stalled = context.deadline.elapsed() >= 2 * OVERDUE_DELAY;
        if was_stalled && !std::mem::replace(&mut context.overdue_timer_extended, true) {
            let timer = self.timers.schedule(TimerEvent::RequestOverdue(id), OVERDUE_DELAY);
            return context.timers.push(timer);
        }
        let client_id = String::from_utf8_lossy(&context.call.id);
        log::error!("request {} ({client_id}): no answer at its deadline", id.0);
        self.fail_request(id, Reason::RecordLost);
    }

    /// Fails an open request without a decision of the decision module, and tells the module that the request
    /// has ended.
    fn fail_request(&mut self, id: RequestId, reason: Reason) {
        self.handle.counters.borrow_mut().count_failed(reason);
        self.send_answer(id, Answer::Failed);
        self.events.push_back(Event::ClientLeft(id));
        self.remove_if_finished(id);
    }

    /// Removes an expired timer from its request. Its key may be reused for another timer, which the request must not
    /// cancel.
    pub(in crate::engine) fn forget_timer(&mut self, id: RequestId, key: delay_queue::Key) {
        if let Some(context) = self.requests.get_mut(&id) {
            context.timers.retain(|kept| *kept != key);
        }
    }

    /// Removes a request if it is answered and has no attempt in flight.
    pub(in crate::engine) fn remove_if_finished(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(RequestContext::is_finished) {
            return;
        }
        if let Some(context) = self.requests.remove(&id) {
            for key in &context.timers {
                self.timers.cancel(key);
            }
            if context.must_not_run_again() {
                let until = Instant::now() + self.bounds.longest;
                self.finished_ids.keep(context.client_id, context.memory, until);
            }
        }
    }
}
