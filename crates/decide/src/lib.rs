//! The decision module: chooses the endpoint of each request, and decides which requests are retried or rejected.
//!
//! [`policy`] is a sans-IO state machine that the gateway, the emulator and the simulator adapter share. The caller
//! owns the clock and all input and output: it passes each [`api::Event`] to a [`policy::Router`] and carries out the
//! [`api::Action`]s that the router returns.
//!
//! ```
//! use decide::api::{
//!     Action, CellId, Class, ClassId, Effect, EndpointEntry, EndpointId, EndpointState, Event, Key, ListKind, Outcome,
//!     Request, RequestId, Settings, TenantId, ZoneId,
//! };
//! use decide::policy::Router;
//!
//! let class = Class {
//!     latency_objective_us: 500_000,
//!     deadline_us: 1_000_000,
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     effect: Effect::Idempotent,
//! };
//! let settings = Settings { classes: vec![class], origin_kind: Some(1), ..Settings::default() };
//! let mut router = Router::new(settings, 7, 0);
//! let mut actions = Vec::new();
//!
//! let entry = |id, kind| EndpointEntry {
//!     id: EndpointId(id),
//!     state: EndpointState::Ready,
//!     kind,
//!     weight: 1.0,
//!     cell: CellId(0),
//!     zone: ZoneId(0),
//!     started_at: 0,
//! };
//! let list = vec![entry(10, 0), entry(99, 1)]; // a cache node and the origin
//! router.handle(0, Event::EndpointList(ListKind::Full, list), &mut actions);
//!
//! let id = RequestId(1);
//! let request = Request {
//!     id,
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     key: Some(Key(5)),
//!     write: false,
//!     remaining_us: 1_000_000,
//! };
//! router.handle(1_000, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Forward { endpoint: EndpointId(10), .. }));
//!
//! // The node lacks the key, so the value is fetched from the origin as soon as the warm-up limiter permits.
//! actions.clear();
//! let miss = Event::Outcome {
//!     id,
//!     attempt: 0,
//!     outcome: Outcome::Miss,
//!     latency_us: 400,
//!     finished: false,
//!     fetch_pending: false,
//!     doubtful: false,
//!     stale: false,
//! };
//! router.handle(1_400, miss, &mut actions);
//! assert!(matches!(actions[0], Action::Forward { endpoint: EndpointId(99), .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod api;
mod configuration;
mod decaying_counter;
mod endpoint;
pub mod endpoint_counts;
mod endpoint_table;
mod ids;
mod in_flight;
mod key_table;
mod latency_estimate;
mod outcome;
pub mod policy;
pub mod settings;
