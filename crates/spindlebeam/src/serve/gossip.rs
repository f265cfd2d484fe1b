//! Opens the gossip socket, and retries while the process that is being replaced holds its address.

use anyhow::Result;
use gateway::engine::{Handle, unix_us};
use gateway::setup::Config;
use gossip_transport::{GossipAddresses, GossipTransport};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between attempts to open an address that another process still holds.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Attaches the gossip transport to the core if the configuration allows messages between balancers.
///
/// # Errors
/// If the address cannot be opened, unless another process of this balancer may still hold it.
pub(super) async fn start(config: &Config, handle: &Handle) -> Result<()> {
    let Some(addresses) = config.gossip.clone() else { return Ok(()) };
    match GossipTransport::open(&addresses, unix_us(), config.seed).await {
        Ok(transport) => handle.attach_gossip(transport),
        // With an inherited socket the previous process may still run, and holds the address until it ends.
        Err(error) if config.inherited_descriptor.is_some() => {
            log::info!("gossip: {error:#}; retrying until the address is free");
            tokio::task::spawn_local(attach_when_free(addresses, config.seed, handle.clone()));
        }
        Err(error) => return Err(error.into()),
    }
    Ok(())
}

async fn attach_when_free(addresses: GossipAddresses, seed: u64, handle: Handle) {
    let transport = loop {
        sleep(RETRY_INTERVAL).await;
        if let Ok(transport) = GossipTransport::open(&addresses, unix_us(), seed).await {
            break transport;
        }
    };
    log::info!("gossip: started");
    handle.attach_gossip(transport);
}
