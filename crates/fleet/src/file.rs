//! The file that lists the balancers of a fleet. All balancers of the fleet use the same file.

use agreement::NodeId;
use audit::lease::LeaseSettings;
use jiff::SignedDuration;
use membership::{MemberSlot, Roster};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// The largest number of balancers in a fleet. It bounds every map that is keyed by balancer.
const MAX_BALANCERS: usize = 1_024;
/// The shortest lease. Several requests must fit into it, each with a commit and a grant that is delayed by up to
/// half a second.
const MIN_LEASE: SignedDuration = SignedDuration::from_secs(2);
/// The longest lease. It bounds the delay of a freeze, which takes effect only after a lease.
const MAX_LEASE: SignedDuration = SignedDuration::from_mins(10);
/// Number of lease requests in the time of one lease, so that one message in five may be lost.
const REQUESTS_PER_LEASE: u64 = 8;

/// The reason why a fleet file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The file does not have the format of a fleet file. The error names line, column and field.
    #[error("{file}: {error}")]
    Malformed {
        /// The path of the file.
        file: String,
        /// The position and the cause.
        error: toml::de::Error,
    },
    /// A field has an invalid value.
    #[error("{file}: {field}: {problem}")]
    InvalidValue {
        /// The path of the file.
        file: String,
        /// The path of the field.
        field: String,
        /// The invalid value, and the allowed ones.
        problem: String,
    },
}

/// A balancer in the fleet file.
// The `expecting` texts in this file are part of error messages that operators match, and must not change.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Listed")]
pub struct BalancerEntry {
    /// The balancer's index in the file, from 0.
    #[serde(rename = "number")]
    pub node_id: NodeId,
    /// The balancer's name, as in its own configuration.
    #[serde(rename = "name")]
    pub name: String,
    /// The address at which the other balancers reach this one.
    #[serde(rename = "address")]
    pub address: SocketAddr,
    /// The balancer's zone.
    #[serde(rename = "zone", default)]
    pub zone: String,
    /// Whether the balancer is a founding voter.
    #[serde(rename = "council", default)]
    pub is_founding_voter: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Head")]
struct FleetSection {
    name: String,
    lease: SignedDuration,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Form")]
struct Document {
    #[serde(rename = "fleet")]
    fleet: FleetSection,
    #[serde(rename = "balancer")]
    balancers: Vec<BalancerEntry>,
}

/// A valid fleet file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetFile {
    /// The fleet's name. Datagrams of another fleet are dropped.
    pub name: String,
    /// The duration of a lease.
    pub lease: SignedDuration,
    /// The balancers. The index of each is its node id.
    pub balancers: Vec<BalancerEntry>,
    /// The hash of the file's text. It is part of each balancer's version.
    pub hash: u64,
}

/// An invalid value, before the file's name is added.
struct InvalidValue {
    field: String,
    problem: String,
}

impl FleetFile {
    /// Reads and validates a fleet file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be used. The error names the file, and the line or field.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(FileError::Unreadable { file, error }),
        }
    }

    /// Parses and validates the text of a fleet file. `file` is its name in errors.
    ///
    /// # Errors
    /// Returns an error that names the file, and the line or field, if the text is malformed or a value is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, FileError> {
        let document: Document =
            toml::from_str(text).map_err(|error| FileError::Malformed { file: file.to_owned(), error })?;
        validate(&document).map_err(|InvalidValue { field, problem }| FileError::InvalidValue {
            file: file.to_owned(),
            field,
            problem,
        })?;
        let Document { fleet: FleetSection { name, lease }, balancers } = document;
        Ok(Self { name, lease, balancers, hash: xxhash_rust::xxh3::xxh3_64(text.as_bytes()) })
    }

    /// Returns the balancer with this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&BalancerEntry> {
        self.balancers.iter().find(|balancer| balancer.name == name)
    }

    /// Returns the node ids of the founding voters.
    pub(crate) fn founding_voters(&self) -> Vec<NodeId> {
        let voters = self.balancers.iter().filter(|balancer| balancer.is_founding_voter);
        voters.map(|balancer| balancer.node_id).collect()
    }

    /// Returns the number of balancers.
    pub(crate) fn balancer_count(&self) -> u16 {
        u16::try_from(self.balancers.len()).unwrap_or(u16::MAX)
    }

    /// Returns the zone of each balancer as a number. Zones are numbered in the order in which the file first
    /// names them.
    pub(crate) fn zones(&self) -> Vec<u16> {
        let mut known: Vec<&str> = Vec::new();
        let mut zones = Vec::with_capacity(self.balancers.len());
        for balancer in &self.balancers {
            let position = known.iter().position(|zone| *zone == balancer.zone).unwrap_or_else(|| {
                known.push(&balancer.zone);
                known.len() - 1
            });
            zones.push(u16::try_from(position).unwrap_or(u16::MAX));
        }
        zones
    }

    /// Returns the roster of possible members, which contains all balancers.
    pub(crate) fn roster(&self) -> Roster {
        let slots = self.balancers.iter().zip(self.zones());
        let slots =
            slots.map(|(balancer, zone)| (balancer.node_id, MemberSlot { address: balancer.address, zone }));
        slots.collect()
    }

    /// Returns the settings of leases. A heartbeat of another balancer is valid for two fifths of a lease. Each
    /// balancer receives about thirty in that time.
    pub(crate) fn lease_settings(&self) -> LeaseSettings {
        let lease = u64::try_from(self.lease.as_micros()).unwrap_or(u64::MAX);
        let settings = LeaseSettings::new(lease, lease * 2 / 5, self.balancer_count());
        LeaseSettings { request_interval: lease / REQUESTS_PER_LEASE, ..settings }
    }

    /// Returns a stable hash of the fleet's name. Each datagram carries it.
    pub(crate) fn fleet_id(&self) -> u32 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes()) as u32
    }
}

fn validate(document: &Document) -> Result<(), InvalidValue> {
    let lease = document.fleet.lease;
    if !(MIN_LEASE..=MAX_LEASE).contains(&lease) {
        let problem = format!("{lease:#} is not from {MIN_LEASE:#} to {MAX_LEASE:#}");
        return Err(InvalidValue { field: "fleet.lease".into(), problem });
    }
    let count = document.balancers.len();
    if count > MAX_BALANCERS {
        let problem = format!("{count} balancers are listed; at most {MAX_BALANCERS} are allowed");
        return Err(InvalidValue { field: "balancer".into(), problem });
    }
    validate_balancers(&document.balancers)?;
    let voters = document.balancers.iter().filter(|balancer| balancer.is_founding_voter).count();
    if !matches!(voters, 3 | 5 | 7) {
        let problem = format!("a council of {voters} balancers; it must have 3, 5 or 7");
        return Err(InvalidValue { field: "balancer.council".into(), problem });
    }
    Ok(())
}

/// Checks that each node id is the balancer's index, and that names and addresses are unique.
fn validate_balancers(balancers: &[BalancerEntry]) -> Result<(), InvalidValue> {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (index, balancer) in balancers.iter().enumerate() {
        let invalid = |key: &str, problem: String| {
            Err(InvalidValue { field: format!("balancer[{index}].{key}"), problem })
        };
        let BalancerEntry { node_id, name, address, .. } = balancer;
        if usize::from(*node_id) != index {
            return invalid("number", format!("{node_id} is not the balancer's index in the file, {index}"));
        }
        if name.is_empty() || !names.insert(name) {
            return invalid("name", format!("{name:?} is empty or the name of another balancer"));
        }
        if !addresses.insert(address) {
            return invalid("address", format!("{address} is the address of another balancer"));
        }
    }
    Ok(())
}
