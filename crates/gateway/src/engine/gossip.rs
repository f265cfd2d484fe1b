//! Exchanges load reports with the other balancers, if that is allowed.

use decide::api::{Event, LoadReport, Micros};
use gossip_transport::GossipTransport;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

/// A datagram received from another balancer.
#[derive(Debug)]
pub(super) struct Datagram {
    bytes: Vec<u8>,
    from: SocketAddr,
}

/// The exchange of load reports. Inactive until a transport is attached.
#[derive(Default)]
pub(super) struct Gossip {
    transport: Option<GossipTransport>,
}

impl Gossip {
    /// Starts the exchange of datagrams over this transport.
    pub(super) fn attach(&mut self, transport: GossipTransport) {
        self.transport = Some(transport);
    }

    /// Waits for the next datagram; forever without a transport. Cancel safe.
    pub(super) async fn next_datagram(&self) -> Datagram {
        match &self.transport {
            Some(transport) => {
                let (bytes, from) = transport.receive().await;
                Datagram { bytes, from }
            }
            None => pending().await,
        }
    }

    /// Passes a received datagram to the transport.
    pub(super) fn handle_datagram(&mut self, now: Micros, datagram: &Datagram) {
        if let Some(transport) = &mut self.transport {
            transport.handle_datagram(now, &datagram.bytes, datagram.from);
        }
    }

    /// Returns the delay until the next load report, or `None` without a transport.
    pub(super) fn next_publish_delay(&mut self) -> Option<Duration> {
        self.transport.as_mut().map(GossipTransport::next_interval)
    }

    /// Publishes load reports. Returns the event with the combined reports of the balancers, or `None` without a
    /// transport.
    pub(super) fn publish(&mut self, now: Micros, reports: &[LoadReport]) -> Option<Event> {
        self.transport.as_mut().map(|transport| transport.publish(now, reports))
    }

    /// Logs the counters of the transport.
    pub(super) fn log_counts(&self) {
        if let Some(transport) = &self.transport {
            log::info!("gossip: since the start {:?}", transport.counters());
        }
    }
}
