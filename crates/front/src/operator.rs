//! The door for operators: HTTP/1.1, one call per connection, answered from the core and never made to wait for traffic.

use crate::Front;
use gateway::engine::{Handle, Unheeded};
use gateway::fleet::{Call as FleetCall, Proposal};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ALLOW, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use maintenance::Order;
use seldom::Seldom;
use serde::Deserialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Callers at a time. Beyond it, the one that has kept us waiting longest for its call gives way, so that those who stay
/// and say nothing keep nobody out. The configuration keeps as many descriptors back.
pub const MOST_CALLERS: usize = 16;
/// How long a call may take, from connecting to the last byte of its answer.
const CALL_TIME: Duration = Duration::from_secs(2);
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
    /// Whether its call has come, and is being answered.
    called: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// What all callers share.
struct Door {
    handle: Handle,
    front: Rc<Front>,
    callers: RefCell<VecDeque<Caller>>,
    left: Notify,
    failed: Seldom,
    kept_waiting: Seldom,
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

impl Door {
    /// Waits for a place, at the cost of whoever has kept us waiting longest.
    async fn room(&self) {
        while self.callers.borrow().len() >= MOST_CALLERS {
            let silent = self.callers.borrow().iter().position(|caller| !caller.called.get());
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
        let called = Rc::new(Cell::new(false));
        let (door, flag) = (self.clone(), called.clone());
        let task = tokio::task::spawn_local(async move {
            let answer = service_fn(|request| {
                flag.set(true);
                let door = door.clone();
                async move { Ok::<_, Infallible>(door.answer(request).await) }
            });
            let mut server = hyper::server::conn::http1::Builder::new();
            // A caller may end its sending behind its call, and reads on all the same.
            let call =
                server.keep_alive(false).half_close(true).serve_connection(TokioIo::new(stream), answer);
            if let Ok(Err(error)) = timeout(CALL_TIME, call).await {
                log::debug!("operators: {error}");
            }
            door.callers.borrow_mut().retain(|caller| caller.number != number);
            door.left.notify_one();
        });
        self.callers.borrow_mut().push_back(Caller { number, called, task: task.abort_handle() });
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.uri().path(), request.method()) {
            ("/ready", &Method::GET) => self.ready(),
            ("/metrics", &Method::GET) => match self.handle.figures().await {
                Some(figures) => reply(StatusCode::OK, "text/plain; charset=utf-8", figures),
                None => refusal(StatusCode::INTERNAL_SERVER_ERROR, "the core has stopped"),
            },
            ("/drain", &Method::POST) => self.order(Order::Drain).await,
            ("/undrain", &Method::POST) => self.order(Order::Undrain).await,
            ("/cache-hosts/disable", &Method::POST) => match host(request).await {
                Ok(id) => self.order(Order::Disable(id)).await,
                Err(no) => no,
            },
            ("/cache-hosts/enable", &Method::POST) => match host(request).await {
                Ok(id) => self.order(Order::Enable(id)).await,
                Err(no) => no,
            },
            ("/fleet", &Method::GET) => self.look_at_fleet().await,
            ("/fleet/calendar", &Method::POST) => match proposal(request).await {
                Ok(proposal) => self.propose(proposal).await,
                Err(no) => no,
            },
            ("/ready" | "/metrics" | "/fleet", _) => wrong_method("GET"),
            (
                "/drain" | "/undrain" | "/cache-hosts/disable" | "/cache-hosts/enable" | "/fleet/calendar",
                _,
            ) => wrong_method("POST"),
            _ => refusal(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn order(&self, order: Order) -> Response<Full<Bytes>> {
        match self.handle.order(order).await {
            Ok(true) => reply(StatusCode::OK, JSON, json!({"done": true}).to_string()),
            Ok(false) => reply(StatusCode::ACCEPTED, JSON, json!({"done": true, "kept": false}).to_string()),
            Err(why @ Unheeded::Order(_)) => refusal(StatusCode::NOT_FOUND, &why.to_string()),
            Err(why) => {
                log::error!("operators: {why}");
                refusal(StatusCode::INTERNAL_SERVER_ERROR, &why.to_string())
            }
        }
    }

    async fn look_at_fleet(&self) -> Response<Full<Bytes>> {
        match timeout(FLEET_TIME, self.handle.fleet_call(FleetCall::Look)).await {
            Ok(answer) => fleet_said(answer),
            Err(_) => refusal(StatusCode::GATEWAY_TIMEOUT, "the fleet's thread does not answer"),
        }
    }

    async fn propose(&self, proposal: Proposal) -> Response<Full<Bytes>> {
        match timeout(FLEET_TIME, self.handle.fleet_call(FleetCall::Propose(Box::new(proposal)))).await {
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
async fn proposal(request: Request<Incoming>) -> Result<Proposal, Response<Full<Bytes>>> {
    let bad = |why: String| refusal(StatusCode::BAD_REQUEST, &why);
    let body = body(request, MOST_PROPOSAL).await?;
    let proposal: Proposal = serde_json::from_slice(&body).map_err(|error| bad(error.to_string()))?;
    proposal.validate().map_err(|error| {
        let said = json!({"error": error.to_string(), "field": error.field});
        reply(StatusCode::BAD_REQUEST, JSON, said.to_string())
    })?;
    Ok(proposal)
}

/// A call's body, of at most so many bytes.
async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, Response<Full<Bytes>>> {
    match Limited::new(request.into_body(), most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, &format!("more than {most} bytes")))
        }
        Err(error) => Err(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// The cache host that a call names.
async fn host(request: Request<Incoming>) -> Result<String, Response<Full<Bytes>>> {
    #[derive(Deserialize)]
    struct Call {
        who: String,
    }
    let body = body(request, MOST_BODY).await?;
    match serde_json::from_slice::<Call>(&body) {
        Ok(call) => Ok(call.who),
        Err(error) => Err(refusal(StatusCode::BAD_REQUEST, &format!("wanted {{\"who\":\"ID\"}}: {error}"))),
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
