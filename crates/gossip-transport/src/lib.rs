//! The UDP socket over which the balancers of one tier gossip.
//!
//! [`GossipTransport`] holds the socket and drives [`GossipState`], which creates the reports and evaluates those
//! received. It leaves to its owner, the gateway's core, the time, the waiting between two reports, and the weight
//! factors that follow.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

use decide::api::{Event, LoadReport, Micros};
use gossip::wire::MAX_BYTES;
use gossip::{GossipCounters, GossipState};
use log_throttle::LogThrottle;
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;

/// The pause after a failed receive, so that a socket that keeps failing costs no time.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Where balancers reach each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipAddresses {
    /// Where this balancer is reached.
    pub listen: SocketAddr,
    /// The address that each balancer sends from, by its number, this one included.
    pub each: Vec<SocketAddr>,
    /// One address that reaches all of them, where there is one.
    pub all: Option<SocketAddr>,
    /// The number of this balancer.
    pub me: usize,
}

impl GossipAddresses {
    /// Where reports are sent: to the common address, or else to each other balancer.
    fn destinations(&self) -> Vec<SocketAddr> {
        if let Some(all) = self.all {
            return vec![all];
        }
        let others = self.each.iter().enumerate().filter(|(number, _)| *number != self.me);
        others.map(|(_, address)| *address).collect()
    }
}

/// Why the transport could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The address is taken, or is not one of this machine.
    #[error("listening on peer_listen {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        error: io::Error,
    },
}

/// The socket, and the state of gossip over it.
#[derive(Debug)]
pub struct GossipTransport {
    socket: UdpSocket,
    destinations: Vec<SocketAddr>,
    numbers: FxHashMap<SocketAddr, usize>,
    state: GossipState,
    rng: fastrand::Rng,
    send_errors: LogThrottle,
}

impl GossipTransport {
    /// Binds the socket. `unix` is the time now, `seed` that of the jitter between reports.
    ///
    /// # Errors
    /// When the address is taken or is not one of this machine; the error names it.
    pub async fn open(addresses: &GossipAddresses, unix: Micros, seed: u64) -> Result<Self, OpenError> {
        let address = addresses.listen;
        let bound = UdpSocket::bind(address).await;
        let socket = bound.map_err(|error| OpenError::Bind { address, error })?;
        Ok(Self {
            socket,
            destinations: addresses.destinations(),
            numbers: addresses.each.iter().copied().zip(0..).collect(),
            state: GossipState::new(addresses.me, addresses.each.len(), unix),
            rng: fastrand::Rng::with_seed(seed),
            send_errors: LogThrottle::default(),
        })
    }

    /// Receives the next datagram. Errors are not returned: after one the socket is read again later.
    pub async fn receive(&self) -> (Vec<u8>, SocketAddr) {
        let mut buffer = [0; MAX_BYTES + 1]; // one byte more, so that a longer datagram is detected
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => return (buffer[..length].to_vec(), from),
                Err(_) => tokio::time::sleep(RECEIVE_RETRY_DELAY).await,
            }
        }
    }

    /// How long to wait before the next report.
    pub fn next_interval(&mut self) -> Duration {
        Duration::from_micros(self.state.next_interval(self.rng.f64()))
    }

    /// Handles a datagram that was received from an address.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8], from: SocketAddr) {
        match self.numbers.get(&from) {
            Some(&number) => self.state.handle_datagram(now, number, datagram),
            None => self.state.count_unknown_sender(),
        }
    }

    /// Publishes this balancer's loads, and returns the weight factors that follow from all reports.
    pub fn publish(&mut self, now: Micros, loads: &[LoadReport]) -> Event {
        let turn = self.state.publish(now, loads);
        for destination in &self.destinations {
            // A report that cannot be sent is lost; the next one follows soon.
            if let Err(error) = self.socket.try_send_to(&turn.datagram, *destination)
                && let Some(suppressed) = self.send_errors.admit_line()
            {
                log::warn!("gossip: sending a report to {destination} failed: {error}{suppressed}");
            }
        }
        Event::WeightFactors(turn.weight_factors)
    }

    /// The counters of reports and datagrams since the start.
    #[must_use]
    pub fn counters(&self) -> GossipCounters {
        self.state.counters()
    }
}
