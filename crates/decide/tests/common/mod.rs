//! A router driven by hand: tests pass events to it and check the returned actions.
#![allow(dead_code, unreachable_pub, reason = "each test program uses a part of this module")]

use decide::api::*;
use decide::policy::Router;

/// Id of the origin in endpoint lists.
pub const ORIGIN: u64 = 999;
/// Microseconds per millisecond.
pub const MS: Micros = 1_000;

/// A class with a latency objective of 500 ms and a deadline of 1 s.
pub fn class(effect: Effect, priority_weight: f64) -> Class {
    Class {
        latency_objective_us: 500 * MS,
        deadline_us: 1_000 * MS,
        priority_weight,
        late_weight: 0.0,
        effect,
    }
}

/// Settings with five classes: 0 idempotent of weight 3, 1 with an idempotency key (all endpoints, 400 ms),
/// 2 non-idempotent, 3 idempotent of weight 1, 4 with an idempotency key (zone, 400 ms).
pub fn settings() -> Settings {
    let dedup = |scope| Effect::IdempotentWithKey { scope, span_us: 400 * MS };
    Settings {
        classes: vec![
            class(Effect::Idempotent, 3.0),
            class(dedup(DedupScope::All), 3.0),
            class(Effect::NonIdempotent, 3.0),
            class(Effect::Idempotent, 1.0),
            class(dedup(DedupScope::Zone), 3.0),
        ],
        origin_kind: Some(1),
        max_attempts: 6,
        slow_start_fraction: 0.2,
        slow_start_us: 10_000 * MS,
        ..Settings::default()
    }
}

/// The list entry of a ready endpoint: the origin, or a cache node that started long ago.
pub fn entry(id: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(id),
        state: EndpointState::Ready,
        kind: u16::from(id == ORIGIN),
        weight: 1.0,
        cell: CellId(0),
        zone: ZoneId(0),
        started_at: 0,
    }
}

/// A read with 1 s left.
pub fn request(id: u64, class: u8, key: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: TenantId(0),
        key: Some(Key(key)),
        write: false,
        remaining_us: 1_000 * MS,
    }
}

/// A router and its clock.
pub struct TestRouter {
    pub router: Router,
    pub now: Micros,
}

impl TestRouter {
    /// Creates a router with cache endpoints 1 to `count` and the origin.
    pub fn new(settings: Settings, seed: u64, count: u64) -> Self {
        let mut router = TestRouter { router: Router::new(settings, seed, 1_000 * MS), now: 1_000 * MS };
        router.apply_list(ListKind::Full, (1..=count).chain([ORIGIN]).map(entry).collect());
        router
    }
    /// Passes an event to the router and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }
    /// Passes an endpoint list to the router.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.handle(Event::EndpointList(kind, entries))
    }
    /// Passes a request to the router.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Request(request))
    }
    /// Submits a request and returns the endpoint that it is sent to.
    pub fn endpoint_for(&mut self, request: Request) -> Option<u64> {
        forwarded_to(&self.submit(request)).first().copied()
    }
    /// Ends an attempt after 10 ms.
    pub fn end_attempt(&mut self, id: u64, attempt: u16, outcome: Outcome) -> Vec<Action> {
        self.end_attempt_after(id, attempt, outcome, 10 * MS)
    }
    /// Ends an attempt after 1 ms with an outcome that may be that of an earlier attempt on the same connection.
    pub fn end_attempt_in_doubt(&mut self, id: u64, attempt: u16, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::Outcome {
            id: RequestId(id),
            attempt,
            outcome,
            latency_us: 1_000,
            finished: false,
            fetch_pending: false,
            doubtful: true,
            stale: false,
        })
    }
    /// Ends an attempt after 1 ms without finishing the request; `stale` tells whether its connection was stale.
    pub fn end_attempt_with_stale(
        &mut self, id: u64, attempt: u16, outcome: Outcome, stale: bool,
    ) -> Vec<Action> {
        let (id, latency_us) = (RequestId(id), 1_000);
        let (finished, fetch_pending, doubtful) = (false, false, false);
        self.handle(Event::Outcome {
            id,
            attempt,
            outcome,
            latency_us,
            finished,
            fetch_pending,
            doubtful,
            stale,
        })
    }
    /// Ends an attempt after `latency_us`. [`Outcome::Ok`] finishes the request.
    pub fn end_attempt_after(
        &mut self, id: u64, attempt: u16, outcome: Outcome, latency_us: Micros,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let id = RequestId(id);
        self.handle(Event::Outcome {
            id,
            attempt,
            outcome,
            latency_us,
            finished,
            fetch_pending: false,
            doubtful: false,
            stale: false,
        })
    }
    /// Submits a read and ends its first attempt with a miss; returns the actions that follow the miss.
    pub fn submit_and_miss(&mut self, id: u64, class: u8, key: u64) -> Vec<Action> {
        self.submit(request(id, class, key));
        self.end_attempt(id, 0, Outcome::Miss)
    }
    /// Advances the clock and fires the timers among `actions` that are then due.
    pub fn advance(&mut self, us: Micros, actions: &[Action]) -> Vec<Action> {
        self.now += us;
        let mut out = Vec::new();
        for action in actions {
            if let Action::Timer { delay_us, token } = *action
                && delay_us <= us
            {
                self.router.handle(self.now, Event::Timer(token), &mut out);
            }
        }
        out
    }
}

/// Returns the endpoints that `actions` forward to.
pub fn forwarded_to(actions: &[Action]) -> Vec<u64> {
    let endpoint =
        |a: &Action| if let Action::Forward { endpoint, .. } = a { Some(endpoint.0) } else { None };
    actions.iter().filter_map(endpoint).collect()
}

/// Returns whether `actions` reject a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Returns whether `actions` fail a request.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Counts the rejections and failures among `actions`.
pub fn count_final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}
