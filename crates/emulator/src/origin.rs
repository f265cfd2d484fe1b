//! The model of the origin behind the caches: slow, bounded, with a ledger of all executions.

use crate::Micros;
use crate::scenario::{self, micros};
use crate::station::{Admission, Station};
use decide::api::{Key, RequestId};
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rustc_hash::FxHashMap;

/// A fetch or a write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job<T> {
    /// The caller's identifier of the job.
    pub tag: T,
    /// The id of the request.
    pub request: RequestId,
    /// The key that is read or written.
    pub key: Key,
    /// Whether it is a write.
    pub write: bool,
    /// The idempotency key, if it has one.
    pub idempotency_key: Option<u64>,
}

/// How long duplicates of a write with an idempotency key are dropped.
const DEDUP_WINDOW: Micros = 4_000_000;

/// The executions of the origin, which are the ground truth for the referee.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    writes: FxHashMap<RequestId, u32>,
    keyed: FxHashMap<u64, Micros>,
    /// The number of executed reads.
    pub reads: u64,
    /// The number of executed writes, without dropped duplicates.
    pub writes_run: u64,
    /// The number of dropped duplicates of writes with an idempotency key.
    pub dropped: u64,
}

impl Ledger {
    /// Records an execution and returns how often this request has been executed.
    fn record_execution<T>(&mut self, now: Micros, job: &Job<T>) -> u32 {
        if !job.write {
            self.reads += 1;
            return 0;
        }
        if let Some(idempotency_key) = job.idempotency_key {
            let first = *self.keyed.entry(idempotency_key).or_insert(now);
            if now > first && now < first + DEDUP_WINDOW {
                self.dropped += 1;
                return 1;
            }
        }
        self.writes_run += 1;
        let runs = self.writes.entry(job.request).or_default();
        *runs += 1;
        *runs
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// 200.
    Served,
    /// 500, although it was executed.
    Error,
}

/// The result of finishing a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedJob<T> {
    /// How it ended.
    pub outcome: JobOutcome,
    /// How often its request has been executed.
    pub executions: u32,
    /// The next job that starts, with its duration.
    pub next: Option<(Job<T>, Micros)>,
}

/// The model of the origin.
#[derive(Debug)]
pub struct Origin<T> {
    station: Station<Job<T>>,
    time: LogNormal<f64>,
    errors: f64,
    /// The current slowdown factor.
    pub slowdown: f64,
    /// The executions so far.
    pub ledger: Ledger,
}

impl<T: Copy> Origin<T> {
    /// Creates an idle origin.
    ///
    /// # Panics
    /// Does not panic for a validated scenario, whose spread is finite.
    #[must_use]
    pub fn new(spec: &scenario::Origin) -> Self {
        let mean = micros(spec.service).max(1) as f64;
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mu = mean.ln() - spec.spread * spec.spread / 2.0;
        Self {
            station: Station::new(spec.workers, spec.room),
            time: LogNormal::new(mu, spec.spread).expect("a finite spread"),
            errors: spec.errors,
            slowdown: 1.0,
            ledger: Ledger::default(),
        }
    }

    /// Offers a job. Returns the job with its duration if it starts, `None` if it is queued.
    ///
    /// # Errors
    /// Returns [`Declined`] if the queue is full; the job is not executed.
    pub fn offer(&mut self, job: Job<T>, rng: &mut impl Rng) -> Result<Option<(Job<T>, Micros)>, Declined> {
        match self.station.offer(job) {
            (Admission::Rejected, _) => Err(Declined),
            (_, begun) => Ok(begun.map(|job| (job, self.draw_service_time(rng)))),
        }
    }

    /// Finishes a job and records its execution.
    pub fn finish(&mut self, now: Micros, job: &Job<T>, rng: &mut impl Rng) -> FinishedJob<T> {
        let executions = self.ledger.record_execution(now, job);
        let outcome = if self.errors > 0.0 && rng.random_bool(self.errors) {
            JobOutcome::Error
        } else {
            JobOutcome::Served
        };
        let next = self.station.finish().map(|job| (job, self.draw_service_time(rng)));
        FinishedJob { outcome, executions, next }
    }

    /// Returns the number of started or queued jobs.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.station.in_flight()
    }

    fn draw_service_time(&self, rng: &mut impl Rng) -> Micros {
        (self.time.sample(rng) * self.slowdown).ceil() as Micros
    }
}

/// The queue was full: the job was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declined;
