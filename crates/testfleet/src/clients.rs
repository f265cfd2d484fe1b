//! Callers that ask at their own rate whatever comes back, and record each request's final answer.

use crate::journal::Journal;
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

/// How much longer than a request's deadline its answer is waited for.
const GRACE: Duration = Duration::from_secs(5);
/// The longest answer that is read.
const LONGEST_ANSWER: usize = 1024 * 1024;
/// Idle connections that are kept to one balancer.
const MOST_IDLE: usize = 256;

/// A class of requests, as the balancers' settings name it.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether its requests write.
    pub write: bool,
}

/// What the callers ask.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests a second, over all balancers.
    pub per_second: f64,
    /// Requests in all.
    pub requests: usize,
    /// The balancers that are asked, drawn evenly.
    pub balancers: Vec<usize>,
    /// Classes, drawn evenly.
    pub classes: Vec<Class>,
    /// Tenants, drawn evenly.
    pub tenants: Vec<String>,
    /// Keys, drawn evenly from so many.
    pub keys: u64,
    /// The time that a request gives.
    pub deadline: Duration,
    /// What all draws come from.
    pub seed: u64,
}

/// The final answer of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Final {
    /// A value or a receipt.
    Served,
    /// To come again later.
    Refused,
    /// Its connection was closed without an answer, and how: to be asked again, where the close has crossed it.
    Closed(String),
    /// It was never written whole.
    NotTaken,
    /// Its client left.
    Left,
    /// The balancer has no list yet.
    NotReady,
    /// Failed, in these words.
    Failed(String),
    /// None: the connection ended, or nothing came; why.
    Lost(String),
}

/// The place of a request's answer on its connection: answers follow the order of the commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Nothing was owed ahead of it.
    First,
    /// Written behind others, of which one has not been answered: its answer could not come.
    Waits,
    /// Written behind others, the last of which was answered then.
    Came(Instant),
}

/// A request and what came of it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// The balancer that was asked.
    pub balancer: usize,
    /// When it was begun.
    pub at: Instant,
    /// When its last byte was written; never, where that did not come about.
    pub asked: Option<Instant>,
    /// The time that it gave, from then on.
    pub deadline: Duration,
    /// Final answers: one, unless something is wrong.
    pub answers: Vec<(Instant, Final)>,
    /// Its place among the answers of its connection.
    pub turn: Turn,
    /// When its client left, if it did before an answer.
    pub left: Option<Instant>,
}

/// A connection on which the answer to all that was asked has come, and the place of the last call.
#[derive(Debug)]
struct Idle(BufReader<TcpStream>, usize);

#[derive(Debug)]
struct Shared {
    doors: Vec<SocketAddr>,
    idle: Mutex<Vec<Vec<Idle>>>,
    calls: Journal<Call>,
    ids: AtomicU64,
}

/// The callers.
#[derive(Debug, Clone)]
pub struct Clients(Arc<Shared>, Handle);

/// A request before it has an id.
pub(crate) struct Question {
    pub(crate) balancer: usize,
    pub(crate) class: String,
    pub(crate) write: bool,
    pub(crate) tenant: String,
    pub(crate) key: String,
    pub(crate) deadline: Duration,
}

impl Clients {
    /// Callers that reach each balancer at its door.
    #[must_use]
    pub fn new(handle: &Handle, doors: Vec<SocketAddr>) -> Self {
        let idle = Mutex::new(doors.iter().map(|_| Vec::new()).collect());
        let shared = Shared { doors, idle, calls: Journal::default(), ids: AtomicU64::new(1) };
        Self(Arc::new(shared), handle.clone())
    }
    /// All requests so far.
    #[must_use]
    pub fn calls(&self) -> &Journal<Call> {
        &self.0.calls
    }
    /// Begins to ask.
    pub fn ask(&self, load: Load) {
        let shared = Arc::clone(&self.0);
        self.1.spawn(async move {
            let start = Instant::now();
            let mut rng = fastrand::Rng::with_seed(load.seed);
            for number in 0..load.requests {
                sleep_until((start + Duration::from_secs_f64(number as f64 / load.per_second)).into()).await;
                let question = draw(&load, &mut rng);
                tokio::spawn(Arc::clone(&shared).call(question));
            }
        });
    }
    /// Waits until so many requests have been sent.
    ///
    /// # Panics
    /// This and the next: after [`crate::PATIENCE`].
    pub fn sent(&self, requests: usize) {
        self.0.calls.wait("requests sent", |calls| (calls.len() >= requests).then_some(()));
    }
    /// Waits until so many requests have been sent, and each has its answer.
    pub fn answered(&self, requests: usize) {
        let all = |calls: &[Call]| calls.len() >= requests && calls.iter().all(|it| !it.answers.is_empty());
        self.0.calls.wait("requests answered", |calls| all(calls).then_some(()));
        self.0.collect_late();
    }
}

