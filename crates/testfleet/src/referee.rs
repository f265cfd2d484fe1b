//! The referee: reads the records of a run and lists where a rule was broken.

use crate::clients::{Call, Final, Turn};
use crate::ground::Lag;
use crate::hosts::{Attempt, Ending};
use crate::inventory::{Phase, Told};
use rustc_hash::FxHashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Nothing new goes to a host this long after the balancer was told that it drains or is gone.
pub const TOLD_WITHIN: Duration = Duration::from_millis(250);
/// An answer may come so long after a request's time.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// A close that a request crosses is seen so soon after the request's last byte was written.
pub const CROSSING: Duration = Duration::from_millis(100);
/// What the records of two processes on one busy machine may be off by.
pub const MARGIN: Duration = Duration::from_millis(50);

/// A time in which a balancer could not act.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interruption {
    /// The balancer.
    pub balancer: usize,
    /// Killed, so that what it had is lost; or only stopped.
    pub killed: bool,
    /// From when.
    pub from: Instant,
    /// Until when; none while it lasts.
    pub until: Option<Instant>,
    /// Where it was killed: when the next process in its place was started.
    pub restarted: Option<Instant>,
}

/// All that was seen.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// What a run is repeated by.
    pub seed: u64,
    /// Requests and their answers.
    pub calls: Vec<Call>,
    /// Attempts at cache hosts.
    pub attempts: Vec<Attempt>,
    /// Runs at the archive.
    pub runs: Vec<Attempt>,
    /// What balancers were told.
    pub told: Vec<Told>,
    /// When balancers could not act.
    pub interruptions: Vec<Interruption>,
    /// When the stand-ins stood still.
    pub lags: Vec<Lag>,
    /// Classes that may run once at most.
    pub fragile: Vec<String>,
    /// Entries for which the records had no room.
    pub left_out: usize,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A request has no final answer.
    Unanswered(String),
    /// A request has more than one.
    AnsweredTwice(String),
    /// A request had its answer so long after its time.
    AnsweredLate(String, Duration),
    /// An attempt for a request began so long after its client had left.
    SentForLeft(String, Duration),
    /// An attempt told its host so much more time than was left.
    ToldTooMuchTime(String, Duration),
    /// A request that its connection's close had crossed was sent on all the same.
    CrossedAndSent(String),
    /// A client that had stopped half way was kept waiting for so long.
    KeptWaiting(usize, Duration),
    /// A balancer that was told to end ran on until SIGKILL.
    StillRunning(usize),
    /// A balancer had more memory (KB) or descriptors than it may.
    OverLimit(usize, u64, usize),
    /// A request was lost at a balancer that nobody had killed, and how.
    Lost(String, String),
    /// A fragile request ran more than once: so often.
    FragileRanAgain(String, usize),
    /// A second attempt went out, to the second host, while the first was out.
    TwoAttemptsAtOnce(String, [String; 2]),
    /// A balancer sent something new to a host so long after it was told that the host drains or is gone.
    SentToLeaving {
        /// The request.
        id: String,
        /// The balancer.
        balancer: usize,
        /// The host.
        host: String,
        /// How long after.
        after: Duration,
    },
    /// The records are not whole.
    RecordsLeftOut(usize),
}

impl Violation {
    /// The request that it is about, if it is about one.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::Unanswered(id)
            | Self::AnsweredTwice(id)
            | Self::AnsweredLate(id, _)
            | Self::SentForLeft(id, _)
            | Self::ToldTooMuchTime(id, _)
            | Self::CrossedAndSent(id)
            | Self::Lost(id, _)
            | Self::FragileRanAgain(id, _)
            | Self::TwoAttemptsAtOnce(id, _)
            | Self::SentToLeaving { id, .. } => Some(id),
            Self::KeptWaiting(..) | Self::StillRunning(_) | Self::OverLimit(..) | Self::RecordsLeftOut(_) => {
                None
            }
        }
    }
}

/// What the referee says.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// What the run is repeated by.
    pub seed: u64,
    /// Requests.
    pub calls: usize,
    /// Of these, served.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Lost with a balancer that was killed.
    pub lost_with_a_killed: usize,
    /// Not taken, or left by their clients.
    pub not_taken: usize,
    /// Written within 0.1 s before their connection's end, and not read.
    pub crossed: usize,
    /// Attempts at cache hosts.
    pub attempts: usize,
    /// Runs at the archive.
    pub runs: usize,
    /// Broken rules.
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
    /// Ends the test where a rule was broken.
    ///
    /// # Panics
    /// When one was, with the seed and what was broken.
    pub fn assert_clean(&self) {
        assert!(self.violations.is_empty(), "{self}");
    }
}

