//! Validates the values of a scenario in the order of the fields.

use super::{Class, Clients, Fault, Fleet, Municipio, Scenario};
use std::fmt::Debug;
use std::time::Duration;

/// The maximum duration of a scenario.
const MAX_DURATION: Duration = Duration::from_secs(3_600);
/// The maximum number of cache nodes at the start, and of nodes that one fault adds or drains.
const MAX_NODES: usize = 100_000;
/// The maximum number of gateways.
const MAX_GATEWAYS: usize = 1_000;
/// The maximum number of requests per second.
const MAX_RATE: f64 = 1e6;
/// The maximum number of retries of a client.
const MAX_RETRIES: u32 = 10;
/// The maximum number of request classes; a class number has eight bits.
const MAX_CLASSES: usize = 255;
/// The maximum sigma of the distribution of the origin's service times.
const MAX_SIGMA: f64 = 3.0;

/// An invalid value.
#[derive(Debug)]
pub(super) struct InvalidValue {
    /// The path of the field.
    pub(super) field: String,
    /// The invalid value.
    pub(super) value: String,
    /// The allowed values.
    pub(super) allowed: &'static str,
}

/// Validates a scenario. Returns the first invalid value.
pub(super) fn validate_scenario(scenario: &Scenario) -> Result<(), InvalidValue> {
    let duration = scenario.duration;
    require(!duration.is_zero() && duration <= MAX_DURATION, "lasts", duration, "from 1us to 1h")?;
    validate_fleet(&scenario.fleet)?;
    let origin = &scenario.origin;
    require(origin.workers > 0, "archive.workers", origin.workers, "at least 1")?;
    let sigma = origin.service_time_sigma;
    require((0.0..=MAX_SIGMA).contains(&sigma), "archive.spread", sigma, "from 0 to 3")?;
    let error_fraction = origin.error_fraction;
    require(is_fraction(error_fraction), "archive.errors", error_fraction, "from 0 to 1")?;
    let gateways = scenario.gateways.count;
    require((1..=MAX_GATEWAYS).contains(&gateways), "gateways.count", gateways, "from 1 to 1000")?;
    validate_clients(&scenario.clients)?;
    validate_classes(&scenario.classes)?;
    validate_municipios(&scenario.municipios)?;
    for (n, scheduled) in scenario.faults.iter().enumerate() {
        let at = scheduled.at;
        require(at < duration, &format!("trouble[{n}].at"), at, "before the end of the scenario (lasts)")?;
        validate_fault(n, &scheduled.fault)?;
    }
    Ok(())
}

fn validate_fleet(fleet: &Fleet) -> Result<(), InvalidValue> {
    require((1..=MAX_NODES).contains(&fleet.nodes), "fleet.nodes", fleet.nodes, "from 1 to 100000")?;
    let (one_core, two_cores) = (fleet.one_core_speed, fleet.two_core_speed);
    require(is_positive(one_core), "fleet.one_core", one_core, "above 0")?;
    require(is_positive(two_cores), "fleet.two_cores", two_cores, "above 0")?;
    require(fleet.cache_capacity > 0, "fleet.keeps", fleet.cache_capacity, "at least 1")?;
    let fraction = fleet.slow_start_fraction;
    let allowed = "above 0 and at most 1";
    require(is_positive(fraction) && is_fraction(fraction), "fleet.cold_from", fraction, allowed)?;
    let miss_work = fleet.miss_work_fraction;
    require(is_fraction(miss_work), "fleet.miss_work", miss_work, "from 0 to 1")
}

fn validate_clients(clients: &Clients) -> Result<(), InvalidValue> {
    let rate = clients.requests_per_second;
    let allowed = "above 0 and at most 1000000";
    require(is_positive(rate) && rate <= MAX_RATE, "callers.per_second", rate, allowed)?;
    require(clients.keys > 0, "callers.keys", clients.keys, "at least 1")?;
    require(is_positive(clients.zipf_exponent), "callers.zipf", clients.zipf_exponent, "above 0")?;
    let retries = clients.max_retries;
    require(retries <= MAX_RETRIES, "callers.retries", retries, "at most 10")?;
    let timeout = clients.min_timeout_fraction;
    let allowed = "above 0 and at most 1";
    require(is_positive(timeout) && is_fraction(timeout), "callers.patience", timeout, allowed)
}

fn validate_classes(classes: &[Class]) -> Result<(), InvalidValue> {
    let count = classes.len();
    require((1..=MAX_CLASSES).contains(&count), "class", count, "from 1 to 255 classes")?;
    for (n, class) in classes.iter().enumerate() {
        let field = |name: &str| format!("class[{n}].{name}");
        let objective = class.latency_objective;
        require(is_positive(class.share), &field("part"), class.share, "above 0")?;
        require(is_positive(class.priority_weight), &field("worth"), class.priority_weight, "above 0")?;
        require(objective <= class.deadline, &field("wanted"), objective, "at most the deadline")?;
        require(!objective.is_zero(), &field("wanted"), objective, "above 0")?;
    }
    Ok(())
}

fn validate_municipios(municipios: &[Municipio]) -> Result<(), InvalidValue> {
    require(!municipios.is_empty(), "municipio", municipios.len(), "at least 1 municipio")?;
    for (n, municipio) in municipios.iter().enumerate() {
        let (quota, demand) = (municipio.quota_share, municipio.demand_multiple);
        require(is_positive(quota), &format!("municipio[{n}].share"), quota, "above 0")?;
        require(is_positive(demand), &format!("municipio[{n}].asks"), demand, "above 0")?;
    }
    Ok(())
}

/// Validates a fault; `n` is its index in the file.
fn validate_fault(n: usize, fault: &Fault) -> Result<(), InvalidValue> {
    let field = |name: &str| format!("trouble[{n}].{name}");
    match *fault {
        Fault::Crash { fraction, .. }
        | Fault::Vanish { fraction, .. }
        | Fault::Flush { fraction }
        | Fault::CorruptAnswers { fraction, .. } => {
            require(is_fraction(fraction), &field("part"), fraction, "from 0 to 1")
        }
        Fault::HotKeys { fraction, keys, .. } => {
            require(is_fraction(fraction), &field("part"), fraction, "from 0 to 1")?;
            require(keys > 0, &field("keys"), keys, "at least 1")
        }
        Fault::SlowOrigin { factor, .. } | Fault::Surge { factor, .. } => {
            require(is_positive(factor), &field("times"), factor, "above 0")
        }
        Fault::Drain { nodes, .. } | Fault::Grow { nodes } => {
            require(nodes <= MAX_NODES, &field("nodes"), nodes, "at most 100000")
        }
    }
}

/// Returns an error that names the field, its value and the allowed values, unless the value is valid.
fn require(valid: bool, field: &str, value: impl Debug, allowed: &'static str) -> Result<(), InvalidValue> {
    if valid {
        return Ok(());
    }
    Err(InvalidValue { field: field.to_owned(), value: format!("{value:?}"), allowed })
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn is_fraction(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}
