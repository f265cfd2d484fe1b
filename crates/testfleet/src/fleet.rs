//! A whole fleet: the processes, and the stand-ins and relays around them.

use crate::archive::Archive;
use crate::clients::{Class, Clients, Load};
use crate::config;
use crate::folder::Folder;
use crate::ground::Ground;
use crate::hosts::{Attempt, Host};
use crate::inventory::{Agent, Phase, Told};
use crate::journal::Journal;
use crate::process::{Disk, Process};
use crate::referee::{Evidence, Interruption, Verdict, judge};
use crate::relay::{TcpLink, UdpRelay};
pub use crate::start::Builder;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One balancer with its links and its agent.
#[derive(Debug)]
pub struct Balancer {
    /// Its process.
    pub process: Process,
    /// Its agent of discovery.
    pub agent: Agent,
    /// From its callers to it.
    pub from_clients: TcpLink,
    /// To each cache host.
    pub to_hosts: Vec<TcpLink>,
    /// To the archive.
    pub to_archive: TcpLink,
    /// Where it takes clients, past the relay.
    pub front: SocketAddr,
    /// Where operators call.
    pub operators: SocketAddr,
    /// Its configuration.
    pub config: Value,
}

/// The fleet. Everything of it ends with it.
#[derive(Debug)]
pub struct Fleet {
    // In the order in which they go: processes first, the runtime behind all that lives on it, the folder last.
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) clients: Clients,
    pub(crate) hosts: Vec<Host>,
    pub(crate) archive: Archive,
    pub(crate) between: UdpRelay,
    pub(crate) attempts: Journal<Attempt>,
    pub(crate) told: Journal<Told>,
    pub(crate) interruptions: Vec<Interruption>,
    pub(crate) in_fleet: bool,
    pub(crate) with_peers: bool,
    pub(crate) seed: u64,
    pub(crate) ground: Ground,
    pub(crate) folder: Folder,
}

impl Fleet {
    /// What a fleet is to be, beginning with the program to start.
    pub fn builder(program: impl Into<std::path::PathBuf>) -> Builder {
        Builder::new(program.into())
    }
    /// What it is repeated by.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }
    /// Where its files are.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
    /// The runtime of the stand-ins.
    #[must_use]
    pub fn ground(&self) -> &Ground {
        &self.ground
    }
    /// A balancer.
    #[must_use]
    pub fn balancer(&self, number: usize) -> &Balancer {
        &self.balancers[number]
    }
    /// The same, to change how it is started.
    pub fn balancer_mut(&mut self, number: usize) -> &mut Balancer {
        &mut self.balancers[number]
    }
    /// A cache host.
    #[must_use]
    pub fn host(&self, number: usize) -> &Host {
        &self.hosts[number]
    }
    /// The archive.
    #[must_use]
    pub fn archive(&self) -> &Archive {
        &self.archive
    }
    /// The callers.
    #[must_use]
    pub fn clients(&self) -> &Clients {
        &self.clients
    }
    /// The relay between the balancers.
    #[must_use]
    pub fn between(&self) -> &UdpRelay {
        &self.between
    }
    /// Attempts at cache hosts so far.
    #[must_use]
    pub fn attempts(&self) -> &Journal<Attempt> {
        &self.attempts
    }
    /// What balancers were told so far.
    #[must_use]
    pub fn told(&self) -> &Journal<Told> {
        &self.told
    }

    /// Requests at all balancers, of these classes: so many a second, and so many in all.
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

    /// Tells all agents that a host has changed.
    pub fn change(&self, host: usize, phase: Phase) {
        self.balancers.iter().for_each(|it| it.agent.change(self.hosts[host].name(), phase));
    }
    /// Tells all agents that these hosts have changed, in one list.
    pub fn change_all(&self, hosts: std::ops::Range<usize>, phase: Phase) {
        let names: Vec<&str> = self.hosts[hosts].iter().map(Host::name).collect();
        self.balancers.iter().for_each(|it| it.agent.change_all(&names, phase));
    }
    /// Waits until a balancer has been told so.
    ///
    /// # Panics
    /// After [`crate::PATIENCE`].
    pub fn told_of(&self, balancer: usize, host: usize, phase: Phase) -> Instant {
        let so =
            |it: &Told| it.balancer == balancer && it.host == self.hosts[host].name() && it.phase == phase;
        self.told.wait("a balancer is told", |told| told.iter().find(|it| so(it)).map(|it| it.at))
    }

