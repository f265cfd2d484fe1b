//! What came of a soak run, and the records that tell why a rule was broken.

use super::plan::Plan;
use crate::clients::Call;
use crate::fleet::Fleet;
use crate::journal::Journal;
use crate::referee::Verdict;
use std::fmt;
use std::time::Instant;

/// Lines of the balancer's log about a request at fault.
const LINES_OF_REQUEST: usize = 40;
/// Requests beside one at fault whose records a report has too.
const BESIDE: usize = 24;

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// What was played.
    pub plan: Plan,
    /// What the referee says.
    pub verdict: Verdict,
    /// The records of requests at fault, and the last lines of each log, where a rule was broken.
    pub records: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.plan, self.verdict)?;
        self.records.iter().try_for_each(|record| write!(f, "\n{record}"))
    }
}

/// Where the records of a run are.
#[derive(Debug)]
pub(super) struct Records<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) calls: &'a Journal<Call>,
    pub(super) begun: Instant,
}

impl Records<'_> {
    /// What callers and hosts recorded of a request, in seconds from the start of the run.
    pub(super) fn of_request(&self, id: &str) -> String {
        let call = self.calls.look(|calls| calls.iter().find(|it| it.id == id).cloned());
        let Some(call) = call else { return format!("{id}: no record") };
        let beside = self.calls_beside(&call).into_iter().map(|call| self.record_of(&call));
        let record = beside.fold(self.record_of(&call), |text, call| format!("{text}\n    beside {call}"));
        let lines = self.log_lines_of(&call).into_iter();
        lines.fold(record, |text, line| format!("{text}\n    {line}"))
    }

    /// What its balancer logged of a request: at `debug` the line that takes it in names its client's id and the number by which
    /// all others know it.
    fn log_lines_of(&self, call: &Call) -> Vec<String> {
        let process = &self.fleet.balancer(call.balancer).process;
        let mut lines = process.lines_with(&call.id);
        let number = lines.iter().find_map(|line| line.split_once("request ")?.1.split_once(':'));
        let rest =
            number.map(|(number, _)| process.lines_with(&format!("request {number}: "))).unwrap_or_default();
        lines.extend(rest.into_iter().skip(1));
        lines.truncate(LINES_OF_REQUEST);
        lines
    }

    /// Others at the same balancer that were open at the same time: they tell whether one connection or the process stood still.
    fn calls_beside(&self, call: &Call) -> Vec<Call> {
        let ended = |call: &Call| call.answers.first().map(|(at, _)| *at);
        let beside = |other: &&Call| {
            other.balancer == call.balancer
                && other.id != call.id
                && ended(call).is_none_or(|end| other.at <= end)
                && ended(other).is_none_or(|end| end >= call.at)
        };
        self.calls.look(|calls| calls.iter().filter(beside).take(BESIDE).cloned().collect())
    }

    /// What callers and hosts recorded of one request, in a line.
    fn record_of(&self, call: &Call) -> String {
        let since = |at: Instant| at.saturating_duration_since(self.begun).as_secs_f64();
        let mut text = format!(
            "{} at n{}, {}, {:?}: begun {:.3}",
            call.id,
            call.balancer,
            call.class,
            call.deadline,
            since(call.at)
        );
        text += &call.asked.map_or_else(String::new, |at| format!(", written {:.3}", since(at)));
        for (at, answer) in &call.answers {
            text += &format!(", {answer:?} {:.3}", since(*at));
        }
        let mut attempts = self.fleet.attempts().all();
        attempts.append(&mut self.fleet.archive().runs().all());
        for it in attempts.iter().filter(|it| it.id == call.id) {
            let ended = it.ended.map_or_else(String::new, |(at, how)| format!(" {how:?} {:.3}", since(at)));
            text += &format!("; {} sent {:.3}{ended}", it.host, since(it.sent));
        }
        for it in self.fleet.interruptions.iter().filter(|it| it.balancer == call.balancer) {
            let how = if it.killed { "killed" } else { "stopped" };
            let until = it.until.map_or_else(String::new, |until| format!(" until {:.3}", since(until)));
            text += &format!("; n{} {how} {:.3}{until}", call.balancer, since(it.from));
        }
        let ended = call.answers.first().map_or_else(Instant::now, |(at, _)| *at);
        for lag in
            self.fleet.ground().lags().all().iter().filter(|it| it.until >= call.at && it.from <= ended)
        {
            text += &format!("; stand-ins stood still {:.3} to {:.3}", since(lag.from), since(lag.until));
        }
        text
    }

    /// The last lines of a balancer's log.
    pub(super) fn last_lines(&self, it: usize) -> String {
        const LINES: usize = 12;
        let log = self.fleet.balancer(it).process.log();
        log.look(|lines| format!("n{it}:\n    {}", lines[lines.len().saturating_sub(LINES)..].join("\n    ")))
    }
}