/// Judges a run.
#[must_use]
pub fn judge(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict {
        seed: evidence.seed,
        calls: evidence.calls.len(),
        attempts: evidence.attempts.len(),
        runs: evidence.runs.len(),
        ..Verdict::default()
    };
    if evidence.left_out > 0 {
        verdict.violations.push(Violation::RecordsLeftOut(evidence.left_out));
    }
    answers(evidence, &mut verdict);
    left_and_crossed(evidence, &mut verdict);
    told_time(evidence, &mut verdict);
    fragile(evidence, &mut verdict);
    one_at_once(evidence, &mut verdict);
    leaving(evidence, &mut verdict);
    verdict
}

fn answers(evidence: &Evidence, verdict: &mut Verdict) {
    for call in &evidence.calls {
        match &call.answers[..] {
            [] => verdict.violations.push(Violation::Unanswered(call.id.clone())),
            [(at, answer)] => match answer {
                Final::Served => verdict.served += 1,
                Final::Refused | Final::NotReady => verdict.refused += 1,
                Final::Failed(_) => verdict.failed += 1,
                Final::NotTaken | Final::Left => verdict.not_taken += 1,
                Final::Closed(_) if killed_during(evidence, call) => verdict.lost_with_a_killed += 1,
                Final::Closed(_) if crossed(evidence, call) => verdict.crossed += 1,
                Final::Lost(_) | Final::Closed(_) if was_killed(evidence, call.balancer, call.at, *at) => {
                    verdict.lost_with_a_killed += 1;
                }
                Final::Lost(how) | Final::Closed(how) => {
                    verdict.violations.push(Violation::Lost(call.id.clone(), how.clone()))
                }
            },
            _ => verdict.violations.push(Violation::AnsweredTwice(call.id.clone())),
        }
        verdict.violations.extend(late(evidence, call));
    }
}

/// An attempt may begin so long after its client has left.
pub const LEFT_SLACK: Duration = Duration::from_millis(100);
/// An attempt may tell so much more time than is left.
pub const TOLD_SLACK: Duration = Duration::from_millis(150);

/// Attempts for clients that had left, and for requests that were not to be taken.
fn left_and_crossed(evidence: &Evidence, verdict: &mut Verdict) {
    let calls: FxHashMap<&str, &Call> = evidence.calls.iter().map(|it| (it.id.as_str(), it)).collect();
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let Some(call) = calls.get(it.id.as_str()) else { continue };
        if crossed(evidence, call) && !killed_during(evidence, call) {
            verdict.violations.push(Violation::CrossedAndSent(it.id.clone()));
        }
        let Some(left) = call.left else { continue };
        let from = after_stops(evidence, call.balancer, left + LEFT_SLACK);
        let after = it.sent.saturating_duration_since(from).saturating_sub(lagged(evidence, left, it.sent));
        if after > MARGIN {
            verdict.violations.push(Violation::SentForLeft(it.id.clone(), after));
        }
    }
}

/// What attempts say that their balancer waits.
fn told_time(evidence: &Evidence, verdict: &mut Verdict) {
    let calls: FxHashMap<&str, &Call> = evidence.calls.iter().map(|it| (it.id.as_str(), it)).collect();
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let call = calls.get(it.id.as_str());
        let Some((call, (asked, time))) = call.and_then(|call| Some((call, call.asked.zip(it.time)?))) else {
            continue;
        };
        let left = (asked + call.deadline).saturating_duration_since(it.sent);
        let more = time.saturating_sub(left).saturating_sub(lagged(evidence, asked, it.sent));
        // What it wrote before it was stopped is relayed as it was.
        if more > TOLD_SLACK + MARGIN {
            verdict.violations.push(Violation::ToldTooMuchTime(it.id.clone(), more));
        }
    }
}

/// How long the stand-ins stood still between these.
fn lagged(evidence: &Evidence, from: Instant, until: Instant) -> Duration {
    let within = |lag: &Lag| lag.until.min(until).saturating_duration_since(lag.from.max(from));
    evidence.lags.iter().map(within).sum()
}

/// This time, or the end of a stop of the balancer in which it falls.
fn after_stops(evidence: &Evidence, balancer: usize, time: Instant) -> Instant {
    let stops = evidence.interruptions.iter().filter(|it| it.balancer == balancer && it.from <= time);
    stops.filter_map(|it| it.until).fold(time, Instant::max)
}

/// Whether its answer came too late. Time in which the balancer was stopped as its time ran out does not count.
fn late(evidence: &Evidence, call: &Call) -> Option<Violation> {
    let (answered, _) = call.answers.first()?;
    let mut until = call.asked? + call.deadline;
    match call.turn {
        Turn::First => {}
        Turn::Came(turn) => until = until.max(turn),
        Turn::Waits => return None, // what it has waited for counts for the request ahead of it
    }
    for stop in evidence.interruptions.iter().filter(|it| it.balancer == call.balancer) {
        if stop.from <= until + ANSWER_SLACK {
            until = until.max(stop.until.unwrap_or(*answered));
        }
    }
    let by = answered.saturating_duration_since(until).saturating_sub(lagged(evidence, until, *answered));
    (by > ANSWER_SLACK + MARGIN).then(|| Violation::AnsweredLate(call.id.clone(), by))
}

