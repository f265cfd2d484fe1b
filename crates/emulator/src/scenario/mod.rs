//! Scenario files: the fleet, the origin, the gateways, the clients and the scheduled faults of a simulated day.

mod validate;

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use validate::InvalidValue;

/// An error of reading or validating a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not TOML, or it has an unknown field or a value of the wrong type.
    #[error("{file}: {text}")]
    Parse {
        /// The file.
        file: PathBuf,
        /// The error, with line, column and field.
        text: String,
    },
    /// A value is not allowed.
    #[error("{file}: {field}: {value} is invalid, must be {allowed}")]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The path of the field.
        field: String,
        /// The invalid value.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
}

/// A scenario: the description of a simulated day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A one-line description.
    #[serde(rename = "about")]
    pub description: String,
    /// The time during which clients send new requests.
    #[serde(rename = "lasts", with = "humantime_serde")]
    pub duration: Duration,
    /// The cache nodes.
    #[serde(default)]
    pub fleet: Fleet,
    /// The origin.
    #[serde(default, rename = "archive")]
    pub origin: Origin,
    /// The gateways.
    #[serde(default)]
    pub gateways: Gateways,
    /// The clients.
    #[serde(default, rename = "callers")]
    pub clients: Clients,
    /// The request classes; a default set is used if none are given.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// The municipios (tenants); a default set is used if none are given.
    #[serde(default = "default_municipios", rename = "municipio")]
    pub municipios: Vec<Municipio>,
    /// The scheduled faults, in any order.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<ScheduledFault>,
}

/// The cache nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The number of nodes.
    pub nodes: usize,
    /// The speed of the core of a node with one core, relative to 1. The nodes with an even number have one core.
    #[serde(rename = "one_core")]
    pub one_core_speed: f64,
    /// The speed of each core of a node with two cores, relative to 1. The nodes with an odd number have two cores.
    #[serde(rename = "two_cores")]
    pub two_core_speed: f64,
    /// The queue capacity of a node; a node with a full queue rejects requests.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    /// The maximum number of objects that a node caches; the least recently used objects are evicted.
    #[serde(rename = "keeps")]
    pub cache_capacity: usize,
    /// The fraction of its capacity that a node has right after its start.
    #[serde(rename = "cold_from")]
    pub slow_start_fraction: f64,
    /// The duration of slow start, during which the capacity of a node grows linearly.
    #[serde(rename = "cold_for", with = "humantime_serde")]
    pub slow_start_duration: Duration,
    /// A cold node stops when its load in the last second exceeds this multiple of its current capacity.
    #[serde(rename = "falls_at")]
    pub overload_multiple: f64,
    /// The fraction of a read's work that a miss costs.
    #[serde(rename = "miss_work")]
    pub miss_work_fraction: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            nodes: 12,
            one_core_speed: 1.5,
            two_core_speed: 1.0,
            queue_capacity: 60,
            cache_capacity: 900,
            slow_start_fraction: 0.14,
            slow_start_duration: Duration::from_secs(24),
            overload_multiple: 3.0,
            miss_work_fraction: 0.2,
        }
    }
}

/// The origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// The number of fetches and writes that are executed at the same time.
    pub workers: usize,
    /// The mean service time of a fetch or write.
    #[serde(rename = "service", with = "humantime_serde")]
    pub service_time: Duration,
    /// The sigma of the log-normal distribution of service times.
    #[serde(rename = "spread")]
    pub service_time_sigma: f64,
    /// The queue capacity; when the queue is full, requests are declined with status 503 and not executed.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    /// The fraction of requests that are executed but answered with status 500.
    #[serde(rename = "errors")]
    pub error_fraction: f64,
}

impl Default for Origin {
    fn default() -> Self {
        Self {
            workers: 4,
            service_time: Duration::from_millis(60),
            service_time_sigma: 0.3,
            queue_capacity: 200,
            error_fraction: 0.0,
        }
    }
}

