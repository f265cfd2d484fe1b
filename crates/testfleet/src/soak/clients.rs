//! The clients of a soak run. Each client reuses its connection while it stays open, and draws how it sends each
//! request: normally, pipelined, slowly, incompletely, or with an early disconnect.

use crate::clients::{
    Call, Class, Outcome, PipelinePosition, Request, encode_request, read_outcome, spread_key,
};
use crate::event_log::EventLog;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long clients wait for the answer of a request after its deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(4);
/// The number of distinct keys.
const KEY_COUNT: u64 = 400;
/// The pause before a request with [`Pacing::Paused`], and before an early disconnect, in milliseconds.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 10..60;
/// The pause before a client without request pauses, or an idle client, reconnects, in milliseconds. A closed
/// connection occupies its ephemeral port for a minute: reconnecting as fast as connections are refused would exhaust
/// the ports within one or two runs.
const RECONNECT_PAUSE_MS: std::ops::Range<u64> = 100..500;
/// The number of requests in a pipeline.
const PIPELINE_LENGTH: usize = 5;
/// The possible numbers of requests in a batch that is written one request at a time.
const BATCH_LENGTHS: std::ops::Range<usize> = 1..7;
/// The possible pauses between two requests of a batch that is written one request at a time, in microseconds.
const BATCH_GAPS_US: [u64; 4] = [0, 200, 2_000, 10_000];
/// The pause between the two halves of a slowly written request.
const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(30);
/// The time within which a balancer must close the connection of a client that stops within a request.
const PARTIAL_REQUEST_LIMIT: Duration = Duration::from_millis(3_000);

/// How a client sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestBehaviour {
    /// Writes the request and reads the answer.
    Normal,
    /// Writes several requests at once and reads the answers.
    Pipelined,
    /// Writes the request in two halves.
    SlowWrite,
    /// Writes the first half of the request and waits for the balancer to close the connection.
    PartialWrite,
    /// Writes the request and disconnects without reading the answer.
    Disconnect,
}

/// Draws how a client sends a request.
fn draw_behaviour(rng: &mut fastrand::Rng) -> RequestBehaviour {
    match rng.u8(..20) {
        0 | 1 => RequestBehaviour::Pipelined,
        2 => RequestBehaviour::SlowWrite,
        3 => RequestBehaviour::PartialWrite,
        4 => RequestBehaviour::Disconnect,
        _ => RequestBehaviour::Normal,
    }
}

/// The address of a balancer for clients.
#[derive(Debug, Clone, Copy)]
pub(super) struct BalancerAddress {
    pub(super) addr: SocketAddr,
    /// When clients stop connecting; `None` unless the balancer was sent SIGTERM.
    pub(super) connect_until: Option<Instant>,
}

/// A request class with the deadline that the run uses for it.
#[derive(Debug, Clone)]
pub(super) struct SoakClass {
    pub(super) class: Class,
    pub(super) deadline: Duration,
}

/// How fast a client sends requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pacing {
    /// Pauses before each request.
    Paused,
    /// Pauses only before reconnecting.
    Continuous,
    /// Pauses only before reconnecting, and sends batches that are written one request at a time.
    Batches,
}

/// How requests are written to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteMode {
    /// All requests in one write.
    AtOnce,
    /// In two halves with a pause between them.
    InHalves,
    /// One request at a time, with this pause between two requests.
    OneByOne(Duration),
}

/// A recorded request: its encoded bytes and its index in the log of calls.
struct RecordedRequest {
    bytes: Vec<u8>,
    index: usize,
}

/// The state shared by all clients.
#[derive(Debug)]
pub(super) struct SoakClients {
    pub(super) balancer_addrs: Mutex<Vec<BalancerAddress>>,
    pub(super) calls: EventLog<Call>,
    /// Partial requests whose connection was not closed in time: the balancer, and how long the client waited.
    pub(super) unclosed_partial_requests: EventLog<(usize, Duration)>,
    pub(super) next_id: AtomicU64,
    /// The number of batches whose connection ended after some, but not all, of their answers.
    pub(super) interrupted_batches: AtomicU64,
    pub(super) classes: Vec<SoakClass>,
    /// When clients stop sending requests.
    pub(super) run_end: Instant,
}

