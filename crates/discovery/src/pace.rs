//! Timings of the endpoint list: when a silent watch counts as broken, and how often the agent is contacted.
//!
//! One deadline comes first: a change must be applied within 6 s after discovery had it and could be reached, whatever pauses
//! followed earlier failures. `docs/design/crossings-list.md` adds up the times of each path.
//!
//! | event | deadline for applying the change | how it is met |
//! | --- | --- | --- |
//! | a line arrived | at once | it is published at once |
//! | push: the agent has a change | at once, also after an outage and at a start | a silent agent is contacted every [`RETRY_INTERVAL`] |
//! | a watch fell silent | 6 s | another is requested after [`RetrySchedule::silence_timeout`], which leaves time for one lost request |
//! | a request may be queued by the service | 2 s after the queueing | it is given [`RetrySchedule::response_timeout`], and retried soon after a failure |
//! | discovery rejected a request | 6 s after the change could be delivered | [`REJECTED_BACKOFF_MAX`] bounds the pause, whatever the number of balancers |
//! | SIGHUP moved discovery | 4 s | the new agent is contacted at once; the previous one is followed until the new one has sent its list |

use std::time::Duration;

/// Silence after which a watch is broken, where requests are free. A watch sends a line every 2 s.
const PUSH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_250);
/// The shortest silence after which a watch is broken, where requests cost the service. The timeout is drawn between this and
/// [`POLL_SILENCE_TIMEOUT_MAX`], so that watches that fell silent together are not all requested again at the same time.
const POLL_SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(2_350);
/// The longest such silence. With one lost request and one that is answered within 1 s it stays below 6 s.
const POLL_SILENCE_TIMEOUT_MAX: Duration = Duration::from_millis(2_600);
/// How often a silent agent on this machine is contacted. Guards the end of an outage: what the agent has received by then
/// applies at once, and no request may go to an endpoint that started draining 250 ms earlier.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a request to such an agent, which answers at once or not at all.
const PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a request that may be queued: the service answers or rejects it after about 2 s.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Timeout of its connection, which is established before the request is queued. A lost connection attempt is detected earlier,
/// at no cost to the service.
const POLL_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Requests in flight where they are free: one every [`RETRY_INTERVAL`] for as long as one may take. Bounds file descriptors.
pub const MAX_REQUESTS_IN_FLIGHT: usize = 8;
/// Open watches: the one that sent the last line, and one that was requested since and has sent no line.
pub const MAX_WATCHES: usize = 2;
/// Lines that are read from a watch before it is closed in favor of another. Bounds the delay that an agent which sends lines
/// without end can cause.
pub const MAX_DRAINED_LINES: usize = 64;
/// How long after its first list a new agent may lag behind the previous one: every change reaches it within 6 s. An agent whose
/// revisions are still lower after that counts its own.
pub const MAX_REVISION_LAG: Duration = Duration::from_secs(6);
/// Endpoints whose drain or removal is remembered. Bounds memory when endpoints are replaced by new ones all day.
pub const MAX_REMEMBERED_ENDPOINTS: usize = 4_096;
/// Connections that are open at a time: to the agent, and after a move to the previous agent. The configuration reserves their
/// descriptors, so that clients and endpoints cannot use them.
pub const MAX_CONNECTIONS: usize = 2 * (MAX_REQUESTS_IN_FLIGHT + MAX_WATCHES);
/// How long after a move a broken watch of the previous agent is requested again. After that the new agent's list applies.
pub const PREVIOUS_AGENT_RETRY_PERIOD: Duration = Duration::from_secs(4);
/// The first pause after a failed request. Pauses double up to a maximum, and each is drawn from 0.5 to 1.5 times its value.
/// Guards discovery, which may be one small service for a hundred balancers, against being overloaded by retries.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest such pause where requests cost the service, before jitter.
const POLL_BACKOFF_MAX: Duration = Duration::from_millis(500);
/// The longest such pause where the agent is on this machine. With jitter it stays below what the rules on draining allow.
const PUSH_BACKOFF_MAX: Duration = Duration::from_millis(100);
/// The first interval between requests after a rejection, for each balancer that may be sending requests: the service is up,
/// and overloaded. The interval doubles up to [`REJECTED_BACKOFF_MAX`], and each is drawn from 0.5 to 1.5 times its value.
const REJECTED_BACKOFF_PER_BALANCER: Duration = Duration::from_millis(25);
/// The shortest first interval. After a request that was rejected only after it had been queued, the pause may be half of that.
const REJECTED_BACKOFF_MIN: Duration = Duration::from_millis(200);
/// The longest interval before jitter. With jitter and a queued request it stays below 6 s, and below the 4 s after a move.
pub const REJECTED_BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// How changes reach the agent, as configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// They are pushed to the agent, which answers at once and at no cost.
    Push,
    /// They are polled: each request costs a service that all balancers share, and may be queued there.
    Poll,
}

