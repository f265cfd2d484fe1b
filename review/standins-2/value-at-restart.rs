//! A planned restart: SIGTERM comes while cache nodes give large values slowly. The balancer must pass on what they still
//! give, and answer a request that was written behind one, at least until the platform ends it.

mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const DEADLINE_MS: u64 = 2_000;
const SLOW_KEYS: u64 = 8;
const SLOW: usize = 1 << 20; // of 4 MiB at most
const PIECE: usize = 16 * 1024;
const PAUSE: Duration = Duration::from_millis(90); // 64 pieces: about 6 s
/// SIGKILL may come 2.7 s after SIGTERM at the earliest (the longest deadline and 0.7 s). This platform waits for longer.
const KILL_AFTER: Duration = Duration::from_secs(10);

fn main() {
    open_record();
    let mut members = Vec::new();
    for number in 0..NODES {
        let (address, _) = cache_node(&format!("s-{number}"), move |request| {
            let after = Duration::from_millis(30);
            match request.key < SLOW_KEYS {
                true => Reaction::Pieces { after, value: vec![b'v'; SLOW], piece: PIECE, pause: PAUSE },
                false => Reaction::Value { after, value: vec![b's'; 600] },
            }
        });
        members.push(Member::new(&format!("s-{number}"), address, "cache"));
    }
    let ran = Arc::new(Mutex::new(Vec::<String>::new()));
    let runs = ran.clone();
    let (address, _) = origin(move |request| {
        sleep_ms(50);
        runs.lock().unwrap().push(request.id.clone());
        b"folio 4711".to_vec()
    });
    members.push(Member::new("origin", address, "origin"));
    let (_discovery, discovery_address) = Discovery::start(members);
    let setup = Setup {
        classes: vec![
            Class { name: "ver-expediente", effect: "retryable", on_time_ms: 500, deadline_ms: DEADLINE_MS },
            Class { name: "asignar-folio", effect: "fragile", on_time_ms: 500, deadline_ms: DEADLINE_MS },
        ],
        memory_mb: 192,
        sockets: 1_024,
        second_copies: false,
        max_attempts: 5,
    };
    let mut balancer = Balancer::start(&setup, discovery_address);
    let ended_at = Arc::new(Mutex::new(Vec::<(u64, String, Answer)>::new()));
    let clients: Vec<_> = (0..SLOW_KEYS)
        .map(|key| {
            let (address, results) = (balancer.address, ended_at.clone());
            std::thread::spawn(move || {
                let Ok(mut stream) = TcpStream::connect(address) else { return };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                // A small request first, so that the connection is one that the client keeps.
                let _ = stream.write_all(&get(1_000 + key, &new_id(), "ver-expediente", DEADLINE_MS));
                let _ = read_answer(&mut reader);
                let (file, folio) = (new_id(), new_id());
                note(&format!(
                    "client {key}: asks for 1 MiB, {file}, and behind it for a folio, {folio}, in one write"
                ));
                let mut batch = get(key, &file, "ver-expediente", DEADLINE_MS);
                batch.extend(set(key, &folio, "asignar-folio", DEADLINE_MS, b"solicitud"));
                let _ = stream.write_all(&batch);
                for id in [file, folio] {
                    let (answer, _) = read_answer(&mut reader);
                    note(&format!("client {key}: {id}: {answer:?}"));
                    results.lock().unwrap().push((ms(), id, answer));
                }
            })
        })
        .collect();
    sleep_ms(1_000);
    let mut by_itself = None;
    if trouble() {
        balancer.signal("SIGTERM");
        let since = Instant::now();
        while since.elapsed() < KILL_AFTER {
            if let Some(status) = balancer.has_ended() {
                by_itself = Some(ms());
                say(&format!("the balancer ended by itself {:?} after SIGTERM: {status}", since.elapsed()));
                break;
            }
            sleep_ms(5);
        }
        if by_itself.is_none() {
            balancer.signal("SIGKILL");
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let results = ended_at.lock().unwrap().clone();
    let answered = results.iter().filter(|(_, _, answer)| !matches!(answer, Answer::Ended { .. })).count();
    let mut lost = 0;
    for (at, id, answer) in &results {
        let Answer::Ended { partial, stated } = answer else { continue };
        if by_itself.is_none() {
            continue; // ended by the platform
        }
        lost += 1;
        match partial {
            Some(bytes) => {
                say(&format!(
                    "{id}: LOST: cut off at {at} ms, after {bytes} of {stated} bytes; its cache node still gave"
                ));
            }
            None => {
                let has_run =
                    if ran.lock().unwrap().contains(id) { "has RUN at the origin, and" } else { "" };
                say(&format!("{id}: LOST: the folio {has_run} was never answered"));
            }
        }
    }
    let all = 2 * SLOW_KEYS as usize;
    say(&format!("requests {all}, answered {answered}, lost {lost}"));
    if results.len() != all || (lost == 0 && answered != all) {
        say("case: a request ended in a way that the case does not know; it could not run");
        finish(balancer, COULD_NOT_RUN);
    }
    finish(balancer, if lost > 0 { BROKEN } else { HELD })
}
