//! Runs the balancer process: opens its sockets, starts its parts, serves until a signal and shuts down gracefully.

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

/// Serves with the given configuration file until SIGTERM or SIGINT, and then until every accepted request is answered.
///
/// # Errors
/// If the file is invalid, a socket cannot be opened, or a part of the program has stopped.
pub fn serve(file: &Path, fleet: &fleet_thread::Options) -> Result<()> {
    let config = config::read(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, run(config, file, fleet));
    // Does not wait for blocking tasks: one of them may hang on a disk.
    runtime.shutdown_background();
    result
}

async fn run(config: Config, file: &Path, fleet: &fleet_thread::Options) -> Result<()> {
    // Installed first, because the default action of these signals ends the process.
    let Signals { hangup, mut stop } = Signals::install()?;
    let sockets = Sockets::open(&config)?;
    let mut parts = Parts::start(config, file, fleet, sockets, hangup).await?;
    tokio::select! {
        signal = stop.recv() => log::info!("{signal}: shutting down gracefully"),
        // Without one of its parts the process would reject every request and still look alive.
        error = parts.stopped() => return Err(error),
    }
    shutdown::shut_down(parts).await;
    Ok(())
}
