//! The tries of a request: each is sent, may begin to be answered at length, and ends; and connections dialled ahead of them.

use super::{Engine, Input};
use decide::api::{Effect, EndpointId, Event, Micros, Outcome, RequestId};
use proto::discovery::EndpointList;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use upstream::call::Answer;
use upstream::connection::{self, Attempt, AttemptResult, Permit, StreamedValue};
use upstream::endpoints::{Endpoint, endpoint_id};

/// The largest fleet whose peers are dialled as they are listed: the two hundred of a usual one, and room.
const MOST_DIALLED_AHEAD: usize = 256;

impl Engine {
    pub(super) fn send(&mut self, id: RequestId, server: EndpointId, timeout_us: Micros) {
        let Some(context) = self.contexts.get_mut(&id) else { return };
        let attempt = context.attempts;
        context.attempts += 1;
        let sent = Instant::now();
        let owed = context.owed.get();
        let peer = self.group.endpoint(server).filter(|peer| peer.ready() && owed);
        let Some(peer) = peer.cloned() else {
            // The list and the module disagree for a moment: never sent, so it may go elsewhere. Or its client has left, and
            // the module has not heard of that as yet.
            let outcome = if owed { Outcome::Rejected } else { Outcome::NotSent };
            let finished = !owed;
            let event = Event::Outcome {
                id,
                attempt,
                outcome,
                latency_us: 0,
                finished,
                fetch_pending: false,
                stale: false,
            };
            return self.events.push_back(event);
        };
        let until = match timeout_us {
            0 => context.deadline,
            us => context.deadline.min(sent + Duration::from_micros(us)),
        };
        let (cancel, cancelled) = oneshot::channel();
        context.out.push((attempt, cancel));
        let permit = Permit { owed: context.owed.clone(), by: context.window_ends(self.tick) };
        context.maybe_ran.push((attempt, sent));
        let call = context.call.clone();
        // A repeat must not meet the same again; and what may not be repeated must not meet it at all.
        let fresh = context.stale || (call.value.is_some() && self.pools.stale_lately(&peer));
        let line = if fresh { self.pools.dial(&peer) } else { self.pools.line(&peer) };
        let lines = self.lines.clone();
        let (dial, fragile) = (self.bounds.dial, context.effect == Effect::NonIdempotent);
        let written = self.handle.counters.borrow().attempts.clone();
        let budget = self.handle.budget.clone();
        let this =
            Attempt { peer: peer.clone(), call, line, dial, until, permit, fragile, lines, budget, written };
        let under = self.under(this.call.value.is_some());
        let inputs = self.handle.inputs.clone();
        tokio::task::spawn_local(async move {
            let begun = |streamed| {
                let _ = inputs.send(Input::Begun { id, attempt, sent, streamed });
            };
            let ended = this.run(cancelled, begun).await;
            let _ = inputs.send(Input::TryEnded { id, attempt, peer, sent, ended, under });
        });
    }

    /// A large answer has begun: it is the client's now, and the module hears that its try has served. Nothing that becomes
    /// of it later is tried again, and a client that takes its time does not count as a request that is out.
    pub(super) fn begun(&mut self, id: RequestId, attempt: u16, sent: Instant, streamed: Box<StreamedValue>) {
        let Some(context) = self.contexts.get_mut(&id) else { return };
        context.streams = true;
        self.handle.claims.learn(streamed.window());
        self.answer(id, Answer::Streamed(streamed));
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            outcome: Outcome::Ok,
            latency_us: sent.elapsed().as_micros() as Micros,
            finished: true,
            fetch_pending: false,
            stale: false,
        });
    }

    pub(super) fn try_ended(
        &mut self, id: RequestId, attempt: u16, peer: &Rc<Endpoint>, sent: Instant, ended: AttemptResult,
    ) {
        self.handle.counters.borrow_mut().tried(peer.origin, &ended);
        self.pools.put(peer, ended.connection);
        if ended.stale {
            self.pools.found_stale(peer);
        }
        if matches!(ended.outcome, Outcome::Timeout | Outcome::Cancelled) {
            self.dial_ahead(peer);
        }
        // A cancelled try outlives its request; the module still counts it as in flight until told.
        if let Some(context) = self.contexts.get_mut(&id) {
            context.out.retain(|(n, _)| *n != attempt);
            if ended.outcome.proves_never_ran() {
                context.maybe_ran.retain(|(n, _)| *n != attempt);
            }
            context.stale |= ended.stale;
            if context.streams {
                // The module has heard of it; whether it came whole is known now.
                self.handle.counters.borrow_mut().passed_on(context.class, ended.outcome == Outcome::Ok);
                return self.forget(id);
            }
        }
        let latency_us = sent.elapsed().as_micros() as Micros;
        log::debug!(
            "request {}: try {attempt} at {}: {:?} in {latency_us} us",
            id.0,
            peer.name,
            ended.outcome
        );
        if ended.outcome == Outcome::Ok {
            self.handle.claims.learn(ended.value.len());
            self.answer(id, ended.large.map_or(Answer::Served(ended.value), Answer::Streamed));
        }
        let finished = self.contexts.get(&id).is_none_or(|context| context.answer.is_none());
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            outcome: ended.outcome,
            latency_us,
            finished,
            fetch_pending: ended.pending,
            stale: ended.stale,
        });
        self.forget(id);
    }

    /// The first try at a peer that was just listed must not wait for a handshake either. Not in a large fleet: most of what
    /// was dialled there would close again unused.
    pub(super) fn dial_listed(&mut self, list: &EndpointList) {
        if self.group.size() > MOST_DIALLED_AHEAD {
            return;
        }
        for member in &list.members {
            if let Some(peer) = self.group.endpoint(endpoint_id(&member.id)).cloned() {
                self.dial_ahead(&peer);
            }
        }
    }

    fn dial_ahead(&mut self, peer: &Rc<Endpoint>) {
        let Some(place) = self.pools.ahead(peer) else { return };
        let (peer, time, inputs) = (peer.clone(), self.bounds.dial, self.handle.inputs.clone());
        tokio::task::spawn_local(async move {
            let connection = connection::dial(place, &peer, time).await;
            let _ = inputs.send(Input::Dialled(peer, connection));
        });
    }
}
