//! The other balancers of the tier: the socket on which they are told of servers, and heard.
//!
//! [`GossipTransport`] holds the socket and drives `gossip`, which says what to tell and what to believe. It leaves to its owner, the
//! core, the time, the waiting between two turns, and what the decision module makes of what was heard.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

use anyhow::{Context, Result};
use decide::api::{Event, LoadReport, Micros};
use gossip::wire::MAX_BYTES;
use gossip::{Counts, GossipState};
use log_throttle::LogThrottle;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Where balancers reach one another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipAddresses {
    /// Where this one is reached.
    pub listen: SocketAddr,
    /// Each by its number, this one included: they send from these.
    pub each: Vec<SocketAddr>,
    /// One address that reaches every one of them, where there is such.
    pub all: Option<SocketAddr>,
    /// This one's number.
    pub me: usize,
}

/// The socket, and what has been heard on it.
#[derive(Debug)]
pub struct GossipTransport {
    socket: UdpSocket,
    to: Vec<SocketAddr>,
    numbers: FxHashMap<SocketAddr, usize>,
    hearsay: GossipState,
    rng: fastrand::Rng,
    unsent: LogThrottle,
}

impl GossipTransport {
    /// Begins to listen.
    ///
    /// # Errors
    /// When the address is taken or is not this machine's; the error names it.
    pub async fn open(siblings: &GossipAddresses, unix: Micros, seed: u64) -> Result<Self> {
        let socket = UdpSocket::bind(siblings.listen).await;
        let socket = socket.with_context(|| format!("listening on peer_listen {}", siblings.listen))?;
        let others = (0..).zip(&siblings.each).filter(|(n, _)| *n != siblings.me).map(|(_, addr)| *addr);
        Ok(Self {
            socket,
            to: siblings.all.map_or_else(|| others.collect(), |all| vec![all]),
            numbers: siblings.each.iter().copied().zip(0..).collect(),
            hearsay: GossipState::new(siblings.me, siblings.each.len(), unix),
            rng: fastrand::Rng::with_seed(seed),
            unsent: LogThrottle::default(),
        })
    }

    /// Waits for the next datagram. Nothing that comes is an error: a socket that fails stays silent for a while.
    pub async fn next(&self) -> (Vec<u8>, SocketAddr) {
        let mut buffer = [0; MAX_BYTES + 1]; // one more, so that a longer one shows
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((n, from)) => return (buffer[..n].to_vec(), from),
                Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// How long to wait before it tells the others next.
    pub fn pause(&mut self) -> Duration {
        Duration::from_micros(self.hearsay.pause(self.rng.f64()))
    }

    /// Takes in a datagram.
    pub fn take(&mut self, now: Micros, datagram: &[u8], from: SocketAddr) {
        match self.numbers.get(&from) {
            Some(&number) => self.hearsay.hear(now, number, datagram),
            None => self.hearsay.hear_stranger(),
        }
    }

    /// Tells the others of this balancer's part of the load, and yields what all of it together comes to.
    pub fn tell(&mut self, now: Micros, loads: &[LoadReport]) -> Event {
        let turn = self.hearsay.turn(now, loads);
        for to in &self.to {
            // One that does not go out is lost, as others are on their way.
            if let Err(error) = self.socket.try_send_to(&turn.datagram, *to)
                && let Some(more) = self.unsent.line()
            {
                log::warn!("telling {to}: {error}{more}");
            }
        }
        Event::WeightFactors(turn.parts)
    }

    /// What has come of datagrams so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.hearsay.counts()
    }
}
