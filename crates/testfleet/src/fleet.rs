//! A running fleet: the balancer processes and the stand-ins and relays around them.

use crate::cache_node::{Attempt, CacheNode};
use crate::clients::{Class, Clients, Load};
use crate::config;
use crate::discovery::{DiscoveryAgent, EndpointNotification, Phase};
use crate::event_log::EventLog;
use crate::folder::Folder;
use crate::origin::Origin;
use crate::process::{Disk, Process};
use crate::referee::{Evidence, Interruption, Verdict, check_evidence};
use crate::relay::{TcpLink, UdpRelay};
use crate::runtime::Runtime;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A balancer with its relayed links and its discovery agent.
#[derive(Debug)]
pub struct Balancer {
    /// The balancer process.
    pub process: Process,
    /// The discovery agent.
    pub agent: DiscoveryAgent,
    /// The link from clients to the balancer.
    pub from_clients: TcpLink,
    /// The links to each cache node.
    pub to_cache_nodes: Vec<TcpLink>,
    /// The link to the origin.
    pub to_origin: TcpLink,
    /// The address on which the balancer itself accepts clients, without a relay.
    pub client_addr: SocketAddr,
    /// The address of the admin endpoint, without a relay.
    pub admin_addr: SocketAddr,
    /// The configuration with which the balancer is started, restarted and reloaded.
    pub config: Value,
}

/// A running fleet. On drop, its processes are killed, its sockets closed and its files removed; the files are kept if
/// the thread is panicking.
#[derive(Debug)]
pub struct Fleet {
    // Fields are in drop order: the processes first, the runtime after everything that uses it, the folder last.
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) clients: Clients,
    pub(crate) cache_nodes: Vec<CacheNode>,
    pub(crate) origin: Origin,
    pub(crate) udp_relay: UdpRelay,
    pub(crate) attempts: EventLog<Attempt>,
    pub(crate) notifications: EventLog<EndpointNotification>,
    pub(crate) interruptions: Vec<Interruption>,
    pub(crate) in_fleet: bool,
    pub(crate) with_peers: bool,
    pub(crate) seed: u64,
    pub(crate) runtime: Runtime,
    pub(crate) folder: Folder,
}

