//! An open-loop load generator, which sends requests at a fixed rate and records the outcome of each request.

use crate::SPREAD_MULTIPLIER;
use crate::event_log::EventLog;
use bytes::BytesMut;
use proto::resp::encode_command;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::{sleep_until, timeout};

/// How long clients wait for the answer of a request after its deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(5);
/// The maximum length of a value in an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// The maximum number of idle connections to one balancer.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// A request class of the balancers' settings.
#[derive(Debug, Clone)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// Whether requests of the class are writes.
    pub write: bool,
}

/// The load to generate. Balancer, class, tenant and key of each request are drawn uniformly.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests per second, over all balancers.
    pub per_second: f64,
    /// The total number of requests.
    pub requests: usize,
    /// The numbers of the balancers to send to.
    pub balancers: Vec<usize>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The number of distinct keys.
    pub keys: u64,
    /// The deadline of each request, relative to the time at which it is written.
    pub deadline: Duration,
    /// The seed of all random draws.
    pub seed: u64,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a value or a receipt.
    Served,
    /// Rejected with `-BUSY`. The client may retry later.
    Rejected,
    /// The connection was closed before an answer, with this error. The client may retry if the close raced the
    /// request.
    Closed(String),
    /// The client did not write the request completely.
    NotSent,
    /// The client disconnected before the answer.
    ClientDisconnected,
    /// Answered with `-LOADING`: the balancer has no endpoint list yet.
    NotReady,
    /// Answered with this error.
    Failed(String),
    /// No answer, with the reason: connecting failed, the connection ended, or the wait for the answer timed out.
    Lost(String),
}

/// The position of a request in its pipeline. Answers follow the order of the commands on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PipelinePosition {
    /// No earlier request of the connection was outstanding.
    First,
    /// An earlier request of the connection has no answer yet, so this one cannot have one.
    Blocked,
    /// The earlier requests of the connection were all answered at this time.
    UnblockedAt(Instant),
}

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id.
    pub id: String,
    /// The request class.
    pub class: String,
    /// The balancer it was sent to.
    pub balancer: usize,
    /// When the request was started.
    pub at: Instant,
    /// When the last byte of the request was written; `None` if the request was not written completely.
    pub written_at: Option<Instant>,
    /// The deadline, relative to `written_at`.
    pub deadline: Duration,
    /// The outcomes with their times: exactly one, unless a rule was broken.
    pub answers: Vec<(Instant, Outcome)>,
    /// The position of the request in the pipeline of its connection.
    pub pipeline_position: PipelinePosition,
    /// When the client disconnected before an answer; `None` if it did not.
    pub disconnected_at: Option<Instant>,
}

impl Call {
    /// Returns the record of a request that starts now.
    pub(crate) fn start(id: String, request: &Request) -> Self {
        Self {
            id,
            class: request.class.clone(),
            balancer: request.balancer,
            at: Instant::now(),
            written_at: None,
            deadline: request.deadline,
            answers: Vec::new(),
            pipeline_position: PipelinePosition::First,
            disconnected_at: None,
        }
    }
}

/// A connection without outstanding requests, and the log index of the last call on it.
#[derive(Debug)]
struct IdleConnection(BufReader<TcpStream>, usize);

/// The state shared by the handles and requests of the load generator.
#[derive(Debug)]
struct Shared {
    balancer_addrs: Vec<SocketAddr>,
    idle_connections: Mutex<Vec<Vec<IdleConnection>>>,
    calls: EventLog<Call>,
    next_id: AtomicU64,
}

/// A handle to the load generator.
#[derive(Debug, Clone)]
pub struct Clients(Arc<Shared>, Handle);

/// Returns the key with a number. Consecutive numbers result in keys that are spread over the key space.
pub(crate) fn spread_key(number: u64) -> String {
    format!("{:016x}", number.wrapping_add(1).wrapping_mul(SPREAD_MULTIPLIER))
}

/// A request before an id is assigned.
pub(crate) struct Request {
    pub(crate) balancer: usize,
    pub(crate) class: String,
    pub(crate) write: bool,
    pub(crate) tenant: String,
    pub(crate) key: String,
    pub(crate) deadline: Duration,
}

impl Clients {
    /// Creates clients that connect to balancer `n` at the address with index `n`.
    #[must_use]
    pub fn new(handle: &Handle, balancer_addrs: Vec<SocketAddr>) -> Self {
        let idle_connections = Mutex::new(balancer_addrs.iter().map(|_| Vec::new()).collect());
        let shared = Shared {
            balancer_addrs,
            idle_connections,
            calls: EventLog::default(),
            next_id: AtomicU64::new(1),
        };
        Self(Arc::new(shared), handle.clone())
    }
    /// Returns the log of all requests.
    #[must_use]
    pub fn calls(&self) -> &EventLog<Call> {
        &self.0.calls
    }
    /// Starts sending a load in the background.
    pub fn start_load(&self, load: Load) {
        let shared = Arc::clone(&self.0);
        self.1.spawn(async move {
            let start = Instant::now();
            let mut rng = fastrand::Rng::with_seed(load.seed);
            for number in 0..load.requests {
                sleep_until((start + Duration::from_secs_f64(number as f64 / load.per_second)).into()).await;
                let request = draw_request(&load, &mut rng);
                tokio::spawn(Arc::clone(&shared).send_request(request));
            }
        });
    }
    /// Waits until this many requests have been started.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn await_sent(&self, requests: usize) {
        self.0
            .calls
            .wait(&format!("{requests} requests are sent"), |calls| (calls.len() >= requests).then_some(()));
    }
    /// Waits until this many requests have been started and every started request has an outcome.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn await_answered(&self, requests: usize) {
        let all = |calls: &[Call]| calls.len() >= requests && calls.iter().all(|it| !it.answers.is_empty());
        self.0.calls.wait(&format!("{requests} requests are sent and all are answered"), |calls| {
            all(calls).then_some(())
        });
        self.0.check_idle_connections();
    }
}

