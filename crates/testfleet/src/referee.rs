//! Checks the records of a run against the rules and lists the violations.

use crate::cache_node::{Attempt, Ending};
use crate::clients::{Call, Outcome, PipelinePosition};
use crate::discovery::{EndpointNotification, Phase};
use crate::runtime::Stall;
use rustc_hash::FxHashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// How long after a balancer was notified that an endpoint drains or is gone it may still send new requests there.
pub const NOTIFICATION_SLACK: Duration = Duration::from_millis(250);
/// How long after its deadline a request may be answered.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How long after the last byte of a request a close may be seen to count as racing it.
pub const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(100);
/// The tolerance for records of two processes on a busy machine.
pub const MARGIN: Duration = Duration::from_millis(50);

/// A period in which a balancer was killed or stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interruption {
    /// The number of the balancer.
    pub balancer: usize,
    /// Whether it was killed and lost its state, or only stopped.
    pub killed: bool,
    /// The start of the interruption.
    pub from: Instant,
    /// The end; `None` while it lasts.
    pub until: Option<Instant>,
    /// When the next process was started, if it was killed.
    pub restarted: Option<Instant>,
}

/// The records of a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The seed of the run.
    pub seed: u64,
    /// The requests with their outcomes.
    pub calls: Vec<Call>,
    /// Attempts at cache nodes.
    pub attempts: Vec<Attempt>,
    /// Executions at the origin.
    pub runs: Vec<Attempt>,
    /// Phases written to balancers.
    pub notifications: Vec<EndpointNotification>,
    /// When balancers were killed or stopped.
    pub interruptions: Vec<Interruption>,
    /// When the event loop of the stand-ins was stalled.
    pub stalls: Vec<Stall>,
    /// Request classes that are not idempotent.
    pub non_idempotent: Vec<String>,
    /// The number of entries dropped because a log was full.
    pub dropped: usize,
}

/// A violation of a rule. The first field is the request id, unless stated otherwise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A request has no outcome.
    Unanswered(String),
    /// A request has more than one outcome.
    AnsweredTwice(String),
    /// A request was answered this long after its deadline.
    AnsweredLate(String, Duration),
    /// An attempt was sent this long after the client had disconnected.
    SentAfterDisconnect(String, Duration),
    /// An attempt stated this much more remaining time than was left.
    DeadlineOverstated(String, Duration),
    /// A request was forwarded although the close of its connection raced it.
    ForwardedAfterClose(String),
    /// A client that stopped within a request was kept waiting by this balancer for this long.
    PartialRequestNotClosed(usize, Duration),
    /// This balancer was still running at SIGKILL after SIGTERM.
    StillRunning(usize),
    /// This balancer exceeded its memory (KB) or descriptor limit.
    OverLimit(usize, u64, usize),
    /// A request was lost at a balancer that was not killed, with the error.
    Lost(String, String),
    /// A request without an idempotency key was executed this many times.
    NonIdempotentRetried(String, usize),
    /// A second attempt was sent while the first was in flight, to these two endpoints.
    ConcurrentAttempts(String, [String; 2]),
    /// A balancer sent a new request to an endpoint after it was notified that the endpoint drains or is gone.
    SentToDrainingEndpoint {
        /// The id of the request.
        id: String,
        /// The number of the balancer.
        balancer: usize,
        /// The name of the endpoint.
        endpoint: String,
        /// How long after the notification.
        after: Duration,
    },
    /// The records are incomplete by this many entries.
    RecordsDropped(usize),
}

impl Violation {
    /// Returns the id of the violating request, if there is one.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::Unanswered(id)
            | Self::AnsweredTwice(id)
            | Self::AnsweredLate(id, _)
            | Self::SentAfterDisconnect(id, _)
            | Self::DeadlineOverstated(id, _)
            | Self::ForwardedAfterClose(id)
            | Self::Lost(id, _)
            | Self::NonIdempotentRetried(id, _)
            | Self::ConcurrentAttempts(id, _)
            | Self::SentToDrainingEndpoint { id, .. } => Some(id),
            Self::PartialRequestNotClosed(..)
            | Self::StillRunning(_)
            | Self::OverLimit(..)
            | Self::RecordsDropped(_) => None,
        }
    }
}

