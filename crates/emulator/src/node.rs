//! A cache node: cores and their speed, a waiting room, the objects it keeps, and how it warms up or falls over.

use crate::scenario::{Fleet, micros};
use crate::station::{Station, Taken};
use crate::{Micros, SECOND};
use decide::api::Key;
use hashlink::LruCache;
use rustc_hash::FxBuildHasher;

/// Spans of a second over which what a cold node is sent is summed.
const SPANS: usize = 10;

/// What a node is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Up,
    /// It finishes what it has and turns the rest away.
    Draining,
    /// Its process is gone: connections are refused.
    Down,
    /// Its machine says nothing.
    Silent,
    /// It was pushed over and stays down.
    Fallen,
}

/// A read at a node, named by the driver.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job<T> {
    /// Whose it is.
    pub tag: T,
    /// What is read.
    pub key: Key,
    /// Its work on one core of speed 1, in microseconds.
    pub work_us: f64,
}

/// What came of offering a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
    /// Begun: it ends after so many microseconds.
    Ends(Micros),
    /// It waits; it is handed out when another has ended.
    Waits,
    /// Turned away.
    TurnedAway,
    /// Nobody is there: connections are refused.
    Refused,
    /// Nothing comes back, ever.
    Silence,
    /// The same as turned away, and the node has just been pushed over.
    FellOver,
}

/// A cache node.
#[derive(Debug)]
pub struct Node<T> {
    cores: usize,
    speed: f64,
    slow_start_fraction: f64,
    cold_for: Micros,
    falls_at: f64,
    miss_work: f64,
    /// What it is doing.
    pub state: State,
    /// Its last start; 0 for long ago.
    pub started: Micros,
    /// Counts starts, so that work begun before one is told from work after it.
    pub life: u32,
    station: Station<Job<T>>,
    kept: LruCache<Key, (), FxBuildHasher>,
    sent: [(Micros, f64); SPANS],
}

impl<T: Copy> Node<T> {
    /// Node number `n` of a fleet, warm since long ago.
    #[must_use]
    pub fn new(n: usize, fleet: &Fleet) -> Self {
        let (cores, speed) = if n.is_multiple_of(2) { (1, fleet.one_core) } else { (2, fleet.two_cores) };
        Self {
            cores,
            speed,
            slow_start_fraction: fleet.slow_start_fraction,
            cold_for: micros(fleet.cold_for),
            falls_at: fleet.falls_at,
            miss_work: fleet.miss_work,
            state: State::Up,
            started: 0,
            life: 0,
            station: Station::new(cores, fleet.room),
            kept: LruCache::with_hasher(fleet.keeps, FxBuildHasher),
            sent: [(0, 0.0); SPANS],
        }
    }

    /// The part of its full capacity that it has now.
    #[must_use]
    pub fn warmth(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.cold_for {
            return 1.0;
        }
        self.slow_start_fraction + (1.0 - self.slow_start_fraction) * age as f64 / self.cold_for as f64
    }

    /// Its capacity now, in microseconds of work a microsecond.
    #[must_use]
    pub fn capacity(&self, now: Micros) -> f64 {
        self.cores as f64 * self.speed * self.warmth(now)
    }

    /// It starts, cold and empty.
    pub fn start(&mut self, now: Micros) {
        (self.state, self.started, self.life) = (State::Up, now.max(1), self.life + 1);
        (self.sent, _) = ([(0, 0.0); SPANS], self.kept.clear());
        self.station.clear();
    }

    /// It dies, or its machine falls silent: what it had is lost.
    pub fn stop(&mut self, state: State) {
        (self.state, self.life) = (state, self.life + 1);
        self.station.clear();
    }

    /// A read arrives.
    pub fn offer(&mut self, now: Micros, job: Job<T>) -> Offered {
        match self.state {
            State::Down | State::Fallen => return Offered::Refused,
            State::Silent => return Offered::Silence,
            State::Up | State::Draining => {}
        }
        if self.warmth(now) < 1.0 && self.pushed(now, self.work(&job)) {
            self.stop(State::Fallen);
            return Offered::FellOver;
        }
        if self.state == State::Draining {
            return Offered::TurnedAway;
        }
        match self.station.offer(job) {
            (Taken::Begun, Some(job)) => Offered::Ends(self.time(now, &job)),
            (Taken::Waits, _) => Offered::Waits,
            _ => Offered::TurnedAway,
        }
    }

    /// A job begun in this life has ended: whether it found its key, and the next that has begun, with its time.
    pub fn ended(&mut self, now: Micros, key: Key) -> (bool, Option<(Job<T>, Micros)>) {
        let found = self.kept.get(&key).is_some();
        let next = self.station.ended().map(|job| (job, self.time(now, &job)));
        (found, next)
    }

    /// Keeps an object.
    pub fn store(&mut self, key: Key) {
        if matches!(self.state, State::Up | State::Draining) {
            self.kept.insert(key, ());
        }
    }

    /// Drops an object, if it is kept.
    pub fn void(&mut self, key: Key) {
        self.kept.remove(&key);
    }

    /// Drops the objects that `goes` picks.
    pub fn flush(&mut self, mut goes: impl FnMut() -> bool) {
        self.kept.retain(|_, ()| !goes());
    }

    /// Objects kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.kept.len()
    }

    /// Reads begun or waiting.
    #[must_use]
    pub fn held(&self) -> usize {
        self.station.held()
    }

    /// A miss is found out early, and costs only a part of the work.
    fn work(&self, job: &Job<T>) -> f64 {
        job.work_us * if self.kept.peek(&job.key).is_some() { 1.0 } else { self.miss_work }
    }

    fn time(&self, now: Micros, job: &Job<T>) -> Micros {
        (self.work(job) / (self.speed * self.warmth(now))).ceil() as Micros
    }

    /// Books what is sent; true when a second's worth of it is beyond what a cold node bears.
    fn pushed(&mut self, now: Micros, work_us: f64) -> bool {
        let span = now / (SECOND / SPANS as u64);
        let place = &mut self.sent[(span % SPANS as u64) as usize];
        if place.0 != span {
            *place = (span, 0.0);
        }
        place.1 += work_us;
        let lately = self.sent.iter().filter(|(at, _)| at + (SPANS as u64) > span).map(|(_, work)| work);
        lately.sum::<f64>() > self.falls_at * self.capacity(now) * SECOND as f64
    }
}
