//! The model of the slow origin behind the cache nodes: a few workers, a bounded queue and a ledger of all executions.

use crate::Micros;
use crate::scenario::{self, micros};
use crate::station::{Admission, Station};
use decide::api::{Key, RequestId};
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rustc_hash::FxHashMap;

/// A fetch or a write at the origin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job<T> {
    /// The caller's identifier of the job.
    pub tag: T,
    /// The id of the request.
    pub request: RequestId,
    /// The key that is read or written.
    pub key: Key,
    /// Whether the job is a write.
    pub write: bool,
    /// The idempotency key of the write, if it has one.
    pub idempotency_key: Option<u64>,
}

/// The time for which duplicates of a write with an idempotency key are dropped.
const DEDUP_WINDOW: Micros = 4_000_000;

/// A ledger of the origin's executions, from which the referee learns what was executed.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    /// The number of executions of each write.
    executions: FxHashMap<RequestId, u32>,
    /// The time of the first execution, by idempotency key.
    first_executions: FxHashMap<u64, Micros>,
    /// The number of executed reads.
    pub reads: u64,
    /// The number of executed writes; dropped duplicates are not counted.
    pub writes: u64,
    /// The number of dropped duplicates of writes with an idempotency key.
    pub dropped_duplicates: u64,
}

impl Ledger {
    /// Records the execution of a job. Returns how often the request has been executed, or 0 for a read.
    fn record_execution<T>(&mut self, now: Micros, job: &Job<T>) -> u32 {
        if !job.write {
            self.reads += 1;
            return 0;
        }
        if let Some(idempotency_key) = job.idempotency_key {
            let first = *self.first_executions.entry(idempotency_key).or_insert(now);
            if now > first && now < first + DEDUP_WINDOW {
                self.dropped_duplicates += 1;
                return 1;
            }
        }
        self.writes += 1;
        let executions = self.executions.entry(job.request).or_default();
        *executions += 1;
        *executions
    }
}

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job was executed and answered with status 200.
    Served,
    /// The job was executed but answered with status 500.
    Error,
}

/// The result of finishing a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedJob<T> {
    /// The outcome of the finished job.
    pub outcome: JobOutcome,
    /// How often the request has been executed; 0 for a read.
    pub executions: u32,
    /// The queued job that starts next, with its duration.
    pub next: Option<(Job<T>, Micros)>,
}

/// The model of the origin.
#[derive(Debug)]
pub struct Origin<T> {
    station: Station<Job<T>>,
    service_time: LogNormal<f64>,
    error_fraction: f64,
    /// The current factor of the service times; 1 is the usual speed.
    pub slowdown: f64,
    /// The ledger of all executions.
    pub ledger: Ledger,
}

impl<T: Copy> Origin<T> {
    /// Creates an idle origin.
    ///
    /// # Panics
    /// Panics if the spread is not finite; a validated scenario has a finite spread.
    #[must_use]
    pub fn new(spec: &scenario::Origin) -> Self {
        let mean = micros(spec.service_time).max(1) as f64;
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mu = mean.ln() - spec.service_time_sigma * spec.service_time_sigma / 2.0;
        Self {
            station: Station::new(spec.workers, spec.queue_capacity),
            service_time: LogNormal::new(mu, spec.service_time_sigma)
                .expect("the spread is finite in a validated scenario"),
            error_fraction: spec.error_fraction,
            slowdown: 1.0,
            ledger: Ledger::default(),
        }
    }

    /// Offers a job. Returns the job with its duration if it starts, and `None` if it is queued.
    ///
    /// # Errors
    /// Returns [`Declined`] if the queue is full; the job is not executed.
    pub fn offer(&mut self, job: Job<T>, rng: &mut impl Rng) -> Result<Option<(Job<T>, Micros)>, Declined> {
        match self.station.offer(job) {
            (Admission::Rejected, _) => Err(Declined),
            (_, started) => Ok(started.map(|job| (job, self.draw_service_time(rng)))),
        }
    }

    /// Finishes a job and records its execution.
    pub fn finish(&mut self, now: Micros, job: &Job<T>, rng: &mut impl Rng) -> FinishedJob<T> {
        let executions = self.ledger.record_execution(now, job);
        let outcome = if self.error_fraction > 0.0 && rng.random_bool(self.error_fraction) {
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
        (self.service_time.sample(rng) * self.slowdown).ceil() as Micros
    }
}

/// The error of a job that was not executed because the queue was full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declined;
