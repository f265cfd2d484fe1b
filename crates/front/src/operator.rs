//! The door for operators: HTTP/1.1, one call per connection, answered from the core and never made to wait for traffic.

mod connection;

use crate::Front;
use connection::Progress;
use gateway::engine::{CommandError, Handle};
use gateway::fleet_link::{FleetCall, Proposal};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ALLOW, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use log_throttle::LogThrottle;
use maintenance::OverrideCommand;
use serde::Deserialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Callers at a time. Beyond it, the one that has kept us waiting longest for its call gives way, so that those who stay
/// and say nothing keep nobody out. The configuration keeps as many descriptors back.
pub const MOST_CALLERS: usize = 16;
/// The call that proposes a change of the calendar.
const CALENDAR: &str = "/fleet/calendar";
/// Calls that change something.
const POSTED: [&str; 5] = ["/drain", "/undrain", "/cache-hosts/disable", "/cache-hosts/enable", CALENDAR];
/// The longest body of a call.
const MOST_BODY: usize = 4 * 1024;
/// The longest proposal for the calendar: one may name hundreds of hosts.
const MOST_PROPOSAL: usize = 64 * 1024;
/// How long the fleet's thread may take to answer a call: who asks hears something within a second.
const FLEET_TIME: Duration = Duration::from_millis(900);
/// The wait after a failed accept, when descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One that has connected.
struct Caller {
    number: u64,
    progress: Rc<Cell<Progress>>,
    task: AbortHandle,
}

/// What all callers share.
struct Door {
    handle: Handle,
    front: Rc<Front>,
    callers: RefCell<VecDeque<Caller>>,
    left: Notify,
    failed: LogThrottle,
    kept_waiting: LogThrottle,
}

