//! A scripted platform: peers, an origin and discovery that do what a test says, and the program between them.
//!
//! Nothing sleeps: a test waits for what happens, and `PATIENCE` only ends one that waits for ever.
#![allow(dead_code)]

pub mod sockets;

use bytes::BytesMut;
use proto::resp::next_command;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// Something that happened at a peer.
pub enum Seen {
    /// A request, and the connection to answer it on.
    Asked(Asked),
    /// The balancer closed a connection.
    Closed,
}

pub struct Asked {
    pub words: Vec<String>,
    stream: TcpStream,
}

impl Asked {
    /// A part of an answer; whoever is not there any more to take it misses it.
    pub fn part(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn answer(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    pub fn value(self, value: &str) {
        self.answer(&format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()));
    }
    pub fn miss(self) {
        self.answer("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
    pub fn http(self, head: &str, body: &str) {
        self.answer(&format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    /// Ends the connection without an answer.
    pub fn hang_up(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
}

pub struct Peer {
    pub addr: SocketAddr,
    seen: Receiver<Seen>,
    opened: Receiver<()>,
}

impl Peer {
    pub fn start(http: bool) -> Self {
        Self::taking(TcpListener::bind("127.0.0.1:0").unwrap(), http, || true)
    }
    /// With the shortest backlog, and taking one connection for each word: further ones are held in their dial.
    pub fn narrow(http: bool) -> (Self, Sender<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).listen(0).unwrap();
        let (admit, admitted) = channel();
        (Self::taking(listener, http, move || admitted.recv().is_ok()), admit)
    }
    fn taking(listener: TcpListener, http: bool, mut takes: impl FnMut() -> bool + Send + 'static) -> Self {
        let addr = listener.local_addr().unwrap();
        let (sender, seen) = channel();
        let (opening, opened) = channel();
        thread::spawn(move || {
            while takes() {
                let Ok((stream, _)) = listener.accept() else { break };
                let _ = opening.send(());
                let sender = sender.clone();
                thread::spawn(move || attend(stream, http, &sender));
            }
        });
        Self { addr, seen, opened }
    }
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the peer hears of something")
    }
    /// The next request; connections that end before it are passed over.
    pub fn asked(&self) -> Asked {
        loop {
            if let Seen::Asked(asked) = self.next() {
                return asked;
            }
        }
    }
    /// The next request within a time, if one comes.
    pub fn asked_within(&self, time: Duration) -> Option<Asked> {
        let until = Instant::now() + time;
        loop {
            match self.seen.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(Seen::Asked(asked)) => return Some(asked),
                Ok(Seen::Closed) => {}
                Err(_) => return None,
            }
        }
    }
    /// Waits for a further connection.
    pub fn opened(&self) -> bool {
        self.opened.recv_timeout(PATIENCE).is_ok()
    }
    /// Whether a further connection has come.
    pub fn opened_more(&self) -> bool {
        self.opened.try_recv().is_ok()
    }
    /// Forgets the connections so far.
    pub fn forget_opened(&self) {
        self.opened.try_iter().for_each(drop);
    }
    pub fn closed(&self) -> bool {
        matches!(self.next(), Seen::Closed)
    }
    pub fn heard_of_nothing_more(&self) -> bool {
        !self.seen.try_iter().any(|seen| matches!(seen, Seen::Asked(_)))
    }
}

/// Waits until something is so.
pub fn wait_until(mut so: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !so() {
        assert!(Instant::now() < until, "not so within {PATIENCE:?}");
        thread::yield_now();
    }
}

/// The next request at any of these, and at which.
pub fn next_asked(peers: &[Peer]) -> (usize, Asked) {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let heard = peers.iter().map(|p| p.seen.try_recv()).enumerate();
        let mut asked = heard.filter_map(|(i, seen)| match seen {
            Ok(Seen::Asked(asked)) => Some((i, asked)),
            _ => None,
        });
        if let Some(found) = asked.next() {
            return found;
        }
        thread::yield_now();
    }
    panic!("none of the peers hears of anything");
}

fn attend(mut stream: TcpStream, http: bool, sender: &Sender<Seen>) {
    let mut buffer = BytesMut::new();
    loop {
        let whole = if http { http_request(&mut buffer) } else { resp_request(&mut buffer) };
        if let Some(words) = whole {
            let stream = stream.try_clone().unwrap();
            let _ = sender.send(Seen::Asked(Asked { words, stream }));
            continue;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => break,
        }
    }
    let _ = sender.send(Seen::Closed);
}

fn resp_request(buffer: &mut BytesMut) -> Option<Vec<String>> {
    let command = next_command(buffer).expect("the balancer writes commands")?;
    Some(command.0.iter().map(|word| String::from_utf8(word.to_vec()).unwrap()).collect())
}

/// The lines of the head, then the body.
fn http_request(buffer: &mut BytesMut) -> Option<Vec<String>> {
    let text = String::from_utf8(buffer.to_vec()).unwrap();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length = length.map_or(0, |n| n.parse().unwrap());
    let body = rest.get(..length)?;
    let mut words: Vec<String> = head.lines().map(str::to_owned).collect();
    words.push(body.to_owned());
    let _ = buffer.split_to(head.len() + 4 + length);
    Some(words)
}

/// Discovery: answers with its list, then watches say what the test pushes.
pub struct Discovery {
    pub addr: SocketAddr,
    pub paths: Receiver<String>,
    watches: Receiver<TcpStream>,
}

impl Discovery {
    pub fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let ((path_sender, paths), (watch_sender, watches)) = (channel(), channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                if path.contains("watch") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = watch_sender.send(stream);
                } else {
                    let body = list.to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all((head + &body).as_bytes());
                }
                let _ = path_sender.send(path);
            }
        });
        Self { addr, paths, watches }
    }
    pub fn watch(&self) -> TcpStream {
        self.watches.recv_timeout(PATIENCE).expect("the balancer watches")
    }
    pub fn asked_for(&self) -> String {
        self.paths.recv_timeout(PATIENCE).expect("the balancer asks")
    }
}

