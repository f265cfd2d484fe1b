//! The core: its loop, what comes in to it, the clock and the timers.
//!
//! It knows no front and no socket of a client: a front submits a request and is given a [`Ticket`] (`handle.rs`). What
//! becomes of a request is `context.rs`, and of its tries `tries.rs`; lists of hosts and orders of staff are `overrides.rs`.

mod context;
mod fleet;
#[cfg(test)]
mod fleet_tests;
mod handle;
mod orders;
mod tries;

use crate::fleet_link::{self as interface, Clock};
use crate::metrics;
use crate::override_file::OverrideFile;
use crate::setup::{Bounds, Config};
use crate::stall_monitor::run_stall_monitor;
use context::RequestContext;
use decide::api::{Effect, Event, Micros, RequestId, Token};
use decide::policy::Router;
use gossip_transport::GossipTransport;
pub use handle::{CommandError, Handle, IncomingRequest, Ticket};
use maintenance::{
    CommandOutcome, OperatorOverrides, OverriddenList, OverrideCommand, OverrideStore, WriteError,
};
use orders::{FIRST_ORDERS, ORDERS, ORDERS_SEEN};
use proto::discovery::{EndpointList, WatchEvent};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::time::DelayQueue;
use upstream::connection::{AttemptLogThrottles, AttemptResult, Connection, ConnectionPools, StreamedValue};
use upstream::endpoints::{Endpoint, EndpointSet};

/// How long a start waits for discovery's first list before it makes do with the one it knew.
const FIRST_LIST: Duration = Duration::from_secs(1);

enum Input {
    Arrived(RequestId, IncomingRequest, handle::Owed),
    Left(RequestId),
    /// Its front has failed it, and tells its client so.
    GivenUp(RequestId),
    TryEnded {
        id: RequestId,
        attempt: u16,
        peer: Rc<Endpoint>,
        sent: Instant,
        ended: AttemptResult,
        under: fleet::Under,
    },
    /// A try's answer is large, and has begun to come.
    Begun {
        id: RequestId,
        attempt: u16,
        sent: Instant,
        streamed: Box<StreamedValue>,
    },
    Dialled(Rc<Endpoint>, Option<Connection>),
    /// What is heard of discovery, and when it was handed on.
    News(WatchEvent, Instant),
    /// A look at the figures.
    Look(oneshot::Sender<String>),
    Order(OverrideCommand, oneshot::Sender<CommandOutcome>),
    /// What a look at the file of orders found.
    Looked(io::Result<Option<OperatorOverrides>>),
    /// How a write of it ended.
    Wrote(Result<(), WriteError>),
    GossipTransport(GossipTransport),
    /// Whether a planned change may be made.
    MayChange(interface::ChangeKind, oneshot::Sender<Result<(), String>>),
}

/// Unix time; 0 on a machine whose clock stands before 1970.
#[must_use]
pub fn unix_us() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

async fn next_input(
    news: &mut mpsc::UnboundedReceiver<(WatchEvent, Instant)>, inputs: &mut mpsc::UnboundedReceiver<Input>,
) -> Option<Input> {
    tokio::select! {
        biased;
        Some((news, at)) = news.recv() => Some(Input::News(news, at)),
        input = inputs.recv() => input,
    }
}

enum Due {
    Speak,
    Module(Token),
    Overdue(RequestId),
}

/// What is still to come before this process is ready.
#[derive(Debug, Clone, Copy)]
struct Awaits {
    list: bool,
    orders: bool,
}

/// The core, owner of the module.
pub struct Engine {
    router: Router,
    handle: Handle,
    inputs: mpsc::UnboundedReceiver<Input>,
    /// What is heard of discovery goes before all that waits: nothing new may go to a host that drains 250 ms later.
    news: mpsc::UnboundedReceiver<(WatchEvent, Instant)>,
    clock: Clock,
    contexts: FxHashMap<RequestId, RequestContext>,
    timers: DelayQueue<Due>,
    group: EndpointSet,
    maintenance: OverriddenList,
    /// Orders on their way between callers and their file.
    keeping: OverrideStore<oneshot::Sender<CommandOutcome>>,
    /// Where orders are kept; nowhere where none can be given. Only threads of its own touch it.
    override_file: Option<Arc<Mutex<OverrideFile>>>,
    /// Whether the last look at that file failed.
    unreadable_orders: bool,
    /// What a start waits for: a list, and the orders of the process before.
    awaits: Awaits,
    pools: ConnectionPools,
    lines: Rc<AttemptLogThrottles>,
    /// Of each class, what a repeat may do.
    effects: Vec<Effect>,
    /// The shortest span that the module tells apart.
    tick: Duration,
    bounds: Bounds,
    events: VecDeque<Event>,
    /// The other balancers; none where they may not be told anything.
    talk: Option<GossipTransport>,
    /// The fleet that this balancer acts in agreement with, if any.
    fleet: Option<Box<fleet::Fleet>>,
    /// The list known from before, until the core runs.
    known: Option<EndpointList>,
}

