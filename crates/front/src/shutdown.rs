//! Graceful shutdown of client connections, when the balancer drains or its process ends.
//!
//! [`Shutdown`] records a drain and the end of the process. Each connection derives its [`Schedule`] from it: the times
//! at which the connection enters each [`Stage`] of the shutdown, whatever it is doing. The connection itself carries
//! them out.

use crate::slotless::SlotlessTimeouts;
use std::time::Duration;
use tokio::time::Instant;

/// How long idle connections stay open after the start of a drain. A connection on which a request arrives in this time
/// is closed after the answer, when no command can race the close.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long after the start of a drain requests are accepted; later ones are shed, and an incomplete one is rejected.
/// No request accepted in the last 2 s may be open 4 s after the start of the drain. The time left allows for a short
/// stall of the process, and for the delay when the process learns of the drain from another process.
const DRAIN_READ_PERIOD: Duration = Duration::from_millis(1_500);
/// How long after the start of a drain answers are awaited for a client that sends more instead of waiting for them:
/// the bytes it sends would count as an open request.
const DRAIN_ANSWER_PERIOD: Duration = Duration::from_millis(2_500);
/// How long after the start of a drain a lingering close may last. The time left until 4 s allows for a short stall and
/// for the delay when the process learns of the drain from another process.
const DRAIN_CLOSE_PERIOD: Duration = Duration::from_millis(3_250);
/// How long the first command of a new connection is awaited during a shutdown, so that the connection is not closed
/// while that command is in transit.
pub(crate) const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after its opening the lingering close of a connection that was accepted late in a drain may last.
const LATE_LINGER_PERIOD: Duration = Duration::from_millis(500);
/// How long the next command of a batch is awaited that a client writes one command at a time. A client that delays
/// small writes (Nagle's algorithm) sends them one round trip after it has received the last bytes.
pub(crate) const BATCH_GAP: Duration = Duration::from_millis(50);
/// How long the process runs after the deadline of the last answers, to write them.
pub const FINAL_WRITE_PERIOD: Duration = Duration::from_millis(100);
/// How long the lingering close of a connection without a slot may last: the next such connection waits for its
/// descriptor.
const SLOTLESS_LINGER_PERIOD: Duration = Duration::from_millis(60);

/// The end of the process: when it began, how long idle connections stay open, and when all requests must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Termination {
    since: Instant,
    idle_timeout: Duration,
    deadline: Instant,
}

/// The shutdown in progress: a drain, which can be undone, the end of the process, which cannot, or both.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shutdown {
    draining_since: Option<Instant>,
    termination: Option<Termination>,
    /// When the end of the process was announced, which precedes the termination.
    end_announced_at: Option<Instant>,
}

/// The activity of a connection, on which its schedule depends.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    /// When the connection was accepted.
    pub opened_at: Instant,
    /// Whether the client has sent a command.
    pub has_sent_command: bool,
    /// The time of the last answer, if it was given during a shutdown.
    pub last_answered_at: Option<Instant>,
    /// When input was last read.
    pub last_input_at: Option<Instant>,
    /// Whether the client pipelines in separate writes: it has sent commands while earlier ones were unanswered.
    pub pipelines: bool,
}

impl Activity {
    /// Returns until when the next command of a batch is awaited, if commands arrive at most `gap` apart.
    fn batch_deadline(&self, gap: Duration) -> Instant {
        self.last_input_at.unwrap_or(self.opened_at) + gap
    }

    /// Returns the time from which the connection, while idle, may be closed to free its slot for another one.
    #[must_use]
    pub fn evictable_from(&self) -> Instant {
        if self.pipelines { self.batch_deadline(BATCH_GAP) } else { self.opened_at }
    }
}

/// The times at which a connection enters the stages of a shutdown; `None` for a stage that it never enters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The connection is closed if it is idle: all requests are answered, and no part of a command has arrived.
    pub close_idle_at: Option<Instant>,
    /// New requests are shed from this time.
    shed_at: Option<Instant>,
    /// Nothing is read from this time.
    stop_reading_at: Option<Instant>,
    /// Pending requests fail if the client sends more from this time.
    abandon_at: Option<Instant>,
    /// Pending requests fail at this time.
    fail_at: Option<Instant>,
    /// A lingering close ends at this time.
    linger_end: Option<Instant>,
}

