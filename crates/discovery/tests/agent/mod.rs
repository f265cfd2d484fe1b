//! An agent that is told what to do with each call, on a paused clock and pipes in place of sockets.
#![allow(dead_code)]

use anyhow::Result;
use discovery::{Way, follow};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use proto::discovery::{Phase, WatchEvent};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

/// A call as the agent sees it.
pub struct Call {
    pub path: String,
    pub to: SocketAddr,
    pub at: Instant,
    pub stream: DuplexStream,
}

impl Call {
    pub async fn open_watch(&mut self) {
        self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
    }
    pub async fn line(&mut self, line: &str) {
        self.stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await.unwrap();
    }
    pub async fn drains(&mut self, revision: u64) {
        self.line(&list(revision, false, "draining")).await;
    }
    pub async fn whole(self, revision: u64) {
        // Lists may come indented.
        let body = serde_json::to_string_pretty(
            &serde_json::from_str::<serde_json::Value>(&list(revision, true, "ready")).unwrap(),
        );
        self.answers(&body.unwrap()).await;
    }
    pub async fn answers(mut self, body: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(head.as_bytes()).await.unwrap();
    }
    pub async fn rejected(mut self) {
        let _ = self.stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
    }
}

pub fn list(revision: u64, complete: bool, phase: &str) -> String {
    list_since(revision, complete, phase, 0)
}

pub fn list_since(revision: u64, complete: bool, phase: &str, up_since_ms: u64) -> String {
    json!({"revision": revision, "complete": complete, "members": [
        {"id": "s-0", "host_port": "10.0.0.1:6379", "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}]})
    .to_string()
}

/// What becomes of dials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dials {
    ComeUp,
    AreRefused,
    Hang,
}

/// The agent, and what the balancer has heard: revisions, each with its time.
pub struct Agent {
    pub calls: mpsc::UnboundedReceiver<Call>,
    pub heard: mpsc::UnboundedReceiver<(u64, Instant)>,
    /// The hosts that may be sent to, and their last starts, as told.
    pub ready: Rc<RefCell<Vec<(String, u64)>>>,
    pub moves: watch::Sender<SocketAddr>,
    /// What becomes of a dial, where it is not to come up.
    pub dials: Rc<RefCell<Dials>>,
}

pub const HERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
pub const THERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);
/// What the rule on drains leaves between being told and the last new request.
pub const DRAIN: Duration = Duration::from_millis(250);

impl Agent {
    pub fn start(way: Way, known: Option<u64>) -> Self {
        Self::start_one_of(300, way, known)
    }
    pub fn start_one_of(balancers: u32, way: Way, known: Option<u64>) -> Self {
        let (calling, calls) = mpsc::unbounded_channel();
        let (hears, heard) = mpsc::unbounded_channel();
        let (moves, found_at) = watch::channel(HERE);
        let dials = Rc::new(RefCell::new(Dials::ComeUp));
        let become_of = dials.clone();
        let dial = move |to: SocketAddr| -> LocalBoxFuture<'static, Result<DuplexStream>> {
            match *become_of.borrow() {
                Dials::ComeUp => {}
                Dials::AreRefused => return async { anyhow::bail!("refused") }.boxed_local(),
                Dials::Hang => return std::future::pending().boxed_local(),
            }
            let (ours, mut stream) = duplex(64 * 1024);
            let (calling, at) = (calling.clone(), Instant::now());
            spawn_local(async move {
                let mut head = vec![0; 1024];
                let n = stream.read(&mut head).await.unwrap_or_default();
                let path =
                    String::from_utf8_lossy(&head[..n]).split(' ').nth(1).unwrap_or_default().to_owned();
                let _ = calling.send(Call { path, to, at, stream });
            });
            async move { Ok(ours) }.boxed_local()
        };
        let ready = Rc::new(RefCell::new(Vec::new()));
        let told = ready.clone();
        let news = move |news| {
            if let WatchEvent::List(list) = news {
                let mut ready = told.borrow_mut();
                ready.retain(|(id, _)| !list.complete && list.members.iter().all(|it| it.id != *id));
                let now = list.members.iter().filter(|it| it.phase == Phase::Ready);
                ready.extend(now.map(|it| (it.id.clone(), it.up_since_ms)));
                let _ = hears.send((list.revision, Instant::now()));
            }
        };
        let known = known.map(|revision| {
            proto::discovery::parse_endpoint_list(list(revision, true, "ready").as_bytes()).unwrap()
        });
        spawn_local(follow(found_at, known, way, balancers, dial, news));
        Self { calls, heard, ready, moves, dials }
    }
    pub async fn call(&mut self) -> Call {
        timeout(Duration::from_secs(60), self.calls.recv()).await.expect("the agent is asked").unwrap()
    }
    pub async fn watch(&mut self) -> Call {
        let mut call = self.call().await;
        assert!(call.path.contains("watch"), "{}", call.path);
        call.open_watch().await;
        call
    }
    pub async fn heard(&mut self, revision: u64) -> Instant {
        let (found, at) = timeout(Duration::from_secs(60), self.heard.recv()).await.expect("news").unwrap();
        assert_eq!(found, revision);
        at
    }
    /// Leaves every call unanswered for this long, and yields those that are still open.
    pub async fn silent_for(&mut self, span: Duration) -> Vec<Call> {
        let until = Instant::now() + span;
        let mut open = Vec::new();
        while let Ok(call) = tokio::time::timeout_at(until, self.calls.recv()).await {
            open.push(call.unwrap());
        }
        open
    }
}

pub async fn played(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}
