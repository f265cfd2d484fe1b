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
pub use plan::{Crowd, Event, Plan, RUN, Series};
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
const DIAL_AFTER_TERMINATE: Duration = Duration::from_millis(400);
/// The interval between two steps of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(150);
/// The timeout of an admin command.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// The memory limit of a process, in KB, as configured.
const MEMORY_KB: u64 = 192 * 1024;
/// The maximum number of violating requests whose records are in a report.
const MAX_RECORDS: usize = 8;
/// How long the run waits for the last answers after the longest deadline has passed.
const FINAL_ANSWERS_GRACE: Duration = Duration::from_secs(1);

/// A scheduled step of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Event(Event),
    Reload(usize),
    Terminate(usize),
    AdminCommand(usize, &'static str),
    Resume(usize),
    /// Sends SIGKILL after SIGTERM, and restarts the balancer.
    /// A process that is still running at this time is a violation.
    KillAndRestart(usize),
    Serve(usize),
    Heal(usize, usize),
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
    ending: Vec<bool>,
    violations: Vec<Violation>,
    begun: Instant,
}

/// Executes a plan with processes of `program`, whose files are in a new folder below `folder`.
///
/// # Errors
/// Returns the system's error if a process or socket cannot be created.
pub fn run(program: &Path, folder: &Path, plan: Plan) -> io::Result<Report> {
    let fleet = Fleet::builder(program).folder(folder).seed(plan.seed).balancers(plan.balancers);
    let fleet = fleet.cache_nodes(plan.cache_nodes).ids(plan.ids).overrides(plan.overrides()).start()?;
    (0..plan.balancers).for_each(|it| fleet.balancer(it).agent.set_encoding(plan.encoding));
    let busy: Vec<BusyProcess> =
        (0..plan.busy_processes).map(|_| BusyProcess::start()).collect::<Result<_, _>>()?;
    let begun = Instant::now();
    let client_addrs = (0..plan.balancers)
        .map(|it| BalancerAddress { addr: fleet.balancer(it).client_addr, connect_until: None });
    let times = plan.deadlines_ms.map(Duration::from_millis);
    let classes = CLASSES.iter().zip(times).map(|((name, _), deadline)| SoakClass {
        class: Class { name: (*name).to_owned(), write: *name != "read" },
        deadline,
    });
    let clients = Arc::new(SoakClients {
        client_addrs: Mutex::new(client_addrs.collect()),
        calls: fleet.clients().calls().clone(),
        kept_waiting: EventLog::default(),
        ids: AtomicU64::new(1),
        cut_batches: AtomicU64::new(0),
        classes: classes.collect(),
        until: begun + RUN,
    });
    spawn_clients(&fleet, &clients, &plan);
    let steps = plan.events.iter().map(|(at, event)| (begun + *at, Step::Event(*event))).collect();
    let ending = vec![false; plan.balancers];
    let mut run = Run { plan, fleet, clients, steps, ending, violations: Vec::new(), begun };
    run.execute()?;
    drop(busy);
    Ok(run.report())
}

/// Spawns the clients of each balancer, and the crowd at the first balancer.
fn spawn_clients(fleet: &Fleet, clients: &Arc<SoakClients>, plan: &Plan) {
    for balancer in 0..plan.balancers {
        for number in 0..plan.callers {
            let seed = plan.seed ^ ((balancer * 64 + number) as u64) << 32;
            fleet.runtime().spawn(Arc::clone(clients).run(balancer, seed, Pacing::Paused));
        }
    }
    match plan.crowd {
        Crowd::None => {}
        Crowd::Idle(many) => (0..many as u64).for_each(|number| {
            fleet.runtime().spawn(Arc::clone(clients).run_idle(0, plan.seed ^ number << 48));
        }),
        Crowd::Busy(many) => spawn_crowd(fleet, clients, plan.seed, many, Pacing::Continuous),
        Crowd::Batches(many) => spawn_crowd(fleet, clients, plan.seed, many, Pacing::Batches),
    }
}

/// Spawns the crowd: additional clients of the first balancer.
fn spawn_crowd(fleet: &Fleet, clients: &Arc<SoakClients>, seed: u64, many: usize, pacing: Pacing) {
    for number in 0..many as u64 {
        fleet.runtime().spawn(Arc::clone(clients).run(0, seed ^ number << 48, pacing));
    }
}

