//! Values over 64 KiB are read while one of eight cache nodes is slow, where second copies are allowed. When the node is
//! as quick as the others again, the balancer must not reject all that it gets.

mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 8;
const CLIENTS: u64 = 16;
const PAUSE_MS: u64 = 100; // of a client between its requests: about 90 requests a second together
const VALUE: usize = 100 * 1024; // of 4 MiB at most
const BEGIN_MS: u64 = 5_000;
const SLOW_MS: u64 = 6_000;
const RECOVERED_MS: u64 = BEGIN_MS + NODES as u64 * SLOW_MS;
const END_MS: u64 = RECOVERED_MS + 20_000;
const WINDOW_MS: u64 = 4_000; // of the rule
const FEWEST: usize = 15; // of the rule

fn main() {
    open_record();
    let attempts = Arc::new(Mutex::new(Vec::<u64>::new()));
    let mut members = Vec::new();
    for number in 0..NODES {
        let (attempts, random) = (attempts.clone(), Mutex::new(Random::new(100 + number as u64)));
        let (address, _) = cache_node(&format!("s-{number}"), move |request| {
            attempts.lock().unwrap().push(ms());
            let mut after = 70 + random.lock().unwrap().below(40);
            // One of the eight at a time is about twice as slow as the others.
            let is_slow = trouble()
                && (BEGIN_MS + number as u64 * SLOW_MS..).contains(&ms())
                && ms() < BEGIN_MS + (number as u64 + 1) * SLOW_MS;
            if is_slow {
                after = 150 + random.lock().unwrap().below(110);
            }
            let _ = request;
            Reaction::Value { after: Duration::from_millis(after), value: vec![b'v'; VALUE] }
        });
        members.push(Member::new(&format!("s-{number}"), address, "cache"));
    }
    let origin_attempts = attempts.clone();
    let (address, _) = origin(move |_| {
        origin_attempts.lock().unwrap().push(ms());
        sleep_ms(50);
        vec![b'v'; VALUE]
    });
    members.push(Member::new("origin", address, "origin"));
    let (_discovery, discovery_address) = Discovery::start(members);
    let setup = Setup {
        classes: vec![Class { name: "tally-read", effect: "retryable", on_time_ms: 300, deadline_ms: 1_500 }],
        memory_mb: 192,
        sockets: 1_024,
        second_copies: true,
        max_attempts: 4,
    };
    let balancer = Balancer::start(&setup, discovery_address);
    let answers = Arc::new(Mutex::new(Vec::<(u64, bool)>::new())); // when, and whether it was refused
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, stop) = (balancer.address, stop.clone());
            let (answers, served) = (answers.clone(), served.clone());
            std::thread::spawn(move || {
                let mut random = Random::new(client + 1);
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(address) else { return sleep_ms(50) };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while !stop.load(Ordering::SeqCst) {
                        let id = new_id();
                        if stream.write_all(&get(random.below(400), &id, "tally-read", 1_500)).is_err() {
                            break;
                        }
                        let (answer, _) = read_answer(&mut reader);
                        note(&format!("client {client}: {id}: {answer:?}"));
                        let refused = matches!(answer, Answer::Refused(_));
                        answers.lock().unwrap().push((ms(), refused));
                        if matches!(answer, Answer::Served(_)) {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                        if matches!(answer, Answer::Ended { .. }) {
                            break;
                        }
                        sleep_ms(PAUSE_MS);
                    }
                }
            })
        })
        .collect();
    let mut noted = Instant::now();
    while ms() < END_MS {
        sleep_ms(100);
        if noted.elapsed() >= Duration::from_secs(5) {
            noted = Instant::now();
            let since = ms().saturating_sub(5_000);
            let answers = answers.lock().unwrap();
            let recent = answers.iter().filter(|(at, _)| *at >= since);
            let (refused, all) =
                recent.fold((0, 0), |(refused, all), it| (refused + u64::from(it.1), all + 1));
            let tried = attempts.lock().unwrap().iter().filter(|at| **at >= since).count();
            println!(
                "{:>6} ms: of {all} requests in 5 s {refused} refused, {tried} attempts reached a server",
                ms()
            );
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // The check, after the recovery alone: 4 s on end in which 15 requests or more were all refused, and none was sent on.
    let (answers, attempts) = (answers.lock().unwrap(), attempts.lock().unwrap());
    let mut worst: Option<(u64, usize)> = None;
    let mut from = RECOVERED_MS + 2_000;
    while from + WINDOW_MS <= END_MS {
        let within = |at: u64| (from..from + WINDOW_MS).contains(&at);
        let got: Vec<_> = answers.iter().filter(|(at, _)| within(*at)).collect();
        let sent_on = attempts.iter().any(|at| within(*at));
        if got.len() >= FEWEST && got.iter().all(|(_, refused)| *refused) && !sent_on {
            worst = Some((from, got.len()));
            break;
        }
        from += 100;
    }
    let served = served.load(Ordering::SeqCst);
    let late = answers.iter().filter(|(at, _)| *at >= RECOVERED_MS);
    let (refused, all) = late.fold((0, 0), |(refused, all), it| (refused + u64::from(it.1), all + 1));
    say(&format!("{served} served in all; after the recovery {refused} of {all} requests were refused"));
    drop((answers, attempts));
    if served < 300 {
        say("case: too little was served; the case could not run");
        finish(balancer, COULD_NOT_RUN);
    }
    match worst {
        Some((from, count)) => {
            say(&format!(
                "from {from} ms on, for 4 s, all {count} requests were refused, and none was sent on"
            ));
            finish(balancer, BROKEN)
        }
        None => finish(balancer, HELD),
    }
}
