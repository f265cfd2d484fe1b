//! A soak of real processes under faults: one seed draws a run of some seconds, plays it, and has the referee judge it.
//!
//! [`Plan::draw`] says what is played, [`run`] plays it on the stand-ins of a [`Fleet`] and yields a [`Report`], whose line
//! names seed, plan and verdict. The same seed draws the same plan; what the processes make of it may differ.

mod callers;
mod plan;
mod report;

use crate::config::CLASSES;
use crate::fleet::Fleet;
use crate::hosts::Manner;
use crate::process::{descriptors, uses};
use crate::referee::Violation;
use callers::{Callers, Front};
pub use plan::{Crowd, Event, Plan, RUN, Series};
use report::Records;
pub use report::Report;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long a hold-up lasts: what the standing page allows for.
const HELD_UP: Duration = Duration::from_millis(150);
/// How long a host or a link is in trouble.
const TROUBLE: Duration = Duration::from_millis(1_200);
/// New connections keep coming for this long after SIGTERM.
const STILL_DIALLED: Duration = Duration::from_millis(400);
/// Between two signals or orders of a series.
const BETWEEN: Duration = Duration::from_millis(150);
/// How long an order of operators may take.
const ORDER_TIME: Duration = Duration::from_secs(5);
/// Memory of a process, in KB, as its configuration states it.
const MEMORY_KB: u64 = 192 * 1024;
/// Requests at fault whose records a report has.
const RECORDS: usize = 8;
/// What the callers of a run are given beyond it to have their answers.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// What is to be done at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Event(Event),
    Reload(usize),
    Terminate(usize),
    Order(usize, &'static str),
    Resume(usize),
    /// SIGKILL for one that was told to end, and its restart.
    EndOf(usize),
    Serve(usize),
    Heal(usize, usize),
    Speak(usize),
}

struct Run {
    plan: Plan,
    fleet: Fleet,
    callers: Arc<Callers>,
    steps: VecDeque<(Instant, Step)>,
    /// Balancers that were told to end, until they are restarted.
    ending: Vec<bool>,
    violations: Vec<Violation>,
    begun: Instant,
}

/// Plays the run of a plan with this program; its files are below this folder.
///
/// # Errors
/// When the system refuses a process or a socket.
pub fn run(program: &Path, folder: &Path, plan: Plan) -> io::Result<Report> {
    let fleet = Fleet::builder(program).folder(folder).seed(plan.seed).balancers(plan.balancers);
    let fleet = fleet.hosts(plan.hosts).ids(plan.ids).overrides(plan.overrides()).start()?;
    (0..plan.balancers).for_each(|it| fleet.balancer(it).agent.speak(plan.form));
    let busy: Vec<BusyProcess> =
        (0..plan.busy_processes).map(|_| BusyProcess::start()).collect::<Result<_, _>>()?;
    let begun = Instant::now();
    let fronts = (0..plan.balancers).map(|it| Front { addr: fleet.balancer(it).front, dialled_until: None });
    let times = plan.deadlines_ms.map(Duration::from_millis);
    let classes =
        CLASSES.iter().zip(times).map(|((name, _), time)| ((*name).to_owned(), *name != "read", time));
    let callers = Arc::new(Callers {
        fronts: Mutex::new(fronts.collect()),
        calls: fleet.clients().calls().clone(),
        kept_waiting: crate::journal::Journal::default(),
        ids: AtomicU64::new(1),
        classes: classes.collect(),
        until: begun + RUN,
    });
    for balancer in 0..plan.balancers {
        for number in 0..plan.callers {
            let seed = plan.seed ^ ((balancer * 64 + number) as u64) << 32;
            fleet.ground().spawn(Arc::clone(&callers).ask_on(balancer, seed, false));
        }
    }
    match plan.crowd {
        Crowd::None => {}
        Crowd::Idle(many) => (0..many as u64).for_each(|number| {
            fleet.ground().spawn(Arc::clone(&callers).rest(0, plan.seed ^ number << 48));
        }),
        Crowd::Busy(many) => (0..many as u64).for_each(|number| {
            fleet.ground().spawn(Arc::clone(&callers).ask_on(0, plan.seed ^ number << 48, true));
        }),
    }
    let steps = plan.events.iter().map(|(at, event)| (begun + *at, Step::Event(*event))).collect();
    let ending = vec![false; plan.balancers];
    let mut run = Run { plan, fleet, callers, steps, ending, violations: Vec::new(), begun };
    run.play()?;
    drop(busy);
    Ok(run.report())
}

