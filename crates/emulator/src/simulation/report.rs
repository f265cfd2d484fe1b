//! The report of a simulation.

use crate::Micros;
use crate::referee::Finding;
use crate::score::Score;
use serde::Serialize;
use std::collections::BTreeMap;

/// The report of a simulation.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed of the simulation.
    pub seed: u64,
    /// The score of the simulation.
    pub score: Score,
    /// The first violations of rules.
    pub findings: Vec<Finding>,
    /// The number of all violations.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// A digest of all observations; simulations with the same observations at the same times have the same digest.
    pub digest: u64,
    /// The number of requests that clients sent, including retries.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// The number of attempts that gateways sent to cache nodes and the origin.
    pub attempts: u64,
    /// The number of cache misses.
    pub misses: u64,
    /// The number of reads executed by the origin.
    pub fetches: u64,
    /// The number of writes executed by the origin.
    pub writes: u64,
    /// The number of duplicate writes that the origin dropped.
    #[serde(rename = "dropped")]
    pub dropped_duplicates: u64,
    /// The fraction of the nodes' work that served no answer.
    #[serde(rename = "wasted")]
    pub wasted_fraction: f64,
    /// The numbers of rejections and failures by reason.
    pub reasons: BTreeMap<&'static str, u64>,
    /// The starts and ends of faults, with their times.
    #[serde(rename = "troubles")]
    pub fault_log: Vec<(Micros, String)>,
}
