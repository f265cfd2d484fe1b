//! The interface of the decision module: what goes in ([`Settings`], [`Event`]) and what comes out ([`Action`]).
//!
//! Plain data only. Times are integer microseconds on the caller's clock.

pub use crate::outcome::{Outcome, Reason};

/// Microseconds: a span, or a point on the caller's clock.
pub type Micros = u64;

/// A request, identified by the caller; returned unmodified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A cache node or the origin, identified by the caller; opaque.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u64);

/// What a request reads or writes; requests that share a key read the same cached value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

/// Index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub u8);

/// Index into [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub u32);

/// A zone (data centre).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u8);

/// A cell: a small set of endpoints that share their memory of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u16);

/// A timer, identified by the module; the caller returns it in [`Event::Timer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Which endpoints drop a repeat of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint.
    All,
    /// Those in the zone of the endpoint that it was first sent to.
    Zone,
    /// Those in the cell of the endpoint that it was first sent to.
    Cell,
}

/// What a repeat of a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A repeat changes nothing.
    Idempotent,
    /// Repeats are dropped inside `scope`, for `span_us` after the first send that may have run.
    IdempotentWithKey {
        /// Which endpoints drop the repeats.
        scope: DedupScope,
        /// For how long.
        span_us: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time has the full weight.
    pub latency_objective_us: Micros,
    /// The longest a client waits, over all its attempts.
    pub deadline_us: Micros,
    /// Weight of one request (or of one unit of its work).
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the objective still has.
    pub late_weight: f64,
    /// What a repeat may do.
    pub effect: Effect,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its quota, over all instances.
    pub quota_per_s: f64,
}

/// How changes of the endpoint list arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes arrive only after [`Action::Watch`].
    Poll,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reporting {
    /// Nowhere.
    Off,
    /// With every answer.
    Inline,
    /// With the results of health checks only.
    OnProbe,
}

/// How a cache node treats a key that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers [`Outcome::Miss`], and the module fetches from the origin. Writes go to the origin.
    CacheAside,
    /// It fetches the value by itself and forwards writes.
    ReadThrough,
}

/// The settings an instance starts with; [`Settings::default`] documents what a missing one means.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of instances in this tier, this one included.
    pub balancers: u32,
    /// The number of this instance among them, from 0.
    pub instance: u32,
    /// The zone of this instance.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// Treatment of missing keys.
    pub mode: Mode,
    /// The kind of list entry that is the origin, in [`Mode::CacheAside`].
    pub origin_kind: Option<u16>,
    /// How changes of the list arrive.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reporting: Reporting,
    /// Whether listed weights are lasting, so that keys can be placed by them.
    pub weights_are_lasting: bool,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be outstanding at once.
    pub hedged_requests: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether instances may send each other messages.
    pub peers: bool,
    /// The longest retry-after that a client honours; 0 where none is passed on.
    pub max_retry_after_us: Micros,
    /// Price of one attempt that crosses zones, per request.
    pub cross_zone_price: f64,
    /// The fraction of its work that an endpoint can do at its start.
    pub slow_start_fraction: f64,
    /// The longest time after its start until an endpoint is warm.
    pub slow_start_us: Micros,
    /// An endpoint in slow start is overloaded by this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_window_us: Micros,
    /// With [`Discovery::Poll`]: the longest an instance may go without a poll.
    pub max_poll_interval_us: Micros,
    /// The shortest span between two batches of events.
    pub tick_us: Micros,
}

impl Settings {
    /// The shortest latency objective of the idempotent classes; a second where there are none.
    #[must_use]
    pub fn shortest_latency_objective(&self) -> Micros {
        let idempotent = self.classes.iter().filter(|class| class.effect == Effect::Idempotent);
        idempotent.map(|class| class.latency_objective_us).min().unwrap_or(1_000_000).max(1)
    }
}

impl Default for Settings {
    /// One instance, one zone, no classes, cache-aside without an origin, three attempts one at a time, a pushed
    /// list, and endpoints that start at a tenth of their capacity, take 30 s to warm up, and are overloaded by three
    /// times their work of a second.
    fn default() -> Self {
        Settings {
            balancers: 1,
            instance: 0,
            zone: ZoneId(0),
            zones: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            mode: Mode::CacheAside,
            origin_kind: None,
            discovery: Discovery::Push,
            reporting: Reporting::Off,
            weights_are_lasting: false,
            max_attempts: 3,
            hedged_requests: false,
            cancel: false,
            peers: false,
            max_retry_after_us: 0,
            cross_zone_price: 0.0,
            slow_start_fraction: 0.1,
            slow_start_us: 30_000_000,
            overload_multiple: 3.0,
            overload_window_us: 1_000_000,
            max_poll_interval_us: 10_000_000,
            tick_us: 1_000,
        }
    }
}

/// What the list says of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Running; accepts work.
    Ready,
    /// Finishes the work it has; accepts no more.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// State of its process.
    pub presence: Presence,
    /// Machine kind; tells the origin from cache nodes.
    pub kind: u16,
    /// Listed weight.
    pub weight: f64,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Time of its last start; 0 for long ago.
    pub online_since: Micros,
}

/// What kind of list arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list: endpoints that are not on it are gone.
    Full,
    /// The complete list from before a restart, perhaps stale.
    Cached,
    /// A poll failed, or the subscription broke; no entries.
    Failed,
}

/// A request of a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: TenantId,
    /// What it reads or writes.
    pub key: Option<Key>,
    /// Whether it changes its key.
    pub write: bool,
    /// Time until the client gives up.
    pub remaining_us: Micros,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A change of the endpoint list.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A client's request. It gets exactly one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order of [`Action::Forward`].
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency_us: Micros,
        /// Whether the request is finished.
        finished: bool,
        /// On a miss: whether the endpoint has told another request to fetch the key.
        fetch_pending: bool,
        /// Whether it was lost with a stale connection, which says nothing of the endpoint: a reused connection broke
        /// without a byte of an answer, or an open one before the request was written completely. What the outcome
        /// says of having run is still true.
        stale: bool,
    },
    /// The answer of an attempt has begun to stream to the client; the attempt is no longer the module's.
    FirstByte(RequestId),
    /// The client left: the request needs no answer any more.
    ClientLeft(RequestId),
    /// A load report is due; the module responds with [`Action::PublishLoad`].
    PublishLoad,
    /// For each endpoint, the fraction of its listed weight to place keys by, from the reports of all instances.
    WeightFactors(Vec<(EndpointId, f64)>),
    /// A timer is due.
    Timer(Token),
}

/// The load that this instance put on an endpoint since its last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its listed weight.
    pub weight: f64,
    /// Requests in flight, as the mean over the time.
    pub in_flight: f64,
    /// Requests answered, misses included.
    pub answered: u32,
    /// Requests that failed with an error, a broken connection or none.
    pub failed: u32,
}

/// What to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout; 0 for as long as the client waits.
        timeout_us: Micros,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after_us: Micros,
        /// Why.
        reason: Reason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Ask for [`Event::Timer`] after a delay.
    Timer {
        /// The delay.
        delay_us: Micros,
        /// The timer.
        token: Token,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to the endpoint list, or poll it.
    Watch,
    /// Publish these reports, of all ready cache endpoints, and return [`Event::WeightFactors`].
    PublishLoad(Vec<LoadReport>),
}
