//! Manages the connections to the agent at one address: its watches and the requests in flight, and handles their
//! events.
//!
//! `docs/design/crossings-list.md` lists every event in every state.

use crate::dial::Dial;
use crate::error::RequestError;
use crate::pace::{Failure, MAX_DRAINED_LINES, MAX_WATCHES, PREVIOUS_AGENT_RETRY_PERIOD, RetrySchedule};
use crate::request::{Response, send_request};
use crate::watch::{Watch, next_line};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use proto::discovery::{EndpointList, WatchEvent, WatchLine};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

type RequestsInFlight<S> = FuturesUnordered<LocalBoxFuture<'static, Result<Response<S>, RequestError>>>;

/// The agent at one address. A broken watch is resumed from the last revision. Each agent counts its own revisions, so
/// the first response of a new agent is a complete list.
pub(crate) struct Agent<D: Dial> {
    addr: SocketAddr,
    dial: D,
    schedule: RetrySchedule,
    /// The revision to resume from; `None` if the complete list must be requested.
    revision: Option<u64>,
    /// The watch that sent the last line, and after it a second watch, requested when the first one fell silent, that
    /// has sent only its head. The first of them to send a line is kept.
    watches: VecDeque<Watch<D::Stream>>,
    /// Lists that were received on watches and not returned yet. Their watch may be closed already.
    pending: VecDeque<EndpointList>,
    requests: RequestsInFlight<D::Stream>,
    requested_at: Instant,
    /// When the next request is due. While the watch sends lines, this is its silence timeout.
    next_request_at: Instant,
    silence_logged: bool,
    /// After discovery has moved to another address: the time from which no new request is sent. Open connections are
    /// still read.
    requests_until: Option<Instant>,
}

impl<D: Dial> Agent<D> {
    /// Creates an agent that is contacted at once.
    pub(crate) fn new(addr: SocketAddr, revision: Option<u64>, schedule: RetrySchedule, dial: D) -> Self {
        let now = Instant::now();
        Self {
            addr,
            dial,
            schedule,
            revision,
            watches: VecDeque::new(),
            pending: VecDeque::new(),
            requests: RequestsInFlight::new(),
            requested_at: now,
            next_request_at: now,
            silence_logged: false,
            requests_until: None,
        }
    }

    /// Returns the address of the agent.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Marks the agent as replaced by one at another address.
    pub(crate) fn retire(mut self) -> Self {
        self.requests_until.get_or_insert_with(|| Instant::now() + PREVIOUS_AGENT_RETRY_PERIOD);
        self
    }

    /// Waits for the next event. Cancel safe.
    pub(crate) async fn next_event(&mut self) -> WatchEvent {
        loop {
            if let Some(list) = self.pending.pop_front() {
                return self.apply_list(list);
            }
            let may_request = self.may_request();
            tokio::select! {
                // Input that has arrived is handled before new requests are sent. Responses are handled before lines,
                // since a line cancels the requests in flight.
                biased;
                Some(response) = self.requests.next() => match response {
                    Ok(response) => return self.handle_response(response),
                    // With other requests in flight, a failure changes nothing: the next request is scheduled already.
                    Err(error) if self.requests.is_empty() => self.back_off(&error),
                    Err(_) => {}
                },
                Some((index, line)) = next_line(&mut self.watches) => match line {
                    Ok(line) => self.handle_line(index, line),
                    Err(error) => self.handle_broken_watch(index, &error),
                },
                () = sleep_until(self.next_request_at), if may_request => self.send_request(),
                else => std::future::pending().await, // retired, and its watch has ended
            }
        }
    }

    fn may_request(&self) -> bool {
        let has_capacity = self.requests.len() < self.schedule.max_requests_in_flight();
        has_capacity && self.requests_until.is_none_or(|until| self.next_request_at < until)
    }

    /// Resets the backoff and restarts the silence timeout, after a complete line or list.
    fn reset_schedule(&mut self) {
        self.schedule.reset();
        self.await_next_line();
    }

    /// Cancels the requests in flight, so that no watch starts from an older revision, and restarts the silence
    /// timeout.
    fn await_next_line(&mut self) {
        self.requests.clear();
        self.silence_logged = false;
        self.next_request_at = Instant::now() + self.schedule.silence_timeout(fastrand::f64());
    }

