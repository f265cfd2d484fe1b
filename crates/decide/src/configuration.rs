//! The settings that an instance of the decision module starts with.

use crate::ids::{Micros, ZoneId};

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
    /// Changes arrive only after [`Action::Watch`](crate::api::Action::Watch).
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
    /// It answers [`Outcome::Miss`](crate::api::Outcome::Miss), and the module fetches from the origin. Writes go to the origin.
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
