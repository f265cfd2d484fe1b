//! Simulates fleets under mixed faults from many seeds. A referee checks each tick. Prints a table of measurements.
//!
//! `measure_fleet [BALANCERS SEEDS MINUTES FIRST]` simulates only mixed faults, from seed `FIRST` on. Without
//! arguments, it makes all measurements. A violation is printed with its seed.

#[path = "../../tests/common/mod.rs"]
mod common;
mod faults;
mod referee;

use audit::lease::LeaseState;
use common::{SECOND, Simulation, freeze};
use faults::Faults;
use fleet::Micros;
use referee::{FencedShare, Referee, seconds};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const LEASE: Micros = 10 * SECOND;
const VOTERS: usize = 5;
/// Number of seeds that are simulated in parallel.
const THREADS: usize = 3;
/// The time during which faults are injected.
const FAULT_DURATION: Micros = 120 * SECOND;
/// The time within which all balancers must hold a lease after the faults have ended. It must be enough for a first
/// lease, or for two elections and a change of the voters.
const MAX_RECOVERY_TIME: Micros = 30 * SECOND;
/// The interval at which fenced balancers are counted.
const SAMPLE_INTERVAL: Micros = SECOND / 4;

/// The results of the simulated seeds.
#[derive(Default)]
struct RunResult {
    seeds: u64,
    checks: u64,
    checks_in_freeze: u64,
    allowed_joins: u64,
    calendar_revisions: u64,
    fenced: FencedShare,
    /// The moment with the largest share of fenced balancers, and the events before it.
    worst_at: String,
    recovery_times: Vec<Micros>,
    violations: Vec<String>,
}

fn start_with_leases(count: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(count, VOTERS, "10s", seed);
    simulation.run_until(60 * SECOND, |it| it.all_have_state(LeaseState::Held));
    simulation
}

fn run_checked(simulation: &mut Simulation, referee: &mut Referee, span: Micros) {
    simulation.run_with_check(span, |it| referee.check(it, it.last_ticked));
}

fn run_mixed_faults(count: usize, seed: u64) -> RunResult {
    let mut simulation = Simulation::new(count, VOTERS, "10s", seed);
    let (mut faults, mut referee) = (Faults::new(&mut simulation), Referee::default());
    let mut result = RunResult { seeds: 1, ..RunResult::default() };
    let mut worst = String::new();
    run_checked(&mut simulation, &mut referee, 20 * SECOND);
    let end = simulation.now + FAULT_DURATION;
    while simulation.now < end && referee.violation.is_none() {
        faults.step(&mut simulation, &mut referee);
        for _ in 0..SECOND / SAMPLE_INTERVAL {
            run_checked(&mut simulation, &mut referee, SAMPLE_INTERVAL);
            let before = result.fenced.worst;
            result.fenced.sample(&simulation, |n| faults.is_faultless(&simulation, n));
            if result.fenced.worst > before {
                let events = faults.events[faults.events.len().saturating_sub(12)..].join("\n  ");
                worst = format!("{count} balancers, seed {seed}, {} ms\n  {events}", simulation.now / 1_000);
            }
        }
    }
    faults.end_all(&mut simulation, &mut referee);
    let from = simulation.now;
    while !simulation.all_have_state(LeaseState::Held) && referee.violation.is_none() {
        if simulation.now - from >= MAX_RECOVERY_TIME {
            let without_lease = (0..count)
                .filter(|n| simulation.lease_state(*n) != Some(LeaseState::Held))
                .collect::<Vec<_>>();
            referee.violation =
                Some(format!("no lease within {}: balancers {without_lease:?}", seconds(MAX_RECOVERY_TIME)));
        }
        run_checked(&mut simulation, &mut referee, SECOND / 10);
        if (simulation.now - from).is_multiple_of(SECOND) {
            faults.restore_voters(&mut simulation);
        }
    }
    result.worst_at = worst;
    result.recovery_times.push(simulation.now - from);
    result.calendar_revisions = simulation.calendar_revisions.len() as u64;
    (result.checks, result.checks_in_freeze, result.allowed_joins) =
        (referee.checks, referee.checks_in_freeze, referee.allowed_joins);
    if let Some(violation) = referee.violation {
        let events = faults.events[faults.events.len().saturating_sub(60)..].join("\n  ");
        result.violations.push(format!("{count} balancers, seed {seed}, {violation}\n  {events}"));
    }
    result
}

/// Simulates seeds until all are done, the time `longest` is over, or a rule is violated.
fn run_seeds(count: usize, first: u64, seeds: u64, longest: Duration) -> RunResult {
    let (all, next, stop) = (Mutex::new(RunResult::default()), AtomicU64::new(first), AtomicBool::new(false));
    let started = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while started.elapsed() < longest && !stop.load(Ordering::Relaxed) {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + seeds {
                        return;
                    }
                    let one = run_mixed_faults(count, seed);
                    stop.fetch_or(!one.violations.is_empty(), Ordering::Relaxed);
                    all.lock().unwrap().add(one);
                }
            });
        }
    });
    all.into_inner().unwrap()
}

