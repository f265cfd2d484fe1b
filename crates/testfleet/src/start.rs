//! What a fleet is to be, and its start.

use crate::archive::{Archive, NAME};
use crate::clients::Clients;
use crate::config::{self, Listed};
use crate::fleet::{Balancer, Fleet};
use crate::folder::Folder;
use crate::ground::{Ground, any_port};
use crate::hosts::{Attempt, Host};
use crate::inventory::{Agent, Member, Phase, Told};
use crate::journal::Journal;
use crate::process::{Launch, Process};
use crate::relay::{Callers, TcpLink, UdpRelay};
use rustc_hash::FxHashMap;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What a fleet is to be.
#[derive(Debug, Clone)]
pub struct Builder {
    program: PathBuf,
    folder: PathBuf,
    balancers: usize,
    hosts: usize,
    ids: usize,
    zones: usize,
    seed: u64,
    council: usize,
    lease: String,
    with_fleet: bool,
    with_peers: bool,
    args: Vec<String>,
    offsets: FxHashMap<usize, i64>,
    overrides: Value,
}

impl Builder {
    pub(crate) fn new(program: PathBuf) -> Self {
        Self {
            program,
            folder: std::env::temp_dir(),
            balancers: 3,
            hosts: 4,
            ids: 1,
            zones: 1,
            seed: 1,
            council: 3,
            lease: "2s".into(),
            with_fleet: false,
            with_peers: false,
            args: Vec::new(),
            offsets: FxHashMap::default(),
            overrides: Value::Null,
        }
    }
    /// Balancers; 3 unless said.
    #[must_use]
    pub fn balancers(self, balancers: usize) -> Self {
        Self { balancers, ..self }
    }
    /// Cache hosts; 4 unless said.
    #[must_use]
    pub fn hosts(self, hosts: usize) -> Self {
        Self { hosts, ..self }
    }
    /// Ids under which each cache host is listed: a stand-in for as many endpoints. One unless said.
    #[must_use]
    pub fn ids(self, ids: usize) -> Self {
        Self { ids, ..self }
    }
    /// Zones, at least one, over which balancers and hosts are dealt in turn.
    #[must_use]
    pub fn zones(self, zones: usize) -> Self {
        Self { zones: zones.max(1), ..self }
    }
    /// What all draws come from.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
    /// The folder for its files; that of the system for such unless said.
    #[must_use]
    pub fn folder(self, folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into(), ..self }
    }
    /// Balancers of the council, the first ones; 3 unless said.
    #[must_use]
    pub fn council(self, council: usize) -> Self {
        Self { council, ..self }
    }
    /// The lease, as the fleet file words it; `2s` unless said.
    #[must_use]
    pub fn lease(self, lease: &str) -> Self {
        Self { lease: lease.to_owned(), ..self }
    }
    /// Whether the balancers are given a fleet file.
    #[must_use]
    pub fn with_fleet(self, with_fleet: bool) -> Self {
        Self { with_fleet, ..self }
    }
    /// Whether they tell one another of hosts: without a fleet file, and from ten balancers on.
    #[must_use]
    pub fn with_peers(self, with_peers: bool) -> Self {
        Self { with_peers, ..self }
    }
    /// A further argument of the program.
    #[must_use]
    pub fn arg(mut self, arg: &str) -> Self {
        self.args.push(arg.to_owned());
        self
    }
    /// Values that go over those of the configuration, object by object.
    #[must_use]
    pub fn overrides(self, overrides: Value) -> Self {
        Self { overrides, ..self }
    }
    /// What one balancer's clock is off by.
    #[must_use]
    pub fn clock_offset_ms(mut self, balancer: usize, offset: i64) -> Self {
        self.offsets.insert(balancer, offset);
        self
    }

    fn zone(&self, number: usize) -> String {
        format!("z{}", number % self.zones)
    }

    /// Starts it, and waits until every balancer is ready.
    ///
    /// # Errors
    /// When a part cannot be started; the error of the system.
    ///
    /// # Panics
    /// When a balancer is not ready within [`crate::PATIENCE`], with its last lines.
    pub fn start(self) -> io::Result<Fleet> {
        let folder = Folder::below(&self.folder)?;
        let ground = Ground::start()?;
        let handle = ground.handle();
        let (attempts, told, callers) =
            (Journal::<Attempt>::default(), Journal::<Told>::default(), Callers::default());
        let host = |number| Host::start(handle, &format!("s-{number}"), callers.clone(), attempts.clone());
        let hosts: Vec<Host> = (0..self.hosts).map(host).collect::<io::Result<_>>()?;
        let archive = Archive::start(handle, callers.clone(), Journal::default())?;
        let between = UdpRelay::start(handle, self.balancers, self.seed)?;
        let addresses: Vec<_> =
            (0..self.balancers).map(|it| between.address(it)).collect::<io::Result<_>>()?;
        self.write_fleet_file(folder.path(), &addresses)?;
        let site = Site { hosts: &hosts, archive: &archive, callers: &callers, told: &told };
        let balancers: Vec<Balancer> = (0..self.balancers)
            .map(|number| self.balancer(&ground, folder.path(), number, &addresses, &site))
            .collect::<io::Result<_>>()?;
        let clients = Clients::new(handle, balancers.iter().map(|it| it.from_clients.addr()).collect());
        let mut fleet = Fleet {
            balancers,
            clients,
            hosts,
            archive,
            between,
            attempts,
            told,
            interruptions: Vec::new(),
            in_fleet: self.with_fleet,
            with_peers: self.with_peers,
            seed: self.seed,
            ground,
            folder,
        };
        (0..self.balancers).for_each(|number| fleet.await_listening(number));
        (0..self.balancers).for_each(|number| fleet.await_ready(number));
        Ok(fleet)
    }

    fn write_fleet_file(&self, folder: &Path, addresses: &[SocketAddr]) -> io::Result<()> {
        let listed = addresses.iter().enumerate();
        let listed: Vec<_> = listed
            .map(|(number, address)| Listed {
                address: *address,
                zone: self.zone(number),
                council: number < self.council,
            })
            .collect();
        std::fs::write(folder.join("fleet.toml"), config::fleet_file("test", &self.lease, &listed))
    }

    fn balancer(
        &self, ground: &Ground, folder: &Path, number: usize, addresses: &[SocketAddr], site: &Site<'_>,
    ) -> io::Result<Balancer> {
        let handle = ground.handle();
        let seed = self.seed.wrapping_add(number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let link = |target| TcpLink::start(handle, target, Some((site.callers.clone(), number)), seed);
        let to_hosts: Vec<_> = site.hosts.iter().map(|it| link(it.addr())).collect::<io::Result<_>>()?;
        let to_archive = link(site.archive.addr())?;
        let member = |name: &str, addr, zone, kind: &str| Member {
            name: name.to_owned(),
            addr,
            zone,
            kind: kind.to_owned(),
            phase: Phase::Ready,
            weight: 1.0,
            ids: if kind == NAME { 1 } else { self.ids },
        };
        let hosts = site.hosts.iter().zip(&to_hosts).enumerate();
        let mut members: Vec<_> =
            hosts.map(|(at, (host, link))| member(host.name(), link.addr(), self.zone(at), "m")).collect();
        members.push(member(NAME, to_archive.addr(), self.zone(0), NAME));
        let agent = Agent::start(handle, number, members, site.told.clone())?;
        let mut config = config::platform(&config::Balancer {
            number,
            of: self.balancers,
            discovery: agent.addr(),
            zones: (0..self.zones).map(|zone| self.zone(zone)).collect(),
            zone: number % self.zones,
            seed,
            peers: (self.with_peers && !self.with_fleet).then(|| addresses.to_vec()),
        });
        config::lay_over(&mut config, &self.overrides);
        let home = folder.join(format!("n{number}"));
        let mut launch =
            Launch { program: self.program.clone(), args: self.args.clone(), ..Launch::default() };
        launch.clock_offset_ms = self.offsets.get(&number).copied().unwrap_or_default();
        if self.with_fleet {
            launch.args.extend(config::fleet_arguments(&folder.join("fleet.toml"), &home.join("disk")));
        }
        // Aimed once the balancer has told where it listens.
        let from_clients = TcpLink::start(handle, any_port(), None, seed)?;
        let process = Process::start(handle, launch, &home, &config)?;
        let (front, operators) = (any_port(), any_port());
        Ok(Balancer { process, agent, from_clients, to_hosts, to_archive, front, operators, config })
    }
}

/// What all balancers have around them.
struct Site<'a> {
    hosts: &'a [Host],
    archive: &'a Archive,
    callers: &'a Callers,
    told: &'a Journal<Told>,
}