impl SoakClients {
    /// Returns the address of a balancer; `None` once clients must stop connecting to it.
    fn balancer_addr(&self, balancer: usize) -> Option<SocketAddr> {
        let address = self.balancer_addrs.lock().unwrap_or_else(PoisonError::into_inner)[balancer];
        address.connect_until.is_none_or(|until| Instant::now() < until).then_some(address.addr)
    }

    /// Connects to a balancer; returns `None` if clients must not connect to it or the connection fails.
    async fn connect(&self, balancer: usize) -> Option<BufReader<TcpStream>> {
        let addr = self.balancer_addr(balancer)?;
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }

    /// Draws the class and the key of a request.
    fn draw_request(&self, rng: &mut fastrand::Rng, balancer: usize) -> Request {
        let SoakClass { class, deadline } = self.classes[rng.usize(..self.classes.len())].clone();
        let key = spread_key(rng.u64(..KEY_COUNT));
        Request { balancer, class: class.name, write: class.write, tenant: "acme".into(), key, deadline }
    }

    /// Records a request that is about to be written.
    fn record_request(&self, request: &Request) -> RecordedRequest {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let bytes = encode_request(request, &id).to_vec();
        let index = self.calls.push(Call::start(id, request));
        RecordedRequest { bytes, index }
    }

    fn record_outcome(&self, index: usize, answer: Outcome) {
        self.calls.update(index, |call| call.answers.push((Instant::now(), answer)));
    }

    /// Writes recorded requests and records when each was written completely.
    async fn write(
        &self, reader: &mut BufReader<TcpStream>, requests: &[RecordedRequest], mode: WriteMode,
    ) -> io::Result<()> {
        let stream = reader.get_mut();
        if let WriteMode::OneByOne(gap) = mode {
            for (position, request) in requests.iter().enumerate() {
                if position > 0 && !gap.is_zero() {
                    sleep(gap).await;
                }
                stream.write_all(&request.bytes).await?;
                self.record_written(request);
            }
            return Ok(());
        }
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        let (first, rest) = bytes.split_at(if mode == WriteMode::InHalves { bytes.len() / 2 } else { 0 });
        stream.write_all(first).await?;
        if mode == WriteMode::InHalves {
            sleep(SLOW_WRITE_PAUSE).await;
        }
        stream.write_all(rest).await?;
        requests.iter().for_each(|request| self.record_written(request));
        Ok(())
    }

    fn record_written(&self, request: &RecordedRequest) {
        self.calls.update(request.index, |call| call.written_at = Some(Instant::now()));
    }

    /// Writes requests and reads their answers; returns whether the connection is still usable.
    async fn exchange(
        &self, reader: &mut BufReader<TcpStream>, requests: &[Request], mode: WriteMode,
    ) -> bool {
        let recorded: Vec<RecordedRequest> =
            requests.iter().map(|request| self.record_request(request)).collect();
        for request in recorded.iter().skip(1) {
            self.calls.update(request.index, |call| call.pipeline_position = PipelinePosition::Blocked);
        }
        let written = self.write(reader, &recorded, mode).await;
        for (position, request) in recorded.iter().enumerate() {
            if position > 0 {
                self.calls.update(request.index, |call| {
                    call.pipeline_position = PipelinePosition::UnblockedAt(Instant::now())
                });
            }
            let answered = match &written {
                Ok(()) => timeout(requests[position].deadline + ANSWER_GRACE, read_outcome(reader)).await,
                Err(error) => Ok(Err(io::Error::from(error.kind()))),
            };
            let answer = answered.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
            match answer {
                Ok(answer) => self.record_outcome(request.index, answer),
                Err(error) => {
                    // Answers follow the order of requests: the later requests have no answer either.
                    let closed = || Outcome::Closed(error.to_string());
                    recorded[position..]
                        .iter()
                        .for_each(|request| self.record_outcome(request.index, closed()));
                    self.interrupted_batches.fetch_add(u64::from(position > 0), Ordering::Relaxed);
                    return false;
                }
            }
        }
        true
    }

