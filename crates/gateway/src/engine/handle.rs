//! The handle to the engine: fronts submit requests, discovery publishes watch events, and the admin endpoint sends
//! commands.

use super::answer_sizes::AnswerSizes;
use super::input::{AnswerSlot, DiscoveryInput, IncomingRequest, Input, OperatorInput};
use super::open_requests::OpenRequests;
use super::overrides::OVERRIDES_FILE;
use super::ticket::Ticket;
use crate::fleet_link::{ChangeCheckError, ChangeKind, Clock, FleetCall, FleetRequest};
use crate::metrics::RequestCounters;
use crate::setup::Config;
use crate::stall_monitor::StallMonitor;
use bytes::Bytes;
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

/// The memory that an open request needs beside the parts of its command: its state, its attempts, and a response
/// buffer that is not reserved by itself, or the encoded answer.
const REQUEST_BYTES: usize = 6 * 1024;
/// How often the words of a command other than its value are copied: for the client's id, and for attempts.
const HEAD_COPIES: usize = 4;

/// Why an operator's command was not applied. No part of the command is in force.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command is invalid or not possible in the current state.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The overrides file could not be written, so that the command would be lost with the process.
    #[error("the order could not be written to {OVERRIDES_FILE}: {0}")]
    NotPersisted(String),
    /// The engine has stopped.
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
    /// The memory for commands: the buffers that they were read into.
    command_memory: MemoryBudget,
    /// The memory for open requests and their answers.
    pub(super) answer_memory: MemoryBudget,
    pub(super) answer_sizes: Rc<AnswerSizes>,
    pub(super) ready: Rc<watch::Sender<bool>>,
    pub(super) draining: Rc<watch::Sender<bool>>,
    fleet: Rc<OnceCell<FleetState>>,
    /// Measures stalls of the event loop.
    pub stall_monitor: Rc<StallMonitor>,
}

/// The state of the fleet that handles need.
#[derive(Debug)]
struct FleetState {
    clock: Clock,
    /// New requests are rejected from this time on, as of the engine's last poll.
    serve_until: Cell<Micros>,
    calls: mpsc::Sender<FleetRequest>,
}

