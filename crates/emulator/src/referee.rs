//! The referee: sees every message of both sides, and holds them against the rules.
//!
//! It believes nobody: what has run is told by the archive's ledger, what was out by the wire. It knows no gateway's
//! insides, but for the instant at which the module gave a request up, which no client may be told late.

use crate::Micros;
use decide::api::{Effect, EndpointId, Outcome, Presence, RequestId};
use rustc_hash::{FxHashMap, FxHasher};
use serde::Serialize;
use std::fmt;
use std::hash::{Hash, Hasher};

/// Findings that are kept whole; more are only counted.
const KEPT: usize = 50;

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer, before the client gives up.
    OneAnswer,
    /// What the module has given up is answered at once.
    NotHeldBack,
    /// Never two attempts of a request out at once.
    OneAttempt,
    /// Nothing that may have run goes out again, or is called refused, unless its class allows it.
    NoSecondRun,
    /// Nothing new to a drained or gone node.
    OrderlyDrain,
    /// No cold node pushed over.
    ColdNode,
    /// The value served was made for this request.
    OwnValue,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Which.
    pub rule: Rule,
    /// When, on the day's clock.
    pub at: Micros,
    /// The request, where there is one.
    pub request: Option<u64>,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: ", self.rule, self.at as f64 / 1e6)?;
        if let Some(request) = self.request {
            write!(f, "request {request:x}: ")?;
        }
        f.write_str(&self.seen)
    }
}

/// A final answer, as its client reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A value or receipt, and the request that it was made for.
    Served {
        /// That request.
        made_for: RequestId,
    },
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

/// Something that was seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fact {
    /// A gateway has taken a request.
    Taken {
        /// Which gateway.
        gateway: usize,
        /// The request.
        request: RequestId,
        /// What a repeat of it may do.
        effect: Effect,
        /// When its client gives up.
        gives_up: Micros,
    },
    /// A gateway was told of a server.
    Told {
        /// Which gateway.
        gateway: usize,
        /// The server.
        server: EndpointId,
        /// Its state.
        presence: Presence,
    },
    /// An attempt was sent.
    Sent {
        /// Which gateway.
        gateway: usize,
        /// The request.
        request: RequestId,
        /// Its number.
        attempt: u16,
        /// Where to.
        server: EndpointId,
    },
    /// An attempt is out no more.
    Ended {
        /// The request.
        request: RequestId,
        /// Its number.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
    },
    /// The module has given a request up.
    GaveUp {
        /// The request.
        request: RequestId,
    },
    /// A final answer went to the client.
    Answered {
        /// The request.
        request: RequestId,
        /// What it says.
        answer: Answer,
    },
    /// The archive has run a request for the so-manieth time.
    Ran {
        /// The request.
        request: RequestId,
        /// How often by now.
        times: u32,
    },
    /// A cold node was pushed over.
    FellOver {
        /// Which.
        server: EndpointId,
    },
}

#[derive(Debug)]
struct Attempt {
    number: u16,
    sent: Micros,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Request {
    effect: Effect,
    gives_up: Micros,
    gave_up: Option<Micros>,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// How late may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slack {
    /// A final answer after the client's time, or after the module gave up.
    pub answer: Micros,
    /// A send after the gateway was told of a drain, this included in the rule's time.
    pub drain: Micros,
}

impl Slack {
    /// On a virtual clock: 10 ms for the answer, and 250 ms for drains as the rule says.
    pub const VIRTUAL: Self = Self { answer: 10_000, drain: 250_000 };
    /// On sockets: 50 ms more.
    pub const SOCKETS: Self = Self { answer: 60_000, drain: 300_000 };
}

/// The referee of one day.
pub struct Referee {
    slack: Slack,
    open: FxHashMap<RequestId, Request>,
    /// Since when a gateway knows that a server drains or is gone.
    shunned: FxHashMap<(usize, EndpointId), Micros>,
    findings: Vec<Finding>,
    broken: usize,
    digest: FxHasher,
    facts: u64,
}

impl Referee {
    /// A referee who has seen nothing.
    #[must_use]
    pub fn new(slack: Slack) -> Self {
        Self {
            slack,
            open: FxHashMap::default(),
            shunned: FxHashMap::default(),
            findings: Vec::new(),
            broken: 0,
            digest: FxHasher::default(),
            facts: 0,
        }
    }

