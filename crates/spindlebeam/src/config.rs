//! Loads the configuration from the platform's JSON file and the environment.
//!
//! The file is read once. Its `settings` are checked (`validate`), then flattened to the text that the decision module
//! parses (`settings_text`); the other fields are read one by one (`fields`), so that an error names the invalid field.

mod fields;
mod json;
mod settings_text;
mod validate;

use anyhow::{Context, Result, ensure};
use decide::api::Settings;
use fields::{ConfigFile, parse_address, plain_text, whole_number};
use front::operator::MAX_ADMIN_CONNECTIONS;
use gateway::setup::{Bounds, Config, Names};
use gossip_transport::GossipAddresses;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Descriptors that are not available to connections: 15 and a spare one for the listeners, the standard streams, the
/// runtime, the datagrams, the files and the one that [`discovery::Dialer`] keeps, and one for each connection to
/// discovery that may be open at a time.
const RESERVED_SOCKETS: usize = 16 + discovery::pace::MAX_CONNECTIONS;
/// Minimum number of descriptors that remain for connections.
const MIN_USABLE_SOCKETS: usize = 64;
/// Bytes in a megabyte of `limits.memory_mb`.
const MEGABYTE: usize = 1 << 20;
/// The part of the memory for commands that are read and forwarded is 1 / this.
const COMMAND_MEMORY_DIVISOR: usize = 6;
/// The part of the memory for open requests and their answers is 1 / this.
const ANSWER_MEMORY_DIVISOR: usize = 3;
/// The part of the memory for client connections themselves is 1 / this. With the parts above, 5/8 of the memory is for
/// clients; the rest is for endpoint connections, lists, the program and what the allocator cannot use.
const CLIENT_MEMORY_DIVISOR: usize = 8;
/// The memory that a client connection needs beside its commands and answers, in bytes.
const CLIENT_BYTES: usize = 4 * 1024;
/// Connections to endpoints are retired at this fraction of their idle time: a request written after it ends in a
/// reset.
const IDLE_MARGIN: f64 = 0.85;
/// Default of `permissions.maxOpen`.
const DEFAULT_MAX_OPEN: u64 = 20_000;
/// Default of `permissions.dialTimeoutUs`, in microseconds.
const DEFAULT_DIAL_TIMEOUT_US: u64 = 100_000;
/// Default of `permissions.connIdleUs`, in microseconds.
const DEFAULT_IDLE_US: u64 = 10_000_000;

/// Reads the configuration file, then applies the environment.
///
/// # Errors
/// If the file is missing or invalid, or a variable is invalid; the error names the file and the field, or the
/// variable.
pub fn read(file: &Path) -> Result<Config> {
    let file_name = || format!("configuration {}", file.display());
    let json = std::fs::read(file).with_context(file_name)?;
    let mut config = parse(&json).with_context(file_name)?;
    apply_environment(|name| std::env::var(name).ok(), &mut config)?;
    Ok(config)
}

/// Applies the environment variables `PROXY_OPERATOR`, `PROXY_FD` and `TMPDIR`.
///
/// `PROXY_OPERATOR` overrides the file, since a second process may be started with the file of the first.
///
/// # Errors
/// If a variable is invalid; the error names it.
pub fn apply_environment(variable: impl Fn(&str) -> Option<String>, config: &mut Config) -> Result<()> {
    if let Some(text) = variable("PROXY_OPERATOR") {
        config.admin_address = Some(parse_address("PROXY_OPERATOR", &text)?);
    }
    if let Some(text) = variable("PROXY_FD") {
        let number =
            text.parse().with_context(|| format!("PROXY_FD: {text:?} is not a descriptor number"))?;
        config.inherited_descriptor = Some(number);
    }
    config.state_folder = variable("TMPDIR").map(PathBuf::from);
    if config.admin_address.is_some() {
        // Connections to the admin endpoint take descriptors from those of the clients.
        let clients = config.bounds.clients.saturating_sub(MAX_ADMIN_CONNECTIONS);
        config.bounds.clients = clients.max(1);
    }
    Ok(())
}