/// How a request or a watch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No complete response arrived.
    NoResponse,
    /// Discovery is up, and rejected the request.
    Rejected,
    /// The response is not a valid list. The same response may follow, and is expensive to read each time.
    InvalidList,
}

/// Timeouts of one way of delivery, and the backoff after failed requests.
#[derive(Debug)]
pub struct RetrySchedule {
    way: Delivery,
    balancers: u32,
    backoff: Duration,
    rejected_backoff: Duration,
}

impl RetrySchedule {
    /// The schedule at a start, for one of `balancers` balancers.
    #[must_use]
    pub fn new(way: Delivery, balancers: u32) -> Self {
        let rejected_backoff = REJECTED_BACKOFF_PER_BALANCER
            .saturating_mul(balancers)
            .clamp(REJECTED_BACKOFF_MIN, REJECTED_BACKOFF_MAX);
        Self { way, balancers, backoff: BACKOFF_MIN, rejected_backoff }
    }

    /// How long a watch may be silent before another is requested; `jitter` is drawn uniformly from 0 to 1.
    #[must_use]
    pub fn silence_timeout(&self, jitter: f64) -> Duration {
        match self.way {
            Delivery::Push => PUSH_SILENCE_TIMEOUT,
            Delivery::Poll => {
                let spread = POLL_SILENCE_TIMEOUT_MAX - POLL_SILENCE_TIMEOUT_MIN;
                POLL_SILENCE_TIMEOUT_MIN + spread.mul_f64(jitter)
            }
        }
    }

    /// How long a watch that was requested beside a silent one may be silent after its head. Where requests are free, the agent
    /// has answered, and the watch is one like any other. Where they cost, the retry interval continues: `None`.
    #[must_use]
    pub fn second_watch_silence_timeout(&self) -> Option<Duration> {
        (self.way == Delivery::Push).then_some(PUSH_SILENCE_TIMEOUT)
    }

    /// Timeout of a connection.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        match self.way {
            Delivery::Push => PUSH_RESPONSE_TIMEOUT,
            Delivery::Poll => POLL_CONNECT_TIMEOUT,
        }
    }

    /// Timeout of a request, its connection included.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        match self.way {
            Delivery::Push => PUSH_RESPONSE_TIMEOUT,
            Delivery::Poll => POLL_RESPONSE_TIMEOUT,
        }
    }

    /// The interval from a request that has brought no line to the next, be it unanswered or answered with a head alone.
    #[must_use]
    pub fn retry_interval(&self) -> Duration {
        match self.way {
            Delivery::Push => RETRY_INTERVAL,
            Delivery::Poll => POLL_RESPONSE_TIMEOUT,
        }
    }

    /// How many requests may be in flight; one where they cost.
    #[must_use]
    pub fn max_requests_in_flight(&self) -> usize {
        match self.way {
            Delivery::Push => MAX_REQUESTS_IN_FLIGHT,
            Delivery::Poll => 1,
        }
    }

    /// Forgets earlier failures: a complete line or list has arrived.
    pub fn reset(&mut self) {
        *self = Self::new(self.way, self.balancers);
    }

    /// The pause after a failed request that was sent `since_request` ago; `jitter` is drawn uniformly from 0 to 1.
    pub fn next_backoff(&mut self, failure: Failure, since_request: Duration, jitter: f64) -> Duration {
        match (failure, self.way) {
            (Failure::InvalidList, _) | (Failure::Rejected, Delivery::Poll) => {
                self.next_rejected_backoff(since_request, jitter)
            }
            (Failure::NoResponse, _) | (Failure::Rejected, Delivery::Push) => {
                self.next_failed_backoff(jitter)
            }
        }
    }

    fn next_failed_backoff(&mut self, jitter: f64) -> Duration {
        let longest = match self.way {
            Delivery::Push => PUSH_BACKOFF_MAX,
            Delivery::Poll => POLL_BACKOFF_MAX,
        };
        let pause = self.backoff.mul_f64(jitter + 0.5);
        self.backoff = (self.backoff * 2).min(longest);
        pause
    }

    fn next_rejected_backoff(&mut self, since_request: Duration, jitter: f64) -> Duration {
        let interval = self.rejected_backoff.mul_f64(jitter + 0.5);
        // Requests that were queued together are rejected together: time in the queue has not spread them.
        let shortest = self.rejected_backoff.mul_f64(jitter).max(REJECTED_BACKOFF_MIN / 2);
        self.rejected_backoff = (self.rejected_backoff * 2).min(REJECTED_BACKOFF_MAX);
        interval.saturating_sub(since_request).max(shortest)
    }
}
