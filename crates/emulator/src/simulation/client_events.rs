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
        let next = self.now + self.clients.next_pause(&mut self.rng);
        if next < micros(self.scenario.lasts) {
            self.schedule(next, SimEvent::Arrival);
        }
        let intent = self.clients.next_intent(self.now, self.scenario, &mut self.rng);
        self.intents.push((intent, None));
        self.send_request(self.intents.len() - 1, 0);
    }

    pub(super) fn send_request(&mut self, intent: usize, number: u32) {
        self.requests += 1;
        let this = ClientAttempt { request: RequestId(self.requests), intent, number };
        let gateway = self.rng.random_range(0..self.gateways.len());
        let at = self.now + self.network_delay();
        self.schedule(at, SimEvent::ArriveAtGateway(gateway, this));
    }

    pub(super) fn answer_at_client(&mut self, this: ClientAttempt, answer: Answer, retry_after: Micros) {
        let (intent, _) = self.intents[this.intent];
        let class = &self.scenario.classes[intent.class];
        let end = match answer {
            Answer::Served { .. } if self.now <= intent.at + micros(class.wanted) => IntentOutcome::InTime,
            Answer::Served { .. } => IntentOutcome::Late,
            Answer::Refused => IntentOutcome::Refused,
            Answer::Failed => IntentOutcome::Failed,
        };
        self.intents[this.intent].1 = Some((end, self.now));
        let again = match (end, class.effect) {
            (IntentOutcome::Refused, _) => true,
            (IntentOutcome::Failed, Effect::SafeToRepeat) => true,
            (IntentOutcome::Failed, Effect::Keyed) => self.now < intent.at + DEDUP_WINDOW,
            _ => false,
        };
        let at = self.now + micros(self.scenario.callers.retry_after).max(retry_after);
        let in_time = at < intent.at + micros(class.deadline);
        if again && in_time && this.number < self.scenario.callers.retries {
            self.schedule(at, SimEvent::Retry(this.intent, this.number + 1));
        }
    }
}
