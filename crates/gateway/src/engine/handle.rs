//! The handle to the engine: fronts submit requests, discovery publishes events, and operators give commands.

use super::input::{AnswerSlot, DiscoveryInput, IncomingRequest, Input, OperatorInput};
use super::open_requests::OpenRequests;
use super::overrides::OVERRIDES_FILE;
use super::ticket::Ticket;
use crate::fleet_link::{ChangeCheckError, ChangeKind, Clock, FleetCall, FleetRequest};
use crate::metrics::RequestCounters;
use crate::setup::Config;
use crate::stall_monitor::StallMonitor;
use decide::api::{ClassId, Micros, Reason, RequestId};
use gossip_transport::GossipTransport;
use maintenance::{CommandOutcome, OverrideCommand, OverrideError};
use proto::discovery::WatchEvent;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use upstream::call::Answer;
use upstream::memory::{MemoryBudget, MemoryPermit};

/// Why an operator's command was not carried out; nothing of it is in force.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// It is not possible.
    #[error(transparent)]
    Order(#[from] OverrideError),
    /// It could not be stored for the next process.
    #[error("the order could not be written to {OVERRIDES_FILE}: {0}")]
    NotPersisted(String),
    /// The engine is gone.
    #[error("the core has stopped")]
    Stopped,
}

/// Submits requests to the engine, which gives each exactly one final answer.
#[derive(Clone)]
pub struct Handle {
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    discovery: mpsc::UnboundedSender<DiscoveryInput>,
    next_id: Rc<Cell<u64>>,
    pub(super) open_requests: Rc<OpenRequests>,
    pub(super) counters: Rc<RefCell<RequestCounters>>,
    pub(super) budget: MemoryBudget,
    pub(super) ready: Rc<watch::Sender<bool>>,
    pub(super) draining: Rc<watch::Sender<bool>>,
    fleet: Rc<OnceCell<FleetState>>,
    /// How late the event loop runs.
    pub stall_monitor: Rc<StallMonitor>,
}

/// What callers see of the fleet.
#[derive(Debug)]
struct FleetState {
    clock: Clock,
    /// From when on new requests are rejected, as known so far.
    serve_until: Cell<Micros>,
    calls: mpsc::Sender<FleetRequest>,
}

impl Handle {
    /// The handle of an engine that receives at the other end of these channels.
    pub(super) fn new(
        inputs: mpsc::UnboundedSender<Input>, discovery: mpsc::UnboundedSender<DiscoveryInput>,
        config: &Config,
    ) -> Self {
        Self {
            inputs,
            discovery,
            next_id: Rc::default(),
            open_requests: Rc::new(OpenRequests::new(&config.bounds)),
            counters: Rc::new(RefCell::new(RequestCounters::new(config.settings.classes.len()))),
            budget: MemoryBudget::new(config.bounds.held_bytes),
            ready: Rc::default(),
            draining: Rc::default(),
            fleet: Rc::default(),
            stall_monitor: Rc::new(StallMonitor::new(Instant::now())),
        }
    }

    /// Submits a request; `None` while another request with its client's id is open. Guards against executing that one twice:
    /// cache nodes and origin distinguish requests by this id.
    #[must_use]
    pub fn submit(&self, incoming: IncomingRequest) -> Option<Ticket> {
        let client_id = incoming.call.id.clone();
        if !self.open_requests.reserve_id(client_id.clone()) {
            return None;
        }
        let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let (sender, answer) = oneshot::channel();
        let awaited = Rc::new(Cell::new(true));
        if self.open_requests.is_full() {
            self.counters.borrow_mut().count_rejected_unseen(incoming.class, Reason::NoCapacity);
            let _ = sender.send(Answer::Rejected(0)); // its receiver is alive
        } else {
            // If the engine is gone, the sender is dropped with the input, and the ticket resolves to a failure.
            let slot = AnswerSlot { sender, awaited: awaited.clone() };
            let _ = self.inputs.send(Input::Submitted(id, incoming, slot));
        }
        self.open_requests.open();
        let (inputs, open_requests) = (self.inputs.clone(), self.open_requests.clone());
        Some(Ticket { id, client_id, answer, inputs, open_requests, awaited, answered: false })
    }

    /// Reserves memory for a value that must be buffered completely; `None` if there is not enough.
    #[must_use]
    pub fn reserve_memory(&self, bytes: usize) -> Option<MemoryPermit> {
        self.budget.reserve(bytes)
    }

