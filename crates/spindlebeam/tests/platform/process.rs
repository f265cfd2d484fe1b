//! The balancer process: starting it, signals, its log and its admin endpoint.

use super::{Client, WAIT_TIMEOUT, wait_until};
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

/// A balancer process, killed when dropped.
pub struct Balancer {
    pub admin_addr: Option<SocketAddr>,
    pub folder: PathBuf,
    child: Child,
    config_file: PathBuf,
    log: Receiver<String>,
    pub addr: SocketAddr,
}

/// Returns a path for a test's files that nothing else uses.
fn unique_path() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()))
}

/// Starts a process that binds its own socket; returns it and its configuration file.
pub fn spawn(config: &str, descriptors: u32) -> (Child, PathBuf) {
    ProcessEnv::without_socket().spawn(config, descriptors)
}

/// The resources that the processes of one balancer share: their folder, and the client socket if it is inherited.
pub struct ProcessEnv {
    pub folder: PathBuf,
    pub socket: Option<TcpListener>,
    /// The value of `PROXY_FD`.
    pub descriptor: &'static str,
    /// The path of the program.
    pub program: String,
}

impl ProcessEnv {
    /// Creates resources with a client socket that the processes inherit.
    pub fn with_socket() -> Self {
        let socket = Some(TcpListener::bind("127.0.0.1:0").unwrap());
        ProcessEnv { socket, descriptor: "7", ..Self::without_socket() }
    }
    /// Creates resources for a process that binds its own socket.
    pub fn without_socket() -> Self {
        let env = ProcessEnv {
            folder: unique_path(),
            socket: None,
            descriptor: "",
            program: env!("CARGO_BIN_EXE_spindlebeam").into(),
        };
        std::fs::create_dir(&env.folder).unwrap();
        env
    }
    pub fn client(&self) -> Client {
        Client::connect(self.socket.as_ref().unwrap().local_addr().unwrap())
    }
    pub fn spawn(&self, config: &str, descriptors: u32) -> (Child, PathBuf) {
        let file = unique_path().with_extension("json");
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
            command.env("PROXY_FD", self.descriptor).stdin(OwnedFd::from(socket.try_clone().unwrap()));
        }
        (command.spawn().unwrap(), file)
    }
}

impl Balancer {
    pub fn start(config: &Value, descriptors: u32) -> Self {
        let env = ProcessEnv::without_socket();
        Self::from_child(&env, env.spawn(&config.to_string(), descriptors), config)
    }
    /// Starts a process of a balancer that may have further processes.
    pub fn start_in(env: &ProcessEnv, config: &Value) -> Self {
        Self::from_child(env, env.spawn(&config.to_string(), 1024), config)
    }
    pub(super) fn from_child(
        env: &ProcessEnv, (mut child, config_file): (Child, PathBuf), config: &Value,
    ) -> Self {
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let folder = env.folder.clone();
        let mut balancer =
            Self { admin_addr: None, folder, child, config_file, log, addr: "127.0.0.1:0".parse().unwrap() };
        let addr = |line: String| line.rsplit(' ').next().unwrap().parse().unwrap();
        balancer.addr = addr(balancer.wait_for_log("listening on "));
        balancer.admin_addr =
            config["operator"].as_str().map(|_| addr(balancer.wait_for_log("admin endpoint on ")));
        balancer
    }
    /// Waits for a log line that contains `part`; the timeout covers the skipped lines, too.
    pub fn wait_for_log(&self, part: &str) -> String {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("no log line contains {part:?} within {WAIT_TIMEOUT:?}"));
            if line.contains(part) {
                return line;
            }
        }
    }
    pub fn terminate(&self) {
        self.signal("-TERM");
    }
    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_file, config).unwrap();
        self.signal("-HUP");
    }
    /// Replaces the configuration file with one whose reads block and sends SIGHUP; returns the file.
    pub fn reload_from_stalled_file(&self) -> PathBuf {
        std::fs::remove_file(&self.config_file).unwrap();
        let file = create_stalled_file(self.config_file.clone());
        self.signal("-HUP");
        file
    }
    fn signal(&self, signal: &str) {
        let kill = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }
    /// Runs `action` while the process is stopped, so that the process sees all its effects at once.
    pub fn while_stopped(&self, action: impl FnOnce()) {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        wait_until(|| state().rsplit(')').next().unwrap().trim_start().starts_with('T'));
        action();
        self.signal("-CONT");
    }
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }
    /// Connects a client whose socket has a receive buffer of this size.
    pub fn client_with_receive_buffer(&self, bytes: usize) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(bytes).unwrap();
        socket.connect(&self.addr.into()).unwrap();
        Client::from_stream(socket.into())
    }
    /// Returns the process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }
    /// Returns the peak resident memory of the process in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }
    /// Returns the processor time of all threads in microseconds.
    pub fn processor_us(&self) -> u64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let times =
            tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok());
        times.map(|times| times.split(' ').next().unwrap().parse::<u64>().unwrap() / 1_000).sum()
    }
    /// Posts a call to the admin endpoint, which must succeed.
    pub fn post_admin(&self, path: &str, cache_node: &str) {
        let body = json!({"who": cache_node}).to_string();
        assert_eq!(
            call(self.admin_addr.unwrap(), "POST", path, &body),
            (200, "{\"done\":true}".into()),
            "{path} {body}"
        );
    }
}

/// Creates a named pipe in place of a file on a stalled disk: opening it blocks until the test opens the other end.
pub fn create_stalled_file(file: PathBuf) -> PathBuf {
    assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
    file
}

/// Calls the admin endpoint; returns the status and the body of the response.
pub fn call(admin_addr: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(admin_addr).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap(); // the connection serves one call and ends after the response
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("{answer:?}"));
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
