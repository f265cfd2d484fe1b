//! The clients of a soak run. Each reuses its connection while it stays open, and sometimes misbehaves.

use crate::clients::{Call, Outcome, PipelinePosition, Request, encode_request, read_outcome};
use crate::event_log::EventLog;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long after its deadline a request's answer is still awaited.
const GRACE: Duration = Duration::from_secs(4);
/// The pause between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..60;
/// The pause before a client without request pauses reconnects, in milliseconds. A used port is free again only after a
/// minute: reconnecting as fast as connections are refused would exhaust the ephemeral ports within a run or two.
const REDIAL_MS: std::ops::Range<u64> = 100..500;
/// The number of requests in a pipeline.
const PIPELINED: usize = 5;
/// The pause between the two halves of a slowly written request.
const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(30);
/// How long a client that stops within a request may wait for an error or the end of its connection.
const PARTIAL_REQUEST_LIMIT: Duration = Duration::from_millis(3_000);

/// What a client does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestBehaviour {
    /// Writes the request and reads the answer.
    Normal,
    /// Writes several requests at once and reads the answers.
    Pipelined,
    /// Writes the request in two halves.
    SlowWrite,
    /// Writes half of the request and waits.
    PartialWrite,
    /// Writes the request and disconnects before the answer.
    Disconnect,
}

fn draw_behaviour(rng: &mut fastrand::Rng) -> RequestBehaviour {
    match rng.u8(..20) {
        0 | 1 => RequestBehaviour::Pipelined,
        2 => RequestBehaviour::SlowWrite,
        3 => RequestBehaviour::PartialWrite,
        4 => RequestBehaviour::Disconnect,
        _ => RequestBehaviour::Normal,
    }
}

/// Where a balancer listens, and until when clients connect to it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Front {
    pub(super) addr: SocketAddr,
    pub(super) dialled_until: Option<Instant>,
}

/// The state shared by all clients.
#[derive(Debug)]
pub(super) struct Callers {
    pub(super) fronts: Mutex<Vec<Front>>,
    pub(super) calls: EventLog<Call>,
    /// Partial requests that were kept waiting for too long: the balancer, and how long.
    pub(super) kept_waiting: EventLog<(usize, Duration)>,
    pub(super) ids: AtomicU64,
    pub(super) classes: Vec<(String, bool, Duration)>,
    pub(super) until: Instant,
}

impl Callers {
    /// Returns the address of a balancer; `None` while it is shutting down.
    fn front(&self, balancer: usize) -> Option<SocketAddr> {
        let front = self.fronts.lock().unwrap_or_else(PoisonError::into_inner)[balancer];
        front.dialled_until.is_none_or(|until| Instant::now() < until).then_some(front.addr)
    }

    async fn dial(&self, balancer: usize) -> Option<BufReader<TcpStream>> {
        let addr = self.front(balancer)?;
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }

