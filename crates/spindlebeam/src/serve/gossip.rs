//! Opens the gossip socket, also where the process that is being replaced still holds its address.

use anyhow::Result;
use gateway::engine::{Handle, unix_us};
use gateway::setup::Config;
use gossip_transport::{GossipAddresses, GossipTransport};
use std::time::Duration;
use tokio::time::sleep;

/// The pause between two attempts to open an address that another process still holds.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Attaches the gossip transport to the core, where the configuration allows messages between balancers.
///
/// # Errors
/// When the address cannot be opened, and no other process of this balancer can be the one that holds it.
pub(super) async fn start(config: &Config, handle: &Handle) -> Result<()> {
    let Some(addresses) = config.gossip.clone() else { return Ok(()) };
    match GossipTransport::open(&addresses, unix_us(), config.seed).await {
        Ok(transport) => handle.attach_gossip(transport),
        // With an inherited socket the process before may still run, and holds the address until it ends.
        Err(error) if config.inherited_descriptor.is_some() => {
            log::info!("gossip: {error:#}; retrying until the address is free");
            tokio::task::spawn_local(open_later(addresses, config.seed, handle.clone()));
        }
        Err(error) => return Err(error.into()),
    }
    Ok(())
}

async fn open_later(addresses: GossipAddresses, seed: u64, handle: Handle) {
    let transport = loop {
        sleep(RETRY_INTERVAL).await;
        if let Ok(transport) = GossipTransport::open(&addresses, unix_us(), seed).await {
            break transport;
        }
    };
    log::info!("gossip: started");
    handle.attach_gossip(transport);
}
