//! What a request costs: processor time and resident memory of the program, beside another build of it in the same run.
//!
//! `cargo bench -p spindlebeam --bench cost -- OTHER_PROGRAM` prints medians of rounds that alternate; without another
//! program, those of this build alone. Small values only, one client that waits for each answer; peers and client are this
//! process, which does not count.

#[path = "../tests/platform/mod.rs"]
mod platform;
use platform::{Balancer, Discovery, Home, Peer, call, config, list, member};
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const ROUNDS: usize = 15;
const CLIENTS: usize = 1;
const REQUESTS: usize = 12_000;

/// Microseconds of processor time for each request, and the most memory in KB.
fn round(program: &str, door: bool, polled: bool) -> (f64, u64) {
    let peer = Peer::start(false);
    let discovery = Discovery::start(list(1, true, &[member("s-0", peer.addr, "ready")]));
    let mut config = config(discovery.addr, 1024, Value::Null);
    if door {
        config["operator"] = "127.0.0.1:0".into();
    }
    let mut home = Home::alone();
    home.program = program.into();
    let balancer = Balancer::start_at(&home, &config);
    balancer.logged("ready");
    let _watch = discovery.watch();
    let (ended, door_at) = (&AtomicBool::new(false), balancer.door);
    let before = balancer.processor_us();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let mut client = balancer.client();
                scope.spawn(move || {
                    for request in 0..REQUESTS {
                        client.get("leer", &format!("{:x}", n * REQUESTS + request));
                        assert_eq!(client.answer().len(), 200);
                    }
                })
            })
            .collect();
        scope.spawn(move || {
            let value = "v".repeat(200);
            (0..CLIENTS * REQUESTS).for_each(|_| peer.asked().value(&value));
        });
        scope.spawn(move || {
            while polled && !ended.load(Ordering::Relaxed) {
                let _ = call(door_at.unwrap(), "GET", "/metrics", "");
                thread::sleep(Duration::from_secs(1)); // what is measured: a poll each second
            }
        });
        clients.into_iter().for_each(|client| client.join().unwrap());
        ended.store(true, Ordering::Relaxed);
    });
    let spent = (balancer.processor_us() - before) as f64;
    (spent / (CLIENTS * REQUESTS) as f64, balancer.resident_kb())
}

fn main() {
    let other = std::env::args().skip(1).find(|word| !word.starts_with("--"));
    let this = env!("CARGO_BIN_EXE_spindlebeam");
    let mut cases = vec![("no door", this, false, false), ("door idle", this, true, false)];
    cases.push(("door polled", this, true, true));
    cases.extend(other.as_deref().map(|other| ("other program", other, false, false)));
    let mut found = vec![Vec::new(); cases.len()];
    for _ in 0..ROUNDS {
        for (rounds, (_, program, door, polled)) in found.iter_mut().zip(&cases) {
            rounds.push(round(program, *door, *polled));
        }
    }
    // Round by round, since the machine's speed drifts more than the programs differ.
    let last = found.last().cloned().unwrap_or_default();
    for (rounds, (name, ..)) in found.iter_mut().zip(&cases) {
        let mut ratios: Vec<f64> = rounds.iter().zip(&last).map(|(it, last)| it.0 / last.0).collect();
        ratios.sort_by(f64::total_cmp);
        let ratio = ratios[ROUNDS / 2];
        rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (us, (least, most)) = (rounds[ROUNDS / 2].0, (rounds[0].0, rounds[ROUNDS - 1].0));
        let kb = rounds.iter().map(|it| it.1).max().unwrap_or_default();
        println!(
            "{name}: {us:.1} us a request ({least:.1} to {most:.1}), {ratio:.3} of the last, {kb} KB at most"
        );
    }
}