/// Writes a line to a watch, as one chunk.
pub fn push(watch: &mut TcpStream, line: &str) {
    write!(watch, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
}

pub fn member(id: &str, addr: SocketAddr, phase: &str) -> Value {
    let flavor = if id == "origin" { "origin" } else { "m" };
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": flavor, "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Classes `leer` (safe), `alta` (keyed) and `folio` (fragile) with times that no test reaches, and `prisa`,
/// whose first try is cut short early.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, aim: u64| {
        json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanUs": 4_000_000, "worth": 1.0,
               "lateWorth": 0.0, "onTimeUs": aim, "deadlineUs": 60_000_000})
    };
    json!({
        "me": 0, "siblings": 1, "dcs": ["a"], "locality": 0, "hostTypes": ["m", "origin"],
        "specifics": {"mode": "aside", "originKind": 1},
        "permissions": {"maxAttempts": 5, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                        "secondCopies": false, "dialTimeoutUs": 1_000_000, "connIdleUs": 60_000_000},
        "profiles": [class("leer", "retryable", 50_000_000), class("alta", "dedup", 50_000_000),
                     class("folio", "fragile", 50_000_000), class("prisa", "retryable", 6_000_000)],
        "tenants": [{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}],
        "discovery": "push", "weights": "nominal"
    })
}

pub fn config(discovery: SocketAddr, sockets: u64, known: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
           "known": known, "settings": settings()})
}

/// The program, ended with the test.
pub struct Balancer {
    pub door: Option<SocketAddr>,
    pub folder: PathBuf,
    child: Child,
    file: PathBuf,
    log: Receiver<String>,
    pub addr: SocketAddr,
}

/// A place of its own for a test's files.
fn place() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()))
}

/// Starts the program with a configuration of its own.
pub fn spawn(config: &str, descriptors: u32) -> (Child, PathBuf) {
    Home::alone().spawn(config, descriptors)
}

/// What the processes of one balancer share: their folder, and the clients' socket if the platform holds it.
pub struct Home {
    pub folder: PathBuf,
    pub socket: Option<TcpListener>,
    /// The descriptor that the program is told of.
    pub number: &'static str,
    pub program: String,
}