/// Answers callers for ever.
pub async fn serve(listener: TcpListener, handle: Handle, front: Rc<Front>) {
    let (callers, left, failed, kept_waiting) = Default::default();
    let door = Rc::new(Door { handle, front, callers, left, failed, kept_waiting });
    for number in 0.. {
        door.room().await;
        match listener.accept().await {
            Ok((stream, _)) => door.clone().attend(number, stream),
            Err(error) => {
                if let Some(more) = door.failed.line() {
                    log::warn!("operators: accepting: {error}{more}");
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
        // Guards a call that is whole against those who connect behind it: it is read before the next is let in.
        tokio::task::yield_now().await;
    }
}

/// What is wrong with a call's body.
#[derive(Debug, thiserror::Error)]
enum BadCall {
    #[error("{0}")]
    Malformed(String),
    #[error("{why}")]
    Field { why: String, field: String },
    #[error("more than {0} bytes")]
    TooLong(usize),
    #[error("the body did not come in time")]
    TooSlow,
}

impl BadCall {
    fn answer(self) -> Response<Full<Bytes>> {
        let why = self.to_string();
        match self {
            BadCall::Malformed(_) => refusal(StatusCode::BAD_REQUEST, &why),
            BadCall::Field { field, .. } => {
                let said = json!({"error": why, "field": field});
                reply(StatusCode::BAD_REQUEST, JSON, said.to_string())
            }
            BadCall::TooLong(_) => refusal(StatusCode::PAYLOAD_TOO_LARGE, &why),
            BadCall::TooSlow => refusal(StatusCode::REQUEST_TIMEOUT, &why),
        }
    }
}

impl Door {
    /// Waits for a place, at the cost of whoever has kept us waiting longest.
    async fn room(&self) {
        while self.callers.borrow().len() >= MOST_CALLERS {
            let silent =
                self.callers.borrow().iter().position(|caller| caller.progress.get() == Progress::Waiting);
            match silent.and_then(|at| self.callers.borrow_mut().remove(at)) {
                Some(caller) => {
                    caller.task.abort();
                    if let Some(more) = self.kept_waiting.line() {
                        log::warn!("operators: a caller that said nothing gave way to another{more}");
                    }
                }
                None => self.left.notified().await,
            }
        }
    }

    fn attend(self: Rc<Self>, number: u64, stream: TcpStream) {
        let progress = Rc::new(Cell::new(Progress::Waiting));
        let (door, reported) = (self.clone(), progress.clone());
        let task = tokio::task::spawn_local(async move {
            let answer = |request, until| {
                let door = door.clone();
                async move { door.answer(request, until).await }
            };
            connection::serve(stream, reported, answer).await;
            door.callers.borrow_mut().retain(|caller| caller.number != number);
            door.left.notify_one();
        });
        self.callers.borrow_mut().push_back(Caller { number, progress, task: task.abort_handle() });
    }

    /// Answers a call, whose body has to come until a time.
    async fn answer(&self, request: Request<Incoming>, until: Instant) -> Response<Full<Bytes>> {
        match (request.uri().path(), request.method()) {
            ("/ready", &Method::GET) => self.ready(),
            ("/metrics", &Method::GET) => match self.handle.metrics().await {
                Some(figures) => reply(StatusCode::OK, "text/plain; charset=utf-8", figures),
                None => refusal(StatusCode::INTERNAL_SERVER_ERROR, "the core has stopped"),
            },
            ("/fleet", &Method::GET) => self.look_at_fleet().await,
            (path, &Method::POST) if POSTED.contains(&path) => {
                let path = path.to_owned();
                self.carry_out(&path, request, until).await.unwrap_or_else(BadCall::answer)
            }
            ("/ready" | "/metrics" | "/fleet", _) => wrong_method("GET"),
            (path, _) if POSTED.contains(&path) => wrong_method("POST"),
            _ => refusal(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Carries out a call that changes something, once all of it has come.
    async fn carry_out(
        &self, path: &str, request: Request<Incoming>, until: Instant,
    ) -> Result<Response<Full<Bytes>>, BadCall> {
        let most = if path == CALENDAR { MOST_PROPOSAL } else { MOST_BODY };
        let body = body(request, most, until).await?;
        let order = match path {
            CALENDAR => return Ok(self.propose(proposal(&body)?).await),
            "/drain" => OverrideCommand::Drain,
            "/undrain" => OverrideCommand::Undrain,
            "/cache-hosts/disable" => OverrideCommand::Disable(host(&body)?),
            _ => OverrideCommand::Enable(host(&body)?),
        };
        Ok(self.order(order).await)
    }

    async fn order(&self, order: OverrideCommand) -> Response<Full<Bytes>> {
        match self.handle.apply_override(order).await {
            Ok(true) => reply(StatusCode::OK, JSON, json!({"done": true}).to_string()),
            Ok(false) => reply(StatusCode::ACCEPTED, JSON, json!({"done": true, "kept": false}).to_string()),
            Err(why @ CommandError::Order(_)) => refusal(StatusCode::NOT_FOUND, &why.to_string()),
            Err(why) => {
                log::error!("operators: {why}");
                refusal(StatusCode::INTERNAL_SERVER_ERROR, &why.to_string())
            }
        }
    }

    async fn look_at_fleet(&self) -> Response<Full<Bytes>> {
        match timeout(FLEET_TIME, self.handle.call_fleet(FleetCall::View)).await {
            Ok(answer) => fleet_said(answer),
            Err(_) => refusal(StatusCode::GATEWAY_TIMEOUT, "the fleet's thread does not answer"),
        }
    }

    async fn propose(&self, proposal: Proposal) -> Response<Full<Bytes>> {
        match timeout(FLEET_TIME, self.handle.call_fleet(FleetCall::Propose(Box::new(proposal)))).await {
            Ok(answer) => fleet_said(answer),
            // It may be agreed yet: who asks again under the same id learns that.
            Err(_) => reply(StatusCode::ACCEPTED, JSON, json!({"pending": true}).to_string()),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let why = if self.handle.fenced() {
            "fenced: no lease of the fleet is held, and nothing new is taken"
        } else if !self.handle.ready() {
            "the list of cache hosts, or what was ordered before, has not come yet"
        } else if let Some(why) = self.front.closing_reason() {
            why
        } else {
            return reply(StatusCode::OK, JSON, json!({"ready": true}).to_string());
        };
        refusal(StatusCode::SERVICE_UNAVAILABLE, why)
    }
}

fn fleet_said(answer: Option<(u16, String)>) -> Response<Full<Bytes>> {
    let Some((status, body)) = answer else { return refusal(StatusCode::NOT_FOUND, "no fleet") };
    reply(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), JSON, body)
}

/// The proposal for the calendar that a call makes, with every field as it must be.
fn proposal(body: &[u8]) -> Result<Proposal, BadCall> {
    let proposal: Proposal =
        serde_json::from_slice(body).map_err(|error| BadCall::Malformed(error.to_string()))?;
    match proposal.validate() {
        Ok(()) => Ok(proposal),
        Err(error) => Err(BadCall::Field { why: error.to_string(), field: error.field.to_string() }),
    }
}

/// A call's body, of at most so many bytes, once all of it has come.
async fn body(request: Request<Incoming>, most: usize, until: Instant) -> Result<Bytes, BadCall> {
    match timeout_at(until, Limited::new(request.into_body(), most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadCall::TooLong(most)),
        Ok(Err(error)) => Err(BadCall::Malformed(error.to_string())),
        Err(_) => Err(BadCall::TooSlow),
    }
}

/// The cache host that a call names.
fn host(body: &[u8]) -> Result<String, BadCall> {
    #[derive(Deserialize)]
    struct Call {
        who: String,
    }
    match serde_json::from_slice::<Call>(body) {
        Ok(call) => Ok(call.who),
        Err(error) => Err(BadCall::Malformed(format!("wanted {{\"who\":\"ID\"}}: {error}"))),
    }
}

const JSON: &str = "application/json";

fn reply(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
    response
}

/// A no, and why.
fn refusal(status: StatusCode, why: &str) -> Response<Full<Bytes>> {
    reply(status, JSON, json!({"error": why}).to_string())
}

fn wrong_method(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = refusal(StatusCode::METHOD_NOT_ALLOWED, &format!("this call takes {allowed}"));
    response.headers_mut().insert(ALLOW, hyper::header::HeaderValue::from_static(allowed));
    response
}
