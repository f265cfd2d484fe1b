//! Metrics of this process. Each event is counted once, where it happens; the admin endpoint, the log and tests read
//! the counters.

use decide::api::{ClassId, Outcome, Reason};
use decide::endpoint_counts::EndpointCounts;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::rc::Rc;
use upstream::call::Answer;
use upstream::connection::AttemptResult;

/// The prefix of each metric name.
const PREFIX: &str = "balancer";

/// Final answers given to requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Final answers of each class, in the order of the settings.
    pub classes: Vec<AnswerCounters>,
    /// Attempts whose last byte was written, including those at the origin: discovery lists the origin with the cache
    /// nodes, and the metric is compared with the number of requests that all of them received.
    pub attempts: Rc<Cell<u64>>,
    /// Configurations that were reloaded and applied.
    pub reloads_ok: u64,
    /// Configurations that could not be used.
    pub reloads_failed: u64,
    /// Requests whose client left before the answer.
    pub client_left: u64,
    rejected: BTreeMap<Reason, u64>,
    failed: BTreeMap<Reason, u64>,
    attempt_results: BTreeMap<AttemptTarget, BTreeMap<&'static str, u64>>,
}

/// The kind of endpoint that an attempt is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptTarget {
    CacheNode,
    Origin,
}

impl RequestCounters {
    /// Creates zero counters for this number of classes.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![AnswerCounters::default(); classes], ..Self::default() }
    }

    /// Counts a final answer when it is sent. A streamed answer is counted at its end by
    /// [`RequestCounters::count_streamed`].
    pub fn count_answer(&mut self, class: ClassId, answer: &Answer) {
        let Some(answers) = self.classes.get_mut(usize::from(class.0)) else { return };
        *match answer {
            Answer::Served(_) => &mut answers.served,
            Answer::Streamed(streamed) if streamed.is_complete() => &mut answers.served,
            Answer::Streamed(_) => return, // counted by `count_streamed`
            Answer::Rejected(_) => &mut answers.refused,
            Answer::Failed => &mut answers.failed,
        } += 1;
    }

    /// Counts a streamed answer at its end: as served if it is complete, as failed if not.
    pub fn count_streamed(&mut self, class: ClassId, complete: bool) {
        let Some(answers) = self.classes.get_mut(usize::from(class.0)) else { return };
        if complete {
            answers.served += 1;
        } else {
            answers.failed += 1;
        }
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&mut self, at_origin: bool, result: &AttemptResult) {
        let target = if at_origin { AttemptTarget::Origin } else { AttemptTarget::CacheNode };
        let word = match result.outcome {
            Outcome::Ok => "served",
            Outcome::Miss => "missed",
            Outcome::Error => "error",
            Outcome::Rejected => "rejected",
            Outcome::Timeout => "timed out",
            Outcome::ConnectFailed => "could not connect",
            Outcome::Reset if result.stale => "stale",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not sent",
        };
        *self.attempt_results.entry(target).or_default().entry(word).or_default() += 1;
    }

    /// Counts a rejected request by its reason.
    pub fn count_rejected(&mut self, reason: Reason) {
        *self.rejected.entry(reason).or_default() += 1;
    }

    /// Counts the reason and the answer of a request that is rejected before it reaches the decision module.
    pub fn count_rejected_before_routing(&mut self, class: ClassId, reason: Reason) {
        self.count_rejected(reason);
        self.count_answer(class, &Answer::Rejected(0));
    }

    /// Counts a failed request by its reason.
    pub fn count_failed(&mut self, reason: Reason) {
        *self.failed.entry(reason).or_default() += 1;
    }
}

/// Writes the number of requests that ended as `ending`, in total and for each reason.
fn write_reasons(f: &mut fmt::Formatter<'_>, ending: &str, reasons: &BTreeMap<Reason, u64>) -> fmt::Result {
    write!(f, ", {} {ending}", reasons.values().sum::<u64>())?;
    if reasons.is_empty() {
        return Ok(());
    }
    let parts: Vec<String> =
        reasons.iter().map(|(reason, count)| format!("{} {count}", reason.label())).collect();
    write!(f, " ({})", parts.join(", "))
}

impl fmt::Display for RequestCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} served", self.classes.iter().map(|answers| answers.served).sum::<u64>())?;
        write_reasons(f, "rejected", &self.rejected)?;
        write_reasons(f, "failed", &self.failed)?;
        write!(f, ", {} left by their clients", self.client_left)?;
        let targets = [(AttemptTarget::CacheNode, "cache nodes"), (AttemptTarget::Origin, "the origin")];
        for (target, name) in targets {
            let results = self.attempt_results.get(&target).into_iter().flatten();
            let parts: Vec<String> = results.map(|(word, count)| format!("{word} {count}")).collect();
            write!(f, "; attempts at {name}: {}", parts.join(", "))?;
        }
        Ok(())
    }
}

/// Renders the metrics in the text format of the admin endpoint: one `NAME:VALUE|KIND` per line. Kind `c` is a count
/// since the start, kind `g` is a current value.
#[must_use]
pub fn render(
    counters: &RequestCounters, class_names: &[String], in_flight: usize, endpoint_counts: EndpointCounts,
) -> String {
    let mut out = String::with_capacity(1024);
    let mut line = |name: &str, class: &str, value: u64, kind: char| {
        let _ = writeln!(out, "{PREFIX}.{name}{class}:{value}|{kind}"); // writing to a String cannot fail
    };
    for (name, answers) in class_names.iter().zip(&counters.classes) {
        let class = format!(".{name}");
        line("served", &class, answers.served, 'c');
        line("refused", &class, answers.refused, 'c');
        line("failed", &class, answers.failed, 'c');
    }
    line("attempts", "", counters.attempts.get(), 'c');
    line("reloads_ok", "", counters.reloads_ok, 'c');
    line("reloads_failed", "", counters.reloads_failed, 'c');
    line("in_flight", "", in_flight as u64, 'g');
    line("cache_hosts_known", "", endpoint_counts.known, 'g');
    line("cache_hosts_excluded", "", endpoint_counts.excluded, 'g');
    out
}