/// Parses the text of a configuration file.
///
/// # Errors
/// If it is invalid; the error names the field and the reason.
pub fn parse(json: &[u8]) -> Result<Config> {
    let file = ConfigFile(json::read(json).context("not in the form of a configuration")?);
    ensure!(file.0.is_object(), "not in the form of a configuration: no object");
    validate::settings(file.settings())?;
    let settings: Settings = settings_text::flatten(file.settings())
        .parse()
        .map_err(|error| settings_text::describe_error(&error))?;
    let seed = parse_seed(&file)?;
    let bounds = parse_bounds(&file, &settings)?;
    let gossip =
        if settings.may_message_peers { parse_gossip(&file, settings.instance as usize)? } else { None };
    Ok(Config {
        name: file.required("name")?,
        listen_address: file.address("listen")?.context("listen: missing")?,
        inherited_descriptor: None,
        state_folder: None,
        admin_address: file.address("operator")?,
        discovery: file.address("discovery")?.context("discovery: missing")?,
        seed,
        known_endpoints: file.known_endpoints(),
        names: parse_names(file.settings()),
        bounds,
        gossip,
        settings,
    })
}

fn parse_seed(file: &ConfigFile) -> Result<u64> {
    let text: String = file.required("seed")?;
    u64::from_str_radix(&text, 16)
        .ok()
        .with_context(|| format!("seed: {text:?} is no hexadecimal number of 64 bits"))
}

/// Divides descriptors and memory between clients, endpoints and values.
fn parse_bounds(file: &ConfigFile, settings: &Settings) -> Result<Bounds> {
    let sockets: usize = file.required("limits.sockets")?;
    let usable = sockets.saturating_sub(RESERVED_SOCKETS);
    let fewest = RESERVED_SOCKETS + MIN_USABLE_SOCKETS;
    ensure!(usable >= MIN_USABLE_SOCKETS, "limits.sockets: {sockets} are too few; {fewest} at least");
    let memory_mb: usize = file.required("limits.memory_mb")?;
    ensure!(memory_mb > 0, "limits.memory_mb: 0 is too little");
    let memory = memory_mb.saturating_mul(MEGABYTE);
    // Clients get the larger part: they open new connections and leave old ones open, while attempts reuse theirs.
    let clients = (usable * 5 / 8).min(memory / CLIENT_MEMORY_DIVISOR / CLIENT_BYTES).max(1);
    let permission =
        |name: &str, default: u64| whole_number(&file.settings()["permissions"][name]).unwrap_or(default);
    let deadlines = || settings.classes.iter().map(|class| class.deadline_us);
    Ok(Bounds {
        clients,
        peers: usable - clients,
        held_bytes: memory / COMMAND_MEMORY_DIVISOR,
        open: usize::try_from(permission("maxOpen", DEFAULT_MAX_OPEN)).unwrap_or(usize::MAX),
        answer_bytes: memory / ANSWER_MEMORY_DIVISOR,
        dial: Duration::from_micros(permission("dialTimeoutUs", DEFAULT_DIAL_TIMEOUT_US)),
        idle: Duration::from_micros(permission("connIdleUs", DEFAULT_IDLE_US)).mul_f64(IDLE_MARGIN),
        longest: Duration::from_micros(deadlines().max().unwrap_or_default()),
        shortest: Duration::from_micros(deadlines().min().unwrap_or_default()),
    })
}

/// Collects the names of the classes, tenants, zones and kinds, which the decision module knows by their numbers.
fn parse_names(settings: &Value) -> Names {
    Names {
        classes: strings(&settings["profiles"], Some("name")),
        tenants: strings(&settings["tenants"], Some("name")),
        zones: strings(&settings["dcs"], None),
        kinds: strings(&settings["hostTypes"], None),
    }
}

/// Returns the items of a list as text, or the given field of each item.
fn strings(list: &Value, field: Option<&str>) -> Vec<String> {
    let items = list.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| plain_text(field.map_or(item, |name| &item[name]))).collect()
}

/// Returns the addresses of the other balancers, or `None` without an address to listen on or with too few balancers.
fn parse_gossip(file: &ConfigFile, me: usize) -> Result<Option<GossipAddresses>> {
    let (listen, broadcast) = (file.address("peer_listen")?, file.address("peers_all")?);
    let peers = file.optional::<Vec<String>>("peers")?.unwrap_or_default();
    let parse_peer = |(n, text): (usize, &String)| parse_address(&format!("peers[{n}]"), text);
    let balancers: Vec<_> = peers.iter().enumerate().map(parse_peer).collect::<Result<_>>()?;
    validate::peers(peers.len(), file.settings())?;
    let (Some(listen), true) = (listen, balancers.len() >= gossip::MIN_BALANCERS) else { return Ok(None) };
    ensure!(me < balancers.len(), "settings.me: {me} is none of the {} balancers in peers", balancers.len());
    Ok(Some(GossipAddresses { listen, balancers, broadcast, own_number: me }))
}
