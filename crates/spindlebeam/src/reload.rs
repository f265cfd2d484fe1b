//! Rereads the configuration file on SIGHUP, and applies the changes that need no restart.

use crate::config;
use anyhow::Result;
use gateway::engine::Handle;
use gateway::fleet_link::{ChangeCheckError, ChangeKind};
use gateway::setup::Config;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Interval between retries of a move of discovery that the fleet's calendar holds.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Rereads the file on each SIGHUP, and moves the discovery watch to the address in it.
///
/// While the fleet's calendar holds planned changes, the move waits; of several waiting files the newest is applied. An
/// invalid file is logged and changes nothing. Never returns.
pub async fn reload_on_sighup(
    mut hangup: Signal, file: PathBuf, running: Config, discovery: watch::Sender<SocketAddr>, handle: Handle,
) {
    let mut reloader = Reloader { file, running, pending: None, discovery, handle };
    loop {
        tokio::select! {
            signal = hangup.recv() => match signal {
                Some(()) => reloader.reload().await,
                None => std::future::pending().await, // no further signal can come; the program keeps serving
            },
            () = sleep(RETRY_INTERVAL), if reloader.pending.is_some() => reloader.retry_pending().await,
        }
    }
}

struct Reloader {
    file: PathBuf,
    /// The configuration in use.
    running: Config,
    /// The newest configuration, while the fleet's calendar holds its move of discovery.
    pending: Option<Config>,
    /// Sends the address of discovery to the task that follows it.
    discovery: watch::Sender<SocketAddr>,
    handle: Handle,
}

impl Reloader {
    async fn reload(&mut self) {
        let new = match read_file(&self.file).await {
            Ok(new) => new,
            Err(error) => {
                log::error!("SIGHUP: {error:#}; the configuration in use stays");
                self.handle.count_reload(false);
                return;
            }
        };
        log_restart_needed(&self.running, &new);
        match self.check_move(&new).await {
            Ok(()) => {
                self.pending = None;
                self.apply(&new);
            }
            Err(reason) => {
                log::warn!("SIGHUP: discovery is held: {reason}");
                self.pending = Some(new);
            }
        }
        self.handle.count_reload(true);
    }

    async fn check_move(&self, new: &Config) -> Result<(), ChangeCheckError> {
        let moves = new.discovery != *self.discovery.borrow();
        if moves { self.handle.check_change(ChangeKind::Discovery).await } else { Ok(()) }
    }

    async fn retry_pending(&mut self) {
        let Some(new) = self.pending.take() else { return };
        match self.handle.check_change(ChangeKind::Discovery).await {
            Ok(()) => self.apply(&new),
            Err(_) => self.pending = Some(new),
        }
    }

    fn apply(&mut self, new: &Config) {
        // An unchanged address keeps the open watch.
        let moved =
            self.discovery.send_if_modified(|addr| std::mem::replace(addr, new.discovery) != new.discovery);
        self.running.discovery = new.discovery;
        match moved {
            true => log::info!("SIGHUP: discovery is now at {}", new.discovery),
            false => log::info!("SIGHUP: discovery stays at {}", new.discovery),
        }
    }
}

/// Reads the file on a blocking thread, since the disk may hang for seconds.
async fn read_file(file: &Path) -> Result<Config> {
    let file = file.to_owned();
    spawn_blocking(move || config::read(&file)).await.unwrap_or_else(|error| Err(error.into()))
}

/// Logs the changed fields that take effect only after a restart.
fn log_restart_needed(running: &Config, new: &Config) {
    let fields = fields_that_need_restart(running, new);
    if !fields.is_empty() {
        log::warn!("SIGHUP: {} changed in the file; in use after a restart", fields.join(", "));
    }
}

/// Returns the changed fields that take effect only after a restart. The seed and the known list are left out, since
/// they matter only at the start.
fn fields_that_need_restart(running: &Config, new: &Config) -> Vec<&'static str> {
    let fields = [
        ("name", running.name != new.name),
        ("listen", running.listen_address != new.listen_address),
        ("operator", running.admin_address != new.admin_address),
        ("peers, peers_all or peer_listen", running.gossip != new.gossip),
        ("limits", running.bounds != new.bounds),
        ("settings", running.settings != new.settings || running.names != new.names),
    ];
    fields.into_iter().filter_map(|(field, differs)| differs.then_some(field)).collect()
}
