//! The parts of the running program: core, discovery, front, admin endpoint, gossip and reload, each in its own task.

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

/// The running parts, and the state that the shutdown needs.
pub(super) struct Parts {
    /// The balancer's name.
    pub(super) name: String,
    /// The handle of the core.
    pub(super) handle: Handle,
    /// The client connections.
    pub(super) front: Rc<Front>,
    /// The file that names the serving process, if several processes may share the listening socket.
    pub(super) serving_file: Option<ServingFile>,
    /// The longest deadline of any class.
    pub(super) longest_deadline: Duration,
    /// Stops the task [`Parts::accepting`].
    pub(super) stop_accepting: oneshot::Sender<()>,
    /// The task that accepts clients.
    pub(super) accepting: JoinHandle<()>,
    core: JoinHandle<()>,
    discovery: JoinHandle<()>,
    reload: JoinHandle<()>,
}

impl Parts {
    /// Starts every part.
    ///
    /// # Errors
    /// If the fleet file is invalid, or the fleet's or the gossip socket cannot be opened.
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
        // Keeps running during the shutdown: a new configuration may also come then.
        let reload = spawn_local(reload::reload_on_sighup(
            hangup,
            file.to_owned(),
            config,
            discovery_address,
            handle.clone(),
        ));
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

    /// Waits until a task that should never return has ended, which is a bug, and returns an error that names it.
    pub(super) async fn stopped(&mut self) -> anyhow::Error {
        tokio::select! {
            ended = &mut self.core => anyhow!("the core has stopped: {ended:?}"),
            ended = &mut self.discovery => anyhow!("the watch of discovery has stopped: {ended:?}"),
            ended = &mut self.reload => anyhow!("rereading the configuration has stopped: {ended:?}"),
        }
    }
}

/// Starts the task that follows the endpoint list and passes its events to the core.
fn follow_discovery(
    config: &Config, address_changes: watch::Receiver<SocketAddr>, handle: Handle,
) -> JoinHandle<()> {
    let delivery = match config.settings.discovery {
        Discovery::Push => Delivery::Push,
        Discovery::Poll => Delivery::Poll,
    };
    let dialer = ::discovery::Dialer::new();
    let dial = move |addr| dialer.clone().connect(addr).boxed_local();
    let on_event = move |event| handle.publish_watch_event(event);
    let (known, balancers) = (config.known_endpoints.clone(), config.settings.balancers);
    spawn_local(::discovery::follow(address_changes, known, delivery, balancers, dial, on_event))
}
