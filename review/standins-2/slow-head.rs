//! Some clients take 1.5 s to write a request on a connection that they keep, while bad clients connect by hundreds and
//! say nothing. A request that was written whole must get its one final answer.

mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const CLIENTS: u64 = 16;
const SILENT: usize = 300;
const RUN: Duration = Duration::from_secs(50);

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
            Class { name: "consulta-estado", effect: "retryable", on_time_ms: 500, deadline_ms: 2_000 },
            Class { name: "asignar-folio", effect: "fragile", on_time_ms: 500, deadline_ms: 2_000 },
        ],
        memory_mb: 64,
        sockets: 256,
        second_copies: false,
        max_attempts: 5,
    };
    let balancer = Balancer::start(&setup, discovery_address);
    let started = Instant::now();
    let totals = Arc::new(Mutex::new([0_u64; 5])); // answered, ended early, sent once more and answered, sent once more and ended early, lost
    let requests = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, totals, requests) = (balancer.address, totals.clone(), requests.clone());
            std::thread::spawn(move || {
                sleep_ms(150 * client);
                let mut random = Random::new(client + 1);
                let source = [127, 0, 0, 10 + client as u8];
                while started.elapsed() < RUN {
                    run_client(client, source, address, &mut random, started, &totals, &requests);
                }
            })
        })
        .collect();
    if trouble() {
        std::thread::spawn(move || {
            let address = balancer_address();
            for burst in 0.. {
                std::thread::sleep(Duration::from_millis(1_500));
                note(&format!("bad clients: burst {burst}: {SILENT} connect and say nothing"));
                let open: Vec<_> = (0..SILENT)
                    .filter_map(|n| connect_from([127, 0, 1, 1 + (n % 40) as u8], address).ok())
                    .collect();
                note(&format!("bad clients: {} are connected", open.len()));
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs(4));
                    drop(open);
                });
            }
        });
    }
    ADDRESS.set(balancer.address).unwrap();
    for client in clients {
        let _ = client.join();
    }
    let [answered, early, again, again_early, lost] = *totals.lock().unwrap();
    say(&format!(
        "slow requests: {answered} answered, {early} whose connection ended before the last byte, {again} sent once more and \
         answered, {again_early} sent once more and ended before the last byte, {lost} LOST"
    ));
    if answered + lost < 10 {
        finish(balancer, COULD_NOT_RUN);
    }
    finish(balancer, if lost > 0 { BROKEN } else { HELD })
}

static ADDRESS: std::sync::OnceLock<std::net::SocketAddr> = std::sync::OnceLock::new();
fn balancer_address() -> std::net::SocketAddr {
    *ADDRESS.wait()
}

/// Writes a request in pieces over 1.5 s. Returns whether its last byte was written.
fn write_slowly(stream: &mut TcpStream, command: &[u8]) -> bool {
    let piece = command.len().div_ceil(15);
    for part in command.chunks(piece) {
        if stream.write_all(part).is_err() {
            return false;
        }
        sleep_ms(100);
    }
    true
}

fn run_client(
    client: u64, source: [u8; 4], address: std::net::SocketAddr, random: &mut Random, started: Instant,
    totals: &Mutex<[u64; 5]>, requests: &AtomicU64,
) {
    let Ok(mut stream) = connect_from(source, address) else { return sleep_ms(50) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while started.elapsed() < RUN {
        // A quick read first: the connection is one that the client keeps.
        if stream.write_all(&get(random.below(400), &new_id(), "consulta-estado", 2_000)).is_err() {
            return;
        }
        if matches!(read_answer(&mut reader).0, Answer::Ended { .. }) {
            return;
        }
        sleep_ms(100);
        let id = new_id();
        requests.fetch_add(1, Ordering::SeqCst);
        let command = set(random.below(400), &id, "asignar-folio", 2_000, b"solicitud");
        note(&format!("client {client}: begins {id} on its kept connection"));
        let index = if !write_slowly(&mut stream, &command) {
            note(&format!("client {client}: {id}: the connection ended before the last byte"));
            1
        } else {
            match read_answer(&mut reader).0 {
                Answer::Ended { .. } => {
                    note(&format!(
                        "client {client}: {id}: written whole, and ended without an answer; sent once more"
                    ));
                    let once_more = connect_from(source, address).ok().map(|mut stream| {
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
                        let written = write_slowly(&mut stream, &command);
                        (written, read_answer(&mut BufReader::new(stream)).0)
                    });
                    note(&format!("client {client}: {id}: once more: {once_more:?}"));
                    match once_more {
                        Some((true, Answer::Ended { .. })) => 4,
                        Some((true, _)) => 2,
                        _ => 3,
                    }
                }
                answer => {
                    note(&format!("client {client}: {id}: {answer:?}"));
                    0
                }
            }
        };
        totals.lock().unwrap()[index] += 1;
        if index > 0 {
            return;
        }
    }
}
