//! The balancer's life: start, serve, wind down.

use crate::config;
use crate::fleet_thread;
use crate::reload;
use anyhow::{Context, Result, bail};
use decide::api::Discovery;
use discovery::Way;
use front::accept::slot_wait;
use front::shutdown::LAST_WRITES;
use front::{Front, operator};
use futures_util::FutureExt;
use gateway::engine::{Engine, Handle, unix_us};
use gateway::setup::Config;
use gossip_transport::{GossipAddresses, GossipTransport};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_blocking};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// New connections keep coming for this long after SIGTERM.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// Where another process serves already, connections that ask nothing are closed this long after SIGTERM: most have asked
/// again by then, and were closed behind their answer.
const IDLE_AT_REPLACEMENT: Duration = Duration::from_millis(1_500);
/// How often an address for other balancers that is still held by the process before is tried.
const TALK_AGAIN: Duration = Duration::from_millis(200);
/// The file that names the process which serves.
const SERVING: &str = "spindlebeam-serving";
/// How long a process that is to end waits for what that file says.
const SUCCESSOR_SEEN: Duration = Duration::from_millis(100);
/// The platform ends the process after the longest deadline, counted as this much where it is longer, and 0.7 s from SIGTERM
/// on. What is owed an answer then would be lost: it gets one by [`LAST_ANSWER`] after that deadline at the latest, and
/// [`LAST_WRITES`] is left for writing it.
const GIVEN: Duration = Duration::from_secs(3);
const LAST_ANSWER: Duration = Duration::from_millis(500);
/// And by then it has ended it; one that has not been ended ends by itself.
const ENDED_BY_THEN: Duration = Duration::from_millis(1_900);