/// The stage of the shutdown that a connection has reached, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Requests are served.
    Serving,
    /// New requests are shed.
    Shedding,
    /// Nothing is read; the requests that were read are answered, then the connection is closed.
    Finishing,
    /// Nothing is read; pending requests are answered, or fail if the client sends more.
    Abandoning,
    /// Pending requests fail.
    Failing,
}

/// Returns the earlier of two optional times.
fn earlier(one: Option<Instant>, other: Option<Instant>) -> Option<Instant> {
    one.into_iter().chain(other).min()
}

impl Shutdown {
    /// Starts or ends a drain. Starting a drain again keeps its start time.
    pub fn set_draining(&mut self, now: Instant, draining: bool) {
        self.draining_since = draining.then(|| self.draining_since.unwrap_or(now));
    }

    /// Announces that the process will end soon: from now on no new connection waits for a slot.
    pub fn announce_end(&mut self, now: Instant) {
        self.end_announced_at.get_or_insert(now);
    }

    /// Starts the termination of the process: idle connections close after `idle_timeout`, and all requests are
    /// answered by `deadline`. This cannot be undone.
    pub fn terminate(&mut self, now: Instant, idle_timeout: Duration, deadline: Instant) {
        self.termination = Some(Termination { since: now, idle_timeout, deadline });
    }

    /// Returns whether the balancer is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns whether connections must close.
    pub fn is_closing(&self) -> bool {
        self.reason().is_some()
    }

    /// Returns the reason why clients should not connect now, if there is one.
    pub fn reason(&self) -> Option<&'static str> {
        match (self.termination, self.draining_since) {
            (Some(_), _) => Some("this process is ending"),
            (None, Some(_)) => Some("draining"),
            (None, None) => None,
        }
    }

    /// Returns when all pending requests fail, if the process is ending.
    pub fn termination_deadline(&self) -> Option<Instant> {
        self.termination.map(|termination| termination.deadline)
    }

    /// Returns whether a new connection is rejected at once when no slot is free, since none would become free in time.
    pub fn rejects_without_slot(&self, now: Instant) -> bool {
        let drained = self.draining_since.is_some_and(|since| now >= since + DRAIN_READ_PERIOD);
        drained || self.end_announced_at.is_some()
    }

    /// Returns the schedule of a connection. Without a shutdown, all its times are `None`.
    pub fn schedule(&self, connection: &Activity) -> Schedule {
        let drain = self.draining_since.map(|since| drain_schedule(since, connection));
        let end = self.termination.map(|termination| termination.schedule(connection));
        match (drain, end) {
            (Some(drain), Some(end)) => drain.merge(end),
            (one, other) => one.or(other).unwrap_or_default(),
        }
    }
}

/// Returns when an idle connection closes. After an answer during the shutdown it closes at once, since no command can
/// race the close, unless its client pipelines.
fn idle_close_time(since: Instant, idle_timeout: Duration, connection: &Activity) -> Instant {
    let batch_deadline = connection.batch_deadline(BATCH_GAP);
    match connection.last_answered_at {
        Some(at) if at >= since && connection.pipelines => at.max(batch_deadline),
        Some(at) if at >= since => at,
        _ if connection.has_sent_command => (since + idle_timeout).max(batch_deadline),
        _ => (since + idle_timeout).max(connection.opened_at + FIRST_COMMAND_TIMEOUT),
    }
}

fn drain_schedule(since: Instant, connection: &Activity) -> Schedule {
    let first_command_deadline = connection.opened_at + FIRST_COMMAND_TIMEOUT;
    Schedule {
        close_idle_at: Some(idle_close_time(since, DRAIN_IDLE_TIMEOUT, connection)),
        shed_at: Some(since + DRAIN_READ_PERIOD),
        stop_reading_at: Some((since + DRAIN_READ_PERIOD).max(first_command_deadline)),
        abandon_at: Some((since + DRAIN_ANSWER_PERIOD).max(first_command_deadline)),
        fail_at: None,
        linger_end: Some((since + DRAIN_CLOSE_PERIOD).max(connection.opened_at + LATE_LINGER_PERIOD)),
    }
}

