//! Bad clients send hundreds of commands at once, at full speed, with a class that does not exist, and read what they are
//! sent. The requests of the usual clients must get their final answers, half a second after their time at the latest.

mod common;
use common::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const CLIENTS: u64 = 10;
const DEADLINE_MS: u64 = 1_000;
/// Half a second after its time a request is lost; every time limit is 50 ms longer. The rest allows for this test itself.
const LOST_AFTER: Duration = Duration::from_millis(DEADLINE_MS + 500 + 50 + 150);
const BAD_THREADS: usize = 4;
const BAD_OF_THREAD: usize = 75;
const COMMANDS_AT_ONCE: u64 = 200;
const BEGIN: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(25);

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
        b"folio 4711".to_vec()
    });
    members.push(Member::new("origin", address, "origin"));
    let (_discovery, discovery_address) = Discovery::start(members);
    let setup = Setup {
        classes: vec![
            Class { name: "consulta-estado", effect: "retryable", on_time_ms: 250, deadline_ms: DEADLINE_MS },
            Class { name: "asignar-folio", effect: "fragile", on_time_ms: 300, deadline_ms: DEADLINE_MS },
        ],
        memory_mb: 192,
        sockets: 1_024,
        second_copies: false,
        max_attempts: 5,
    };
    let balancer = Balancer::start(&setup, discovery_address);
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let totals = Arc::new(Mutex::new([0_u64; 3])); // in time, raced by a close, lost
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, totals) = (balancer.address, totals.clone());
            std::thread::spawn(move || run_client(client, address, started, &totals))
        })
        .collect();
    // The test itself must not be short of processor time: a thread that wakes late makes the run void.
    let latest = Arc::new(AtomicU64::new(0));
    let (late, stopped) = (latest.clone(), stop.clone());
    std::thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            let before = Instant::now();
            sleep_ms(10);
            late.fetch_max(before.elapsed().as_millis() as u64 - 10, Ordering::SeqCst);
        }
    });
    let sent = Arc::new(AtomicU64::new(0));
    if trouble() {
        std::thread::sleep(BEGIN);
        note(&format!("bad clients: {} begin", BAD_THREADS * BAD_OF_THREAD));
        for thread in 0..BAD_THREADS {
            let (address, stop, sent) = (balancer.address, stop.clone(), sent.clone());
            std::thread::spawn(move || run_bad_clients(thread, address, &stop, &sent));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    let [in_time, raced, lost] = *totals.lock().unwrap();
    let (latest, sent) = (latest.load(Ordering::SeqCst), sent.load(Ordering::SeqCst));
    say(&format!(
        "requests of usual clients: {in_time} answered in time, {raced} raced by a close, {lost} LOST (later than {LOST_AFTER:?}); \
         bad clients wrote {sent} bytes; this test's threads woke {latest} ms late at most"
    ));
    if in_time < 100 || latest > 100 {
        say("case: too little was answered, or the machine was too busy; the case could not run");
        finish(balancer, COULD_NOT_RUN);
    }
    finish(balancer, if lost > 0 { BROKEN } else { HELD })
}

/// A usual client: one request at a time on a connection that it keeps.
fn run_client(client: u64, address: SocketAddr, started: Instant, totals: &Mutex<[u64; 3]>) {
    let mut random = Random::new(client + 1);
    while started.elapsed() < RUN {
        let Ok(mut stream) = connect_from([127, 0, 0, 10 + client as u8], address) else {
            sleep_ms(50);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while started.elapsed() < RUN {
            let id = new_id();
            let command = match random.below(10) {
                0 => set(random.below(400), &id, "asignar-folio", DEADLINE_MS, b"solicitud"),
                _ => get(random.below(400), &id, "consulta-estado", DEADLINE_MS),
            };
            let sent = Instant::now();
            if stream.write_all(&command).is_err() {
                break;
            }
            let (answer, _) = read_answer(&mut reader);
            let after = sent.elapsed();
            let ended = matches!(answer, Answer::Ended { .. });
            let index = match after > LOST_AFTER {
                true => 2,
                false => usize::from(ended),
            };
            note(&format!("client {client}: {id}: {answer:?} after {after:?}{}", ["", "", ": LOST"][index]));
            totals.lock().unwrap()[index] += 1;
            if ended {
                break;
            }
            sleep_ms(50);
        }
    }
}

/// Bad clients: each writes its commands as fast as the balancer takes them, reads what it is sent, and comes again as soon as
/// it is turned away.
fn run_bad_clients(thread: usize, address: SocketAddr, stop: &AtomicBool, sent: &AtomicU64) {
    let mut batch = Vec::new();
    for key in 0..COMMANDS_AT_ONCE {
        batch.extend(get(key, &format!("{:016x}", 0xbad_0000 + key), "no-such-class", DEADLINE_MS));
    }
    let connect = |number: usize| {
        let stream =
            connect_from([127, 0, 2, (thread * BAD_OF_THREAD + number) as u8 % 250 + 1], address).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let mut clients: Vec<(Option<TcpStream>, usize)> =
        (0..BAD_OF_THREAD).map(|number| (connect(number), 0)).collect();
    let mut bytes = vec![0; 65_536];
    while !stop.load(Ordering::SeqCst) {
        let mut idle = true;
        for (number, (stream, at)) in clients.iter_mut().enumerate() {
            let Some(open) = stream else {
                (*stream, *at) = (connect(number), 0);
                continue;
            };
            let read = match open.read(&mut bytes) {
                Ok(0) => Err(()),
                Ok(_) => Ok(idle = false),
                Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
                Err(_) => Err(()),
            };
            let written = match open.write(&batch[*at..]) {
                Ok(count) => {
                    *at = (*at + count) % batch.len();
                    sent.fetch_add(count as u64, Ordering::Relaxed);
                    Ok(idle = false)
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
                Err(_) => Err(()),
            };
            if read.and(written).is_err() {
                *stream = None;
            }
        }
        if idle {
            std::thread::sleep(Duration::from_micros(200));
        }
    }
}