    /// Sees something.
    pub fn see(&mut self, now: Micros, fact: Fact) {
        self.facts += 1;
        (now, self.facts).hash(&mut self.digest);
        match fact {
            Fact::Taken { request, effect, gives_up, .. } => {
                let (gave_up, answered, attempts) = (None, false, Vec::new());
                self.open.insert(request, Request { effect, gives_up, gave_up, answered, attempts });
            }
            Fact::Told { gateway, server, presence } => match presence {
                Presence::Ready => drop(self.shunned.remove(&(gateway, server))),
                _ => drop(self.shunned.entry((gateway, server)).or_insert(now)),
            },
            Fact::Sent { gateway, request, attempt, server } => {
                self.sent(now, gateway, request, attempt, server)
            }
            Fact::Ended { request, attempt, outcome } => {
                (request.0, attempt, outcome as u8).hash(&mut self.digest);
                if let Some(open) = self.open.get_mut(&request) {
                    let ended = open.attempts.iter_mut().find(|a| a.number == attempt);
                    ended.into_iter().for_each(|a| a.outcome = Some(outcome));
                }
                self.forget(request);
            }
            Fact::GaveUp { request } => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.gave_up.get_or_insert(now);
                }
            }
            Fact::Answered { request, answer } => self.answered(now, request, answer),
            Fact::Ran { request, times } => {
                (request.0, times).hash(&mut self.digest);
                let fragile = self.open.get(&request).is_none_or(|open| open.effect == Effect::NonIdempotent);
                if times > 1 && fragile {
                    self.find(Rule::NoSecondRun, now, Some(request), format!("it has run {times} times"));
                }
            }
            Fact::FellOver { server } => {
                self.find(Rule::ColdNode, now, None, format!("node {} was pushed over", server.0));
            }
        }
    }

    /// The client's time for a request is over, with the slack for its answer.
    pub fn time_is_up(&mut self, now: Micros, request: RequestId) {
        let unanswered = self.open.get_mut(&request).filter(|open| !open.answered);
        if let Some(open) = unanswered {
            open.answered = true;
            self.find(Rule::OneAnswer, now, Some(request), "no final answer when its client gave up".into());
        }
        self.forget(request);
    }

    /// The day is over: what is still open has no answer.
    pub fn end(&mut self, now: Micros) {
        let mut open: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| !o.answered).map(|(id, _)| *id).collect();
        open.sort_unstable();
        open.into_iter().for_each(|request| self.time_is_up(now, request));
    }

    /// The rules that were broken, the first of them whole.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// How often a rule was broken.
    #[must_use]
    pub fn broken(&self) -> usize {
        self.broken
    }

    /// A number that two days share when all that was seen is the same, to the microsecond.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// How much was seen.
    #[must_use]
    pub fn facts(&self) -> u64 {
        self.facts
    }

    fn sent(&mut self, now: Micros, gateway: usize, request: RequestId, attempt: u16, server: EndpointId) {
        (request.0, attempt, server.0).hash(&mut self.digest);
        if let Some(since) = self.shunned.get(&(gateway, server)).copied()
            && now > since + self.slack.drain
        {
            let seen =
                format!("sent to {} {} ms after gateway {gateway} was told", server.0, (now - since) / 1_000);
            self.find(Rule::OrderlyDrain, now, Some(request), seen);
        }
        let Some(open) = self.open.get_mut(&request) else {
            return self.find(
                Rule::OneAnswer,
                now,
                Some(request),
                "sent though it was never taken, or is over".into(),
            );
        };
        let out = open.attempts.iter().any(|a| a.outcome.is_none());
        let repeats = open.attempts.iter().filter(|a| may_have_run(a.outcome)).map(|a| a.sent).min();
        let allowed = match (open.effect, repeats) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::NonIdempotent, Some(_)) => false,
            (Effect::IdempotentWithKey { span_us, .. }, Some(first)) => now < first + span_us,
        };
        open.attempts.push(Attempt { number: attempt, sent: now, outcome: None });
        if out {
            self.find(
                Rule::OneAttempt,
                now,
                Some(request),
                format!("attempt {attempt} while another is out"),
            );
        }
        if !allowed {
            self.find(
                Rule::NoSecondRun,
                now,
                Some(request),
                format!("attempt {attempt}, an earlier one may have run"),
            );
        }
    }

    fn answered(&mut self, now: Micros, request: RequestId, answer: Answer) {
        (request.0, answer).hash(&mut self.digest);
        let slack = self.slack.answer;
        let Some(open) = self.open.get_mut(&request).filter(|open| !open.answered) else {
            return self.find(Rule::OneAnswer, now, Some(request), format!("a second answer: {answer:?}"));
        };
        open.answered = true;
        let (gives_up, gave_up) = (open.gives_up, open.gave_up);
        let ran = open.attempts.iter().any(|a| may_have_run(a.outcome));
        let fragile = open.effect == Effect::NonIdempotent;
        if now > gives_up + slack {
            let late = (now - gives_up) / 1_000;
            self.find(
                Rule::OneAnswer,
                now,
                Some(request),
                format!("answered {late} ms after its client gave up"),
            );
        }
        if let Some(at) = gave_up.filter(|at| now > at + slack) {
            let held = (now - at) / 1_000;
            self.find(
                Rule::NotHeldBack,
                now,
                Some(request),
                format!("given up {held} ms before its client heard"),
            );
        }
        match answer {
            Answer::Refused if fragile && ran => {
                self.find(Rule::NoSecondRun, now, Some(request), "called refused, and may have run".into());
            }
            Answer::Served { made_for } if made_for != request => {
                let seen = format!("served with what was made for {:x}", made_for.0);
                self.find(Rule::OwnValue, now, Some(request), seen);
            }
            _ => {}
        }
        self.forget(request);
    }

    /// Bounds memory: what is answered and has nothing out can break no rule any more, but run again.
    fn forget(&mut self, request: RequestId) {
        let over = |open: &Request| open.answered && open.attempts.iter().all(|a| a.outcome.is_some());
        if self.open.get(&request).is_some_and(|open| over(open) && open.effect != Effect::NonIdempotent) {
            self.open.remove(&request);
        }
    }

    fn find(&mut self, rule: Rule, at: Micros, request: Option<RequestId>, seen: String) {
        self.broken += 1;
        if self.findings.len() < KEPT {
            self.findings.push(Finding { rule, at, request: request.map(|id| id.0), seen });
        }
    }
}

fn may_have_run(outcome: Option<Outcome>) -> bool {
    outcome.is_none_or(|outcome| !outcome.proves_never_ran())
}
