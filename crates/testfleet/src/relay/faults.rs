//! The faults of one direction of a link and their effect on datagrams. Deterministic: all random draws come from a
//! seed, and there is no clock and no I/O.

use bytes::Bytes;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of datagrams buffered while a direction is stalled. Beyond it, the oldest datagram is dropped.
pub const MAX_STALLED_DATAGRAMS: usize = 4_096;

/// The faults of one direction of a link. Streams use only `delay`, `jitter`, `stalled` and `cut`, since TCP hides the
/// others.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Faults {
    /// The probability that a datagram is lost.
    pub loss_probability: f64,
    /// The probability that a datagram is duplicated.
    pub duplication_probability: f64,
    /// The probability that a datagram is sent after the next one.
    pub reordering_probability: f64,
    /// The fixed delay of all data.
    pub delay: Duration,
    /// The maximum of the random delay added to `delay`.
    pub jitter: Duration,
    /// Whether data is buffered until the fault ends.
    pub stalled: bool,
    /// Whether the link is partitioned: datagrams are lost, streams are buffered.
    pub cut: bool,
}

/// The traffic counters of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Datagrams received.
    pub received: u64,
    /// Datagrams sent, including duplicates.
    pub sent: u64,
    /// Datagrams lost.
    pub lost: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// One direction of the link between two balancers.
#[derive(Debug)]
pub struct Direction {
    faults: Faults,
    rng: fastrand::Rng,
    delayed_by_one: Option<Bytes>,
    stalled_datagrams: VecDeque<Bytes>,
    counts: Counts,
}

impl Direction {
    /// Creates a direction without faults. The seed determines all random draws.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            faults: Faults::default(),
            rng,
            delayed_by_one: None,
            stalled_datagrams: VecDeque::new(),
            counts: Counts::default(),
        }
    }
    /// Returns the traffic counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }
    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults
    }

    /// Changes the faults. Returns the buffered datagrams that the change releases, each with the delay to send it
    /// after.
    pub fn set_faults(&mut self, faults: Faults) -> Vec<(Duration, Bytes)> {
        self.faults = faults;
        if faults.stalled {
            return Vec::new();
        }
        let stalled_datagrams = std::mem::take(&mut self.stalled_datagrams);
        let mut out: Vec<_> =
            stalled_datagrams.into_iter().flat_map(|datagram| self.apply_faults(datagram, true)).collect();
        if faults.reordering_probability == 0.0
            && let Some(delayed) = self.delayed_by_one.take()
        {
            out.push((Duration::ZERO, self.count_sent(delayed)));
        }
        out
    }

    /// Receives a datagram. Returns the datagrams to send, each with the delay to send it after.
    pub fn forward(&mut self, datagram: Bytes) -> Vec<(Duration, Bytes)> {
        self.counts.received += 1;
        self.apply_faults(datagram, false)
    }

    /// Applies the faults to a datagram. A datagram that was buffered in a stall is not lost to the loss probability,
    /// which was applied to it on arrival.
    fn apply_faults(&mut self, datagram: Bytes, was_stalled: bool) -> Vec<(Duration, Bytes)> {
        let faults = self.faults;
        // All three are drawn for every datagram, so that the draws of a seed do not depend on the faults.
        let [lost, doubled, reordered] =
            [faults.loss_probability, faults.duplication_probability, faults.reordering_probability]
                .map(|probability| self.rng.f64() < probability);
        if faults.cut || (lost && !was_stalled) {
            self.counts.lost += 1;
            return Vec::new();
        }
        if faults.stalled {
            if self.stalled_datagrams.len() == MAX_STALLED_DATAGRAMS {
                self.stalled_datagrams.pop_front();
                self.counts.lost += 1;
            }
            self.stalled_datagrams.push_back(datagram);
            return Vec::new();
        }
        if reordered && self.delayed_by_one.is_none() {
            self.delayed_by_one = Some(datagram);
            return Vec::new();
        }
        let mut sent = vec![datagram.clone()];
        sent.extend(doubled.then_some(datagram));
        sent.extend(self.delayed_by_one.take());
        sent.into_iter()
            .map(|it| (faults.delay + faults.jitter.mul_f64(self.rng.f64()), self.count_sent(it)))
            .collect()
    }

    fn count_sent(&mut self, datagram: Bytes) -> Bytes {
        self.counts.sent += 1;
        self.counts.bytes += datagram.len() as u64;
        datagram
    }
}
