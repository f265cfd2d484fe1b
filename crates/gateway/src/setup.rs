//! What the program is set up with: addresses, names, limits, the settings of the decision module.

use decide::api::Settings;
use gossip_transport::GossipAddresses;
use proto::discovery::EndpointList;
use std::net::SocketAddr;
use std::path::PathBuf;
pub use upstream::setup::{Bounds, Names};

/// What the program is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The number of a descriptor under which the listening socket for clients was inherited; bound by itself if none.
    pub inherited_descriptor: Option<i32>,
    /// Where operators call; nowhere if none.
    pub operator: Option<SocketAddr>,
    /// The folder that the next process of this balancer finds as this one left it, if there is such.
    pub folder: Option<PathBuf>,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// The list as held before the start; it may be old.
    pub known: Option<EndpointList>,
    /// The module's settings.
    pub settings: Settings,
    /// Names that the settings give to numbers.
    pub names: Names,
    /// Limits and times of connections.
    pub bounds: Bounds,
    /// The other balancers, where messages between them are allowed.
    pub gossip: Option<GossipAddresses>,
}
