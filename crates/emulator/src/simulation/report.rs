//! The report of a simulation.

use crate::Micros;
use crate::referee::Finding;
use crate::score::Score;
use serde::Serialize;
use std::collections::BTreeMap;

/// The report of a simulation.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The score.
    pub score: Score,
    /// The first violations of rules.
    pub findings: Vec<Finding>,
    /// The number of all violations.
    pub broken: usize,
    /// A digest of all observations: equal for simulations that are the same.
    pub digest: u64,
    /// The number of attempts of clients.
    pub tries: u64,
    /// The number of attempts at cache nodes and the origin.
    pub attempts: u64,
    /// The number of cache misses.
    pub misses: u64,
    /// The number of reads executed by the origin.
    pub fetches: u64,
    /// The number of writes executed by the origin.
    pub writes: u64,
    /// The number of duplicates that the origin dropped.
    pub dropped: u64,
    /// The fraction of the nodes' work that served no answer.
    pub wasted: f64,
    /// The numbers of rejections and failures by reason.
    pub reasons: BTreeMap<&'static str, u64>,
    /// The faults with their times.
    pub troubles: Vec<(Micros, String)>,
}
