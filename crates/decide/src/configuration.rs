//! The settings of an instance of the decision module.

use crate::ids::{Micros, ZoneId};

/// The endpoints that drop a repeat of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// Endpoints in the zone of the endpoint that the request was first sent to.
    Zone,
    /// Endpoints in the cell of the endpoint that the request was first sent to.
    Cell,
}

/// The effect of a repeated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A repeat changes nothing.
    Idempotent,
    /// Repeats are dropped inside `scope`, for `span_us` after the first send that may have run.
    IdempotentWithKey {
        /// The endpoints that drop the repeats.
        scope: DedupScope,
        /// How long they drop repeats.
        span_us: Micros,
    },
    /// The request must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Time within which an answer has the full weight.
    pub latency_objective_us: Micros,
    /// Longest time that a client waits for its answer, over all attempts.
    pub deadline_us: Micros,
    /// Weight of one request, or of one unit of its work.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective still has.
    pub late_weight: f64,
    /// Effect of a repeated request.
    pub effect: Effect,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second, over all instances.
    pub quota_per_s: f64,
}

/// The way in which changes of the endpoint list arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes arrive only after [`Action::WatchEndpoints`](crate::api::Action::WatchEndpoints).
    Poll,
}

/// The source of load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reporting {
    /// There are no load reports.
    Off,
    /// Every answer carries a load report.
    Inline,
    /// Only the results of health checks carry load reports.
    OnProbe,
}

/// The way in which a cache node handles a key that it does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The node answers [`Outcome::Miss`](crate::api::Outcome::Miss), and the module fetches the value from the origin.
    /// Writes go to the origin.
    CacheAside,
    /// The node fetches the value from the origin by itself, and forwards writes.
    ReadThrough,
}

/// The settings of an instance. [`Settings::default`] documents the values of missing settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of instances in this tier, this one included.
    pub balancers: u32,
    /// Index of this instance in the tier, from 0.
    pub instance: u32,
    /// Zone of this instance.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; empty if there are no quotas.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of the weight of its class.
    pub over_quota_weight: f64,
    /// Handling of keys that a cache node does not hold.
    pub mode: Mode,
    /// Kind of the list entries that are the origin, in [`Mode::CacheAside`].
    pub origin_kind: Option<u16>,
    /// Way in which changes of the endpoint list arrive.
    pub discovery: Discovery,
    /// Source of load reports.
    pub reporting: Reporting,
    /// Whether listed weights are stable, so that keys can be assigned by them.
    pub has_stable_weights: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be outstanding at once.
    pub hedged_requests: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether instances may send each other messages.
    pub may_message_peers: bool,
    /// Longest retry-after time that clients honour; 0 if none is passed on to them.
    pub max_retry_after_us: Micros,
    /// Price of an attempt that crosses zones, per request.
    pub cross_zone_price: f64,
    /// Fraction of its capacity that an endpoint has at its start.
    pub slow_start_fraction: f64,
    /// Longest time that an endpoint takes to warm up after its start.
    pub slow_start_us: Micros,
    /// Multiple of its capacity that overloads an endpoint in slow start, within `overload_window_us`.
    pub overload_multiple: f64,
    /// Time over which `overload_multiple` applies.
    pub overload_window_us: Micros,
    /// With [`Discovery::Poll`]: the longest time between two polls of an instance.
    pub max_poll_interval_us: Micros,
    /// Shortest time between two batches of events.
    pub tick_us: Micros,
}

impl Settings {
    /// Returns the shortest latency objective of the idempotent classes, or one second if there are none.
    #[must_use]
    pub fn shortest_latency_objective(&self) -> Micros {
        let idempotent = self.classes.iter().filter(|class| class.effect == Effect::Idempotent);
        idempotent.map(|class| class.latency_objective_us).min().unwrap_or(1_000_000).max(1)
    }
}

impl Default for Settings {
    /// Returns settings for one instance in one zone, without classes: cache-aside mode without an origin, up to three
    /// attempts one at a time, and a pushed endpoint list. Endpoints start at a tenth of their capacity, take 30 s to
    /// warm up, and are overloaded by three times their work within a second.
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
            has_stable_weights: false,
            max_attempts: 3,
            hedged_requests: false,
            may_cancel: false,
            may_message_peers: false,
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
