//! The origin, at another site, sends a second copy of some answers some milliseconds late, and declines some requests.
#[path = "../standins/common.rs"]
mod common;

use common::{
    BROKEN, Client, Config, Flag, HELD, NOT_RUN, Record, Reply, Run, encode_origin_answer, encode_set,
    free_address, lock, read_origin_request, serve_connections, start_discovery, start_relay, trouble,
};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
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
const DECLINED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
/// How long the origin works on a request: from the shortest to the longest that the brief has for these two writes.
const SHORTEST_WORK_MS: usize = 51;
const LONGEST_WORK_MS: usize = 130;
/// The number of clients that write with a key, and of those that ask for an official folio.
const KEYED_WRITERS: usize = 12;
const FOLIO_WRITERS: usize = 8;
/// The pause of a client after an answer.
const PAUSE: Duration = Duration::from_millis(1);
/// The run consists of rounds. In the first part of each, second answers come and no folio is asked for. In the second
/// part, folios are asked for and no second answer comes.
const ROUNDS: u32 = 2;
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

/// Returns how long the origin works on its request of this number.
fn work_of(number: usize) -> Duration {
    let spread = LONGEST_WORK_MS - SHORTEST_WORK_MS + 1;
    Duration::from_millis((SHORTEST_WORK_MS + number * 37 % spread) as u64)
}

/// Returns whether the origin declines its request of this number.
fn is_declined(number: usize) -> bool {
    number % DECLINE_INTERVAL == 0
}

/// Returns whether a round is in its first part.
fn is_first_part(started: Instant) -> bool {
    let round = (SECOND_ANSWERS_TIME + FOLIO_TIME).as_millis();
    started.elapsed().as_millis() % round < SECOND_ANSWERS_TIME.as_millis()
}

/// A request that the origin has read on a connection.
struct Begun {
    id: String,
    number: usize,
    at: Instant,
}

impl Origin {
    /// Serves a connection: each request is begun as soon as it has come, and answered after the one before it.
    fn serve(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        let (sender, begun) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (origin, reading, counted) = (self.clone(), stream.try_clone()?, waiting.clone());
        thread::spawn(move || origin.begin_requests(reading, &counted, &sender));
        self.answer_requests(stream, &waiting, &begun)
    }

    /// Begins the requests of a connection. `waiting` counts those of which a byte has come and that are not answered.
    fn begin_requests(
        &self, mut stream: TcpStream, waiting: &AtomicUsize, sender: &Sender<Begun>,
    ) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            if buffer.is_empty() && stream.peek(&mut [0])? == 0 {
                return Ok(()); // the end of the connection
            }
            waiting.fetch_add(1, Ordering::SeqCst);
            let id = read_origin_request(&mut stream, &mut buffer)?.id;
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            if is_declined(number) {
                self.record.add("origin", &format!("declines {id}, which does not run"));
            } else {
                *lock(&self.runs).entry(id.clone()).or_default() += 1;
                self.record.add("origin", &format!("runs {id}"));
            }
            if sender.send(Begun { id, number, at: Instant::now() }).is_err() {
                return Ok(()); // no further answer can be written
            }
        }
    }

    /// Answers the requests of a connection in their order, and sends some answers twice.
    fn answer_requests(
        &self, mut stream: TcpStream, waiting: &AtomicUsize, begun: &Receiver<Begun>,
    ) -> io::Result<()> {
        for Begun { id, number, at } in begun {
            thread::sleep((at + work_of(number)).saturating_duration_since(Instant::now()));
            let answer = match is_declined(number) {
                true => DECLINED.to_vec(),
                false => encode_origin_answer(receipt_for(&id).as_bytes()),
            };
            stream.write_all(&answer)?;
            self.record.add("origin", &format!("answered {id}"));
            let is_last = waiting.fetch_sub(1, Ordering::SeqCst) == 1;
            let is_chosen = !is_declined(number) && number % SECOND_ANSWER_INTERVAL == 0;
            if trouble() && is_last && is_chosen && is_first_part(self.started) {
                thread::sleep(SECOND_ANSWER_DELAY);
                // A second copy is sent only when nothing else waits on the connection.
                if waiting.load(Ordering::SeqCst) == 0 {
                    stream.write_all(&answer)?;
                    self.second_answers.fetch_add(1, Ordering::SeqCst);
                    self.record.add("origin", &format!("sends the answer of {id} a second time"));
                }
            }
        }
        Ok(())
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
        let _ = server.clone().serve(stream); // ends with its connection
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
    let is_folio_run_twice = |(id, runs): &(&String, &usize)| id.starts_with('f') && **runs > 1;
    let ran_twice = lock(&scene.origin.runs).iter().filter(is_folio_run_twice).count();
    let second_answers = scene.origin.second_answers.load(Ordering::SeqCst);
    let summary = format!(
        "served with the receipt of another request: {foreign}; served with the right receipt: {right}; refused or \
         failed: {others}; second answers: {second_answers}; requests of asignar-folio that ran twice: {ran_twice}"
    );
    if foreign > 0 {
        run.end(BROKEN, &summary);
    }
    if right < MIN_SERVED || balancer.has_ended() {
        run.end(NOT_RUN, &format!("too few were served; {summary}"));
    }
    run.end(HELD, &summary);
}