/// The result of checking a run.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// The seed of the run.
    pub seed: u64,
    /// The number of requests.
    pub calls: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected.
    pub refused: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests that were lost with a killed balancer.
    pub lost_with_a_killed: usize,
    /// Requests that were not sent completely, or whose clients disconnected.
    pub not_taken: usize,
    /// Requests that raced the close of their connection.
    pub crossed: usize,
    /// Attempts at cache nodes.
    pub attempts: usize,
    /// Executions at the origin.
    pub runs: usize,
    /// The violations.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, calls, served, refused, failed, .. } = self;
        let Self { not_taken, crossed, lost_with_a_killed: lost, attempts, runs, violations, .. } = self;
        write!(f, "seed {seed:#x}: {calls} calls, {served} served, {refused} refused, {failed} failed, ")?;
        if not_taken + crossed > 0 {
            write!(f, "{not_taken} not taken or left, {crossed} crossed by a close, ")?;
        }
        write!(f, "{lost} lost with a killed balancer; {attempts} attempts, {runs} runs; ")?;
        write!(f, "{} violations{}", violations.len(), if violations.is_empty() { "" } else { ":" })?;
        violations.iter().take(20).try_for_each(|violation| write!(f, "\n  {violation:?}"))
    }
}

impl Verdict {
    /// Fails the test if a rule was broken.
    ///
    /// # Panics
    /// Panics with the verdict, including the seed, if there is a violation.
    pub fn assert_clean(&self) {
        assert!(self.violations.is_empty(), "{self}");
    }
}

/// Checks the records of a run against all rules.
#[must_use]
pub fn check_evidence(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict {
        seed: evidence.seed,
        calls: evidence.calls.len(),
        attempts: evidence.attempts.len(),
        runs: evidence.runs.len(),
        ..Verdict::default()
    };
    if evidence.dropped > 0 {
        verdict.violations.push(Violation::RecordsDropped(evidence.dropped));
    }
    check_answers(evidence, &mut verdict);
    check_closed_connections(evidence, &mut verdict);
    check_remaining_time(evidence, &mut verdict);
    check_non_idempotent(evidence, &mut verdict);
    check_concurrent_attempts(evidence, &mut verdict);
    check_draining_endpoints(evidence, &mut verdict);
    verdict
}

fn check_answers(evidence: &Evidence, verdict: &mut Verdict) {
    for call in &evidence.calls {
        match &call.answers[..] {
            [] => verdict.violations.push(Violation::Unanswered(call.id.clone())),
            [(at, answer)] => match answer {
                Outcome::Served => verdict.served += 1,
                Outcome::Rejected | Outcome::NotReady => verdict.refused += 1,
                Outcome::Failed(_) => verdict.failed += 1,
                Outcome::NotSent | Outcome::ClientDisconnected => verdict.not_taken += 1,
                Outcome::Closed(_) if killed_during(evidence, call) => verdict.lost_with_a_killed += 1,
                Outcome::Closed(_) if raced_close(evidence, call) => verdict.crossed += 1,
                Outcome::Lost(_) | Outcome::Closed(_)
                    if was_dead_within(evidence, call.balancer, call.at, *at) =>
                {
                    verdict.lost_with_a_killed += 1;
                }
                Outcome::Lost(how) | Outcome::Closed(how) => {
                    verdict.violations.push(Violation::Lost(call.id.clone(), how.clone()))
                }
            },
            _ => verdict.violations.push(Violation::AnsweredTwice(call.id.clone())),
        }
        verdict.violations.extend(check_deadline(evidence, call));
    }
}

/// How long after its client disconnected an attempt may start.
pub const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// How much more remaining time than is left an attempt may state.
pub const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);

