//! The parts of the running program: core, discovery, front, admin endpoint, gossip and reload, each a task of its own.

use super::gossip;
use super::serving_file::ServingFile;
use super::sockets::Sockets;
use crate::fleet_thread;
use crate::reload;
use anyhow::{Result, anyhow};
use decide::api::Discovery;
use discovery::Delivery;
use front::accept::slot_wait;
use front::{Front, operator};
use futures_util::FutureExt;
use gateway::engine::{Engine, Handle};
use gateway::setup::Config;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};

/// The running parts, and what the shutdown needs to know of them.
pub(super) struct Parts {
    /// The balancer's name.
    pub(super) name: String,
    /// The way to the core.
    pub(super) handle: Handle,
    /// The client connections.
    pub(super) front: Rc<Front>,
    /// The file that names the serving process, where several share the listening socket.
    pub(super) serving_file: Option<ServingFile>,
    /// The longest time that any client waits.
    pub(super) longest_deadline: Duration,
    /// Ends [`Parts::accepting`].
    pub(super) stop_accepting: oneshot::Sender<()>,
    /// Accepts clients.
    pub(super) accepting: JoinHandle<()>,
    core: JoinHandle<()>,
    discovery: JoinHandle<()>,
    reload: JoinHandle<()>,
}

impl Parts {
    /// Starts every part.
    ///
    /// # Errors
    /// When the fleet file cannot be used, or the fleet's or the gossip socket cannot be opened.
    pub(super) async fn start(
        config: Config, file: &Path, fleet: &fleet_thread::Options, sockets: Sockets, hangup: Signal,
    ) -> Result<Self> {
        let (mut engine, handle) = Engine::new(&config);
        if let Some(link) = fleet_thread::start(fleet, &config.name, config.seed, engine.clock())? {
            engine.join_fleet(link);
        }
        gossip::start(&config, &handle).await?;
        let bounds = config.bounds;
        let front =
            Front::new(handle.clone(), config.names.clone(), bounds.clients, slot_wait(bounds.shortest));
        let core = spawn_local(engine.run());
        let (discovery_address, address_changes) = watch::channel(config.discovery);
        let discovery = follow_discovery(&config, address_changes, handle.clone());
        if let Some(listener) = sockets.operators {
            spawn_local(operator::serve(listener, handle.clone(), front.clone()));
        }
        spawn_local(front.clone().follow_drain());
        let serving_file = ServingFile::new(&config);
        if let Some(serving_file) = serving_file.clone() {
            spawn_local(serving_file.announce(handle.clone()));
        }
        let name = config.name.clone();
        let shares_socket = config.inherited_descriptor.is_some();
        // A task of its own: a new configuration may also come during the shutdown.
        let reload =
            spawn_local(reload::follow(hangup, file.to_owned(), config, discovery_address, handle.clone()));
        let (stop_accepting, stopped) = oneshot::channel();
        let accepting = spawn_local(front.clone().accept(sockets.clients, shares_socket, stopped));
        Ok(Self {
            name,
            handle,
            front,
            serving_file,
            longest_deadline: bounds.longest,
            stop_accepting,
            accepting,
            core,
            discovery,
            reload,
        })
    }

    /// Waits until a part that never returns has stopped, which is a fault of this program.
    pub(super) async fn stopped(&mut self) -> anyhow::Error {
        tokio::select! {
            ended = &mut self.core => anyhow!("the core has stopped: {ended:?}"),
            ended = &mut self.discovery => anyhow!("the watch of discovery has stopped: {ended:?}"),
            ended = &mut self.reload => anyhow!("rereading the configuration has stopped: {ended:?}"),
        }
    }
}

/// Starts to follow the endpoint list; its events go to the core.
fn follow_discovery(
    config: &Config, address_changes: watch::Receiver<SocketAddr>, handle: Handle,
) -> JoinHandle<()> {
    let delivery = match config.settings.discovery {
        Discovery::Push => Delivery::Push,
        Discovery::Poll => Delivery::Poll,
    };
    let dialler = ::discovery::Dialer::new();
    let dial = move |addr| dialler.clone().connect(addr).boxed_local();
    let on_event = move |event| handle.handle_watch_event(event);
    let (known, balancers) = (config.known.clone(), config.settings.balancers);
    spawn_local(::discovery::follow(address_changes, known, delivery, balancers, dial, on_event))
}
