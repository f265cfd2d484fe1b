//! A hand-driven router: tests feed events and look at the actions.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use decide::api::*;
use decide::policy::Router;

pub const ORIGIN: u64 = 999;
pub const MS: Micros = 1_000;

pub fn class(effect: Effect, worth: f64) -> Class {
    Class {
        latency_objective_us: 500 * MS,
        deadline_us: 1_000 * MS,
        priority_weight: worth,
        late_weight: 0.0,
        effect,
    }
}

/// Classes: 0 idempotent of weight 3, 1 with an idempotency key (all, 400 ms), 2 non-idempotent, 3 idempotent of weight 1,
/// 4 with an idempotency key (zone, 400 ms).
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

pub fn server(id: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(id),
        presence: Presence::Ready,
        kind: u16::from(id == ORIGIN),
        weight: 1.0,
        cell: CellId(0),
        zone: ZoneId(0),
        online_since: 0,
    }
}

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

pub struct Rig {
    pub router: Router,
    pub now: Micros,
}

impl Rig {
    /// A router that knows cache servers 1 to `servers` and the origin.
    pub fn new(settings: Settings, seed: u64, servers: u64) -> Self {
        let mut rig = Rig { router: Router::new(settings, seed, 1_000 * MS), now: 1_000 * MS };
        rig.list(ListKind::Full, (1..=servers).chain([ORIGIN]).map(server).collect());
        rig
    }
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }
    pub fn list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.feed(Event::EndpointList(kind, entries))
    }
    pub fn ask(&mut self, request: Request) -> Vec<Action> {
        self.feed(Event::Request(request))
    }
    /// Asks, and tells the server that was chosen.
    pub fn sent_to(&mut self, request: Request) -> Option<u64> {
        sends(&self.ask(request)).first().copied()
    }
    pub fn end(&mut self, id: u64, attempt: u16, outcome: Outcome) -> Vec<Action> {
        self.end_after(id, attempt, outcome, 10 * MS)
    }
    pub fn end_flagged(&mut self, id: u64, attempt: u16, outcome: Outcome, stale: bool) -> Vec<Action> {
        let (id, latency_us) = (RequestId(id), 1_000);
        let (finished, fetch_pending) = (false, false);
        self.feed(Event::Outcome { id, attempt, outcome, latency_us, finished, fetch_pending, stale })
    }
    pub fn end_after(&mut self, id: u64, attempt: u16, outcome: Outcome, latency_us: Micros) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let id = RequestId(id);
        self.feed(Event::Outcome {
            id,
            attempt,
            outcome,
            latency_us,
            finished,
            fetch_pending: false,
            stale: false,
        })
    }
    /// Asks for a key that its server lacks; the actions are those after the miss.
    pub fn miss(&mut self, id: u64, class: u8, key: u64) -> Vec<Action> {
        self.ask(request(id, class, key));
        self.end(id, 0, Outcome::Miss)
    }
    /// Lets time pass and fires the timers among `actions` that fall due.
    pub fn pass(&mut self, us: Micros, actions: &[Action]) -> Vec<Action> {
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

pub fn sends(actions: &[Action]) -> Vec<u64> {
    let server =
        |a: &Action| if let Action::Forward { endpoint: server, .. } = a { Some(server.0) } else { None };
    actions.iter().filter_map(server).collect()
}
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
pub fn answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}
