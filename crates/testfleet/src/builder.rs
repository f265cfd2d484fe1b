//! The builder of a [`Fleet`], which starts relays, stand-ins and processes and writes their configuration files.

use crate::SPREAD_MULTIPLIER;
use crate::cache_node::{Attempt, CacheNode};
use crate::clients::Clients;
use crate::config::{self, FleetMember};
use crate::discovery::{DiscoveryAgent, EndpointNotification, Member, Phase};
use crate::event_log::EventLog;
use crate::fleet::{Balancer, Fleet};
use crate::folder::Folder;
use crate::origin::{ORIGIN_NAME, Origin};
use crate::process::{Launch, Process};
use crate::relay::{ConnectionRegistry, TcpLink, UdpRelay};
use crate::runtime::{Runtime, any_port};
use rustc_hash::FxHashMap;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A builder of a fleet. Everything but the program has a default.
#[derive(Debug, Clone)]
pub struct FleetBuilder {
    program: PathBuf,
    folder: PathBuf,
    balancers: usize,
    cache_nodes: usize,
    ids_per_cache_node: usize,
    zones: usize,
    seed: u64,
    voters: usize,
    lease: String,
    with_fleet: bool,
    with_peers: bool,
    args: Vec<String>,
    clock_offsets_ms: FxHashMap<usize, i64>,
    overrides: Value,
}

impl Fleet {
    /// Returns a builder of a fleet whose balancers are processes of this program.
    pub fn builder(program: impl Into<PathBuf>) -> FleetBuilder {
        FleetBuilder::new(program.into())
    }
}

