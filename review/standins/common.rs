//! Stand-ins for the platform, discovery, clients and servers, and the record of a run. Standard library only.
#![allow(dead_code, reason = "each case uses a part of this module")]

use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The whole run must end within 120 s. The watchdog ends it earlier.
const WATCHDOG: Duration = Duration::from_secs(100);
/// How long a balancer may take to be ready, as the pages allow.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval of the empty lines of a watch.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Exit codes of a run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the run includes the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line with the time since the start of the run.
    pub fn add(&self, who: &str, what: &str) {
        let line = format!("{:9.3} {who:<10} {what}", self.started.elapsed().as_secs_f64());
        lock(&self.lines).push(line);
    }

    fn write(&self, file: &Path) {
        let text = lock(&self.lines).join("\n") + "\n";
        if let Err(error) = fs::write(file, text) {
            eprintln!("{}: {error}", file.display());
        }
    }
}

/// One run of a case: its folder, its temporary folder, its record, and the processes that it has started.
pub struct Run {
    pub record: Record,
    case_folder: PathBuf,
    temporary: PathBuf,
    balancers: Arc<Mutex<Vec<Arc<Mutex<Child>>>>>,
}

impl Run {
    /// Starts a run. The first argument of the program is the folder of the case; the current folder is the root of
    /// the project.
    pub fn start() -> Arc<Self> {
        let Some(case_folder) = std::env::args().nth(1).map(PathBuf::from) else {
            eprintln!("usage: CASE FOLDER");
            exit(NOT_RUN);
        };
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let temporary = std::env::temp_dir().join(format!("review-{}-{unique}", std::process::id()));
        let run = Arc::new(Self { record: Record::new(), case_folder, temporary, balancers: Arc::default() });
        if let Err(error) = fs::create_dir_all(&run.temporary) {
            run.end(NOT_RUN, &format!("temporary folder: {error}"));
        }
        run.record
            .add("run", if trouble() { "with the disruption" } else { "TROUBLE=0: without the disruption" });
        let watched = run.clone();
        thread::spawn(move || {
            thread::sleep(WATCHDOG);
            watched.end(NOT_RUN, "the run did not end in time");
        });
        run
    }

