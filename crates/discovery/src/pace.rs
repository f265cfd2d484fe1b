//! Timings of the endpoint list: when a silent watch is considered broken, and how often the agent is contacted.
//!
//! The main deadline: a change must be applied within 6 s from when discovery has it and is reachable, whatever the
//! backoff after earlier failures. `docs/design/crossings-list.md` adds up the times of each path.
//!
//! | event | deadline for applying the change | means |
//! | --- | --- | --- |
//! | a line arrived | at once | the line is published at once |
//! | push: the agent has a change | at once, including after an outage and at startup | a silent agent is contacted every [`RETRY_INTERVAL`] |
//! | a watch fell silent | 6 s | another is requested after [`RetrySchedule::silence_timeout`], which leaves time for one lost request |
//! | a request may be queued by the service | 2 s after the queueing | the request has [`RetrySchedule::response_timeout`], and is retried soon after a failure |
//! | discovery rejected a request | 6 s after the change could be delivered | [`REJECTED_BACKOFF_MAX`] bounds the backoff for any number of balancers |
//! | SIGHUP moved discovery | 4 s | the new agent is contacted at once; the previous one is followed until the new one has sent its list |

use std::time::Duration;

/// The silence timeout of a watch with push delivery. A watch sends a line every 2 s.
const PUSH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_250);
/// The shortest silence timeout of a watch with poll delivery. The timeout is drawn between this and
/// [`POLL_SILENCE_TIMEOUT_MAX`], so that watches that fell silent together are not all requested again at the same
/// time.
const POLL_SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(2_350);
/// The longest silence timeout of a watch with poll delivery. The sum of it, one lost request, and one request that is
/// answered within 1 s is less than 6 s.
const POLL_SILENCE_TIMEOUT_MAX: Duration = Duration::from_millis(2_600);
/// The interval at which a silent agent on this machine is contacted. At the end of an outage the changes that the
/// agent has received apply at once, and no request may go to an endpoint that started draining 250 ms earlier.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a request with push delivery. An agent on this machine answers at once or not at all.
const PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a request with poll delivery, which may be queued: the service answers or rejects it after about 2 s.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Timeout of connecting with poll delivery. The connection is established before the request is queued, so a lost
/// connection attempt is detected earlier than a lost request, at no cost to the service.
const POLL_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The most requests in flight with push delivery: one every [`RETRY_INTERVAL`] for the time that one may take. Bounds
/// the file descriptors in use.
pub const MAX_REQUESTS_IN_FLIGHT: usize = 8;
/// The most open watches: the one that sent the last line, and one that was requested since and has sent no line.
pub const MAX_WATCHES: usize = 2;
/// The most lines that are read from a watch before it is closed for another one. Bounds the delay that an agent can
/// cause by sending lines without end.
pub const MAX_DRAINED_LINES: usize = 64;
/// How long after its first list a new agent may lag behind the previous one: every change reaches it within 6 s. An
/// agent whose revisions are still lower after that uses revision numbers of its own.
pub const MAX_REVISION_LAG: Duration = Duration::from_secs(6);
/// The number of endpoints above which removed endpoints are forgotten. Bounds memory when endpoints are replaced all
/// day.
pub const MAX_REMEMBERED_ENDPOINTS: usize = 4_096;
/// The most connections that are open at a time: to the agent and, after a move, to the previous agent. The
/// configuration reserves their descriptors, so that connections to clients and endpoints cannot use them.
pub const MAX_CONNECTIONS: usize = 2 * (MAX_REQUESTS_IN_FLIGHT + MAX_WATCHES);
/// How long after a move a broken watch of the previous agent is requested again. After that the new agent's list
/// applies.
pub const PREVIOUS_AGENT_RETRY_PERIOD: Duration = Duration::from_secs(4);
/// The first backoff after a failed request. The backoff doubles up to a maximum, and each pause is drawn from 0.5 to
/// 1.5 times its value. Protects discovery, which may be one small service for a hundred balancers, from an overload by
/// retries.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest backoff after a failed request with poll delivery, before jitter.
const POLL_BACKOFF_MAX: Duration = Duration::from_millis(500);
/// The longest backoff after a failed request with push delivery, before jitter. With jitter it is less than the 250 ms
/// that the rules on draining endpoints allow.
const PUSH_BACKOFF_MAX: Duration = Duration::from_millis(100);
/// The first interval between requests after a rejection, multiplied by the number of balancers: the service is up, but
/// overloaded by them. The interval doubles up to [`REJECTED_BACKOFF_MAX`], and each is drawn from 0.5 to 1.5 times its
/// value.
const REJECTED_BACKOFF_PER_BALANCER: Duration = Duration::from_millis(25);
/// The shortest first interval after a rejection. If the request was queued before it was rejected, the pause after the
/// rejection may be half of that.
const REJECTED_BACKOFF_MIN: Duration = Duration::from_millis(200);
/// The longest interval after a rejection, before jitter. With jitter and a queued request it is less than 6 s, and
/// less than the 4 s after a move.
pub const REJECTED_BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// The configured way in which changes are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Changes are pushed to an agent on this machine, which answers requests at once and at no cost.
    Push,
    /// Changes are polled from a service that all balancers share. Each request costs the service, and may be queued
    /// there.
    Poll,
}

