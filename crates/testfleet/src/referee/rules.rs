//! The rules. Each rule is a function that adds its violations to the verdict.

use super::evidence::Evidence;
use super::verdict::{Verdict, Violation};
use crate::cache_node::Attempt;
use crate::clients::{Call, Outcome, PipelinePosition};
use crate::discovery::{EndpointNotification, Phase};
use crate::runtime::Stall;
use rustc_hash::FxHashMap;
use std::time::{Duration, Instant};

/// How long a balancer may send new requests to an endpoint after it was notified that the endpoint drains or is gone.
pub const NOTIFICATION_SLACK: Duration = Duration::from_millis(250);
/// How long after its deadline a request may still be answered.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How long after the last byte of a request the client may see a close that still counts as racing the request.
pub const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(100);
/// The tolerance for times that were recorded by two processes on a busy machine.
pub const MARGIN: Duration = Duration::from_millis(50);

/// How long after the client disconnected an attempt may still be sent.
pub const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// By how much the remaining time stated in an attempt may exceed the time that is left until the deadline.
pub const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);

/// Counts outcomes. Finds requests that do not have exactly one outcome, were lost or were answered late.
pub(super) fn check_answers(evidence: &Evidence, verdict: &mut Verdict) {
    for call in &evidence.calls {
        match &call.answers[..] {
            [] => verdict.violations.push(Violation::Unanswered(call.id.clone())),
            [(at, answer)] => match answer {
                Outcome::Served => verdict.served += 1,
                Outcome::Rejected | Outcome::NotReady => verdict.rejected += 1,
                Outcome::Failed(_) => verdict.failed += 1,
                Outcome::NotSent | Outcome::ClientDisconnected => verdict.not_sent += 1,
                Outcome::Closed(_) if killed_during(evidence, call) => verdict.lost_with_killed += 1,
                Outcome::Closed(_) if raced_close(evidence, call) => verdict.raced_close += 1,
                Outcome::Lost(_) | Outcome::Closed(_)
                    if was_killed_within(evidence, call.balancer, call.at, *at) =>
                {
                    verdict.lost_with_killed += 1;
                }
                Outcome::Lost(error) | Outcome::Closed(error) => {
                    verdict.violations.push(Violation::Lost(call.id.clone(), error.clone()))
                }
            },
            _ => verdict.violations.push(Violation::AnsweredTwice(call.id.clone())),
        }
        verdict.violations.extend(check_deadline(evidence, call));
    }
}

/// Finds attempts that were sent after their client had disconnected, and attempts of requests that raced a close.
pub(super) fn check_closed_connections(evidence: &Evidence, verdict: &mut Verdict) {
    let calls: FxHashMap<&str, &Call> = evidence.calls.iter().map(|it| (it.id.as_str(), it)).collect();
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let Some(call) = calls.get(it.id.as_str()) else { continue };
        if raced_close(evidence, call) && !killed_during(evidence, call) {
            verdict.violations.push(Violation::ForwardedAfterClose(it.id.clone()));
        }
        let Some(disconnected_at) = call.disconnected_at else { continue };
        let from = end_of_interruptions(evidence, call.balancer, disconnected_at + DISCONNECT_SLACK);
        let sent_after = it.sent.saturating_duration_since(from).saturating_sub(stalled_within(
            evidence,
            disconnected_at,
            it.sent,
        ));
        if sent_after > MARGIN {
            verdict.violations.push(Violation::SentAfterDisconnect(it.id.clone(), sent_after));
        }
    }
}

/// Finds attempts that state more remaining time than is left until the deadline of their request.
pub(super) fn check_remaining_time(evidence: &Evidence, verdict: &mut Verdict) {
    let calls: FxHashMap<&str, &Call> = evidence.calls.iter().map(|it| (it.id.as_str(), it)).collect();
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let call = calls.get(it.id.as_str());
        let Some((call, (written_at, stated))) =
            call.and_then(|call| Some((call, call.written_at.zip(it.remaining_time)?)))
        else {
            continue;
        };
        let remaining = (written_at + call.deadline).saturating_duration_since(it.sent);
        let overstated_by =
            stated.saturating_sub(remaining).saturating_sub(stalled_within(evidence, written_at, it.sent));
        // Interruptions are not subtracted: the relay forwards unchanged what a balancer wrote before it was stopped.
        if overstated_by > REMAINING_TIME_SLACK + MARGIN {
            verdict.violations.push(Violation::DeadlineOverstated(it.id.clone(), overstated_by));
        }
    }
}

/// Returns how long the event loop was stalled within a period.
fn stalled_within(evidence: &Evidence, from: Instant, until: Instant) -> Duration {
    let within = |stall: &Stall| stall.until.min(until).saturating_duration_since(stall.from.max(from));
    evidence.stalls.iter().map(within).sum()
}

/// Returns `time`, or the end of the interruption of the balancer that contains it.
fn end_of_interruptions(evidence: &Evidence, balancer: usize, time: Instant) -> Instant {
    let interruptions = evidence.interruptions.iter().filter(|it| it.balancer == balancer && it.from <= time);
    interruptions.filter_map(|it| it.until).fold(time, Instant::max)
}