impl Engine {
    /// The core, and the handle for its fronts. The list known from before goes in as a cached one.
    #[must_use]
    pub fn new(config: &Config) -> (Self, Handle) {
        let (sender, inputs) = mpsc::unbounded_channel();
        let (hears, news) = mpsc::unbounded_channel();
        let handle = Handle::new(sender, hears, config);
        // Unix time once, then a clock that only advances: `up_since_ms` is Unix time.
        let unix = unix_us();
        let folder = config.folder.as_ref().filter(|_| config.operator.is_some());
        let override_file = folder.map(|folder| Arc::new(Mutex::new(OverrideFile::new(folder.join(ORDERS)))));
        let origin = config.settings.origin_kind.and_then(|kind| config.names.kinds.get(usize::from(kind)));
        let mut engine = Self {
            maintenance: OverriddenList::new(origin.cloned(), OperatorOverrides::default()),
            keeping: OverrideStore::new(override_file.is_some()),
            awaits: Awaits { list: true, orders: override_file.is_some() },
            override_file,
            unreadable_orders: false,
            router: Router::new(config.settings.clone(), config.seed, unix),
            handle: handle.clone(),
            inputs,
            news,
            clock: Clock::start(unix),
            contexts: FxHashMap::default(),
            timers: DelayQueue::new(),
            group: EndpointSet::new(config.names.clone(), config.settings.origin_kind),
            pools: ConnectionPools::new(config.bounds),
            lines: Rc::default(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            tick: Duration::from_micros(config.settings.tick_us),
            bounds: config.bounds,
            events: VecDeque::new(),
            talk: None,
            fleet: None,
            known: config.known.clone(),
        };
        if let Some(known) = &config.known {
            engine.told(known, true);
            engine.settle();
        }
        (engine, handle)
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self) {
        self.known = None;
        tokio::task::spawn_local(run_stall_monitor(self.handle.stall_monitor.clone()));
        let mut sweep = interval(Duration::from_secs(1));
        let mut report = interval(Duration::from_secs(10));
        let mut look = interval(ORDERS_SEEN);
        let mut fence = interval(fleet::LOOKED);
        fence.set_missed_tick_behavior(MissedTickBehavior::Delay);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let first_list = sleep(FIRST_LIST);
        let first_orders = sleep(FIRST_ORDERS);
        tokio::pin!(first_list, first_orders);
        loop {
            tokio::select! {
                Some(input) = next_input(&mut self.news, &mut self.inputs) => self.take(input),
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    let key = due.key();
                    match due.into_inner() {
                        Due::Module(token) => {
                            self.fell_due(RequestId(token.0), key);
                            self.events.push_back(Event::Timer(token));
                        }
                        Due::Speak => self.speak(),
                        Due::Overdue(id) => {
                            self.fell_due(id, key);
                            self.overdue(id);
                        }
                    }
                }
                (datagram, from) = async {
                    match &self.talk {
                        Some(talk) => talk.next().await,
                        None => std::future::pending().await,
                    }
                } => {
                    let now = self.now();
                    if let Some(talk) = &mut self.talk {
                        talk.take(now, &datagram, from);
                    }
                }
                Some(agreed) = async {
                    match &mut self.fleet {
                        Some(fleet) => fleet.agreed().await,
                        None => std::future::pending().await,
                    }
                } => self.agreed(agreed),
                _ = fence.tick(), if self.fleet.is_some() => self.look_at_fleet(false),
                _ = sweep.tick() => self.pools.sweep(),
                _ = look.tick(), if self.override_file.is_some() => {
                    self.keeping.tick(self.now() / 1_000, &mut self.maintenance);
                }
                _ = report.tick() => {
                    let (open, so_far) = self.pools.counts();
                    log::info!("{} requests open; {open} connections open; so far {so_far:?}", self.contexts.len());
                    if let Some(talk) = &self.talk {
                        log::info!("other balancers so far: {:?}", talk.counts());
                    }
                    log::info!("answers so far: {}", self.handle.counters.borrow());
                    log::info!("longest hold-up of the thread of late: {:?}", self.handle.stall_monitor.take_longest_stall());
                }
                () = &mut first_list, if self.awaits.list => {
                    log::warn!("discovery: silent; starting with the list known before");
                    self.awaits.list = false;
                }
                () = &mut first_orders, if self.awaits.orders => {
                    log::error!("orders: {ORDERS} could not be read as yet; starting as if there were none");
                    self.awaits.orders = false;
                }
            }
            self.keep();
            self.settle();
            self.become_ready();
        }
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The clock that the core counts on.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Arrived(id, incoming, owed) => self.arrived(id, incoming, owed),
            Input::Left(id) => self.left(id),
            Input::GivenUp(id) => self.given_up(id),
            Input::TryEnded { id, attempt, peer, sent, ended, under } => {
                self.count_try(under, peer.origin, ended.outcome);
                self.try_ended(id, attempt, &peer, sent, ended)
            }
            Input::Begun { id, attempt, sent, streamed } => self.begun(id, attempt, sent, streamed),
            Input::Dialled(peer, connection) => self.pools.put(&peer, connection),
            Input::Look(figures) => {
                let (endpoint_counts, open) =
                    (self.router.endpoint_counts(self.now()), self.handle.claims.open.get());
                let counters = self.handle.counters.borrow();
                let _ = figures.send(metrics::render(
                    &counters,
                    &self.group.names().classes,
                    open,
                    endpoint_counts,
                ));
            }
            Input::MayChange(kind, said) => {
                let _ = said.send(self.may_change(kind));
            }
            Input::GossipTransport(talk) => {
                self.talk = Some(talk);
                self.speak_later();
            }
            Input::Order(order, done) => {
                self.keeping.handle_command(self.now() / 1_000, &mut self.maintenance, order, done);
            }
            Input::Looked(looked) => self.looked(looked),
            Input::Wrote(written) => {
                self.keeping.handle_write(self.now() / 1_000, &mut self.maintenance, written)
            }
            Input::News(WatchEvent::Subscribed, _) => self.awaits.list = false,
            Input::News(WatchEvent::List(list), handed_on) => {
                self.take_list(&list, handed_on);
            }
        }
    }

    fn speak(&mut self) {
        self.events.push_back(Event::PublishLoad);
        self.speak_later();
    }

    fn speak_later(&mut self) {
        if let Some(talk) = &mut self.talk {
            self.timers.insert(Due::Speak, talk.pause());
        }
    }

    fn become_ready(&mut self) {
        let ready = !self.awaits.list && !self.awaits.orders && !self.fenced();
        if self.handle.ready.send_replace(ready) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Engine, Handle, IncomingRequest, Ticket};
    use crate::setup::{Bounds, Config, Names};
    use bytes::Bytes;
    use decide::api::{Class, ClassId, Effect, Key, Settings, TenantId};
    use std::rc::Rc;
    use std::time::Duration;
    use tokio::time::Instant;
    use upstream::call::{Answer, Call};

    pub(super) fn config() -> Config {
        let minute = Duration::from_secs(60);
        let class = Class {
            latency_objective_us: 1_000_000,
            deadline_us: 60_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            effect: Effect::Idempotent,
        };
        let bounds = Bounds {
            clients: 1,
            peers: 1,
            held_bytes: 1 << 20,
            open: 1 << 20,
            answer_bytes: usize::MAX,
            dial: minute,
            idle: minute,
            longest: minute,
            shortest: minute,
        };
        let nowhere = ([127, 0, 0, 1], 1).into();
        Config {
            name: "n0".into(),
            listen: nowhere,
            inherited_descriptor: None,
            operator: None,
            folder: None,
            discovery: nowhere,
            seed: 1,
            known: None,
            settings: Settings { classes: vec![class], ..Settings::default() },
            names: Names::default(),
            bounds,
            gossip: None,
        }
    }

    /// A request for key `n`, handed over under an id of its own.
    pub(super) fn submitted(handle: &Handle, n: u64) -> Ticket {
        let word = Bytes::from(format!("{n:x}"));
        let (command, key, id, options) = (word.clone(), word.clone(), word.clone(), word);
        let call = Rc::new(Call { command, key, id, options, time_at: 0..0, value: None });
        let (received, time) = (Instant::now(), Duration::from_secs(60));
        let (class, tenant) = (ClassId(0), TenantId(0));
        handle
            .submit(IncomingRequest {
                class,
                tenant,
                key: Some(Key(n)),
                received,
                time_limit: time,
                call,
                memory: None,
            })
            .unwrap()
    }

    #[tokio::test(start_paused = true)]
    async fn an_answered_request_leaves_no_timer_behind() {
        let (mut engine, handle) = Engine::new(&config());
        for n in 0..1_000 {
            let ticket = submitted(&handle, n);
            let input = engine.inputs.recv().await.unwrap();
            engine.take(input);
            engine.settle();
            assert!(matches!(ticket.await, Answer::Refused(0)), "there is no server");
        }
        assert!(engine.timers.is_empty(), "{} timers, kept for a minute", engine.timers.len());
        let told = engine.handle.counters.borrow().to_string();
        assert!(told.starts_with("0 served, 1000 refused (no-server 1000), 0 failed"), "{told}");
    }
}