/// Finds attempts for disconnected clients and for requests that raced a close.
fn check_closed_connections(evidence: &Evidence, verdict: &mut Verdict) {
    let calls: FxHashMap<&str, &Call> = evidence.calls.iter().map(|it| (it.id.as_str(), it)).collect();
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let Some(call) = calls.get(it.id.as_str()) else { continue };
        if raced_close(evidence, call) && !killed_during(evidence, call) {
            verdict.violations.push(Violation::ForwardedAfterClose(it.id.clone()));
        }
        let Some(left) = call.left else { continue };
        let from = after_stops(evidence, call.balancer, left + DISCONNECT_SLACK);
        let after =
            it.sent.saturating_duration_since(from).saturating_sub(stalled_within(evidence, left, it.sent));
        if after > MARGIN {
            verdict.violations.push(Violation::SentAfterDisconnect(it.id.clone(), after));
        }
    }
}

/// Finds attempts that state more remaining time than their request has.
fn check_remaining_time(evidence: &Evidence, verdict: &mut Verdict) {
    let calls: FxHashMap<&str, &Call> = evidence.calls.iter().map(|it| (it.id.as_str(), it)).collect();
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let call = calls.get(it.id.as_str());
        let Some((call, (asked, time))) = call.and_then(|call| Some((call, call.asked.zip(it.time)?))) else {
            continue;
        };
        let left = (asked + call.deadline).saturating_duration_since(it.sent);
        let more = time.saturating_sub(left).saturating_sub(stalled_within(evidence, asked, it.sent));
        // What a balancer wrote before it was stopped is relayed unchanged.
        if more > REMAINING_TIME_SLACK + MARGIN {
            verdict.violations.push(Violation::DeadlineOverstated(it.id.clone(), more));
        }
    }
}

/// Returns how long the event loop was stalled within a period.
fn stalled_within(evidence: &Evidence, from: Instant, until: Instant) -> Duration {
    let within = |stall: &Stall| stall.until.min(until).saturating_duration_since(stall.from.max(from));
    evidence.stalls.iter().map(within).sum()
}

/// Returns `time`, or the end of the interruption of the balancer that contains it.
fn after_stops(evidence: &Evidence, balancer: usize, time: Instant) -> Instant {
    let stops = evidence.interruptions.iter().filter(|it| it.balancer == balancer && it.from <= time);
    stops.filter_map(|it| it.until).fold(time, Instant::max)
}

/// Checks that a request was answered in time. Time in which the balancer was stopped at the deadline does not count.
fn check_deadline(evidence: &Evidence, call: &Call) -> Option<Violation> {
    let (answered, _) = call.answers.first()?;
    let mut until = call.asked? + call.deadline;
    match call.pipeline_position {
        PipelinePosition::First => {}
        PipelinePosition::UnblockedAt(pipeline_position) => until = until.max(pipeline_position),
        PipelinePosition::Blocked => return None, // the delay is attributed to the request ahead of it
    }
    for stop in evidence.interruptions.iter().filter(|it| it.balancer == call.balancer) {
        if stop.from <= until + ANSWER_SLACK {
            until = until.max(stop.until.unwrap_or(*answered));
        }
    }
    let by =
        answered.saturating_duration_since(until).saturating_sub(stalled_within(evidence, until, *answered));
    (by > ANSWER_SLACK + MARGIN).then(|| Violation::AnsweredLate(call.id.clone(), by))
}

/// Returns whether the balancer was dead at some time within a period.
fn was_dead_within(evidence: &Evidence, balancer: usize, from: Instant, until: Instant) -> bool {
    let dead = evidence.interruptions.iter().filter(|it| it.killed && it.balancer == balancer);
    dead.into_iter().any(|it| it.from <= until && it.until.is_none_or(|end| from <= end))
}

/// Returns whether the connection was closed before the last byte was written, or so soon after it that the close
/// raced the request. Time
/// in which the event loop was stalled, and could not see the close, does not count.
fn raced_close(evidence: &Evidence, call: &Call) -> bool {
    let Some((closed, Outcome::Closed(_))) = call.answers.first() else { return false };
    let Some(asked) = call.asked else { return true };
    let seen_after = closed.saturating_duration_since(asked);
    seen_after.saturating_sub(stalled_within(evidence, asked, *closed)) < CLOSE_RACE_WINDOW
}

