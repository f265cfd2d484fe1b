//! What lists cost in fleets of growing size, one process under the same load: `cargo bench -p spindlebeam --bench lists`.
//!
//! Prints a row for each form of list and size: requests that went to draining endpoints later than 0.25 s behind the list's
//! last byte, and the last of them; processor time of the process over the run, its memory and descriptors at the end; the longest
//! answer; connections made to endpoints; and the bytes of lists that discovery wrote, from the start on.

use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testfleet::cache_node::CacheNodeBehaviour;
use testfleet::discovery::{ListEncoding, Phase};
use testfleet::fleet::Fleet;
use testfleet::proc_stats::{open_descriptors, resource_usage};

/// Stand-ins for all endpoints, so that a quarter of them can drain.
const HOSTS: usize = 8;
/// Requests a second, and in all.
const RATE: f64 = 200.0;
const REQUESTS: usize = 1_800;
/// Requests before the list.
const BEFORE: usize = 400;
const GRACE: Duration = Duration::from_millis(250);

/// A fifth of a core: the process runs for so long, and then stands still for so long.
const FIFTH: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));

/// What of a core the process has.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Core {
    Whole,
    Fifth,
}

/// Gives the process its part of a core until the run is over.
fn give(core: Core, fleet: &Fleet, over: &AtomicBool) {
    let process = &fleet.balancer(0).process;
    while core == Core::Fifth && !over.load(Ordering::Relaxed) {
        let _ = process.pause();
        std::thread::sleep(FIFTH.1); // what is measured: a process that is given a part of its time
        let _ = process.resume();
        std::thread::sleep(FIFTH.0);
    }
}

/// What is told in the middle of a run.
#[derive(Debug, Clone, Copy)]
enum Told {
    Nothing,
    Changes(ListEncoding),
}

fn run(program: &str, endpoints: usize, told: Told, keys: u64, core: Core) -> std::io::Result<()> {
    let fleet = Fleet::builder(program).balancers(1).cache_nodes(HOSTS).ids(endpoints / HOSTS).seed(40);
    let fleet = fleet.overrides(json!({"limits": {"sockets": 512}})).start()?;
    (0..HOSTS).for_each(|number| fleet.cache_node(number).set_behaviour(CacheNodeBehaviour::HoldsAll));
    let process = fleet.balancer(0).process.id();
    let used = || resource_usage(process).unwrap_or_default();
    let before = used();
    fleet.clients().start_load(testfleet::clients::Load { keys, ..fleet.load(&["read"], RATE, REQUESTS) });
    fleet.clients().await_sent(BEFORE);
    let mut behind: Option<Instant> = None;
    let drained = HOSTS / 4;
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| give(core, &fleet, &over));
        if let Told::Changes(form) = told {
            fleet.balancer(0).agent.set_encoding(form);
            fleet.set_phases(0..drained, Phase::Draining);
            behind = Some(fleet.await_notification(0, drained - 1, Phase::Draining));
        }
        fleet.clients().await_answered(REQUESTS);
        over.store(true, Ordering::Relaxed);
    });
    let (after, descriptors, list_bytes) =
        (used(), open_descriptors(process), fleet.balancer(0).agent.list_bytes());
    let names: Vec<&str> = (0..drained).map(|number| fleet.cache_node(number).name()).collect();
    let late = fleet.attempts().with_entries(|all| {
        let sent = all.iter().filter(|it| names.contains(&&it.endpoint[..]));
        let behind = sent.filter_map(|it| it.at.checked_duration_since(behind?));
        let late: Vec<Duration> = behind.filter(|it| *it > GRACE).collect();
        (late.len(), late.into_iter().max().unwrap_or_default())
    });
    let made = fleet.attempts().with_entries(|all| {
        let connections: std::collections::HashSet<_> =
            all.iter().map(|it| (&it.endpoint, it.connection)).collect();
        connections.len()
    });
    let longest = fleet.clients().calls().with_entries(|all| {
        let took = all.iter().filter_map(|it| Some(it.answers.first()?.0 - it.written_at?));
        took.max().unwrap_or_default()
    });
    let verdict = fleet.verdict();
    println!(
        "{endpoints:>5} endpoints, {keys:>8} keys, {core:?} core, {told:?}: {} late, the last {:.2} s; {:.2} s of processor time, {} MB; \
         longest answer {:.3} s; {made} connections; {descriptors} descriptors; {} KB of lists; {} served, {} violations",
        late.0,
        late.1.as_secs_f64(),
        (after.processor_us - before.processor_us) as f64 / 1e6,
        after.resident_kb / 1024,
        longest.as_secs_f64(),
        list_bytes / 1024,
        verdict.served,
        verdict.violations.len(),
    );
    if !verdict.violations.is_empty() {
        println!("  {verdict}");
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    let program = std::env::args().skip(1).find(|word| !word.starts_with("--"));
    let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_spindlebeam").into());
    let form = |whole, indented, piece| Told::Changes(ListEncoding { indented, whole, piece });
    let cases = [
        Told::Nothing,
        form(false, false, None),
        form(true, false, None),
        form(true, true, None),
        form(true, true, Some(64)),
    ];
    for told in cases {
        for endpoints in [200, 800, 3_200] {
            run(&program, endpoints, told, 200, Core::Whole)?;
        }
    }
    for endpoints in [16, 200, 3_200] {
        run(&program, endpoints, Told::Nothing, 1_000_000, Core::Whole)?;
    }
    for endpoints in [200, 3_200] {
        run(&program, endpoints, form(true, true, None), 200, Core::Fifth)?;
    }
    Ok(())
}
