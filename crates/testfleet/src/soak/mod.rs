//! Soak runs: real processes run for some seconds under faults drawn from a seed, and the records are checked.
//!
//! [`Plan::draw`] draws the plan of a run. [`run`] executes it on a [`Fleet`] and returns a [`Report`], which prints
//! the seed, the plan and the verdict. The same seed draws the same plan; the timing of the processes may differ.

mod clients;
mod plan;
mod report;

use crate::cache_node::CacheNodeBehaviour;
use crate::clients::Class;
use crate::config::CLASSES;
use crate::event_log::EventLog;
use crate::fleet::Fleet;
use crate::proc_stats::{open_descriptors, resource_usage};
use crate::referee::Violation;
use clients::{BalancerAddress, Pacing, SoakClass, SoakClients};
pub use plan::{Crowd, Event, Plan, RUN_DURATION, Series};
use report::Records;
pub use report::Report;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The time between SIGSTOP and SIGCONT of a paused balancer.
const PAUSE_DURATION: Duration = Duration::from_millis(150);
/// The duration of a fault of a cache node, of a link or of discovery.
const FAULT_DURATION: Duration = Duration::from_millis(1_200);
/// How long clients continue to connect after SIGTERM.
const CONNECT_AFTER_TERMINATE: Duration = Duration::from_millis(400);
/// The interval between two steps of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(150);
/// The timeout of an admin command.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// The memory limit of a process, in KB, as configured.
const MEMORY_LIMIT_KB: u64 = 192 * 1024;
/// The maximum number of violating requests whose records are in a report.
const MAX_REPORTED_REQUESTS: usize = 8;
/// How long the run waits for the last answers after the longest deadline has passed.
const FINAL_ANSWERS_GRACE: Duration = Duration::from_secs(1);

/// A scheduled step of a run. Balancers and cache nodes are given by number.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    /// Applies an event of the plan.
    Event(Event),
    /// Sends SIGHUP to a balancer, unless it is terminating.
    Reload(usize),
    /// Sends SIGTERM to a balancer.
    Terminate(usize),
    /// Sends an admin command with this path to a balancer, unless it is terminating.
    AdminCommand(usize, &'static str),
    /// Sends SIGCONT to a balancer.
    Resume(usize),
    /// Sends SIGKILL to a balancer some time after SIGTERM, and restarts it. A process that is still running is a
    /// violation.
    KillAndRestart(usize),
    /// Ends the fault of a cache node.
    RestoreCacheNode(usize),
    /// Removes the faults of the link of a balancer to a cache node.
    HealLink(usize, usize),
    /// Resumes the updates of the discovery agent of a balancer.
    ResumeUpdates(usize),
    /// Resumes the updates of all discovery agents.
    EndDiscoveryOutage,
}

/// A run that is being executed.
struct Run {
    plan: Plan,
    fleet: Fleet,
    clients: Arc<SoakClients>,
    steps: VecDeque<(Instant, Step)>,
    /// Whether each balancer was sent SIGTERM and has not been restarted since.
    terminating: Vec<bool>,
    violations: Vec<Violation>,
    started: Instant,
}

