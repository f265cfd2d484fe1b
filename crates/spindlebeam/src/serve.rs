//! The life of the balancer process: open its sockets, start its parts, serve until a signal, shut down gracefully.

mod gossip;
mod parts;
mod serving_file;
mod shutdown;
mod signals;
mod sockets;

use crate::config;
use crate::fleet_thread;
use anyhow::Result;
use gateway::setup::Config;
use parts::Parts;
use signals::Signals;
use sockets::Sockets;
use std::path::Path;
use tokio::task::LocalSet;

/// Serves as the configuration file says until SIGTERM or SIGINT, and then until every accepted request is answered.
///
/// # Errors
/// When the file cannot be used, a socket cannot be opened, or a part of the program has stopped.
pub fn serve(file: &Path, fleet: &fleet_thread::Options) -> Result<()> {
    let config = config::read(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, run(config, file, fleet));
    // Does not wait for blocking tasks: one of them may hang on a disk.
    runtime.shutdown_background();
    result
}

async fn run(config: Config, file: &Path, fleet: &fleet_thread::Options) -> Result<()> {
    // Before anything else: the default action of these signals would end the process.
    let Signals { hangup, mut stop } = Signals::install()?;
    let sockets = Sockets::open(&config)?;
    let mut parts = Parts::start(config, file, fleet, sockets, hangup).await?;
    tokio::select! {
        signal = stop.recv() => log::info!("{signal}: shutting down gracefully"),
        // Without one of them the process would reject everything and still look alive.
        error = parts.stopped() => return Err(error),
    }
    shutdown::shut_down(parts).await;
    Ok(())
}
