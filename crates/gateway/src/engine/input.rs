//! What reaches the engine from other tasks: requests, attempts, watch events, and calls of the admin endpoint.

use super::fleet::AuditedVersion;
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

/// A request, as a front hands it over.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// What it is about.
    pub key: Option<Key>,
    /// When its last byte arrived.
    pub received: Instant,
    /// How long its client waits from then on.
    pub time_limit: Duration,
    /// What is forwarded.
    pub call: Rc<Call>,
    /// The memory of its value, where the front has reserved some.
    pub memory: Option<MemoryPermit>,
}

/// Where the final answer of a request goes.
#[derive(Debug)]
pub(super) struct AnswerSlot {
    pub(super) sender: oneshot::Sender<Answer>,
    /// Whether the client still waits. Shared with the client's side and with the attempts.
    pub(super) awaited: Rc<Cell<bool>>,
}

/// An attempt that is in flight.
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
    /// The client has disconnected.
    ClientLeft(RequestId),
    /// The front has failed the request, and answers its client itself.
    Abandoned(RequestId),
    /// The answer of an attempt is large, and its value follows.
    AttemptStreaming(InFlightAttempt, Box<StreamedValue>),
    AttemptEnded(InFlightAttempt, AttemptResult),
    /// A connection was opened ahead of use, or could not be.
    Preconnected(Rc<Endpoint>, Option<Connection>),
    Discovery(DiscoveryInput),
    Operator(OperatorInput),
    GossipAttached(GossipTransport),
    /// Asks whether a planned change may be made.
    CheckChange(ChangeKind, oneshot::Sender<Result<(), ChangeCheckError>>),
}

/// An event of the endpoint list.
pub(super) struct DiscoveryInput {
    pub(super) event: WatchEvent,
    pub(super) published_at: Instant,
}

/// Calls of the admin endpoint, and operations on the file of overrides.
pub(super) enum OperatorInput {
    Metrics(oneshot::Sender<String>),
    Override(OverrideCommand, oneshot::Sender<CommandOutcome>),
    /// The file was read; `None` if it is unchanged or absent.
    OverridesRead(io::Result<Option<OperatorOverrides>>),
    OverridesWritten(Result<(), WriteError>),
}

/// The queues of the engine.
pub(super) struct Inbox {
    pub(super) inputs: mpsc::UnboundedReceiver<Input>,
    /// Watch events overtake all other inputs: no request may go to an endpoint that started draining 250 ms earlier.
    pub(super) discovery: mpsc::UnboundedReceiver<DiscoveryInput>,
}

impl Inbox {
    /// The next input; `None` if all senders are gone.
    pub(super) async fn next(&mut self) -> Option<Input> {
        tokio::select! {
            biased;
            Some(event) = self.discovery.recv() => Some(Input::Discovery(event)),
            input = self.inputs.recv() => input,
        }
    }
}