/// The gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gateways {
    /// The number of gateways.
    pub count: usize,
    /// The maximum delay of discovery notifications to a gateway.
    #[serde(rename = "told_within", with = "humantime_serde")]
    pub max_notification_delay: Duration,
    /// The mean one-way network delay; each message takes 0.5 to 1.5 times this.
    #[serde(rename = "one_way", with = "humantime_serde")]
    pub mean_network_delay: Duration,
}

impl Default for Gateways {
    fn default() -> Self {
        Self {
            count: 4,
            max_notification_delay: Duration::from_secs(3),
            mean_network_delay: Duration::from_micros(400),
        }
    }
}

/// The clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The rate of the Poisson arrivals, per second.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
    /// The number of distinct keys.
    pub keys: u64,
    /// The exponent of the Zipf distribution of the keys' popularity.
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
    /// The maximum number of retries of a rejected or failed request, if its class allows them.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The delay before a retry.
    #[serde(rename = "retry_after", with = "humantime_serde")]
    pub retry_delay: Duration,
    /// The minimum timeout of a client, as a fraction of the class's deadline. The fraction of each request is drawn
    /// uniformly from this value to 1.
    #[serde(rename = "patience")]
    pub min_timeout_fraction: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            requests_per_second: 160.0,
            keys: 20_000,
            zipf_exponent: 1.05,
            max_retries: 2,
            retry_delay: Duration::from_millis(100),
            min_timeout_fraction: 0.5,
        }
    }
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A read, which is idempotent.
    #[serde(rename = "safe-to-repeat")]
    Idempotent,
    /// A write with an idempotency key; duplicates are dropped for 4 s.
    #[serde(rename = "keyed")]
    IdempotentWithKey,
    /// A write that is not idempotent.
    #[serde(rename = "never-twice")]
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name in reports.
    pub name: String,
    /// The share of this class in all requests, relative to the other classes.
    #[serde(rename = "part")]
    pub share: f64,
    /// The mean work on one core of speed 1; each request takes 0.7 to 1.3 times this.
    #[serde(rename = "work", with = "humantime_serde")]
    pub mean_work: Duration,
    /// The latency objective; a later answer adds nothing to the score.
    #[serde(rename = "wanted", with = "humantime_serde")]
    pub latency_objective: Duration,
    /// The maximum timeout of a client for one attempt.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The priority weight of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
}

/// A municipio, the tenant of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Municipio {
    /// The name in reports.
    pub name: String,
    /// The quota, as a share relative to the other municipios. Requests that exceed it have a fifth of the weight.
    #[serde(rename = "share")]
    pub quota_share: f64,
    /// The rate of the municipio's requests, as a multiple of its share.
    #[serde(default = "default_demand", rename = "asks")]
    pub demand_multiple: f64,
}

