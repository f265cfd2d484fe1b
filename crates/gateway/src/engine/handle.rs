//! The way to the core: requests go in for a ticket to their one final answer, and news, orders and looks beside them.

use super::Input;
use super::orders::ORDERS;
use crate::fleet_link::{ChangeKind, Clock, FleetCall, FleetRequest};
use crate::metrics::RequestCounters;
use crate::setup::{Bounds, Config};
use crate::stall_monitor::StallMonitor;
use bytes::Bytes;
use decide::api::{ClassId, Key, Micros, Reason, RequestId, TenantId};
use gossip_transport::GossipTransport;
use maintenance::{CommandOutcome, OverrideCommand, OverrideError};
use proto::discovery::WatchEvent;
use rustc_hash::FxHashSet;
use std::cell::{Cell, OnceCell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use upstream::call::{Answer, Call};
use upstream::memory::{MemoryBudget, MemoryPermit};

/// A request, as a front hands it over.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// What it is about.
    pub key: Option<Key>,
    /// When its last byte came.
    pub received: Instant,
    /// How long its client waits from then on.
    pub time_limit: Duration,
    /// What is passed on.
    pub call: Rc<Call>,
    /// The room for its value, where the front has taken some.
    pub memory: Option<MemoryPermit>,
}

/// Why an order was not carried out; nothing of it is in force.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// It cannot be.
    #[error(transparent)]
    Order(#[from] OverrideError),
    /// It could not be kept for the next process.
    #[error("the order could not be written to {ORDERS}: {0}")]
    NotKept(String),
    /// The core is gone.
    #[error("the core has stopped")]
    Stopped,
}

/// Submits requests to the core, which owes each exactly one final answer.
#[derive(Clone)]
pub struct Handle {
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    news: mpsc::UnboundedSender<(WatchEvent, Instant)>,
    next: Rc<Cell<u64>>,
    pub(super) claims: Rc<Claims>,
    pub(super) counters: Rc<RefCell<RequestCounters>>,
    pub(super) budget: MemoryBudget,
    pub(super) ready: Rc<watch::Sender<bool>>,
    pub(super) draining: Rc<watch::Sender<bool>>,
    fleet: Rc<OnceCell<Joined>>,
    /// How late this thread runs.
    pub stall_monitor: Rc<StallMonitor>,
}

/// What callers see of the fleet.
#[derive(Debug)]
struct Joined {
    clock: Clock,
    /// From when on nothing new is taken, as known so far.
    fence: Cell<Micros>,
    calls: mpsc::Sender<FleetRequest>,
}

/// The requests taken whose answers have not been written, and what their answers may come to.
#[derive(Debug)]
pub(super) struct Claims {
    ids: RefCell<FxHashSet<Bytes>>,
    pub(super) open: Cell<usize>,
    expected: Cell<usize>,
    most: usize,
    most_bytes: usize,
}

/// Size that an answer is expected to have at least.
const SMALL_ANSWER: usize = 4 * 1024;

impl Claims {
    fn new(bounds: &Bounds) -> Self {
        let (most, most_bytes) = (bounds.open, bounds.answer_bytes);
        let expected = Cell::new(SMALL_ANSWER);
        Self { ids: RefCell::default(), open: Cell::default(), expected, most, most_bytes }
    }
    /// Guards memory, each claim may come to hold an answer until its client has read it; by the longest of late,
    /// since by the longest possible a small balancer had room for fewer than a busy day brings.
    fn full(&self) -> bool {
        let open = self.open.get();
        open >= self.most || (open + 1) * self.expected.get() > self.most_bytes
    }
    /// Learns from an answer's size: at once from a longer one, slowly from shorter ones.
    pub(super) fn learn(&self, size: usize) {
        let expected = self.expected.get();
        self.expected.set(size.max(expected - expected / 64).max(SMALL_ANSWER));
    }
}

impl Handle {
    /// The handle of a core that takes its inputs at the other end.
    pub(super) fn new(
        inputs: mpsc::UnboundedSender<Input>, news: mpsc::UnboundedSender<(WatchEvent, Instant)>,
        config: &Config,
    ) -> Self {
        let (next, ready, draining, fleet) = Default::default();
        let claims = Rc::new(Claims::new(&config.bounds));
        let budget = MemoryBudget::new(config.bounds.held_bytes);
        let counters = Rc::new(RefCell::new(RequestCounters::new(config.settings.classes.len())));
        let heartbeat = Rc::new(StallMonitor::new(Instant::now()));
        Self {
            inputs,
            news,
            next,
            claims,
            counters,
            budget,
            ready,
            draining,
            fleet,
            stall_monitor: heartbeat,
        }
    }

    /// Hands a request over; none is taken while another with its client's id is open. Guards against a second run
    /// of that one: peers and origin tell requests apart by this id.
    #[must_use]
    pub fn submit(&self, incoming: IncomingRequest) -> Option<Ticket> {
        let name = incoming.call.id.clone();
        if !self.claims.ids.borrow_mut().insert(name.clone()) {
            return None;
        }
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (sender, answer) = oneshot::channel();
        let owed = Rc::new(Cell::new(true));
        if self.claims.full() {
            refuse_unseen(&self.counters, incoming.class, Reason::NoCapacity, sender);
        } else {
            // If the core is gone, the sender is dropped with the input and the ticket tells a failure.
            let _ =
                self.inputs.send(Input::Arrived(id, incoming, Owed { answer: sender, still: owed.clone() }));
        }
        self.claims.open.set(self.claims.open.get() + 1);
        let claims = self.claims.clone();
        Some(Ticket { id, name, answer, inputs: self.inputs.clone(), claims, owed, answered: false })
    }

