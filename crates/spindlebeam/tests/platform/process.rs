//! The program as a process: started, signalled and called by its operators.

use super::{Client, PATIENCE, wait_until};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

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
    pub(super) fn of(home: &Home, (mut child, file): (Child, PathBuf), config: &Value) -> Self {
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let folder = home.folder.clone();
        let mut it = Self { door: None, folder, child, file, log, addr: "127.0.0.1:0".parse().unwrap() };
        let addr = |line: String| line.rsplit(' ').next().unwrap().parse().unwrap();
        it.addr = addr(it.logged("listening on "));
        it.door = config["operator"].as_str().map(|_| addr(it.logged("admin endpoint on ")));
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
