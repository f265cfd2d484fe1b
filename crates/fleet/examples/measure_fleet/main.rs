//! Plays fleets through seeds of mixed faults on a virtual clock, has a referee look at each tick, and prints a table of what it took.
//!
//! `measure [BALANCERS SEEDS MINUTES FIRST]` plays mixed faults alone; without arguments, all that the table has. A violation prints its seed.

#[path = "../../tests/common/mod.rs"]
mod common;
mod faults;
mod referee;

use audit::lease::LeaseState;
use common::{SECOND, Site, freeze};
use faults::Faults;
use fleet::Micros;
use referee::{Referee, ShutOut, seconds};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const LEASE: Micros = 10 * SECOND;
const COUNCIL: usize = 5;
/// Seeds played at a time.
const THREADS: usize = 3;
/// How long faults go on.
const FAULTY: Micros = 120 * SECOND;
/// Within which all are held once faults have ended: a first lease, or two elections and a council to change.
const RECOVERED: Micros = 30 * SECOND;
/// How often it is counted who is shut out.
const SAMPLE: Micros = SECOND / 4;

/// What seeds came to.
#[derive(Default)]
struct Played {
    seeds: u64,
    looks: u64,
    frozen_looks: u64,
    joins: u64,
    entries: u64,
    out: ShutOut,
    /// When the most were shut out, and what had happened before.
    worst_at: String,
    recovered: Vec<Micros>,
    violations: Vec<String>,
}

fn with_leases(count: usize, seed: u64) -> Site {
    let mut site = Site::new(count, COUNCIL, "10s", seed);
    site.run_until(60 * SECOND, |it| it.all_have_state(LeaseState::Held));
    site
}

fn watched(site: &mut Site, referee: &mut Referee, span: Micros) {
    site.run_watching(span, |it| referee.look(it, it.ticked));
}

fn mixed(count: usize, seed: u64) -> Played {
    let mut site = Site::new(count, COUNCIL, "10s", seed);
    let (mut faults, mut referee) = (Faults::new(&mut site), Referee::default());
    let mut played = Played { seeds: 1, ..Played::default() };
    let mut worst = String::new();
    watched(&mut site, &mut referee, 20 * SECOND);
    let end = site.now + FAULTY;
    while site.now < end && referee.violation.is_none() {
        faults.turn(&mut site, &mut referee);
        for _ in 0..SECOND / SAMPLE {
            watched(&mut site, &mut referee, SAMPLE);
            let before = played.out.worst;
            played.out.sample(&site, |n| faults.faultless(&site, n));
            if played.out.worst > before {
                let told = faults.told[faults.told.len().saturating_sub(12)..].join("\n  ");
                worst = format!("{count} balancers, seed {seed}, {} ms\n  {told}", site.now / 1_000);
            }
        }
    }
    faults.end_all(&mut site, &mut referee);
    let from = site.now;
    while !site.all_have_state(LeaseState::Held) && referee.violation.is_none() {
        if site.now - from >= RECOVERED {
            let not =
                (0..count).filter(|n| site.lease_state(*n) != Some(LeaseState::Held)).collect::<Vec<_>>();
            referee.violation = Some(format!("not held within {}: {not:?}", seconds(RECOVERED)));
        }
        watched(&mut site, &mut referee, SECOND / 10);
        if (site.now - from).is_multiple_of(SECOND) {
            faults.renew(&mut site);
        }
    }
    played.worst_at = worst;
    played.recovered.push(site.now - from);
    played.entries = site.decided.len() as u64;
    (played.looks, played.frozen_looks, played.joins) = (referee.looks, referee.frozen_looks, referee.joins);
    if let Some(violation) = referee.violation {
        let told = faults.told[faults.told.len().saturating_sub(60)..].join("\n  ");
        played.violations.push(format!("{count} balancers, seed {seed}, {violation}\n  {told}"));
    }
    played
}

/// Plays seeds until all are, or the time is over; a violation ends it.
fn play(count: usize, first: u64, seeds: u64, longest: Duration) -> Played {
    let (all, next, stop) = (Mutex::new(Played::default()), AtomicU64::new(first), AtomicBool::new(false));
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while begun.elapsed() < longest && !stop.load(Ordering::Relaxed) {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + seeds {
                        return;
                    }
                    let one = mixed(count, seed);
                    stop.fetch_or(!one.violations.is_empty(), Ordering::Relaxed);
                    all.lock().unwrap().add(one);
                }
            });
        }
    });
    all.into_inner().unwrap()
}

