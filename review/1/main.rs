//! The origin, at another site, sends a second copy of some answers some milliseconds late, and declines some requests.
#[path = "../standins/common.rs"]
mod common;

use common::{
    BROKEN, Client, Config, Flag, HELD, NOT_RUN, Record, Reply, Run, encode_origin_answer, encode_set,
    free_address, has_input, lock, read_origin_request, serve_connections, start_discovery, start_relay,
    trouble,
};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The site of the servers. The balancer's is another.
const SERVER_SITE: &str = "puebla";
/// The one-way delay between the two sites: 2.3 to 4.3 ms, says the brief.
const SITE_DELAY: Duration = Duration::from_millis(4);
/// How late a second answer is.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(6);
/// One answer in this many is sent a second time, while second answers come.
const SECOND_ANSWER_INTERVAL: usize = 8;
/// The origin declines one request in this many. A declined request never runs.
const DECLINE_INTERVAL: usize = 11;
/// How long the origin works on a request.
const WORK: Duration = Duration::from_millis(60);
/// The number of clients that write with a key, and of those that ask for an official folio.
const KEYED_WRITERS: usize = 12;
const FOLIO_WRITERS: usize = 8;
/// The pause of a client after an answer.
const PAUSE: Duration = Duration::from_millis(1);
/// The run consists of rounds. In the first part of each, second answers come and no folio is asked for. In the second
/// part, folios are asked for and no second answer comes.
const ROUNDS: u32 = 6;
const SECOND_ANSWERS_TIME: Duration = Duration::from_secs(5);
const FOLIO_TIME: Duration = Duration::from_secs(8);
/// A run with fewer requests served says nothing.
const MIN_SERVED: usize = 500;

/// What the parts of a run share.
struct Scene {
    record: Record,
    listen: SocketAddr,
    started: Instant,
    stop: Flag,
    origin: Arc<Origin>,
}

/// The state of the origin.
struct Origin {
    record: Record,
    started: Instant,
    requests: AtomicUsize,
    /// How often each request has run.
    runs: Mutex<HashMap<String, usize>>,
    second_answers: AtomicUsize,
}

/// What a client got as the answer to its request.
struct ClientAnswer {
    id: String,
    reply: io::Result<Reply>,
}

/// Returns the receipt that the origin makes for a request.
fn receipt_for(id: &str) -> String {
    format!("made for {id}")
}

/// Returns whether a round is in its first part.
fn is_first_part(started: Instant) -> bool {
    let round = (SECOND_ANSWERS_TIME + FOLIO_TIME).as_millis();
    started.elapsed().as_millis() % round < SECOND_ANSWERS_TIME.as_millis()
}

impl Origin {
    /// Serves the requests on a connection in order.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let id = read_origin_request(&mut stream, &mut buffer)?.id;
            let number = self.requests.fetch_add(1, Ordering::Relaxed);
            thread::sleep(WORK);
            if number % DECLINE_INTERVAL == 0 {
                self.record.add("origin", &format!("declined {id}, which did not run"));
                stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
                )?;
                continue;
            }
            *lock(&self.runs).entry(id.clone()).or_default() += 1;
            self.record.add("origin", &format!("ran {id} and answers it"));
            let answer = encode_origin_answer(receipt_for(&id).as_bytes());
            stream.write_all(&answer)?;
            if trouble() && number % SECOND_ANSWER_INTERVAL == 0 && is_first_part(self.started) {
                thread::sleep(SECOND_ANSWER_DELAY);
                // A second copy is sent only when nothing else waits on the connection.
                if !has_input(&stream, &buffer) {
                    stream.write_all(&answer)?;
                    self.second_answers.fetch_add(1, Ordering::Relaxed);
                    self.record.add("origin", &format!("sends the answer of {id} a second time"));
                }
            }
        }
    }
}