fn draw_request(load: &Load, rng: &mut fastrand::Rng) -> Request {
    let class = &load.classes[rng.usize(..load.classes.len())];
    Request {
        balancer: load.balancers[rng.usize(..load.balancers.len())],
        class: class.name.clone(),
        write: class.write,
        tenant: load.tenants[rng.usize(..load.tenants.len())].clone(),
        key: spread_key(rng.u64(..load.keys.max(1))),
        deadline: load.deadline,
    }
}

impl Shared {
    fn idle_connections(&self) -> MutexGuard<'_, Vec<Vec<IdleConnection>>> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns an open idle connection. An unexpected answer on an idle connection is recorded with the
    /// last call on it.
    fn pop_idle_connection(&self, balancer: usize) -> Option<BufReader<TcpStream>> {
        loop {
            let IdleConnection(reader, index) = self.idle_connections()[balancer].pop()?;
            if !self.has_unexpected_input(&reader, index) {
                return Some(reader);
            }
        }
    }

    /// Returns whether an idle connection has unexpected input, which is recorded with its last call, or has ended.
    fn has_unexpected_input(&self, reader: &BufReader<TcpStream>, index: usize) -> bool {
        let unexpected = match reader.buffer().len() {
            0 => reader.get_ref().try_read(&mut [0; 64]),
            n => Ok(n),
        };
        if matches!(unexpected, Ok(n) if n > 0) {
            self.calls
                .update(index, |call| call.answers.push((Instant::now(), Outcome::Failed("twice".into()))));
        }
        !matches!(&unexpected, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Records unexpected answers on idle connections, and removes these connections and those that have ended.
    fn check_idle_connections(&self) {
        for idle in self.idle_connections().iter_mut() {
            idle.retain(|IdleConnection(reader, index)| !self.has_unexpected_input(reader, *index));
        }
    }

    /// Sends a request and records its outcome.
    async fn send_request(self: Arc<Self>, request: Request) {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let idle = self.pop_idle_connection(request.balancer);
        let index = self.calls.push(Call::start(id.clone(), &request));
        let exchange = self.exchange(idle, &request, &id, index);
        let outcome = timeout(request.deadline + ANSWER_GRACE, exchange).await;
        let (connection, answer) = match outcome {
            Ok(Ok((reader, answer))) => (Some(reader), answer),
            Ok(Err(error)) => (None, Outcome::Lost(error.to_string())),
            Err(_) => (None, Outcome::Lost("timeout".into())),
        };
        self.calls.update(index, |call| call.answers.push((Instant::now(), answer)));
        if let Some(connection) = connection {
            self.return_idle(request.balancer, IdleConnection(connection, index));
        }
    }

    /// Writes a request on an idle or a new connection and reads its answer.
    async fn exchange(
        &self, idle: Option<BufReader<TcpStream>>, request: &Request, id: &str, index: usize,
    ) -> io::Result<(BufReader<TcpStream>, Outcome)> {
        let mut reader = match idle {
            Some(reader) => reader,
            None => BufReader::new(TcpStream::connect(self.balancer_addrs[request.balancer]).await?),
        };
        reader.get_ref().set_nodelay(true)?;
        reader.get_mut().write_all(&encode_request(request, id)).await?;
        self.calls.update(index, |call| call.written_at = Some(Instant::now()));
        let answer = read_outcome(&mut reader).await?;
        Ok((reader, answer))
    }

    /// Keeps a connection for later requests, unless [`MAX_IDLE_CONNECTIONS`] are kept.
    fn return_idle(&self, balancer: usize, connection: IdleConnection) {
        let idle = &mut self.idle_connections()[balancer];
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}

/// Encodes a request as a RESP command.
pub(crate) fn encode_request(request: &Request, id: &str) -> BytesMut {
    let deadline_ms = request.deadline.as_millis();
    let mut options = format!("c={},t={},d={deadline_ms}", request.class, request.tenant);
    let mut encoded = BytesMut::new();
    let key = request.key.as_bytes();
    if request.write {
        options.push_str(&format!(",k={id}"));
        encode_command(&mut encoded, &[b"CACHE.SET", key, id.as_bytes(), options.as_bytes(), b"a value"]);
    } else {
        encode_command(&mut encoded, &[b"CACHE.GET", key, id.as_bytes(), options.as_bytes()]);
    }
    encoded
}

/// Reads the answer of a request.
pub(crate) async fn read_outcome(reader: &mut BufReader<TcpStream>) -> io::Result<Outcome> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    let line = line.trim_end();
    Ok(match line.split_at_checked(1) {
        None => return Err(io::ErrorKind::UnexpectedEof.into()),
        Some(("$", length)) => {
            let length: Option<usize> = length.parse().ok().filter(|length| *length < MAX_ANSWER_BYTES);
            let length = length.ok_or(io::ErrorKind::InvalidData)?;
            reader.read_exact(&mut vec![0; length + 2]).await?;
            Outcome::Served
        }
        Some(("+", _)) => Outcome::Served,
        Some(("-", text)) if text.starts_with("BUSY") => Outcome::Rejected,
        Some(("-", text)) if text.starts_with("LOADING") => Outcome::NotReady,
        Some((_, text)) => Outcome::Failed(text.to_owned()),
    })
}
