//! The configuration of the program: addresses, names, limits, and the settings of the decision module.

use decide::api::Settings;
use gossip_transport::GossipAddresses;
use proto::discovery::EndpointList;
use std::net::SocketAddr;
use std::path::PathBuf;
pub use upstream::setup::{Bounds, Names};

/// The configuration of the program.
#[derive(Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The descriptor number of an inherited listening socket for clients; if `None`, the program binds its own.
    pub inherited_descriptor: Option<i32>,
    /// The address of the admin endpoint, if there is one.
    pub operator: Option<SocketAddr>,
    /// A folder that persists between processes of this balancer, if there is one.
    pub folder: Option<PathBuf>,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// The endpoint list known before the start; it may be old.
    pub known: Option<EndpointList>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the numbers in the settings.
    pub names: Names,
    /// Limits and timeouts of connections.
    pub bounds: Bounds,
    /// Addresses of the other balancers, where messages between them are allowed.
    pub gossip: Option<GossipAddresses>,
}