/// The kind of failure of a request or a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No complete response arrived.
    NoResponse,
    /// Discovery is up and rejected the request.
    Rejected,
    /// The response is not a valid list. A retry may get the same response, which is expensive to read each time.
    InvalidList,
}

/// The timeouts of one kind of delivery, and the backoff after failed requests.
#[derive(Debug)]
pub struct RetrySchedule {
    delivery: Delivery,
    balancers: u32,
    backoff: Duration,
    rejected_backoff: Duration,
}

impl RetrySchedule {
    /// Creates the schedule of one of `balancers` balancers, without earlier failures.
    #[must_use]
    pub fn new(delivery: Delivery, balancers: u32) -> Self {
        let rejected_backoff = REJECTED_BACKOFF_PER_BALANCER
            .saturating_mul(balancers)
            .clamp(REJECTED_BACKOFF_MIN, REJECTED_BACKOFF_MAX);
        Self { delivery, balancers, backoff: BACKOFF_MIN, rejected_backoff }
    }

    /// Returns how long a watch may be silent before another one is requested; `jitter` is drawn uniformly from 0 to 1.
    #[must_use]
    pub fn silence_timeout(&self, jitter: f64) -> Duration {
        match self.delivery {
            Delivery::Push => PUSH_SILENCE_TIMEOUT,
            Delivery::Poll => {
                let spread = POLL_SILENCE_TIMEOUT_MAX - POLL_SILENCE_TIMEOUT_MIN;
                POLL_SILENCE_TIMEOUT_MIN + spread.mul_f64(jitter)
            }
        }
    }

    /// Returns how long a second watch, requested in parallel with a silent one, may be silent after its head. With
    /// push delivery the agent has answered, and the watch has the usual silence timeout. With poll delivery the retry
    /// interval continues, so this is `None`.
    #[must_use]
    pub fn second_watch_silence_timeout(&self) -> Option<Duration> {
        (self.delivery == Delivery::Push).then_some(PUSH_SILENCE_TIMEOUT)
    }

    /// Returns the timeout of connecting.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        match self.delivery {
            Delivery::Push => PUSH_RESPONSE_TIMEOUT,
            Delivery::Poll => POLL_CONNECT_TIMEOUT,
        }
    }

    /// Returns the timeout of a request, which includes connecting.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        match self.delivery {
            Delivery::Push => PUSH_RESPONSE_TIMEOUT,
            Delivery::Poll => POLL_RESPONSE_TIMEOUT,
        }
    }

    /// Returns the interval after a request until the next one is sent, unless a line arrives: the request is
    /// unanswered, or was answered with a head alone.
    #[must_use]
    pub fn retry_interval(&self) -> Duration {
        match self.delivery {
            Delivery::Push => RETRY_INTERVAL,
            Delivery::Poll => POLL_RESPONSE_TIMEOUT,
        }
    }

    /// Returns the most requests that may be in flight; one with poll delivery.
    #[must_use]
    pub fn max_requests_in_flight(&self) -> usize {
        match self.delivery {
            Delivery::Push => MAX_REQUESTS_IN_FLIGHT,
            Delivery::Poll => 1,
        }
    }

    /// Resets the backoff after a complete line or list.
    pub fn reset(&mut self) {
        *self = Self::new(self.delivery, self.balancers);
    }

    /// Returns the pause after a failed request that was sent `since_request` ago; `jitter` is drawn uniformly from 0
    /// to 1.
    pub fn next_backoff(&mut self, failure: Failure, since_request: Duration, jitter: f64) -> Duration {
        match (failure, self.delivery) {
            (Failure::InvalidList, _) | (Failure::Rejected, Delivery::Poll) => {
                self.next_rejected_backoff(since_request, jitter)
            }
            (Failure::NoResponse, _) | (Failure::Rejected, Delivery::Push) => {
                self.next_failed_backoff(jitter)
            }
        }
    }

    fn next_failed_backoff(&mut self, jitter: f64) -> Duration {
        let max = match self.delivery {
            Delivery::Push => PUSH_BACKOFF_MAX,
            Delivery::Poll => POLL_BACKOFF_MAX,
        };
        let pause = self.backoff.mul_f64(jitter + 0.5);
        self.backoff = (self.backoff * 2).min(max);
        pause
    }

    fn next_rejected_backoff(&mut self, since_request: Duration, jitter: f64) -> Duration {
        let interval = self.rejected_backoff.mul_f64(jitter + 0.5);
        // Requests that were queued together are rejected together: the time in the queue does not spread them out.
        let min = self.rejected_backoff.mul_f64(jitter).max(REJECTED_BACKOFF_MIN / 2);
        self.rejected_backoff = (self.rejected_backoff * 2).min(REJECTED_BACKOFF_MAX);
        interval.saturating_sub(since_request).max(min)
    }
}