impl Handle {
    /// Creates the handle of the engine that receives from these channels.
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
            command_memory: MemoryBudget::new(config.bounds.held_bytes),
            answer_memory: MemoryBudget::new(config.bounds.answer_bytes),
            answer_sizes: Rc::new(AnswerSizes::new(config.settings.classes.len())),
            ready: Rc::default(),
            draining: Rc::default(),
            fleet: Rc::default(),
            stall_monitor: Rc::new(StallMonitor::new(Instant::now())),
        }
    }

    /// Submits a request. Returns `None` while another request with the same client id is open: cache nodes and the
    /// origin identify requests by this id, and could execute the other request twice.
    #[must_use]
    pub fn submit(&self, incoming: IncomingRequest) -> Option<Ticket> {
        // A copy: a slice of the command would keep its value in memory until the answer is written.
        let client_id = Bytes::copy_from_slice(&incoming.call.id);
        let needed = REQUEST_BYTES + HEAD_COPIES * incoming.call.head_bytes();
        let reserved = self.answer_memory.reserve(needed);
        let client_id = Rc::new(self.open_requests.reserve_id(client_id)?);
        let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let (sender, answer) = oneshot::channel();
        let awaited = Rc::new(Cell::new(true));
        let is_full = reserved.is_none() || self.open_requests.is_full();
        let memory = Rc::new(reserved.unwrap_or_else(|| self.answer_memory.empty_permit()));
        if is_full {
            self.counters.borrow_mut().count_rejected_before_routing(incoming.class, Reason::NoCapacity);
            let _ = sender.send(Answer::Rejected(0)); // cannot fail: the receiver is alive
        } else {
            // If the engine has stopped, the sender is dropped with the input, and the ticket resolves to
            // `Answer::Failed`.
            let slot = AnswerSlot {
                sender,
                memory: memory.clone(),
                id: client_id.clone(),
                awaited: awaited.clone(),
            };
            let _ = self.inputs.send(Input::Submitted(id, incoming, slot));
        }
        self.open_requests.open();
        let (inputs, open_requests) = (self.inputs.clone(), self.open_requests.clone());
        Some(Ticket { id, _id: client_id, answer, inputs, open_requests, awaited, answered: false, memory })
    }

    /// Reserves memory for a command. Returns `None` if its memory budget is exhausted.
    #[must_use]
    pub fn reserve_command_memory(&self, bytes: usize) -> Option<MemoryPermit> {
        self.command_memory.reserve(bytes)
    }

    /// Returns whether a large value is expected as the answer to a request of this class.
    #[must_use]
    pub fn expects_large_answer(&self, class: ClassId) -> bool {
        self.answer_sizes.expects_large(class)
    }

    /// Returns whether a large value is expected as the answer to requests of any class.
    #[must_use]
    pub fn expects_large_answers(&self) -> bool {
        self.answer_sizes.expects_any_large()
    }

    /// Returns the memory budget for open requests and their answers.
    #[must_use]
    pub fn answer_memory(&self) -> &MemoryBudget {
        &self.answer_memory
    }

    /// Counts a request that its front rejected because the memory budget was exhausted.
    pub fn count_out_of_memory(&self, class: ClassId) {
        self.counters.borrow_mut().count_rejected_before_routing(class, Reason::NoCapacity);
    }

    /// Counts a request that its front rejected because the balancer is draining or shutting down.
    pub fn count_shed(&self, class: ClassId) {
        self.counters.borrow_mut().count_rejected_before_routing(class, Reason::ShuttingDown);
    }

    /// Sends a watch event of discovery to the engine, which handles it before all other inputs.
    pub fn publish_watch_event(&self, event: WatchEvent) {
        let _ = self.discovery.send(DiscoveryInput { event, published_at: Instant::now() });
    }

    /// Returns the metrics in the text format of the admin endpoint, or `None` if the engine has stopped.
    pub async fn metrics(&self) -> Option<String> {
        let (sender, metrics) = oneshot::channel();
        let _ = self.inputs.send(Input::Operator(OperatorInput::Metrics(sender)));
        metrics.await.ok()
    }

    /// Applies an operator's command. The command is in force when this returns. Returns whether the overrides file is
    /// written: `true` if it is, `false` if the write is still pending because the disk is stalled.
    ///
    /// # Errors
    /// Returns an error if the command was not applied.
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

    /// Attaches the transport over which the engine exchanges load reports with the other balancers.
    pub fn attach_gossip(&self, transport: GossipTransport) {
        let _ = self.inputs.send(Input::GossipAttached(transport));
    }

    /// Returns a watch on whether the balancer is draining.
    #[must_use]
    pub fn subscribe_draining(&self) -> watch::Receiver<bool> {
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

    /// Waits until the engine is ready: it has an endpoint list and its overrides, and is not fenced.
    pub async fn wait_until_ready(&self) {
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await; // cannot fail: this handle owns the sender
    }

    /// Returns whether the engine has an endpoint list and its overrides, and is not fenced.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow() && !self.is_fenced()
    }

    /// Returns whether new requests are rejected because this balancer holds no lease of the fleet. Correct even before
    /// the engine has polled the end of the lease.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.fleet.get().is_some_and(|fleet| fleet.clock.now() >= fleet.serve_until.get())
    }

    pub(super) fn join_fleet(&self, clock: Clock, calls: mpsc::Sender<FleetRequest>) {
        let state = FleetState { clock, serve_until: Cell::new(0), calls };
        let _ = self.fleet.set(state); // cannot fail: a fleet is joined once
    }

    pub(super) fn set_serve_until(&self, serve_until: Micros) {
        if let Some(fleet) = self.fleet.get() {
            fleet.serve_until.set(serve_until);
        }
    }

    /// Checks whether a change that concerns the whole fleet may be made now. Without a fleet, it always may.
    ///
    /// # Errors
    /// Returns why the change is held, or that the engine has stopped.
    pub async fn check_change(&self, kind: ChangeKind) -> Result<(), ChangeCheckError> {
        if self.fleet.get().is_none() {
            return Ok(());
        }
        let (sender, verdict) = oneshot::channel();
        let _ = self.inputs.send(Input::CheckChange(kind, sender));
        verdict.await.unwrap_or(Err(ChangeCheckError::Stopped))
    }

    /// Sends a call to the fleet thread. Returns the status and JSON body of its answer, or `None` without a fleet.
    /// This has no timeout: the caller bounds the wait.
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
