//! Bad clients connect by hundreds, stop in the middle of a write of at most 64 KiB, and stay. The balancer must keep
//! within its limit on memory, over which the platform kills it.

mod common;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const RUN: Duration = Duration::from_secs(12);
const BEGIN: Duration = Duration::from_secs(6);
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
const BAD_CLIENTS: usize = 500;
const VALUE: usize = 64 * 1024; // the most that a value holds on the older pages; 4 MiB on the newer ones

fn main() {
    open_record();
    let mut members = Vec::new();
    for number in 0..NODES {
        let (address, _) = cache_node(&format!("s-{number}"), |_| Reaction::Value {
            after: Duration::from_millis(40),
            value: vec![b's'; 600],
        });
        members.push(Member::new(&format!("s-{number}"), address, "cache"));
    }
    let (address, _) = origin(|_| {
        sleep_ms(50);
        b"receipt".to_vec()
    });
    members.push(Member::new("origin", address, "origin"));
    let (_discovery, discovery_address) = Discovery::start(members);
    let setup = Setup {
        classes: vec![
            Class { name: "consulta-estado", effect: "retryable", on_time_ms: 500, deadline_ms: 2_000 },
            Class { name: "asignar-folio", effect: "fragile", on_time_ms: 500, deadline_ms: 2_000 },
        ],
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        second_copies: false,
        max_attempts: 5,
    };
    let mut balancer = Balancer::start(&setup, discovery_address);
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let (served, unserved) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));

    // The usual clients: eight, each with its own connection, about 80 requests a second together.
    for client in 0..8 {
        let (address, stop) = (balancer.address, stop.clone());
        let (served, unserved) = (served.clone(), unserved.clone());
        std::thread::spawn(move || {
            let mut random = Random::new(client + 1);
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut stream) = TcpStream::connect(address) else { return };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let write = random.below(20) == 0;
                    let command = match write {
                        true => set(random.below(400), &id, "asignar-folio", 2_000, b"solicitud"),
                        false => get(random.below(400), &id, "consulta-estado", 2_000),
                    };
                    if stream.write_all(&command).is_err() {
                        break;
                    }
                    let (answer, _) = read_answer(&mut reader);
                    note(&format!("client {client}: {id}: {answer:?}"));
                    match answer {
                        Answer::Served(_) => served.fetch_add(1, Ordering::SeqCst),
                        _ => unserved.fetch_add(1, Ordering::SeqCst),
                    };
                    if matches!(answer, Answer::Ended { .. }) {
                        break;
                    }
                    sleep_ms(50);
                }
            }
        });
    }

    let errors = Arc::new(Mutex::new(0));
    if trouble() {
        let (address, errors) = (balancer.address, errors.clone());
        std::thread::spawn(move || {
            std::thread::sleep(BEGIN);
            note(&format!("bad clients: {BAD_CLIENTS} connect; each sends half a command and stays"));
            let command = set(7, "00000000000000aa", "asignar-folio", 2_000, &vec![b'x'; VALUE]);
            let half = &command[..command.len() - 100];
            let mut open = Vec::new();
            for _ in 0..BAD_CLIENTS {
                let Ok(mut stream) = TcpStream::connect(address) else { continue };
                let _ = stream.set_nonblocking(true);
                let mut sent = 0;
                // At full speed, but a client that the balancer does not read gets stuck: it is left as it is.
                let begun = Instant::now();
                while sent < half.len() && begun.elapsed() < Duration::from_millis(20) {
                    match stream.write(&half[sent..]) {
                        Ok(bytes) => sent += bytes,
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                            std::thread::sleep(Duration::from_micros(100));
                        }
                        Err(_) => break,
                    }
                }
                open.push(stream);
            }
            note(&format!("bad clients: {} are connected", open.len()));
            sleep_ms(3_500);
            let mut answered = 0;
            for stream in &mut open {
                let mut bytes = [0; 256];
                if stream.read(&mut bytes).is_ok() {
                    answered += 1;
                }
            }
            note(&format!(
                "bad clients: {answered} got an error or a close, {} neither",
                open.len() - answered
            ));
            *errors.lock().unwrap() = answered;
        });
    }

    // The platform looks at the process's own memory: anonymous pages alone. Files, such as its program, would count too.
    let (mut most, mut before) = (0, 0);
    let mut killed = false;
    while started.elapsed() < RUN {
        let Some(now) = balancer.status_kb("RssAnon") else { break };
        if now > most {
            most = now;
            if started.elapsed() >= BEGIN {
                note(&format!("platform: the balancer has {now} kB of memory of its own"));
            }
        }
        if started.elapsed() < BEGIN {
            before = most;
        }
        if now > MEMORY_MB * 1_024 {
            say(&format!(
                "platform: {now} kB are over the limit of {MEMORY_MB} MB: the balancer is KILLED ({} served until then)",
                served.load(Ordering::SeqCst)
            ));
            balancer.signal("SIGKILL");
            killed = true;
            break;
        }
        sleep_ms(5);
    }
    stop.store(true, Ordering::SeqCst);
    sleep_ms(100);
    let ended = balancer.has_ended();
    say(&format!(
        "memory of its own: {before} kB at most before, {most} kB at most in all, the limit is {} kB; requests of usual \
         clients: {} served, {} not",
        MEMORY_MB * 1_024,
        served.load(Ordering::SeqCst),
        unserved.load(Ordering::SeqCst)
    ));
    if before == 0 || served.load(Ordering::SeqCst) < 100 {
        say("case: too little was served or measured; the case could not run");
        finish(balancer, COULD_NOT_RUN);
    }
    if let Some(ended) = ended.filter(|_| !killed) {
        say(&format!("the balancer ended by itself: {ended}"));
        finish(balancer, BROKEN);
    }
    finish(balancer, if killed { BROKEN } else { HELD })
}
