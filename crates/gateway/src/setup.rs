//! What the core is set up with: names, limits, the settings of the decision module.

use crate::siblings::Siblings;
use decide::api::Settings;
use proto::discovery::List;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the program is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The number of a descriptor under which the listening socket for clients was inherited; bound by itself if none.
    pub inherited: Option<i32>,
    /// Where operators call; nowhere if none.
    pub operator: Option<SocketAddr>,
    /// The folder that the next process of this balancer finds as this one left it, if there is such.
    pub folder: Option<PathBuf>,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// The list as held before the start; it may be old.
    pub known: Option<List>,
    /// The module's settings.
    pub settings: Settings,
    /// Names that the settings give to numbers.
    pub names: Names,
    /// Limits and times of connections.
    pub bounds: Bounds,
    /// The other balancers, where messages between them are allowed.
    pub siblings: Option<Siblings>,
}

/// Names, each at the place that is its number in the module.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// Limits and times of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Client connections held at a time.
    pub clients: usize,
    /// Connections to peers and the origin held at a time, idle ones included.
    pub peers: usize,
    /// Bytes of values held at a time: of requests, and of large answers that must be whole before they are passed on.
    pub held_bytes: usize,
    /// Requests taken at a time whose answers have not been written.
    pub open: usize,
    /// Bytes that the answers to these may come to, at the size that answers have had of late.
    pub answer_bytes: usize,
    /// How long a dial may take.
    pub dial: Duration,
    /// How long a connection to a peer is kept idle.
    pub idle: Duration,
    /// The longest time that any client waits.
    pub longest: Duration,
}
