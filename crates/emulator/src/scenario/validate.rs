//! Validates the values of a scenario in the order of the fields.

use super::{Class, Clients, Fault, Fleet, Municipio, Scenario};
use std::time::Duration;

/// The maximum duration of a scenario.
const MAX_DAY: Duration = Duration::from_secs(3_600);
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
const MAX_SPREAD: f64 = 3.0;

/// An invalid value.
#[derive(Debug)]
pub(super) struct InvalidValue {
    /// The path of the field.
    pub(super) field: String,
    /// The allowed values.
    pub(super) wrong: String,
}

/// Validates a scenario.
pub(super) fn scenario(scenario: &Scenario) -> Result<(), InvalidValue> {
    let lasts = scenario.lasts;
    require(!lasts.is_zero() && lasts <= MAX_DAY, "lasts", "from 1us to 1h")?;
    fleet(&scenario.fleet)?;
    let archive = &scenario.archive;
    require(archive.workers > 0, "archive.workers", "at least 1")?;
    require((0.0..=MAX_SPREAD).contains(&archive.spread), "archive.spread", "from 0 to 3")?;
    require(is_part(archive.errors), "archive.errors", "from 0 to 1")?;
    let gateways = scenario.gateways.count;
    require((1..=MAX_GATEWAYS).contains(&gateways), "gateways.count", "from 1 to 1000")?;
    callers(&scenario.callers)?;
    classes(&scenario.classes)?;
    municipios(&scenario.municipios)?;
    for (n, trouble) in scenario.troubles.iter().enumerate() {
        require(trouble.at < lasts, &format!("trouble[{n}].at"), "before the day ends")?;
        fault(n, &trouble.what)?;
    }
    Ok(())
}

fn fleet(fleet: &Fleet) -> Result<(), InvalidValue> {
    require((1..=MAX_NODES).contains(&fleet.nodes), "fleet.nodes", "from 1 to 100000")?;
    require(is_positive(fleet.one_core), "fleet.one_core", "above 0")?;
    require(is_positive(fleet.two_cores), "fleet.two_cores", "above 0")?;
    require(fleet.keeps > 0, "fleet.keeps", "at least 1")?;
    let fraction = fleet.slow_start_fraction;
    require(is_positive(fraction) && is_part(fraction), "fleet.cold_from", "above 0, to 1")?;
    require(is_part(fleet.miss_work), "fleet.miss_work", "from 0 to 1")
}

fn callers(callers: &Clients) -> Result<(), InvalidValue> {
    let rate = callers.per_second;
    require(is_positive(rate) && rate <= MAX_RATE, "callers.per_second", "above 0, to 1000000")?;
    require(callers.keys > 0, "callers.keys", "at least 1")?;
    require(is_positive(callers.zipf), "callers.zipf", "above 0")?;
    require(callers.retries <= MAX_RETRIES, "callers.retries", "10 at most")?;
    let patience = callers.patience;
    require(is_positive(patience) && is_part(patience), "callers.patience", "above 0, to 1")
}

fn classes(classes: &[Class]) -> Result<(), InvalidValue> {
    require((1..=MAX_CLASSES).contains(&classes.len()), "class", "from 1 to 255 of them")?;
    for (n, class) in classes.iter().enumerate() {
        let field = |name: &str| format!("class[{n}].{name}");
        require(is_positive(class.part), &field("part"), "above 0")?;
        require(is_positive(class.worth), &field("worth"), "above 0")?;
        require(class.wanted <= class.deadline, &field("wanted"), "no longer than its deadline")?;
        require(!class.wanted.is_zero(), &field("wanted"), "above 0")?;
    }
    Ok(())
}

fn municipios(municipios: &[Municipio]) -> Result<(), InvalidValue> {
    require(!municipios.is_empty(), "municipio", "at least one")?;
    for (n, municipio) in municipios.iter().enumerate() {
        require(is_positive(municipio.share), &format!("municipio[{n}].share"), "above 0")?;
        require(is_positive(municipio.asks), &format!("municipio[{n}].asks"), "above 0")?;
    }
    Ok(())
}

/// Validates a fault; `n` is its index in the file.
fn fault(n: usize, what: &Fault) -> Result<(), InvalidValue> {
    let field = |name: &str| format!("trouble[{n}].{name}");
    match *what {
        Fault::Crash { part, .. }
        | Fault::Vanish { part, .. }
        | Fault::Flush { part }
        | Fault::SpoiltAnswers { part, .. } => require(is_part(part), &field("part"), "from 0 to 1"),
        Fault::HotKeys { part, keys, .. } => {
            require(is_part(part) && keys > 0, &field("part or keys"), "from 0 to 1; 1 at least")
        }
        Fault::ArchiveSlow { times, .. } | Fault::Surge { times, .. } => {
            require(is_positive(times), &field("times"), "above 0")
        }
        Fault::Drain { nodes, .. } | Fault::Grow { nodes } => {
            require(nodes <= MAX_NODES, &field("nodes"), "100000 at most")
        }
    }
}

fn require(valid: bool, field: &str, allowed: &str) -> Result<(), InvalidValue> {
    if valid {
        return Ok(());
    }
    Err(InvalidValue { field: field.to_owned(), wrong: allowed.to_owned() })
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn is_part(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}
