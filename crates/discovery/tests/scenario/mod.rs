//! States of the connection to a scripted agent, and the events that can happen in them.
#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "shared by several test programs, each of which uses a part"
)]

use crate::fake_agent::*;
use discovery::Delivery;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

pub const THIRD_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 3);
/// How long a change may take to be published.
pub const DEADLINE: Duration = Duration::from_secs(6);
/// How long a fault lasts, which is enough for the backoff to reach its maximum.
const FAULT_DURATION: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    RequestingList,
    RequestingWatch,
    Watching,
    WatchSilent,
    SecondWatchOpened,
    Moved,
    MovedTwice,
}

/// An event on the watch that sent the last line (after a move, the watch of the previous agent), on the request in
/// flight and the requests after it, or in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    WatchChange,
    WatchKeepAlive,
    WatchPartialLine,
    WatchTrickles,
    WatchTruncatedChunk,
    WatchReset,
    WatchOlderList,
    WatchOlderChange,
    RequestHead,
    RequestAnswered,
    RequestPartial,
    RequestRejected,
    RequestRejectedLate,
    RequestReset,
    RequestHangs,
    RequestDialHangs,
    RequestDialRefused,
    RequestOlderList,
    Sighup,
}

pub use Event::*;
pub use State::*;

pub struct Scenario {
    pub agent: FakeAgent,
    pub agent_address: SocketAddr,
    pub known_revision: Option<u64>,
    pub watch: Option<Request>,
    pub request: Option<Request>,
    /// Whether the response head of the request in flight has been sent.
    pub second_watch_opened: bool,
    /// Connections that the agent neither uses nor closes any more.
    pub open_streams: Vec<DuplexStream>,
}

impl Scenario {
    pub async fn in_state(state: State, delivery: Delivery) -> Self {
        let known_revision = (state != RequestingList).then_some(41);
        let (agent, second_watch_opened) =
            (FakeAgent::start(delivery, known_revision), state == SecondWatchOpened);
        let mut scenario = Self {
            agent,
            agent_address: FIRST_ADDRESS,
            known_revision,
            watch: None,
            request: None,
            second_watch_opened,
            open_streams: Vec::new(),
        };
        if matches!(state, RequestingList | RequestingWatch) {
            scenario.request = Some(scenario.agent.next_request().await);
            return scenario;
        }
        let mut watch = scenario.agent.next_watch().await;
        watch.send_line("").await;
        scenario.watch = Some(watch);
        sleep(Duration::from_millis(1)).await;
        match state {
            WatchSilent => scenario.request = Some(scenario.agent.next_request().await),
            SecondWatchOpened => {
                scenario.request = Some(scenario.agent.next_watch().await);
                sleep(Duration::from_millis(1)).await;
            }
            Moved => scenario.move_to(SECOND_ADDRESS).await,
            MovedTwice => {
                scenario.move_to(SECOND_ADDRESS).await;
                scenario.move_to(THIRD_ADDRESS).await;
            }
            _ => {}
        }
        scenario
    }

    pub async fn move_to(&mut self, to: SocketAddr) {
        self.agent.address.send(to).unwrap();
        (self.agent_address, self.known_revision) = (to, None);
        let request = self.agent.next_request().await;
        assert_eq!(
            (request.address, request.path.as_str()),
            (to, "/v1/endpoints"),
            "the complete list is requested at once"
        );
        self.open_streams.extend(self.request.replace(request).map(|request| request.stream));
    }

    /// Applies the event, and returns the revisions that the balancer must publish; `None` if it cannot happen in this
    /// state.
    pub async fn apply_event(&mut self, event: Event) -> Option<Vec<u64>> {
        match event {
            Sighup => {
                let to = if self.agent_address == SECOND_ADDRESS { THIRD_ADDRESS } else { SECOND_ADDRESS };
                self.move_to(to).await;
                Some(vec![])
            }
            WatchReset => {
                let _watch = self.watch.take()?;
                sleep(Duration::from_millis(1)).await;
                Some(vec![])
            }
            WatchChange | WatchKeepAlive | WatchPartialLine | WatchTrickles | WatchTruncatedChunk
            | WatchOlderList | WatchOlderChange => self.send_on_watch(event).await,
            RequestDialHangs => self.fail_dials(DialOutcome::Hangs).await,
            RequestDialRefused => self.fail_dials(DialOutcome::Refused).await,
            RequestAnswered => self.answer_request(42, false).await,
            RequestOlderList => self.answer_request(7, true).await,
            RequestHead | RequestPartial | RequestRejected | RequestRejectedLate | RequestReset
            | RequestHangs => self.fail_requests(event).await,
        }
    }

