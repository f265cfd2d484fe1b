//! A cache host answers some reads with a large value whose stated length does not fit.
#[path = "../standins/common.rs"]
mod common;

use common::{
    BROKEN, Client, Config, HELD, NOT_RUN, Reply, Run, encode_get, encode_hit, free_address,
    read_cache_request, serve_connections, start_discovery, trouble,
};
use std::io::Write;
use std::thread;
use std::time::Duration;

/// The size of a value: large values occur up to 4 MiB.
const VALUE_BYTES: usize = 256 * 1024;
/// By how many bytes the stated length of a spoilt answer is too short.
const MISSING_BYTES: usize = 1_000;
/// One answer in this many is spoilt.
const SPOILT_INTERVAL: u64 = 4;
const REQUESTS: u64 = 100;

/// Returns the value that the cache host makes for a request: its id, repeated.
fn value_for(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(VALUE_BYTES).collect()
}

fn main() {
    let run = Run::start();
    let record = run.record.clone();
    let at_cache = record.clone();
    let cache = serve_connections(move |mut stream| {
        let mut buffer = Vec::new();
        while let Ok(request) = read_cache_request(&mut stream, &mut buffer) {
            let Some(request) = request else { return };
            let number = u64::from_str_radix(&request.id, 16).unwrap_or(0);
            let value = value_for(&request.id);
            let mut answer = encode_hit(&value);
            let mut stated = VALUE_BYTES;
            if trouble() && number % SPOILT_INTERVAL == 0 {
                stated -= MISSING_BYTES;
                let head = format!("*3\r\n${VALUE_BYTES}\r\n").len();
                answer.splice(..head, format!("*3\r\n${stated}\r\n").into_bytes());
            }
            at_cache.add("cache host", &format!("ran {}: {VALUE_BYTES} bytes, stated {stated}", request.id));
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    });
    let cache = run.need("cache host", cache);
    let origin = run.need("origin", serve_connections(|_| thread::sleep(Duration::from_secs(120))));
    let members = [("origin", origin, "origin"), ("s-0", cache, "un-nucleo")];
    let discovery = run.need("discovery", start_discovery(&record, "queretaro", &members));
    let listen = run.need("port", free_address());
    run.start_balancer(&Config { listen, discovery, memory_mb: 192, sockets: 1_024 });

    let (mut served, mut other, mut wrong) = (0, 0, Vec::new());
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let mut client = run.need("client", Client::connect(listen));
        let sent = client.stream.write_all(&encode_get(number, &id, "ver-expediente", 2_000));
        let reply = sent.and_then(|()| client.read_reply());
        let text = reply.as_ref().map_or_else(|error| format!("no whole answer: {error}"), Reply::text);
        record.add("client", &format!("{id}: {text}"));
        match reply {
            Ok(Reply::Value(value)) if value == value_for(&id) => served += 1,
            Ok(Reply::Value(value)) => {
                wrong.push(format!("{id} was served {} of {VALUE_BYTES} bytes", value.len()))
            }
            _ => other += 1,
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.add(
        "clients",
        &format!("{served} served, {other} refused or failed, {} served a wrong value", wrong.len()),
    );
    if let Some(first) = wrong.first() {
        run.end(
            BROKEN,
            &format!("{} answers were whole bulk strings with a wrong value: {first}", wrong.len()),
        );
    }
    if served < REQUESTS / 2 {
        run.end(NOT_RUN, &format!("only {served} requests were served"));
    }
    run.end(HELD, &format!("{served} served with the value made for them; {other} refused or failed"));
}