impl Home {
    /// With a clients' socket that the platform holds.
    pub fn new() -> Self {
        let socket = Some(TcpListener::bind("127.0.0.1:0").unwrap());
        Home { socket, number: "7", ..Self::alone() }
    }
    /// Of a process that binds its own socket.
    pub fn alone() -> Self {
        let home = Home {
            folder: place(),
            socket: None,
            number: "",
            program: env!("CARGO_BIN_EXE_spindlebeam").into(),
        };
        std::fs::create_dir(&home.folder).unwrap();
        home
    }
    pub fn client(&self) -> Client {
        Client::connect(self.socket.as_ref().unwrap().local_addr().unwrap())
    }
    pub fn spawn(&self, config: &str, descriptors: u32) -> (Child, PathBuf) {
        let file = place().with_extension("json");
        std::fs::write(&file, config).unwrap();
        let mut command = Command::new("sh");
        let inherited = if self.socket.is_some() { "exec 7<&0 && " } else { "" };
        command
            .args([
                "-c",
                &format!("ulimit -S -n {descriptors} && {inherited}exec \"$0\" serve --config \"$1\""),
            ])
            .args([&self.program[..], file.to_str().unwrap()])
            .env("RUST_LOG", "info,front=debug")
            .env("TMPDIR", &self.folder)
            .stderr(Stdio::piped());
        if let Some(socket) = &self.socket {
            command.env("PROXY_FD", self.number).stdin(OwnedFd::from(socket.try_clone().unwrap()));
        }
        (command.spawn().unwrap(), file)
    }
}

impl Balancer {
    pub fn start(config: &Value, descriptors: u32) -> Self {
        let home = Home::alone();
        Self::of(&home, home.spawn(&config.to_string(), descriptors), config)
    }
    /// A process of a balancer that others are of as well.
    pub fn start_at(home: &Home, config: &Value) -> Self {
        Self::of(home, home.spawn(&config.to_string(), 1024), config)
    }
    fn of(home: &Home, (mut child, file): (Child, PathBuf), config: &Value) -> Self {
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let folder = home.folder.clone();
        let mut it = Self { door: None, folder, child, file, log, addr: "127.0.0.1:0".parse().unwrap() };
        let addr = |line: String| line.rsplit(' ').next().unwrap().parse().unwrap();
        it.addr = addr(it.logged("listening on "));
        it.door = config["operator"].as_str().map(|_| addr(it.logged("operators call at ")));
        it
    }
    /// Waits for a line of the log; lines before it are passed over, and count for the time.
    pub fn logged(&self, part: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("no line with {part:?}"));
            if line.contains(part) {
                return line;
            }
        }
    }
    pub fn terminate(&self) {
        self.signal("-TERM");
    }
    /// Replaces the configuration file, then tells the program so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).unwrap();
        self.signal("-HUP");
    }
    /// Tells the program of a new configuration on a disk that stands still; yields its file.
    pub fn reload_on_a_still_disk(&self) -> PathBuf {
        std::fs::remove_file(&self.file).unwrap();
        let file = stands_still(self.file.clone());
        self.signal("-HUP");
        file
    }
    fn signal(&self, signal: &str) {
        let kill = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }
    /// Has something happen while the process stands still, so that it finds all of it at once.
    pub fn stopped(&self, meanwhile: impl FnOnce()) {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        wait_until(|| state().rsplit(')').next().unwrap().trim_start().starts_with('T'));
        meanwhile();
        self.signal("-CONT");
    }
    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }
    /// A client whose system takes in so many bytes before it has read them.
    pub fn client_that_holds(&self, bytes: usize) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(bytes).unwrap();
        socket.connect(&self.addr.into()).unwrap();
        Client::of(socket.into())
    }
    /// The number of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }
    /// The most memory that it has had, in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }
    /// Processor time that its threads have had.
    pub fn processor_us(&self) -> u64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let times =
            tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok());
        times.map(|times| times.split(' ').next().unwrap().parse::<u64>().unwrap() / 1_000).sum()
    }
    /// A yes of the door.
    pub fn order(&self, path: &str, host: &str) {
        let body = json!({"who": host}).to_string();
        assert_eq!(
            call(self.door.unwrap(), "POST", path, &body),
            (200, "{\"done\":true}".into()),
            "{path} {body}"
        );
    }
}

