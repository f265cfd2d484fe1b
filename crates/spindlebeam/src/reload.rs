//! A new configuration while the program runs: SIGHUP, and what of the new file can be taken over.

use crate::config;
use anyhow::Result;
use gateway::engine::Handle;
use gateway::fleet_link::ChangeKind;
use gateway::setup::Config;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// How often it is asked again whether discovery may be moved, where the fleet holds that.
const HELD_AGAIN: Duration = Duration::from_secs(1);

/// Rereads the file at each signal, for ever, and moves the watch of discovery where the new one says.
///
/// Where the fleet's calendar holds planned changes, the move waits: the newest file wins.
/// Nothing here ends the program or touches a client: a file that cannot be used is logged and changes nothing.
pub async fn follow(
    mut hangup: Signal, file: PathBuf, mut running: Config, discovery: watch::Sender<SocketAddr>,
    handle: Handle,
) {
    let mut held: Option<Config> = None;
    loop {
        let new = tokio::select! {
            signal = hangup.recv() => match read_at(signal, &file).await {
                Some(Ok(new)) => {
                    say_what_waits(&new, &running);
                    new
                }
                Some(Err(error)) => {
                    log::error!("SIGHUP: {error:#}; the configuration in use stays");
                    handle.count_reload(false);
                    continue;
                }
                None => std::future::pending().await, // signals can no longer come; the program serves on
            },
            () = sleep(HELD_AGAIN), if held.is_some() => match held.take() {
                Some(new) => {
                    if handle.check_change(ChangeKind::Discovery).await.is_err() {
                        held = Some(new);
                    } else {
                        apply(&new, &mut running, &discovery);
                    }
                    continue;
                }
                None => continue,
            },
        };
        let moves = new.discovery != *discovery.borrow();
        let may = if moves { handle.check_change(ChangeKind::Discovery).await } else { Ok(()) };
        held = match may {
            Ok(()) => {
                apply(&new, &mut running, &discovery);
                None
            }
            Err(why) => {
                log::warn!("SIGHUP: discovery is held: {why}");
                Some(new)
            }
        };
        handle.count_reload(true);
    }
}

/// Reads the file at a signal, on a thread of its own: the disk may stand still for seconds, and a file as it is then is due as
/// soon as it moves.
async fn read_at(signal: Option<()>, file: &Path) -> Option<Result<Config>> {
    signal?;
    let file = file.to_owned();
    Some(spawn_blocking(move || config::read(&file)).await.unwrap_or_else(|error| Err(error.into())))
}

/// Says what the file changes that a running program cannot.
fn say_what_waits(new: &Config, running: &Config) {
    let later = needs_restart(running, new);
    if !later.is_empty() {
        log::warn!("SIGHUP: {} changed in the file; in use after a restart", later.join(", "));
    }
}

fn apply(new: &Config, running: &mut Config, discovery: &watch::Sender<SocketAddr>) {
    // The address stays the same where only other things changed: its watch is sound and goes on.
    let moved = discovery.send_if_modified(|addr| std::mem::replace(addr, new.discovery) != new.discovery);
    running.discovery = new.discovery;
    match moved {
        true => log::info!("SIGHUP: discovery is now at {}", new.discovery),
        false => log::info!("SIGHUP: discovery stays at {}", new.discovery),
    }
}

/// What differs and cannot be changed in a running program. The seed and the list known before speak of starts.
fn needs_restart(old: &Config, new: &Config) -> Vec<&'static str> {
    let differs = [
        ("name", old.name != new.name),
        ("listen", old.listen != new.listen),
        ("operator", old.operator != new.operator),
        ("peers, peers_all or peer_listen", old.gossip != new.gossip),
        ("limits", old.bounds != new.bounds),
        ("settings", old.settings != new.settings || old.names != new.names),
    ];
    differs.into_iter().filter_map(|(what, differs)| differs.then_some(what)).collect()
}
