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
    pub listen_address: SocketAddr,
    /// The descriptor number of an inherited listening socket for clients; if `None`, the program binds its own.
    pub inherited_descriptor: Option<i32>,
    /// The listen address of the admin endpoint, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    /// The folder for files that outlive the process, such as the operator overrides, if one is configured.
    pub state_folder: Option<PathBuf>,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The seed of the decision module's random number generator.
    pub seed: u64,
    /// The endpoint list known before the start. It may be outdated.
    pub known_endpoints: Option<EndpointList>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, tenants, zones and kinds, which the settings identify by number.
    pub names: Names,
    /// Limits and timeouts of connections.
    pub bounds: Bounds,
    /// The addresses of the other balancers, if messages between balancers are allowed.
    pub gossip: Option<GossipAddresses>,
}
