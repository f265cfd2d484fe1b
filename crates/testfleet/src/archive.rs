//! The archive: an origin that speaks HTTP/1.1 and books each run of each id.

use crate::ground::{any_port, listen};
use crate::hosts::{Attempt, Ending, class_of, time_of};
use crate::journal::Journal;
use crate::relay::{Caller, Callers};
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

/// Its name in discovery.
pub const NAME: &str = "origin";

/// How the archive takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Temper {
    /// Runs them.
    #[default]
    Runs,
    /// Declines them unrun.
    Declines,
    /// Runs them and answers with an error.
    Fails,
}

/// The archive.
#[derive(Debug, Clone)]
pub struct Archive {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    temper: watch::Sender<Temper>,
    takes: watch::Sender<Duration>,
    connections: AtomicU64,
    callers: Callers,
    runs: Journal<Attempt>,
}

/// Books how a run ended, also where its connection ends and nobody waits any more.
struct Run<'a> {
    shared: &'a Shared,
    place: usize,
    ending: Ending,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.shared.runs.change(self.place, |run| run.ended = Some((Instant::now(), self.ending)));
    }
}

impl Archive {
    /// Starts it; it books into this record.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn start(handle: &Handle, callers: Callers, runs: Journal<Attempt>) -> io::Result<Self> {
        let listener = listen(handle, any_port())?;
        let addr = listener.local_addr()?;
        let (temper, takes) = (watch::Sender::new(Temper::Runs), watch::Sender::new(Duration::ZERO));
        let shared = Arc::new(Shared { temper, takes, connections: AtomicU64::new(0), callers, runs });
        handle.spawn(Arc::clone(&shared).accept(listener));
        Ok(Self { addr, shared })
    }
    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// How it takes requests from now on.
    pub fn behave(&self, temper: Temper) {
        self.shared.temper.send_replace(temper);
    }
    /// How long a run takes from now on.
    pub fn take(&self, time: Duration) {
        self.shared.takes.send_replace(time);
    }
    /// Each run of each id.
    #[must_use]
    pub fn runs(&self) -> &Journal<Attempt> {
        &self.shared.runs
    }
}

impl Shared {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let number = self.connections.fetch_add(1, Ordering::Relaxed);
            let (shared, caller) = (Arc::clone(&self), self.callers.of(from));
            tokio::spawn(async move {
                let serve = service_fn(|request| {
                    let (shared, caller) = (Arc::clone(&shared), caller.clone());
                    async move { Ok::<_, Infallible>(shared.answer(request, number, caller).await) }
                });
                // A connection that ends early is the balancer's affair: the run is booked as ended.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), serve)
                    .await;
            });
        }
    }

    async fn answer(
        &self, request: Request<Incoming>, connection: u64, caller: Option<Caller>,
    ) -> Response<Full<Bytes>> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
        };
        let (id, extra) = (header("Req-Id"), header("Req-Extra"));
        let (class, time) = (class_of(&extra), time_of(&extra));
        let key = request.uri().path().trim_start_matches('/').to_owned();
        let temper = *self.temper.borrow();
        let mut answer = Response::new(Full::new(Bytes::from(format!("value of {key}"))));
        if temper == Temper::Declines {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            answer.headers_mut().insert("Srv-Declined", hyper::header::HeaderValue::from_static("1"));
            return answer;
        }
        if request.into_body().collect().await.is_err() {
            return answer; // it did not come whole, and does not run
        }
        let at = Instant::now();
        let (sent, balancer) = (caller.as_ref().map_or(at, Caller::wrote), caller.map(|it| it.balancer));
        let host = NAME.to_owned();
        let place = self.runs.push(Attempt {
            host,
            id,
            key,
            class,
            time,
            balancer,
            connection,
            sent,
            at,
            ended: None,
        });
        let mut run = Run { shared: self, place, ending: Ending::Closed };
        let takes = *self.takes.borrow();
        if !takes.is_zero() {
            tokio::time::sleep(takes).await;
        }
        run.ending = Ending::Answered;
        if temper == Temper::Fails {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        answer
    }
}