impl Run {
    fn execute(&mut self) -> io::Result<()> {
        let longest = self.plan.deadlines_ms.into_iter().max().unwrap_or_default();
        let over = self.begun + RUN + Duration::from_millis(longest) + FINAL_ANSWERS_GRACE;
        while let Some((at, step)) = self.steps.pop_front() {
            wait_until(at);
            self.run_step(step)?;
        }
        (0..self.plan.balancers).for_each(|balancer| self.check_limits(balancer));
        wait_until(over);
        Ok(())
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        let at = Instant::now() + after;
        let place = self.steps.partition_point(|(other, _)| *other <= at);
        self.steps.insert(place, (at, step));
    }

    fn run_step(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Event(event) => return self.apply_event(event),
            Step::Reload(it) if !self.ending[it] => {
                let config = self.fleet.balancer(it).config.clone();
                self.fleet.balancer(it).process.reload(&config)?;
            }
            Step::Terminate(it) => self.terminate(it)?,
            Step::AdminCommand(it, path) if !self.ending[it] => post_admin_command(&self.fleet, it, path)?,
            Step::Reload(_) | Step::AdminCommand(..) => {}
            Step::Resume(it) => self.fleet.resume(it)?,
            Step::KillAndRestart(it) => self.kill_and_restart(it)?,
            Step::Serve(endpoint) => {
                self.fleet.cache_node(endpoint).set_behaviour(CacheNodeBehaviour::Serves)
            }
            Step::Heal(it, endpoint) => self.fleet.balancer(it).to_cache_nodes[endpoint].heal(),
            Step::ResumeUpdates(it) => self.fleet.balancer(it).agent.resume_updates(),
            Step::EndDiscoveryOutage => {
                (0..self.plan.balancers).for_each(|it| self.fleet.balancer(it).agent.resume_updates());
            }
        }
        Ok(())
    }

    fn apply_event(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Series(it, series) => self.schedule_series(it, series),
            Event::Pause(it) if !self.ending[it] => {
                self.fleet.pause(it)?;
                self.schedule(PAUSE_DURATION, Step::Resume(it));
            }
            Event::Kill(it) if !self.ending[it] => {
                self.fleet.kill(it)?;
                self.restart(it)?;
            }
            Event::MoveDiscovery(it) if !self.ending[it] => self.move_discovery(it)?,
            Event::Pause(_) | Event::Kill(_) | Event::MoveDiscovery(_) => {}
            Event::ResetWatches(it) => self.fleet.balancer(it).agent.reset_watches(),
            Event::ChangePhase(endpoint, phase) => self.fleet.set_phase(endpoint, phase),
            Event::Hang(endpoint) => self.inject_fault(endpoint, CacheNodeBehaviour::Hangs),
            Event::Fail(endpoint) => self.inject_fault(endpoint, CacheNodeBehaviour::Fails),
            Event::Refuse(endpoint) => self.inject_fault(endpoint, CacheNodeBehaviour::Refuses),
            Event::ClearKeys(endpoint) => self.fleet.cache_node(endpoint).clear_keys(),
            Event::Cut(it, endpoint) => {
                self.fleet.balancer(it).to_cache_nodes[endpoint].cut();
                self.schedule(FAULT_DURATION, Step::Heal(it, endpoint));
            }
            Event::Reset(it, endpoint) => self.fleet.balancer(it).to_cache_nodes[endpoint].reset(),
            Event::SilenceWatches(it) => self.fleet.balancer(it).agent.silence_watches(),
            Event::DiscoveryOutage => {
                for it in 0..self.plan.balancers {
                    self.fleet.balancer(it).agent.pause_updates();
                    self.fleet.balancer(it).agent.silence_watches();
                }
                self.schedule(FAULT_DURATION, Step::EndDiscoveryOutage);
            }
            Event::PauseUpdates(it) => {
                self.fleet.balancer(it).agent.pause_updates();
                self.schedule(FAULT_DURATION, Step::ResumeUpdates(it));
            }
        }
        Ok(())
    }

    fn move_discovery(&mut self, it: usize) -> io::Result<()> {
        let addr = self.fleet.balancer(it).agent.add_listener(self.fleet.runtime().handle())?;
        let balancer = self.fleet.balancer_mut(it);
        balancer.config["discovery"] = addr.to_string().into();
        balancer.process.reload(&balancer.config)
    }

    fn inject_fault(&mut self, endpoint: usize, behaviour: CacheNodeBehaviour) {
        self.fleet.cache_node(endpoint).set_behaviour(behaviour);
        self.schedule(FAULT_DURATION, Step::Serve(endpoint));
    }

    fn schedule_series(&mut self, it: usize, series: Series) {
        let (drain, undrain) = (Step::AdminCommand(it, "/drain"), Step::AdminCommand(it, "/undrain"));
        let steps = match series {
            Series::ReloadTwice => vec![Step::Reload(it), Step::Reload(it)],
            Series::ReloadTerminate => vec![Step::Reload(it), Step::Terminate(it)],
            Series::Terminate => vec![Step::Terminate(it)],
            Series::TerminateTwice => vec![Step::Terminate(it), Step::Terminate(it)],
            Series::DrainUndrainDrainTerminate => vec![drain, undrain, drain, Step::Terminate(it)],
            Series::DrainUndrain => vec![drain, undrain],
        };
        for (number, step) in (0..).zip(steps) {
            self.schedule(SERIES_INTERVAL * number, step);
        }
    }

    /// Sends SIGTERM to a balancer. The first SIGTERM also schedules SIGKILL for the earliest time that the protocol
    /// allows.
    fn terminate(&mut self, it: usize) -> io::Result<()> {
        let terminated = Instant::now();
        if std::mem::replace(&mut self.ending[it], true) {
            if !self.fleet.balancer(it).process.has_ended() {
                self.fleet.balancer(it).process.terminate()?;
            }
            return Ok(());
        }
        self.check_limits(it);
        self.fleet.balancer(it).process.terminate()?;
        self.client_addrs()[it].connect_until = Some(terminated + DIAL_AFTER_TERMINATE);
        self.schedule(self.plan.killed_after(), Step::KillAndRestart(it));
        Ok(())
    }

    fn kill_and_restart(&mut self, it: usize) -> io::Result<()> {
        if !self.fleet.balancer(it).process.has_ended() {
            self.violations.push(Violation::StillRunning(it));
        }
        self.restart(it)
    }

    fn restart(&mut self, it: usize) -> io::Result<()> {
        self.fleet.restart(it, crate::process::Disk::Empty)?;
        self.ending[it] = false;
        let addr = self.fleet.balancer(it).client_addr;
        self.client_addrs()[it] = BalancerAddress { addr, connect_until: None };
        Ok(())
    }

    fn client_addrs(&self) -> std::sync::MutexGuard<'_, Vec<BalancerAddress>> {
        self.clients.client_addrs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_limits(&mut self, it: usize) {
        let process = self.fleet.balancer(it).process.id();
        let memory_kb = resource_usage(process).map_or(0, |usage| usage.resident_kb);
        let sockets = open_descriptors(process);
        if memory_kb > MEMORY_KB || sockets as u64 > self.plan.sockets {
            self.violations.push(Violation::OverLimit(it, memory_kb, sockets));
        }
    }

    fn report(mut self) -> Report {
        let mut verdict = self.fleet.verdict();
        verdict.violations.append(&mut self.violations);
        let kept = self.clients.kept_waiting.all().into_iter();
        verdict.violations.extend(kept.map(|(it, time)| Violation::PartialRequestNotClosed(it, time)));
        let at_fault = verdict.violations.iter().filter_map(Violation::request).take(MAX_RECORDS);
        let records = Records { fleet: &self.fleet, calls: &self.clients.calls, begun: self.begun };
        let mut records_at_fault: Vec<String> = at_fault.map(|id| records.of_request(id)).collect();
        if !verdict.violations.is_empty() {
            records_at_fault.extend((0..self.plan.balancers).map(|it| records.last_lines(it)));
        }
        let cut_batches = self.clients.cut_batches.load(Ordering::Relaxed);
        Report { plan: self.plan, cut_batches, verdict, records: records_at_fault }
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
fn post_admin_command(fleet: &Fleet, it: usize, path: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(fleet.balancer(it).admin_addr)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    write!(stream, "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
    stream.read_to_string(&mut String::new()).map(drop)
}
