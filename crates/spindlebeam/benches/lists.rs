//! The cost of endpoint lists in fleets of growing size, for one process under the same load:
//! `cargo bench -p spindlebeam --bench lists`.
//!
//! Prints a row for each list encoding and size: the number of requests sent to draining endpoints more than 0.25 s
//! after the last byte of the list, and the delay of the latest; the processor time of the process over the run, its
//! memory and its descriptors at the end; the longest time to an answer; the connections made to endpoints; and the
//! bytes of lists that discovery wrote since the start.

use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testfleet::cache_node::CacheNodeBehaviour;
use testfleet::discovery::{ListEncoding, Phase};
use testfleet::fleet::Fleet;
use testfleet::proc_stats::{open_descriptors, resource_usage};

/// Number of cache nodes that stand in for all endpoints; a quarter of them drains.
const CACHE_NODES: usize = 8;
/// Requests per second, and in total.
const RATE: f64 = 200.0;
const REQUESTS: usize = 1_800;
/// Number of requests sent before the list.
const REQUESTS_BEFORE_LIST: usize = 400;
/// Time after the list until which draining endpoints may get requests.
const GRACE: Duration = Duration::from_millis(250);

/// A fifth of a core: the durations for which the process runs, and for which it is then stopped.
const FIFTH_OF_CORE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));

/// The share of a core that the process gets.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Core {
    Whole,
    Fifth,
}

/// Limits the process to its share of a core until the run is finished.
fn throttle(core: Core, fleet: &Fleet, finished: &AtomicBool) {
    let process = &fleet.balancer(0).process;
    while core == Core::Fifth && !finished.load(Ordering::Relaxed) {
        let _ = process.pause();
        std::thread::sleep(FIFTH_OF_CORE.1); // the measured case is a process that gets a part of the time
        let _ = process.resume();
        std::thread::sleep(FIFTH_OF_CORE.0);
    }
}

/// What discovery sends in the middle of a run.
#[derive(Debug, Clone, Copy)]
enum ListUpdate {
    Nothing,
    Changes(ListEncoding),
}

fn run(program: &str, endpoints: usize, update: ListUpdate, keys: u64, core: Core) -> std::io::Result<()> {
    let fleet = Fleet::builder(program).balancers(1).cache_nodes(CACHE_NODES).seed(40);
    let fleet = fleet.ids_per_cache_node(endpoints / CACHE_NODES);
    let fleet = fleet.overrides(json!({"limits": {"sockets": 512}})).start()?;
    (0..CACHE_NODES)
        .for_each(|number| fleet.cache_node(number).set_behaviour(CacheNodeBehaviour::AlwaysHits));
    let process = fleet.balancer(0).process.id();
    let used = || resource_usage(process).unwrap_or_default();
    let before = used();
    fleet.clients().start_load(testfleet::clients::Load { keys, ..fleet.load(&["read"], RATE, REQUESTS) });
    fleet.clients().await_sent(REQUESTS_BEFORE_LIST);
    let mut notified: Option<Instant> = None;
    let drained = CACHE_NODES / 4;
    let finished = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| throttle(core, &fleet, &finished));
        if let ListUpdate::Changes(encoding) = update {
            fleet.balancer(0).agent.set_encoding(encoding);
            fleet.set_phases(0..drained, Phase::Draining);
            notified = Some(fleet.await_notification(0, drained - 1, Phase::Draining));
        }
        fleet.clients().await_answered(REQUESTS);
        finished.store(true, Ordering::Relaxed);
    });
    let (after, descriptors, list_bytes) =
        (used(), open_descriptors(process), fleet.balancer(0).agent.list_bytes());
    let names: Vec<&str> = (0..drained).map(|number| fleet.cache_node(number).name()).collect();
    let late = fleet.attempts().with_entries(|all| {
        let sent = all.iter().filter(|it| names.contains(&&it.endpoint[..]));
        let delays = sent.filter_map(|it| it.received.checked_duration_since(notified?));
        let late: Vec<Duration> = delays.filter(|delay| *delay > GRACE).collect();
        (late.len(), late.into_iter().max().unwrap_or_default())
    });
    let connections_made = fleet.attempts().with_entries(|all| {
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
        "{endpoints:>5} endpoints, {keys:>8} keys, {core:?} core, {update:?}: {} late, the last {:.2} s; {:.2} s of processor time, {} MB; \
         longest answer {:.3} s; {connections_made} connections; {descriptors} descriptors; {} KB of lists; {} served, {} violations",
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
    let encoding = |whole, indented, piece| ListUpdate::Changes(ListEncoding { indented, whole, piece });
    let cases = [
        ListUpdate::Nothing,
        encoding(false, false, None),
        encoding(true, false, None),
        encoding(true, true, None),
        encoding(true, true, Some(64)),
    ];
    for update in cases {
        for endpoints in [200, 800, 3_200] {
            run(&program, endpoints, update, 200, Core::Whole)?;
        }
    }
    for endpoints in [16, 200, 3_200] {
        run(&program, endpoints, ListUpdate::Nothing, 1_000_000, Core::Whole)?;
    }
    for endpoints in [200, 3_200] {
        run(&program, endpoints, encoding(true, true, None), 200, Core::Fifth)?;
    }
    Ok(())
}
