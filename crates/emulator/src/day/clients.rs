//! Clients in a day: first tries as they come, and what follows an answer.

use super::{Answer, Day, Effect, End, Happening, KEYED_SPAN, Micros, RequestId, Rng, Try, micros};

impl Day<'_> {
    pub(super) fn arrival(&mut self) {
        let next = self.now + self.callers.pause(&mut self.rng);
        if next < micros(self.scenario.lasts) {
            self.at(next, Happening::Arrival);
        }
        let intent = self.callers.next(self.now, self.scenario, &mut self.rng);
        self.intents.push((intent, None));
        self.send_try(self.intents.len() - 1, 0);
    }

    pub(super) fn send_try(&mut self, intent: usize, number: u32) {
        self.requests += 1;
        let this = Try { request: RequestId(self.requests), intent, number };
        let gateway = self.rng.random_range(0..self.gateways.len());
        let at = self.now + self.hop();
        self.at(at, Happening::Reaches(gateway, this));
    }

    pub(super) fn at_client(&mut self, this: Try, answer: Answer, hold_off: Micros) {
        let (intent, _) = self.intents[this.intent];
        let class = &self.scenario.classes[intent.class];
        let end = match answer {
            Answer::Served { .. } if self.now <= intent.at + micros(class.wanted) => End::InTime,
            Answer::Served { .. } => End::Late,
            Answer::Refused => End::Refused,
            Answer::Failed => End::Failed,
        };
        self.intents[this.intent].1 = Some((end, self.now));
        let again = match (end, class.effect) {
            (End::Refused, _) => true,
            (End::Failed, Effect::SafeToRepeat) => true,
            (End::Failed, Effect::Keyed) => self.now < intent.at + KEYED_SPAN,
            _ => false,
        };
        let at = self.now + micros(self.scenario.callers.retry_after).max(hold_off);
        let in_time = at < intent.at + micros(class.deadline);
        if again && in_time && this.number < self.scenario.callers.retries {
            self.at(at, Happening::Retry(this.intent, this.number + 1));
        }
    }
}
