//! The router: receives events, learns from them, and decides which actions to take.

use super::attempts::AttemptResult;
use super::dispatcher::{Dispatcher, OutstandingAttempts};
use super::outliers::OutlierDetector;
use super::polling::PollBackoff;
use super::shedding::LoadShedder;
use crate::api::{
    Action, EndpointEntry, Event, Key, ListKind, Micros, Mode, Outcome, Reason, Request, RequestId, Settings,
    Token,
};
use crate::endpoint_table::{EndpointTable, Slot};
use crate::in_flight::{InFlightRequest, Target};
use crate::latency_estimate::LatencyEstimate;

/// The token of the timer for the next poll of discovery. Any other token is the id of a request.
const POLL_TIMER: Token = Token(u64::MAX);

/// The decision module of one balancer: turns events into actions.
#[derive(Debug)]
pub struct Router {
    dispatcher: Dispatcher,
    outliers: OutlierDetector,
    shedder: LoadShedder,
    poll_backoff: PollBackoff,
}

impl Router {
    /// Creates a router that knows its settings and no endpoints.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Self {
            outliers: OutlierDetector::default(),
            shedder: LoadShedder::new(settings.tenants.len()),
            poll_backoff: PollBackoff::default(),
            dispatcher: Dispatcher::new(settings, seed, now),
        }
    }

    /// Handles one event and appends the actions that the caller must carry out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let dispatcher = &mut self.dispatcher;
        dispatcher.context.now = now;
        dispatcher.endpoints.table.advance_slow_start(now, &dispatcher.context.settings);
        match event {
            Event::EndpointList(kind, entries) => self.apply_endpoint_list(kind, &entries),
            Event::Request(request) if dispatcher.requests.contains_key(&request.id) => {}
            Event::Request(request) => self.accept_request(request),
            Event::Outcome { id, attempt, outcome, latency_us, finished, fetch_pending, doubtful, stale } => {
                let result =
                    AttemptResult { attempt, outcome, latency_us, finished, fetch_pending, doubtful, stale };
                self.end_attempt(id, result);
            }
            // From the first byte on, the stream belongs to the client: no attempt is sent or cancelled.
            Event::FirstByte(id) => dispatcher.finish(id, OutstandingAttempts::Keep),
            Event::ClientLeft(id) => dispatcher.finish(id, OutstandingAttempts::Cancel),
            Event::Timer(POLL_TIMER) => dispatcher.actions.push(Action::WatchEndpoints),
            Event::Timer(Token(token)) => dispatcher.handle_timer(RequestId(token)),
            Event::PublishLoad => {
                let reports = dispatcher.endpoints.table.take_load_reports(now);
                dispatcher.actions.push(Action::PublishLoad(reports));
            }
            Event::WeightFactors(factors) => dispatcher.endpoints.table.set_weight_factors(&factors),
        }
        actions.append(&mut self.dispatcher.actions);
    }

    /// Returns the table of listed endpoints.
    pub(crate) fn endpoint_table(&self) -> &EndpointTable {
        &self.dispatcher.endpoints.table
    }

    fn apply_endpoint_list(&mut self, kind: ListKind, entries: &[EndpointEntry]) {
        let Dispatcher { context, actions, endpoints, origin, .. } = &mut self.dispatcher;
        if let Some(delay_us) = self.poll_backoff.record(kind, context) {
            actions.push(Action::Timer { delay_us, token: POLL_TIMER });
        }
        endpoints.apply_list(kind, entries, context);
        let ready = endpoints.table.ready();
        if !origin.is_started() && ready > 0 {
            let latency = LatencyEstimate::new(context.settings.shortest_latency_objective());
            origin.start(ready, latency.objective_us(), context);
            self.outliers = OutlierDetector::new(latency);
        }
    }

    fn accept_request(&mut self, request: Request) {
        let Dispatcher { context, endpoints, keys, origin, requests, retry_budget, .. } =
            &mut self.dispatcher;
        let (id, now) = (request.id, context.now);
        // A read without a key may go to any endpoint, so it gets a random key.
        let key = request.key.unwrap_or_else(|| Key(context.rng.u64(..)));
        let class = context.settings.classes.get(request.class.0 as usize);
        let weight = class.map_or(1.0, |class| class.priority_weight);
        let mut in_flight = InFlightRequest::new(now, request, key, class);
        in_flight.priority = self.shedder.classify(&in_flight, weight, context);
        retry_budget.deposit();
        if request.write && context.settings.mode == Mode::CacheAside {
            origin.reserve_for_write(now);
            requests.insert(id, in_flight);
            return self.dispatcher.send_to_origin(id);
        }
        endpoints.reads.record(now, &context.settings);
        let assignment = keys.assignment_for_read(key, &endpoints.table, context);
        let shed = self.shedder.should_shed(&in_flight, &assignment, endpoints, now);
        requests.insert(id, in_flight);
        if shed {
            self.dispatcher.give_up(id, Reason::Shed);
        } else {
            self.dispatcher.send_read(id);
        }
    }

    /// Records the end of an attempt, and takes the next step if the request is still unanswered.
    fn end_attempt(&mut self, id: RequestId, mut result: AttemptResult) {
        let Some(ended) = self.dispatcher.record_end(id, &mut result) else { return };
        match ended.target {
            Target::Cache => self.learn_from_read(ended.slot, &result),
            Target::Origin => self.dispatcher.learn_from_origin(id, ended.slot, &result),
        }
        if ended.request_is_finished {
            self.dispatcher.finish(id, OutstandingAttempts::Cancel);
        } else {
            self.dispatcher.continue_after(id, ended.target, &result);
        }
    }

    fn learn_from_read(&mut self, slot: Slot, result: &AttemptResult) {
        let Dispatcher { context, endpoints, .. } = &mut self.dispatcher;
        if matches!(result.outcome, Outcome::Ok | Outcome::Miss | Outcome::Error | Outcome::Reset) {
            self.shedder.record_answer(context.now);
        }
        // An attempt that was lost with a stale connection says nothing about the endpoint's health.
        let outcome = if result.stale { Outcome::NotSent } else { result.outcome };
        self.outliers.record(&mut endpoints.table, slot, outcome, result.latency_us, context);
    }
}
