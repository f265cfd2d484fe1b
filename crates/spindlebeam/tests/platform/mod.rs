//! A scripted platform: cache nodes, an origin and discovery that follow the test, and a balancer process between them.
//!
//! Tests wait for events instead of sleeping; `WAIT_TIMEOUT` only ends a test that would wait for ever.
#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "shared by several test programs, each of which uses a part"
)]

mod client;
mod discovery;
mod peer;
mod process;
pub mod sockets;

pub use client::*;
pub use discovery::*;
pub use peer::*;
pub use process::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use upstream::connection::REST_PERIOD;

/// Timeout of every wait for an event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks of a condition: many tests wait at a time, and a check may cost more CPU than a turn of the
/// program.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the condition holds.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "the condition did not hold within {WAIT_TIMEOUT:?}");
        thread::park_timeout(POLL_INTERVAL);
    }
}

/// Waits until the connections on which responses were read before this call may be used again.
pub fn wait_until_rested() {
    let started_at = Instant::now();
    wait_until(|| started_at.elapsed() > REST_PERIOD);
}

/// A balancer process with its cache nodes, origin and discovery.
pub struct Platform {
    pub config: Value,
    pub peers: Vec<Peer>,
    pub origin: Peer,
    pub discovery: Discovery,
    pub watch: TcpStream,
    pub balancer: Balancer,
}

impl Platform {
    /// Starts a balancer with this number of cache nodes.
    pub fn start(peers: usize) -> Self {
        Self::with_limits(peers, 192, 1024, 1024)
    }
    /// Starts a balancer with an admin endpoint.
    pub fn with_admin_endpoint(peers: usize) -> Self {
        Self::with_config(peers, 1024, |config| config["operator"] = "127.0.0.1:0".into())
    }
    /// Reads a metric from the admin endpoint.
    pub fn metric(&self, name: &str) -> u64 {
        let (status, text) = call(self.balancer.admin_addr.unwrap(), "GET", "/metrics", "");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("balancer.{name}:")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).split('|').next().unwrap().parse().unwrap()
    }
    /// Starts a balancer with these limits in its configuration; `descriptors` is the limit that the system enforces.
    pub fn with_limits(peers: usize, memory_mb: u64, sockets: u64, descriptors: u32) -> Self {
        Self::with_config(peers, descriptors, |config| {
            config["limits"] = json!({"memory_mb": memory_mb, "sockets": sockets});
        })
    }
    /// Starts a balancer whose configuration `edit` changes; `descriptors` is the limit that the system enforces.
    pub fn with_config(peers: usize, descriptors: u32, edit: impl FnOnce(&mut Value)) -> Self {
        let peers = (0..peers).map(|_| Peer::start(false)).collect();
        Self::with_servers(peers, Peer::start(true), descriptors, edit)
    }
    /// Starts a balancer with the listening socket of `env`, so that further processes can share it.
    pub fn with_inherited_socket(env: &ProcessEnv, edit: impl FnOnce(&mut Value)) -> Self {
        Self::start_in(env, vec![Peer::start(false)], Peer::start(true), 1024, edit)
    }
    /// Starts a balancer with these cache nodes and this origin.
    pub fn with_servers(
        peers: Vec<Peer>, origin: Peer, descriptors: u32, edit: impl FnOnce(&mut Value),
    ) -> Self {
        Self::start_in(&ProcessEnv::without_socket(), peers, origin, descriptors, edit)
    }
    fn start_in(
        env: &ProcessEnv, peers: Vec<Peer>, origin: Peer, descriptors: u32, edit: impl FnOnce(&mut Value),
    ) -> Self {
        let mut members = vec![member("origin", origin.addr, "ready")];
        members
            .extend(peers.iter().enumerate().map(|(i, peer)| member(&format!("s-{i}"), peer.addr, "ready")));
        let discovery = Discovery::start(list(1, true, &members));
        let mut config = config(discovery.addr, 1024, Value::Null);
        edit(&mut config);
        let balancer = Balancer::from_child(env, env.spawn(&config.to_string(), descriptors), &config);
        let watch = discovery.next_watch();
        balancer.wait_for_log("ready");
        assert!(
            peers.iter().chain([&origin]).all(Peer::wait_for_connection),
            "a connection to each server is opened before the first request"
        );
        Self { config, peers, origin, discovery, watch, balancer }
    }
    /// Occupies all connection slots with clients that wait for the one fetch of their key, which hangs as long as the
    /// returned request at the origin is kept.
    pub fn take_all_slots(&self, slots: usize) -> (Vec<Client>, PeerRequest) {
        let busy_client = || {
            let mut client = self.balancer.client();
            client.get("leer", "1");
            self.peers[0].next_request().respond_miss();
            client
        };
        let busy = (0..slots).map(|_| busy_client()).collect();
        (busy, self.origin.next_request())
    }
    /// Finds a key that is first sent to this cache node by trying keys; every attempt is answered. One connection to
    /// each cache node that was tried is idle afterwards, and may be used again.
    pub fn key_of(&self, peer: usize) -> String {
        let mut client = self.balancer.client();
        (1..)
            .map(|n: u64| format!("{n:x}"))
            .find(|key| {
                client.get("leer", key);
                let (found, request) = next_request_of_any(&self.peers);
                request.respond_value("x");
                let is_found = client.read_answer() == "x" && found == peer;
                wait_until_rested();
                is_found
            })
            .unwrap()
    }
}
