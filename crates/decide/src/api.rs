//! The interface of the decision module: what goes in ([`Settings`], [`Event`]) and what comes out ([`Action`]).
//!
//! Plain data only. Times are integer microseconds on the caller's clock.

pub use crate::configuration::{Class, DedupScope, Discovery, Effect, Mode, Reporting, Settings, Tenant};
pub use crate::ids::{CellId, ClassId, EndpointId, Key, Micros, RequestId, TenantId, Token, ZoneId};
pub use crate::outcome::{Outcome, Reason};

/// What the list says of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Running; accepts work.
    Ready,
    /// Finishes the work it has; accepts no more.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// State of its process.
    pub presence: Presence,
    /// Machine kind; tells the origin from cache nodes.
    pub kind: u16,
    /// Listed weight.
    pub weight: f64,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Time of its last start; 0 for long ago.
    pub online_since: Micros,
}

/// What kind of list arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list: endpoints that are not on it are gone.
    Full,
    /// The complete list from before a restart, perhaps stale.
    Cached,
    /// A poll failed, or the subscription broke; no entries.
    Failed,
}

/// A request of a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: TenantId,
    /// What it reads or writes.
    pub key: Option<Key>,
    /// Whether it changes its key.
    pub write: bool,
    /// Time until the client gives up.
    pub remaining_us: Micros,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A change of the endpoint list.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A client's request. It gets exactly one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order of [`Action::Forward`].
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency_us: Micros,
        /// Whether the request is finished.
        finished: bool,
        /// On a miss: whether the endpoint has told another request to fetch the key.
        fetch_pending: bool,
        /// Whether it was lost with a stale connection, which says nothing of the endpoint: a reused connection broke
        /// without a byte of an answer, or an open one before the request was written completely. What the outcome
        /// says of having run is still true.
        stale: bool,
    },
    /// The answer of an attempt has begun to stream to the client; the attempt is no longer the module's.
    FirstByte(RequestId),
    /// The client left: the request needs no answer any more.
    ClientLeft(RequestId),
    /// A load report is due; the module responds with [`Action::PublishLoad`].
    PublishLoad,
    /// For each endpoint, the fraction of its listed weight to place keys by, from the reports of all instances.
    WeightFactors(Vec<(EndpointId, f64)>),
    /// A timer is due.
    Timer(Token),
}

/// The load that this instance put on an endpoint since its last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its listed weight.
    pub weight: f64,
    /// Requests in flight, as the mean over the time.
    pub in_flight: f64,
    /// Requests answered, misses included.
    pub answered: u32,
    /// Requests that failed with an error, a broken connection or none.
    pub failed: u32,
}

/// What to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout; 0 for as long as the client waits.
        timeout_us: Micros,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after_us: Micros,
        /// Why.
        reason: Reason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Ask for [`Event::Timer`] after a delay.
    Timer {
        /// The delay.
        delay_us: Micros,
        /// The timer.
        token: Token,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to the endpoint list, or poll it.
    Watch,
    /// Publish these reports, of all ready cache endpoints, and return [`Event::WeightFactors`].
    PublishLoad(Vec<LoadReport>),
}
