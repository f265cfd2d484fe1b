//! The model of a cache node: cores and their speed, a bounded queue, cached objects, slow start and overload.

use crate::scenario::{Fleet, micros};
use crate::station::{Admission, Station};
use crate::{Micros, SECOND};
use decide::api::Key;
use hashlink::LruCache;
use rustc_hash::FxBuildHasher;

/// The number of buckets per second into which the load of a cold node is divided.
const LOAD_BUCKETS: usize = 10;

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// Accepts requests.
    Up,
    /// Finishes accepted requests and rejects new requests.
    Draining,
    /// The process is stopped; the machine refuses connections.
    Down,
    /// The machine does not respond.
    Unresponsive,
    /// The process was stopped by overload during slow start; the machine refuses connections.
    Overloaded,
}

/// A read at a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job<T> {
    /// The caller's identifier of the job.
    pub tag: T,
    /// The key that is read.
    pub key: Key,
    /// The work of the read on one core of speed 1, in microseconds.
    pub work_us: f64,
}

/// The result of offering a job to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeAdmission {
    /// The job has started and ends after this many microseconds.
    Started(Micros),
    /// The job is queued until another job ends.
    Queued,
    /// The job is rejected: the node drains or its queue is full.
    Rejected,
    /// The machine refuses the connection.
    ConnectionRefused,
    /// The machine does not respond.
    NoResponse,
    /// The job overloaded the node, and the node stopped.
    Overloaded,
}

/// The model of a cache node.
#[derive(Debug)]
pub struct Node<T> {
    cores: usize,
    speed: f64,
    slow_start_fraction: f64,
    slow_start_duration: Micros,
    overload_multiple: f64,
    miss_work_fraction: f64,
    /// The current state of the node.
    pub state: NodeState,
    /// The time of the last start; 0 if the node was started and warm before the simulation.
    pub started: Micros,
    /// The incarnation. Each start and each stop increases it, so that jobs of an earlier incarnation are recognized.
    pub incarnation: u32,
    station: Station<Job<T>>,
    cached: LruCache<Key, (), FxBuildHasher>,
    load_buckets: [(Micros, f64); LOAD_BUCKETS],
}

impl<T: Copy> Node<T> {
    /// Creates node number `n` of a fleet, fully warm.
    #[must_use]
    pub fn new(n: usize, fleet: &Fleet) -> Self {
        let (cores, speed) =
            if n.is_multiple_of(2) { (1, fleet.one_core_speed) } else { (2, fleet.two_core_speed) };
        Self {
            cores,
            speed,
            slow_start_fraction: fleet.slow_start_fraction,
            slow_start_duration: micros(fleet.slow_start_duration),
            overload_multiple: fleet.overload_multiple,
            miss_work_fraction: fleet.miss_work_fraction,
            state: NodeState::Up,
            started: 0,
            incarnation: 0,
            station: Station::new(cores, fleet.queue_capacity),
            cached: LruCache::with_hasher(fleet.cache_capacity, FxBuildHasher),
            load_buckets: [(0, 0.0); LOAD_BUCKETS],
        }
    }

    /// Returns the fraction of the node's full capacity that is available at `now`.
    #[must_use]
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.slow_start_duration {
            return 1.0;
        }
        self.slow_start_fraction
            + (1.0 - self.slow_start_fraction) * age as f64 / self.slow_start_duration as f64
    }

    /// Returns the node's capacity at `now`, in microseconds of work per microsecond.
    #[must_use]
    pub fn capacity(&self, now: Micros) -> f64 {
        self.cores as f64 * self.speed * self.capacity_fraction(now)
    }

    /// Starts the node with an empty cache, at the beginning of slow start.
    pub fn start(&mut self, now: Micros) {
        (self.state, self.started, self.incarnation) = (NodeState::Up, now.max(1), self.incarnation + 1);
        (self.load_buckets, _) = ([(0, 0.0); LOAD_BUCKETS], self.cached.clear());
        self.station.clear();
    }

    /// Stops the node and sets its state to `state`; its jobs are lost.
    pub fn stop(&mut self, state: NodeState) {
        (self.state, self.incarnation) = (state, self.incarnation + 1);
        self.station.clear();
    }

    /// Offers a read to the node, which starts, queues or rejects it.
    pub fn offer(&mut self, now: Micros, job: Job<T>) -> NodeAdmission {
        match self.state {
            NodeState::Down | NodeState::Overloaded => return NodeAdmission::ConnectionRefused,
            NodeState::Unresponsive => return NodeAdmission::NoResponse,
            NodeState::Up | NodeState::Draining => {}
        }
        if self.capacity_fraction(now) < 1.0 && self.exceeds_slow_start_budget(now, self.job_work(&job)) {
            self.stop(NodeState::Overloaded);
            return NodeAdmission::Overloaded;
        }
        if self.state == NodeState::Draining {
            return NodeAdmission::Rejected;
        }
        match self.station.offer(job) {
            (Admission::Started, Some(job)) => NodeAdmission::Started(self.service_time(now, &job)),
            (Admission::Queued, _) => NodeAdmission::Queued,
            _ => NodeAdmission::Rejected,
        }
    }

    /// Finishes a job of the current incarnation. Returns whether its key was cached, and the queued job that starts
    /// next, with its duration.
    pub fn finish(&mut self, now: Micros, key: Key) -> (bool, Option<(Job<T>, Micros)>) {
        let hit = self.cached.get(&key).is_some();
        let next = self.station.finish().map(|job| (job, self.service_time(now, &job)));
        (hit, next)
    }

    /// Caches an object.
    pub fn store(&mut self, key: Key) {
        if matches!(self.state, NodeState::Up | NodeState::Draining) {
            self.cached.insert(key, ());
        }
    }

    /// Invalidates an object.
    pub fn invalidate(&mut self, key: Key) {
        self.cached.remove(&key);
    }

    /// Drops the cached objects that `is_dropped` selects.
    pub fn flush(&mut self, mut is_dropped: impl FnMut() -> bool) {
        self.cached.retain(|_, ()| !is_dropped());
    }

    /// Returns the number of cached objects.
    #[must_use]
    pub fn cached(&self) -> usize {
        self.cached.len()
    }

    /// Returns the number of started or queued reads.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.station.in_flight()
    }

    /// Returns the work that a job costs the node. A miss costs only a fraction of the work of a hit.
    fn job_work(&self, job: &Job<T>) -> f64 {
        job.work_us * if self.cached.peek(&job.key).is_some() { 1.0 } else { self.miss_work_fraction }
    }

    fn service_time(&self, now: Micros, job: &Job<T>) -> Micros {
        (self.job_work(job) / (self.speed * self.capacity_fraction(now))).ceil() as Micros
    }

    /// Adds `work_us` to the load, and returns whether the load of the last second exceeds the slow-start budget.
    fn exceeds_slow_start_budget(&mut self, now: Micros, work_us: f64) -> bool {
        let bucket_number = now / (SECOND / LOAD_BUCKETS as u64);
        let bucket = &mut self.load_buckets[(bucket_number % LOAD_BUCKETS as u64) as usize];
        if bucket.0 != bucket_number {
            *bucket = (bucket_number, 0.0);
        }
        bucket.1 += work_us;
        let recent_load = self
            .load_buckets
            .iter()
            .filter(|(at, _)| at + (LOAD_BUCKETS as u64) > bucket_number)
            .map(|(_, work)| work);
        recent_load.sum::<f64>() > self.overload_multiple * self.capacity(now) * SECOND as f64
    }
}
