//! The handling of events at gateways: new requests, the actions of the decision module, and the ends of attempts.

use super::settings::decision_effect;
use super::state::{ORIGIN, RequestContext, Simulation};
use super::timeline::{AttemptId, ClientAttempt, Response, SimEvent};
use crate::Micros;
use crate::referee::{Answer, Observation, Tolerance};
use crate::scenario::Effect;
use crate::score::IntentOutcome;
use crate::{node, origin};
use decide::api::{Action, ClassId, EndpointId, Event, Outcome, Reason, Request, RequestId, TenantId};
use std::collections::VecDeque;

impl Simulation<'_> {
    pub(super) fn arrive_at_gateway(&mut self, gateway: usize, client_attempt: ClientAttempt) {
        let intent = self.intents[client_attempt.intent].0;
        let effect = decision_effect(self.scenario.classes[intent.class].effect);
        let deadline = self.now + intent.timeout;
        let request = Request {
            id: client_attempt.request,
            class: ClassId(intent.class as u8),
            tenant: TenantId(intent.municipio as u32),
            key: Some(intent.key),
            write: self.scenario.classes[intent.class].effect != Effect::Idempotent,
            remaining_us: intent.timeout,
        };
        self.referee.record(
            self.now,
            Observation::Accepted {
                gateway,
                request: client_attempt.request,
                effect,
                client_deadline: deadline,
            },
        );
        let context = RequestContext {
            client_attempt,
            deadline,
            answered: false,
            attempts_in_flight: Vec::new(),
            missed: Vec::new(),
        };
        self.gateways[gateway].open_requests.insert(client_attempt.request, context);
        self.schedule(
            deadline + Tolerance::VIRTUAL.answer,
            SimEvent::ClientDeadline(gateway, client_attempt.request),
        );
        self.deliver_event(gateway, Event::Request(request));
    }

    /// Delivers an event to a gateway and executes the resulting actions; repeats this for the events that they cause.
    pub(super) fn deliver_event(&mut self, gateway: usize, event: Event) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            self.gateways[gateway].balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(gateway, action, &mut events);
            }
        }
    }

    fn execute_action(&mut self, gateway: usize, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Forward { id, endpoint, timeout_us } => {
                self.send_attempt(gateway, id, endpoint, timeout_us)
            }
            Action::Reject { id, retry_after_us, reason } => {
                self.abandon_request(gateway, id, Answer::Refused, retry_after_us, reason);
            }
            Action::Fail { id, reason } => self.abandon_request(gateway, id, Answer::Failed, 0, reason),
            Action::Cancel { id, attempt } => {
                let attempt_id = AttemptId { gateway, request: id, attempt };
                events.extend(self.end_attempt(attempt_id, Outcome::Cancelled));
            }
            Action::Timer { delay_us, token } => {
                self.schedule(self.now + delay_us, SimEvent::Timer(gateway, token))
            }
            Action::CloseIdle(_) | Action::WatchEndpoints | Action::PublishLoad(_) => {}
        }
    }

    fn abandon_request(
        &mut self, gateway: usize, request: RequestId, answer: Answer, retry_after: Micros, reason: Reason,
    ) {
        *self.reasons.entry(reason.label()).or_default() += 1;
        self.referee.record(self.now, Observation::Abandoned { request });
        self.send_answer(gateway, request, answer, retry_after);
    }

    fn send_answer(&mut self, gateway: usize, request: RequestId, answer: Answer, retry_after: Micros) {
        self.referee.record(self.now, Observation::Answered { request, answer });
        let Some(context) = self.gateways[gateway].open_requests.get_mut(&request) else { return };
        let first = !std::mem::replace(&mut context.answered, true);
        let client_attempt = context.client_attempt;
        self.remove_completed(gateway, request);
        if first {
            let at = self.now + self.network_delay();
            self.schedule(at, SimEvent::AnswerAtClient(client_attempt, answer, retry_after));
        }
    }

    fn send_attempt(&mut self, gateway: usize, request: RequestId, endpoint: EndpointId, timeout_us: Micros) {
        let n = if endpoint == ORIGIN { self.nodes.len() } else { endpoint.0 as usize - 1 };
        let Some(context) = self.gateways[gateway].open_requests.get_mut(&request) else { return };
        let attempt = context.attempts_in_flight.len() as u16;
        context.attempts_in_flight.push(Some((n, self.now)));
        let until = match timeout_us {
            0 => context.deadline,
            us => context.deadline.min(self.now + us),
        };
        let intent = self.intents[context.client_attempt.intent].0;
        self.attempts += 1;
        self.referee.record(self.now, Observation::Sent { gateway, request, attempt, endpoint });
        let id = AttemptId { gateway, request, attempt };
        self.schedule(until.max(self.now), SimEvent::AttemptTimeout(id));
        let at = self.now + self.network_delay();
        let key = intent.key;
        if endpoint == ORIGIN {
            let effect = self.scenario.classes[intent.class].effect;
            let write = effect != Effect::Idempotent;
            let idempotency_key = (effect == Effect::IdempotentWithKey)
                .then_some(self.gateways[gateway].open_requests[&request].client_attempt.intent as u64);
            self.schedule(
                at,
                SimEvent::ArriveAtOrigin(origin::Job { tag: id, request, key, write, idempotency_key }),
            );
        } else {
            self.schedule(at, SimEvent::ArriveAtNode(n, node::Job { tag: id, key, work_us: intent.work_us }));
        }
    }

    /// Handles the end of an attempt at its gateway, whether it was answered or not.
    pub(super) fn return_to_gateway(&mut self, response: Response) {
        let Response { id, outcome, made_for, work_us } = response;
        let context = self.gateways[id.gateway].open_requests.get_mut(&id.request);
        let in_flight = context.and_then(|context| {
            let (n, _) = (*context.attempts_in_flight.get(id.attempt as usize)?)?;
            let key = self.intents[context.client_attempt.intent].0.key;
            if outcome == Outcome::Miss {
                context.missed.push(n);
            }
            Some((n, key, context.missed.clone()))
        });
        // Work is wasted if its attempt is no longer in flight or its answer is corrupt.
        self.node_work.total_us += work_us;
        self.node_work.wasted_us +=
            if in_flight.is_none() || outcome == Outcome::Error { work_us } else { 0.0 };
        let Some((n, key, missed)) = in_flight else { return };
        if outcome == Outcome::Ok && n == self.nodes.len() {
            missed.iter().take(2).for_each(|&n| self.nodes[n].store(key));
        }
        let Some(event) = self.end_attempt(id, outcome) else { return };
        if outcome == Outcome::Ok {
            self.send_answer(id.gateway, id.request, Answer::Served { made_for }, 0);
        }
        self.deliver_event(id.gateway, event);
    }

    /// Ends an attempt and returns the event for its gateway, or `None` if the attempt is not in flight.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Option<Event> {
        let AttemptId { gateway, request, attempt } = id;
        let context = self.gateways[gateway].open_requests.get_mut(&request)?;
        let (_, sent) = context.attempts_in_flight.get_mut(attempt as usize)?.take()?;
        let finished = context.answered || outcome == Outcome::Ok;
        self.referee.record(self.now, Observation::Ended { request, attempt, outcome });
        self.remove_completed(gateway, request);
        Some(Event::Outcome {
            id: request,
            attempt,
            outcome,
            latency_us: self.now - sent,
            finished,
            fetch_pending: false,
            doubtful: false,
            stale: false,
        })
    }

    fn remove_completed(&mut self, gateway: usize, request: RequestId) {
        let open = &mut self.gateways[gateway].open_requests;
        if open
            .get(&request)
            .is_some_and(|context| context.answered && context.attempts_in_flight.iter().all(Option::is_none))
        {
            open.remove(&request);
        }
    }

    pub(super) fn expire_request(&mut self, gateway: usize, request: RequestId) {
        self.referee.expire_request(self.now, request);
        let Some(context) = self.gateways[gateway].open_requests.get_mut(&request) else { return };
        if !std::mem::replace(&mut context.answered, true) {
            let client_attempt = context.client_attempt;
            self.intents[client_attempt.intent].1 = Some((IntentOutcome::Unanswered, self.now));
            self.deliver_event(gateway, Event::ClientLeft(request));
            self.remove_completed(gateway, request);
        }
    }
}
