//! The file that names the balancers of a fleet; the same for all of them.

use agreement::NodeId;
use audit::lease::Settings;
use jiff::SignedDuration;
use membership::{MemberSlot, Roster};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// Most balancers of a fleet; bounds every map that is keyed by them.
const MAX_BALANCERS: usize = 1_024;
/// Shortest lease: several requests must fit, each with a commit and a grant that is delayed by up to half a
/// second.
const MIN_LEASE: SignedDuration = SignedDuration::from_secs(2);
/// Longest lease: a freeze takes effect no sooner.
const MAX_LEASE: SignedDuration = SignedDuration::from_mins(10);
/// Requests for a lease during one, so that one message in five may be lost.
const REQUESTS_PER_LEASE: u64 = 8;

/// Why a fleet file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not in the format; the text names line, column and field.
    #[error("{file}: {error}")]
    Malformed {
        /// The file.
        file: String,
        /// Place and cause.
        error: toml::de::Error,
    },
    /// A field has an invalid value.
    #[error("{file}: {field}: {why}")]
    InvalidValue {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// What is wrong, and what is allowed.
        why: String,
    },
}

/// A balancer in the fleet file.
// The `expecting` texts here and below are part of the errors that operators read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Listed")]
pub struct BalancerEntry {
    /// Its index in the file, from 0.
    #[serde(rename = "number")]
    pub node_id: NodeId,
    /// Its name, as in its own configuration.
    #[serde(rename = "name")]
    pub name: String,
    /// The address at which the others reach it.
    #[serde(rename = "address")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "zone", default)]
    pub zone: String,
    /// Whether it is a founding voter.
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
    /// The fleet's name; datagrams of another fleet are dropped.
    pub name: String,
    /// How long a lease lasts.
    pub lease: SignedDuration,
    /// The balancers; the index of each is its node id.
    pub balancers: Vec<BalancerEntry>,
    /// Hash of the text; part of each balancer's version.
    pub hash: u64,
}

/// An invalid value, before the file's name is added.
struct InvalidValue {
    field: String,
    why: String,
}

impl FleetFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file cannot be used; the error names file, line and field.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(FileError::Unreadable { file, error }),
        }
    }

    /// Checks the text of a file with this name.
    ///
    /// # Errors
    /// As [`FleetFile::read`].
    pub fn parse(file: &str, text: &str) -> Result<Self, FileError> {
        let document: Document =
            toml::from_str(text).map_err(|error| FileError::Malformed { file: file.to_owned(), error })?;
        validate(&document).map_err(|InvalidValue { field, why }| FileError::InvalidValue {
            file: file.to_owned(),
            field,
            why,
        })?;
        let Document { fleet: FleetSection { name, lease }, balancers } = document;
        Ok(Self { name, lease, balancers, hash: xxhash_rust::xxh3::xxh3_64(text.as_bytes()) })
    }

    /// The balancer with this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&BalancerEntry> {
        self.balancers.iter().find(|balancer| balancer.name == name)
    }

    /// The founding voters.
    pub(crate) fn founding_voters(&self) -> Vec<NodeId> {
        let voters = self.balancers.iter().filter(|balancer| balancer.is_founding_voter);
        voters.map(|balancer| balancer.node_id).collect()
    }

    /// The number of balancers.
    pub(crate) fn balancer_count(&self) -> u16 {
        u16::try_from(self.balancers.len()).unwrap_or(u16::MAX)
    }

    /// The zone of each balancer as a number, in the order of first mention.
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

    /// All balancers as possible members.
    pub(crate) fn roster(&self) -> Roster {
        let slots = self.balancers.iter().zip(self.zones());
        let slots =
            slots.map(|(balancer, zone)| (balancer.node_id, MemberSlot { address: balancer.address, zone }));
        slots.collect()
    }

    /// The settings of leases. A report of another balancer is valid for two fifths of a lease; each receives
    /// about thirty in that time.
    pub(crate) fn lease_settings(&self) -> Settings {
        let lease = u64::try_from(self.lease.as_micros()).unwrap_or(u64::MAX);
        let settings = Settings::new(lease, lease * 2 / 5, self.balancer_count());
        Settings { request_interval: lease / REQUESTS_PER_LEASE, ..settings }
    }

    /// A stable hash of the fleet's name, carried by each datagram.
    pub(crate) fn fleet_id(&self) -> u32 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes()) as u32
    }
}

fn validate(document: &Document) -> Result<(), InvalidValue> {
    let lease = document.fleet.lease;
    if !(MIN_LEASE..=MAX_LEASE).contains(&lease) {
        let why = format!("{lease:#} is not from {MIN_LEASE:#} to {MAX_LEASE:#}");
        return Err(InvalidValue { field: "fleet.lease".into(), why });
    }
    let count = document.balancers.len();
    if count > MAX_BALANCERS {
        let why = format!("{count} balancers are more than {MAX_BALANCERS}");
        return Err(InvalidValue { field: "balancer".into(), why });
    }
    validate_balancers(&document.balancers)?;
    let voters = document.balancers.iter().filter(|balancer| balancer.is_founding_voter).count();
    if !matches!(voters, 3 | 5 | 7) {
        let why = format!("a council of {voters}; it must be of 3, 5 or 7");
        return Err(InvalidValue { field: "balancer.council".into(), why });
    }
    Ok(())
}

/// Checks that indices match and that names and addresses are unique.
fn validate_balancers(balancers: &[BalancerEntry]) -> Result<(), InvalidValue> {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (index, balancer) in balancers.iter().enumerate() {
        let invalid =
            |name: &str, why: String| Err(InvalidValue { field: format!("balancer[{index}].{name}"), why });
        let BalancerEntry { node_id, name, address, .. } = balancer;
        if usize::from(*node_id) != index {
            return invalid("number", format!("{node_id} is not its place in the file, {index}"));
        }
        if name.is_empty() || !names.insert(name) {
            return invalid("name", format!("{name:?} is empty or another's"));
        }
        if !addresses.insert(address) {
            return invalid("address", format!("{address} is another's"));
        }
    }
    Ok(())
}
