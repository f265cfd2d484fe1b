//! A cache node dies in the middle of a large value that the balancer passes on to a client, which has sent further
//! requests on the same connection. Each of these must get its one final answer.

mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const CLIENTS: u64 = 4;
const RUN: Duration = Duration::from_secs(12);
const DEATH: Duration = Duration::from_secs(6);
const LARGE: usize = 1 << 20; // of 4 MiB at most
const SMALL: usize = 600;
const FIRST_LARGE_KEY: u64 = 0x10_0000;

fn main() {
    open_record();
    // The requests that a stand-in has as a whole, and so the balancer has read.
    let reached = Arc::new(Mutex::new(HashMap::<String, &'static str>::new()));
    // When the cache node s-0 last began a large value, in milliseconds since the start of the case.
    let began = Arc::new(AtomicU64::new(0));
    let mut members = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..NODES {
        let (seen, began) = (reached.clone(), began.clone());
        let (address, connections) = cache_node(&format!("s-{number}"), move |request| {
            seen.lock().unwrap().insert(request.id.clone(), "reached a cache node");
            let after = Duration::from_millis(20);
            if request.key >= FIRST_LARGE_KEY {
                if number == 0 {
                    began.store(ms(), Ordering::SeqCst);
                }
                // 1 MiB in pieces of 16 KiB: about 0.4 s.
                let value = vec![b'v'; LARGE];
                Reaction::Pieces { after, value, piece: 16 * 1024, pause: Duration::from_millis(6) }
            } else {
                Reaction::Value { after: Duration::from_millis(40), value: vec![b's'; SMALL] }
            }
        });
        members.push(Member::new(&format!("s-{number}"), address, "cache"));
        nodes.push(connections);
    }
    let seen = reached.clone();
    let (address, _) = origin(move |request| {
        sleep_ms(50);
        seen.lock()
            .unwrap()
            .insert(request.id.clone(), if request.write { "has RUN at the origin" } else { "was fetched" });
        b"folio 4711".to_vec()
    });
    members.push(Member::new("origin", address, "origin"));
    let listed = members.clone();
    let (discovery, discovery_address) = Discovery::start(members);
    let setup = Setup {
        classes: vec![
            Class { name: "ver-expediente", effect: "retryable", on_time_ms: 500, deadline_ms: 2_000 },
            Class { name: "consulta-estado", effect: "retryable", on_time_ms: 500, deadline_ms: 2_000 },
            Class { name: "asignar-folio", effect: "fragile", on_time_ms: 500, deadline_ms: 2_000 },
        ],
        memory_mb: 192,
        sockets: 1_024,
        second_copies: false,
        max_attempts: 5,
    };
    let balancer = Balancer::start(&setup, discovery_address);
    let started = Instant::now();

    let totals = Arc::new(Mutex::new([0_u64; 5])); // served, refused, failed, value broken off (not lost), lost
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, reached, totals) = (balancer.address, reached.clone(), totals.clone());
            std::thread::spawn(move || {
                let mut random = Random::new(client + 1);
                while started.elapsed() < RUN {
                    run_batches(client, address, &mut random, started, &reached, &totals);
                }
            })
        })
        .collect();

    if trouble() {
        std::thread::sleep(DEATH);
        // The process dies while it gives a value.
        while !(100..250).contains(&(ms() - began.load(Ordering::SeqCst))) && started.elapsed() < RUN {
            sleep_ms(5);
        }
        note("s-0: the process dies; its connections are reset, and new ones are refused");
        nodes[0].die();
        sleep_ms(2_000); // discovery is told seconds later
        let mut gone = listed[0].clone();
        gone.phase = "gone";
        discovery.change(gone);
    }
    for client in clients {
        if client.join().is_err() {
            say("case: a client failed");
            finish(balancer, COULD_NOT_RUN);
        }
    }
    let [served, refused, failed, broken_off, lost] = *totals.lock().unwrap();
    say(&format!(
        "requests: {served} served, {refused} refused, {failed} failed, {broken_off} whose value broke off (not lost), \
         {lost} LOST: read by the balancer, and their connection ended by it without an answer"
    ));
    if served < 100 || (trouble() && broken_off == 0) {
        say("case: too little was served, or no value broke off; the case could not run");
        finish(balancer, COULD_NOT_RUN);
    }
    finish(balancer, if lost > 0 { BROKEN } else { HELD })
}

/// Sends batches on one connection until it ends.
fn run_batches(
    client: u64, address: std::net::SocketAddr, random: &mut Random, started: Instant,
    reached: &Mutex<HashMap<String, &'static str>>, totals: &Mutex<[u64; 5]>,
) {
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return sleep_ms(20) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while started.elapsed() < RUN {
        // One write holds four requests: a file (large), two states (small), and the next folio (a write).
        let ids: Vec<String> = (0..4).map(|_| new_id()).collect();
        let mut batch = get(FIRST_LARGE_KEY + random.below(64), &ids[0], "ver-expediente", 2_000);
        batch.extend(get(random.below(400), &ids[1], "consulta-estado", 2_000));
        batch.extend(set(random.below(400), &ids[2], "asignar-folio", 2_000, b"solicitud"));
        batch.extend(get(random.below(400), &ids[3], "consulta-estado", 2_000));
        note(&format!("client {client}: sends {} in one write", ids.join(" ")));
        if stream.write_all(&batch).is_err() {
            return; // the connection had ended between requests
        }
        let names = ["ver-expediente", "consulta-estado", "asignar-folio", "consulta-estado"];
        let mut ended = false;
        for (id, name) in ids.iter().zip(names) {
            let answer =
                if ended { Answer::Ended { partial: None, stated: 0 } } else { read_answer(&mut reader).0 };
            note(&format!("client {client}: {id} {name}: {answer:?}"));
            let index = match answer {
                Answer::Served(_) => 0,
                Answer::Refused(_) => 1,
                Answer::Failed(_) => 2,
                Answer::Ended { partial: Some(_), .. } => 3,
                Answer::Ended { partial: None, .. } => {
                    sleep_ms(100); // lets the stand-ins finish what they have
                    match reached.lock().unwrap().get(id) {
                        Some(what) => {
                            say(&format!(
                                "client {client}: {id} {name} {what}, and the balancer ended its connection without an answer: LOST"
                            ));
                            4
                        }
                        // Perhaps the balancer has not read it: its client may send it once more.
                        None => {
                            note(&format!("client {client}: {id} {name} reached nobody; not counted"));
                            ended = true;
                            continue;
                        }
                    }
                }
            };
            ended |= index >= 3;
            totals.lock().unwrap()[index] += 1;
        }
        if ended {
            return;
        }
    }
}