/// Checks that a request was answered in time. If the balancer was killed or stopped at the deadline, the time
/// until the end of the interruption does not count.
fn check_deadline(evidence: &Evidence, call: &Call) -> Option<Violation> {
    let (answered, _) = call.answers.first()?;
    let mut until = call.written_at? + call.deadline;
    match call.pipeline_position {
        PipelinePosition::First => {}
        PipelinePosition::UnblockedAt(unblocked) => until = until.max(unblocked),
        PipelinePosition::Blocked => return None, // the delay is attributed to the request before it
    }
    for interruption in evidence.interruptions.iter().filter(|it| it.balancer == call.balancer) {
        if interruption.from <= until + ANSWER_SLACK {
            until = until.max(interruption.until.unwrap_or(*answered));
        }
    }
    let late_by =
        answered.saturating_duration_since(until).saturating_sub(stalled_within(evidence, until, *answered));
    (late_by > ANSWER_SLACK + MARGIN).then(|| Violation::AnsweredLate(call.id.clone(), late_by))
}

/// Returns whether the balancer was killed and not yet restarted at some time within a period.
fn was_killed_within(evidence: &Evidence, balancer: usize, from: Instant, until: Instant) -> bool {
    let kills = evidence.interruptions.iter().filter(|it| it.killed && it.balancer == balancer);
    kills.into_iter().any(|it| it.from <= until && it.until.is_none_or(|end| from <= end))
}

/// Returns whether the connection was closed before the last byte was written, or less than [`CLOSE_RACE_WINDOW`] after
/// it. The client cannot see a close while the event loop is stalled, so this time does not count.
fn raced_close(evidence: &Evidence, call: &Call) -> bool {
    let Some((closed, Outcome::Closed(_))) = call.answers.first() else { return false };
    let Some(written_at) = call.written_at else { return true };
    let seen_after = closed.saturating_duration_since(written_at);
    seen_after.saturating_sub(stalled_within(evidence, written_at, *closed)) < CLOSE_RACE_WINDOW
}

/// Returns whether the balancer was killed between the start and the end of a request. In this case the system may
/// close the connection at any point of the request.
fn killed_during(evidence: &Evidence, call: &Call) -> bool {
    let Some((ended, _)) = call.answers.first() else { return false };
    let mut kills = evidence.interruptions.iter().filter(|it| it.killed && it.balancer == call.balancer);
    kills.any(|it| (call.at..=*ended).contains(&it.from))
}

/// Finds non-idempotent requests that were executed more than once.
pub(super) fn check_non_idempotent(evidence: &Evidence, verdict: &mut Verdict) {
    let mut runs: FxHashMap<&str, usize> = FxHashMap::default();
    for run in evidence.runs.iter().filter(|run| evidence.non_idempotent.contains(&run.class)) {
        *runs.entry(&run.id).or_default() += 1;
    }
    let repeated = runs.into_iter().filter(|(_, times)| *times > 1);
    let mut violations: Vec<_> =
        repeated.map(|(id, times)| Violation::NonIdempotentRetried(id.to_owned(), times)).collect();
    violations.sort_by_key(|it| format!("{it:?}"));
    verdict.violations.append(&mut violations);
}

/// Finds requests that had two attempts in flight at the same time.
pub(super) fn check_concurrent_attempts(evidence: &Evidence, verdict: &mut Verdict) {
    let mut all: Vec<&Attempt> = evidence.attempts.iter().chain(&evidence.runs).collect();
    all.sort_by(|a, b| (&a.id, a.received).cmp(&(&b.id, b.received)));
    for (first, second) in all.iter().zip(all.iter().skip(1)).filter(|(a, b)| a.id == b.id) {
        if first.ended.is_none_or(|(end, _)| end > second.received + MARGIN) {
            let endpoints = [first.endpoint.clone(), second.endpoint.clone()];
            verdict.violations.push(Violation::ConcurrentAttempts(first.id.clone(), endpoints));
        }
    }
}

/// Finds attempts at endpoints of which the balancer had been notified that they drain or are gone.
pub(super) fn check_draining_endpoints(evidence: &Evidence, verdict: &mut Verdict) {
    let mut notifications: FxHashMap<(usize, &str), Vec<&EndpointNotification>> = FxHashMap::default();
    for it in &evidence.notifications {
        notifications.entry((it.balancer, &it.endpoint)).or_default().push(it);
    }
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let Some(balancer) = it.balancer else { continue };
        let Some(notifications) = notifications.get(&(balancer, it.endpoint.as_str())) else { continue };
        if let Some(after) = time_since_drain_notification(evidence, notifications, balancer, it.sent)
            && after.saturating_sub(stalled_within(evidence, it.sent - after, it.sent))
                > NOTIFICATION_SLACK + MARGIN
        {
            let (id, endpoint) = (it.id.clone(), it.endpoint.clone());
            verdict.violations.push(Violation::SentToDrainingEndpoint { id, balancer, endpoint, after });
        }
    }
}

/// Returns how long before `at` the balancer was notified that the endpoint drains or is gone; `None` if it was not, or
/// was notified later that the endpoint is ready.
fn time_since_drain_notification(
    evidence: &Evidence, notifications: &[&EndpointNotification], balancer: usize, at: Instant,
) -> Option<Duration> {
    let interruptions = || evidence.interruptions.iter().filter(|it| it.balancer == balancer);
    // A process does not know the notifications of its predecessor, even those written while that was being killed.
    let started = interruptions()
        .filter(|it| it.killed && it.from <= at)
        .map(|it| it.restarted.unwrap_or(it.from))
        .max();
    let mut since = None;
    for it in notifications.iter().filter(|it| it.at <= at && started.is_none_or(|started| it.at > started)) {
        since = if it.phase == Phase::Ready { None } else { since.or(Some(it.at)) };
    }
    let mut since = since?;
    // A stopped process reads its input once it is continued.
    for stop in interruptions().filter(|it| !it.killed) {
        if stop.from <= since + NOTIFICATION_SLACK {
            since = since.max(stop.until.unwrap_or(at));
        }
    }
    Some(at.saturating_duration_since(since))
}
