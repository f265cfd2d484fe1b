//! Handles the calls of the admin endpoint.

use super::response;
use crate::front::Front;
use gateway::engine::{CommandError, Handle};
use gateway::fleet_link::{FleetCall, Proposal};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use maintenance::OverrideCommand;
use serde::Deserialize;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

/// The path of the call that proposes a change of the calendar.
const CALENDAR: &str = "/fleet/calendar";
/// The paths of the calls that change state.
const POST_CALLS: [&str; 5] = ["/drain", "/undrain", "/cache-hosts/disable", "/cache-hosts/enable", CALENDAR];
/// The longest body of a call other than a proposal.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// The longest body of a proposal for the calendar, which may name hundreds of cache nodes.
const MAX_PROPOSAL_BYTES: usize = 64 * 1024;
/// How long the fleet's thread may take to answer a call, so that the caller gets a response within a second.
const FLEET_TIMEOUT: Duration = Duration::from_millis(900);

/// The reason why the body of a call is rejected.
#[derive(Debug, Error)]
enum BodyError {
    #[error("{0}")]
    Malformed(String),
    #[error("{reason}")]
    Field { reason: String, field: String },
    #[error("more than {0} bytes")]
    TooLong(usize),
    #[error("the body did not come in time")]
    TooSlow,
}

impl BodyError {
    fn into_response(self) -> Response<Full<Bytes>> {
        let message = self.to_string();
        match self {
            BodyError::Malformed(_) => response::error(StatusCode::BAD_REQUEST, &message),
            BodyError::Field { field, .. } => {
                response::json(StatusCode::BAD_REQUEST, &json!({"error": message, "field": field}))
            }
            BodyError::TooLong(_) => response::error(StatusCode::PAYLOAD_TOO_LARGE, &message),
            BodyError::TooSlow => response::error(StatusCode::REQUEST_TIMEOUT, &message),
        }
    }
}

/// Answers the calls of operators.
pub(super) struct CallHandler {
    handle: Handle,
    front: Rc<Front>,
}

impl CallHandler {
    /// Creates a handler that answers from the core and the front.
    pub(super) fn new(handle: Handle, front: Rc<Front>) -> Self {
        Self { handle, front }
    }

    /// Answers a call. Its body must arrive by `until`.
    pub(super) async fn answer(&self, request: Request<Incoming>, until: Instant) -> Response<Full<Bytes>> {
        match (request.uri().path(), request.method()) {
            ("/ready", &Method::GET) => self.ready(),
            ("/metrics", &Method::GET) => self.metrics().await,
            ("/fleet", &Method::GET) => self.view_fleet().await,
            (path, &Method::POST) if POST_CALLS.contains(&path) => {
                let path = path.to_owned();
                let changed = self.change(&path, request, until).await;
                changed.unwrap_or_else(BodyError::into_response)
            }
            ("/ready" | "/metrics" | "/fleet", _) => response::wrong_method("GET"),
            (path, _) if POST_CALLS.contains(&path) => response::wrong_method("POST"),
            _ => response::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Reads the body of a call that changes state, and carries out the call.
    async fn change(
        &self, path: &str, request: Request<Incoming>, until: Instant,
    ) -> Result<Response<Full<Bytes>>, BodyError> {
        let max_bytes = if path == CALENDAR { MAX_PROPOSAL_BYTES } else { MAX_BODY_BYTES };
        let body = read_body(request, max_bytes, until).await?;
        let command = match path {
            CALENDAR => return Ok(self.propose(parse_proposal(&body)?).await),
            "/drain" => OverrideCommand::Drain,
            "/undrain" => OverrideCommand::Undrain,
            "/cache-hosts/disable" => OverrideCommand::Disable(parse_host(&body)?),
            _ => OverrideCommand::Enable(parse_host(&body)?),
        };
        Ok(self.apply_override(command).await)
    }

    async fn apply_override(&self, command: OverrideCommand) -> Response<Full<Bytes>> {
        match self.handle.apply_override(command).await {
            Ok(true) => response::json(StatusCode::OK, &json!({"done": true})),
            Ok(false) => response::json(StatusCode::ACCEPTED, &json!({"done": true, "kept": false})),
            Err(error @ CommandError::Override(_)) => {
                response::error(StatusCode::NOT_FOUND, &error.to_string())
            }
            Err(error) => {
                log::error!("operators: {error}");
                response::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
            }
        }
    }

    async fn metrics(&self) -> Response<Full<Bytes>> {
        match self.handle.metrics().await {
            Some(metrics) => response::text(metrics),
            None => response::error(StatusCode::INTERNAL_SERVER_ERROR, "the core has stopped"),
        }
    }

    async fn view_fleet(&self) -> Response<Full<Bytes>> {
        match timeout(FLEET_TIMEOUT, self.handle.call_fleet(FleetCall::View)).await {
            Ok(answer) => fleet_response(answer),
            Err(_) => response::error(StatusCode::GATEWAY_TIMEOUT, "the fleet's thread does not answer"),
        }
    }

    async fn propose(&self, proposal: Proposal) -> Response<Full<Bytes>> {
        let call = FleetCall::Propose(Box::new(proposal));
        match timeout(FLEET_TIMEOUT, self.handle.call_fleet(call)).await {
            Ok(answer) => fleet_response(answer),
            // The proposal may still be accepted: a caller that repeats it with the same id gets the outcome.
            Err(_) => response::json(StatusCode::ACCEPTED, &json!({"pending": true})),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let reason = if self.handle.is_fenced() {
            "fenced: no lease of the fleet is held, and nothing new is taken"
        } else if !self.handle.is_ready() {
            "the list of cache hosts, or what was ordered before, has not come yet"
        } else if let Some(reason) = self.front.closing_reason() {
            reason
        } else {
            return response::json(StatusCode::OK, &json!({"ready": true}));
        };
        response::error(StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

/// Converts the answer of the fleet's thread, a status and a JSON body, to a response; `None` means that there is no
/// fleet.
fn fleet_response(answer: Option<(u16, String)>) -> Response<Full<Bytes>> {
    let Some((status, body)) = answer else { return response::error(StatusCode::NOT_FOUND, "no fleet") };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response::encoded_json(status, body)
}

/// Parses and validates a proposal for the calendar.
fn parse_proposal(body: &[u8]) -> Result<Proposal, BodyError> {
    let proposal: Proposal =
        serde_json::from_slice(body).map_err(|error| BodyError::Malformed(error.to_string()))?;
    match proposal.validate() {
        Ok(()) => Ok(proposal),
        Err(error) => Err(BodyError::Field { reason: error.to_string(), field: error.field.to_string() }),
    }
}

/// Parses the id of the cache node that a call names.
fn parse_host(body: &[u8]) -> Result<String, BodyError> {
    #[derive(Deserialize)]
    struct HostCall {
        who: String,
    }
    match serde_json::from_slice::<HostCall>(body) {
        Ok(call) => Ok(call.who),
        Err(error) => Err(BodyError::Malformed(format!("wanted {{\"who\":\"ID\"}}: {error}"))),
    }
}

/// Reads the body of a call, which may have at most `max_bytes` and must arrive by `until`.
async fn read_body(request: Request<Incoming>, max_bytes: usize, until: Instant) -> Result<Bytes, BodyError> {
    match timeout_at(until, Limited::new(request.into_body(), max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong(max_bytes)),
        Ok(Err(error)) => Err(BodyError::Malformed(error.to_string())),
        Err(_) => Err(BodyError::TooSlow),
    }
}