impl Termination {
    fn schedule(&self, connection: &Activity) -> Schedule {
        let deadline = Some(self.deadline);
        Schedule {
            close_idle_at: Some(
                idle_close_time(self.since, self.idle_timeout, connection).min(self.deadline),
            ),
            shed_at: deadline,
            stop_reading_at: deadline,
            abandon_at: deadline,
            fail_at: deadline,
            linger_end: deadline.map(|deadline| deadline + FINAL_WRITE_PERIOD),
        }
    }
}

impl Schedule {
    /// Merges two schedules: the earlier time applies to each stage.
    fn merge(self, other: Self) -> Self {
        Self {
            close_idle_at: earlier(self.close_idle_at, other.close_idle_at),
            shed_at: earlier(self.shed_at, other.shed_at),
            stop_reading_at: earlier(self.stop_reading_at, other.stop_reading_at),
            abandon_at: earlier(self.abandon_at, other.abandon_at),
            fail_at: earlier(self.fail_at, other.fail_at),
            linger_end: earlier(self.linger_end, other.linger_end),
        }
    }

    /// Returns the schedule of a connection without a slot: its requests are shed, and it is closed once its input has
    /// paused.
    #[must_use]
    pub fn without_slot(self, connection: &Activity, timeouts: SlotlessTimeouts) -> Self {
        let opened_at = connection.opened_at;
        let (gap, last_batch) = (timeouts.batch_gap, opened_at + timeouts.batch_span);
        let (close_idle_at, stop_reading_at) = match connection.last_input_at {
            // The client goes on sending: the close follows an answer, when a client that waits for answers sends
            // nothing.
            Some(last_input_at) if last_input_at >= last_batch => (last_input_at, last_batch + gap),
            Some(_) if connection.has_sent_command => (connection.batch_deadline(gap), last_batch + gap),
            _ => (opened_at + timeouts.first_command, opened_at + timeouts.first_command),
        };
        let linger_end = Some(stop_reading_at + SLOTLESS_LINGER_PERIOD);
        let slotless = Self {
            close_idle_at: Some(close_idle_at),
            shed_at: Some(opened_at),
            stop_reading_at: Some(stop_reading_at),
            linger_end,
            ..self
        };
        self.merge(slotless)
    }

    /// Returns the stage at `now`.
    pub fn stage(&self, now: Instant) -> Stage {
        let has_passed = |time: Option<Instant>| time.is_some_and(|time| now >= time);
        match () {
            () if has_passed(self.fail_at) => Stage::Failing,
            () if has_passed(self.abandon_at) => Stage::Abandoning,
            () if has_passed(self.stop_reading_at) => Stage::Finishing,
            () if has_passed(self.shed_at) => Stage::Shedding,
            () => Stage::Serving,
        }
    }

    /// Returns the current stage. The clock is read only if the schedule sheds requests at some time.
    pub fn stage_now(&self) -> Stage {
        if self.shed_at.is_none() { Stage::Serving } else { self.stage(Instant::now()) }
    }

    /// Returns when the stage after `stage` begins.
    pub fn next_stage(&self, stage: Stage) -> Option<Instant> {
        match stage {
            Stage::Serving => self.shed_at,
            Stage::Shedding => self.stop_reading_at,
            Stage::Finishing => self.abandon_at.or(self.fail_at),
            Stage::Abandoning => self.fail_at,
            Stage::Failing => None,
        }
    }

    /// Returns when a lingering close that begins now ends: after `max`, or earlier at the scheduled end, but not
    /// before `min`.
    pub fn linger_until(&self, now: Instant, min: Duration, max: Duration) -> Instant {
        self.linger_end.map_or(now + max, |end| (now + max).min(end.max(now + min)))
    }
}
