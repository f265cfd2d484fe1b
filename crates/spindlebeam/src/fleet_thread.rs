//! The fleet thread: runs this balancer as a member of its fleet, with a socket, a clock and a disk.
//!
//! It is separate from the core's thread, so that no request waits for a vote or a slow disk. The core receives
//! copies of the state that it needs through [`gateway::fleet_link`].

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

/// Maximum number of operators' calls that wait for the thread; further calls are rejected.
const MAX_WAITING_CALLS: usize = 64;
/// Maximum number of core events that wait for the thread; further events are dropped, and the ledger counts them as
/// missing.
const MAX_WAITING_EVENTS: usize = 4_096;
/// The program's version; other balancers receive a hash of it.
const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");

/// The fleet options of the command line.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The file that names the balancers; without one this balancer is in no fleet.
    pub file: Option<PathBuf>,
    /// The address to receive datagrams at, if not the one in the file.
    pub listen: Option<SocketAddr>,
    /// The folder for durable data, if there is one.
    pub keep: Option<PathBuf>,
}

/// Starts the fleet thread of the balancer `name`; all its randomness is drawn from `seed`. Returns `None` without
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
        // Created inside the runtime, because a socket is registered with the runtime that it is created in.
        runtime.block_on(async {
            let driver = Driver::new(member, socket, ledger, clock, unix_clock, updates_sender)?;
            driver.run(calls_receiver, audit_events_receiver).await
        })
    };
    let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
        let ended = run();
        // Without the thread the lease expires, and no more requests are admitted.
        log::error!("fleet: thread ended: {ended:?}");
    });
    thread.context("starting the fleet's thread")?;
    let program = xxhash_rust::xxh3::xxh3_64(PROGRAM_VERSION.as_bytes());
    let number = node_id;
    Ok(Some(FleetLink { updates, calls, audit_events, clock, number, incarnation, program, configuration }))
}

/// Describes the balancer `name` and its fleet for `check-config`, from the fleet file.
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
