//! The report of a soak run, including the records of the requests that violate a rule.

use super::plan::Plan;
use crate::clients::Call;
use crate::event_log::EventLog;
use crate::fleet::Fleet;
use crate::referee::Verdict;
use std::fmt;
use std::time::Instant;

/// The maximum number of log lines reported for a violating request.
const MAX_LOG_LINES: usize = 40;
/// The maximum number of concurrent requests reported for a violating request.
const MAX_CONCURRENT_CALLS: usize = 24;

/// The report of a run.
#[derive(Debug)]
pub struct Report {
    /// The executed plan.
    pub plan: Plan,
    /// The number of batches whose connection ended after some, but not all, of their answers.
    pub interrupted_batches: u64,
    /// The verdict of the referee.
    pub verdict: Verdict,
    /// The records of violating requests and the last log lines of each balancer; empty if there is no violation.
    pub records: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} batches cut; {}", self.plan, self.interrupted_batches, self.verdict)?;
        self.records.iter().try_for_each(|record| write!(f, "\n{record}"))
    }
}

/// Access to the records of a run.
#[derive(Debug)]
pub(super) struct Records<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) calls: &'a EventLog<Call>,
    pub(super) started: Instant,
}

impl Records<'_> {
    /// Returns the records of a request, with times in seconds from the start of the run.
    pub(super) fn request_records(&self, id: &str) -> String {
        let call = self.calls.with_entries(|calls| calls.iter().find(|it| it.id == id).cloned());
        let Some(call) = call else { return format!("{id}: no record") };
        let concurrent = self.concurrent_calls(&call).into_iter().map(|call| self.call_record(&call));
        let record =
            concurrent.fold(self.call_record(&call), |text, call| format!("{text}\n    concurrent {call}"));
        let lines = self.log_lines(&call).into_iter();
        lines.fold(record, |text, line| format!("{text}\n    {line}"))
    }

    /// Returns the log lines of a request. At level `debug`, the line that accepts the request names both the id that
    /// the client sent and the internal number that the other lines use.
    fn log_lines(&self, call: &Call) -> Vec<String> {
        let process = &self.fleet.balancer(call.balancer).process;
        let mut lines = process.lines_with(&call.id);
        let internal_number = lines.iter().find_map(|line| line.split_once("request ")?.1.split_once(':'));
        let rest = internal_number
            .map(|(number, _)| process.lines_with(&format!("request {number}: ")))
            .unwrap_or_default();
        lines.extend(rest.into_iter().skip(1));
        lines.truncate(MAX_LOG_LINES);
        lines
    }

    /// Returns requests at the same balancer that overlapped in time with a request. They show whether only its
    /// connection or the whole process stalled.
    fn concurrent_calls(&self, call: &Call) -> Vec<Call> {
        let ended = |call: &Call| call.answers.first().map(|(at, _)| *at);
        let concurrent = |other: &&Call| {
            other.balancer == call.balancer
                && other.id != call.id
                && ended(call).is_none_or(|end| other.at <= end)
                && ended(other).is_none_or(|end| end >= call.at)
        };
        self.calls.with_entries(|calls| {
            calls.iter().filter(concurrent).take(MAX_CONCURRENT_CALLS).cloned().collect()
        })
    }

    /// Returns a line with the records of a request: its outcomes and attempts, the interruptions of its balancer, and
    /// the event-loop stalls during the request.
    fn call_record(&self, call: &Call) -> String {
        let seconds_since_start = |at: Instant| at.saturating_duration_since(self.started).as_secs_f64();
        let mut text = format!(
            "{} at n{}, {}, {:?}: begun {:.3}",
            call.id,
            call.balancer,
            call.class,
            call.deadline,
            seconds_since_start(call.at)
        );
        text += &call
            .written_at
            .map_or_else(String::new, |at| format!(", written {:.3}", seconds_since_start(at)));
        for (at, answer) in &call.answers {
            text += &format!(", {answer:?} {:.3}", seconds_since_start(*at));
        }
        let mut attempts = self.fleet.attempts().all();
        attempts.append(&mut self.fleet.origin().executions().all());
        for attempt in attempts.iter().filter(|it| it.id == call.id) {
            let ended = attempt
                .ended
                .map_or_else(String::new, |(at, how)| format!(" {how:?} {:.3}", seconds_since_start(at)));
            text += &format!("; {} sent {:.3}{ended}", attempt.endpoint, seconds_since_start(attempt.sent));
        }
        for interruption in self.fleet.interruptions.iter().filter(|it| it.balancer == call.balancer) {
            let how = if interruption.killed { "killed" } else { "stopped" };
            let until = interruption
                .until
                .map_or_else(String::new, |until| format!(" until {:.3}", seconds_since_start(until)));
            text +=
                &format!("; n{} {how} {:.3}{until}", call.balancer, seconds_since_start(interruption.from));
        }
        let ended = call.answers.first().map_or_else(Instant::now, |(at, _)| *at);
        for stall in
            self.fleet.runtime().stalls().all().iter().filter(|it| it.until >= call.at && it.from <= ended)
        {
            text += &format!(
                "; stand-ins stood still {:.3} to {:.3}",
                seconds_since_start(stall.from),
                seconds_since_start(stall.until)
            );
        }
        text
    }

    /// Returns the last log lines of a balancer.
    pub(super) fn last_lines(&self, balancer: usize) -> String {
        const LAST_LINES: usize = 12;
        let log = self.fleet.balancer(balancer).process.log();
        log.with_entries(|lines| {
            format!("n{balancer}:\n    {}", lines[lines.len().saturating_sub(LAST_LINES)..].join("\n    "))
        })
    }
}
