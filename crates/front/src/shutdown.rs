//! When client connections close as the balancer drains or its process ends: one state machine, fed with orders and the time.
//!
//! Orders go in, and every connection asks for its [`Schedule`]: up to when it is served, and what is done with it from then
//! on, whatever it is doing. The connection's own driver does it. This knows no socket.

use std::time::Duration;
use tokio::time::Instant;

/// How long a drained connection may rest. Clients that ask again in this time are closed behind an answer, where no command
/// crosses the close.
const DRAIN_IDLE: Duration = Duration::from_millis(1_000);
/// How long requests are taken after a drain; later ones are shed, and part of one is refused. At 4 s after the drain no
/// request taken in the last 2 s may be open, and the process may have been held up for a moment or have heard of the drain
/// from another one.
const DRAIN_READS: Duration = Duration::from_millis(1_500);
/// How long answers are waited for of which the client does not wait: it sends on, and what it sends would be an open request.
const DRAIN_ANSWERS: Duration = Duration::from_millis(2_500);
/// When a connection is closed that has nothing to come: no lingering close lasts longer. Leaves time to 4 s for the same delays.
const DRAIN_CLOSED: Duration = Duration::from_millis(3_250);
/// How long a connection that was just accepted may take to its first command while connections are to close. Guards
/// against closing it as that command is on its way.
pub(crate) const FIRST_COMMAND: Duration = Duration::from_millis(300);
/// How long the lingering close of a connection that was accepted late may last.
const LATE_CLOSE: Duration = Duration::from_millis(500);
/// How long a newcomer without a slot may take to its first command where many are refused: what it has written by now is read.
/// Others wait for their turn meanwhile.
pub(crate) const SLOTLESS: Duration = Duration::from_millis(3);
/// How long the process lives on behind the last answers, for their writes.
pub const LAST_WRITES: Duration = Duration::from_millis(100);

/// How long behind its time the lingering close of a connection without a slot may last: the next waits for its descriptor.
const SLOTLESS_CLOSE: Duration = Duration::from_millis(60);
/// The process is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Termination {
    since: Instant,
    idle: Duration,
    ends: Instant,
}

/// What was ordered: a drain, which may end, and the end of the process, which may not. Both may be in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shutdown {
    draining_since: Option<Instant>,
    termination: Option<Termination>,
    /// Since when the process is known to end, though its connections are not closed as yet.
    end_announced: Option<Instant>,
}

/// What a connection's schedule depends on.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    /// When it was accepted.
    pub opened: Instant,
    /// Whether a command has ever come.
    pub has_asked: bool,
    /// When its last request was answered while connections were to close.
    pub answered_at: Option<Instant>,
}

/// The times from which on a connection is served less; each is missing where it never comes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Schedule {
    /// It is closed if it rests: owes nothing, is owed nothing, and nothing has come of a further command.
    pub idle: Option<Instant>,
    /// Requests that come are shed.
    shed: Option<Instant>,
    /// Nothing more is read.
    read: Option<Instant>,
    /// What is owed fails if the client sends on.
    abandon: Option<Instant>,
    /// All that is owed fails.
    fail: Option<Instant>,
    /// Its lingering close is over.
    closed: Option<Instant>,
}

/// How far a connection has come in its schedule, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It is served.
    Serving,
    /// Requests that come on it are shed.
    Shedding,
    /// Nothing more is read; what was read is answered, then it is closed.
    Finishing,
    /// The same; what is owed fails if the client sends on.
    Abandoning,
    /// All that is owed fails.
    Failing,
}

fn earlier(one: Option<Instant>, other: Option<Instant>) -> Option<Instant> {
    one.into_iter().chain(other).min()
}

impl Shutdown {
    /// Takes in whether the balancer is being drained; a drain that is in force goes on by its own time.
    pub fn drain(&mut self, now: Instant, draining: bool) {
        self.draining_since = draining.then(|| self.draining_since.unwrap_or(now));
    }

    /// Takes in that the process will be told to end soon: nobody waits for a slot any more.
    pub fn announce_end(&mut self, now: Instant) {
        self.end_announced.get_or_insert(now);
    }

    /// Takes in that the process is to end: connections at rest close after `idle`, and all is answered by `ends`. For good.
    pub fn terminate(&mut self, now: Instant, idle: Duration, ends: Instant) {
        self.termination = Some(Termination { since: now, idle, ends });
    }

    /// Whether the balancer is being drained.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether connections are to close.
    pub fn is_closing(&self) -> bool {
        self.reason().is_some()
    }

