//! Stand-ins for the second review: the platform, discovery, cache nodes, the origin and clients.
//!
//! They use the standard library alone, threads, and loopback addresses. A stand-in does only what the pages allow.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// ------------------------------------------------------------------------------------------------ record and time

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt`, whose path is the first argument. Panics are failures of the case, not of the balancer.
pub fn open_record() {
    let path = std::env::args().nth(1).expect("the path of the record is missing");
    let _ = START.set(Instant::now());
    let _ = RECORD.set(Mutex::new(File::create(path).expect("the record cannot be written")));
    std::panic::set_hook(Box::new(|info| {
        say(&format!("case: panic: {info}; the case could not run"));
        end_all(COULD_NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        say("case: not over in time; the case could not run");
        end_all(COULD_NOT_RUN);
    });
}

/// A script may run for 120 s.
const LONGEST: Duration = Duration::from_secs(115);

/// The balancer that runs, as a process id; 0 if there is none. It is set back before the process is waited for.
static RUNNING: AtomicI32 = AtomicI32::new(0);
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Ends the balancer, removes the temporary folder, and exits.
fn end_all(result: i32) -> ! {
    send_signal(RUNNING.swap(0, Ordering::SeqCst), 9);
    if let Some(folder) = FOLDER.get() {
        let _ = fs::remove_dir_all(folder);
    }
    note(&format!("case: exit {result}"));
    std::process::exit(result)
}

fn send_signal(process: i32, signal: i32) {
    unsafe extern "C" {
        fn kill(process: i32, signal: i32) -> i32;
    }
    if process > 0 {
        // SAFETY: `kill` takes two integers. The process is a child that was not waited for, so its id is its own.
        unsafe { kill(process, signal) };
    }
}

/// Milliseconds since the start of the case.
pub fn ms() -> u64 {
    START.get().map_or(0, |start| start.elapsed().as_millis() as u64)
}

/// Writes one line to the record.
pub fn note(line: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:>7} ms  {line}", ms());
    }
}

/// Writes one line to the record and to the standard output.
pub fn say(line: &str) {
    note(line);
    println!("{line}");
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of pseudo-random numbers (xorshift), seeded by the case.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, end: u64) -> u64 {
        (self.next() >> 11) % end
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id of 16 hexadecimal digits.
pub fn new_id() -> String {
    format!("{:016x}", 0x5b00_0000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Closes a connection with a reset, as the system does when a process dies.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the pointer and the length describe one `Linger`, which outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Connects from a given loopback address, as a client of another machine does.
pub fn connect_from(source: [u8; 4], target: SocketAddr) -> io::Result<TcpStream> {
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        address: [u8; 4],
        zero: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn bind(fd: i32, address: *const Address, length: u32) -> i32;
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }
    const INET: u16 = 2;
    const STREAM: i32 = 1;
    const CLOEXEC: i32 = 0o2_000_000;
    let SocketAddr::V4(target) = target else { return Err(io::ErrorKind::Unsupported.into()) };
    let at = |address, port: u16| Address { family: INET, port: port.to_be_bytes(), address, zero: [0; 8] };
    let (from, to) = (at(source, 0), at(target.ip().octets(), target.port()));
    // SAFETY: the descriptor is new and owned here; each pointer and length describe an `Address` that outlives its call.
    unsafe {
        let fd = socket(i32::from(INET), STREAM | CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if bind(fd, &from, 16) != 0 || connect(fd, &to, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// ------------------------------------------------------------------------------------------------------ a server

/// The open connections of a stand-in server, so that its process can die.
#[derive(Default)]
pub struct Connections {
    open: Mutex<HashMap<u64, TcpStream>>,
    next: AtomicU64,
    pub dead: AtomicBool,
}

impl Connections {
    fn add(&self, stream: &TcpStream) -> u64 {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().insert(number, copy);
        }
        number
    }

    fn remove(&self, number: u64) {
        self.open.lock().unwrap().remove(&number);
    }

    /// The process dies: every connection is reset, and new ones are refused.
    pub fn die(&self) {
        self.dead.store(true, Ordering::SeqCst);
        for (_, stream) in self.open.lock().unwrap().drain() {
            reset(&stream);
            // All copies of the descriptor share the socket. A reset goes out with the last one; `shutdown` wakes the
            // threads that hold the others.
            let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
    }
}

/// Serves a listener: one thread for each connection. Returns the address and the connections.
pub fn serve(
    handler: impl Fn(TcpStream, &Connections) + Send + Sync + 'static,
) -> (SocketAddr, Arc<Connections>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a stand-in cannot listen");
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let connections = Arc::new(Connections::default());
    let handler = Arc::new(handler);
    let shared = connections.clone();
    thread::spawn(move || {
        while !shared.dead.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(300));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (handler, shared) = (handler.clone(), shared.clone());
            thread::spawn(move || {
                let number = shared.add(&stream);
                handler(stream, &shared);
                shared.remove(number);
            });
        }
    });
    (address, connections)
}

// ---------------------------------------------------------------------------------------------------------- RESP

/// Reads one line without its line end.
pub fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.len() - 2);
    Ok(String::from_utf8_lossy(&line).into_owned())
}

/// Reads one command: an array of bulk strings.
pub fn read_command(reader: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count: usize = read_line(reader)?.trim_start_matches('*').parse().map_err(io::Error::other)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let length: usize = read_line(reader)?.trim_start_matches('$').parse().map_err(io::Error::other)?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(words)
}

pub fn encode_command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// What a client is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Served(usize),
    Refused(String),
    Failed(String),
    /// The connection ended before the answer, or within it after so many bytes of the value.
    Ended {
        partial: Option<usize>,
        stated: usize,
    },
}

/// Reads one answer of the balancer, and checks nothing but its form. The value is returned too.
pub fn read_answer(reader: &mut impl BufRead) -> (Answer, Vec<u8>) {
    let ended = |partial, stated| (Answer::Ended { partial, stated }, Vec::new());
    let Ok(line) = read_line(reader) else { return ended(None, 0) };
    let Some(length) = line.strip_prefix('$') else {
        let answer = if line.starts_with("-BUSY") { Answer::Refused(line) } else { Answer::Failed(line) };
        return (answer, Vec::new());
    };
    let Ok(length) = length.parse::<usize>() else { return (Answer::Failed(line), Vec::new()) };
    let mut value = vec![0; length + 2];
    let mut at = 0;
    while at < value.len() {
        match reader.read(&mut value[at..]) {
            Ok(0) | Err(_) => return ended(Some(at), length),
            Ok(bytes) => at += bytes,
        }
    }
    value.truncate(length);
    (Answer::Served(length), value)
}

/// A command of a client.
pub fn get(key: u64, id: &str, class: &str, deadline_ms: u64) -> Vec<u8> {
    let options = format!("c={class},t=default,d={deadline_ms}");
    encode_command(&[b"CACHE.GET", format!("{key:016x}").as_bytes(), id.as_bytes(), options.as_bytes()])
}

pub fn set(key: u64, id: &str, class: &str, deadline_ms: u64, value: &[u8]) -> Vec<u8> {
    let options = format!("c={class},t=default,d={deadline_ms}");
    encode_command(&[
        b"CACHE.SET",
        format!("{key:016x}").as_bytes(),
        id.as_bytes(),
        options.as_bytes(),
        value,
    ])
}

// ---------------------------------------------------------------------------------------------------- cache nodes

/// How a cache node treats one command.
pub enum Reaction {
    /// Answers with this value after a delay.
    Value { after: Duration, value: Vec<u8> },
    /// Answers with this value, a piece of so many bytes at a time with a pause after each.
    Pieces { after: Duration, value: Vec<u8>, piece: usize, pause: Duration },
    /// Lacks the key.
    Miss { after: Duration },
}

/// A command as a cache node or the origin has it.
#[derive(Debug, Clone)]
pub struct Request {
    pub key: u64,
    pub id: String,
    pub class: String,
    pub write: bool,
}

fn option(options: &str, name: &str) -> String {
    let found = options.split(',').find_map(|option| option.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_default().to_owned()
}

/// Starts a cache node.
pub fn cache_node(
    name: &str, react: impl Fn(&Request) -> Reaction + Send + Sync + 'static,
) -> (SocketAddr, Arc<Connections>) {
    let name = name.to_owned();
    serve(move |stream, connections| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let dead = || connections.dead.load(Ordering::SeqCst);
        loop {
            let Ok(words) = read_command(&mut reader) else { return };
            if dead() {
                return;
            }
            let text = |index: usize| {
                String::from_utf8_lossy(words.get(index).map_or(&[][..], |word| &word[..])).into_owned()
            };
            if text(0) == "PING" {
                if writer.write_all(b"+PONG\r\n").is_err() {
                    return;
                }
                continue;
            }
            let request = Request {
                key: u64::from_str_radix(&text(1), 16).unwrap_or_default(),
                id: text(2),
                class: option(&text(3), "c"),
                write: words.len() > 4,
            };
            note(&format!("{name}: has {} {:016x} {}", request.class, request.key, request.id));
            let done = match react(&request) {
                Reaction::Miss { after } => {
                    thread::sleep(after);
                    writer.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
                }
                Reaction::Value { after, value } => {
                    thread::sleep(after);
                    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
                    out.extend_from_slice(&value);
                    out.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
                    if dead() { Err(io::ErrorKind::ConnectionReset.into()) } else { writer.write_all(&out) }
                }
                Reaction::Pieces { after, value, piece, pause } => {
                    thread::sleep(after);
                    let mut result = writer.write_all(format!("*3\r\n${}\r\n", value.len()).as_bytes());
                    let mut given = 0;
                    for part in value.chunks(piece) {
                        if dead() {
                            result = Err(io::ErrorKind::ConnectionReset.into());
                        }
                        if result.is_err() {
                            break;
                        }
                        result = writer.write_all(part);
                        given += part.len();
                        thread::sleep(pause);
                    }
                    if result.is_ok() {
                        result = writer.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n");
                    }
                    if !dead() {
                        let end = if result.is_ok() { "given whole" } else { "cut off by the balancer" };
                        note(&format!("{name}: {} {end}, {given} of {} bytes", request.id, value.len()));
                    }
                    result
                }
            };
            if dead() {
                reset(&writer);
            }
            if done.is_err() {
                return;
            }
        }
    })
}

// --------------------------------------------------------------------------------------------------------- origin

/// Starts the origin. `run` is called for each request that runs, and returns the answer's body after its own delay.
pub fn origin(run: impl Fn(&Request) -> Vec<u8> + Send + Sync + 'static) -> (SocketAddr, Arc<Connections>) {
    serve(move |stream, _| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        loop {
            let Ok(head) = read_line(&mut reader) else { return };
            let mut fields = HashMap::new();
            loop {
                let Ok(line) = read_line(&mut reader) else { return };
                if line.is_empty() {
                    break;
                }
                if let Some((name, value)) = line.split_once(':') {
                    fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
            let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
            let length: usize = field("content-length").parse().unwrap_or(0);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = head.split(' ');
            let write = words.next() == Some("PUT");
            let key = words.next().unwrap_or_default().trim_start_matches('/').to_owned();
            let request = Request {
                key: u64::from_str_radix(&key, 16).unwrap_or_default(),
                id: field("req-id"),
                class: option(&field("req-extra"), "c"),
                write,
            };
            note(&format!("origin: has {} {key} {}", request.class, request.id));
            let body = run(&request);
            note(&format!("origin: has run {} {}", request.class, request.id));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut out = head.into_bytes();
            out.extend_from_slice(&body);
            if writer.write_all(&out).is_err() {
                return;
            }
        }
    })
}

// ------------------------------------------------------------------------------------------------------ discovery

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub flavor: &'static str,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    pub fn new(id: &str, address: SocketAddr, flavor: &'static str) -> Self {
        Self { id: id.to_owned(), address, flavor, phase: "ready", up_since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"a\",\"flavor\":\"{}\",\"cell\":0,\"phase\":\"{}\",\
             \"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.flavor, self.phase, self.up_since_ms
        )
    }
}

/// The agent of discovery: the list, and its changes by revision.
#[derive(Default)]
pub struct Discovery {
    state: Mutex<(u64, Vec<Member>, Vec<(u64, Member)>)>,
    changed: Condvar,
}

impl Discovery {
    /// Starts the agent with a list. Returns it and its address.
    pub fn start(members: Vec<Member>) -> (Arc<Self>, SocketAddr) {
        let discovery = Arc::new(Self::default());
        *discovery.state.lock().unwrap() = (1, members, Vec::new());
        let shared = discovery.clone();
        let (address, _) = serve(move |stream, _| {
            let _ = shared.answer(stream);
        });
        (discovery, address)
    }

    /// Publishes the changed entry of an endpoint.
    pub fn change(&self, member: Member) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let revision = state.0;
        note(&format!("discovery: revision {revision}: {} is {}", member.id, member.phase));
        state.1.retain(|listed| listed.id != member.id);
        if member.phase != "gone" {
            state.1.push(member.clone());
        }
        state.2.push((revision, member));
        self.changed.notify_all();
    }

    fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        let head = read_line(&mut reader)?;
        while !read_line(&mut reader)?.is_empty() {}
        if !head.contains("watch=1") {
            let body = {
                let state = self.state.lock().unwrap();
                list_json(state.0, true, &state.1)
            };
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
            return Ok(());
        }
        let from = head.split("from=").nth(1).unwrap_or_default();
        let mut from: u64 = from.split([' ', '&']).next().unwrap_or_default().parse().unwrap_or(0);
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            let line = {
                let mut state = self.state.lock().unwrap();
                if state.0 <= from {
                    state = self.changed.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
                }
                let changes: Vec<Member> =
                    state.2.iter().filter(|(at, _)| *at > from).map(|(_, member)| member.clone()).collect();
                if changes.is_empty() {
                    "\n".to_owned()
                } else {
                    from = state.0;
                    list_json(state.0, false, &changes) + "\n"
                }
            };
            write!(writer, "{:x}\r\n{line}\r\n", line.len())?;
        }
    }
}

fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

// ------------------------------------------------------------------------------------------------------- platform

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub on_time_ms: u64,
    pub deadline_ms: u64,
}

/// What differs between the configurations of the cases.
pub struct Setup {
    pub classes: Vec<Class>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub second_copies: bool,
    pub max_attempts: u64,
}

/// Creates the folder for temporary files. It is removed at the end of the case.
fn temporary_folder() -> PathBuf {
    let name = format!("spindlebeam-review-2-{}-{}", std::process::id(), unix_ms());
    let path = std::env::temp_dir().join(name);
    fs::create_dir_all(&path).expect("no temporary folder");
    FOLDER.get_or_init(|| path).clone()
}

/// The root of the repository: the working folder, as for the commands of the deploy file.
fn deploy_command(name: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml: not found");
    let prefix = format!("{name} = \"");
    let line =
        text.lines().find_map(|line| line.strip_prefix(&prefix)).expect("no such command in the deploy file");
    line.trim_end().trim_end_matches('"').to_owned()
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A running balancer, started by the `run` line of the deploy file.
pub struct Balancer {
    pub child: Child,
    pub address: SocketAddr,
    pub operator: SocketAddr,
    pub log: PathBuf,
}

impl Balancer {
    /// Starts a balancer, and waits until it answers `PING` with `+PONG`.
    pub fn start(setup: &Setup, discovery: SocketAddr) -> Self {
        let folder = temporary_folder();
        let (address, operator) = (free_address(), free_address());
        let mut classes = String::new();
        for class in &setup.classes {
            let comma = if classes.is_empty() { "" } else { "," };
            write!(
                classes,
                "{comma}{{\"name\":\"{}\",\"effect\":\"{}\",\"keyScope\":\"all\",\"memorySpanUs\":4000000,\"worth\":1.0,\
                 \"lateWorth\":0.0,\"onTimeUs\":{},\"deadlineUs\":{}}}",
                class.name,
                class.effect,
                class.on_time_ms * 1_000,
                class.deadline_ms * 1_000
            )
            .unwrap();
        }
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"operator\":\"{operator}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"settings\":{{\"me\":0,\"siblings\":1,\"dcs\":[\"a\"],\"locality\":0,\"hostTypes\":[\"cache\",\"origin\"],\
             \"specifics\":{{\"mode\":\"aside\",\"originKind\":1}},\
             \"permissions\":{{\"maxAttempts\":{},\"cancel\":true,\"retryAfter\":true,\"maxRetryAfterUs\":1000000,\
             \"secondCopies\":{},\"dialTimeoutUs\":100000,\"connIdleUs\":10000000}},\
             \"profiles\":[{classes}],\
             \"tenants\":[{{\"name\":\"default\",\"quotaPerS\":1000.0,\"share\":1.0}}],\
             \"rules\":{{\"stopSendingWithinUs\":250000,\"coldFrom\":0.14,\"coldUs\":24000000,\"fallMultiple\":3.0,\
             \"tipAfterUs\":1000000,\"answerSlackUs\":20000,\"mustAskInUs\":10000000}},\
             \"resolutionUs\":5000,\"discovery\":\"push\",\"weights\":\"nominal\"}}}}",
            setup.memory_mb, setup.sockets, setup.max_attempts, setup.second_copies
        );
        let file = folder.join("config.json");
        fs::write(&file, &config).unwrap();
        let temporary = folder.join("tmp");
        fs::create_dir_all(&temporary).unwrap();
        let log = folder.join("balancer.log");
        let output = File::create(&log).unwrap();
        let run = deploy_command("run");
        note(&format!("platform: configuration {config}"));
        note(&format!("platform: starts `{run}`, clients at {address}"));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .expect("the balancer cannot be started");
        RUNNING.store(child.id() as i32, Ordering::SeqCst);
        let mut balancer = Self { child, address, operator, log };
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) && balancer.has_ended().is_none() {
            if balancer.ping().is_some_and(|answer| answer == "+PONG") {
                note("platform: the balancer answers +PONG");
                return balancer;
            }
            sleep_ms(50);
        }
        say("case: the balancer is not ready; the case could not run");
        finish(balancer, COULD_NOT_RUN)
    }

    pub fn ping(&self) -> Option<String> {
        let mut stream = self.connect().ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(1_000))).ok()?;
        stream.write_all(&encode_command(&[b"PING"])).ok()?;
        read_line(&mut BufReader::new(stream)).ok()
    }

    pub fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    pub fn signal(&self, name: &str) {
        note(&format!("platform: {name} to the balancer"));
        let number = match name {
            "SIGTERM" => 15,
            "SIGKILL" => 9,
            _ => panic!("no such signal: {name}"),
        };
        send_signal(RUNNING.load(Ordering::SeqCst), number);
    }

    /// A figure in kilobytes from the status of the process, such as `RssAnon`.
    pub fn status_kb(&self, name: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse().ok()
    }

    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        RUNNING.store(0, Ordering::SeqCst);
        Some(status.to_string())
    }

    /// Copies the last lines of the balancer's log to the record.
    pub fn copy_log(&self, lines: usize) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let kept: VecDeque<&str> = text.lines().collect();
        for line in kept.iter().skip(kept.len().saturating_sub(lines)) {
            note(&format!("balancer's log: {line}"));
        }
    }
}

/// Ends the balancer and the case.
pub fn finish(mut balancer: Balancer, result: i32) -> ! {
    balancer.copy_log(40);
    RUNNING.store(0, Ordering::SeqCst);
    let _ = balancer.child.kill();
    let _ = balancer.child.wait();
    end_all(result)
}
