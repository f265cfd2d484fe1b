//! Measures the cost of membership and its time to converge over many seeds.
//!
//! Arguments: the number of seeds, and the number of seeds for mixed faults. If the first is 0, only mixed faults
//! are measured.
#[path = "../tests/common/mod.rs"]
mod common;

use common::{Fleet, INCARNATION, MILLISECOND, SECOND};
use membership::{Action, DownReason, Micros};

type Scenario = fn(usize, u64) -> Option<Micros>;

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(20);
    let mixed_seeds: u64 = std::env::args().nth(2).and_then(|it| it.parse().ok()).unwrap_or(seeds);
    if seeds > 0 {
        measure_cost();
    }
    let scenarios: [(&str, Scenario, usize, u64); 9] = [
        ("all start at once", start, 300, seeds),
        ("one joins", join, 300, seeds),
        ("70 % crash", crash, 300, seeds),
        ("70 % crash", crash, 50, seeds),
        ("heal of a 20 s partition", heal, 300, seeds),
        ("heal of a 20 s partition", heal, 50, seeds),
        ("return from a 20 s stall", stall, 300, seeds),
        ("one crashes", one_crash, 300, seeds),
        ("mixed faults", mixed, 20, mixed_seeds),
    ];
    println!(
        "\n| scenario | members | seeds | not converged | median s | longest s |\n\
         | --- | --- | --- | --- | --- | --- |"
    );
    for (name, scenario, size, seeds) in scenarios.into_iter().filter(|it| it.3 > 0) {
        let mut durations: Vec<Option<Micros>> = (0..seeds).map(|seed| scenario(size, seed)).collect();
        durations.sort_by_key(|it| it.unwrap_or(Micros::MAX));
        let unconverged = durations.iter().filter(|it| it.is_none()).count();
        let seconds = |at: usize| durations[at].map_or(f64::NAN, |it| it as f64 / SECOND as f64);
        let (median, longest) = (
            seconds(durations.len() / 2),
            seconds(durations.len() - 1 - unconverged.min(durations.len() - 1)),
        );
        println!("| {name} | {size} | {seeds} | {unconverged} | {median:.1} | {longest:.1} |");
    }
    if seeds > 0 {
        measure_loss(seeds);
    }
}

fn measure_cost() {
    println!(
        "| members | loss | datagrams/s per member | bytes/s per member | suspicions/min of the fleet |\n\
         | --- | --- | --- | --- | --- |"
    );
    for size in [50, 100, 200, 300] {
        for loss in [0.0, 0.01, 0.2] {
            let mut fleet = Fleet::converged(size, 7);
            fleet.faults.loss = loss;
            fleet.run(10 * SECOND);
            let before = fleet.counters();
            fleet.run(30 * SECOND);
            let sum = |counter: fn(&membership::Counters) -> u64| {
                let all = fleet.counters();
                all.iter().map(counter).sum::<u64>() as f64 - before.iter().map(counter).sum::<u64>() as f64
            };
            let member_seconds = 30.0 * size as f64;
            let (sent, bytes) =
                (sum(|it| it.sent) / member_seconds, sum(|it| it.sent_bytes) / member_seconds);
            println!("| {size} | {loss} | {sent:.1} | {bytes:.0} | {:.0} |", sum(|it| it.suspicions) * 2.0);
        }
    }
}

fn start(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::new(size, seed);
    (0..size).for_each(|number| fleet.start(number, INCARNATION));
    fleet.converges_within(20 * SECOND)
}

fn join(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::new(size, seed);
    (0..size - 1).for_each(|number| fleet.start(number, INCARNATION));
    fleet.run(10 * SECOND);
    fleet.start(size - 1, INCARNATION);
    fleet.converges_within(20 * SECOND)
}

fn crash(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::converged(size, seed);
    (0..size * 7 / 10).for_each(|number| fleet.crash(number));
    fleet.converges_within(60 * SECOND)
}

fn one_crash(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::converged(size, seed);
    fleet.crash(5);
    fleet.converges_within(60 * SECOND)
}

fn heal(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::converged(size, seed);
    fleet.faults.cut = Box::new(move |from, to| (from < size / 2) != (to < size / 2));
    fleet.run(20 * SECOND);
    fleet.faults.cut = Box::new(|_, _| false);
    fleet.converges_within(60 * SECOND)
}

fn stall(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::converged(size, seed);
    fleet.stall(9, 20 * SECOND);
    fleet.run(20 * SECOND);
    fleet.converges_within(60 * SECOND)
}

/// Runs a fleet under random faults for half a minute. Returns the time to converge after they end.
fn mixed(size: usize, seed: u64) -> Option<Micros> {
    let mut fleet = Fleet::converged(size, seed);
    fleet.faults.delay = 0..80 * MILLISECOND;
    fleet.faults.duplication = 0.1;
    let mut incarnation = INCARNATION;
    for _ in 0..10 {
        fleet.faults.loss = fleet.random.f64() * 0.3;
        let (number, other) = (fleet.random.usize(0..size), fleet.random.usize(0..size));
        match fleet.random.u32(0..7) {
            0 => fleet.crash(number),
            1 => fleet.leave(number),
            2 => fleet.stall(number, 6 * SECOND),
            3 => fleet.faults.cut = Box::new(move |from, _| from == number),
            4 => fleet.faults.cut = Box::new(move |_, to| to == number),
            5 => fleet.faults.cut = Box::new(move |from, to| (from < other) != (to < other)),
            _ => fleet.faults.cut = Box::new(|_, _| false),
        }
        let restarted = fleet.random.usize(0..size);
        if fleet.random.bool() {
            incarnation += SECOND;
            fleet.start(restarted, incarnation);
        }
        fleet.run(3 * SECOND);
    }
    fleet.faults.loss = 0.0;
    fleet.faults.cut = Box::new(|_, _| false);
    fleet.converges_within(90 * SECOND)
}

/// Measures how often, and for how long at most, a live member is down for another in a minute at 20 % loss.
fn measure_loss(seeds: u64) {
    println!(
        "\n| 20 % loss, one minute | times a live member was down for another | longest s |\n\
         | --- | --- | --- |"
    );
    for size in [50, 300] {
        let (mut times, mut longest) = (0, 0);
        for seed in 0..seeds {
            let mut fleet = Fleet::converged(size, seed);
            fleet.faults.loss = 0.2;
            fleet.run(60 * SECOND);
            let (seed_times, seed_longest) = down_times(&fleet);
            times += seed_times;
            longest = longest.max(seed_longest);
        }
        println!("| {size} members, {seeds} seeds | {times} | {:.1} |", longest as f64 / SECOND as f64);
    }
}

/// Returns how often a member was down for another, and for how long at most. Replaced incarnations are not counted.
fn down_times(fleet: &Fleet) -> (usize, Micros) {
    let mut since = std::collections::BTreeMap::new();
    let (mut times, mut longest) = (0, 0);
    for (at, number, action) in &fleet.log {
        match action {
            Action::Down(it, why) if *why != DownReason::Superseded => {
                times += 1;
                since.insert((*number, it.number), *at);
            }
            Action::Up(it) => {
                let span = since.remove(&(*number, it.number)).map_or(0, |from| at - from);
                longest = longest.max(span);
            }
            _ => {}
        }
    }
    let still_down = since.values().map(|from| fleet.now - from).max().unwrap_or(0);
    (times, longest.max(still_down))
}
