//! The interface of the decision module: what goes in ([`Settings`], [`Event`]) and what comes out ([`Action`]).
//!
//! Plain data only. Times are integer microseconds on the caller's clock.

pub use crate::outcome::{Outcome, Reason};

/// Microseconds: a span, or a point on the caller's clock.
pub type Micros = u64;

/// A request, named by the caller; returned unmodified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A cache server or the origin, named by the caller; opaque.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u64);

/// What a request is about; requests that share a key read the same kept copy.
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

/// A cell: a small set of servers that remember the same request keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u16);

/// A timer, named by the module; hand it back in [`Event::Timer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Which servers drop a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// Those in the zone of the first server.
    Zone,
    /// Those in the cell of the first server.
    Cell,
}

/// What a repeat of a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped inside `scope`, for `span_us` after the first send that may have run.
    IdempotentWithKey {
        /// Who drops the repeats.
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
    /// An answer within this time earns the full worth.
    pub latency_objective_us: Micros,
    /// The longest a client waits, over all its tries.
    pub deadline_us: Micros,
    /// Worth of one request (or of one unit of its work).
    pub priority_weight: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// What a repeat may do.
    pub effect: Effect,
}

/// A tenant's share.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all instances.
    pub quota_per_s: f64,
}

/// How the server list is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
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
    /// With probe results alone.
    OnProbe,
}

/// How a cache server treats a key that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers [`Outcome::Miss`]; the module asks the origin. Writes go to the origin.
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
    /// Worth of a request beyond its tenant's quota, as a part of its class's.
    pub over_quota_weight: f64,
    /// Treatment of missing keys.
    pub mode: Mode,
    /// The kind of list entry that is the origin, in [`Mode::CacheAside`].
    pub origin_kind: Option<u16>,
    /// How the list is learned.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reporting: Reporting,
    /// Whether listed weights are a lasting size, worth placing keys by.
    pub weights_are_lasting: bool,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be out at once.
    pub hedged_requests: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether instances may send one another messages.
    pub peers: bool,
    /// The longest hold-off a client honours; 0 where advice is not passed on.
    pub max_retry_after_us: Micros,
    /// Price of one attempt that crosses zones, per request.
    pub cross_zone_price: f64,
    /// A started server can do at least this part of its work at once.
    pub slow_start_fraction: f64,
    /// A started server is warm after this time at the latest.
    pub slow_start_us: Micros,
    /// A started server falls when it is sent this multiple of what it can do then ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_window_us: Micros,
    /// With [`Discovery::Poll`]: the longest an instance may go without asking.
    pub max_poll_interval_us: Micros,
    /// The shortest span between two batches of events.
    pub tick_us: Micros,
}

impl Settings {
    /// The shortest aim among the classes that are safe to repeat; a second where there are none.
    #[must_use]
    pub fn shortest_latency_objective(&self) -> Micros {
        let safe = self.classes.iter().filter(|class| class.effect == Effect::Idempotent);
        safe.map(|class| class.latency_objective_us).min().unwrap_or(1_000_000).max(1)
    }
}

impl Default for Settings {
    /// One lone instance, one zone, no classes, aside mode without an origin, three attempts one at a time,
    /// a pushed list, and servers that start at a tenth of their capacity, take 30 s to warm, and fall under three times
    /// their work of a second.
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

/// What the list says of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Runs and takes work.
    Ready,
    /// Finishes what it has; takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the server list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointEntry {
    /// The server.
    pub id: EndpointId,
    /// State of its process.
    pub presence: Presence,
    /// Machine kind; the origin is known by it.
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
    /// The whole list: what it lacks is gone.
    Full,
    /// The whole list as held before a restart, perhaps stale.
    Cached,
    /// Asking failed, or the subscription broke; no entries.
    Failed,
}

/// A request of a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: TenantId,
    /// What it is about.
    pub key: Option<Key>,
    /// Whether it changes its key.
    pub write: bool,
    /// Time until the client gives this try up.
    pub remaining_us: Micros,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the server list.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A client's request: it is owed exactly one final answer.
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
        /// On a miss: whether the server has told another request to fetch the key.
        fetch_pending: bool,
        /// Whether it was lost with its connection, which tells nothing of the server: one that had carried others
        /// broke without a byte of an answer, or an open one before the request was written whole. What the outcome
        /// says of having run holds all the same.
        stale: bool,
    },
    /// The answer of an attempt has begun to stream: the attempt is the client's now.
    FirstByte(RequestId),
    /// The client left: nothing is owed for this request any more.
    ClientLeft(RequestId),
    /// It is time to tell the other instances: to be answered by [`Action::PublishLoad`].
    PublishLoad,
    /// What the instances together make of servers: for each, the part of its listed weight to place keys by.
    WeightFactors(Vec<(EndpointId, f64)>),
    /// A timer fell due.
    Timer(Token),
}

/// What this instance's requests came to at a server since it last told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The server.
    pub endpoint: EndpointId,
    /// Its listed weight.
    pub weight: f64,
    /// How many of them it held, in the mean over the time.
    pub in_flight: f64,
    /// How many it answered, a miss included.
    pub answered: u32,
    /// How many it failed, turned away or left unanswered.
    pub failed: u32,
}

/// What to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out; 0 for as long as the client waits.
        timeout_us: Micros,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after_us: Micros,
        /// Why.
        reason: Reason,
    },
    /// Final answer: failed; promises nothing.
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
    /// Close the idle connections to a server.
    CloseIdle(EndpointId),
    /// Subscribe to the server list.
    Watch,
    /// Tell the other instances of these, all servers that may be sent to, and hand back [`Event::WeightFactors`].
    PublishLoad(Vec<LoadReport>),
}