fn draw(load: &Load, rng: &mut fastrand::Rng) -> Question {
    let class = &load.classes[rng.usize(..load.classes.len())];
    Question {
        balancer: load.balancers[rng.usize(..load.balancers.len())],
        class: class.name.clone(),
        write: class.write,
        tenant: load.tenants[rng.usize(..load.tenants.len())].clone(),
        key: format!(
            "{:016x}",
            rng.u64(..load.keys.max(1)).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ),
        deadline: load.deadline,
    }
}

impl Shared {
    fn idle(&self) -> MutexGuard<'_, Vec<Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that has not ended; an answer that nobody waits for is booked with the call before it.
    fn connection(&self, balancer: usize) -> Option<BufReader<TcpStream>> {
        loop {
            let Idle(reader, place) = self.idle()[balancer].pop()?;
            if !self.late(&reader, place) {
                return Some(reader);
            }
        }
    }

    /// Whether something came that nobody waits for, or the connection ended.
    fn late(&self, reader: &BufReader<TcpStream>, place: usize) -> bool {
        let more = match reader.buffer().len() {
            0 => reader.get_ref().try_read(&mut [0; 64]),
            n => Ok(n),
        };
        if matches!(more, Ok(n) if n > 0) {
            self.calls
                .change(place, |call| call.answers.push((Instant::now(), Final::Failed("twice".into()))));
        }
        !matches!(&more, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn collect_late(&self) {
        for idle in self.idle().iter_mut() {
            idle.retain(|Idle(reader, place)| !self.late(reader, *place));
        }
    }

    async fn call(self: Arc<Self>, question: Question) {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let (id, balancer, class) = (format!("{number:016x}"), question.balancer, question.class.clone());
        let idle = self.connection(balancer);
        let (at, asked, deadline, answers) = (Instant::now(), None, question.deadline, Vec::new());
        let call = Call {
            id: id.clone(),
            class,
            balancer,
            at,
            asked,
            deadline,
            answers,
            turn: Turn::First,
            left: None,
        };
        let place = self.calls.push(call);
        let asked = async {
            let mut reader = match idle {
                Some(reader) => reader,
                None => BufReader::new(TcpStream::connect(self.doors[balancer]).await?),
            };
            reader.get_ref().set_nodelay(true)?;
            reader.get_mut().write_all(&command(&question, &id)).await?;
            self.calls.change(place, |call| call.asked = Some(Instant::now()));
            let answer = read(&mut reader).await?;
            io::Result::Ok((reader, answer))
        };
        let outcome = timeout(question.deadline + GRACE, asked).await;
        let (connection, answer) = match outcome {
            Ok(Ok((reader, answer))) => (Some(reader), answer),
            Ok(Err(error)) => (None, Final::Lost(error.to_string())),
            Err(_) => (None, Final::Lost("silence".into())),
        };
        self.calls.change(place, |call| call.answers.push((Instant::now(), answer)));
        let mut all = self.idle();
        if let Some(connection) = connection
            && all[balancer].len() < MOST_IDLE
        {
            all[balancer].push(Idle(connection, place));
        }
    }
}

pub(crate) fn command(question: &Question, id: &str) -> BytesMut {
    let ms = question.deadline.as_millis();
    let mut options = format!("c={},t={},d={ms}", question.class, question.tenant);
    let mut out = BytesMut::new();
    let key = question.key.as_bytes();
    if question.write {
        options.push_str(&format!(",k={id}"));
        encode_command(&mut out, &[b"CACHE.SET", key, id.as_bytes(), options.as_bytes(), b"a value"]);
    } else {
        encode_command(&mut out, &[b"CACHE.GET", key, id.as_bytes(), options.as_bytes()]);
    }
    out
}

pub(crate) async fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Final> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    let line = line.trim_end();
    Ok(match line.split_at_checked(1) {
        None => return Err(io::ErrorKind::UnexpectedEof.into()),
        Some(("$", length)) => {
            let length: Option<usize> = length.parse().ok().filter(|length| *length < LONGEST_ANSWER);
            let length = length.ok_or(io::ErrorKind::InvalidData)?;
            reader.read_exact(&mut vec![0; length + 2]).await?;
            Final::Served
        }
        Some(("+", _)) => Final::Served,
        Some(("-", words)) if words.starts_with("BUSY") => Final::Refused,
        Some(("-", words)) if words.starts_with("LOADING") => Final::NotReady,
        Some((_, words)) => Final::Failed(words.to_owned()),
    })
}