    /// Handles a line of a watch and closes the other watch. Keeps the watch with the latest revision or, if neither
    /// has sent a list, the one that sent the line. Lines already received on both watches are read first: they show
    /// which watch has the latest revision, and those of the closed watch still apply.
    fn handle_line(&mut self, index: usize, line: WatchLine) {
        let mut lines = vec![(index, line)];
        if self.watches.len() > 1 {
            for (index, watch) in self.watches.iter_mut().enumerate() {
                let received = std::iter::from_fn(|| watch.next_received_line()).take(MAX_DRAINED_LINES);
                lines.extend(received.map(|line| (index, line)));
            }
        }
        let lists = lines.into_iter().filter_map(|(index, line)| match line {
            WatchLine::Update(list) => Some((index, list)),
            WatchLine::KeepAlive => None,
        });
        let mut lists: Vec<_> = lists.collect();
        lists.sort_by_key(|(_, list)| list.revision);
        let kept = lists.last().map_or(index, |(index, _)| *index);
        self.watches = self.watches.remove(kept).into_iter().collect();
        self.pending.extend(lists.into_iter().map(|(_, list)| list));
        self.reset_schedule();
    }

    fn handle_broken_watch(&mut self, index: usize, error: &RequestError) {
        self.watches.remove(index);
        // With a request in flight or a newer watch open, the changes missed by this watch were already requested.
        let was_newest = index == self.watches.len();
        if self.requests.is_empty() && was_newest {
            self.back_off(error);
        }
    }

    fn handle_response(&mut self, response: Response<D::Stream>) -> WatchEvent {
        match response {
            Response::List(list) => {
                log::info!("discovery: revision {}, {} endpoints", list.revision, list.members.len());
                self.reset_schedule();
                self.next_request_at = Instant::now();
                self.apply_list(list)
            }
            Response::Watch(watch) => {
                self.add_watch(watch);
                WatchEvent::Subscribed
            }
        }
    }

    fn add_watch(&mut self, watch: Watch<D::Stream>) {
        let is_only_watch = self.watches.is_empty();
        self.watches.push_back(watch);
        while self.watches.len() > MAX_WATCHES {
            self.watches.pop_front();
        }
        if is_only_watch {
            self.await_next_line();
        } else if let Some(silence_timeout) = self.schedule.second_watch_silence_timeout() {
            // A head alone delivers no change: this watch may stay silent like the one before it.
            self.requests.clear();
            self.next_request_at = Instant::now() + silence_timeout;
        }
    }

    /// Records the revision of a list. If a list of changes has a lower revision than the last list, the agent was
    /// restarted, and the changes are relative to a list that is not known here. They still apply, since they are the
    /// latest, and the complete list is requested.
    fn apply_list(&mut self, list: EndpointList) -> WatchEvent {
        let has_gone_back = !list.complete && self.revision.is_some_and(|last| list.revision < last);
        self.revision = (!has_gone_back).then_some(list.revision);
        if has_gone_back {
            log::warn!("discovery: went back to revision {}; requesting the complete list", list.revision);
            self.watches.clear();
            self.schedule_retry(Failure::NoResponse, Duration::ZERO);
        }
        WatchEvent::List(list)
    }

    /// Sends another request.
    fn send_request(&mut self) {
        if !self.watches.is_empty() && !self.silence_logged {
            self.silence_logged = true;
            log::warn!("discovery: the watch is silent; requesting another");
        }
        let addr = self.addr;
        let revision = self.revision;
        let connecting = self.dial.dial(addr);
        let connect_timeout = self.schedule.connect_timeout();
        let response_timeout = self.schedule.response_timeout();
        self.requests.push(Box::pin(async move {
            let request = async {
                let connected = timeout(connect_timeout, connecting).await;
                let stream = connected.map_err(|_| RequestError::ConnectTimeout)?;
                send_request(stream.map_err(RequestError::Connect)?, addr, revision).await
            };
            timeout(response_timeout, request).await.map_err(|_| RequestError::ResponseTimeout)?
        }));
        self.requested_at = Instant::now();
        self.next_request_at = self.requested_at + self.schedule.retry_interval();
    }

    fn back_off(&mut self, error: &RequestError) {
        log::warn!("discovery: {error}; keeping the last endpoint list");
        self.schedule_retry(error.failure(), self.requested_at.elapsed());
    }

    fn schedule_retry(&mut self, failure: Failure, since_request: Duration) {
        let backoff = self.schedule.next_backoff(failure, since_request, fastrand::f64());
        self.next_request_at = Instant::now() + backoff;
    }
}
