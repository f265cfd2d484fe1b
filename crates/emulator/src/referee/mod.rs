//! The referee: records every message of clients, gateways and nodes, and checks them against the rules.
//!
//! Executions are taken from the origin's ledger and attempts from the simulated network. The referee does not read the
//! state of a gateway, with one exception: it records when the decision module abandons a request, because the client
//! must be answered then.

mod observation;

use crate::Micros;
use decide::api::{Effect, EndpointId, EndpointState, Outcome, RequestId};
pub use observation::{Answer, Finding, Observation, Rule, Tolerance};
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// The maximum number of recorded findings; further findings are only counted.
const MAX_FINDINGS: usize = 50;

/// An attempt of a request.
#[derive(Debug)]
struct Attempt {
    number: u16,
    sent: Micros,
    outcome: Option<Outcome>,
}

/// A request that may still violate a rule.
#[derive(Debug)]
struct Request {
    effect: Effect,
    client_deadline: Micros,
    abandoned_at: Option<Micros>,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// The referee of one simulation.
pub struct Referee {
    tolerance: Tolerance,
    open_requests: FxHashMap<RequestId, Request>,
    /// The time at which a gateway was notified that an endpoint drains or is gone, by gateway and endpoint.
    draining_since: FxHashMap<(usize, EndpointId), Micros>,
    findings: Vec<Finding>,
    violations: usize,
    digest: FxHasher,
    observation_count: u64,
}

impl Referee {
    /// Creates a referee without observations.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            open_requests: FxHashMap::default(),
            draining_since: FxHashMap::default(),
            findings: Vec::new(),
            violations: 0,
            digest: FxHasher::default(),
            observation_count: 0,
        }
    }

    /// Records an observation and checks it.
    pub fn record(&mut self, now: Micros, observation: Observation) {
        self.observation_count += 1;
        (now, self.observation_count).hash(&mut self.digest);
        match observation {
            Observation::Accepted { request, effect, client_deadline, .. } => {
                let (abandoned_at, answered, attempts) = (None, false, Vec::new());
                self.open_requests
                    .insert(request, Request { effect, client_deadline, abandoned_at, answered, attempts });
            }
            Observation::Notified { gateway, endpoint, state } => match state {
                EndpointState::Ready => drop(self.draining_since.remove(&(gateway, endpoint))),
                _ => drop(self.draining_since.entry((gateway, endpoint)).or_insert(now)),
            },
            Observation::Sent { gateway, request, attempt, endpoint } => {
                self.check_sent(now, gateway, request, attempt, endpoint)
            }
            Observation::Ended { request, attempt, outcome } => {
                (request.0, attempt, outcome as u8).hash(&mut self.digest);
                if let Some(open) = self.open_requests.get_mut(&request) {
                    let ended = open.attempts.iter_mut().find(|a| a.number == attempt);
                    ended.into_iter().for_each(|a| a.outcome = Some(outcome));
                }
                self.forget_completed(request);
            }
            Observation::Abandoned { request } => {
                if let Some(open) = self.open_requests.get_mut(&request) {
                    open.abandoned_at.get_or_insert(now);
                }
            }
            Observation::Answered { request, answer } => self.check_answered(now, request, answer),
            Observation::Executed { request, times } => {
                (request.0, times).hash(&mut self.digest);
                let non_idempotent =
                    self.open_requests.get(&request).is_none_or(|open| open.effect == Effect::NonIdempotent);
                if times > 1 && non_idempotent {
                    self.report(
                        Rule::NoSecondRun,
                        now,
                        Some(request),
                        format!("the origin executed it {times} times"),
                    );
                }
            }
            Observation::Overloaded { endpoint } => {
                self.report(
                    Rule::ColdNode,
                    now,
                    None,
                    format!("node {} was overloaded during slow start", endpoint.0),
                );
            }
        }
    }

    /// Ends a request whose client deadline plus tolerance has passed; reports the request if it has no answer.
    pub fn expire_request(&mut self, now: Micros, request: RequestId) {
        let unanswered = self.open_requests.get_mut(&request).filter(|open| !open.answered);
        if let Some(open) = unanswered {
            open.answered = true;
            self.report(
                Rule::OneAnswer,
                now,
                Some(request),
                "no final answer before the client's deadline".into(),
            );
        }
        self.forget_completed(request);
    }

    /// Ends the simulation; reports each request that has no answer.
    pub fn finish(&mut self, now: Micros) {
        let mut open: Vec<RequestId> =
            self.open_requests.iter().filter(|(_, o)| !o.answered).map(|(id, _)| *id).collect();
        open.sort_unstable();
        open.into_iter().for_each(|request| self.expire_request(now, request));
    }

    /// Returns the first violations, at most 50.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns the number of violations.
    #[must_use]
    pub fn violation_count(&self) -> usize {
        self.violations
    }

    /// Returns a digest that is equal for simulations with the same observations at the same times.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// Returns the number of observations.
    #[must_use]
    pub fn observation_count(&self) -> u64 {
        self.observation_count
    }

    fn check_sent(
        &mut self, now: Micros, gateway: usize, request: RequestId, attempt: u16, endpoint: EndpointId,
    ) {
        (request.0, attempt, endpoint.0).hash(&mut self.digest);
        if let Some(since) = self.draining_since.get(&(gateway, endpoint)).copied()
            && now > since + self.tolerance.drain
        {
            let description = format!(
                "sent to node {} {} ms after gateway {gateway} was notified that it drains or is gone",
                endpoint.0,
                (now - since) / 1_000
            );
            self.report(Rule::OrderlyDrain, now, Some(request), description);
        }
        let Some(open) = self.open_requests.get_mut(&request) else {
            return self.report(
                Rule::OneAnswer,
                now,
                Some(request),
                "attempt sent for a request that was not accepted or is completed".into(),
            );
        };
        let in_flight = open.attempts.iter().any(|a| a.outcome.is_none());
        let first_possible_execution =
            open.attempts.iter().filter(|a| may_have_been_executed(a.outcome)).map(|a| a.sent).min();
        let allowed = match (open.effect, first_possible_execution) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::NonIdempotent, Some(_)) => false,
            (Effect::IdempotentWithKey { span_us, .. }, Some(first)) => now < first + span_us,
        };
        open.attempts.push(Attempt { number: attempt, sent: now, outcome: None });
        if in_flight {
            self.report(
                Rule::OneAttempt,
                now,
                Some(request),
                format!("attempt {attempt} was sent while another attempt was in flight"),
            );
        }
        if !allowed {
            self.report(
                Rule::NoSecondRun,
                now,
                Some(request),
                format!("attempt {attempt} was sent although an earlier attempt may have been executed"),
            );
        }
    }

    fn check_answered(&mut self, now: Micros, request: RequestId, answer: Answer) {
        (request.0, answer).hash(&mut self.digest);
        let tolerance = self.tolerance.answer;
        let Some(open) = self.open_requests.get_mut(&request).filter(|open| !open.answered) else {
            return self.report(
                Rule::OneAnswer,
                now,
                Some(request),
                format!("second or unexpected answer: {answer:?}"),
            );
        };
        open.answered = true;
        let (client_deadline, abandoned_at) = (open.client_deadline, open.abandoned_at);
        let may_have_executed = open.attempts.iter().any(|a| may_have_been_executed(a.outcome));
        let non_idempotent = open.effect == Effect::NonIdempotent;
        if now > client_deadline + tolerance {
            let late = (now - client_deadline) / 1_000;
            self.report(
                Rule::OneAnswer,
                now,
                Some(request),
                format!("answered {late} ms after the client's deadline"),
            );
        }
        if let Some(at) = abandoned_at.filter(|at| now > at + tolerance) {
            let held = (now - at) / 1_000;
            self.report(
                Rule::NotHeldBack,
                now,
                Some(request),
                format!("answered {held} ms after it was abandoned"),
            );
        }
        match answer {
            Answer::Refused if non_idempotent && may_have_executed => {
                self.report(
                    Rule::NoSecondRun,
                    now,
                    Some(request),
                    "answered as rejected although it may have been executed".into(),
                );
            }
            Answer::Served { made_for } if made_for != request => {
                let description = format!("served with a value that was made for request {:x}", made_for.0);
                self.report(Rule::OwnValue, now, Some(request), description);
            }
            _ => {}
        }
        self.forget_completed(request);
    }

    /// Removes a request that is answered and has no attempt in flight, to bound memory. A request that is not
    /// idempotent is kept, because it can still violate a rule.
    fn forget_completed(&mut self, request: RequestId) {
        let completed = |open: &Request| open.answered && open.attempts.iter().all(|a| a.outcome.is_some());
        if self
            .open_requests
            .get(&request)
            .is_some_and(|open| completed(open) && open.effect != Effect::NonIdempotent)
        {
            self.open_requests.remove(&request);
        }
    }

    fn report(&mut self, rule: Rule, at: Micros, request: Option<RequestId>, description: String) {
        self.violations += 1;
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(Finding { rule, at, request: request.map(|id| id.0), description });
        }
    }
}

fn may_have_been_executed(outcome: Option<Outcome>) -> bool {
    outcome.is_none_or(|outcome| !outcome.proves_never_ran())
}