/// Executes a plan with processes of `program`, whose files are in a new folder below `folder`.
///
/// # Errors
/// Returns the system's error if a process or socket cannot be created.
pub fn run(program: &Path, folder: &Path, plan: Plan) -> io::Result<Report> {
    let fleet = Fleet::builder(program).folder(folder).seed(plan.seed).balancers(plan.balancers);
    let fleet = fleet
        .cache_nodes(plan.cache_nodes)
        .ids_per_cache_node(plan.ids_per_cache_node)
        .overrides(plan.overrides())
        .start()?;
    (0..plan.balancers).for_each(|balancer| fleet.balancer(balancer).agent.set_encoding(plan.encoding));
    let busy: Vec<BusyProcess> =
        (0..plan.busy_processes).map(|_| BusyProcess::start()).collect::<Result<_, _>>()?;
    let started = Instant::now();
    let balancer_addrs = (0..plan.balancers)
        .map(|balancer| BalancerAddress { addr: fleet.balancer(balancer).client_addr, connect_until: None });
    let deadlines = plan.deadlines_ms.map(Duration::from_millis);
    let classes = CLASSES.iter().zip(deadlines).map(|((name, _), deadline)| SoakClass {
        class: Class { name: (*name).to_owned(), write: *name != "read" },
        deadline,
    });
    let clients = Arc::new(SoakClients {
        balancer_addrs: Mutex::new(balancer_addrs.collect()),
        calls: fleet.clients().calls().clone(),
        unclosed_partial_requests: EventLog::default(),
        next_id: AtomicU64::new(1),
        interrupted_batches: AtomicU64::new(0),
        classes: classes.collect(),
        run_end: started + RUN_DURATION,
    });
    spawn_clients(&fleet, &clients, &plan);
    let steps = plan.events.iter().map(|(at, event)| (started + *at, Step::Event(*event))).collect();
    let terminating = vec![false; plan.balancers];
    let mut run = Run { plan, fleet, clients, steps, terminating, violations: Vec::new(), started };
    run.execute()?;
    drop(busy);
    Ok(run.report())
}

/// Spawns the clients of each balancer, and the crowd at the first balancer.
fn spawn_clients(fleet: &Fleet, clients: &Arc<SoakClients>, plan: &Plan) {
    for balancer in 0..plan.balancers {
        for number in 0..plan.clients_per_balancer {
            let seed = plan.seed ^ ((balancer * 64 + number) as u64) << 32;
            fleet.runtime().spawn(Arc::clone(clients).run_client(balancer, seed, Pacing::Paused));
        }
    }
    match plan.crowd {
        Crowd::None => {}
        Crowd::Idle(count) => (0..count as u64).for_each(|number| {
            fleet.runtime().spawn(Arc::clone(clients).run_idle_client(0, plan.seed ^ number << 48));
        }),
        Crowd::Busy(count) => spawn_crowd(fleet, clients, plan.seed, count, Pacing::Continuous),
        Crowd::Batches(count) => spawn_crowd(fleet, clients, plan.seed, count, Pacing::Batches),
    }
}

/// Spawns the crowd: additional clients of the first balancer.
fn spawn_crowd(fleet: &Fleet, clients: &Arc<SoakClients>, seed: u64, count: usize, pacing: Pacing) {
    for number in 0..count as u64 {
        fleet.runtime().spawn(Arc::clone(clients).run_client(0, seed ^ number << 48, pacing));
    }
}

impl Run {
    /// Executes all steps at their times, checks the limits of all processes, and waits for the last answers.
    fn execute(&mut self) -> io::Result<()> {
        let longest_deadline_ms = self.plan.deadlines_ms.into_iter().max().unwrap_or_default();
        let end =
            self.started + RUN_DURATION + Duration::from_millis(longest_deadline_ms) + FINAL_ANSWERS_GRACE;
        while let Some((at, step)) = self.steps.pop_front() {
            wait_until(at);
            self.run_step(step)?;
        }
        (0..self.plan.balancers).for_each(|balancer| self.check_limits(balancer));
        wait_until(end);
        Ok(())
    }

    /// Schedules a step behind the steps that are due at the same time or earlier.
    fn schedule(&mut self, after: Duration, step: Step) {
        let at = Instant::now() + after;
        let index = self.steps.partition_point(|(other, _)| *other <= at);
        self.steps.insert(index, (at, step));
    }