    /// Counts a request that its front rejected for want of memory.
    pub fn count_out_of_memory(&self, class: ClassId) {
        self.counters.borrow_mut().count_rejected_unseen(class, Reason::NoCapacity);
    }

    /// Counts a request that its front has shed, since the balancer is draining or shutting down.
    pub fn count_shed(&self, class: ClassId) {
        self.counters.borrow_mut().count_rejected_unseen(class, Reason::ShuttingDown);
    }

    /// Publishes an event of the endpoint list to the engine, ahead of all other inputs.
    pub fn handle_watch_event(&self, event: WatchEvent) {
        let _ = self.discovery.send(DiscoveryInput { event, published_at: Instant::now() });
    }

    /// The metrics, as operators fetch them; `None` if the engine is gone.
    pub async fn metrics(&self) -> Option<String> {
        let (sender, metrics) = oneshot::channel();
        let _ = self.inputs.send(Input::Operator(OperatorInput::Metrics(sender)));
        metrics.await.ok()
    }

    /// Carries out an operator's command; it is in force when this returns. Returns whether it is stored for the next process
    /// already; if not, it will be as soon as the disk responds.
    ///
    /// # Errors
    /// When it was not carried out.
    pub async fn apply_override(&self, command: OverrideCommand) -> Result<bool, CommandError> {
        let (sender, outcome) = oneshot::channel();
        let _ = self.inputs.send(Input::Operator(OperatorInput::Override(command, sender)));
        match outcome.await.map_err(|_| CommandError::Stopped)? {
            CommandOutcome::Persisted => Ok(true),
            CommandOutcome::Applied => Ok(false),
            CommandOutcome::Rejected(error) => Err(error.into()),
            CommandOutcome::NotPersisted(error) => Err(CommandError::NotPersisted(error)),
        }
    }

    /// Gives the engine the transport to the other balancers.
    pub fn attach_gossip(&self, transport: GossipTransport) {
        let _ = self.inputs.send(Input::GossipAttached(transport));
    }

    /// Whether the balancer is draining, now and whenever that changes.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Counts a reload of the configuration, and whether it was applied.
    pub fn count_reload(&self, applied: bool) {
        let mut counters = self.counters.borrow_mut();
        if applied {
            counters.reloads_ok += 1;
        } else {
            counters.reloads_failed += 1;
        }
    }

    /// Waits until the engine has an endpoint list and its overrides.
    pub async fn until_ready(&self) {
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await; // its sender lives in this handle
    }

    /// Whether the engine has an endpoint list and its overrides, and is not fenced.
    #[must_use]
    pub fn ready(&self) -> bool {
        *self.ready.borrow() && !self.fenced()
    }

    /// Whether new requests are rejected for want of a lease of the fleet. Also correct before the engine has noticed the end of
    /// the lease.
    #[must_use]
    pub fn fenced(&self) -> bool {
        self.fleet.get().is_some_and(|fleet| fleet.clock.now() >= fleet.serve_until.get())
    }

    pub(super) fn join_fleet(&self, clock: Clock, calls: mpsc::Sender<FleetRequest>) {
        let state = FleetState { clock, serve_until: Cell::new(0), calls };
        let _ = self.fleet.set(state); // a fleet is joined once
    }

    pub(super) fn set_serve_until(&self, serve_until: Micros) {
        if let Some(fleet) = self.fleet.get() {
            fleet.serve_until.set(serve_until);
        }
    }

    /// Whether a change that concerns the whole fleet may be made now; always without a fleet.
    ///
    /// # Errors
    /// Why it is held.
    pub async fn check_change(&self, kind: ChangeKind) -> Result<(), ChangeCheckError> {
        if self.fleet.get().is_none() {
            return Ok(());
        }
        let (sender, verdict) = oneshot::channel();
        let _ = self.inputs.send(Input::CheckChange(kind, sender));
        verdict.await.unwrap_or(Err(ChangeCheckError::Stopped))
    }

    /// Sends a call to the fleet thread, and returns its status and JSON body; `None` without a fleet. The caller bounds the wait.
    pub async fn call_fleet(&self, call: FleetCall) -> Option<(u16, String)> {
        let busy = || (503, r#"{"error":"the fleet's thread is busy or has stopped"}"#.to_owned());
        let fleet = self.fleet.get()?;
        let (sender, answer) = oneshot::channel();
        if fleet.calls.try_send((call, sender)).is_err() {
            return Some(busy());
        }
        Some(answer.await.unwrap_or_else(|_| busy()))
    }
}
