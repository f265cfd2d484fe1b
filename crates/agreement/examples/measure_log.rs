//! Plays seeds of mixed faults and prints what came of them: `cargo run --release --example measure_log -p agreement -- SEEDS BALANCERS`.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{SECOND, Sim};

#[derive(Default)]
struct Totals {
    seeds: u64,
    decided: u64,
    given_up: u64,
    spread_us: Vec<u64>,
    recovered_us: Vec<u64>,
    messages: u64,
    simulated_s: u64,
}

/// A minute of faults drawn by the seed, then none; every check is in the simulation itself.
fn play(seed: u64, balancers: u16, totals: &mut Totals) {
    let voters = [3, 5, 7][seed as usize % 3];
    let mut sim = Sim::new(seed, balancers, voters);
    sim.snapshot_each = 20;
    sim.run(5 * SECOND);
    let mut ids = Vec::new();
    let mut away = None;
    for round in 0..20_u64 {
        common::fault(&mut sim, &mut away, voters);
        let by = sim.random.u16(..balancers);
        if sim.balancers[by as usize].node.is_some() {
            let incarnation = sim.balancers[by as usize].incarnation;
            ids.push((by, incarnation, sim.propose(by, round.to_le_bytes().to_vec())));
        }
        sim.run(2 * SECOND);
    }
    common::end_faults(&mut sim, &mut away);
    let start = sim.now;
    let before = sim.agreed.len() as u64;
    let by = (0..balancers).rev().find(|n| sim.balancers[*n as usize].node.is_some()).expect("one is up");
    let id = sim.propose(by, b"peace".to_vec());
    if !sim.run_until(start + 12 * SECOND, |sim| sim.agreed.len() as u64 > before) {
        sim.print_voters();
        panic!("seed {seed} does not recover");
    }
    totals.recovered_us.push(sim.now - start);
    let (agreed, revision) = (sim.now, sim.agreed.len() as u64);
    let up = sim.balancers.iter().filter(|b| b.node.is_some()).count();
    let enough = up - up / 100;
    assert!(
        sim.run_until(agreed + 20 * SECOND, |sim| sim.count_caught_up(revision) >= enough),
        "seed {seed} spreads"
    );
    totals.spread_us.push(sim.now - agreed);
    assert!(sim.decided(by, id, 12 * SECOND), "seed {seed}");
    sim.run(15 * SECOND);
    sim.assert_converged();
    let ended = |(by, incarnation, id): &(u16, u64, u64)| {
        (sim.balancers[*by as usize].incarnation == *incarnation)
            .then(|| sim.outcome(*by, *id).expect("has ended"))
    };
    let ended: Vec<_> = ids.iter().filter_map(ended).collect();
    totals.given_up +=
        ended.iter().filter(|outcome| **outcome == agreement::ProposalOutcome::TimedOut).count() as u64;
    totals.seeds += 1;
    totals.decided += sim.agreed.len() as u64;
    totals.messages += sim.sent;
    totals.simulated_s += sim.now / SECOND;
}

fn quantile(values: &mut [u64], part: f64) -> u64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * part) as usize] / 1_000
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|argument| argument.parse().ok());
    let seeds: u64 = arguments.next().unwrap_or(1_000);
    let balancers = arguments.next().unwrap_or(300) as u16;
    let from: u64 = arguments.next().unwrap_or(0);
    let mut totals = Totals::default();
    (from..from + seeds).for_each(|seed| play(seed, balancers, &mut totals));
    println!("| what | figure |\n| --- | --- |");
    println!("| seeds, balancers, none forked | {}, {balancers} |", totals.seeds);
    println!("| decided, given up | {}, {} |", totals.decided, totals.given_up);
    for (name, values) in [
        ("faults' end to decision", &mut totals.recovered_us),
        ("decision to 99% know", &mut totals.spread_us),
    ] {
        let (half, most, all) = (quantile(values, 0.5), quantile(values, 0.99), quantile(values, 1.0));
        println!("| {name}, p50 p99 max | {half} {most} {all} ms |");
    }
    let rate = totals.messages / (totals.simulated_s * u64::from(balancers)).max(1);
    println!("| messages sent per balancer and second | {rate} |");
}