    fn draw_request(&self, rng: &mut fastrand::Rng, balancer: usize) -> Request {
        let (class, write, deadline) = self.classes[rng.usize(..self.classes.len())].clone();
        let key = format!("{:016x}", rng.u64(..400).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Request { balancer, class, write, tenant: "acme".into(), key, deadline }
    }

    /// Records a request that is about to be written; returns its bytes and log index.
    fn record_request(&self, request: &Request) -> (Vec<u8>, usize) {
        let id = format!("{:016x}", self.ids.fetch_add(1, Ordering::Relaxed));
        let bytes = encode_request(request, &id).to_vec();
        let (class, balancer, deadline) = (request.class.clone(), request.balancer, request.deadline);
        let (at, asked, answers) = (Instant::now(), None, Vec::new());
        let (pipeline_position, left) = (PipelinePosition::First, None);
        (
            bytes,
            self.calls.push(Call {
                id,
                class,
                balancer,
                at,
                asked,
                deadline,
                answers,
                pipeline_position,
                left,
            }),
        )
    }

    fn record_outcome(&self, index: usize, answer: Outcome) {
        self.calls.update(index, |call| call.answers.push((Instant::now(), answer)));
    }

    /// Writes requests and reads their answers; returns whether the connection is still usable.
    async fn exchange(&self, open: &mut BufReader<TcpStream>, requests: &[Request], slowly: bool) -> bool {
        let begun: Vec<_> = requests.iter().map(|request| self.record_request(request)).collect();
        let bytes: Vec<u8> = begun.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        let (first, rest) = bytes.split_at(if slowly { bytes.len() / 2 } else { 0 });
        let write = async {
            open.get_mut().write_all(first).await?;
            if slowly {
                sleep(SLOW_WRITE_PAUSE).await;
            }
            open.get_mut().write_all(rest).await
        };
        let written = write.await;
        let asked = Instant::now();
        for (_, index) in &begun {
            self.calls.update(*index, |call| call.asked = written.is_ok().then_some(asked));
        }
        for (_, index) in begun.iter().skip(1) {
            self.calls.update(*index, |call| call.pipeline_position = PipelinePosition::Blocked);
        }
        for (number, (_, index)) in begun.iter().enumerate() {
            if number > 0 {
                self.calls.update(*index, |call| {
                    call.pipeline_position = PipelinePosition::UnblockedAt(Instant::now())
                });
            }
            let answered = match &written {
                Ok(()) => timeout(requests[number].deadline + GRACE, read_outcome(open)).await,
                Err(error) => Ok(Err(io::Error::from(error.kind()))),
            };
            let answer = answered.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
            match answer {
                Ok(answer) => self.record_outcome(*index, answer),
                Err(error) => {
                    // After the first request without an answer, none of the others has one.
                    let closed = || Outcome::Closed(error.to_string());
                    begun[number..].iter().for_each(|(_, index)| self.record_outcome(*index, closed()));
                    return false;
                }
            }
        }
        true
    }

    async fn send_partial(&self, mut open: BufReader<TcpStream>, request: &Request) {
        let (bytes, index) = self.record_request(request);
        self.record_outcome(index, Outcome::NotSent);
        if open.get_mut().write_all(&bytes[..bytes.len() / 2]).await.is_err() {
            return;
        }
        let stopped = Instant::now();
        let mut rest = Vec::new();
        let ended = timeout(PARTIAL_REQUEST_LIMIT + GRACE, open.read_to_end(&mut rest)).await;
        let kept = stopped.elapsed();
        if ended.is_err() || kept > PARTIAL_REQUEST_LIMIT {
            self.kept_waiting.push((request.balancer, kept));
        }
    }

    async fn send_and_disconnect(&self, mut open: BufReader<TcpStream>, request: &Request, after: Duration) {
        let (bytes, index) = self.record_request(request);
        let _ = open.get_mut().write_all(&bytes).await;
        sleep(after).await;
        drop(open);
        self.calls.update(index, |call| call.left = Some(Instant::now()));
        self.record_outcome(index, Outcome::ClientDisconnected);
    }

    /// Runs one client of a balancer until the end of the run.
    pub(super) async fn run(self: Arc<Self>, balancer: usize, seed: u64, busy: bool) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut connection = None;
        while Instant::now() < self.until {
            let pause = Duration::from_millis(rng.u64(PAUSE_MS));
            match (busy, &connection) {
                (true, Some(_)) => {}
                (true, None) => sleep(Duration::from_millis(rng.u64(REDIAL_MS))).await,
                (false, _) => sleep(pause).await,
            }
            if connection.is_none() {
                connection = self.dial(balancer).await;
            }
            let Some(mut open) = connection.take() else { continue };
            let request = self.draw_request(&mut rng, balancer);
            match draw_behaviour(&mut rng) {
                RequestBehaviour::PartialWrite => self.send_partial(open, &request).await,
                RequestBehaviour::Disconnect => self.send_and_disconnect(open, &request, pause).await,
                behaviour => {
                    let more = if behaviour == RequestBehaviour::Pipelined { PIPELINED - 1 } else { 0 };
                    let mut requests = vec![request];
                    requests.extend((0..more).map(|_| self.draw_request(&mut rng, balancer)));
                    if self.exchange(&mut open, &requests, behaviour == RequestBehaviour::SlowWrite).await {
                        connection = Some(open);
                    }
                }
            }
        }
    }

    /// Keeps an idle connection open, reconnecting when it ends.
    pub(super) async fn run_idle(self: Arc<Self>, balancer: usize, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        while Instant::now() < self.until {
            if let Some(mut open) = self.dial(balancer).await {
                let left = self.until.saturating_duration_since(Instant::now());
                let _ = timeout(left, open.read(&mut [0; 64])).await;
            }
            sleep(Duration::from_millis(rng.u64(REDIAL_MS))).await;
        }
    }
}
