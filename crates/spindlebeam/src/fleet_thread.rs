//! The fleet's thread: the socket, the clock and the disk of this balancer as a member of its fleet.
//!
//! It runs beside the core's thread, so that no request waits for a vote or a slow disk. The core receives
//! copies of what it needs through [`gateway::fleet_link`].

#[doc(hidden)]
pub mod answer;
mod driver;
mod stores;
mod unix_clock;

use anyhow::{Context, Result};
use driver::Driver;
use fleet::{BalancerEntry, FleetFile, FleetMember, MemberConfig};
use gateway::fleet_link::{Clock, FleetLink};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use stores::Stores;
use tokio::sync::mpsc;
use unix_clock::UnixClock;

/// Operators' calls that wait for the thread; more are rejected.
const MAX_WAITING_CALLS: usize = 64;
/// Events of the core that wait for the thread; more are dropped, and the ledger counts them as missing.
const MAX_WAITING_EVENTS: usize = 4_096;
/// The program's version, which other balancers learn as a hash.
const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");

/// The fleet's options of the command line.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The file that names the balancers; this balancer is in no fleet without one.
    pub file: Option<PathBuf>,
    /// The address to receive datagrams at, if not the one in the file.
    pub listen: Option<SocketAddr>,
    /// The folder for durable data, if there is one.
    pub keep: Option<PathBuf>,
}

/// Starts the thread of the balancer with this name; `seed` is that of all randomness. Returns `None` without
/// a fleet file.
///
/// # Errors
/// If the file cannot be used or names no such balancer, or if the socket or the disk is not available.
pub fn start(options: &Options, name: &str, seed: u64, clock: Clock) -> Result<Option<FleetLink>> {
    let Some(path) = &options.file else { return Ok(None) };
    let file = FleetFile::read(path)?;
    let balancer = find(&file, path, name)?;
    let node_id = balancer.node_id;
    let is_voter = balancer.is_founding_voter;
    let socket = bind(options.listen.unwrap_or(balancer.address))?;
    let unix_clock = UnixClock::from_environment()?;
    log::info!(
        "fleet: {} has {} balancers, lease duration {:#}",
        file.name,
        file.balancers.len(),
        file.lease
    );
    log::info!("fleet: listening on {}", socket.local_addr()?);
    let Stores { log, ledger } = Stores::open(options.keep.as_deref(), is_voter)?;
    // Increases from start to start, unless the clock goes back; membership detects that.
    let incarnation = unix_clock.now();
    let configuration = file.hash;
    let config = MemberConfig { node_id, incarnation, store: log, seed: seed ^ incarnation };

    let (updates_sender, updates) = mpsc::unbounded_channel();
    let (calls, calls_receiver) = mpsc::channel(MAX_WAITING_CALLS);
    let (audit_events, audit_events_receiver) = mpsc::channel(MAX_WAITING_EVENTS);
    let run = move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let member = FleetMember::new(file, config, clock.now());
        // The driver is created inside: a socket is registered with the runtime that it is created in.
        runtime.block_on(async {
            let driver = Driver::new(member, socket, ledger, clock, unix_clock, updates_sender)?;
            driver.run(calls_receiver, audit_events_receiver).await
        })
    };
    let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
        let ended = run();
        // The lease ends with the thread, and with it the admission of requests.
        log::error!("fleet: thread ended: {ended:?}");
    });
    thread.context("starting the fleet's thread")?;
    let program = xxhash_rust::xxh3::xxh3_64(PROGRAM_VERSION.as_bytes());
    let number = node_id;
    Ok(Some(FleetLink { updates, calls, audit_events, clock, number, incarnation, program, configuration }))
}

/// Describes the balancer with this name as its fleet file does, for `check-config`.
///
/// # Errors
/// If the file cannot be used or names no such balancer.
pub fn describe(path: &Path, name: &str) -> Result<String> {
    let file = FleetFile::read(path)?;
    let balancer = find(&file, path, name)?;
    let voter = if balancer.is_founding_voter { "one of the council" } else { "not of the council" };
    let FleetFile { name: fleet, balancers, lease, .. } = &file;
    let (number, count) = (balancer.node_id, balancers.len());
    Ok(format!("fleet {fleet}: {name} is number {number} of {count}, {voter}; leases of {lease:#}"))
}

fn find<'a>(file: &'a FleetFile, path: &Path, name: &str) -> Result<&'a BalancerEntry> {
    file.find(name).with_context(|| format!("{}: no balancer is named {name:?}", path.display()))
}

fn bind(address: SocketAddr) -> Result<UdpSocket> {
    let bound = UdpSocket::bind(address).and_then(|socket| {
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    bound.with_context(|| format!("fleet: listening on {address}"))
}
