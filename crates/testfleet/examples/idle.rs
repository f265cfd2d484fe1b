//! Measures memory, processor time and datagrams of fleets of idle balancers: `idle PROGRAM BALANCERS...`, where each
//! `BALANCERS` is the size of a fleet.

use std::time::{Duration, Instant};
use testfleet::fleet::Fleet;
use testfleet::proc_stats::resource_usage;

/// The duration of the measurement of each fleet.
const WATCHED: Duration = Duration::from_secs(10);

fn main() -> std::io::Result<()> {
    let mut args = std::env::args().skip(1);
    let program = args.next().unwrap_or_else(|| "target/release/spindlebeam".into());
    for balancers in args.filter_map(|arg| arg.parse::<usize>().ok()) {
        let begun = Instant::now();
        let fleet =
            Fleet::builder(&program).balancers(balancers).cache_nodes(4).zones(3).with_peers(true).start()?;
        let ready = begun.elapsed();
        let sum = || {
            let each =
                (0..balancers).filter_map(|number| resource_usage(fleet.balancer(number).process.id()));
            each.fold((0, 0), |(resident_kb, processor_us), usage| {
                (resident_kb + usage.resident_kb, processor_us + usage.processor_us)
            })
        };
        let (before, ours) = (sum(), resource_usage(std::process::id()).unwrap_or_default());
        let watched = Instant::now();
        std::thread::park_timeout(WATCHED);
        let (after, ours_after) = (sum(), resource_usage(std::process::id()).unwrap_or_default());
        let share = |us: u64| us as f64 / watched.elapsed().as_micros() as f64 * 100.0;
        let others = (0..balancers).flat_map(|a| (0..balancers).map(move |b| (a, b)));
        let datagrams: u64 = others.map(|(a, b)| fleet.udp_relay().counts(a, b).sent).sum();
        println!(
            "{balancers} balancers: ready in {ready:?}; {} MB resident, {:.1} % of a core; relays and stand-ins: \
             {} MB resident; {datagrams} datagrams relayed",
            after.0 / 1024,
            share(after.1.saturating_sub(before.1)),
            ours_after.resident_kb.max(ours.resident_kb) / 1024
        );
    }
    Ok(())
}
