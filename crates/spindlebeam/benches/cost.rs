//! The cost of a request: processor time and resident memory of the program, compared with another build in the same
//! run.
//!
//! `cargo bench -p spindlebeam --bench cost -- OTHER_PROGRAM` prints medians of alternating rounds; without another
//! program, those of this build alone. Values are small, and one client waits for each answer. The cache node and the
//! client run in this process, whose time is not counted.

#[path = "../tests/platform/mod.rs"]
mod platform;
use platform::{Balancer, Discovery, Peer, ProcessEnv, call, config, list, member};
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Rounds of each case.
const ROUNDS: usize = 15;
const CLIENTS: usize = 1;
/// Requests of each client in a round.
const REQUESTS: usize = 12_000;

/// Runs one round; returns the microseconds of processor time per request and the peak memory in KB.
fn round(program: &str, with_admin_endpoint: bool, polled: bool) -> (f64, u64) {
    let peer = Peer::start(false);
    let discovery = Discovery::start(list(1, true, &[member("s-0", peer.addr, "ready")]));
    let mut config = config(discovery.addr, 1024, Value::Null);
    if with_admin_endpoint {
        config["operator"] = "127.0.0.1:0".into();
    }
    let mut env = ProcessEnv::without_socket();
    env.program = program.into();
    let balancer = Balancer::start_in(&env, &config);
    balancer.wait_for_log("ready");
    let _watch = discovery.next_watch();
    let (finished, admin_addr) = (&AtomicBool::new(false), balancer.admin_addr);
    let before = balancer.processor_us();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let mut client = balancer.client();
                scope.spawn(move || {
                    for request in 0..REQUESTS {
                        client.get("leer", &format!("{:x}", n * REQUESTS + request));
                        assert_eq!(client.read_answer().len(), 200);
                    }
                })
            })
            .collect();
        scope.spawn(move || {
            let value = "v".repeat(200);
            (0..CLIENTS * REQUESTS).for_each(|_| peer.next_request().respond_value(&value));
        });
        scope.spawn(move || {
            while polled && !finished.load(Ordering::Relaxed) {
                let _ = call(admin_addr.unwrap(), "GET", "/metrics", "");
                thread::sleep(Duration::from_secs(1)); // the measured case is one poll per second
            }
        });
        clients.into_iter().for_each(|client| client.join().unwrap());
        finished.store(true, Ordering::Relaxed);
    });
    let spent = (balancer.processor_us() - before) as f64;
    (spent / (CLIENTS * REQUESTS) as f64, balancer.resident_kb())
}

fn main() {
    let other = std::env::args().skip(1).find(|word| !word.starts_with("--"));
    let this = env!("CARGO_BIN_EXE_spindlebeam");
    let mut cases =
        vec![("no admin endpoint", this, false, false), ("admin endpoint idle", this, true, false)];
    cases.push(("admin endpoint polled", this, true, true));
    cases.extend(other.as_deref().map(|other| ("other program", other, false, false)));
    let mut results = vec![Vec::new(); cases.len()];
    for _ in 0..ROUNDS {
        for (rounds, (_, program, with_admin_endpoint, polled)) in results.iter_mut().zip(&cases) {
            rounds.push(round(program, *with_admin_endpoint, *polled));
        }
    }
    // Ratios are taken round by round, since the machine's speed drifts more than the programs differ.
    let last = results.last().cloned().unwrap_or_default();
    for (rounds, (name, ..)) in results.iter_mut().zip(&cases) {
        let mut ratios: Vec<f64> = rounds.iter().zip(&last).map(|(it, last)| it.0 / last.0).collect();
        ratios.sort_by(f64::total_cmp);
        let ratio = ratios[ROUNDS / 2];
        rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (us, (min, max)) = (rounds[ROUNDS / 2].0, (rounds[0].0, rounds[ROUNDS - 1].0));
        let kb = rounds.iter().map(|it| it.1).max().unwrap_or_default();
        println!(
            "{name}: {us:.1} us a request ({min:.1} to {max:.1}), {ratio:.3} of the last, {kb} KB at most"
        );
    }
}
