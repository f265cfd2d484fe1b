//! A single attempt: connects if necessary, writes the request, and reads the response, within a deadline.

use super::dial::dial;
use super::http_response::read_http;
use super::log_throttles::AttemptLogThrottles;
use super::pools::ConnectionSource;
use super::request::EncodedRequest;
use super::resp_response::read_resp;
use super::response::{LargeResponse, Response, ResponseError};
use super::result::AttemptResult;
use super::send::{LastByte, SendError, SendPermit, send_request};
use super::socket::Connection;
use super::streamed::{StreamEnd, StreamedValue};
use crate::call::Call;
use crate::endpoints::Endpoint;
use crate::memory::MemoryBudget;
use decide::api::Outcome;
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

/// One attempt of a request at one endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint that the request is sent to.
    pub endpoint: Rc<Endpoint>,
    /// The request to send.
    pub call: Rc<Call>,
    /// The connection to use.
    pub source: ConnectionSource,
    /// The timeout for connecting.
    pub connect_timeout: Duration,
    /// The time at which this balancer stops waiting for the response.
    pub deadline: Instant,
    /// Whether the request may still be sent.
    pub permit: SendPermit,
    /// Whether the request must never be executed twice. Its last byte is then written only after the connection has
    /// shown no fault for a while.
    pub is_non_idempotent: bool,
    /// Limits on the log lines of attempts.
    pub throttles: Rc<AttemptLogThrottles>,
    /// The memory budget for responses.
    pub budget: MemoryBudget,
    /// The number of attempts whose request was written completely. Incremented by this attempt.
    pub written_count: Rc<Cell<u64>>,
}

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Connecting,
    Writing,
    Written,
    /// The response is being streamed to the client. Neither the deadline nor a cancellation ends the attempt.
    Streaming,
}