    fn run_step(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Event(event) => return self.apply_event(event),
            Step::Reload(balancer) if !self.terminating[balancer] => {
                let config = self.fleet.balancer(balancer).config.clone();
                self.fleet.balancer(balancer).process.reload(&config)?;
            }
            Step::Terminate(balancer) => self.terminate(balancer)?,
            Step::AdminCommand(balancer, path) if !self.terminating[balancer] => {
                post_admin_command(&self.fleet, balancer, path)?
            }
            Step::Reload(_) | Step::AdminCommand(..) => {}
            Step::Resume(balancer) => self.fleet.resume(balancer)?,
            Step::KillAndRestart(balancer) => self.kill_and_restart(balancer)?,
            Step::RestoreCacheNode(node) => {
                self.fleet.cache_node(node).set_behaviour(CacheNodeBehaviour::Serves)
            }
            Step::HealLink(balancer, node) => self.fleet.balancer(balancer).to_cache_nodes[node].heal(),
            Step::ResumeUpdates(balancer) => self.fleet.balancer(balancer).agent.resume_updates(),
            Step::EndDiscoveryOutage => {
                (0..self.plan.balancers)
                    .for_each(|balancer| self.fleet.balancer(balancer).agent.resume_updates());
            }
        }
        Ok(())
    }

    /// Applies an event. An event that needs a running balancer is skipped while the balancer is terminating.
    fn apply_event(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Series(balancer, series) => self.schedule_series(balancer, series),
            Event::Pause(balancer) if !self.terminating[balancer] => {
                self.fleet.pause(balancer)?;
                self.schedule(PAUSE_DURATION, Step::Resume(balancer));
            }
            Event::Kill(balancer) if !self.terminating[balancer] => {
                self.fleet.kill(balancer)?;
                self.restart(balancer)?;
            }
            Event::MoveDiscovery(balancer) if !self.terminating[balancer] => self.move_discovery(balancer)?,
            Event::Pause(_) | Event::Kill(_) | Event::MoveDiscovery(_) => {}
            Event::ResetWatches(balancer) => self.fleet.balancer(balancer).agent.reset_watches(),
            Event::ChangePhase(node, phase) => self.fleet.set_phase(node, phase),
            Event::Hang(node) => self.inject_fault(node, CacheNodeBehaviour::Hangs),
            Event::Fail(node) => self.inject_fault(node, CacheNodeBehaviour::Fails),
            Event::Refuse(node) => self.inject_fault(node, CacheNodeBehaviour::Refuses),
            Event::ClearKeys(node) => self.fleet.cache_node(node).clear_keys(),
            Event::Cut(balancer, node) => {
                self.fleet.balancer(balancer).to_cache_nodes[node].cut();
                self.schedule(FAULT_DURATION, Step::HealLink(balancer, node));
            }
            Event::Reset(balancer, node) => self.fleet.balancer(balancer).to_cache_nodes[node].reset(),
            Event::SilenceWatches(balancer) => self.fleet.balancer(balancer).agent.silence_watches(),
            Event::DiscoveryOutage => {
                for balancer in 0..self.plan.balancers {
                    self.fleet.balancer(balancer).agent.pause_updates();
                    self.fleet.balancer(balancer).agent.silence_watches();
                }
                self.schedule(FAULT_DURATION, Step::EndDiscoveryOutage);
            }
            Event::PauseUpdates(balancer) => {
                self.fleet.balancer(balancer).agent.pause_updates();
                self.schedule(FAULT_DURATION, Step::ResumeUpdates(balancer));
            }
        }
        Ok(())
    }

    /// Starts another listener of the discovery agent of a balancer, and reloads the balancer with its address.
    fn move_discovery(&mut self, balancer: usize) -> io::Result<()> {
        let addr = self.fleet.balancer(balancer).agent.add_listener(self.fleet.runtime().handle())?;
        let moved = self.fleet.balancer_mut(balancer);
        moved.config["discovery"] = addr.to_string().into();
        moved.process.reload(&moved.config)
    }

    /// Changes the behaviour of a cache node for [`FAULT_DURATION`].
    fn inject_fault(&mut self, node: usize, behaviour: CacheNodeBehaviour) {
        self.fleet.cache_node(node).set_behaviour(behaviour);
        self.schedule(FAULT_DURATION, Step::RestoreCacheNode(node));
    }

    fn schedule_series(&mut self, balancer: usize, series: Series) {
        let (drain, undrain) =
            (Step::AdminCommand(balancer, "/drain"), Step::AdminCommand(balancer, "/undrain"));
        let steps = match series {
            Series::ReloadTwice => vec![Step::Reload(balancer), Step::Reload(balancer)],
            Series::ReloadTerminate => vec![Step::Reload(balancer), Step::Terminate(balancer)],
            Series::Terminate => vec![Step::Terminate(balancer)],
            Series::TerminateTwice => vec![Step::Terminate(balancer), Step::Terminate(balancer)],
            Series::DrainUndrainDrainTerminate => vec![drain, undrain, drain, Step::Terminate(balancer)],
            Series::DrainUndrain => vec![drain, undrain],
        };
        for (number, step) in (0..).zip(steps) {
            self.schedule(SERIES_INTERVAL * number, step);
        }
    }

    /// Sends SIGTERM to a balancer. The first SIGTERM also schedules SIGKILL for the earliest time that the protocol
    /// allows.
    fn terminate(&mut self, balancer: usize) -> io::Result<()> {
        let terminated_at = Instant::now();
        if std::mem::replace(&mut self.terminating[balancer], true) {
            if !self.fleet.balancer(balancer).process.has_ended() {
                self.fleet.balancer(balancer).process.terminate()?;
            }
            return Ok(());
        }
        self.check_limits(balancer);
        self.fleet.balancer(balancer).process.terminate()?;
        self.balancer_addrs()[balancer].connect_until = Some(terminated_at + CONNECT_AFTER_TERMINATE);
        self.schedule(self.plan.sigkill_delay(), Step::KillAndRestart(balancer));
        Ok(())
    }

    fn kill_and_restart(&mut self, balancer: usize) -> io::Result<()> {
        if !self.fleet.balancer(balancer).process.has_ended() {
            self.violations.push(Violation::StillRunning(balancer));
        }
        self.restart(balancer)
    }

    fn restart(&mut self, balancer: usize) -> io::Result<()> {
        self.fleet.restart(balancer, crate::process::Disk::Empty)?;
        self.terminating[balancer] = false;
        let addr = self.fleet.balancer(balancer).client_addr;
        self.balancer_addrs()[balancer] = BalancerAddress { addr, connect_until: None };
        Ok(())
    }

    fn balancer_addrs(&self) -> std::sync::MutexGuard<'_, Vec<BalancerAddress>> {
        self.clients.balancer_addrs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation if a balancer exceeds its memory limit or its socket limit.
    fn check_limits(&mut self, balancer: usize) {
        let process = self.fleet.balancer(balancer).process.id();
        let memory_kb = resource_usage(process).map_or(0, |usage| usage.resident_kb);
        let descriptors = open_descriptors(process);
        if memory_kb > MEMORY_LIMIT_KB || descriptors as u64 > self.plan.socket_limit {
            self.violations.push(Violation::OverLimit(balancer, memory_kb, descriptors));
        }
    }

    fn report(mut self) -> Report {
        let mut verdict = self.fleet.verdict();
        verdict.violations.append(&mut self.violations);
        let unclosed = self.clients.unclosed_partial_requests.all().into_iter();
        verdict
            .violations
            .extend(unclosed.map(|(balancer, waited)| Violation::PartialRequestNotClosed(balancer, waited)));
        let violating_ids =
            verdict.violations.iter().filter_map(Violation::request).take(MAX_REPORTED_REQUESTS);
        let records = Records { fleet: &self.fleet, calls: &self.clients.calls, started: self.started };
        let mut reported: Vec<String> = violating_ids.map(|id| records.request_records(id)).collect();
        if !verdict.violations.is_empty() {
            reported.extend((0..self.plan.balancers).map(|balancer| records.last_lines(balancer)));
        }
        let interrupted_batches = self.clients.interrupted_batches.load(Ordering::Relaxed);
        Report { plan: self.plan, interrupted_batches, verdict, records: reported }
    }
}

/// A process that keeps one core busy until it is dropped.
struct BusyProcess(Child);

impl BusyProcess {
    fn start() -> io::Result<Self> {
        Command::new("sh").args(["-c", "while :; do :; done"]).spawn().map(Self)
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_until(at: Instant) {
    while let Some(left) = at.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
        thread::park_timeout(left);
    }
}

/// Sends an admin command to a balancer.
///
/// # Errors
/// Returns the system's error, also if the connection fails because the process is ending.
fn post_admin_command(fleet: &Fleet, balancer: usize, path: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(fleet.balancer(balancer).admin_addr)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    write!(stream, "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
    stream.read_to_string(&mut String::new()).map(drop)
}