impl RunResult {
    fn add(&mut self, other: Self) {
        self.seeds += other.seeds;
        self.checks += other.checks;
        self.checks_in_freeze += other.checks_in_freeze;
        self.allowed_joins += other.allowed_joins;
        self.calendar_revisions += other.calendar_revisions;
        if other.fenced.worst > self.fenced.worst {
            self.worst_at = other.worst_at;
        }
        self.fenced.add(&other.fenced);
        self.recovery_times.extend(other.recovery_times);
        self.violations.extend(other.violations);
    }

    fn print(&mut self, count: usize) {
        let (median, worst) = median_and_max(&mut self.recovery_times);
        println!("| mixed faults, {count} balancers: seeds simulated | {} |", self.seeds);
        println!(
            "| — checks of a balancer; of them with a freeze in force | {}; {} |",
            self.checks, self.checks_in_freeze
        );
        println!(
            "| — changes of the calendar committed; checks at which a join was allowed, \
             none during a freeze | {}; {} |",
            self.calendar_revisions, self.allowed_joins
        );
        println!("| — violations | {} |", self.violations.len());
        println!(
            "| — time until all hold a lease after faults ended, median and worst | {}, {} |",
            seconds(median),
            seconds(worst)
        );
        let (mean, worst) = (100.0 * self.fenced.mean(), 100.0 * self.fenced.worst);
        println!(
            "| — share of balancers without a fault of their own fenced at a time, \
             mean and worst | {mean:.4} %, {worst:.2} % |"
        );
        eprintln!("most fenced: {}", self.worst_at);
        self.violations.iter().for_each(|it| eprintln!("VIOLATION: {it}"));
    }
}

fn median_and_max(spans: &mut [Micros]) -> (Micros, Micros) {
    spans.sort_unstable();
    (spans.get(spans.len() / 2).copied().unwrap_or(0), spans.last().copied().unwrap_or(0))
}

/// Measures how long a committed entry takes to reach 99 % of the balancers at 20 % loss.
fn measure_propagation(count: usize) {
    let mut simulation = start_with_leases(count, 1);
    simulation.loss = 0.2;
    let (mut commit_times, mut spans) = (Vec::new(), Vec::new());
    for k in 0..50 {
        let (id, by) = (format!("freeze-{k}"), k * 7 % count);
        let from = simulation.local(by);
        simulation.members[by].as_mut().unwrap().propose(from, freeze(&id).into()).unwrap();
        let proposed_at = simulation.now;
        while simulation.calendar_revisions.len() <= k {
            simulation.run(SECOND / 100);
        }
        let at = simulation.calendar_revisions.values().last().unwrap().0;
        commit_times.push(at - proposed_at);
        while simulation.calendars.iter().filter(|it| it.committed_at(&id).is_some()).count() * 100
            < count * 99
        {
            simulation.run(SECOND / 100);
        }
        spans.push(simulation.now - at);
    }
    let ((median, worst), (commit_median, commit_worst)) =
        (median_and_max(&mut spans), median_and_max(&mut commit_times));
    println!(
        "| {count} balancers, 20 % loss: from proposal to commit, median and worst | {}, {} |",
        seconds(commit_median),
        seconds(commit_worst)
    );
    println!(
        "| — from commit to 99 % of all balancers, median and worst | {}, {} |",
        seconds(median),
        seconds(worst)
    );
}

fn measure_traffic(count: usize) {
    let mut simulation = start_with_leases(count, 1);
    (simulation.datagrams_sent, simulation.bytes_sent) = (0, 0);
    simulation.run(20 * SECOND);
    let balancer_seconds = 20.0 * count as f64;
    println!(
        "| {count} balancers: datagrams and bytes that each sends per second | {:.1}, {:.0} |",
        simulation.datagrams_sent as f64 / balancer_seconds,
        simulation.bytes_sent as f64 / balancer_seconds
    );
}

fn main() -> ExitCode {
    let arguments: Vec<u64> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    println!("| measurement | result |\n|---|---|");
    let mixed: Vec<(usize, u64, u64, u64)> = match arguments[..] {
        [count, seeds, minutes, first] => vec![(count as usize, first, seeds, minutes)],
        _ => vec![(30, 1, 1_000, 4), (300, 1, 10_000, 8)],
    };
    if arguments.is_empty() {
        measure_propagation(300);
        [50, 100, 200, 300].into_iter().for_each(measure_traffic);
    }
    let mut clean = true;
    for (count, first, seeds, minutes) in mixed {
        let mut result = run_seeds(count, first, seeds, Duration::from_secs(60 * minutes));
        result.print(count);
        clean &= result.violations.is_empty();
    }
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