impl Fleet {
    /// Returns the seed of all random draws.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }
    /// Returns the folder of the fleet's files.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
    /// Returns the runtime of the stand-ins.
    #[must_use]
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }
    /// Returns a balancer by number.
    #[must_use]
    pub fn balancer(&self, number: usize) -> &Balancer {
        &self.balancers[number]
    }
    /// Returns a balancer mutably, to change how it is started.
    pub fn balancer_mut(&mut self, number: usize) -> &mut Balancer {
        &mut self.balancers[number]
    }
    /// Returns a cache node by number.
    #[must_use]
    pub fn cache_node(&self, number: usize) -> &CacheNode {
        &self.cache_nodes[number]
    }
    /// Returns the origin.
    #[must_use]
    pub fn origin(&self) -> &Origin {
        &self.origin
    }
    /// Returns the load generator.
    #[must_use]
    pub fn clients(&self) -> &Clients {
        &self.clients
    }
    /// Returns the UDP relay between the balancers.
    #[must_use]
    pub fn udp_relay(&self) -> &UdpRelay {
        &self.udp_relay
    }
    /// Returns the log of attempts at cache nodes.
    #[must_use]
    pub fn attempts(&self) -> &EventLog<Attempt> {
        &self.attempts
    }
    /// Returns the log of phases written to balancers.
    #[must_use]
    pub fn notifications(&self) -> &EventLog<EndpointNotification> {
        &self.notifications
    }

    /// Returns a load on all balancers with these request classes, this rate and this total number of requests.
    #[must_use]
    pub fn load(&self, classes: &[&str], per_second: f64, requests: usize) -> Load {
        let class = |name: &&str| Class { name: (*name).to_owned(), write: *name != "read" };
        Load {
            per_second,
            requests,
            balancers: (0..self.balancers.len()).collect(),
            classes: classes.iter().map(class).collect(),
            tenants: config::TENANTS.map(str::to_owned).into(),
            keys: 200,
            deadline: Duration::from_millis(config::DEADLINE_MS),
            seed: self.seed,
        }
    }

    /// Changes the phase of a cache node at all discovery agents.
    pub fn set_phase(&self, node: usize, phase: Phase) {
        self.balancers.iter().for_each(|it| it.agent.set_phase(self.cache_nodes[node].name(), phase));
    }
    /// Changes the phase of a range of cache nodes at all discovery agents: a balancer receives all changes in the same
    /// list or watch event.
    pub fn set_phases(&self, cache_nodes: std::ops::Range<usize>, phase: Phase) {
        let names: Vec<&str> = self.cache_nodes[cache_nodes].iter().map(CacheNode::name).collect();
        self.balancers.iter().for_each(|it| it.agent.set_phases(&names, phase));
    }
    /// Waits until a phase of a cache node has been written to a balancer, and returns the time at which it was
    /// written.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn await_notification(&self, balancer: usize, node: usize, phase: Phase) -> Instant {
        let matches = |it: &EndpointNotification| {
            it.balancer == balancer && it.endpoint == self.cache_nodes[node].name() && it.phase == phase
        };
        self.notifications
            .wait(&format!("n{balancer} is notified that cache node {node} is {phase:?}"), |entries| {
                entries.iter().find(|it| matches(it)).map(|it| it.at)
            })
    }

    /// Records that a balancer is being killed or stopped.
    fn record_interruption(&mut self, balancer: usize, killed: bool, from: Instant) {
        self.interruptions.push(Interruption { balancer, killed, from, until: None, restarted: None });
    }
    /// Records the end of the last interruption of a balancer by a kill or by a stop.
    fn mark_resumed(&mut self, balancer: usize, killed: bool) {
        let interruption =
            self.interruptions.iter_mut().rfind(|it| it.balancer == balancer && it.killed == killed);
        if let Some(it) = interruption {
            it.until.get_or_insert_with(Instant::now);
        }
    }
    /// Kills the process if it is running and records that its successor starts now. Data written before this time went
    /// to the old process.
    fn mark_restarted(&mut self, balancer: usize) {
        let _ = self.balancers[balancer].process.kill();
        let interruption = self.interruptions.iter_mut().rfind(|it| it.balancer == balancer && it.killed);
        if let Some(it) = interruption {
            it.restarted.get_or_insert_with(Instant::now);
        }
    }
    /// Kills a balancer with SIGKILL.
    ///
    /// # Errors
    /// Returns the system's error if the process cannot be killed or reaped.
    pub fn kill(&mut self, number: usize) -> io::Result<()> {
        self.record_interruption(number, true, Instant::now());
        self.balancers[number].process.kill()
    }
    /// Kills a balancer if it is running, restarts it and waits until it is ready.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be written or the program cannot be started.
    pub fn restart(&mut self, number: usize, disk: Disk) -> io::Result<()> {
        let config = self.balancers[number].config.clone();
        self.restart_with(number, disk, &config)
    }
    /// Kills a balancer if it is running, restarts it with a known list in its configuration, such as an old
    /// [`DiscoveryAgent::list`], and waits until it is ready.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be written or the program cannot be started.
    pub fn restart_with_known_list(&mut self, number: usize, disk: Disk, list: Value) -> io::Result<()> {
        let mut config = self.balancers[number].config.clone();
        config["known"] = list;
        self.restart_with(number, disk, &config)
    }
    /// Restarts a balancer with a configuration, records the interruption and waits until the balancer is ready.
    fn restart_with(&mut self, number: usize, disk: Disk, config: &Value) -> io::Result<()> {
        let already_killed =
            self.interruptions.iter().any(|it| it.balancer == number && it.killed && it.until.is_none());
        if !already_killed {
            self.record_interruption(number, true, Instant::now());
        }
        self.mark_restarted(number);
        self.balancers[number].process.restart(disk, config)?;
        self.await_listening(number);
        self.await_ready(number);
        self.mark_resumed(number, true);
        Ok(())
    }
    /// Restarts killed balancers and waits until all are ready. All are started before the first wait, because they may
    /// need each other to become ready.
    ///
    /// # Errors
    /// Returns the system's error if a folder cannot be written or the program cannot be started.
    pub fn restart_all(&mut self, numbers: &[usize], disk: Disk) -> io::Result<()> {
        for number in numbers {
            let config = self.balancers[*number].config.clone();
            self.mark_restarted(*number);
            self.balancers[*number].process.restart(disk, &config)?;
        }
        numbers.iter().for_each(|number| self.await_listening(*number));
        for number in numbers {
            self.await_ready(*number);
            self.mark_resumed(*number, true);
        }
        Ok(())
    }
    /// Stops a balancer with SIGSTOP.
    ///
    /// # Errors
    /// Returns an error if the process was reaped or the signal cannot be sent.
    pub fn pause(&mut self, number: usize) -> io::Result<()> {
        self.record_interruption(number, false, Instant::now());
        self.balancers[number].process.pause()
    }
    /// Continues a stopped balancer with SIGCONT.
    ///
    /// # Errors
    /// Returns an error if the process was reaped or the signal cannot be sent.
    pub fn resume(&mut self, number: usize) -> io::Result<()> {
        self.balancers[number].process.resume()?;
        self.mark_resumed(number, false);
        Ok(())
    }

    /// Waits until a started balancer listens, and points the relays at its addresses.
    pub(crate) fn await_listening(&mut self, number: usize) {
        let balancer = &mut self.balancers[number];
        let address = balancer.process.find_address(&format!("n{number}: listening on "));
        balancer.admin_addr = balancer.process.find_address("admin endpoint on ");
        balancer.client_addr = address;
        balancer.from_clients.set_target(address);
        if self.in_fleet {
            // Registered before waiting for any balancer to be ready: a balancer needs a lease to be ready, and the
            // other balancers to get a lease.
            self.udp_relay.register(number, balancer.process.find_address("fleet: listening on "));
        }
    }
    /// Waits until a balancer is ready.
    pub(crate) fn await_ready(&mut self, number: usize) {
        let balancer = &mut self.balancers[number];
        balancer.process.next_line(|line| line.ends_with(" ready"));
        if !self.in_fleet
            && self.with_peers
            && let Some(real_address) = crate::proc_stats::udp_addresses(balancer.process.id()).first()
        {
            self.udp_relay.register(number, *real_address);
        }
    }
    /// Waits until a balancer has logged that it joined the fleet.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn await_joined(&self, number: usize) {
        self.balancers[number].process.find_line_with("fleet: joined");
    }
    /// Waits until a balancer has logged that it caught up to this or a later revision.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn await_caught_up(&self, number: usize, revision: u64) {
        self.balancers[number].process.find_line(|line| {
            let caught_up =
                line.split_once("fleet: caught up to revision ").and_then(|(_, n)| n.trim().parse().ok());
            caught_up.is_some_and(|caught_up: u64| caught_up >= revision)
        });
    }
    /// Waits for the next log line that reports that a balancer holds its lease.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn await_lease(&self, number: usize) {
        self.balancers[number].process.next_line_with("fleet: lease held");
    }
    /// Waits for the next log line that reports that a balancer is fenced, and returns the reason.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    #[must_use]
    pub fn await_fenced(&self, number: usize) -> String {
        reason_after(self.balancers[number].process.next_line_with("fleet: fenced: "), "fleet: fenced: ")
    }
    /// Waits for the next log line that reports that a balancer is orphaned, and returns the reason.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    #[must_use]
    pub fn await_orphaned(&self, number: usize) -> String {
        reason_after(self.balancers[number].process.next_line_with("fleet: orphaned: "), "fleet: orphaned: ")
    }

    /// Checks the records so far against the rules.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let dropped_entries =
            [self.attempts.dropped(), self.notifications.dropped(), self.clients.calls().dropped()];
        check_evidence(&Evidence {
            seed: self.seed,
            calls: self.clients.calls().all(),
            attempts: self.attempts.all(),
            runs: self.origin.executions().all(),
            notifications: self.notifications.all(),
            interruptions: self.interruptions.clone(),
            stalls: self.runtime.stalls().all(),
            non_idempotent: vec!["once".into()],
            dropped: dropped_entries.iter().sum::<usize>() + self.origin.executions().dropped(),
        })
    }
}

/// Returns the part of a log line after a prefix.
fn reason_after(line: String, prefix: &str) -> String {
    line.split_once(prefix).map_or_else(String::new, |(_, reason)| reason.to_owned())
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "seed of the fleet: {:#x}; files of the fleet: {}",
                self.seed,
                self.folder.path().display()
            );
        }
    }
}
