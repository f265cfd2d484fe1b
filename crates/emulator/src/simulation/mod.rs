//! The simulation of a site on a virtual clock: the models, the decision module of each gateway, and the referee, which
//! observes their messages.
//!
//! The same scenario and seed give the same events at the same microseconds. A gateway runs a [`Balancer`]: the
//! decision module, or a stand-in that handles the same events and returns actions.

mod balancer;
mod client_events;
mod faults;
mod gateway_events;
mod node_events;
mod report;
mod settings;
mod state;
mod timeline;

use crate::node::NodeState;
use crate::scenario::Scenario;
use crate::score::{self, EndedIntent, IntentOutcome};
pub use balancer::Balancer;
use decide::api::{EndpointState, Event, Outcome};
use decide::policy::Router;
pub use report::Report;
pub use settings::settings;
pub use state::ORIGIN;
use state::Simulation;
use timeline::{Response, ScheduledEvent, SimEvent};

/// Simulates a scenario with the decision module in each gateway.
#[must_use]
pub fn run(scenario: &Scenario, seed: u64) -> Report {
    let settings = settings(scenario);
    run_with(scenario, seed, |gateway| Box::new(Router::new(settings.clone(), seed ^ gateway as u64, 0)))
}

/// Simulates a scenario with the balancer that `balancer` returns for the number of each gateway.
#[must_use]
pub fn run_with(scenario: &Scenario, seed: u64, balancer: impl Fn(usize) -> Box<dyn Balancer>) -> Report {
    let mut simulation = Simulation::new(scenario, seed, balancer);
    simulation.run_to_end();
    simulation.report()
}

impl Simulation<'_> {
    fn run_to_end(&mut self) {
        while let Some(ScheduledEvent { at, event, .. }) = self.timeline.pop() {
            self.now = at;
            self.handle_event(event);
        }
        self.referee.finish(self.now);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::Retry(intent, number) => self.send_request(intent, number),
            SimEvent::ArriveAtGateway(gateway, attempt) => self.arrive_at_gateway(gateway, attempt),
            SimEvent::ArriveAtNode(n, job) => self.arrive_at_node(n, job),
            SimEvent::FinishAtNode(n, incarnation, job) => self.finish_at_node(n, incarnation, &job),
            SimEvent::ArriveAtOrigin(job) => self.arrive_at_origin(job),
            SimEvent::FinishAtOrigin(job) => self.finish_at_origin(&job),
            SimEvent::Response(response) => self.return_to_gateway(response),
            SimEvent::AttemptTimeout(id) => self.return_to_gateway(Response {
                id,
                outcome: Outcome::Timeout,
                made_for: id.request,
                work_us: 0.0,
            }),
            SimEvent::ClientDeadline(gateway, request) => self.expire_request(gateway, request),
            SimEvent::AnswerAtClient(attempt, answer, retry_after) => {
                self.answer_at_client(attempt, answer, retry_after)
            }
            SimEvent::Timer(gateway, token) => self.deliver_event(gateway, Event::Timer(token)),
            SimEvent::Notify(notification) => self.notify_gateway(notification),
            SimEvent::FaultStart(n) => self.start_fault(n),
            SimEvent::FaultEnd(n) => self.end_fault(n),
            SimEvent::StopDrained(n) => {
                if self.nodes[n].state == NodeState::Draining {
                    self.nodes[n].stop(NodeState::Down);
                    self.announce_change(n, EndpointState::Gone);
                }
            }
            SimEvent::RestartNode(n, incarnation) => {
                if self.nodes[n].incarnation == incarnation {
                    self.nodes[n].start(self.now);
                    self.announce_change(n, EndpointState::Ready);
                }
            }
        }
    }

    fn report(self) -> Report {
        let intents: Vec<EndedIntent> = self
            .intents
            .iter()
            .map(|(intent, ended)| {
                let (outcome, at) = ended.unwrap_or((IntentOutcome::Unanswered, self.now));
                EndedIntent { intent: *intent, outcome, at }
            })
            .collect();
        let wasted_fraction = self.node_work.wasted_fraction();
        Report {
            seed: self.seed,
            score: score::compute_score(self.scenario, &intents, wasted_fraction),
            findings: self.referee.findings().to_vec(),
            violations: self.referee.violation_count(),
            digest: self.referee.digest(),
            client_attempts: self.requests,
            attempts: self.attempts,
            misses: self.misses,
            fetches: self.origin.ledger.reads,
            writes: self.origin.ledger.writes,
            dropped_duplicates: self.origin.ledger.dropped_duplicates,
            wasted_fraction,
            reasons: self.reasons,
            fault_log: self.fault_log,
        }
    }
}