impl Run {
    fn play(&mut self) -> io::Result<()> {
        let longest = self.plan.deadlines_ms.into_iter().max().unwrap_or_default();
        let over = self.begun + RUN + Duration::from_millis(longest) + LAST_ANSWERS;
        while let Some((at, step)) = self.steps.pop_front() {
            wait_until(at);
            self.take(step)?;
        }
        (0..self.plan.balancers).for_each(|balancer| self.check_limits(balancer));
        wait_until(over);
        Ok(())
    }

    fn later(&mut self, after: Duration, step: Step) {
        let at = Instant::now() + after;
        let place = self.steps.partition_point(|(other, _)| *other <= at);
        self.steps.insert(place, (at, step));
    }

    fn take(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Event(event) => return self.happens(event),
            Step::Reload(it) if !self.ending[it] => {
                let config = self.fleet.balancer(it).config.clone();
                self.fleet.balancer(it).process.reload(&config)?;
            }
            Step::Terminate(it) => self.terminate(it)?,
            Step::Order(it, path) if !self.ending[it] => order(&self.fleet, it, path)?,
            Step::Reload(_) | Step::Order(..) => {}
            Step::Resume(it) => self.fleet.resume(it)?,
            Step::EndOf(it) => self.end_of(it)?,
            Step::Serve(host) => self.fleet.host(host).behave(Manner::Serves),
            Step::Heal(it, host) => self.fleet.balancer(it).to_hosts[host].heal(),
            Step::Speak(it) => self.fleet.balancer(it).agent.let_go(),
        }
        Ok(())
    }

    fn happens(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Signals(it, series) => self.signals(it, series),
            Event::HoldUp(it) if !self.ending[it] => {
                self.fleet.halt(it)?;
                self.later(HELD_UP, Step::Resume(it));
            }
            Event::Kill(it) if !self.ending[it] => {
                self.fleet.kill(it)?;
                self.restart(it)?;
            }
            Event::MoveDiscovery(it) if !self.ending[it] => self.move_discovery(it)?,
            Event::HoldUp(_) | Event::Kill(_) | Event::MoveDiscovery(_) => {}
            Event::ResetWatch(it) => self.fleet.balancer(it).agent.reset_watches(),
            Event::Listed(host, phase) => self.fleet.change(host, phase),
            Event::Hang(host) => self.in_trouble(host, Manner::Hangs),
            Event::Fail(host) => self.in_trouble(host, Manner::Fails),
            Event::Refuse(host) => self.in_trouble(host, Manner::Refuses),
            Event::Forget(host) => self.fleet.host(host).forget(),
            Event::Cut(it, host) => {
                self.fleet.balancer(it).to_hosts[host].cut();
                self.later(TROUBLE, Step::Heal(it, host));
            }
            Event::Reset(it, host) => self.fleet.balancer(it).to_hosts[host].reset(),
            Event::SilentWatch(it) => self.fleet.balancer(it).agent.silence(),
            Event::HoldBack(it) => {
                self.fleet.balancer(it).agent.hold_back();
                self.later(TROUBLE, Step::Speak(it));
            }
        }
        Ok(())
    }

    fn move_discovery(&mut self, it: usize) -> io::Result<()> {
        let addr = self.fleet.balancer(it).agent.further_addr(self.fleet.ground().handle())?;
        let balancer = self.fleet.balancer_mut(it);
        balancer.config["discovery"] = addr.to_string().into();
        balancer.process.reload(&balancer.config)
    }

    fn in_trouble(&mut self, host: usize, manner: Manner) {
        self.fleet.host(host).behave(manner);
        self.later(TROUBLE, Step::Serve(host));
    }

    fn signals(&mut self, it: usize, series: Series) {
        let (drain, undrain) = (Step::Order(it, "/drain"), Step::Order(it, "/undrain"));
        let steps = match series {
            Series::ReloadTwice => vec![Step::Reload(it), Step::Reload(it)],
            Series::ReloadTerminate => vec![Step::Reload(it), Step::Terminate(it)],
            Series::Terminate => vec![Step::Terminate(it)],
            Series::TerminateTwice => vec![Step::Terminate(it), Step::Terminate(it)],
            Series::DrainUndrainDrainTerminate => vec![drain, undrain, drain, Step::Terminate(it)],
            Series::DrainUndrain => vec![drain, undrain],
        };
        for (number, step) in (0..).zip(steps) {
            self.later(BETWEEN * number, step);
        }
    }

    /// SIGTERM. The first is followed by SIGKILL at the earliest that the page allows.
    fn terminate(&mut self, it: usize) -> io::Result<()> {
        let told = Instant::now();
        if std::mem::replace(&mut self.ending[it], true) {
            if !self.fleet.balancer(it).process.has_ended() {
                self.fleet.balancer(it).process.terminate()?;
            }
            return Ok(());
        }
        self.check_limits(it);
        self.fleet.balancer(it).process.terminate()?;
        self.fronts()[it].dialled_until = Some(told + STILL_DIALLED);
        self.later(self.plan.killed_after(), Step::EndOf(it));
        Ok(())
    }

    fn end_of(&mut self, it: usize) -> io::Result<()> {
        if !self.fleet.balancer(it).process.has_ended() {
            self.violations.push(Violation::StillRunning(it));
        }
        self.restart(it)
    }

    fn restart(&mut self, it: usize) -> io::Result<()> {
        self.fleet.restart(it, crate::process::Disk::Empty)?;
        self.ending[it] = false;
        let addr = self.fleet.balancer(it).front;
        self.fronts()[it] = Front { addr, dialled_until: None };
        Ok(())
    }

    fn fronts(&self) -> std::sync::MutexGuard<'_, Vec<Front>> {
        self.callers.fronts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_limits(&mut self, it: usize) {
        let process = self.fleet.balancer(it).process.id();
        let (kb, sockets) = (uses(process).map_or(0, |(kb, _)| kb), descriptors(process));
        if kb > MEMORY_KB || sockets as u64 > self.plan.sockets {
            self.violations.push(Violation::OverLimit(it, kb, sockets));
        }
    }

    fn report(mut self) -> Report {
        let mut verdict = self.fleet.judge();
        verdict.violations.append(&mut self.violations);
        let kept = self.callers.kept_waiting.all().into_iter();
        verdict.violations.extend(kept.map(|(it, time)| Violation::KeptWaiting(it, time)));
        let at_fault = verdict.violations.iter().filter_map(Violation::request).take(RECORDS);
        let records = Records { fleet: &self.fleet, calls: &self.callers.calls, begun: self.begun };
        let mut records_at_fault: Vec<String> = at_fault.map(|id| records.of_request(id)).collect();
        if !verdict.violations.is_empty() {
            records_at_fault.extend((0..self.plan.balancers).map(|it| records.last_lines(it)));
        }
        Report { plan: self.plan, verdict, records: records_at_fault }
    }
}

/// A process that keeps a processor busy beside the run.
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

/// An order of operators; one that is not answered any more, since the process is ending, is none.
fn order(fleet: &Fleet, it: usize, path: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(fleet.balancer(it).operators)?;
    stream.set_read_timeout(Some(ORDER_TIME))?;
    write!(stream, "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
    stream.read_to_string(&mut String::new()).map(drop)
}