impl Played {
    fn add(&mut self, other: Self) {
        self.seeds += other.seeds;
        self.looks += other.looks;
        self.frozen_looks += other.frozen_looks;
        self.joins += other.joins;
        self.entries += other.entries;
        if other.out.worst > self.out.worst {
            self.worst_at = other.worst_at;
        }
        self.out.add(&other.out);
        self.recovered.extend(other.recovered);
        self.violations.extend(other.violations);
    }

    fn print(&mut self, count: usize) {
        let (median, worst) = middle_and_worst(&mut self.recovered);
        println!("| mixed faults, {count} balancers: seeds played | {} |", self.seeds);
        println!(
            "| — looks at a balancer; of them with a freeze in force | {}; {} |",
            self.looks, self.frozen_looks
        );
        println!(
            "| — changes of the calendar agreed; looks at which a join was taken, none against a freeze | {}; {} |",
            self.entries, self.joins
        );
        println!("| — violations | {} |", self.violations.len());
        println!(
            "| — all held after faults ended, median and worst | {}, {} |",
            seconds(median),
            seconds(worst)
        );
        let (mean, worst) = (100.0 * self.out.mean(), 100.0 * self.out.worst);
        println!(
            "| — of those without a fault of their own fenced at a time, mean and worst | {mean:.4} %, {worst:.2} % |"
        );
        eprintln!("most fenced: {}", self.worst_at);
        self.violations.iter().for_each(|it| eprintln!("VIOLATION: {it}"));
    }
}

fn middle_and_worst(spans: &mut [Micros]) -> (Micros, Micros) {
    spans.sort_unstable();
    (spans.get(spans.len() / 2).copied().unwrap_or(0), spans.last().copied().unwrap_or(0))
}

/// How long agreed entries take to 99 of 100, at a fifth lost.
fn spread(count: usize) {
    let mut site = with_leases(count, 1);
    site.loss = 0.2;
    let (mut agreed, mut spans) = (Vec::new(), Vec::new());
    for k in 0..50 {
        let (id, by) = (format!("freeze-{k}"), k * 7 % count);
        let from = site.local(by);
        site.members[by].as_mut().unwrap().propose(from, freeze(&id).into()).unwrap();
        let asked = site.now;
        while site.decided.len() <= k {
            site.run(SECOND / 100);
        }
        let at = site.decided.values().last().unwrap().0;
        agreed.push(at - asked);
        while site.calendars.iter().filter(|it| it.agreed_at(&id).is_some()).count() * 100 < count * 99 {
            site.run(SECOND / 100);
        }
        spans.push(site.now - at);
    }
    let ((median, worst), (agreed, latest)) = (middle_and_worst(&mut spans), middle_and_worst(&mut agreed));
    println!(
        "| {count} balancers, a fifth lost: from proposal to agreed, median and worst | {}, {} |",
        seconds(agreed),
        seconds(latest)
    );
    println!("| — from agreed to 99 % of all, median and worst | {}, {} |", seconds(median), seconds(worst));
}

fn traffic(count: usize) {
    let mut site = with_leases(count, 1);
    (site.sent, site.bytes) = (0, 0);
    site.run(20 * SECOND);
    let each = 20.0 * count as f64;
    println!(
        "| {count} balancers: datagrams and bytes that each sends a second | {:.1}, {:.0} |",
        site.sent as f64 / each,
        site.bytes as f64 / each
    );
}

fn main() -> ExitCode {
    let given: Vec<u64> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    println!("| what | measured |\n|---|---|");
    let mixed: Vec<(usize, u64, u64, u64)> = match given[..] {
        [count, seeds, minutes, first] => vec![(count as usize, first, seeds, minutes)],
        _ => vec![(30, 1, 1_000, 4), (300, 1, 10_000, 8)],
    };
    if given.is_empty() {
        spread(300);
        [50, 100, 200, 300].into_iter().for_each(traffic);
    }
    let mut clean = true;
    for (count, first, seeds, minutes) in mixed {
        let mut played = play(count, first, seeds, Duration::from_secs(60 * minutes));
        played.print(count);
        clean &= played.violations.is_empty();
    }
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