/// A fault with the time at which it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// The time at which the fault starts.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A fault that is injected into the simulation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A fraction of the nodes crashes at once and restarts with empty caches, at the beginning of slow start.
    Crash {
        /// The fraction of the nodes.
        #[serde(rename = "part")]
        fraction: f64,
        /// The time from the crash to the restart.
        #[serde(rename = "back_after", with = "humantime_serde")]
        restart_after: Duration,
    },
    /// A fraction of the machines stops responding, and restarts with empty caches, at the beginning of slow start.
    Vanish {
        /// The fraction of the nodes.
        #[serde(rename = "part")]
        fraction: f64,
        /// The time until the machines respond again and their nodes restart.
        #[serde(rename = "back_after", with = "humantime_serde")]
        restart_after: Duration,
    },
    /// Nodes drain, stop 2 s later, and restart with empty caches, at the beginning of slow start.
    Drain {
        /// The number of nodes.
        nodes: usize,
        /// The time from the stop to the restart.
        #[serde(rename = "back_after", with = "humantime_serde")]
        restart_after: Duration,
    },
    /// A fraction of all reads requests a few keys.
    HotKeys {
        /// The number of keys.
        keys: u64,
        /// The fraction of the reads.
        #[serde(rename = "part")]
        fraction: f64,
        /// The duration of the fault.
        #[serde(rename = "lasts", with = "humantime_serde")]
        duration: Duration,
    },
    /// The origin's service times are multiplied by a factor.
    #[serde(rename = "archive-slow")]
    SlowOrigin {
        /// The factor of the service times.
        #[serde(rename = "times")]
        factor: f64,
        /// The duration of the fault.
        #[serde(rename = "lasts", with = "humantime_serde")]
        duration: Duration,
    },
    /// A fraction of all cached objects is invalidated.
    Flush {
        /// The fraction of the cached objects.
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// A fraction of the nodes' answers is corrupt: the request was executed, but the answer is not usable.
    #[serde(rename = "spoilt-answers")]
    CorruptAnswers {
        /// The fraction of the answers.
        #[serde(rename = "part")]
        fraction: f64,
        /// The duration of the fault.
        #[serde(rename = "lasts", with = "humantime_serde")]
        duration: Duration,
    },
    /// The arrival rate of the clients is multiplied by a factor.
    Surge {
        /// The factor of the arrival rate.
        #[serde(rename = "times")]
        factor: f64,
        /// The duration of the fault.
        #[serde(rename = "lasts", with = "humantime_serde")]
        duration: Duration,
    },
    /// Nodes are added, with empty caches and at the beginning of slow start.
    Grow {
        /// The number of nodes.
        nodes: usize,
    },
}

fn default_demand() -> f64 {
    1.0
}

fn default_classes() -> Vec<Class> {
    let ms = Duration::from_millis;
    let class = |name: &str, share, mean_work, latency_objective, deadline, priority_weight, effect| Class {
        name: name.to_owned(),
        share,
        mean_work: ms(mean_work),
        latency_objective: ms(latency_objective),
        deadline: ms(deadline),
        priority_weight,
        effect,
    };
    vec![
        class("ver-expediente", 0.594, 80, 500, 2_000, 1.0, Effect::Idempotent),
        class("consulta-estado", 0.36, 50, 250, 1_000, 2.0, Effect::Idempotent),
        class("alta-solicitud", 0.029, 50, 500, 1_000, 5.0, Effect::IdempotentWithKey),
        class("asignar-folio", 0.017, 70, 300, 1_000, 2.0, Effect::NonIdempotent),
    ]
}

fn default_municipios() -> Vec<Municipio> {
    [
        ("valle-alto", 0.18),
        ("san-mateo-rio", 0.16),
        ("lomas-verdes", 0.16),
        ("santa-ines", 0.12),
        ("el-mirador", 0.12),
        ("tres-cruces", 0.07),
        ("puerto-llano", 0.07),
        ("villa-encino", 0.06),
        ("la-cantera", 0.06),
    ]
    .map(|(name, quota_share)| Municipio { name: name.to_owned(), quota_share, demand_multiple: 1.0 })
    .into()
}

/// Returns a duration in microseconds.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    /// Returns an error that names the file, and the position or the field, if the scenario cannot be read or is not
    /// valid.
    pub fn read(file: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ScenarioError::Read { file: file.to_owned(), source })?;
        Self::parse(&text, file)
    }

    /// Parses a scenario. Errors name `file`.
    ///
    /// # Errors
    /// Returns an error that names `file`, and the position or the field, if the scenario is not valid.
    pub fn parse(text: &str, file: &Path) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)
            .map_err(|error| ScenarioError::Parse { file: file.to_owned(), text: error.to_string() })?;
        match validate::validate_scenario(&scenario) {
            Ok(()) => Ok(scenario),
            Err(InvalidValue { field, value, allowed }) => {
                Err(ScenarioError::InvalidValue { file: file.to_owned(), field, value, allowed })
            }
        }
    }
}
