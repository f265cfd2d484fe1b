//! The interface of the decision module: its input ([`Settings`], [`Event`]) and its output ([`Action`]).
//!
//! All types are plain data. Times are whole microseconds on the caller's clock.

pub use crate::configuration::{Class, DedupScope, Discovery, Effect, Mode, Reporting, Settings, Tenant};
pub use crate::ids::{CellId, ClassId, EndpointId, Key, Micros, RequestId, TenantId, Token, ZoneId};
pub use crate::outcome::{Outcome, Reason};

/// The state of an endpoint's process, according to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Running; accepts new requests.
    Ready,
    /// Finishes its current requests and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// State of its process.
    pub state: EndpointState,
    /// Kind of machine, which distinguishes the origin from cache nodes.
    pub kind: u16,
    /// Listed weight of the endpoint.
    pub weight: f64,
    /// Cell of the endpoint.
    pub cell: CellId,
    /// Zone of the endpoint.
    pub zone: ZoneId,
    /// Time of the endpoint's last start; 0 if that was long ago.
    pub started_at: Micros,
}

/// The kind of a received endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list: endpoints that are not on it were removed.
    Full,
    /// The complete list as saved before a restart; it may be out of date.
    Cached,
    /// No list: a poll failed, or the subscription broke.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request; ignored if the settings name no tenants.
    pub tenant: TenantId,
    /// The key that is read or written, if the request has one.
    pub key: Option<Key>,
    /// Whether the request is a write.
    pub write: bool,
    /// Time until the client gives up on the request.
    pub remaining_us: Micros,
}

/// An input of the decision module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An endpoint list was received, or could not be received.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A client's request arrived. It gets exactly one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order of [`Action::Forward`].
        attempt: u16,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency_us: Micros,
        /// Whether the request is finished.
        finished: bool,
        /// On a miss: whether the endpoint has already told another request to fetch the key.
        fetch_pending: bool,
        /// Whether the response may be a late second copy of an earlier response on the same connection. `outcome` then
        /// does not prove that the request never ran.
        doubtful: bool,
        /// Whether the attempt was lost with a stale connection, which says nothing about the endpoint: a reused
        /// connection broke before the first byte of an answer, or an open connection broke before the request was
        /// written completely. `outcome` still tells whether the request may have run.
        stale: bool,
    },
    /// The answer of an attempt has begun to stream to the client; the module leaves the attempt alone from now on.
    FirstByte(RequestId),
    /// The client left; the request needs no answer any more.
    ClientLeft(RequestId),
    /// A load report is due; the module responds with [`Action::PublishLoad`].
    PublishLoad,
    /// Weight factors from the load reports of all instances: the fraction of its listed weight by which each endpoint
    /// is assigned keys.
    WeightFactors(Vec<(EndpointId, f64)>),
    /// A timer that [`Action::Timer`] asked for is due.
    Timer(Token),
}

/// The load that this instance put on an endpoint since its last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Weight of the endpoint, as reduced by slow start: its listed weight if listed weights are stable, 1 otherwise.
    pub weight: f64,
    /// Mean number of requests in flight since the last report.
    pub in_flight: f64,
    /// Number of requests answered, misses included.
    pub answered: u32,
    /// Number of requests that failed with an error, a broken connection or no connection.
    pub failed: u32,
}

/// An instruction to the caller. The caller carries out actions in their order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; 0 to wait as long as the client does.
        timeout_us: Micros,
    },
    /// Final answer: the request is rejected, and a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after_us: Micros,
        /// Reason for the rejection.
        reason: Reason,
    },
    /// Final answer: the request failed, and may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Reason for the failure.
        reason: Reason,
    },
    /// Cancel an attempt: stop waiting for its answer.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Ask for [`Event::Timer`] after a delay.
    Timer {
        /// Delay until the timer is due.
        delay_us: Micros,
        /// Token to return in the event.
        token: Token,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to the endpoint list, or poll it once.
    WatchEndpoints,
    /// Publish load reports of all ready cache endpoints, and return [`Event::WeightFactors`].
    PublishLoad(Vec<LoadReport>),
}
