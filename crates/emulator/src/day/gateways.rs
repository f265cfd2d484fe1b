//! Gateways in a day: what reaches them, what they decide, and what comes back to them.

use super::{
    ARCHIVE, Action, Answer, ClassId, Context, Day, Effect, End, EndpointId, Event, Fact, Happening, Micros,
    Outcome, Reason, Request, RequestId, Slack, Tag, TenantId, Try, VecDeque, archive, node, repeat,
};

impl Day<'_> {
    pub(super) fn reaches(&mut self, gateway: usize, this: Try) {
        let intent = self.intents[this.intent].0;
        let effect = repeat(self.scenario.classes[intent.class].effect);
        let deadline = self.now + intent.waits;
        let request = Request {
            id: this.request,
            class: ClassId(intent.class as u8),
            tenant: TenantId(intent.municipio as u32),
            key: Some(intent.key),
            write: self.scenario.classes[intent.class].effect != Effect::SafeToRepeat,
            remaining_us: intent.waits,
        };
        self.referee
            .see(self.now, Fact::Taken { gateway, request: this.request, effect, gives_up: deadline });
        let context = Context { this, deadline, answered: false, out: Vec::new(), missed: Vec::new() };
        self.gateways[gateway].open.insert(this.request, context);
        self.at(deadline + Slack::VIRTUAL.answer, Happening::TimeIsUp(gateway, this.request));
        self.tell(gateway, Event::Request(request));
    }

    /// Hands a gateway an event and carries out what it decides, until nothing is left to tell.
    pub(super) fn tell(&mut self, gateway: usize, event: Event) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            self.gateways[gateway].balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(gateway, action, &mut events);
            }
        }
    }

    fn carry_out(&mut self, gateway: usize, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Forward { id, endpoint: server, timeout_us } => {
                self.send(gateway, id, server, timeout_us)
            }
            Action::Reject { id, retry_after_us, reason } => {
                self.give_up(gateway, id, Answer::Refused, retry_after_us, reason);
            }
            Action::Fail { id, reason } => self.give_up(gateway, id, Answer::Failed, 0, reason),
            Action::Cancel { id, attempt } => {
                let tag = Tag { gateway, request: id, attempt };
                events.extend(self.end_attempt(tag, Outcome::Cancelled));
            }
            Action::Timer { delay_us, token } => {
                self.at(self.now + delay_us, Happening::Timer(gateway, token))
            }
            Action::CloseIdle(_) | Action::Watch | Action::PublishLoad(_) => {}
        }
    }

    fn give_up(&mut self, gateway: usize, request: RequestId, answer: Answer, hold_off: Micros, why: Reason) {
        *self.reasons.entry(why.label()).or_default() += 1;
        self.referee.see(self.now, Fact::GaveUp { request });
        self.answer(gateway, request, answer, hold_off);
    }

    fn answer(&mut self, gateway: usize, request: RequestId, answer: Answer, hold_off: Micros) {
        self.referee.see(self.now, Fact::Answered { request, answer });
        let Some(context) = self.gateways[gateway].open.get_mut(&request) else { return };
        let first = !std::mem::replace(&mut context.answered, true);
        let this = context.this;
        self.forget(gateway, request);
        if first {
            let at = self.now + self.hop();
            self.at(at, Happening::AtClient(this, answer, hold_off));
        }
    }

    fn send(&mut self, gateway: usize, request: RequestId, server: EndpointId, timeout_us: Micros) {
        let n = if server == ARCHIVE { self.nodes.len() } else { server.0 as usize - 1 };
        let Some(context) = self.gateways[gateway].open.get_mut(&request) else { return };
        let attempt = context.out.len() as u16;
        context.out.push(Some((n, self.now)));
        let until = match timeout_us {
            0 => context.deadline,
            us => context.deadline.min(self.now + us),
        };
        let intent = self.intents[context.this.intent].0;
        self.attempts += 1;
        self.referee.see(self.now, Fact::Sent { gateway, request, attempt, server });
        let tag = Tag { gateway, request, attempt };
        self.at(until.max(self.now), Happening::TimesOut(tag));
        let at = self.now + self.hop();
        let key = intent.key;
        if server == ARCHIVE {
            let effect = self.scenario.classes[intent.class].effect;
            let write = effect != Effect::SafeToRepeat;
            let once =
                (effect == Effect::Keyed).then_some(self.gateways[gateway].open[&request].this.intent as u64);
            self.at(at, Happening::AtArchive(archive::Job { tag, request, key, write, once }));
        } else {
            self.at(at, Happening::AtNode(n, node::Job { tag, key, work_us: intent.work_us }));
        }
    }

    /// An answer, or the lack of one, gets back to the gateway.
    pub(super) fn comes(&mut self, tag: Tag, outcome: Outcome, made_for: RequestId, work: f64) {
        let context = self.gateways[tag.gateway].open.get_mut(&tag.request);
        let out = context.and_then(|context| {
            let (n, _) = (*context.out.get(tag.attempt as usize)?)?;
            let key = self.intents[context.this.intent].0.key;
            if outcome == Outcome::Miss {
                context.missed.push(n);
            }
            Some((n, key, context.missed.clone()))
        });
        // Work that ends with no one waiting for it, or spoilt, is wasted.
        self.worked[0] += work;
        self.worked[1] += if out.is_none() || outcome == Outcome::Error { work } else { 0.0 };
        let Some((n, key, missed)) = out else { return };
        if outcome == Outcome::Ok && n == self.nodes.len() {
            missed.iter().take(2).for_each(|&n| self.nodes[n].store(key));
        }
        let Some(event) = self.end_attempt(tag, outcome) else { return };
        if outcome == Outcome::Ok {
            self.answer(tag.gateway, tag.request, Answer::Served { made_for }, 0);
        }
        self.tell(tag.gateway, event);
    }

    /// Ends an attempt that is out; the event that tells its gateway so.
    pub(super) fn end_attempt(&mut self, tag: Tag, outcome: Outcome) -> Option<Event> {
        let Tag { gateway, request, attempt } = tag;
        let context = self.gateways[gateway].open.get_mut(&request)?;
        let (_, sent) = context.out.get_mut(attempt as usize)?.take()?;
        let finished = context.answered || outcome == Outcome::Ok;
        self.referee.see(self.now, Fact::Ended { request, attempt, outcome });
        self.forget(gateway, request);
        let (id, latency_us, fetch_pending, stale) = (request, self.now - sent, false, false);
        Some(Event::Outcome { id, attempt, outcome, latency_us, finished, fetch_pending, stale })
    }

    fn forget(&mut self, gateway: usize, request: RequestId) {
        let open = &mut self.gateways[gateway].open;
        if open.get(&request).is_some_and(|c| c.answered && c.out.iter().all(Option::is_none)) {
            open.remove(&request);
        }
    }

    pub(super) fn time_is_up(&mut self, gateway: usize, request: RequestId) {
        self.referee.time_is_up(self.now, request);
        let Some(context) = self.gateways[gateway].open.get_mut(&request) else { return };
        if !std::mem::replace(&mut context.answered, true) {
            let this = context.this;
            self.intents[this.intent].1 = Some((End::Unanswered, self.now));
            self.tell(gateway, Event::ClientLeft(request));
            self.forget(gateway, request);
        }
    }
}
