//! The engine: one event loop that passes all inputs and timers to the decision module and executes its actions.
//!
//! The engine has no client sockets: a front submits a request through a [`Handle`] and gets a [`Ticket`]. `phases`
//! contains the handlers of each wake. Each of the other modules owns one part of the engine's state.

mod answer_sizes;
mod finished_ids;
mod fleet;
mod gossip;
mod handle;
mod input;
mod open_requests;
mod overrides;
mod phases;
mod requests;
mod schedule;
mod startup;
#[doc(hidden)]
pub mod testing;
mod ticket;
mod timers;

pub use handle::{CommandError, Handle};
pub use input::IncomingRequest;
pub use ticket::Ticket;

use crate::fleet_link::Clock;
use crate::setup::{Bounds, Config};
use crate::stall_monitor::run_stall_monitor;
use decide::api::{Effect, Event, Micros, RequestId};
use decide::policy::Router;
use finished_ids::FinishedIds;
use fleet::FleetMember;
use gossip::Gossip;
use input::Inbox;
use overrides::Overrides;
use proto::discovery::EndpointList;
use requests::RequestContext;
use rustc_hash::FxHashMap;
use schedule::Schedule;
use startup::StartupGate;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use timers::Timers;
use tokio::sync::mpsc;
use upstream::connection::{AttemptLogThrottles, ConnectionPools};
use upstream::endpoints::EndpointSet;

/// Returns the Unix time in microseconds, or 0 if the system clock is set before 1970.
#[must_use]
pub fn unix_us() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// The engine. Owns the decision module, the open requests and the connections to the endpoints.
pub struct Engine {
    router: Router,
    /// Events that the decision module has not handled yet.
    events: VecDeque<Event>,
    handle: Handle,
    inbox: Inbox,
    clock: Clock,
    timers: Timers,
    startup: StartupGate,
    requests: FxHashMap<RequestId, RequestContext>,
    finished_ids: FinishedIds,
    endpoints: EndpointSet,
    pools: ConnectionPools,
    throttles: Rc<AttemptLogThrottles>,
    overrides: Overrides,
    gossip: Gossip,
    /// The state of this balancer in its fleet; `None` if it belongs to no fleet.
    fleet: Option<Box<FleetMember>>,
    /// The endpoint list known before the start. Taken by [`Engine::join_fleet`], and dropped when the engine runs.
    known_list: Option<EndpointList>,
    /// The effect of each class of requests, indexed by the class number.
    effects: Vec<Effect>,
    /// The resolution of the decision module's time.
    tick: Duration,
    bounds: Bounds,
}

impl Engine {
    /// Creates an engine and the handle for its fronts. Applies the endpoint list known before the start as a cached
    /// list.
    #[must_use]
    pub fn new(config: &Config) -> (Self, Handle) {
        let (inputs_sender, inputs) = mpsc::unbounded_channel();
        let (discovery_sender, discovery) = mpsc::unbounded_channel();
        let handle = Handle::new(inputs_sender, discovery_sender, config);
        // The clock starts at Unix time, because `up_since_ms` of endpoints is Unix time. It is read once, so that the
        // clock never goes back.
        let unix = unix_us();
        let settings = &config.settings;
        let overrides_folder = config.state_folder.as_deref().filter(|_| config.admin_address.is_some());
        let origin_flavor =
            settings.origin_kind.and_then(|kind| config.names.kinds.get(usize::from(kind))).cloned();
        let overrides = Overrides::new(overrides_folder, origin_flavor);
        let mut engine = Self {
            router: Router::new(settings.clone(), config.seed, unix),
            events: VecDeque::new(),
            handle: handle.clone(),
            inbox: Inbox { inputs, discovery },
            clock: Clock::start(unix),
            timers: Timers::default(),
            startup: StartupGate::new(overrides.are_stored()),
            requests: FxHashMap::default(),
            finished_ids: FinishedIds::new(handle.answer_memory.clone()),
            endpoints: EndpointSet::new(config.names.clone(), settings.origin_kind),
            pools: ConnectionPools::new(config.bounds),
            throttles: Rc::default(),
            overrides,
            gossip: Gossip::default(),
            fleet: None,
            known_list: config.known_endpoints.clone(),
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            tick: Duration::from_micros(settings.tick_us),
            bounds: config.bounds,
        };
        if let Some(known) = &config.known_endpoints {
            engine.apply_known_list(known);
            engine.dispatch_events();
        }
        (engine, handle)
    }

    /// Runs the event loop until the future is dropped.
    pub async fn run(mut self) {
        self.known_list = None;
        tokio::task::spawn_local(run_stall_monitor(self.handle.stall_monitor.clone()));
        self.startup.start();
        let mut schedule = Schedule::start();
        loop {
            let wake = self.next_wake(&mut schedule).await;
            self.handle_wake(wake);
            self.run_override_actions();
            self.dispatch_events();
            self.update_readiness();
        }
    }

    /// Returns the engine's clock.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn now_ms(&self) -> maintenance::Millis {
        self.now() / 1_000
    }

    fn update_readiness(&mut self) {
        let ready = self.startup.is_open() && !self.is_fenced();
        if self.handle.ready.send_replace(ready) != ready {
            log::info!("engine: {}", if ready { "ready" } else { "not ready" });
        }
    }
}