    fn interrupt(&mut self, balancer: usize, killed: bool, from: Instant) {
        self.interruptions.push(Interruption { balancer, killed, from, until: None, restarted: None });
    }
    fn go_on(&mut self, balancer: usize, killed: bool) {
        let open = self.interruptions.iter_mut().rfind(|it| it.balancer == balancer && it.killed == killed);
        if let Some(it) = open {
            it.until.get_or_insert_with(Instant::now);
        }
    }
    /// Its next process is started now; what was written before went to the one before.
    fn restarts(&mut self, balancer: usize) {
        let _ = self.balancers[balancer].process.kill();
        let open = self.interruptions.iter_mut().rfind(|it| it.balancer == balancer && it.killed);
        if let Some(it) = open {
            it.restarted.get_or_insert_with(Instant::now);
        }
    }
    /// SIGKILL.
    ///
    /// # Errors
    /// This and the following: when the system refuses.
    pub fn kill(&mut self, number: usize) -> io::Result<()> {
        self.interrupt(number, true, Instant::now());
        self.balancers[number].process.kill()
    }
    /// Starts a balancer that was killed, or kills and starts it, and waits until it is ready.
    #[allow(clippy::missing_errors_doc)]
    pub fn restart(&mut self, number: usize, disk: Disk) -> io::Result<()> {
        let config = self.balancers[number].config.clone();
        self.restart_with(number, disk, &config)
    }
    /// The same with a list known from before, such as an old [`Agent::list`].
    #[allow(clippy::missing_errors_doc)]
    pub fn restart_knowing(&mut self, number: usize, disk: Disk, list: Value) -> io::Result<()> {
        let mut config = self.balancers[number].config.clone();
        config["known"] = list;
        self.restart_with(number, disk, &config)
    }
    fn restart_with(&mut self, number: usize, disk: Disk, config: &Value) -> io::Result<()> {
        let dead =
            self.interruptions.iter().any(|it| it.balancer == number && it.killed && it.until.is_none());
        if !dead {
            self.interrupt(number, true, Instant::now());
        }
        self.restarts(number);
        self.balancers[number].process.restart(disk, config)?;
        self.await_listening(number);
        self.await_ready(number);
        self.go_on(number, true);
        Ok(())
    }
    /// Starts balancers that were killed, all before the first is waited for: none of them may be ready without the others.
    #[allow(clippy::missing_errors_doc)]
    pub fn restart_all(&mut self, numbers: &[usize], disk: Disk) -> io::Result<()> {
        for number in numbers {
            let config = self.balancers[*number].config.clone();
            self.restarts(*number);
            self.balancers[*number].process.restart(disk, &config)?;
        }
        numbers.iter().for_each(|number| self.await_listening(*number));
        for number in numbers {
            self.await_ready(*number);
            self.go_on(*number, true);
        }
        Ok(())
    }
    /// SIGSTOP.
    #[allow(clippy::missing_errors_doc)]
    pub fn halt(&mut self, number: usize) -> io::Result<()> {
        self.interrupt(number, false, Instant::now());
        self.balancers[number].process.halt()
    }
    /// SIGCONT.
    #[allow(clippy::missing_errors_doc)]
    pub fn resume(&mut self, number: usize) -> io::Result<()> {
        self.balancers[number].process.resume()?;
        self.go_on(number, false);
        Ok(())
    }

    /// Waits until a balancer that was started listens, and aims the relays there.
    pub(crate) fn await_listening(&mut self, number: usize) {
        let it = &mut self.balancers[number];
        let address = it.process.said_address(&format!("n{number}: listening on "));
        it.operators = it.process.said_address("admin endpoint on ");
        it.front = address;
        it.from_clients.aim(address);
        if self.in_fleet {
            // Before anybody is waited for: nobody is ready without a lease, nor has one without the others.
            self.between.register(number, it.process.said_address("fleet: listening on "));
        }
    }
    /// Waits until it is ready.
    pub(crate) fn await_ready(&mut self, number: usize) {
        let it = &mut self.balancers[number];
        it.process.wait_for(|line| line.ends_with(" ready"));
        if !self.in_fleet
            && self.with_peers
            && let Some(real) = crate::process::udp_addresses(it.process.id()).first()
        {
            self.between.register(number, *real);
        }
    }
    /// Waits for a balancer to say that it has joined; this and the following: at most [`crate::PATIENCE`].
    pub fn joined(&self, number: usize) {
        self.balancers[number].process.said("fleet: joined");
    }
    /// Waits for a balancer to have caught up to this revision or a later one.
    pub fn caught_up(&self, number: usize, revision: u64) {
        self.balancers[number].process.said_if(|line| {
            let said =
                line.split_once("fleet: caught up to revision ").and_then(|(_, n)| n.trim().parse().ok());
            said.is_some_and(|said: u64| said >= revision)
        });
    }
    /// Waits for a balancer to say next that it holds its lease.
    pub fn lease_held(&self, number: usize) {
        self.balancers[number].process.logged("fleet: lease held");
    }
    /// Waits for a balancer to say next that it is fenced, and why.
    #[must_use]
    pub fn fenced(&self, number: usize) -> String {
        why(self.balancers[number].process.logged("fleet: fenced: "), "fleet: fenced: ")
    }
    /// Waits for a balancer to say next that it is orphaned, and why.
    #[must_use]
    pub fn orphaned(&self, number: usize) -> String {
        why(self.balancers[number].process.logged("fleet: orphaned: "), "fleet: orphaned: ")
    }

    /// Judges what was seen so far.
    #[must_use]
    pub fn judge(&self) -> Verdict {
        let records = [self.attempts.left_out(), self.told.left_out(), self.clients.calls().left_out()];
        judge(&Evidence {
            seed: self.seed,
            calls: self.clients.calls().all(),
            attempts: self.attempts.all(),
            runs: self.archive.runs().all(),
            told: self.told.all(),
            interruptions: self.interruptions.clone(),
            lags: self.ground.lags().all(),
            fragile: vec!["once".into()],
            left_out: records.iter().sum::<usize>() + self.archive.runs().left_out(),
        })
    }
}

fn why(line: String, behind: &str) -> String {
    line.split_once(behind).map_or_else(String::new, |(_, why)| why.to_owned())
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the fleet's seed: {:#x}; its files: {}", self.seed, self.folder.path().display());
        }
    }
}