/// Serves as this file says until SIGTERM or SIGINT, and then until what was taken is answered.
///
/// # Errors
/// When the file cannot be used, or the program cannot listen.
pub fn serve(file: &Path, fleet: &fleet_thread::Options) -> Result<()> {
    let config = config::read(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = LocalSet::new().block_on(&runtime, run(config, file, fleet));
    runtime.shutdown_background(); // guards the end against a thread that waits for a disk
    ended
}

fn listen(field: &str, addr: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?; // a restart must not wait for the old connections to be forgotten
    let bound = socket.bind(addr).and_then(|()| socket.listen(1024));
    bound.with_context(|| format!("{field}: listening on {addr}"))
}

async fn talk_later(siblings: GossipAddresses, seed: u64, handle: Handle) {
    let talk = loop {
        sleep(TALK_AGAIN).await;
        if let Ok(talk) = GossipTransport::open(&siblings, unix_us(), seed).await {
            break talk;
        }
    };
    log::info!("other balancers are told from now on");
    handle.attach_gossip(talk);
}

/// Which process of this balancer serves, where several may share its listening socket: a file with the number of the
/// one that became ready last.
struct Shared(PathBuf);

impl Shared {
    async fn announce(self, handle: Handle) {
        handle.until_ready().await;
        let (file, number) = (self.0.clone(), std::process::id().to_string());
        if let Ok(Err(error)) = spawn_blocking(move || std::fs::write(file, number)).await {
            log::warn!("{}: {error}; a process before this one accepts on for a while", self.0.display());
        }
    }
    /// Whether another process serves; no where the disk does not say in time: accepting on for a while harms nobody.
    async fn has_successor(self) -> bool {
        let last = timeout(SUCCESSOR_SEEN, spawn_blocking(move || std::fs::read_to_string(self.0))).await;
        let last = last.ok().and_then(|read| read.ok()?.ok()?.parse().ok());
        last.is_some_and(|number: u32| number != std::process::id())
    }
}

async fn run(config: Config, file: &Path, fleet: &fleet_thread::Options) -> Result<()> {
    // First of all, since its default would end the program.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let inherited = config.inherited_descriptor.is_some();
    let listener = match config.inherited_descriptor {
        Some(number) => {
            let socket = socket_activation::listener(number).context("PROXY_FD")?;
            socket.set_nonblocking(true)?;
            TcpListener::from_std(socket)?
        }
        None => listen("listen", config.listen)?,
    };
    log::info!("{}: listening on {}", config.name, listener.local_addr()?);
    let operators = match config.operator {
        Some(addr) => Some(listen("operator", addr)?),
        None => None,
    };
    if let Some(door) = &operators {
        log::info!("{}: operators call at {}", config.name, door.local_addr()?);
    }

    let (mut engine, handle) = Engine::new(&config);
    if let Some(port) = fleet_thread::start(fleet, &config.name, config.seed, engine.clock())? {
        engine.join_fleet(port);
    }
    if let Some(siblings) = config.gossip.clone() {
        let seed = config.seed;
        match GossipTransport::open(&siblings, unix_us(), seed).await {
            Ok(talk) => handle.attach_gossip(talk),
            // The process before holds the address until it ends.
            Err(error) if inherited => {
                log::info!("{error:#}; other balancers are told nothing until it is free");
                tokio::task::spawn_local(talk_later(siblings, seed, handle.clone()));
            }
            Err(error) => return Err(error),
        }
    }
    let slot_wait = slot_wait(config.bounds.shortest);
    let front = Front::new(handle.clone(), config.names.clone(), config.bounds.clients, slot_wait);
    let core = tokio::task::spawn_local(engine.run());
    let known = config.known.clone();
    let balancers = config.settings.balancers;
    let hears = handle.clone();
    let (discovery, found_at) = watch::channel(config.discovery);
    let way = match config.settings.discovery {
        Discovery::Push => Way::Pushed,
        Discovery::Poll => Way::Asked,
    };
    let dialler = ::discovery::Dialler::new();
    let dial = move |addr| dialler.clone().connect(addr).boxed_local();
    let following = ::discovery::follow(found_at, known, way, balancers, dial, move |news| {
        hears.handle_watch_event(news)
    });
    let group = tokio::task::spawn_local(following);
    if let Some(door) = operators {
        tokio::task::spawn_local(operator::serve(door, handle.clone(), front.clone()));
    }
    tokio::task::spawn_local(front.clone().follow_drain());
    let serving = || config.folder.as_ref().filter(|_| inherited).map(|it| Shared(it.join(SERVING)));
    let shared = serving();
    if let Some(shared) = serving() {
        tokio::task::spawn_local(shared.announce(handle.clone()));
    }
    let (bounds, name) = (config.bounds, config.name.clone());
    // Apart from what ends the program: a new configuration may come while it winds down.
    let reload =
        tokio::task::spawn_local(reload::follow(hangup, file.to_owned(), config, discovery, handle.clone()));
    let (stop, stopped) = oneshot::channel();
    let accepting = tokio::task::spawn_local(front.clone().accept(listener, inherited, stopped));

    tokio::select! {
        _ = terminate.recv() => log::info!("SIGTERM: winding down"),
        _ = interrupt.recv() => log::info!("SIGINT: winding down"),
        // Neither ever returns: without them the program would go on refusing, and look alive.
        ended = core => bail!("the core has stopped: {ended:?}"),
        ended = group => bail!("the watch of discovery has stopped: {ended:?}"),
        ended = reload => bail!("rereading the configuration has stopped: {ended:?}"),
    }
    let now = Instant::now();
    // The platform counts from when it sent the signal.
    let terminated = now.checked_sub(handle.stall_monitor.overdue(now)).unwrap_or(now);
    let ends = terminated + bounds.longest.min(GIVEN) + LAST_ANSWER;
    let replaced = match shared {
        Some(shared) => shared.has_successor().await,
        None => false,
    };
    if replaced {
        log::info!("another process serves: accepting no more");
        let _ = stop.send(());
        front.terminate(IDLE_AT_REPLACEMENT, ends);
    } else {
        front.announce_end();
        sleep(STILL_ACCEPTING).await;
        front.terminate(Duration::ZERO, ends);
        let _ = stop.send(());
        let _ = accepting.await;
    }
    if timeout_at(ends + LAST_WRITES, front.emptied()).await.is_err() {
        log::warn!("some client connections were still busy at the end");
    }
    log::info!("{name}: done");
    if replaced {
        // Guards the other process: platforms book what a process that ends by itself has used in its whole life in that
        // one second, and then hold the whole balancer back. This one holds nothing any more.
        sleep_until(terminated + bounds.longest.max(GIVEN) + ENDED_BY_THEN).await;
    }
    Ok(())
}
