//! The UDP relay between balancers. It has one socket per balancer, whose address the other balancers know as that
//! balancer's address.
//!
//! A datagram that reaches the socket of *b* from the real address of *a* is forwarded to the real address of *b* from
//! the socket of *a*, so that both balancers see only relay addresses.

use super::faults::{Counts, Direction, Faults};
use crate::SPREAD_MULTIPLIER;
use crate::runtime::any_port;
use bytes::Bytes;
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// The maximum number of delayed datagrams over all links. Datagrams beyond it are dropped.
const MAX_DELAYED_DATAGRAMS: usize = 100_000;

/// The addresses of the balancers and the links between them.
#[derive(Debug)]
struct Table {
    seed: u64,
    real_addresses: Vec<Option<SocketAddr>>,
    numbers: FxHashMap<SocketAddr, usize>,
    links: FxHashMap<(usize, usize), Direction>,
    unregistered_senders: u64,
}

impl Table {
    fn link(&mut self, from: usize, to: usize) -> &mut Direction {
        let seed = self.seed ^ ((from as u64) << 32 | to as u64).wrapping_mul(SPREAD_MULTIPLIER);
        self.links.entry((from, to)).or_insert_with(|| Direction::new(seed))
    }
}

#[derive(Debug)]
struct Shared {
    sockets: Vec<UdpSocket>,
    table: Mutex<Table>,
    delayed_datagrams: AtomicUsize,
}

/// A handle to the relay. The tasks of the relay end with the runtime.
#[derive(Debug, Clone)]
pub struct UdpRelay(Arc<Shared>, Handle);

impl UdpRelay {
    /// Starts a relay between this many balancers.
    ///
    /// # Errors
    /// Returns the system's error if no socket can be bound.
    pub fn start(handle: &Handle, balancers: usize, seed: u64) -> io::Result<Self> {
        let bind = || {
            let _entered = handle.enter();
            let socket = std::net::UdpSocket::bind(any_port())?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let sockets = (0..balancers).map(|_| bind()).collect::<io::Result<_>>()?;
        let (numbers, links) = (FxHashMap::default(), FxHashMap::default());
        let table =
            Table { seed, real_addresses: vec![None; balancers], numbers, links, unregistered_senders: 0 };
        let shared =
            Arc::new(Shared { sockets, table: Mutex::new(table), delayed_datagrams: AtomicUsize::new(0) });
        let relay = Self(shared, handle.clone());
        (0..balancers).for_each(|number| {
            handle.spawn(relay.clone().serve(number));
        });
        Ok(relay)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address by which the other balancers know a balancer.
    ///
    /// # Errors
    /// Returns the system's error if the address is not available.
    pub fn address(&self, number: usize) -> io::Result<SocketAddr> {
        self.0.sockets[number].local_addr()
    }
    /// Sets the real address of a balancer. Must be called after each start of the balancer.
    pub fn register(&self, number: usize, real_address: SocketAddr) {
        let mut table = self.table();
        if let Some(old) = table.real_addresses[number].replace(real_address) {
            table.numbers.remove(&old);
        }
        table.numbers.insert(real_address, number);
    }
    /// Sets the faults of one direction.
    pub fn set_faults(&self, from: usize, to: usize, faults: Faults) {
        let datagrams = self.table().link(from, to).set_faults(faults);
        self.send(from, to, datagrams);
    }
    /// Updates the faults of all directions from one set of balancers to another set.
    pub fn update_faults(&self, from: &[usize], to: &[usize], change: impl Fn(&mut Faults)) {
        for (from, to) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            let mut faults = self.table().link(from, to).faults();
            change(&mut faults);
            self.set_faults(from, to, faults);
        }
    }
    /// Partitions two sets of balancers, in both directions.
    pub fn cut(&self, one: &[usize], other: &[usize]) {
        self.update_faults(one, other, |faults| faults.cut = true);
        self.update_faults(other, one, |faults| faults.cut = true);
    }
    /// Removes all faults and sends the datagrams that were buffered in a stall.
    pub fn heal(&self) {
        let links: Vec<_> = self.table().links.keys().copied().collect();
        links.into_iter().for_each(|(from, to)| self.set_faults(from, to, Faults::default()));
    }
    /// Returns the traffic counters of one direction.
    #[must_use]
    pub fn counts(&self, from: usize, to: usize) -> Counts {
        self.table().link(from, to).counts()
    }
    /// Returns the number of datagrams received from unregistered addresses, which are dropped.
    #[must_use]
    pub fn unregistered_senders(&self) -> u64 {
        self.table().unregistered_senders
    }

    async fn serve(self, to: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was refused. A network would not report it.
            let Ok((length, sender)) = self.0.sockets[to].recv_from(&mut buffer).await else { continue };
            let (from, datagrams) = {
                let mut table = self.table();
                let Some(from) = table.numbers.get(&sender).copied() else {
                    table.unregistered_senders += 1;
                    continue;
                };
                (from, table.link(from, to).forward(Bytes::copy_from_slice(&buffer[..length])))
            };
            self.send(from, to, datagrams);
        }
    }

    fn send(&self, from: usize, to: usize, datagrams: Vec<(Duration, Bytes)>) {
        for (delay, datagram) in datagrams {
            if delay.is_zero() {
                self.deliver(from, to, &datagram);
            } else if self.0.delayed_datagrams.fetch_add(1, Ordering::Relaxed) < MAX_DELAYED_DATAGRAMS {
                let relay = self.clone();
                self.1.spawn(async move {
                    tokio::time::sleep(delay).await;
                    relay.0.delayed_datagrams.fetch_sub(1, Ordering::Relaxed);
                    relay.deliver(from, to, &datagram);
                });
            } else {
                self.0.delayed_datagrams.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn deliver(&self, from: usize, to: usize, datagram: &[u8]) {
        let real_address = self.table().real_addresses[to];
        if let Some(real_address) = real_address {
            // A datagram that cannot be sent is lost, as on a network.
            let _ = self.0.sockets[from].try_send_to(datagram, real_address);
        }
    }
}
