//! The handling of events at clients: new requests, answers and retries.

use super::settings::DEDUP_WINDOW;
use super::state::Simulation;
use super::timeline::{ClientAttempt, SimEvent};
use crate::Micros;
use crate::referee::Answer;
use crate::scenario::{Effect, micros};
use crate::score::IntentOutcome;
use decide::api::RequestId;
use rand::Rng;

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self) {
        let next = self.now + self.clients.draw_interarrival_time(&mut self.rng);
        if next < micros(self.scenario.duration) {
            self.schedule(next, SimEvent::Arrival);
        }
        let intent = self.clients.draw_intent(self.now, self.scenario, &mut self.rng);
        self.intents.push((intent, None));
        self.send_request(self.intents.len() - 1, 0);
    }

    pub(super) fn send_request(&mut self, intent: usize, number: u32) {
        self.requests += 1;
        let attempt = ClientAttempt { request: RequestId(self.requests), intent, number };
        let gateway = self.rng.random_range(0..self.gateways.len());
        let at = self.now + self.network_delay();
        self.schedule(at, SimEvent::ArriveAtGateway(gateway, attempt));
    }

    pub(super) fn answer_at_client(&mut self, attempt: ClientAttempt, answer: Answer, retry_after: Micros) {
        let (intent, _) = self.intents[attempt.intent];
        let class = &self.scenario.classes[intent.class];
        let outcome = match answer {
            Answer::Served { .. } if self.now <= intent.at + micros(class.latency_objective) => {
                IntentOutcome::InTime
            }
            Answer::Served { .. } => IntentOutcome::Late,
            Answer::Refused => IntentOutcome::Refused,
            Answer::Failed => IntentOutcome::Failed,
        };
        self.intents[attempt.intent].1 = Some((outcome, self.now));
        let may_retry = match (outcome, class.effect) {
            (IntentOutcome::Refused, _) => true,
            (IntentOutcome::Failed, Effect::Idempotent) => true,
            (IntentOutcome::Failed, Effect::IdempotentWithKey) => self.now < intent.at + DEDUP_WINDOW,
            _ => false,
        };
        let at = self.now + micros(self.scenario.clients.retry_delay).max(retry_after);
        let before_deadline = at < intent.at + micros(class.deadline);
        if may_retry && before_deadline && attempt.number < self.scenario.clients.max_retries {
            self.schedule(at, SimEvent::Retry(attempt.intent, attempt.number + 1));
        }
    }
}
