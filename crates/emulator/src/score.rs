//! The score of a simulation: the weight of requests answered within their objective over the weight of all requests.

use crate::clients::Intent;
use crate::scenario::{Scenario, micros};
use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The factor for the weight of a request that exceeds its municipio's quota.
const OVER_QUOTA_WEIGHT: f64 = 0.2;
/// The weights of the four parts of the score: the whole day, the worst window, the worst class, the worst municipio.
const PART_WEIGHTS: [f64; 4] = [0.6, 0.1, 0.2, 0.1];
/// The length of the windows from which the worst is taken, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// The reported quantiles of response times.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// The longest response time that is recorded exactly.
const MAX_RESPONSE_TIME: Micros = 600 * SECOND;
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
    #[serde(rename = "asked")]
    pub intents: u64,
    /// The numbers of intents served in time, served late, rejected, failed and unanswered.
    #[serde(rename = "ends")]
    pub outcomes: [u64; 5],
    /// The weight served in time over the weight requested, for requests within the quota.
    pub served: f64,
    /// The median, 99th and 99.9th percentile of the response times, in microseconds, measured from the first attempt.
    /// Arrivals are open-loop, so that there is no coordinated omission.
    #[serde(rename = "times_us")]
    pub response_times_us: [u64; 3],
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
    #[serde(rename = "prices")]
    pub penalties: [f64; 2],
    /// The scores by class.
    pub classes: Vec<GroupScore>,
    /// The scores by municipio.
    pub municipios: Vec<GroupScore>,
}

/// The weight of requests, and the part of it that was served in time.
#[derive(Debug, Default, Clone, Copy)]
struct ServedWeight {
    requested: f64,
    served: f64,
}

impl ServedWeight {
    fn fraction(self) -> f64 {
        if self.requested > 0.0 { self.served / self.requested } else { 1.0 }
    }
    fn add(&mut self, weight: f64, in_time: bool) {
        self.requested += weight;
        self.served += if in_time { weight } else { 0.0 };
    }
}

/// The weights and response times from which the score of a class or municipio is computed.
#[derive(Clone)]
struct Group {
    all: ServedWeight,
    within_quota: ServedWeight,
    score: GroupScore,
    response_times: Histogram<u64>,
}

impl Group {
    fn new(name: &str) -> Self {
        // Three significant digits up to the longest deadline of a class; longer times are recorded as this maximum.
        let response_times = Histogram::new_with_max(MAX_RESPONSE_TIME, 3)
            .expect("the histogram's maximum is at least 2 and it has at most 5 digits");
        let score = GroupScore { name: name.to_owned(), ..GroupScore::default() };
        Self { all: ServedWeight::default(), within_quota: ServedWeight::default(), score, response_times }
    }

    fn record(&mut self, intent: &Intent, outcome: IntentOutcome, weight: f64, response_time: Micros) {
        let in_time = outcome == IntentOutcome::InTime;
        self.all.add(weight, in_time);
        if !intent.over_quota {
            self.within_quota.add(weight, in_time);
        }
        self.score.intents += 1;
        self.score.outcomes[outcome as usize] += 1;
        if matches!(outcome, IntentOutcome::InTime | IntentOutcome::Late) {
            self.response_times.saturating_record(response_time.max(1));
        }
    }

    fn finish(mut self) -> GroupScore {
        self.score.served = self.within_quota.fraction();
        self.score.response_times_us =
            QUANTILES.map(|quantile| self.response_times.value_at_quantile(quantile));
        self.score
    }
}

/// The weights from which the score of a simulation is computed.
struct Totals {
    whole: ServedWeight,
    by_second: Vec<ServedWeight>,
    failed_late: ServedWeight,
    classes: Vec<Group>,
    municipios: Vec<Group>,
}

impl Totals {
    fn new(scenario: &Scenario) -> Self {
        let seconds = usize::try_from(micros(scenario.duration).div_ceil(SECOND)).unwrap_or(usize::MAX);
        Self {
            whole: ServedWeight::default(),
            by_second: vec![ServedWeight::default(); seconds + 1],
            failed_late: ServedWeight::default(),
            classes: scenario.classes.iter().map(|class| Group::new(&class.name)).collect(),
            municipios: scenario.municipios.iter().map(|municipio| Group::new(&municipio.name)).collect(),
        }
    }

    fn record(&mut self, scenario: &Scenario, ended: &EndedIntent) {
        let EndedIntent { intent, outcome, at } = ended;
        let class = &scenario.classes[intent.class];
        let weight = class.priority_weight * if intent.over_quota { OVER_QUOTA_WEIGHT } else { 1.0 };
        let in_time = *outcome == IntentOutcome::InTime;
        let response_time = at.saturating_sub(intent.at);
        self.whole.add(weight, in_time);
        self.by_second[(intent.at / SECOND) as usize].add(weight, in_time);
        self.failed_late.add(weight, !in_time && response_time > micros(class.latency_objective));
        self.classes[intent.class].record(intent, *outcome, weight, response_time);
        self.municipios[intent.municipio].record(intent, *outcome, weight, response_time);
    }

    fn finish(self, wasted: f64) -> Score {
        let worst_class = self.classes.iter().map(|group| group.all.fraction()).fold(1.0, f64::min);
        let worst_municipio =
            self.municipios.iter().map(|group| group.within_quota.fraction()).fold(1.0, f64::min);
        let seconds = self.by_second.len() - 1;
        let (worst_window, worst_from_s) = find_worst_window(&self.by_second[..seconds]);
        let any_failed = f64::from(self.failed_late.requested > 0.0);
        let penalties = [
            PENALTY_WEIGHTS[0] * wasted.min(1.0),
            PENALTY_WEIGHTS[1] * self.failed_late.fraction() * any_failed,
        ];
        let parts = [self.whole.fraction(), worst_window, worst_class, worst_municipio];
        let g = PART_WEIGHTS.iter().zip(parts).map(|(weight, part)| weight * part).sum::<f64>()
            - penalties.iter().sum::<f64>();
        Score {
            g,
            whole: self.whole.fraction(),
            worst_window,
            worst_from_s,
            worst_class,
            worst_municipio,
            penalties,
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
fn find_worst_window(by_second: &[ServedWeight]) -> (f64, usize) {
    let span = WORST_WINDOW_SECONDS.min(by_second.len()).max(1);
    by_second
        .windows(span)
        .enumerate()
        .map(|(from, window)| {
            let sum = window.iter().fold(ServedWeight::default(), |sum, second| ServedWeight {
                requested: sum.requested + second.requested,
                served: sum.served + second.served,
            });
            (sum.fraction(), from)
        })
        .fold((1.0, 0), |worst, window| if window.0 < worst.0 { window } else { worst })
}
