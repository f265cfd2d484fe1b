//! Simulates mixed faults for a range of seeds and prints the commit times and counts:
//! `cargo run --release --example measure_log -p agreement -- SEEDS BALANCERS [FIRST_SEED]`.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{SECOND, Sim};

#[derive(Default)]
struct Totals {
    seeds: u64,
    committed: u64,
    timed_out: u64,
    /// Times from a commit until 99 % of the running balancers have received it, in microseconds.
    propagation_us: Vec<u64>,
    /// Times from the end of the faults to the next commit, in microseconds.
    recovery_us: Vec<u64>,
    messages: u64,
    simulated_s: u64,
}

/// Runs 40 seconds of faults drawn from the seed, then a period without faults. The simulation checks every
/// committed entry.
fn run_seed(seed: u64, balancers: u16, totals: &mut Totals) {
    let voters = [3, 5, 7][seed as usize % 3];
    let mut sim = Sim::new(seed, balancers, voters);
    sim.snapshot_interval = 20;
    sim.run(5 * SECOND);
    let mut proposals = Vec::new();
    let mut pending_restart = None;
    for round in 0..20_u64 {
        common::inject_fault(&mut sim, &mut pending_restart, voters);
        let proposer = sim.random.u16(..balancers);
        if sim.balancers[proposer as usize].node.is_some() {
            let incarnation = sim.balancers[proposer as usize].incarnation;
            proposals.push((proposer, incarnation, sim.propose(proposer, round.to_le_bytes().to_vec())));
        }
        sim.run(2 * SECOND);
    }
    common::end_faults(&mut sim, &mut pending_restart);
    let start = sim.now;
    let before = sim.committed.len() as u64;
    let proposer = (0..balancers)
        .rev()
        .find(|n| sim.balancers[*n as usize].node.is_some())
        .expect("a balancer is running");
    let id = sim.propose(proposer, b"final".to_vec());
    if !sim.run_until(start + 12 * SECOND, |sim| sim.committed.len() as u64 > before) {
        sim.print_voters();
        panic!("seed {seed}: no commit within 12 seconds after the faults end");
    }
    totals.recovery_us.push(sim.now - start);
    let (committed_at, revision) = (sim.now, sim.committed.len() as u64);
    let running = sim.balancers.iter().filter(|balancer| balancer.node.is_some()).count();
    let required = running - running / 100;
    assert!(
        sim.run_until(committed_at + 20 * SECOND, |sim| sim.count_caught_up(revision) >= required),
        "seed {seed}: fewer than {required} balancers caught up within 20 seconds"
    );
    totals.propagation_us.push(sim.now - committed_at);
    assert!(sim.run_until_committed(proposer, id, 12 * SECOND), "seed {seed}: the proposer gets no outcome");
    sim.run(15 * SECOND);
    sim.assert_converged();
    // A proposer that was restarted does not report the outcomes of its earlier proposals.
    let outcome = |(proposer, incarnation, id): &(u16, u64, u64)| {
        (sim.balancers[*proposer as usize].incarnation == *incarnation)
            .then(|| sim.outcome(*proposer, *id).expect("each proposal has ended"))
    };
    let outcomes: Vec<_> = proposals.iter().filter_map(outcome).collect();
    totals.timed_out +=
        outcomes.iter().filter(|outcome| **outcome == agreement::ProposalOutcome::TimedOut).count() as u64;
    totals.seeds += 1;
    totals.committed += sim.committed.len() as u64;
    totals.messages += sim.messages_sent;
    totals.simulated_s += sim.now / SECOND;
}

/// The quantile of the values, in milliseconds.
fn quantile_ms(values: &mut [u64], fraction: f64) -> u64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * fraction) as usize] / 1_000
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|argument| argument.parse().ok());
    let seeds: u64 = arguments.next().unwrap_or(1_000);
    let balancers = arguments.next().unwrap_or(300) as u16;
    let first_seed: u64 = arguments.next().unwrap_or(0);
    let mut totals = Totals::default();
    (first_seed..first_seed + seeds).for_each(|seed| run_seed(seed, balancers, &mut totals));
    println!("| measure | value |\n| --- | --- |");
    println!("| seeds, balancers, no forks | {}, {balancers} |", totals.seeds);
    println!("| committed, timed out | {}, {} |", totals.committed, totals.timed_out);
    for (name, values) in [
        ("end of faults to commit", &mut totals.recovery_us),
        ("commit to 99% caught up", &mut totals.propagation_us),
    ] {
        let (p50, p99, max) = (quantile_ms(values, 0.5), quantile_ms(values, 0.99), quantile_ms(values, 1.0));
        println!("| {name}, p50 p99 max | {p50} {p99} {max} ms |");
    }
    let rate = totals.messages / (totals.simulated_s * u64::from(balancers)).max(1);
    println!("| messages sent per balancer per second | {rate} |");
}