/// A file on a disk that stands still: whoever opens it waits until the test opens its other end.
pub fn stands_still(file: PathBuf) -> PathBuf {
    assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
    file
}

/// One call at an operators' door: the status and the body of its answer.
pub fn call(door: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(door).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap(); // one call per connection: it ends behind the answer
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("{answer:?}"));
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client(BufReader<TcpStream>);

/// Every request carries a new id.
fn new_id() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed))
}

fn command(words: &[&str]) -> BytesMut {
    let mut bytes = BytesMut::new();
    let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
    proto::resp::put_command(&mut bytes, &words);
    bytes
}

impl Client {
    fn connect(addr: SocketAddr) -> Self {
        Self::of(TcpStream::connect(addr).unwrap())
    }
    fn of(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client(BufReader::new(stream))
    }
    pub fn send(&mut self, words: &[&str]) {
        self.raw(&command(words));
    }
    /// Many writes of the values from 0 on, sent as one piece.
    pub fn flood(&mut self, class: &str, many: usize) {
        let options = format!("c={class},t=acme,d=60000,k=5c0f");
        let commands = (0..many).map(|n| command(&["CACHE.SET", "7f", &new_id(), &options, &n.to_string()]));
        let bytes: Vec<u8> = commands.flatten().collect();
        self.raw(&bytes);
    }
    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }
    /// Sends what goes without waiting; nothing once the connection has ended, or is full.
    pub fn try_raw(&mut self, bytes: &[u8]) {
        let mut stream = self.0.get_ref();
        let _ = stream.write(bytes);
    }
    /// Sends the same on a thread of its own, as fast as it is taken, until the connection has ended.
    pub fn send_without_pause(&self, bytes: Vec<u8>) {
        let mut stream = self.0.get_ref().try_clone().unwrap();
        thread::spawn(move || while stream.write_all(&bytes).is_ok() {});
    }
    /// Sends a read; nothing once the connection has ended.
    pub fn try_get(&mut self, class: &str, key: &str) {
        self.try_raw(&command(&["CACHE.GET", key, &new_id(), &format!("c={class},t=acme,d=60000")]));
    }
    /// Has all further answers read on a thread of its own, up to the end of the connection.
    pub fn read_apart(&self) -> JoinHandle<Vec<String>> {
        let mut reader = Client::of(self.0.get_ref().try_clone().unwrap());
        thread::spawn(move || {
            let answers = std::iter::from_fn(|| Some(reader.answer()).filter(|answer| !answer.is_empty()));
            answers.collect()
        })
    }
    pub fn port(&self) -> u16 {
        self.0.get_ref().local_addr().unwrap().port()
    }
    pub fn inner(&mut self) -> &mut impl Read {
        &mut self.0
    }
    /// A line.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }
    /// A line, empty where the connection has ended in order.
    pub fn line_or_error(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).map(|_| line)
    }
    /// The rest of a bulk string of so many bytes.
    pub fn bulk(&mut self, length: usize) -> String {
        let mut body = vec![0; length + 2];
        self.0.read_exact(&mut body).unwrap();
        assert_eq!(body.split_off(length), b"\r\n");
        String::from_utf8(body).unwrap()
    }
    /// A line of an answer, or a whole bulk string; empty when the connection has ended.
    pub fn answer(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            // A time-out is no end of a connection: a test that took it for one would pass without the fact.
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                panic!("nothing came within {PATIENCE:?}")
            }
            Err(_) => return String::new(),
            Ok(_) => {}
        }
        if let Some(len) = line.strip_prefix('$') {
            return self.bulk(len.trim().parse().unwrap());
        }
        line.trim_end().to_owned()
    }
    /// Whether an answer has begun within a time.
    pub fn answered_within(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let begun = self.0.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0);
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        begun
    }
    pub fn get(&mut self, class: &str, key: &str) {
        self.get_as(&new_id(), class, key);
    }
    pub fn get_as(&mut self, id: &str, class: &str, key: &str) {
        self.send(&["CACHE.GET", key, id, &format!("c={class},t=acme,d=60000")]);
    }
    /// A read whose client waits for no longer than this.
    pub fn get_within(&mut self, class: &str, key: &str, time: Duration) {
        let options = format!("c={class},t=acme,d={}", time.as_millis());
        self.send(&["CACHE.GET", key, &new_id(), &options]);
    }
    pub fn set(&mut self, class: &str, value: &str) {
        self.send(&["CACHE.SET", "7f", &new_id(), &format!("c={class},t=acme,d=60000,k=5c0f"), value]);
    }
    pub fn half_close(&mut self, how: Shutdown) {
        let _ = self.0.get_mut().shutdown(how); // it may have gone by then
    }
    pub fn ended(&mut self) -> bool {
        self.answer().is_empty()
    }
    /// Whether its connection has ended by now; nothing is waited for.
    pub fn has_ended(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        peeked.map_or_else(|error| error.kind() != ErrorKind::WouldBlock, |n| n == 0)
    }
}