impl FleetBuilder {
    fn new(program: PathBuf) -> Self {
        Self {
            program,
            folder: std::env::temp_dir(),
            balancers: 3,
            cache_nodes: 4,
            ids_per_cache_node: 1,
            zones: 1,
            seed: 1,
            voters: 3,
            lease: "2s".into(),
            with_fleet: false,
            with_peers: false,
            args: Vec::new(),
            clock_offsets_ms: FxHashMap::default(),
            overrides: Value::Null,
        }
    }
    /// Sets the number of balancers; the default is 3.
    #[must_use]
    pub fn balancers(self, balancers: usize) -> Self {
        Self { balancers, ..self }
    }
    /// Sets the number of cache nodes; the default is 4.
    #[must_use]
    pub fn cache_nodes(self, cache_nodes: usize) -> Self {
        Self { cache_nodes, ..self }
    }
    /// Sets the number of endpoint ids under which each cache node is listed; the default is 1.
    #[must_use]
    pub fn ids_per_cache_node(self, ids_per_cache_node: usize) -> Self {
        Self { ids_per_cache_node, ..self }
    }
    /// Sets the number of zones; the default and minimum is 1. Balancers and cache nodes are assigned to zones
    /// round-robin.
    #[must_use]
    pub fn zones(self, zones: usize) -> Self {
        Self { zones: zones.max(1), ..self }
    }
    /// Sets the seed of all random draws; the default is 1.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
    /// Sets the parent folder of the fleet's files; the default is the system's temporary folder.
    #[must_use]
    pub fn folder(self, folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into(), ..self }
    }
    /// Sets the number of voters of the quorum group, which are the first balancers; the default is 3.
    #[must_use]
    pub fn voters(self, voters: usize) -> Self {
        Self { voters, ..self }
    }
    /// Sets the lease duration in the syntax of the fleet file; the default is `2s`.
    #[must_use]
    pub fn lease(self, lease: &str) -> Self {
        Self { lease: lease.to_owned(), ..self }
    }
    /// Sets whether the balancers are started with a fleet file; the default is `false`.
    #[must_use]
    pub fn with_fleet(self, with_fleet: bool) -> Self {
        Self { with_fleet, ..self }
    }
    /// Sets whether the balancers gossip about endpoints; the default is `false`. Has no effect with a fleet file.
    #[must_use]
    pub fn with_peers(self, with_peers: bool) -> Self {
        Self { with_peers, ..self }
    }
    /// Appends an argument to the program's command line.
    #[must_use]
    pub fn arg(mut self, arg: &str) -> Self {
        self.args.push(arg.to_owned());
        self
    }
    /// Sets values that are merged over the configuration of each balancer, object by object.
    #[must_use]
    pub fn overrides(self, overrides: Value) -> Self {
        Self { overrides, ..self }
    }
    /// Sets the clock offset of a balancer, in milliseconds; the default is 0.
    #[must_use]
    pub fn clock_offset_ms(mut self, balancer: usize, offset_ms: i64) -> Self {
        self.clock_offsets_ms.insert(balancer, offset_ms);
        self
    }

    fn zone(&self, number: usize) -> String {
        format!("z{}", number % self.zones)
    }

    /// Starts the fleet and waits until every balancer is ready.
    ///
    /// # Errors
    /// Returns the system's error if a socket or process cannot be started.
    ///
    /// # Panics
    /// Panics with the last log lines if a balancer is not ready within [`crate::WAIT_TIMEOUT`].
    pub fn start(self) -> io::Result<Fleet> {
        let folder = Folder::below(&self.folder)?;
        let runtime = Runtime::start()?;
        let handle = runtime.handle();
        let (attempts, notifications, registry) = (
            EventLog::<Attempt>::default(),
            EventLog::<EndpointNotification>::default(),
            ConnectionRegistry::default(),
        );
        let start_node =
            |number| CacheNode::start(handle, &format!("s-{number}"), registry.clone(), attempts.clone());
        let cache_nodes: Vec<CacheNode> = (0..self.cache_nodes).map(start_node).collect::<io::Result<_>>()?;
        let origin = Origin::start(handle, registry.clone(), EventLog::default())?;
        let udp_relay = UdpRelay::start(handle, self.balancers, self.seed)?;
        let addresses: Vec<_> =
            (0..self.balancers).map(|it| udp_relay.address(it)).collect::<io::Result<_>>()?;
        self.write_fleet_file(folder.path(), &addresses)?;
        let stand_ins = StandIns {
            cache_nodes: &cache_nodes,
            origin: &origin,
            registry: &registry,
            notifications: &notifications,
        };
        let balancers: Vec<Balancer> = (0..self.balancers)
            .map(|number| self.start_balancer(&runtime, folder.path(), number, &addresses, &stand_ins))
            .collect::<io::Result<_>>()?;
        let clients = Clients::new(handle, balancers.iter().map(|it| it.from_clients.addr()).collect());
        let mut fleet = Fleet {
            balancers,
            clients,
            cache_nodes,
            origin,
            udp_relay,
            attempts,
            notifications,
            interruptions: Vec::new(),
            in_fleet: self.with_fleet,
            with_peers: self.with_peers,
            seed: self.seed,
            runtime,
            folder,
        };
        (0..self.balancers).for_each(|number| fleet.await_listening(number));
        (0..self.balancers).for_each(|number| fleet.await_ready(number));
        Ok(fleet)
    }

    fn write_fleet_file(&self, folder: &Path, addresses: &[SocketAddr]) -> io::Result<()> {
        let listed = addresses.iter().enumerate();
        let members: Vec<_> = listed
            .map(|(number, address)| FleetMember {
                address: *address,
                zone: self.zone(number),
                voter: number < self.voters,
            })
            .collect();
        std::fs::write(folder.join("fleet.toml"), config::fleet_file("test", &self.lease, &members))
    }

    fn start_balancer(
        &self, runtime: &Runtime, folder: &Path, number: usize, addresses: &[SocketAddr],
        stand_ins: &StandIns<'_>,
    ) -> io::Result<Balancer> {
        let handle = runtime.handle();
        let seed = self.seed.wrapping_add(number as u64).wrapping_mul(SPREAD_MULTIPLIER);
        let link = |target| TcpLink::start(handle, target, Some((stand_ins.registry.clone(), number)), seed);
        let to_cache_nodes: Vec<_> =
            stand_ins.cache_nodes.iter().map(|it| link(it.addr())).collect::<io::Result<_>>()?;
        let to_origin = link(stand_ins.origin.addr())?;
        let member = |name: &str, addr, zone, kind: &str| Member {
            name: name.to_owned(),
            addr,
            zone,
            kind: kind.to_owned(),
            phase: Phase::Ready,
            weight: 1.0,
            ids: if kind == ORIGIN_NAME { 1 } else { self.ids_per_cache_node },
        };
        let cache_nodes = stand_ins.cache_nodes.iter().zip(&to_cache_nodes).enumerate();
        let mut members: Vec<_> = cache_nodes
            .map(|(index, (node, link))| member(node.name(), link.addr(), self.zone(index), "m"))
            .collect();
        members.push(member(ORIGIN_NAME, to_origin.addr(), self.zone(0), ORIGIN_NAME));
        let agent = DiscoveryAgent::start(handle, number, members, stand_ins.notifications.clone())?;
        let mut config = config::balancer_config(&config::BalancerParameters {
            number,
            balancers: self.balancers,
            discovery: agent.addr(),
            zones: (0..self.zones).map(|zone| self.zone(zone)).collect(),
            zone: number % self.zones,
            seed,
            peers: (self.with_peers && !self.with_fleet).then(|| addresses.to_vec()),
        });
        config::merge_values(&mut config, &self.overrides);
        let process_folder = folder.join(format!("n{number}"));
        let mut launch =
            Launch { program: self.program.clone(), args: self.args.clone(), ..Launch::default() };
        launch.clock_offset_ms = self.clock_offsets_ms.get(&number).copied().unwrap_or_default();
        if self.with_fleet {
            launch
                .args
                .extend(config::fleet_arguments(&folder.join("fleet.toml"), &process_folder.join("disk")));
        }
        // The target is set when the balancer has logged its listening address.
        let from_clients = TcpLink::start(handle, any_port(), None, seed)?;
        let process = Process::start(handle, launch, &process_folder, &config)?;
        let (client_addr, admin_addr) = (any_port(), any_port());
        Ok(Balancer {
            process,
            agent,
            from_clients,
            to_cache_nodes,
            to_origin,
            client_addr,
            admin_addr,
            config,
        })
    }
}

/// The stand-ins shared by all balancers.
struct StandIns<'a> {
    cache_nodes: &'a [CacheNode],
    origin: &'a Origin,
    registry: &'a ConnectionRegistry,
    notifications: &'a EventLog<EndpointNotification>,
}
