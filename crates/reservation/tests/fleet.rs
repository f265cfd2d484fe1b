//! The rate of a booking that 300 simulated holders may use under faults of the network, the leader and the holders.

mod world;

use reservation::*;
use world::*;

const BOOKING: BookingId = BookingId(1);

fn simulation_with_booking(seed: u64, loss: f64, delay: Micros) -> Simulation {
    let mut simulation = Simulation::new(seed, 300, loss, delay);
    simulation.propose(capacity(0, 16_000, 1_600));
    simulation.propose(Proposal::Book(request(1, 12_000, 1_200, &[(START, START + 3_600 * SECOND)])));
    simulation
}

/// Injects random faults, and sends traffic to the busy nodes, which change at random.
fn inject_faults_and_traffic(simulation: &mut Simulation, busy: &mut Vec<usize>) {
    let node = simulation.random.usize(..simulation.nodes.len());
    match simulation.random.u32(..3_000) {
        0..40 => simulation.nodes[node].stalled_until = simulation.now + simulation.random.u64(..6 * SECOND),
        40..60 => simulation.crash(node),
        60..66 => simulation.change_leader(),
        66..70 => {
            let leader = simulation.leader;
            simulation.nodes[leader].stalled_until = simulation.now + simulation.random.u64(..3 * SECOND);
        }
        70..90 => {
            *busy = (0..1 + simulation.random.usize(..6)).map(|_| simulation.random.usize(..300)).collect()
        }
        _ => {}
    }
    let down: Vec<_> = (0..simulation.nodes.len()).filter(|node| !simulation.nodes[*node].is_up).collect();
    for node in down {
        if simulation.random.f64() < 0.01 {
            simulation.restart(node);
        }
    }
    for node in busy.iter() {
        simulation.admit_reads(*node, 120);
    }
}

#[test]
fn usable_slices_never_exceed_the_booking_under_mixed_faults() {
    for seed in 0..6 {
        let mut simulation = simulation_with_booking(seed, 0.25, 120_000);
        let mut busy = vec![3, 77, 201];
        let (mut max_reads, mut rebooked) = (0, None);
        for step in 0..3_000_u64 {
            if step == 1_500 {
                simulation.propose(Proposal::Cancel(BOOKING));
            }
            if step > 1_500 && step % 20 == 0 && rebooked.is_none() {
                let from = simulation.fleet_now();
                let id = 100 + step;
                let proposal = Proposal::Book(request(id, 12_000, 1_200, &[(from, from + 3_000 * SECOND)]));
                simulation.propose(proposal.clone());
                simulation.propose(proposal);
                rebooked =
                    matches!(simulation.outcomes[&id], Outcome::Granted { .. }).then_some(BookingId(id));
            }
            simulation.step();
            inject_faults_and_traffic(&mut simulation, &mut busy);
            let bookings = [Some(BOOKING), rebooked].into_iter().flatten();
            let rates = bookings.map(|id| simulation.total_usable_rate(id));
            let sum = rates.fold(Rate::default(), |sum, rate| sum.zip_with(rate, |a, b| a + b));
            max_reads = max_reads.max(sum.reads);
            assert!(
                sum.fits(PerKind { reads: 12_000_000, fetches: 1_200_000 }),
                "seed {seed}, step {step}: {sum:?}"
            );
            let (book, time) = (&simulation.committed_book, simulation.fleet_now());
            assert!(book.booked_at(time).fits(book.bookable_at(time)), "seed {seed}, step {step}");
        }
        assert!(rebooked.is_some(), "seed {seed}: the released rate never becomes free");
        println!(
            "seed {seed}: at most {max_reads} of 12000000 usable at once, {} entries",
            simulation.log.len()
        );
        assert!(
            max_reads > 6_000_000,
            "seed {seed}: slices do not grow, at most {max_reads} of 12000000 usable"
        );
    }
}

/// Milliseconds until three nodes that receive all the traffic get 95% of the booked rate over half a second.
fn millis_until_booked_rate(simulation: &mut Simulation, busy: [usize; 3]) -> u64 {
    let (begin, mut recent) = (simulation.now, std::collections::VecDeque::new());
    while simulation.now < begin + 20 * SECOND {
        simulation.step();
        recent.push_back(busy.iter().map(|node| simulation.admit_reads(*node, 45)).sum::<u64>());
        if recent.len() > 50 {
            recent.pop_front();
        }
        if recent.len() == 50 && recent.iter().sum::<u64>() >= 6_000 * 95 / 100 {
            return (simulation.now - begin) / 1_000;
        }
    }
    panic!(
        "three nodes never got the booked rate: {} of 6000 reads in half a second, {} usable",
        recent.iter().sum::<u64>(),
        simulation.total_usable_rate(BOOKING).reads
    )
}

#[test]
fn three_of_300_balancers_get_the_booked_rate_within_seconds() {
    let mut simulation = simulation_with_booking(1, 0.0, 40_000);
    (0..300).for_each(|_| simulation.step());
    let first = millis_until_booked_rate(&mut simulation, [5, 150, 280]);
    let moved = millis_until_booked_rate(&mut simulation, [6, 151, 281]);
    for node in [6, 151, 281] {
        simulation.crash(node);
    }
    let crashed = millis_until_booked_rate(&mut simulation, [7, 152, 282]);
    println!("free slices: {first} ms, held by others: {moved} ms, held by crashed nodes: {crashed} ms");
    assert!(
        first <= 1_500 && moved <= 3_000 && crashed <= 5_000,
        "free slices: {first} ms, held by others: {moved} ms, held by crashed nodes: {crashed} ms"
    );
}

#[test]
fn usable_rate_respects_reduced_capacity_after_a_lease() {
    let mut simulation = simulation_with_booking(4, 0.25, 120_000);
    let mut busy = vec![1, 2, 3];
    (0..500).for_each(|_| {
        simulation.step();
        inject_faults_and_traffic(&mut simulation, &mut busy);
    });
    simulation.propose(capacity(0, 8_000, 800));
    let changed_at = simulation.now;
    for _ in 0..1_000 {
        simulation.step();
        inject_faults_and_traffic(&mut simulation, &mut busy);
        let limit = if simulation.now > changed_at + LEASE_US + LEASE_US / 500 + STEP {
            6_000_000
        } else {
            12_000_000
        };
        assert!(
            simulation.total_usable_rate(BOOKING).reads <= limit,
            "{} usable {} ms after the change",
            simulation.total_usable_rate(BOOKING).reads,
            (simulation.now - changed_at) / 1_000
        );
    }
    assert_eq!(
        simulation.committed_book.rate_at(BOOKING, simulation.fleet_now()).map(|rate| rate.reads),
        Some(6_000_000)
    );
}

#[test]
fn unused_booking_is_released_and_used_one_is_not() {
    for used in [false, true] {
        let mut simulation = Simulation::new(9, 5, 0.0, 40_000);
        simulation.propose(capacity(0, 16_000, 1_600));
        simulation.propose(Proposal::Book(request(1, 12_000, 0, &[(START, START + 3_600 * SECOND)])));
        for step in 0..(NO_SHOW_US / STEP + 1_000) {
            simulation.step();
            if used && step < 1_000 {
                simulation.admit_reads(2, 20);
            }
        }
        let granted = simulation.committed_book.granted_at(simulation.fleet_now());
        assert_eq!(granted.reads, if used { 12_000_000 } else { 0 });
    }
}
