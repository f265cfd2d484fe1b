//! Load reports between this balancer and the others, where they are allowed.

use decide::api::{Event, LoadReport, Micros};
use gossip_transport::GossipTransport;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

/// A datagram of another balancer.
#[derive(Debug)]
pub(super) struct Datagram {
    bytes: Vec<u8>,
    from: SocketAddr,
}

/// The connection to the other balancers, once there is one.
#[derive(Default)]
pub(super) struct Gossip {
    transport: Option<GossipTransport>,
}

impl Gossip {
    /// Starts to exchange datagrams.
    pub(super) fn attach(&mut self, transport: GossipTransport) {
        self.transport = Some(transport);
    }

    /// The next datagram; waits for ever without a transport. Cancel safe.
    pub(super) async fn next_datagram(&self) -> Datagram {
        match &self.transport {
            Some(transport) => {
                let (bytes, from) = transport.receive().await;
                Datagram { bytes, from }
            }
            None => pending().await,
        }
    }

    /// Applies a datagram.
    pub(super) fn handle_datagram(&mut self, now: Micros, datagram: &Datagram) {
        if let Some(transport) = &mut self.transport {
            transport.handle_datagram(now, &datagram.bytes, datagram.from);
        }
    }

    /// The delay until the next load report; `None` without a transport.
    pub(super) fn next_publish_delay(&mut self) -> Option<Duration> {
        self.transport.as_mut().map(GossipTransport::next_interval)
    }

    /// Publishes load reports, and returns what the reports of all balancers amount to.
    pub(super) fn publish(&mut self, now: Micros, reports: &[LoadReport]) -> Option<Event> {
        self.transport.as_mut().map(|transport| transport.publish(now, reports))
    }

    /// Logs how many datagrams were exchanged.
    pub(super) fn log_counts(&self) {
        if let Some(transport) = &self.transport {
            log::info!("gossip: since the start {:?}", transport.counters());
        }
    }
}
