//! Measures memory, processor time and datagrams of fleets of idle balancers: `idle PROGRAM BALANCERS...`, where each
//! `BALANCERS` is the size of a fleet.

use std::time::{Duration, Instant};
use testfleet::fleet::Fleet;
use testfleet::proc_stats::resource_usage;

/// The duration of the measurement of each fleet.
const MEASUREMENT: Duration = Duration::from_secs(10);

fn main() -> std::io::Result<()> {
    let mut args = std::env::args().skip(1);
    let program = args.next().unwrap_or_else(|| "target/release/spindlebeam".into());
    for balancers in args.filter_map(|arg| arg.parse::<usize>().ok()) {
        let started = Instant::now();
        let fleet =
            Fleet::builder(&program).balancers(balancers).cache_nodes(4).zones(3).with_peers(true).start()?;
        let ready = started.elapsed();
        let total_usage = || {
            let each =
                (0..balancers).filter_map(|number| resource_usage(fleet.balancer(number).process.id()));
            each.fold((0, 0), |(resident_kb, processor_us), usage| {
                (resident_kb + usage.resident_kb, processor_us + usage.processor_us)
            })
        };
        let (before, own) = (total_usage(), resource_usage(std::process::id()).unwrap_or_default());
        let measured_from = Instant::now();
        std::thread::park_timeout(MEASUREMENT);
        let (after, own_after) = (total_usage(), resource_usage(std::process::id()).unwrap_or_default());
        let percent_of_core = |us: u64| us as f64 / measured_from.elapsed().as_micros() as f64 * 100.0;
        let pairs = (0..balancers).flat_map(|a| (0..balancers).map(move |b| (a, b)));
        let datagrams: u64 = pairs.map(|(a, b)| fleet.udp_relay().counts(a, b).sent).sum();
        println!(
            "{balancers} balancers: ready in {ready:?}; {} MB resident, {:.1} % of a core; relays and stand-ins: \
             {} MB resident; {datagrams} datagrams relayed",
            after.0 / 1024,
            percent_of_core(after.1.saturating_sub(before.1)),
            own_after.resident_kb.max(own.resident_kb) / 1024
        );
    }
    Ok(())
}
