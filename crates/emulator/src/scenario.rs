//! A day as a file tells it: the fleet, the archive, the gateways, the callers, and the troubles as they fall.

mod validate;

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use validate::InvalidValue;

/// Why a scenario cannot be played.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Not TOML, an unknown field, or a value of the wrong type; the text names line, column and field.
    #[error("{file}: {text}")]
    Form {
        /// The file.
        file: PathBuf,
        /// The place and what was wrong.
        text: String,
    },
    /// A value that makes no sense.
    #[error("{file}: {field}: {wrong}")]
    Value {
        /// The file.
        file: PathBuf,
        /// The field, by its path.
        field: String,
        /// What was wrong, and what is allowed.
        wrong: String,
    },
}

/// A day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line on what the day is about.
    pub about: String,
    /// How long callers come.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Cache nodes.
    #[serde(default)]
    pub fleet: Fleet,
    /// The origin.
    #[serde(default)]
    pub archive: Archive,
    /// Gateways.
    #[serde(default)]
    pub gateways: Gateways,
    /// Who asks.
    #[serde(default)]
    pub callers: Callers,
    /// What is asked; the classes of the first site if none are given.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    /// For whom; the municipios of the first site if none are given.
    #[serde(default = "municipios", rename = "municipio")]
    pub municipios: Vec<Municipio>,
    /// What goes wrong, in any order.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

/// Cache nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many.
    pub nodes: usize,
    /// Every other node has one core of this speed (the yardstick is 1) ...
    pub one_core: f64,
    /// ... and the rest two of this.
    pub two_cores: f64,
    /// Requests that wait at a node before it turns more away.
    pub room: usize,
    /// Objects that a node keeps; those used longest ago go first.
    pub keeps: usize,
    /// The part of its work that a node which has just started can do.
    #[serde(rename = "cold_from")]
    pub slow_start_fraction: f64,
    /// From then on it warms evenly over this time.
    #[serde(with = "humantime_serde")]
    pub cold_for: Duration,
    /// A cold node falls over when it is sent more than this multiple of its present capacity for a second.
    pub falls_at: f64,
    /// The part of a read's work that a miss costs.
    pub miss_work: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            nodes: 12,
            one_core: 1.5,
            two_cores: 1.0,
            room: 60,
            keeps: 900,
            slow_start_fraction: 0.14,
            cold_for: Duration::from_secs(24),
            falls_at: 3.0,
            miss_work: 0.2,
        }
    }
}

/// The origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Archive {
    /// Fetches and writes that it works on at a time.
    pub workers: usize,
    /// Mean time for one.
    #[serde(with = "humantime_serde")]
    pub service: Duration,
    /// Spread of the times: sigma of a log-normal distribution.
    pub spread: f64,
    /// Requests that wait before it declines more (503: it never ran).
    pub room: usize,
    /// The part of requests that end in 500: they have run.
    pub errors: f64,
}

impl Default for Archive {
    fn default() -> Self {
        Self { workers: 4, service: Duration::from_millis(60), spread: 0.3, room: 200, errors: 0.0 }
    }
}

/// Gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gateways {
    /// How many.
    pub count: usize,
    /// The longest that the inventory's news take to a gateway; each takes a part of it.
    #[serde(with = "humantime_serde")]
    pub told_within: Duration,
    /// One way between any two machines; each message takes from half to one and a half of it.
    #[serde(with = "humantime_serde")]
    pub one_way: Duration,
}

impl Default for Gateways {
    fn default() -> Self {
        Self { count: 4, told_within: Duration::from_secs(3), one_way: Duration::from_micros(400) }
    }
}

/// Who asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// First tries a second, by a Poisson process that waits for no answer.
    pub per_second: f64,
    /// Different keys.
    pub keys: u64,
    /// Exponent of their popularity, by Zipf's law.
    pub zipf: f64,
    /// Retries of a try that was refused or failed, as its class allows.
    pub retries: u32,
    /// After this time; at once if zero.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
    /// The least part of a class's deadline for which a caller waits; each draws its own from there to the whole.
    pub patience: f64,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            per_second: 160.0,
            keys: 20_000,
            zipf: 1.05,
            retries: 2,
            retry_after: Duration::from_millis(100),
            patience: 0.5,
        }
    }
}