    /// Room for a value that must be held whole; `None` where there is none.
    #[must_use]
    pub fn reserve_memory(&self, bytes: usize) -> Option<MemoryPermit> {
        self.budget.hold(bytes)
    }

    /// Counts a request that its front refused for want of such room.
    pub fn count_out_of_memory(&self, class: ClassId) {
        count_unseen(&self.counters, class, Reason::NoCapacity);
    }

    /// Counts a request that its front has shed, since the balancer drains or its process ends.
    pub fn count_shed(&self, class: ClassId) {
        count_unseen(&self.counters, class, Reason::ShuttingDown);
    }

    /// Tells the core what is heard of discovery, ahead of all that waits.
    pub fn handle_watch_event(&self, news: WatchEvent) {
        let _ = self.news.send((news, Instant::now()));
    }

    /// The figures, as staff fetch them; none if the core is gone.
    pub async fn metrics(&self) -> Option<String> {
        let (sender, figures) = oneshot::channel();
        let _ = self.inputs.send(Input::Look(sender));
        figures.await.ok()
    }

    /// Has an order of staff carried out; when it returns, it is in force. Yields whether it is kept for the next process
    /// already; if not, it is as soon as the disk moves.
    ///
    /// # Errors
    /// When it was not carried out.
    pub async fn apply_override(&self, order: OverrideCommand) -> Result<bool, CommandError> {
        let (sender, done) = oneshot::channel();
        let _ = self.inputs.send(Input::Order(order, sender));
        match done.await.map_err(|_| CommandError::Stopped)? {
            CommandOutcome::Persisted => Ok(true),
            CommandOutcome::Applied => Ok(false),
            CommandOutcome::Rejected(why) => Err(why.into()),
            CommandOutcome::NotPersisted(why) => Err(CommandError::NotKept(why)),
        }
    }

    /// Gives the core the way to the other balancers.
    pub fn attach_gossip(&self, talk: GossipTransport) {
        let _ = self.inputs.send(Input::GossipTransport(talk));
    }

    /// Whether the balancer is being drained, now and whenever that changes.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Counts a new configuration: whether it was taken over.
    pub fn count_reload(&self, taken_over: bool) {
        let reloads = &mut self.counters.borrow_mut().reloads;
        *if taken_over { &mut reloads.0 } else { &mut reloads.1 } += 1;
    }

    /// Waits until the core knows whom it may send to.
    pub async fn until_ready(&self) {
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await; // its sender lives in this handle
    }

    /// Whether the core knows whom it may send to.
    #[must_use]
    pub fn ready(&self) -> bool {
        *self.ready.borrow() && !self.fenced()
    }

    /// Whether nothing new is taken, for want of a lease of the fleet. Right also before the core has looked at its end.
    #[must_use]
    pub fn fenced(&self) -> bool {
        self.fleet.get().is_some_and(|fleet| fleet.clock.now() >= fleet.fence.get())
    }

    pub(super) fn join(&self, clock: Clock, calls: mpsc::Sender<FleetRequest>) {
        let _ = self.fleet.set(Joined { clock, fence: Cell::new(0), calls }); // a fleet is joined once
    }

    pub(super) fn fence_at(&self, until: Micros) {
        if let Some(fleet) = self.fleet.get() {
            fleet.fence.set(until);
        }
    }

    /// Whether a change that touches the whole fleet may be made now; always without a fleet.
    ///
    /// # Errors
    /// Why it is held.
    pub async fn check_change(&self, kind: ChangeKind) -> Result<(), String> {
        if self.fleet.get().is_none() {
            return Ok(());
        }
        let (sender, said) = oneshot::channel();
        let _ = self.inputs.send(Input::MayChange(kind, sender));
        said.await.unwrap_or_else(|_| Err("the core has stopped".into()))
    }

    /// Hands a call to the fleet's thread, and yields its status and JSON body; none without a fleet. The caller bounds the wait.
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

/// The other side of a ticket: where the answer goes, and whether it is still owed.
#[derive(Debug)]
pub(super) struct Owed {
    pub(super) answer: oneshot::Sender<Answer>,
    pub(super) still: Rc<Cell<bool>>,
}

/// A claim to one final answer. Dropping it unanswered tells the core that the client has left.
pub struct Ticket {
    id: RequestId,
    name: Bytes,
    answer: oneshot::Receiver<Answer>,
    inputs: mpsc::UnboundedSender<Input>,
    claims: Rc<Claims>,
    /// Cleared as the client leaves: its tries see it before the core has come to that news.
    owed: Rc<Cell<bool>>,
    answered: bool,
}

impl Ticket {
    /// Fails the request for its front, which can wait for no answer any more.
    pub fn give_up(&mut self) -> Answer {
        self.answered = true;
        self.owed.set(false);
        let _ = self.inputs.send(Input::GivenUp(self.id));
        Answer::Failed
    }
}

impl Future for Ticket {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(cx).map(|got| got.unwrap_or(Answer::Failed));
        self.answered |= answer.is_ready();
        answer
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.claims.open.set(self.claims.open.get() - 1);
        self.claims.ids.borrow_mut().remove(&self.name);
        self.owed.set(false);
        if !self.answered {
            let _ = self.inputs.send(Input::Left(self.id));
        }
    }
}

/// Refuses a request that the module has not heard of.
pub(super) fn refuse_unseen(
    counters: &RefCell<RequestCounters>, class: ClassId, why: Reason, answer: oneshot::Sender<Answer>,
) {
    count_unseen(counters, class, why);
    let _ = answer.send(Answer::Refused(0));
}

fn count_unseen(counters: &RefCell<RequestCounters>, class: ClassId, why: Reason) {
    let mut counters = counters.borrow_mut();
    counters.refuse(why);
    counters.answered(class, &Answer::Refused(0));
}