/// Whether the balancer was dead at some time between these.
fn was_killed(evidence: &Evidence, balancer: usize, from: Instant, until: Instant) -> bool {
    let dead = evidence.interruptions.iter().filter(|it| it.killed && it.balancer == balancer);
    dead.into_iter().any(|it| it.from <= until && it.until.is_none_or(|end| from <= end))
}

/// Whether its connection was closed before its last byte was written, or so soon after it that the close has crossed it: time in which
/// the stand-ins stood still, and could not see the close, does not count.
fn crossed(evidence: &Evidence, call: &Call) -> bool {
    let Some((closed, Final::Closed(_))) = call.answers.first() else { return false };
    let Some(asked) = call.asked else { return true };
    let seen_after = closed.saturating_duration_since(asked);
    seen_after.saturating_sub(lagged(evidence, asked, *closed)) < CROSSING
}

/// Whether the balancer was killed between the request's beginning and its end: the system then closed the connection, at any
/// point of the request's life.
fn killed_during(evidence: &Evidence, call: &Call) -> bool {
    let Some((ended, _)) = call.answers.first() else { return false };
    let mut kills = evidence.interruptions.iter().filter(|it| it.killed && it.balancer == call.balancer);
    kills.any(|it| (call.at..=*ended).contains(&it.from))
}

fn fragile(evidence: &Evidence, verdict: &mut Verdict) {
    let mut runs: FxHashMap<&str, usize> = FxHashMap::default();
    for run in evidence.runs.iter().filter(|run| evidence.fragile.contains(&run.class)) {
        *runs.entry(&run.id).or_default() += 1;
    }
    let again = runs.into_iter().filter(|(_, times)| *times > 1);
    let mut again: Vec<_> =
        again.map(|(id, times)| Violation::FragileRanAgain(id.to_owned(), times)).collect();
    again.sort_by_key(|it| format!("{it:?}"));
    verdict.violations.append(&mut again);
}

fn one_at_once(evidence: &Evidence, verdict: &mut Verdict) {
    let mut all: Vec<&Attempt> = evidence.attempts.iter().chain(&evidence.runs).collect();
    all.sort_by(|a, b| (&a.id, a.at).cmp(&(&b.id, b.at)));
    for (first, second) in all.iter().zip(all.iter().skip(1)).filter(|(a, b)| a.id == b.id) {
        if first.ended.is_none_or(|(end, _)| end > second.at + MARGIN) {
            let hosts = [first.host.clone(), second.host.clone()];
            verdict.violations.push(Violation::TwoAttemptsAtOnce(first.id.clone(), hosts));
        }
    }
}

fn leaving(evidence: &Evidence, verdict: &mut Verdict) {
    let mut told: FxHashMap<(usize, &str), Vec<&Told>> = FxHashMap::default();
    for it in &evidence.told {
        told.entry((it.balancer, &it.host)).or_default().push(it);
    }
    for it in evidence.attempts.iter().chain(&evidence.runs) {
        let Some(balancer) = it.balancer else { continue };
        let Some(told) = told.get(&(balancer, it.host.as_str())) else { continue };
        if let Some(after) = left_before(evidence, told, balancer, it.sent)
            && after.saturating_sub(lagged(evidence, it.sent - after, it.sent)) > TOLD_WITHIN + MARGIN
        {
            let (id, host) = (it.id.clone(), it.host.clone());
            verdict.violations.push(Violation::SentToLeaving { id, balancer, host, after });
        }
    }
}

/// How long before that instant the balancer knew that the host leaves; none where it did not, or knew better by then.
fn left_before(evidence: &Evidence, told: &[&Told], balancer: usize, at: Instant) -> Option<Duration> {
    let here = || evidence.interruptions.iter().filter(|it| it.balancer == balancer);
    // A process knows nothing of what the one before it was told, also where that was written as it was being killed.
    let born = here().filter(|it| it.killed && it.from <= at).map(|it| it.restarted.unwrap_or(it.from)).max();
    let mut since = None;
    for it in told.iter().filter(|it| it.at <= at && born.is_none_or(|born| it.at > born)) {
        since = if it.phase == Phase::Ready { None } else { since.or(Some(it.at)) };
    }
    let mut since = since?;
    // What is written to a process that is stopped is read once it goes on.
    for stop in here().filter(|it| !it.killed) {
        if stop.from <= since + TOLD_WITHIN {
            since = since.max(stop.until.unwrap_or(at));
        }
    }
    Some(at.saturating_duration_since(since))
}

/// Whether an attempt was answered: for counts in reports.
#[must_use]
pub fn answered(it: &Attempt) -> bool {
    matches!(it.ended, Some((_, Ending::Answered)))
}