/// A balancer with this many peers, and an origin.
pub struct Platform {
    pub config: Value,
    pub peers: Vec<Peer>,
    pub origin: Peer,
    pub discovery: Discovery,
    pub watch: TcpStream,
    pub balancer: Balancer,
}

impl Platform {
    pub fn start(peers: usize) -> Self {
        Self::limited(peers, 192, 1024, 1024)
    }
    /// With a door for operators.
    pub fn with_door(peers: usize) -> Self {
        Self::configured(peers, 1024, |config| config["operator"] = "127.0.0.1:0".into())
    }
    /// A figure that the door gives.
    pub fn figure(&self, name: &str) -> u64 {
        let (status, text) = call(self.balancer.door.unwrap(), "GET", "/metrics", "");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("balancer.{name}:")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).split('|').next().unwrap().parse().unwrap()
    }
    /// With other limits: memory and descriptors as it is told of them, and descriptors as the system enforces.
    pub fn limited(peers: usize, memory_mb: u64, sockets: u64, descriptors: u32) -> Self {
        Self::configured(peers, descriptors, |config| {
            config["limits"] = json!({"memory_mb": memory_mb, "sockets": sockets});
        })
    }
    pub fn configured(peers: usize, descriptors: u32, edit: impl FnOnce(&mut Value)) -> Self {
        let peers = (0..peers).map(|_| Peer::start(false)).collect();
        Self::of(peers, Peer::start(true), descriptors, edit)
    }
    /// A balancer whose clients' socket the platform holds, so that others can take part in it.
    pub fn shared(home: &Home, edit: impl FnOnce(&mut Value)) -> Self {
        Self::at(home, vec![Peer::start(false)], Peer::start(true), 1024, edit)
    }
    /// Of these peers and this origin.
    pub fn of(peers: Vec<Peer>, origin: Peer, descriptors: u32, edit: impl FnOnce(&mut Value)) -> Self {
        Self::at(&Home::alone(), peers, origin, descriptors, edit)
    }
    fn at(
        home: &Home, peers: Vec<Peer>, origin: Peer, descriptors: u32, edit: impl FnOnce(&mut Value),
    ) -> Self {
        let mut members = vec![member("origin", origin.addr, "ready")];
        members.extend(peers.iter().enumerate().map(|(i, p)| member(&format!("s-{i}"), p.addr, "ready")));
        let discovery = Discovery::start(list(1, true, &members));
        let mut config = config(discovery.addr, 1024, Value::Null);
        edit(&mut config);
        let balancer = Balancer::of(home, home.spawn(&config.to_string(), descriptors), &config);
        let watch = discovery.watch();
        balancer.logged("ready");
        assert!(
            peers.iter().chain([&origin]).all(Peer::opened),
            "each is dialled ahead of its first request"
        );
        Self { config, peers, origin, discovery, watch, balancer }
    }
    /// A key whose first server is this peer, found by asking; all keys tried are answered.
    pub fn key_of(&self, peer: usize) -> String {
        let mut client = self.balancer.client();
        (1..)
            .map(|n: u64| format!("{n:x}"))
            .find(|key| {
                client.get("leer", key);
                let found = next_asked(&self.peers);
                found.1.value("x");
                client.answer() == "x" && found.0 == peer
            })
            .unwrap()
    }
}