/// Sends requests one after the other until the run stops.
fn run_client(scene: &Scene, number: usize, report: impl Fn(ClientAnswer)) -> io::Result<()> {
    let asks_for_folios = number >= KEYED_WRITERS;
    let mut client = Client::connect(scene.listen)?;
    let mut round = 0;
    while !scene.stop.is_set() {
        if asks_for_folios && is_first_part(scene.started) {
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        let key = (round * (KEYED_WRITERS + FOLIO_WRITERS) + number) as u64;
        round += 1;
        let id = if asks_for_folios { format!("f{key:015x}") } else { format!("{key:016x}") };
        let command = if asks_for_folios {
            encode_set(key, &id, "asignar-folio", 1_000, "", b"value")
        } else {
            encode_set(key, &id, "alta-solicitud", 1_000, &format!(",k={id}"), b"value")
        };
        let reply = client.stream.write_all(&command).and_then(|()| client.read_reply());
        let failed = reply.is_err();
        report(ClientAnswer { id, reply });
        if failed {
            client = Client::connect(scene.listen)?;
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

fn main() {
    let run = Run::start();
    let (record, started) = (run.record.clone(), Instant::now());
    let (requests, runs, second_answers) = (AtomicUsize::new(0), Mutex::default(), AtomicUsize::new(0));
    let origin = Arc::new(Origin { record: record.clone(), started, requests, runs, second_answers });
    let server = origin.clone();
    let address = serve_connections(move |stream| {
        let _ = server.serve(stream); // ends with its connection
    });
    let address = run.need("origin", address);
    let address = run.need("relay", start_relay(address, SITE_DELAY));
    let cache = run.need("cache host", serve_connections(|_| thread::sleep(Duration::from_secs(120))));
    let members = [("origin", address, "origin"), ("s-0", cache, "un-nucleo")];
    let discovery = run.need("discovery", start_discovery(&record, SERVER_SITE, &members));
    let listen = run.need("port", free_address());
    let balancer = run.start_balancer(&Config { listen, discovery, memory_mb: 192, sockets: 1_024 });

    let stop = Flag::default();
    let scene = Arc::new(Scene { record: record.clone(), listen, started, stop, origin });
    let (sender, answers) = channel();
    let clients: Vec<_> = (0..KEYED_WRITERS + FOLIO_WRITERS)
        .map(|number| {
            let (scene, sender) = (scene.clone(), sender.clone());
            thread::spawn(move || {
                run_client(&scene, number, |answer| {
                    let _ = sender.send(answer); // the receiver lives until all clients have ended
                })
            })
        })
        .collect();
    drop(sender);
    let timed = scene.clone();
    thread::spawn(move || {
        thread::sleep((SECOND_ANSWERS_TIME + FOLIO_TIME) * ROUNDS);
        timed.stop.set();
    });

    let (mut right, mut foreign, mut others) = (0, 0, 0);
    for ClientAnswer { id, reply } in answers {
        let text = reply.as_ref().map_or_else(|error| format!("no answer: {error}"), Reply::text);
        scene.record.add("client", &format!("{id}: {text}"));
        match reply {
            Ok(Reply::Value(value)) if value == receipt_for(&id).as_bytes() => right += 1,
            Ok(Reply::Value(_)) => foreign += 1,
            _ => others += 1,
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let ran_twice: Vec<_> = lock(&scene.origin.runs)
        .iter()
        .filter(|(id, runs)| id.starts_with('f') && **runs > 1)
        .map(|(id, _)| id.clone())
        .collect();
    let second_answers = scene.origin.second_answers.load(Ordering::Relaxed);
    let summary = format!(
        "{} requests of asignar-folio ran twice; second answers: {second_answers}; served with the right receipt: \
         {right}; served with the receipt of another request: {foreign}; refused or failed: {others}",
        ran_twice.len()
    );
    if let Some(first) = ran_twice.first() {
        run.end(BROKEN, &format!("{summary}; one that ran twice: {first}"));
    }
    if right < MIN_SERVED || balancer.has_ended() {
        run.end(NOT_RUN, &format!("too few were served; {summary}"));
    }
    run.end(HELD, &summary);
}