    /// Why no client should come here now, if so.
    pub fn reason(&self) -> Option<&'static str> {
        match (self.termination, self.draining_since) {
            (Some(_), _) => Some("this process is ending"),
            (None, Some(_)) => Some("draining"),
            (None, None) => None,
        }
    }

    /// When all that is owed fails, where the process is to end.
    pub fn ends(&self) -> Option<Instant> {
        self.termination.map(|termination| termination.ends)
    }

    /// Whether newcomers for whom there is no connection slot are refused: none of those who hold one leaves in time.
    pub fn turns_away(&self, now: Instant) -> bool {
        let drained = self.draining_since.is_some_and(|since| now >= since + DRAIN_READS);
        drained || self.end_announced.is_some()
    }

    /// The schedule of a connection.
    pub fn schedule(&self, connection: &Activity) -> Schedule {
        let drain = self.draining_since.map(|since| drain_schedule(since, connection));
        let end = self.termination.map(|termination| termination.schedule(connection));
        match (drain, end) {
            (Some(drain), Some(end)) => drain.and(end),
            (one, other) => one.or(other).unwrap_or_default(),
        }
    }
}

/// When a connection at rest closes: right behind an answer that it was given since then, where a close can cross no command.
fn idle_until(since: Instant, idle: Duration, connection: &Activity) -> Instant {
    match connection.answered_at {
        Some(at) if at >= since => at,
        _ if connection.has_asked => since + idle,
        _ => (since + idle).max(connection.opened + FIRST_COMMAND),
    }
}

fn drain_schedule(since: Instant, connection: &Activity) -> Schedule {
    let first_command = connection.opened + FIRST_COMMAND;
    Schedule {
        idle: Some(idle_until(since, DRAIN_IDLE, connection)),
        shed: Some(since + DRAIN_READS),
        read: Some((since + DRAIN_READS).max(first_command)),
        abandon: Some((since + DRAIN_ANSWERS).max(first_command)),
        fail: None,
        closed: Some((since + DRAIN_CLOSED).max(connection.opened + LATE_CLOSE)),
    }
}

impl Termination {
    fn schedule(&self, connection: &Activity) -> Schedule {
        let ends = Some(self.ends);
        Schedule {
            idle: Some(idle_until(self.since, self.idle, connection).min(self.ends)),
            shed: ends,
            read: ends,
            abandon: ends,
            fail: ends,
            closed: ends.map(|ends| ends + LAST_WRITES),
        }
    }
}

impl Schedule {
    /// The schedule under two orders: the earlier time counts for each step.
    fn and(self, other: Self) -> Self {
        Self {
            idle: earlier(self.idle, other.idle),
            shed: earlier(self.shed, other.shed),
            read: earlier(self.read, other.read),
            abandon: earlier(self.abandon, other.abandon),
            fail: earlier(self.fail, other.fail),
            closed: earlier(self.closed, other.closed),
        }
    }

    /// The schedule of a connection that has no slot: all that comes on it is shed, and it is closed soon.
    pub(crate) fn without_slot(self, connection: &Activity, patience: Duration) -> Self {
        let opened = connection.opened;
        let until = Some(opened + patience);
        let idle = if connection.has_asked { Some(opened) } else { until };
        let closed = Some(opened + patience + SLOTLESS_CLOSE);
        let shed = Self { idle, shed: Some(opened), read: until, closed, ..self };
        self.and(shed)
    }

    /// How far a connection has come by this time.
    pub fn stage(&self, now: Instant) -> Stage {
        let over = |time: Option<Instant>| time.is_some_and(|time| now >= time);
        match () {
            () if over(self.fail) => Stage::Failing,
            () if over(self.abandon) => Stage::Abandoning,
            () if over(self.read) => Stage::Finishing,
            () if over(self.shed) => Stage::Shedding,
            () => Stage::Serving,
        }
    }

    /// How far it has come by now; the clock is read only where connections are to close.
    pub fn stage_now(&self) -> Stage {
        if self.shed.is_none() { Stage::Serving } else { self.stage(Instant::now()) }
    }

    /// When it leaves this stage.
    pub fn next_stage(&self, stage: Stage) -> Option<Instant> {
        match stage {
            Stage::Serving => self.shed,
            Stage::Shedding => self.read,
            Stage::Finishing => self.abandon.or(self.fail),
            Stage::Abandoning => self.fail,
            Stage::Failing => None,
        }
    }

    /// When a lingering close that begins now ends: after `most`, and after `least` even where the time for it is over.
    pub fn linger_until(&self, now: Instant, least: Duration, most: Duration) -> Instant {
        self.closed.map_or(now + most, |closed| (now + most).min(closed.max(now + least)))
    }
}
