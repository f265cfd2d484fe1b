//! The configuration file and the fleet file with which balancers are started.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;

/// The request classes of the settings with their effects: `read` is idempotent, `keyed` has an idempotency key, `once`
/// is not idempotent.
pub const CLASSES: [(&str, &str); 3] = [("read", "retryable"), ("keyed", "dedup"), ("once", "fragile")];
/// The tenants of the settings.
pub const TENANTS: [&str; 2] = ["acme", "zeta"];
/// The default deadline of requests, in milliseconds.
pub const DEADLINE_MS: u64 = 4_000;

/// The values that differ between the configurations of balancers.
#[derive(Debug, Clone)]
pub struct BalancerParameters {
    /// The number of the balancer, from 0.
    pub number: usize,
    /// The number of balancers.
    pub balancers: usize,
    /// The address of the balancer's discovery agent.
    pub discovery: SocketAddr,
    /// The names of all zones.
    pub zones: Vec<String>,
    /// The index of the balancer's zone in `zones`.
    pub zone: usize,
    /// The seed of the balancer's random draws.
    pub seed: u64,
    /// The relay addresses of all balancers; `None` if they do not gossip about endpoints.
    pub peers: Option<Vec<SocketAddr>>,
}

/// Returns the configuration file of a balancer.
#[must_use]
pub fn balancer_config(balancer: &BalancerParameters) -> Value {
    let class = |(name, effect): (&str, &str)| {
        json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanUs": 4_000_000, "worth": 1.0,
               "lateWorth": 0.0, "onTimeUs": 1_000_000, "deadlineUs": DEADLINE_MS * 1_000})
    };
    let tenants: Vec<_> =
        TENANTS.iter().map(|name| json!({"name": name, "quotaPerS": 10_000.0, "share": 1.0})).collect();
    let mut config = json!({
        "name": format!("n{}", balancer.number), "listen": "127.0.0.1:0", "operator": "127.0.0.1:0",
        "discovery": balancer.discovery.to_string(), "seed": format!("{:016x}", balancer.seed),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "me": balancer.number, "siblings": balancer.balancers, "dcs": balancer.zones, "locality": balancer.zone,
            "hostTypes": ["m", "origin"], "specifics": {"mode": "aside", "originKind": 1},
            "permissions": {"maxAttempts": 5, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                            "secondCopies": false, "dialTimeoutUs": 500_000, "connIdleUs": 60_000_000,
                            "peers": balancer.peers.is_some()},
            "profiles": CLASSES.map(class), "tenants": tenants, "discovery": "push", "weights": "nominal"
        }
    });
    if let Some(peers) = &balancer.peers {
        config["peer_listen"] = "127.0.0.1:0".into();
        config["peers"] = peers.iter().map(ToString::to_string).collect();
    }
    config
}

/// Merges overrides into a configuration. Objects are merged recursively, other values are replaced, and a null
/// override changes nothing.
pub fn merge_values(config: &mut Value, overrides: &Value) {
    match (config, overrides) {
        (_, Value::Null) => {}
        (Value::Object(fields), Value::Object(overrides)) => {
            for (name, value) in overrides {
                merge_values(fields.entry(name).or_insert(Value::Null), value);
            }
        }
        (field, value) => *field = value.clone(),
    }
}

/// A balancer in the fleet file.
#[derive(Debug, Clone)]
pub struct FleetMember {
    /// The address at which the other balancers reach the balancer.
    pub address: SocketAddr,
    /// The name of the balancer's zone.
    pub zone: String,
    /// Whether the balancer is a voter of the quorum group.
    pub voter: bool,
}

/// Returns the text of the fleet file. Balancers are numbered by their position.
#[must_use]
pub fn fleet_file(name: &str, lease: &str, balancers: &[FleetMember]) -> String {
    let mut text = format!("[fleet]\nname = \"{name}\"\nlease = \"{lease}\"\n");
    for (number, member) in balancers.iter().enumerate() {
        let FleetMember { address, zone, voter } = member;
        text.push_str(&format!(
            "\n[[balancer]]\nnumber = {number}\nname = \"n{number}\"\naddress = \"{address}\"\nzone = \"{zone}\"\n\
             council = {voter}\n"
        ));
    }
    text
}

/// Returns the command line arguments that make a balancer join a fleet.
#[must_use]
pub fn fleet_arguments(file: &Path, disk: &Path) -> Vec<String> {
    let path = |path: &Path| path.to_string_lossy().into_owned();
    ["--fleet".into(), path(file), "--fleet-listen".into(), "127.0.0.1:0".into(), "--keep".into(), path(disk)]
        .into()
}