    /// Writes the first half of a request, and records a balancer that does not close the connection in time.
    async fn send_partial(&self, mut reader: BufReader<TcpStream>, request: &Request) {
        let RecordedRequest { bytes, index } = self.record_request(request);
        self.record_outcome(index, Outcome::NotSent);
        if reader.get_mut().write_all(&bytes[..bytes.len() / 2]).await.is_err() {
            return;
        }
        let stopped_at = Instant::now();
        let mut discarded = Vec::new();
        let ended = timeout(PARTIAL_REQUEST_LIMIT + ANSWER_GRACE, reader.read_to_end(&mut discarded)).await;
        let waited = stopped_at.elapsed();
        if ended.is_err() || waited > PARTIAL_REQUEST_LIMIT {
            self.unclosed_partial_requests.push((request.balancer, waited));
        }
    }

    /// Writes a request and disconnects after a pause, without reading the answer.
    async fn send_and_disconnect(
        &self, mut reader: BufReader<TcpStream>, request: &Request, pause: Duration,
    ) {
        let RecordedRequest { bytes, index } = self.record_request(request);
        let _ = reader.get_mut().write_all(&bytes).await;
        sleep(pause).await;
        drop(reader);
        self.calls.update(index, |call| call.disconnected_at = Some(Instant::now()));
        self.record_outcome(index, Outcome::ClientDisconnected);
    }

    /// Runs one client of a balancer until the end of the run.
    pub(super) async fn run_client(self: Arc<Self>, balancer: usize, seed: u64, pacing: Pacing) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut connection = None;
        while Instant::now() < self.run_end {
            let pause = Duration::from_millis(rng.u64(REQUEST_PAUSE_MS));
            match (pacing, &connection) {
                (Pacing::Continuous | Pacing::Batches, Some(_)) => {}
                (Pacing::Continuous | Pacing::Batches, None) => {
                    sleep(Duration::from_millis(rng.u64(RECONNECT_PAUSE_MS))).await
                }
                (Pacing::Paused, _) => sleep(pause).await,
            }
            if connection.is_none() {
                connection = self.connect(balancer).await;
            }
            let Some(mut reader) = connection.take() else { continue };
            if pacing == Pacing::Batches {
                let requests: Vec<Request> =
                    (0..rng.usize(BATCH_LENGTHS)).map(|_| self.draw_request(&mut rng, balancer)).collect();
                let gap = Duration::from_micros(BATCH_GAPS_US[rng.usize(..BATCH_GAPS_US.len())]);
                if self.exchange(&mut reader, &requests, WriteMode::OneByOne(gap)).await {
                    connection = Some(reader);
                }
                continue;
            }
            let request = self.draw_request(&mut rng, balancer);
            match draw_behaviour(&mut rng) {
                RequestBehaviour::PartialWrite => self.send_partial(reader, &request).await,
                RequestBehaviour::Disconnect => self.send_and_disconnect(reader, &request, pause).await,
                behaviour => {
                    let additional =
                        if behaviour == RequestBehaviour::Pipelined { PIPELINE_LENGTH - 1 } else { 0 };
                    let mut requests = vec![request];
                    requests.extend((0..additional).map(|_| self.draw_request(&mut rng, balancer)));
                    let mode = if behaviour == RequestBehaviour::SlowWrite {
                        WriteMode::InHalves
                    } else {
                        WriteMode::AtOnce
                    };
                    if self.exchange(&mut reader, &requests, mode).await {
                        connection = Some(reader);
                    }
                }
            }
        }
    }

    /// Keeps an idle connection to a balancer open until the end of the run, and reconnects when it is closed.
    pub(super) async fn run_idle_client(self: Arc<Self>, balancer: usize, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        while Instant::now() < self.run_end {
            if let Some(mut reader) = self.connect(balancer).await {
                let remaining = self.run_end.saturating_duration_since(Instant::now());
                let _ = timeout(remaining, reader.read(&mut [0; 64])).await;
            }
            sleep(Duration::from_millis(rng.u64(RECONNECT_PAUSE_MS))).await;
        }
    }
}
