//! A discovery agent whose responses are scripted by the test. It uses a paused clock, and pipes in place of sockets.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

use discovery::{Delivery, follow};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use proto::discovery::{Phase, WatchEvent, parse_endpoint_list};
use serde_json::json;
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

pub const FIRST_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
pub const SECOND_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);
/// How long a request may still go to an endpoint after its drain was published.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The timeout for a request or a list in a test.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// A request as the agent receives it.
pub struct Request {
    pub path: String,
    pub address: SocketAddr,
    pub at: Instant,
    pub stream: DuplexStream,
}

impl Request {
    pub async fn open_watch(&mut self) {
        self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
    }

    pub async fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await.unwrap();
    }

    pub async fn send_draining(&mut self, revision: u64) {
        self.send_line(&list(revision, false, "draining")).await;
    }

    pub async fn respond_with_list(self, revision: u64) {
        // Lists may be indented.
        let body = serde_json::to_string_pretty(
            &serde_json::from_str::<serde_json::Value>(&list(revision, true, "ready")).unwrap(),
        );
        self.respond(&body.unwrap()).await;
    }

    pub async fn respond(mut self, body: &str) {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(response.as_bytes()).await.unwrap();
    }

    pub async fn reject(mut self) {
        let _ = self.stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
    }
}

/// Returns a list with one endpoint as JSON.
pub fn list(revision: u64, complete: bool, phase: &str) -> String {
    list_since(revision, complete, phase, 0)
}

/// Returns a list with one endpoint that started at `up_since_ms` as JSON.
pub fn list_since(revision: u64, complete: bool, phase: &str, up_since_ms: u64) -> String {
    json!({"revision": revision, "complete": complete, "members": [
        {"id": "s-0", "host_port": "10.0.0.1:6379", "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}]})
    .to_string()
}

/// The outcome of connection attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialOutcome {
    Connected,
    Refused,
    Hangs,
}

/// The agent, and the lists that the balancer has published.
pub struct FakeAgent {
    pub requests: mpsc::UnboundedReceiver<Request>,
    /// Published revisions, each with its time.
    pub published: mpsc::UnboundedReceiver<(u64, Instant)>,
    /// The endpoints that are ready according to the published lists, with their last starts.
    pub ready: Rc<RefCell<Vec<(String, u64)>>>,
    /// The configured address of discovery.
    pub address: watch::Sender<SocketAddr>,
    pub dial_outcome: Rc<RefCell<DialOutcome>>,
}

impl FakeAgent {
    pub fn start(delivery: Delivery, known: Option<u64>) -> Self {
        Self::start_with_balancers(300, delivery, known)
    }

    pub fn start_with_balancers(balancers: u32, delivery: Delivery, known: Option<u64>) -> Self {
        let (requests_sender, requests) = mpsc::unbounded_channel();
        let (published_sender, published) = mpsc::unbounded_channel();
        let (address, address_receiver) = watch::channel(FIRST_ADDRESS);
        let dial_outcome = Rc::new(RefCell::new(DialOutcome::Connected));
        let ready = Rc::new(RefCell::new(Vec::new()));
        let dial = dial_function(requests_sender, dial_outcome.clone());
        let published_ready = ready.clone();
        let publish = move |event| {
            if let WatchEvent::List(list) = event {
                let mut ready = published_ready.borrow_mut();
                ready.retain(|(id, _)| {
                    !list.complete && list.members.iter().all(|endpoint| endpoint.id != *id)
                });
                let ready_now = list.members.iter().filter(|endpoint| endpoint.phase == Phase::Ready);
                ready.extend(ready_now.map(|endpoint| (endpoint.id.clone(), endpoint.up_since_ms)));
                let _ = published_sender.send((list.revision, Instant::now()));
            }
        };
        let known =
            known.map(|revision| parse_endpoint_list(list(revision, true, "ready").as_bytes()).unwrap());
        spawn_local(follow(address_receiver, known, delivery, balancers, dial, publish));
        Self { requests, published, ready, address, dial_outcome }
    }

    pub async fn next_request(&mut self) -> Request {
        timeout(EVENT_TIMEOUT, self.requests.recv()).await.expect("a request is sent").unwrap()
    }

    pub async fn next_watch(&mut self) -> Request {
        let mut request = self.next_request().await;
        assert!(request.path.contains("watch"), "{}", request.path);
        request.open_watch().await;
        request
    }

    pub async fn expect_revision(&mut self, revision: u64) -> Instant {
        let (published, at) =
            timeout(EVENT_TIMEOUT, self.published.recv()).await.expect("a list is published").unwrap();
        assert_eq!(published, revision);
        at
    }

    /// Leaves all requests unanswered for `duration`, and returns them.
    pub async fn unanswered_requests(&mut self, duration: Duration) -> Vec<Request> {
        let until = Instant::now() + duration;
        let mut open = Vec::new();
        while let Ok(request) = tokio::time::timeout_at(until, self.requests.recv()).await {
            open.push(request.unwrap());
        }
        open
    }
}

/// Returns a dial function that connects by pipes, and sends each request to the test once its head has arrived.
fn dial_function(
    requests: mpsc::UnboundedSender<Request>, outcome: Rc<RefCell<DialOutcome>>,
) -> impl Fn(SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> + Clone + 'static {
    move |address| {
        match *outcome.borrow() {
            DialOutcome::Connected => {}
            DialOutcome::Refused => {
                return async { Err(io::ErrorKind::ConnectionRefused.into()) }.boxed_local();
            }
            DialOutcome::Hangs => return std::future::pending().boxed_local(),
        }
        let (client, mut stream) = duplex(64 * 1024);
        let (requests, at) = (requests.clone(), Instant::now());
        spawn_local(async move {
            let mut head = vec![0; 1024];
            let length = stream.read(&mut head).await.unwrap_or_default();
            let path =
                String::from_utf8_lossy(&head[..length]).split(' ').nth(1).unwrap_or_default().to_owned();
            let _ = requests.send(Request { path, address, at, stream });
        });
        async move { Ok(client) }.boxed_local()
    }
}

pub async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}