    /// Ends all processes, writes the record and ends the run with this verdict.
    pub fn end(&self, code: i32, why: &str) -> ! {
        for child in lock(&self.balancers).iter() {
            let mut child = lock(child);
            let _ = child.kill(); // fails if it has ended
            let _ = child.wait();
        }
        let verdict = match code {
            HELD => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.record.add("verdict", &format!("{verdict}: {why}"));
        println!("{verdict}: {why}");
        if let Ok(log) = fs::read_to_string(self.log_file()) {
            for line in log.lines().take(200) {
                self.record.add("log", line);
            }
        }
        self.record.write(&self.case_folder.join("record.txt"));
        let _ = fs::remove_dir_all(&self.temporary);
        exit(code);
    }

    /// Returns the value, or ends the run as one that could not run.
    pub fn need<T, E: std::fmt::Display>(&self, what: &str, result: Result<T, E>) -> T {
        match result {
            Ok(value) => value,
            Err(error) => self.end(NOT_RUN, &format!("{what}: {error}")),
        }
    }

    fn log_file(&self) -> PathBuf {
        self.temporary.join("balancer.log")
    }

    /// Starts a balancer with the `run` command of the deploy file, and waits until it answers `+PONG`.
    pub fn start_balancer(&self, config: &Config) -> Balancer {
        let deploy = self.need("deploy/balancer.toml", fs::read_to_string("deploy/balancer.toml"));
        let command = deploy.lines().find_map(|line| {
            let value = line.strip_prefix("run")?.trim_start().strip_prefix('=')?;
            Some(value.trim().trim_matches('"').to_owned())
        });
        let command = self.need("deploy/balancer.toml", command.ok_or("no line 'run'"));
        let (config_file, tmpdir) = (self.temporary.join("config.json"), self.temporary.join("tmp"));
        self.need("temporary folder", fs::create_dir_all(&tmpdir));
        self.need("configuration", fs::write(&config_file, config.to_json()));
        let log = self.need("log", fs::File::create(self.log_file()));
        let log_copy = self.need("log", log.try_clone());
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", config.listen.to_string())
            .env("PROXY_DISCOVERY", config.discovery.to_string())
            .env("PROXY_CONFIG", &config_file)
            .env("TMPDIR", &tmpdir)
            .env_remove("PROXY_OPERATOR")
            .env_remove("PROXY_FD")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_copy)
            .spawn();
        let child = Arc::new(Mutex::new(self.need("the command 'run'", child)));
        lock(&self.balancers).push(child.clone());
        let balancer = Balancer { child, listen: config.listen };
        self.record.add("platform", &format!("started '{command}', process {}", balancer.id()));
        let until = Instant::now() + READY_TIMEOUT;
        while !balancer.answers_ping() {
            if Instant::now() > until || balancer.has_ended() {
                self.end(NOT_RUN, "the balancer did not become ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add("platform", "the balancer answers +PONG");
        balancer
    }
}

/// A running balancer.
#[derive(Clone)]
pub struct Balancer {
    child: Arc<Mutex<Child>>,
    pub listen: SocketAddr,
}

impl Balancer {
    pub fn id(&self) -> u32 {
        lock(&self.child).id()
    }

    pub fn has_ended(&self) -> bool {
        !matches!(lock(&self.child).try_wait(), Ok(None))
    }

    /// Sends a signal by its name. Does nothing if the process has ended.
    pub fn signal(&self, name: &str) {
        let mut child = lock(&self.child);
        if let Ok(None) = child.try_wait() {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("/bin/sh").args(["-c", &command]).status();
        }
    }

    /// Returns the anonymous memory of the process in KiB: neither its program file nor other files count.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut client) = Client::connect(self.listen) else { return false };
        let sent = client.stream.write_all(b"*1\r\n$4\r\nPING\r\n");
        sent.is_ok() && matches!(client.read_reply(), Ok(Reply::Line(line)) if line == "+PONG")
    }
}

/// Returns an address on loopback with a port that is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The configuration of a balancer: the settings of the page on the wire, for one balancer of the site.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Config {
    fn to_json(&self) -> String {
        let class = |name: &str, effect: &str, aim: u64, deadline: u64, span: u64, worth: f64| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","keyScope":"all","memorySpanUs":{span},"worth":{worth:.1},
                "lateWorth":0.0,"onTimeUs":{aim},"deadlineUs":{deadline},"streamed":false}}"#
            )
        };
        let classes = [
            class("ver-expediente", "retryable", 500_000, 2_000_000, 5_000_000, 1.0),
            class("consulta-estado", "retryable", 250_000, 1_000_000, 5_000_000, 2.0),
            class("alta-solicitud", "dedup", 500_000, 1_000_000, 4_000_000, 5.0),
            class("asignar-folio", "fragile", 300_000, 1_000_000, 5_000_000, 2.0),
        ];
        let Self { listen, discovery, memory_mb, sockets } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
            "settings":{{"me":0,"siblings":1,"dcs":["queretaro","puebla","toluca","pachuca"],"locality":0,
            "hostTypes":["un-nucleo","dos-nucleos","origin"],"discovery":"push","weights":"nominal","worthBy":"request",
            "specifics":{{"mode":"aside","originKind":2,"originFallMultiple":0.0,"originFallUs":3000000}},
            "permissions":{{"maxAttempts":5,"cancel":true,"retryAfter":true,"maxRetryAfterUs":1000000,"peers":false,
            "probing":true,"secondCopies":false,"dialTimeoutUs":100000,"connIdleUs":10000000,"maxOpen":20000,
            "streamsPerConn":100,"cpuUsPerRequest":10.0,"cpuUsPerS":15000}},
            "rules":{{"answerSlackUs":20000,"coldFrom":0.14,"coldUs":24000000,"fallMultiple":3.0,
            "mustAskInUs":10000000,"stopSendingWithinUs":250000,"tipAfterUs":1000000}},
            "reporting":{{"how":"off","names":[]}},"clients":{{"marksRetry":false}},"overShareWorth":0.2,
            "profiles":[{}],"tenants":[{{"name":"valle-alto","quotaPerS":1000.0,"share":1.0}}],
            "resolutionUs":5000,"tier":0,"tiers":["nodos-cache"]}}}}"#,
            classes.join(",")
        )
    }
}

/// Starts discovery's agent, which lists these servers of the site `zone` as ready: their names, addresses and kinds.
pub fn start_discovery(
    record: &Record, zone: &str, members: &[(&str, SocketAddr, &str)],
) -> io::Result<SocketAddr> {
    let member = |(id, address, kind): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":0,
            "phase":"ready","size":1.0,"up_since_ms":0}}"#
        )
        .replace("\n            ", "")
    };
    let members: Vec<_> = members.iter().map(member).collect();
    let list = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(","));
    record.add("discovery", &list);
    serve_connections(move |mut stream| {
        let Ok(head) = read_http_head(&mut stream, &mut Vec::new()) else { return };
        if !head.contains("watch=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let _ = stream.write_all(answer.as_bytes()); // fails if the balancer has left
            return;
        }
        let mut line = format!("{list}\n");
        let mut written = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while written.is_ok() {
            written = stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
            line = "\n".to_owned();
            thread::sleep(KEEP_ALIVE);
        }
    })
}

/// Listens on a free port of loopback and serves each connection on a thread of its own.
pub fn serve_connections(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    Ok(address)
}

/// Reads once. A read that a signal has interrupted is repeated.
fn read_uninterrupted(stream: &mut TcpStream, piece: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(piece) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Reads more bytes into the buffer. Fails at the end of the connection.
fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut piece = [0; 16 * 1024];
    let count = read_uninterrupted(stream, &mut piece)?;
    if count == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    buffer.extend_from_slice(&piece[..count]);
    Ok(())
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer.windows(pattern.len()).position(|window| window == pattern)
}

/// Reads a line without its end. The rest stays in the buffer.
fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = find(buffer, b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(line);
        }
        read_more(stream, buffer)?;
    }
}