/// What a repeat of a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A read.
    SafeToRepeat,
    /// A write that carries a key; repeats are dropped for 4 s.
    Keyed,
    /// A write that must never run twice.
    NeverTwice,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests; the parts are weighed against each other.
    pub part: f64,
    /// Mean work of one on one core of speed 1; each draws from 0.7 to 1.3 of it.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// An answer after this is worth nothing.
    #[serde(with = "humantime_serde")]
    pub wanted: Duration,
    /// The longest that a caller waits.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// What one is worth.
    pub worth: f64,
    /// What a repeat may do.
    pub effect: Effect,
}

/// A municipio.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Municipio {
    /// Its name.
    pub name: String,
    /// Its share of the service; what it asks beyond is worth a fifth.
    pub share: f64,
    /// Its part of the requests, as a multiple of its share.
    #[serde(default = "one")]
    pub asks: f64,
}

/// Something that goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// When.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// A part of the nodes dies at once and comes back cold and empty.
    Crash {
        /// Which part.
        part: f64,
        /// After how long.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// A part of the machines says nothing any more, and comes back cold and empty.
    Vanish {
        /// Which part.
        part: f64,
        /// After how long.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// Nodes drain, go 2 s later, and come back cold and empty.
    Drain {
        /// How many.
        nodes: usize,
        /// After how long.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// A few keys draw a part of all reads.
    HotKeys {
        /// How many keys.
        keys: u64,
        /// Which part.
        part: f64,
        /// For how long.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// The archive takes so many times as long.
    ArchiveSlow {
        /// How many.
        times: f64,
        /// For how long.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// A part of all kept copies goes void.
    Flush {
        /// Which part.
        part: f64,
    },
    /// A part of the nodes' answers is spoilt: the request has run, and nothing can be made of the answer.
    SpoiltAnswers {
        /// Which part.
        part: f64,
        /// For how long.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Callers come at so many times their rate.
    Surge {
        /// How many.
        times: f64,
        /// For how long.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// More nodes are switched on, cold and empty.
    Grow {
        /// How many.
        nodes: usize,
    },
}

fn one() -> f64 {
    1.0
}

fn classes() -> Vec<Class> {
    let ms = Duration::from_millis;
    let class = |name: &str, part, work, wanted, deadline, worth, effect| Class {
        name: name.to_owned(),
        part,
        work: ms(work),
        wanted: ms(wanted),
        deadline: ms(deadline),
        worth,
        effect,
    };
    vec![
        class("ver-expediente", 0.594, 80, 500, 2_000, 1.0, Effect::SafeToRepeat),
        class("consulta-estado", 0.36, 50, 250, 1_000, 2.0, Effect::SafeToRepeat),
        class("alta-solicitud", 0.029, 50, 500, 1_000, 5.0, Effect::Keyed),
        class("asignar-folio", 0.017, 70, 300, 1_000, 2.0, Effect::NeverTwice),
    ]
}

fn municipios() -> Vec<Municipio> {
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
    .map(|(name, share)| Municipio { name: name.to_owned(), share, asks: 1.0 })
    .into()
}

/// A span in microseconds.
#[must_use]
pub fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Scenario {
    /// Reads a day from a file.
    ///
    /// # Errors
    /// When it cannot be read or played; the error names file, place and field.
    pub fn read(file: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ScenarioError::Unreadable { file: file.to_owned(), source })?;
        Self::parse(&text, file)
    }

    /// Reads a day from its text; `file` is for errors.
    ///
    /// # Errors
    /// As [`Scenario::read`].
    pub fn parse(text: &str, file: &Path) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)
            .map_err(|error| ScenarioError::Form { file: file.to_owned(), text: error.to_string() })?;
        match validate::scenario(&scenario) {
            Ok(()) => Ok(scenario),
            Err(InvalidValue { field, wrong }) => {
                Err(ScenarioError::Value { file: file.to_owned(), field, wrong })
            }
        }
    }
}
