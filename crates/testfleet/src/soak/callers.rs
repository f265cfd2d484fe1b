//! Callers of a soak run: each keeps its connection for as long as it stays open, and does now and then what bad clients do.

use crate::clients::{Call, Final, Question, Turn, command, read};
use crate::journal::Journal;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How much longer than a request's time its answer is waited for.
const GRACE: Duration = Duration::from_secs(4);
/// Pauses between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..60;
/// The same before a caller of a crowd dials anew, whose pauses are none otherwise. A port that was used is free again after a minute
/// only: a crowd that dialled as fast as it is refused would use up all of the system's within a run or two.
const REDIAL_MS: std::ops::Range<u64> = 100..500;
/// Requests that a caller who pipelines writes at once.
const PIPELINED: usize = 5;
/// Pauses between the two pieces of a command that is written slowly.
const SLOW: Duration = Duration::from_millis(30);
/// How long a client that stops half way may be kept waiting for its error or the end of its connection.
const HALF_WAY: Duration = Duration::from_millis(3_000);

/// What a caller does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Writes it, and reads the answer.
    Usual,
    /// Writes several, and reads the answers.
    Pipelines,
    /// Writes it in two pieces.
    WritesSlowly,
    /// Writes a part of it, and waits.
    StopsHalfWay,
    /// Writes it, and leaves before the answer.
    Leaves,
}

fn manner(rng: &mut fastrand::Rng) -> Manner {
    match rng.u8(..20) {
        0 | 1 => Manner::Pipelines,
        2 => Manner::WritesSlowly,
        3 => Manner::StopsHalfWay,
        4 => Manner::Leaves,
        _ => Manner::Usual,
    }
}

/// Where a balancer listens now, and until when new connections go there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Front {
    pub(super) addr: SocketAddr,
    pub(super) dialled_until: Option<Instant>,
}

/// What all callers share.
#[derive(Debug)]
pub(super) struct Callers {
    pub(super) fronts: Mutex<Vec<Front>>,
    pub(super) calls: Journal<Call>,
    /// Clients that stopped half way and were kept waiting for too long: how long, and by which balancer.
    pub(super) kept_waiting: Journal<(usize, Duration)>,
    pub(super) ids: AtomicU64,
    pub(super) classes: Vec<(String, bool, Duration)>,
    pub(super) until: Instant,
}

impl Callers {
    /// Where to dial this balancer; none while it is ending.
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

    fn draw(&self, rng: &mut fastrand::Rng, balancer: usize) -> Question {
        let (class, write, deadline) = self.classes[rng.usize(..self.classes.len())].clone();
        let key = format!("{:016x}", rng.u64(..400).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Question { balancer, class, write, tenant: "acme".into(), key, deadline }
    }

    /// Books a request that is about to be written; its bytes and its place.
    fn begin(&self, question: &Question) -> (Vec<u8>, usize) {
        let id = format!("{:016x}", self.ids.fetch_add(1, Ordering::Relaxed));
        let bytes = command(question, &id).to_vec();
        let (class, balancer, deadline) = (question.class.clone(), question.balancer, question.deadline);
        let (at, asked, answers) = (Instant::now(), None, Vec::new());
        let (turn, left) = (Turn::First, None);
        (bytes, self.calls.push(Call { id, class, balancer, at, asked, deadline, answers, turn, left }))
    }

    fn ended(&self, place: usize, answer: Final) {
        self.calls.change(place, |call| call.answers.push((Instant::now(), answer)));
    }

    /// Writes these requests and reads their answers; whether the connection goes on.
    async fn ask(&self, open: &mut BufReader<TcpStream>, questions: &[Question], slowly: bool) -> bool {
        let begun: Vec<_> = questions.iter().map(|question| self.begin(question)).collect();
        let bytes: Vec<u8> = begun.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        let (first, rest) = bytes.split_at(if slowly { bytes.len() / 2 } else { 0 });
        let write = async {
            open.get_mut().write_all(first).await?;
            if slowly {
                sleep(SLOW).await;
            }
            open.get_mut().write_all(rest).await
        };
        let written = write.await;
        let asked = Instant::now();
        for (_, place) in &begun {
            self.calls.change(*place, |call| call.asked = written.is_ok().then_some(asked));
        }
        for (_, place) in begun.iter().skip(1) {
            self.calls.change(*place, |call| call.turn = Turn::Waits);
        }
        for (number, (_, place)) in begun.iter().enumerate() {
            if number > 0 {
                self.calls.change(*place, |call| call.turn = Turn::Came(Instant::now()));
            }
            let answered = match &written {
                Ok(()) => timeout(questions[number].deadline + GRACE, read(open)).await,
                Err(error) => Ok(Err(io::Error::from(error.kind()))),
            };
            let answer = answered.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
            match answer {
                Ok(answer) => self.ended(*place, answer),
                Err(error) => {
                    // Behind the first that has no answer, none of them has one.
                    let closed = || Final::Closed(error.to_string());
                    begun[number..].iter().for_each(|(_, place)| self.ended(*place, closed()));
                    return false;
                }
            }
        }
        true
    }

    async fn stop_half_way(&self, mut open: BufReader<TcpStream>, question: &Question) {
        let (bytes, place) = self.begin(question);
        self.ended(place, Final::NotTaken);
        if open.get_mut().write_all(&bytes[..bytes.len() / 2]).await.is_err() {
            return;
        }
        let stopped = Instant::now();
        let mut rest = Vec::new();
        let ended = timeout(HALF_WAY + GRACE, open.read_to_end(&mut rest)).await;
        let kept = stopped.elapsed();
        if ended.is_err() || kept > HALF_WAY {
            self.kept_waiting.push((question.balancer, kept));
        }
    }

    async fn leave(&self, mut open: BufReader<TcpStream>, question: &Question, after: Duration) {
        let (bytes, place) = self.begin(question);
        let _ = open.get_mut().write_all(&bytes).await;
        sleep(after).await;
        drop(open);
        self.calls.change(place, |call| call.left = Some(Instant::now()));
        self.ended(place, Final::Left);
    }

    /// One caller, who asks this balancer until the time is over. Without a pause between requests where it is busy.
    pub(super) async fn ask_on(self: Arc<Self>, balancer: usize, seed: u64, busy: bool) {
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
            let question = self.draw(&mut rng, balancer);
            match manner(&mut rng) {
                Manner::StopsHalfWay => self.stop_half_way(open, &question).await,
                Manner::Leaves => self.leave(open, &question, pause).await,
                manner => {
                    let more = if manner == Manner::Pipelines { PIPELINED - 1 } else { 0 };
                    let mut questions = vec![question];
                    questions.extend((0..more).map(|_| self.draw(&mut rng, balancer)));
                    if self.ask(&mut open, &questions, manner == Manner::WritesSlowly).await {
                        connection = Some(open);
                    }
                }
            }
        }
    }

    /// A connection on which nothing is asked, dialled anew when it ends.
    pub(super) async fn rest(self: Arc<Self>, balancer: usize, seed: u64) {
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
