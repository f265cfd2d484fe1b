//! The UDP socket over which the balancers of one tier gossip.
//!
//! [`GossipTransport`] owns the socket and drives [`GossipState`], which creates reports and evaluates received ones.
//! Its owner is the core of the gateway: it provides the time, waits between reports, and applies the weight factors.
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

/// The pause after a failed receive. It keeps a socket that fails repeatedly from causing a busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The addresses at which balancers reach each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipAddresses {
    /// The address at which this balancer receives reports.
    pub listen: SocketAddr,
    /// The address from which each balancer sends, by its number. This balancer is included.
    pub balancers: Vec<SocketAddr>,
    /// The address that reaches all balancers, if there is one.
    pub broadcast: Option<SocketAddr>,
    /// The number of this balancer.
    pub own_number: usize,
}

impl GossipAddresses {
    /// Returns the destinations of reports: the common address if there is one, otherwise each other balancer.
    fn destinations(&self) -> Vec<SocketAddr> {
        if let Some(broadcast) = self.broadcast {
            return vec![broadcast];
        }
        let others = self.balancers.iter().enumerate().filter(|(number, _)| *number != self.own_number);
        others.map(|(_, address)| *address).collect()
    }
}

/// The reason why the transport could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The socket could not be bound to the address: it is in use, or is not an address of this machine.
    #[error("listening on peer_listen {address}: {error}")]
    Bind {
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
}

/// The gossip socket, and the gossip state that it serves.
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
    /// Binds the socket. `unix` is the current Unix time. `seed` determines the jitter between reports.
    ///
    /// # Errors
    /// Returns an error with the address if it is in use or is not an address of this machine.
    pub async fn open(addresses: &GossipAddresses, unix: Micros, seed: u64) -> Result<Self, OpenError> {
        let address = addresses.listen;
        let bound = UdpSocket::bind(address).await;
        let socket = bound.map_err(|error| OpenError::Bind { address, error })?;
        Ok(Self {
            socket,
            destinations: addresses.destinations(),
            numbers: addresses.balancers.iter().copied().zip(0..).collect(),
            state: GossipState::new(addresses.own_number, addresses.balancers.len(), unix),
            rng: fastrand::Rng::with_seed(seed),
            send_errors: LogThrottle::default(),
        })
    }

    /// Receives the next datagram. After an error, waits and then reads the socket again.
    pub async fn receive(&self) -> (Vec<u8>, SocketAddr) {
        let mut buffer = [0; MAX_BYTES + 1]; // one byte more, to detect longer datagrams
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => return (buffer[..length].to_vec(), from),
                Err(_) => tokio::time::sleep(RECEIVE_RETRY_DELAY).await,
            }
        }
    }

    /// Returns the time to wait before the next report.
    pub fn next_interval(&mut self) -> Duration {
        Duration::from_micros(self.state.next_interval(self.rng.f64()))
    }

    /// Handles a datagram that was received from the address `from`.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8], from: SocketAddr) {
        match self.numbers.get(&from) {
            Some(&number) => self.state.handle_datagram(now, number, datagram),
            None => self.state.count_unknown_sender(),
        }
    }

    /// Sends this balancer's loads to the others, and returns the weight factors from all reports.
    pub fn publish(&mut self, now: Micros, loads: &[LoadReport]) -> Event {
        let round = self.state.publish(now, loads);
        for destination in &self.destinations {
            // A report that cannot be sent is not repeated, because the next one follows soon.
            if let Err(error) = self.socket.try_send_to(&round.datagram, *destination)
                && let Some(suppressed) = self.send_errors.admit_line()
            {
                log::warn!("gossip: sending a report to {destination} failed: {error}{suppressed}");
            }
        }
        Event::WeightFactors(round.weight_factors)
    }

    /// The counters of reports and datagrams since the start.
    #[must_use]
    pub fn counters(&self) -> GossipCounters {
        self.state.counters()
    }
}
