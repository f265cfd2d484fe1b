//! The figures of this process: counted once, where the event happens, and read by the door, the log and tests alike.

use decide::api::{ClassId, Outcome, Reason};
use decide::endpoint_counts::EndpointCounts;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::rc::Rc;
use upstream::call::Answer;
use upstream::connection::AttemptResult;

/// What stands before each name.
const PREFIX: &str = "balancer";

/// Final answers given to requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Final answers by class, in the order of the settings.
    pub classes: Vec<AnswerCounters>,
    /// Tries whose last byte was written, the origin's among them: discovery lists it with the cache hosts, and the figure is
    /// held against what all of them saw.
    pub attempts: Rc<Cell<u64>>,
    /// New configurations taken over, and those that could not be used.
    pub reloads: (u64, u64),
    refused: BTreeMap<Reason, u64>,
    failed: BTreeMap<Reason, u64>,
    /// Requests whose clients left before their answer.
    pub left: u64,
    tries: BTreeMap<(bool, &'static str), u64>,
}

impl RequestCounters {
    /// Nothing counted, for so many classes.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![AnswerCounters::default(); classes], ..Self::default() }
    }

    /// Counts a final answer as it is given.
    pub fn answered(&mut self, class: ClassId, answer: &Answer) {
        let Some(answers) = self.classes.get_mut(usize::from(class.0)) else { return };
        *match answer {
            Answer::Served(_) => &mut answers.served,
            Answer::Streamed(streamed) if streamed.whole() => &mut answers.served,
            Answer::Streamed(_) => return, // it has only begun
            Answer::Refused(_) => &mut answers.refused,
            Answer::Failed => &mut answers.failed,
        } += 1;
    }

    /// Counts a large answer as it has been passed on, whole or broken off.
    pub fn passed_on(&mut self, class: ClassId, whole: bool) {
        if let Some(answers) = self.classes.get_mut(usize::from(class.0)) {
            *if whole { &mut answers.served } else { &mut answers.failed } += 1;
        }
    }

    /// Counts the end of a try.
    pub fn tried(&mut self, at_origin: bool, ended: &AttemptResult) {
        let word = match ended.outcome {
            Outcome::Ok => "served",
            Outcome::Miss => "missed",
            Outcome::Error => "error",
            Outcome::Rejected => "turned away",
            Outcome::Timeout => "timed out",
            Outcome::ConnectFailed => "could not connect",
            Outcome::Reset if ended.stale => "stale",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not sent",
        };
        *self.tries.entry((at_origin, word)).or_default() += 1;
    }

    /// Counts why a request is refused.
    pub fn refuse(&mut self, why: Reason) {
        *self.refused.entry(why).or_default() += 1;
    }

    /// Counts why a request is failed.
    pub fn fail(&mut self, why: Reason) {
        *self.failed.entry(why).or_default() += 1;
    }
}

impl fmt::Display for RequestCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} served", self.classes.iter().map(|it| it.served).sum::<u64>())?;
        for (how, reasons) in [("refused", &self.refused), ("failed", &self.failed)] {
            write!(f, ", {} {how}", reasons.values().sum::<u64>())?;
            let words: Vec<String> = reasons.iter().map(|(why, n)| format!("{} {n}", why.label())).collect();
            if !words.is_empty() {
                write!(f, " ({})", words.join(", "))?;
            }
        }
        write!(f, ", {} left by their clients", self.left)?;
        for (at_origin, whose) in [(false, "cache nodes"), (true, "the origin")] {
            let of = self.tries.iter().filter(|((origin, _), _)| *origin == at_origin);
            let words: Vec<String> = of.map(|((_, word), n)| format!("{word} {n}")).collect();
            write!(f, "; tries at {whose}: {}", words.join(", "))?;
        }
        Ok(())
    }
}

/// The figures as staff fetch them, one `NAME:VALUE|KIND` a line: `c` counts since the start, `g` is the state now.
#[must_use]
pub fn render(
    counters: &RequestCounters, class_names: &[String], in_flight: usize, endpoint_counts: EndpointCounts,
) -> String {
    let mut out = String::with_capacity(1024);
    let mut line = |name: &str, class: &str, value: u64, kind: char| {
        let _ = writeln!(out, "{PREFIX}.{name}{class}:{value}|{kind}"); // a String takes all
    };
    for (name, answers) in class_names.iter().zip(&counters.classes) {
        let class = format!(".{name}");
        line("served", &class, answers.served, 'c');
        line("refused", &class, answers.refused, 'c');
        line("failed", &class, answers.failed, 'c');
    }
    line("attempts", "", counters.attempts.get(), 'c');
    line("reloads_ok", "", counters.reloads.0, 'c');
    line("reloads_failed", "", counters.reloads.1, 'c');
    line("in_flight", "", in_flight as u64, 'g');
    line("cache_hosts_known", "", endpoint_counts.known, 'g');
    line("cache_hosts_excluded", "", endpoint_counts.excluded, 'g');
    out
}