impl Attempt {
    /// Runs the attempt. The connection is closed unless it is in the result. `on_streaming` receives a large value
    /// whose bytes still have to arrive: the attempt counts as served from then on, and ends when the value has been
    /// read.
    pub async fn run(
        self, cancelled: oneshot::Receiver<()>, on_streaming: impl FnOnce(Box<StreamedValue>),
    ) -> AttemptResult {
        let (deadline, window_ends) = (self.deadline, self.permit.deduplication_ends);
        let stage = Cell::new(Stage::Connecting);
        let exchange = self.exchange(&stage, on_streaming);
        tokio::pin!(exchange);
        let outcome = tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled,
            () = wait_for_window_end(window_ends, &stage) => Outcome::NotSent,
            result = timeout_at(deadline, &mut exchange) => match result {
                Ok(result) => return result,
                Err(_) => Outcome::Timeout,
            }
        };
        match (outcome, stage.get()) {
            (_, Stage::Streaming) => exchange.await,
            // The request's deadline came before the connect timeout, so the endpoint is not known to be unreachable.
            (Outcome::Timeout, Stage::Connecting) => Outcome::NotSent.into(),
            // A request that was not written completely was not executed.
            (Outcome::Timeout, Stage::Writing) => Outcome::ConnectFailed.into(),
            _ => outcome.into(),
        }
    }

    async fn exchange(
        mut self, stage: &Cell<Stage>, on_streaming: impl FnOnce(Box<StreamedValue>),
    ) -> AttemptResult {
        let source = std::mem::replace(&mut self.source, ConnectionSource::Unavailable);
        let is_reused = matches!(source, ConnectionSource::Idle(_));
        let mut connection = match self.open_connection(source).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        if !self.endpoint.is_ready() {
            return Outcome::Rejected.into(); // the endpoint started to drain or was removed while connecting
        }
        if self.permit.check(self.deadline).is_err() {
            // Nothing was written, so the connection can serve another request.
            return AttemptResult { connection: Some(connection), ..Outcome::NotSent.into() };
        }
        stage.set(Stage::Writing);
        if let Err(error) = self.send(&mut connection).await {
            return unsent_result(error);
        }
        stage.set(Stage::Written);
        self.written_count.set(self.written_count.get() + 1);
        let written_at = Instant::now();
        connection.begin_response(&self.budget);
        let doubtful = connection.has_carried_response();
        match self.read_response(&mut connection).await {
            Ok(Response::Complete { mut result, reusable }) => {
                connection.record_response(written_at);
                result.keep_memory(connection.take_memory());
                AttemptResult { doubtful, connection: reusable.then_some(connection), ..result }
            }
            Ok(Response::Large(head)) => {
                let (value, ended) = StreamedValue::from_connection(&head, connection, written_at);
                stage.set(Stage::Streaming);
                on_streaming(Box::new(value));
                self.finish_streaming(&head, ended).await
            }
            Err(ResponseError::Reset) => {
                let stale = is_reused && connection.buffer.is_empty();
                AttemptResult { stale, ..Outcome::Reset.into() }
            }
            Err(error) => {
                self.log_response_error(&error);
                Outcome::Error.into()
            }
        }
    }

    async fn open_connection(&self, source: ConnectionSource) -> Result<Connection, Outcome> {
        if let ConnectionSource::Idle(connection) = &source
            && let Some(rests_until) = connection.rests_until(Instant::now())
        {
            sleep_until(rests_until).await;
        }
        let (_replaced, permit) = match source {
            ConnectionSource::Idle(connection) if connection.has_no_input() => return Ok(connection),
            // Input has arrived since the connection was checked out. The connection is closed when its replacement is
            // open.
            ConnectionSource::Idle(connection) => {
                let (stream, permit) = connection.into_parts();
                (Some(stream), permit)
            }
            ConnectionSource::Dial(permit) => (None, permit),
            ConnectionSource::Unavailable => {
                // The connection limit of this balancer is reached. This says nothing about the endpoint's health, and
                // an attempt at another endpoint would fail in the same way.
                if let Some(more) = self.throttles.no_connection.admit_line() {
                    log::warn!("upstream: endpoint {}: no connection available{more}", self.endpoint.name);
                }
                return Err(Outcome::NotSent);
            }
        };
        dial(permit, &self.endpoint, self.connect_timeout).await.ok_or(Outcome::ConnectFailed)
    }

    async fn send(&self, connection: &mut Connection) -> Result<(), SendError> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let time_limit_ms = time_left.as_millis().max(1) as u64;
        let request = EncodedRequest::new(&self.call, &self.endpoint, time_limit_ms);
        let last_byte = if self.is_non_idempotent { LastByte::Delayed } else { LastByte::Immediate };
        send_request(connection, &request, last_byte, || self.permit.check(self.deadline)).await
    }

    async fn read_response(&self, connection: &mut Connection) -> Result<Response, ResponseError> {
        if self.endpoint.is_origin {
            read_http(connection, &self.budget).await
        } else {
            read_resp(connection, &self.endpoint.name, &self.throttles).await
        }
    }

    /// Waits until the response with a streamed value has been read.
    async fn finish_streaming(
        &self, head: &LargeResponse, ended: oneshot::Receiver<StreamEnd>,
    ) -> AttemptResult {
        match ended.await {
            Ok(StreamEnd::Complete(connection)) => {
                AttemptResult { connection: connection.filter(|_| head.reusable), ..Outcome::Ok.into() }
            }
            Ok(StreamEnd::Malformed(error)) => {
                self.log_response_error(&error.into());
                Outcome::Error.into()
            }
            // The connection broke before the end of the response, or the client left.
            Err(_) => Outcome::Reset.into(),
        }
    }

    fn log_response_error(&self, error: &ResponseError) {
        let name = &self.endpoint.name;
        match error {
            ResponseError::Reset => {}
            ResponseError::Malformed(error) => {
                if let Some(more) = self.throttles.malformed_response.admit_line() {
                    log::warn!("upstream: endpoint {name}: malformed response: {error}{more}");
                }
            }
            ResponseError::OutOfMemory => {
                if let Some(more) = self.throttles.no_memory.admit_line() {
                    log::warn!("upstream: endpoint {name}: no memory for a response{more}");
                }
            }
        }
    }
}

/// Returns the result of an attempt whose request was not written completely.
fn unsent_result(error: SendError) -> AttemptResult {
    match error {
        SendError::Revoked => Outcome::NotSent.into(),
        SendError::DeadlinePassed => Outcome::ConnectFailed.into(),
        // The endpoint had accepted the connection, so it is not unreachable.
        SendError::Broken => AttemptResult { stale: true, ..Outcome::ConnectFailed.into() },
    }
}

/// Waits for the end of the deduplication window. Waits forever if there is no window, or if the request is written
/// before its end.
async fn wait_for_window_end(window_ends: Option<Instant>, stage: &Cell<Stage>) {
    match window_ends {
        Some(end) => sleep_until(end).await,
        None => pending().await,
    }
    if stage.get() >= Stage::Written {
        pending().await
    }
}
