//! A stand-in origin that speaks HTTP/1.1 and records every executed request.

use crate::cache_node::{Attempt, Ending, parse_class, parse_remaining_time};
use crate::event_log::EventLog;
use crate::relay::{ConnectionRegistry, RelayedConnection};
use crate::runtime::{any_port, listen};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// The origin's name in discovery.
pub const ORIGIN_NAME: &str = "origin";

/// How the origin responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OriginBehaviour {
    /// Executes requests.
    #[default]
    Executes,
    /// Declines requests without executing them.
    Declines,
    /// Executes requests and answers them with an error.
    Fails,
}

/// A handle to the stand-in origin.
#[derive(Debug, Clone)]
pub struct Origin {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// The state shared by the handles and connections of the origin.
#[derive(Debug)]
struct Shared {
    behaviour: watch::Sender<OriginBehaviour>,
    latency: watch::Sender<Duration>,
    connections: AtomicU64,
    registry: ConnectionRegistry,
    runs: EventLog<Attempt>,
}

/// An execution in progress. Its end is recorded on drop, also if the connection ends early.
struct Execution<'a> {
    shared: &'a Shared,
    index: usize,
    ending: Ending,
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        self.shared
            .runs
            .update(self.index, |execution| execution.ended = Some((Instant::now(), self.ending)));
    }
}

impl Origin {
    /// Starts an origin that records executions in `runs`.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub fn start(handle: &Handle, registry: ConnectionRegistry, runs: EventLog<Attempt>) -> io::Result<Self> {
        let listener = listen(handle, any_port())?;
        let addr = listener.local_addr()?;
        let (behaviour, latency) =
            (watch::Sender::new(OriginBehaviour::Executes), watch::Sender::new(Duration::ZERO));
        let shared = Arc::new(Shared { behaviour, latency, connections: AtomicU64::new(0), registry, runs });
        handle.spawn(Arc::clone(&shared).accept(listener));
        Ok(Self { addr, shared })
    }
    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// Changes the behaviour of the origin.
    pub fn set_behaviour(&self, behaviour: OriginBehaviour) {
        self.shared.behaviour.send_replace(behaviour);
    }
    /// Sets the duration of each execution.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.latency.send_replace(latency);
    }
    /// Returns the log of executions.
    #[must_use]
    pub fn executions(&self) -> &EventLog<Attempt> {
        &self.shared.runs
    }
}

impl Shared {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, remote_addr)) = listener.accept().await else { continue };
            let number = self.connections.fetch_add(1, Ordering::Relaxed);
            let (shared, relayed) = (Arc::clone(&self), self.registry.find(remote_addr));
            tokio::spawn(async move {
                let serve = service_fn(|request| {
                    let (shared, relayed) = (Arc::clone(&shared), relayed.clone());
                    async move { Ok::<_, Infallible>(shared.answer(request, number, relayed).await) }
                });
                // An early end of the connection needs no handling: its execution is recorded as closed.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), serve)
                    .await;
            });
        }
    }

    async fn answer(
        &self, request: Request<Incoming>, connection: u64, relayed: Option<RelayedConnection>,
    ) -> Response<Full<Bytes>> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
        };
        let (id, options) = (header("Req-Id"), header("Req-Extra"));
        let (class, remaining_time) = (parse_class(&options), parse_remaining_time(&options));
        let key = request.uri().path().trim_start_matches('/').to_owned();
        let behaviour = *self.behaviour.borrow();
        let mut answer = Response::new(Full::new(Bytes::from(format!("value of {key}"))));
        if behaviour == OriginBehaviour::Declines {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            answer.headers_mut().insert("Srv-Declined", hyper::header::HeaderValue::from_static("1"));
            return answer;
        }
        if request.into_body().collect().await.is_err() {
            return answer; // an incomplete request is not executed
        }
        let at = Instant::now();
        let (sent, balancer) =
            (relayed.as_ref().map_or(at, RelayedConnection::last_write), relayed.map(|it| it.balancer));
        let endpoint = ORIGIN_NAME.to_owned();
        let index = self.runs.push(Attempt {
            endpoint,
            id,
            key,
            class,
            remaining_time,
            balancer,
            connection,
            sent,
            received: at,
            ended: None,
        });
        let mut execution = Execution { shared: self, index, ending: Ending::Closed };
        let latency = *self.latency.borrow();
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        execution.ending = Ending::Answered;
        if behaviour == OriginBehaviour::Fails {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        answer
    }
}