/// Returns whether the balancer was killed between the start and the end of a request. The system then closes the
/// connection at
/// any point of the request.
fn killed_during(evidence: &Evidence, call: &Call) -> bool {
    let Some((ended, _)) = call.answers.first() else { return false };
    let mut kills = evidence.interruptions.iter().filter(|it| it.killed && it.balancer == call.balancer);
    kills.any(|it| (call.at..=*ended).contains(&it.from))
}

fn check_non_idempotent(evidence: &Evidence, verdict: &mut Verdict) {
    let mut runs: FxHashMap<&str, usize> = FxHashMap::default();
    for run in evidence.runs.iter().filter(|run| evidence.non_idempotent.contains(&run.class)) {
        *runs.entry(&run.id).or_default() += 1;
    }
    let again = runs.into_iter().filter(|(_, times)| *times > 1);
    let mut again: Vec<_> =
        again.map(|(id, times)| Violation::NonIdempotentRetried(id.to_owned(), times)).collect();
    again.sort_by_key(|it| format!("{it:?}"));
    verdict.violations.append(&mut again);
}

fn check_concurrent_attempts(evidence: &Evidence, verdict: &mut Verdict) {
    let mut all: Vec<&Attempt> = evidence.attempts.iter().chain(&evidence.runs).collect();
    all.sort_by(|a, b| (&a.id, a.at).cmp(&(&b.id, b.at)));
    for (first, second) in all.iter().zip(all.iter().skip(1)).filter(|(a, b)| a.id == b.id) {
        if first.ended.is_none_or(|(end, _)| end > second.at + MARGIN) {
            let hosts = [first.endpoint.clone(), second.endpoint.clone()];
            verdict.violations.push(Violation::ConcurrentAttempts(first.id.clone(), hosts));
        }
    }
}

fn check_draining_endpoints(evidence: &Evidence, verdict: &mut Verdict) {
    let mut told: FxHashMap<(usize, &str), Vec<&EndpointNotification>> = FxHashMap::default();
    for it in &evidence.notifications {
        told.entry((it.balancer, &it.endpoint)).or_default().push(it);
    }
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let Some(balancer) = it.balancer else { continue };
        let Some(told) = told.get(&(balancer, it.endpoint.as_str())) else { continue };
        if let Some(after) = draining_known_for(evidence, told, balancer, it.sent)
            && after.saturating_sub(stalled_within(evidence, it.sent - after, it.sent))
                > NOTIFICATION_SLACK + MARGIN
        {
            let (id, endpoint) = (it.id.clone(), it.endpoint.clone());
            verdict.violations.push(Violation::SentToDrainingEndpoint { id, balancer, endpoint, after });
        }
    }
}

/// Returns for how long, at `at`, the balancer knew that the endpoint drains or is gone; `None` if it did not, or was
/// notified otherwise since.
fn draining_known_for(
    evidence: &Evidence, told: &[&EndpointNotification], balancer: usize, at: Instant,
) -> Option<Duration> {
    let here = || evidence.interruptions.iter().filter(|it| it.balancer == balancer);
    // A process does not know what its predecessor was notified of, even if that was written while it was being killed.
    let born = here().filter(|it| it.killed && it.from <= at).map(|it| it.restarted.unwrap_or(it.from)).max();
    let mut since = None;
    for it in told.iter().filter(|it| it.at <= at && born.is_none_or(|born| it.at > born)) {
        since = if it.phase == Phase::Ready { None } else { since.or(Some(it.at)) };
    }
    let mut since = since?;
    // A stopped process reads its input once it is continued.
    for stop in here().filter(|it| !it.killed) {
        if stop.from <= since + NOTIFICATION_SLACK {
            since = since.max(stop.until.unwrap_or(at));
        }
    }
    Some(at.saturating_duration_since(since))
}

/// Returns whether an attempt was answered, for counts in reports.
#[must_use]
pub fn answered(it: &Attempt) -> bool {
    matches!(it.ended, Some((_, Ending::Answered)))
}
