//! The configuration: the platform's JSON, read once, and the settings flattened to the module's paths.

mod check;
mod document;

use anyhow::{Context, Result, anyhow, ensure};
use decide::api::Settings;
use decide::settings::SettingsError;
use front::operator::MOST_CALLERS;
use gateway::setup::{Bounds, Config, Names};
use gossip_transport::GossipAddresses;
use proto::discovery::EndpointList;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Descriptors kept back: for the listeners, the standard streams, the runtime, the datagrams, the files and the one that
/// [`discovery::Dialler`] keeps (15 and one to spare), and for all connections to discovery that may be open at a time.
const RESERVED_SOCKETS: usize = 16 + discovery::pace::MOST_CONNECTIONS;

/// The fewest descriptors that connections are left with.
const FEWEST_SOCKETS: usize = 64;

/// The fields of the file, each read apart: an error names the one at fault.
struct File(Value);

impl File {
    /// What stands at this path, outside the settings; none where nothing or null does.
    fn told<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        let value = path.split('.').fold(&self.0, |value, name| &value[name]);
        Option::<T>::deserialize(value).map_err(|error| anyhow!("{path}: {error}"))
    }
    fn required<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.told(path)?.with_context(|| format!("{path}: missing"))
    }
    fn address(&self, path: &str) -> Result<Option<SocketAddr>> {
        self.told::<String>(path)?.map(|text| address(path, &text)).transpose()
    }
    /// The list known before. One that cannot be read is as good as none: discovery tells all, and the start goes on.
    fn known(&self) -> Option<EndpointList> {
        self.told("known").unwrap_or_else(|error| {
            log::warn!("configuration: {error}; started without the list known before");
            None
        })
    }
}

/// Appends `path=value` lines, as the module's settings parser reads them.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let mut line = |text: &str| {
        out.push_str(path);
        out.push('=');
        out.extend(text.chars().map(|c| if c == ' ' || c == '\n' { '_' } else { c }));
        out.push('\n');
    };
    let at = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {} // nothing is told
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&at(name), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flatten(&at("count"), &items.len().into(), out);
            items.iter().enumerate().for_each(|(i, v)| flatten(&at(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            let plain = |v: &Value| text(v).replace([' ', ','], "_");
            line(&items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        plain => line(&text(plain)),
    }
}

/// A plain value as text. A whole number bears no fraction, so that it reads as either kind of number.
fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(n) if n.is_f64() => n.as_f64().map_or_else(String::new, |x| x.to_string()),
        other => other.to_string(),
    }
}

/// A whole number, also one that is written with a fraction of 0.
fn whole(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| text(value).parse().ok().filter(|_| value.is_f64()))
}

fn strings(list: &Value, field: Option<&str>) -> Vec<String> {
    let items = list.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| text(field.map_or(item, |f| &item[f]))).collect()
}

/// Reads the file of the configuration.
///
/// # Errors
/// When it is missing or cannot be used; the error names it and says why.
pub fn read(file: &Path) -> Result<Config> {
    let named = || format!("configuration {}", file.display());
    let json = std::fs::read(file).with_context(named)?;
    let mut config = parse(&json).with_context(named)?;
    told_by(|name| std::env::var(name).ok(), &mut config)?;
    Ok(config)
}

/// Takes in what the platform tells by the environment: `PROXY_OPERATOR`, which goes before the file, since a second
/// process may be started with the file of the first; and `PROXY_FD`.
///
/// # Errors
/// When one of them cannot be used; the error names it.
pub fn told_by(variable: impl Fn(&str) -> Option<String>, config: &mut Config) -> Result<()> {
    if let Some(text) = variable("PROXY_OPERATOR") {
        config.operator = Some(address("PROXY_OPERATOR", &text)?);
    }
    if let Some(text) = variable("PROXY_FD") {
        let number =
            text.parse().with_context(|| format!("PROXY_FD: {text:?} is no number of a descriptor"))?;
        config.inherited_descriptor = Some(number);
    }
    config.folder = variable("TMPDIR").map(PathBuf::from);
    if config.operator.is_some() {
        let clients = config.bounds.clients.saturating_sub(MOST_CALLERS);
        config.bounds.clients = clients.max(1);
    }
    Ok(())
}

fn address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse().with_context(|| format!("{field}: {text:?} is no address and port"))
}