    async fn send_on_watch(&mut self, event: Event) -> Option<Vec<u64>> {
        let mut watch = self.watch.take()?;
        let (published, known_revision) = match event {
            WatchChange => {
                watch.send_draining(42).await;
                (Some(42), Some(42))
            }
            WatchTruncatedChunk => {
                let line = list(42, false, "draining");
                let chunk = format!("{:x}\r\n{line}\n", line.len() + 99);
                let _ = watch.stream.write_all(chunk.as_bytes()).await;
                (Some(42), Some(42))
            }
            WatchOlderList => {
                watch.send_line(&list(7, true, "ready")).await;
                (Some(7), Some(7))
            }
            WatchOlderChange => {
                watch.send_line(&list(7, false, "draining")).await;
                (Some(7), None)
            }
            WatchKeepAlive => {
                watch.send_line("").await;
                (None, self.known_revision)
            }
            WatchPartialLine => {
                let _ = watch.stream.write_all(b"99\r\n{\"revision\":42,").await;
                (None, self.known_revision)
            }
            WatchTrickles => {
                trickle(&mut watch.stream).await;
                (None, self.known_revision)
            }
            other => unreachable!("{other:?} is not sent on a watch"),
        };
        let moved = self.agent_address != FIRST_ADDRESS;
        self.known_revision = if moved { None } else { known_revision };
        self.open_streams.push(watch.stream);
        Some(published.into_iter().collect())
    }

    async fn fail_dials(&mut self, outcome: DialOutcome) -> Option<Vec<u64>> {
        self.open_streams.push(self.request.take()?.stream);
        *self.agent.dial_outcome.borrow_mut() = outcome;
        sleep(FAULT_DURATION).await;
        *self.agent.dial_outcome.borrow_mut() = DialOutcome::Connected;
        Some(vec![])
    }

    async fn answer_request(&mut self, revision: u64, complete: bool) -> Option<Vec<u64>> {
        let request = self.request.take()?;
        self.known_revision = Some(revision);
        let is_watch = request.path.contains("watch");
        let answered = answer(request, revision, complete, self.second_watch_opened).await;
        if is_watch {
            self.open_streams.extend(answered);
        }
        Some(vec![revision])
    }

    async fn fail_requests(&mut self, event: Event) -> Option<Vec<u64>> {
        let request = self.request.take()?;
        if self.second_watch_opened && event != RequestPartial {
            self.open_streams.push(request.stream); // the second watch stays silent, and the requests after it fail
        } else {
            self.fail(request, event).await;
        }
        let until = Instant::now() + FAULT_DURATION;
        while let Ok(request) = timeout_at(until, self.agent.requests.recv()).await {
            self.fail(request.unwrap(), event).await;
        }
        // Discovery recovers just after another request was sent.
        let last = self.agent.next_request().await;
        self.fail(last, event).await;
        Some(vec![])
    }

    async fn fail(&mut self, mut request: Request, event: Event) {
        let is_watch = request.path.contains("watch");
        match event {
            RequestHead | RequestPartial => {
                let head = match is_watch {
                    true => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    false => "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
                };
                let partial_body = match (event, is_watch) {
                    (RequestHead, _) => "",
                    (_, true) => "99\r\n{\"revision\":42,",
                    (_, false) => "{\"revision\":42,",
                };
                let _ = request.stream.write_all(format!("{head}{partial_body}").as_bytes()).await;
                self.open_streams.push(request.stream);
            }
            RequestRejected => request.reject().await,
            RequestRejectedLate => {
                spawn_local(async move {
                    sleep(Duration::from_secs(2)).await;
                    request.reject().await;
                });
            }
            RequestHangs => self.open_streams.push(request.stream),
            _ => drop(request),
        }
    }
}

/// Answers a request. Returns the stream if the request is a watch, which stays open.
pub async fn answer(
    mut request: Request, revision: u64, complete: bool, head_sent: bool,
) -> Option<DuplexStream> {
    if !request.path.contains("watch") {
        request.respond_with_list(revision).await;
        return None;
    }
    let line = list(revision, complete, "draining");
    let head = if head_sent { "" } else { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" };
    let _ = request.stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await;
    Some(request.stream)
}

/// Sends a part of a long line, one byte every 100 ms.
async fn trickle(stream: &mut DuplexStream) {
    let _ = stream.write_all(b"fff\r\n").await;
    for _ in 0..40 {
        let _ = stream.write_all(b" ").await;
        sleep(Duration::from_millis(100)).await;
    }
}
