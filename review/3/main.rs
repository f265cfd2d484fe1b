//! Bad clients write large values under the ids of other clients' open requests, and stay connected.
#[path = "../standins/common.rs"]
mod common;

use common::{
    BROKEN, Balancer, Client, Config, HELD, NOT_RUN, Record, Reply, Run, encode_origin_answer, encode_set,
    free_address, lock, read_origin_request, serve_connections, start_discovery, trouble,
};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The limits of the balancer: the largest of a scored day.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1_024;
/// The number of bad clients, each with one connection.
const BAD_CLIENTS: u64 = 80;
/// The size of the values of bad clients: values of up to 4 MiB occur.
const LARGE_VALUE: usize = 4 * 1024 * 1024;
/// How long the origin works on a write.
const WORK: Duration = Duration::from_millis(250);
/// How long after a usual client the bad one sends its command.
const BAD_CLIENT_DELAY: Duration = Duration::from_millis(20);
/// The interval at which the platform compares the memory of the balancer with the limit.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Ends the balancer as soon as it has more memory than its limit, and stores how much it had.
fn enforce_memory_limit(balancer: &Balancer, record: &Record, killed_at: &Mutex<Option<u64>>) {
    while !balancer.has_ended() {
        let memory = balancer.memory_kib().unwrap_or(0);
        if memory > MEMORY_MB * 1024 {
            *lock(killed_at) = Some(memory);
            balancer.signal("KILL");
            record.add("platform", &format!("killed the balancer for memory: {memory} KiB"));
            return;
        }
        thread::sleep(MEMORY_CHECK_INTERVAL);
    }
}

fn main() {
    let run = Run::start();
    let record = run.record.clone();
    let at_origin = record.clone();
    let origin = serve_connections(move |mut stream| {
        let mut buffer = Vec::new();
        while let Ok(request) = read_origin_request(&mut stream, &mut buffer) {
            thread::sleep(WORK);
            at_origin.add("origin", &format!("ran {}: {} bytes", request.id, request.value_bytes));
            let receipt = format!("receipt of {}", request.id);
            if stream.write_all(&encode_origin_answer(receipt.as_bytes())).is_err() {
                return;
            }
        }
    });
    let origin = run.need("origin", origin);
    let cache = run.need("cache host", serve_connections(|_| thread::sleep(Duration::from_secs(120))));
    let members = [("origin", origin, "origin"), ("s-0", cache, "un-nucleo")];
    let discovery = run.need("discovery", start_discovery(&record, "queretaro", &members));
    let listen = run.need("port", free_address());
    let config = Config { listen, discovery, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let balancer = run.start_balancer(&config);
    let killed_at = Arc::new(Mutex::new(None));
    let (watched, watch_record, watch_result) = (balancer.clone(), record.clone(), killed_at.clone());
    thread::spawn(move || enforce_memory_limit(&watched, &watch_record, &watch_result));

    let value = vec![b'v'; LARGE_VALUE];
    let mut usual = run.need("client", Client::connect(listen));
    let mut bad_clients = Vec::new();
    let (mut served, mut errors) = (0, 0);
    for number in 0..BAD_CLIENTS {
        let id = format!("{number:016x}");
        let encode = |value: &[u8]| {
            encode_set(number, &id, "alta-solicitud", 1_000, &format!(",k={number:016x}"), value)
        };
        let sent = usual.stream.write_all(&encode(b"a usual value"));
        thread::sleep(BAD_CLIENT_DELAY);
        if trouble()
            && let Ok(mut bad) = Client::connect(listen)
        {
            let reply = bad.stream.write_all(&encode(&value)).and_then(|()| bad.read_reply());
            errors += u64::from(matches!(reply, Ok(Reply::Line(_))));
            let text = reply.as_ref().map_or_else(|error| format!("no answer: {error}"), Reply::text);
            record.add("bad client", &format!("sent {} bytes under {id}: {text}", value.len()));
            bad_clients.push(bad);
        }
        let reply = sent.and_then(|()| usual.read_reply());
        let text = reply.as_ref().map_or_else(|error| format!("no answer: {error}"), Reply::text);
        served += u64::from(matches!(reply, Ok(Reply::Value(_))));
        let memory = balancer.memory_kib().unwrap_or(0);
        record.add("client", &format!("{id}: {text}; the balancer has {memory} KiB"));
        if balancer.has_ended() {
            let killed_at = *lock(&killed_at);
            let cause = killed_at.map_or("it ended by itself".to_owned(), |memory| {
                format!("killed for memory with {memory} KiB of {} KiB", MEMORY_MB * 1024)
            });
            let count = bad_clients.len();
            run.end(
                BROKEN,
                &format!("the balancer has crashed: {cause}, {count} bad clients were connected"),
            );
        }
    }
    if served < BAD_CLIENTS / 2 {
        run.end(NOT_RUN, &format!("only {served} of {BAD_CLIENTS} writes were served"));
    }
    let summary = format!("{served} of {BAD_CLIENTS} usual writes served, {errors} errors to bad clients");
    run.end(HELD, &format!("{summary}; no crash within the limit on memory"));
}