/// Where the other balancers are; none where this one is not told, or is the only one.
fn siblings(file: &File, me: usize) -> Result<Option<GossipAddresses>> {
    let (listen, all) = (file.address("peer_listen")?, file.address("peers_all")?);
    let peers = file.told::<Vec<String>>("peers")?.unwrap_or_default();
    let numbered = (0..).zip(&peers);
    let each: Vec<_> =
        numbered.map(|(n, text)| address(&format!("peers[{n}]"), text)).collect::<Result<_>>()?;
    check::peers(peers.len(), &file.0["settings"])?;
    let (Some(listen), true) = (listen, each.len() >= gossip::ENOUGH) else { return Ok(None) };
    ensure!(me < each.len(), "settings.me: {me} is none of the {} balancers in peers", each.len());
    Ok(Some(GossipAddresses { listen, each, all, me }))
}

/// The path of a setting as it stands in the file: `profiles.2.name` is `settings.profiles[2].name`.
fn named(error: &SettingsError) -> anyhow::Error {
    let mut path = "settings".to_owned();
    for name in error.path.split('.') {
        let item = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_digit());
        path = if item { format!("{path}[{name}]") } else { format!("{path}.{name}") };
    }
    anyhow!("{path}: {:?} is not {}", error.value, error.wanted)
}

/// Reads the configuration.
///
/// # Errors
/// When it cannot be used; the error says why.
pub fn parse(json: &[u8]) -> Result<Config> {
    let file = File(document::read(json).context("not in the form of a configuration")?);
    ensure!(file.0.is_object(), "not in the form of a configuration: no object");
    let told = &file.0["settings"];
    check::settings(told)?;
    let mut facts = String::new();
    flatten("", told, &mut facts);
    let settings: Settings = facts.parse().map_err(|error| named(&error))?;
    let seed: String = file.required("seed")?;
    let seed = u64::from_str_radix(&seed, 16)
        .ok()
        .with_context(|| format!("seed: {seed:?} is no hexadecimal number of 64 bits"))?;
    let sockets: usize = file.required("limits.sockets")?;
    let usable = sockets.saturating_sub(RESERVED_SOCKETS);
    let fewest = RESERVED_SOCKETS + FEWEST_SOCKETS;
    ensure!(usable >= FEWEST_SOCKETS, "limits.sockets: {sockets} are too few; {fewest} at least");
    let memory_mb: usize = file.required("limits.memory_mb")?;
    ensure!(memory_mb > 0, "limits.memory_mb: 0 is too little");
    let permitted = |name: &str, default: u64| whole(&told["permissions"][name]).unwrap_or(default);
    let micros = |name: &str, default: u64| Duration::from_micros(permitted(name, default));
    let siblings = if settings.peers { siblings(&file, settings.instance as usize)? } else { None };
    let longest = settings.classes.iter().map(|c| c.deadline_us).max().unwrap_or_default();
    let shortest = settings.classes.iter().map(|c| c.deadline_us).min().unwrap_or_default();
    let memory = memory_mb.saturating_mul(1 << 20);
    Ok(Config {
        name: file.required("name")?,
        listen: file.address("listen")?.context("listen: missing")?,
        inherited_descriptor: None,
        folder: None,
        operator: file.address("operator")?,
        discovery: file.address("discovery")?.context("discovery: missing")?,
        seed,
        known: file.known(),
        names: Names {
            classes: strings(&told["profiles"], Some("name")),
            tenants: strings(&told["tenants"], Some("name")),
            zones: strings(&told["dcs"], None),
            kinds: strings(&told["hostTypes"], None),
        },
        bounds: Bounds {
            // Clients come with new connections and leave old ones open; tries use theirs again.
            clients: usable * 5 / 8,
            peers: usable - usable * 5 / 8,
            held_bytes: memory / 6,
            open: usize::try_from(permitted("maxOpen", 20_000)).unwrap_or(usize::MAX),
            answer_bytes: memory / 3,
            dial: micros("dialTimeoutUs", 100_000),
            // A margin below the peers' own limit: a request written after it ends as a reset.
            idle: micros("connIdleUs", 10_000_000).mul_f64(0.85),
            longest: Duration::from_micros(longest),
            shortest: Duration::from_micros(shortest),
        },
        gossip: siblings,
        settings,
    })
}
