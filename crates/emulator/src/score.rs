//! The score of a simulation: the weight of requests answered within their objective over the weight of all requests.

use crate::clients::Intent;
use crate::scenario::{Scenario, micros};
use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The factor for the weight of a request that exceeds its municipio's quota.
const OVER_QUOTA_WEIGHT: f64 = 0.2;
/// The weights of the four parts of the score: the whole day, the worst window, the worst class, the worst municipio.
const WEIGHTS: [f64; 4] = [0.6, 0.1, 0.2, 0.1];
/// The length of the windows from which the worst is taken, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// The reported quantiles of response times.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// The longest response time that is recorded exactly.
const MAX_RECORDED_TIME: Micros = 600 * SECOND;
/// The maximum penalties for wasted work and for failures after the latency objective.
const PENALTY_WEIGHTS: [f64; 2] = [0.056, 0.035];

/// The outcome of an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum IntentOutcome {
    /// Served within its latency objective.
    InTime,
    /// Served after its latency objective.
    Late,
    /// The last attempt was rejected.
    Refused,
    /// The last attempt failed.
    Failed,
    /// Not answered before the client's deadline.
    Unanswered,
}

/// An intent with its outcome.
#[derive(Debug, Clone, Copy)]
pub struct EndedIntent {
    /// The intent.
    pub intent: Intent,
    /// The outcome of the intent.
    pub outcome: IntentOutcome,
    /// The time at which the intent ended.
    pub at: Micros,
}

/// The score of a class or municipio.
#[derive(Debug, Default, Clone, Serialize)]
pub struct GroupScore {
    /// The name of the class or municipio.
    pub name: String,
    /// The number of intents.
    pub asked: u64,
    /// The numbers of intents served in time, served late, rejected, failed and unanswered.
    pub ends: [u64; 5],
    /// The weight served in time over the weight requested, for requests within the quota.
    pub served: f64,
    /// The median, 99th and 99.9th percentile of the response times, in microseconds, measured from the first attempt.
    /// Arrivals are open-loop, so that there is no coordinated omission.
    pub times_us: [u64; 3],
}

/// The score of a simulation.
#[derive(Debug, Clone, Serialize)]
pub struct Score {
    /// The weighted sum of the scores of the whole day, the worst window, the worst class and the worst municipio,
    /// minus the penalties.
    pub g: f64,
    /// The weight served in time over the weight requested, for the whole day.
    pub whole: f64,
    /// The weight served in time over the weight requested, for the worst window.
    pub worst_window: f64,
    /// The start of the worst window, in seconds.
    pub worst_from_s: usize,
    /// The weight served in time over the weight requested, for the worst class.
    pub worst_class: f64,
    /// The weight served in time over the weight requested within the quota, for the worst municipio.
    pub worst_municipio: f64,
    /// The penalties for wasted work and for failures after the latency objective.
    pub prices: [f64; 2],
    /// The scores by class.
    pub classes: Vec<GroupScore>,
    /// The scores by municipio.
    pub municipios: Vec<GroupScore>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Worth {
    asked: f64,
    served: f64,
}

impl Worth {
    fn part(self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
    fn add(&mut self, worth: f64, in_time: bool) {
        self.asked += worth;
        self.served += if in_time { worth } else { 0.0 };
    }
}

/// The weights and response times from which the score of a class or municipio is computed.
#[derive(Clone)]
struct Group {
    all: Worth,
    within_quota: Worth,
    score: GroupScore,
    times: Histogram<u64>,
}

impl Group {
    fn new(name: &str) -> Self {
        // Three significant digits up to the longest deadline of a class; longer times are recorded as this maximum.
        let times = Histogram::new_with_max(MAX_RECORDED_TIME, 3).expect("valid histogram bounds");
        let score = GroupScore { name: name.to_owned(), ..GroupScore::default() };
        Self { all: Worth::default(), within_quota: Worth::default(), score, times }
    }

    fn record(&mut self, intent: &Intent, outcome: IntentOutcome, worth: f64, took: Micros) {
        let in_time = outcome == IntentOutcome::InTime;
        self.all.add(worth, in_time);
        if !intent.over_quota {
            self.within_quota.add(worth, in_time);
        }
        self.score.asked += 1;
        self.score.ends[outcome as usize] += 1;
        if matches!(outcome, IntentOutcome::InTime | IntentOutcome::Late) {
            self.times.saturating_record(took.max(1));
        }
    }

