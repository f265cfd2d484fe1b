//! Inputs of the engine from other tasks: requests, results of attempts, watch events, and calls of the admin endpoint.

use super::fleet::AuditedVersion;
use super::open_requests::IdReservation;
use crate::fleet_link::{ChangeCheckError, ChangeKind};
use decide::api::{ClassId, Key, RequestId, TenantId};
use gossip_transport::GossipTransport;
use maintenance::{CommandOutcome, OperatorOverrides, OverrideCommand, WriteError};
use proto::discovery::WatchEvent;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use upstream::call::{Answer, Call};
use upstream::connection::{AttemptResult, Connection, StreamedValue};
use upstream::endpoints::Endpoint;
use upstream::memory::MemoryPermit;

/// A request as submitted by a front.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The class of the request.
    pub class: ClassId,
    /// The tenant that the request belongs to.
    pub tenant: TenantId,
    /// The key that is read or written, if any.
    pub key: Option<Key>,
    /// When the last byte of the request arrived.
    pub received: Instant,
    /// How long the client waits for the answer, from `received` on.
    pub time_limit: Duration,
    /// The parts of the request that are forwarded to an endpoint.
    pub call: Rc<Call>,
    /// The memory reserved for the buffer that the parts of the request are slices of; `None` if the buffer is small.
    pub memory: Option<Rc<MemoryPermit>>,
}

/// The receiving side of the final answer of a request.
#[derive(Debug)]
pub(super) struct AnswerSlot {
    pub(super) sender: oneshot::Sender<Answer>,
    /// The memory reserved for the state of the request, and for a small answer.
    pub(super) memory: Rc<MemoryPermit>,
    /// The client's id of the request.
    pub(super) id: Rc<IdReservation>,
    /// Whether the client still waits for the answer. Shared with the ticket and with the attempts.
    pub(super) awaited: Rc<Cell<bool>>,
}

/// An attempt in flight.
#[doc(hidden)]
#[derive(Debug, Clone)]
pub struct InFlightAttempt {
    pub(super) request: RequestId,
    /// The number of the attempt within its request.
    pub(super) number: u16,
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) sent_at: Instant,
    pub(super) audited_version: Option<AuditedVersion>,
}

/// An input of the engine.
pub(super) enum Input {
    /// A front has submitted a request.
    Submitted(RequestId, IncomingRequest, AnswerSlot),
    /// The client has disconnected before the answer.
    ClientLeft(RequestId),
    /// The front has given up waiting, and answers its client with a failure itself.
    Abandoned(RequestId),
    /// The response to an attempt is large: its head has been read, and its value follows.
    AttemptStreaming(InFlightAttempt, Box<StreamedValue>),
    /// An attempt has ended.
    AttemptEnded(InFlightAttempt, AttemptResult),
    /// A connection was opened ahead of its first attempt; `None` if connecting failed.
    Preconnected(Rc<Endpoint>, Option<Connection>),
    Discovery(DiscoveryInput),
    Operator(OperatorInput),
    GossipAttached(GossipTransport),
    /// Checks whether a planned change may be made now.
    CheckChange(ChangeKind, oneshot::Sender<Result<(), ChangeCheckError>>),
}

/// A watch event of discovery.
pub(super) struct DiscoveryInput {
    pub(super) event: WatchEvent,
    pub(super) published_at: Instant,
}

/// Calls of the admin endpoint, and results of operations on the overrides file.
pub(super) enum OperatorInput {
    Metrics(oneshot::Sender<String>),
    Override(OverrideCommand, oneshot::Sender<CommandOutcome>),
    /// The overrides file was read; `None` if it is unchanged or absent.
    OverridesRead(io::Result<Option<OperatorOverrides>>),
    OverridesWritten(Result<(), WriteError>),
}

/// The input queues of the engine.
pub(super) struct Inbox {
    pub(super) inputs: mpsc::UnboundedReceiver<Input>,
    /// Watch events are handled before all other inputs: from 250 ms after an endpoint has started draining, no request
    /// may be sent to it.
    pub(super) discovery: mpsc::UnboundedReceiver<DiscoveryInput>,
}

impl Inbox {
    /// Waits for the next input. Returns `None` if all senders are dropped.
    pub(super) async fn next(&mut self) -> Option<Input> {
        tokio::select! {
            biased;
            Some(event) = self.discovery.recv() => Some(Input::Discovery(event)),
            input = self.inputs.recv() => input,
        }
    }
}
