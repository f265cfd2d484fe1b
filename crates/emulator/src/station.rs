//! A model of a few workers with a bounded queue, used by the models of the cache nodes and the origin.

use std::collections::VecDeque;

/// The result of offering a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job has started.
    Started,
    /// The job is queued.
    Queued,
    /// The job is rejected because the queue is full.
    Rejected,
}

/// Workers that process one job each, and a bounded queue. Started and queued jobs are never withdrawn: neither a
/// cancellation nor a timeout stops them.
#[derive(Debug, Clone)]
pub struct Station<J> {
    workers: usize,
    queue_capacity: usize,
    busy: usize,
    queue: VecDeque<J>,
}

impl<J> Station<J> {
    /// Creates an idle station.
    #[must_use]
    pub fn new(workers: usize, queue_capacity: usize) -> Self {
        Self { workers, queue_capacity, busy: 0, queue: VecDeque::new() }
    }

    /// Offers a job. Returns the job if it starts, so that the caller can compute its duration.
    pub fn offer(&mut self, job: J) -> (Admission, Option<J>) {
        if self.busy < self.workers {
            self.busy += 1;
            return (Admission::Started, Some(job));
        }
        if self.queue.len() >= self.queue_capacity {
            return (Admission::Rejected, None);
        }
        self.queue.push_back(job);
        (Admission::Queued, None)
    }

    /// Finishes a job and returns the queued job that starts now, if any.
    pub fn finish(&mut self) -> Option<J> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Discards all started and queued jobs.
    pub fn clear(&mut self) {
        self.busy = 0;
        self.queue.clear();
    }

    /// Returns the number of started or queued jobs.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.busy + self.queue.len()
    }
}