    fn finish(mut self) -> GroupScore {
        self.score.served = self.within_quota.part();
        self.score.times_us = QUANTILES.map(|quantile| self.times.value_at_quantile(quantile));
        self.score
    }
}

/// The weights from which the score of a simulation is computed.
struct Totals {
    whole: Worth,
    by_second: Vec<Worth>,
    failed_late: Worth,
    classes: Vec<Group>,
    municipios: Vec<Group>,
}

impl Totals {
    fn new(scenario: &Scenario) -> Self {
        let seconds = usize::try_from(micros(scenario.lasts).div_ceil(SECOND)).unwrap_or(usize::MAX);
        Self {
            whole: Worth::default(),
            by_second: vec![Worth::default(); seconds + 1],
            failed_late: Worth::default(),
            classes: scenario.classes.iter().map(|class| Group::new(&class.name)).collect(),
            municipios: scenario.municipios.iter().map(|municipio| Group::new(&municipio.name)).collect(),
        }
    }

    fn record(&mut self, scenario: &Scenario, ended: &EndedIntent) {
        let EndedIntent { intent, outcome, at } = ended;
        let class = &scenario.classes[intent.class];
        let worth = class.worth * if intent.over_quota { OVER_QUOTA_WEIGHT } else { 1.0 };
        let in_time = *outcome == IntentOutcome::InTime;
        let took = at.saturating_sub(intent.at);
        self.whole.add(worth, in_time);
        self.by_second[(intent.at / SECOND) as usize].add(worth, in_time);
        self.failed_late.add(worth, !in_time && took > micros(class.wanted));
        self.classes[intent.class].record(intent, *outcome, worth, took);
        self.municipios[intent.municipio].record(intent, *outcome, worth, took);
    }

    fn finish(self, wasted: f64) -> Score {
        let worst_class = self.classes.iter().map(|group| group.all.part()).fold(1.0, f64::min);
        let worst_municipio =
            self.municipios.iter().map(|group| group.within_quota.part()).fold(1.0, f64::min);
        let seconds = self.by_second.len() - 1;
        let (worst_window, worst_from_s) = worst_window_of(&self.by_second[..seconds]);
        let any_failed = f64::from(self.failed_late.asked > 0.0);
        let prices =
            [PENALTY_WEIGHTS[0] * wasted.min(1.0), PENALTY_WEIGHTS[1] * self.failed_late.part() * any_failed];
        let parts = [self.whole.part(), worst_window, worst_class, worst_municipio];
        let g = WEIGHTS.iter().zip(parts).map(|(weight, part)| weight * part).sum::<f64>()
            - prices.iter().sum::<f64>();
        Score {
            g,
            whole: self.whole.part(),
            worst_window,
            worst_from_s,
            worst_class,
            worst_municipio,
            prices,
            classes: self.classes.into_iter().map(Group::finish).collect(),
            municipios: self.municipios.into_iter().map(Group::finish).collect(),
        }
    }
}

/// Computes the score of a simulation from its ended intents and from the fraction of the nodes' work that served no
/// answer.
#[must_use]
pub fn compute_score(scenario: &Scenario, intents: &[EndedIntent], wasted: f64) -> Score {
    let mut totals = Totals::new(scenario);
    for ended in intents {
        totals.record(scenario, ended);
    }
    totals.finish(wasted)
}

/// Returns the lowest score of any window, and the second in which it starts.
fn worst_window_of(by_second: &[Worth]) -> (f64, usize) {
    let span = WORST_WINDOW_SECONDS.min(by_second.len()).max(1);
    by_second
        .windows(span)
        .enumerate()
        .map(|(from, window)| {
            let sum = window.iter().fold(Worth::default(), |sum, w| Worth {
                asked: sum.asked + w.asked,
                served: sum.served + w.served,
            });
            (sum.part(), from)
        })
        .fold((1.0, 0), |worst, window| if window.0 < worst.0 { window } else { worst })
}