/// Reads this many bytes. The rest stays in the buffer.
fn read_bytes(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < count {
        read_more(stream, buffer)?;
    }
    Ok(buffer.drain(..count).collect())
}

/// Reads the head of an HTTP request.
fn read_http_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    let mut head = String::new();
    loop {
        let line = read_line(stream, buffer)?;
        if line.is_empty() {
            return Ok(head);
        }
        head.push_str(&line);
        head.push('\n');
    }
}

/// A request as a server reads it.
pub struct ServerRequest {
    pub id: String,
    pub key: String,
    /// The size of the value of a write; 0 for a read.
    pub value_bytes: usize,
    pub is_write: bool,
}

/// Reads the next command of a balancer at a cache host.
pub fn read_command(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<Vec<u8>>> {
    let number =
        |line: String| line[1..].parse::<usize>().map_err(|_| io::Error::from(io::ErrorKind::InvalidData));
    let count = number(read_line(stream, buffer)?)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number(read_line(stream, buffer)?)?;
        words.push(read_bytes(stream, buffer, length)?);
        read_bytes(stream, buffer, 2)?;
    }
    Ok(words)
}

/// Reads the next request at a cache host; `None` for `PING`.
pub fn read_cache_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<ServerRequest>> {
    let words = read_command(stream, buffer)?;
    let text = |index: usize| words.get(index).map(|word| String::from_utf8_lossy(word).into_owned());
    let (Some(key), Some(id)) = (text(1), text(2)) else { return Ok(None) };
    let value_bytes = words.get(4).map_or(0, Vec::len);
    Ok(Some(ServerRequest { id, key, value_bytes, is_write: words.len() > 4 }))
}

/// Reads the next request at the origin.
pub fn read_origin_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<ServerRequest> {
    let head = read_http_head(stream, buffer)?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
    };
    let value_bytes = header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    read_bytes(stream, buffer, value_bytes)?;
    let key = head.split(' ').nth(1).unwrap_or_default().trim_start_matches('/').to_owned();
    let id = header("Req-Id").unwrap_or_default();
    Ok(ServerRequest { id, key, value_bytes, is_write: head.starts_with("PUT") })
}

/// Encodes the answer of a cache host with a value.
pub fn encode_hit(value: &[u8]) -> Vec<u8> {
    let head = format!("*3\r\n${}\r\n", value.len());
    [head.as_bytes(), value, b"\r\n$3\r\nhit\r\n$-1\r\n"].concat()
}

/// Encodes the answer of the origin with a value or receipt.
pub fn encode_origin_answer(value: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len());
    [head.as_bytes(), value].concat()
}

/// A balancer's reply to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Served: the value.
    Value(Vec<u8>),
    /// A status or error line.
    Line(String),
}

impl Reply {
    /// Returns the reply for the record, with a long value shortened.
    pub fn text(&self) -> String {
        match self {
            Self::Line(line) => line.clone(),
            Self::Value(value) if value.len() > 80 => format!("a value of {} bytes", value.len()),
            Self::Value(value) => format!("value '{}'", String::from_utf8_lossy(value)),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Reads the next reply.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let line = read_line(&mut self.stream, &mut self.buffer)?;
        let Some(length) = line.strip_prefix('$') else { return Ok(Reply::Line(line)) };
        let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let value = read_bytes(&mut self.stream, &mut self.buffer, length)?;
        match &read_bytes(&mut self.stream, &mut self.buffer, 2)?[..] {
            b"\r\n" => Ok(Reply::Value(value)),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Encodes a client's command.
pub fn encode_command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes a read.
pub fn encode_get(key: u64, id: &str, class: &str, limit_ms: u64) -> Vec<u8> {
    let options = format!("c={class},t=valle-alto,d={limit_ms}");
    encode_command(&[b"CACHE.GET", format!("{key:016x}").as_bytes(), id.as_bytes(), options.as_bytes()])
}

/// Encodes a write. `options` follow the class, the tenant and the time limit.
pub fn encode_set(key: u64, id: &str, class: &str, limit_ms: u64, options: &str, value: &[u8]) -> Vec<u8> {
    let options = format!("c={class},t=valle-alto,d={limit_ms}{options}");
    let key = format!("{key:016x}");
    encode_command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), options.as_bytes(), value])
}

/// Starts a relay to `target` that delays all bytes by `delay` in each direction, like a link between two sites.
pub fn start_relay(target: SocketAddr, delay: Duration) -> io::Result<SocketAddr> {
    serve_connections(move |near| {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        let back = thread::spawn(move || copy_delayed(far_copy, near_copy, delay));
        copy_delayed(near, far, delay);
        let _ = back.join();
    })
}

/// Copies bytes from one socket to another, each `delay` after it was read.
fn copy_delayed(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, pieces): (_, Receiver<(Instant, Vec<u8>)>) = channel();
    let writer = thread::spawn(move || {
        for (at, bytes) in pieces {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = read_uninterrupted(&mut from, &mut buffer).unwrap_or(0);
        // An empty piece marks the end of the connection.
        if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() || count == 0 {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
