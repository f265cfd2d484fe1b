//! A balancer process: start, signals, log lines, and restart with the same, an older or an empty disk. Killed on drop.

use crate::event_log::EventLog;
use crate::folder;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::unix::pipe;
use tokio::runtime::Handle;

/// The number of last log lines that a failed wait prints.
const LINES_SHOWN: usize = 20;

/// The log level of processes unless `RUST_LOG` is set.
const DEFAULT_LOG_LEVEL: &str = "info";

/// How a process is started.
#[derive(Debug, Clone, Default)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// The arguments after `serve --config FILE`.
    pub args: Vec<String>,
    /// Additional environment variables.
    pub variables: Vec<(String, String)>,
    /// The clock offset, passed as `SPINDLEBEAM_CLOCK_OFFSET_MS`.
    pub clock_offset_ms: i64,
}

/// The disk of a restarted process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// The files of the previous process.
    Kept,
    /// An empty folder.
    Empty,
}

/// A process and the logs of its predecessors.
#[derive(Debug)]
pub struct Process {
    handle: Handle,
    launch: Launch,
    folder: PathBuf,
    child: Child,
    reaped: Option<ExitStatus>,
    lines: EventLog<String>,
    /// The logs of the previous processes, oldest first.
    former_lines: Vec<EventLog<String>>,
    ended: EventLog<()>,
    read_position: AtomicUsize,
}

impl Process {
    /// Starts the program with a configuration, in its own folder.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be written or the program not started.
    pub fn start(handle: &Handle, launch: Launch, folder: &Path, config: &Value) -> io::Result<Self> {
        fs::create_dir_all(folder.join("disk"))?;
        fs::write(folder.join("config.json"), config.to_string())?;
        let Spawned { child, lines, ended } = spawn(handle, &launch, folder)?;
        let (handle, folder, read_position) = (handle.clone(), folder.to_owned(), AtomicUsize::new(0));
        let former_lines = Vec::new();
        Ok(Self { handle, launch, folder, child, reaped: None, lines, former_lines, ended, read_position })
    }

    /// Returns the launch options; a change takes effect at the next restart.
    pub fn launch(&mut self) -> &mut Launch {
        &mut self.launch
    }
    /// Returns the folder that serves as the disk.
    #[must_use]
    pub fn disk(&self) -> PathBuf {
        self.folder.join("disk")
    }
    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
    /// Returns the log lines of the current process.
    #[must_use]
    pub fn log(&self) -> &EventLog<String> {
        &self.lines
    }

    /// Returns all log lines that contain `part`, oldest first, including those of previous processes.
    #[must_use]
    pub fn lines_with(&self, part: &str) -> Vec<String> {
        let logs = self.former_lines.iter().chain([&self.lines]);
        logs.flat_map(|log| log.all()).filter(|line| line.contains(part)).collect()
    }

    /// Waits for the next log line that matches, and moves the read position behind it.
    ///
    /// # Panics
    /// Panics with the last log lines after [`crate::PATIENCE`].
    pub fn next_line(&self, matches: impl Fn(&str) -> bool) -> String {
        let found = self.lines.find(|lines| {
            let from = self.read_position.load(Ordering::Relaxed);
            let at = lines.iter().skip(from).position(|line| matches(line));
            self.read_position.store(at.map_or(lines.len(), |at| from + at + 1), Ordering::Relaxed);
            at.map(|at| lines[from + at].clone())
        });
        found.unwrap_or_else(|| {
            let last =
                self.lines.with_entries(|lines| lines[lines.len().saturating_sub(LINES_SHOWN)..].join("\n"));
            panic!("process {}: no such line within {:?}; the last:\n{last}", self.id(), crate::PATIENCE)
        })
    }
    /// Waits for the next log line that contains `part`.
    pub fn next_line_with(&self, part: &str) -> String {
        self.next_line(|line| line.contains(part))
    }
    /// Waits for the next log line that contains `part`, and returns the address at its end.
    ///
    /// # Panics
    /// Panics if the line does not end with an address.
    pub fn next_address(&self, part: &str) -> SocketAddr {
        parse_address(&self.next_line_with(part))
    }
    /// Waits until any log line matches, already read or not. Does not move the read position.
    ///
    /// # Panics
    /// Panics after [`crate::PATIENCE`].
    pub fn find_line(&self, matches: impl Fn(&str) -> bool) -> String {
        let what = format!("a line of process {}", self.id());
        self.lines.wait(&what, |lines| lines.iter().find(|line| matches(line)).cloned())
    }
    /// Waits until any log line contains `part`. Does not move the read position.
    pub fn find_line_with(&self, part: &str) -> String {
        self.find_line(|line| line.contains(part))
    }
    /// Waits until any log line contains `part`, and returns the address at its end.
    pub fn find_address(&self, part: &str) -> SocketAddr {
        parse_address(&self.find_line_with(part))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // The id of a reaped process may belong to another process by now.
        if self.reaped.is_some() {
            return Err(io::ErrorKind::NotFound.into());
        }
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
    /// Sends SIGTERM.
    ///
    /// # Errors
    /// This and the following methods return an error if the process was reaped.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }
    /// Sends SIGSTOP.
    #[allow(clippy::missing_errors_doc)]
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }
    /// Sends SIGCONT.
    #[allow(clippy::missing_errors_doc)]
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }
    /// Writes a new configuration file and sends SIGHUP.
    #[allow(clippy::missing_errors_doc)]
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        fs::write(self.folder.join("config.json"), config.to_string())?;
        self.signal(Signal::HUP)
    }
    /// Sends SIGKILL and reaps the process.
    #[allow(clippy::missing_errors_doc)]
    pub fn kill(&mut self) -> io::Result<()> {
        if self.reaped.is_none() {
            self.child.kill()?;
            self.reaped = Some(self.child.wait()?);
        }
        Ok(())
    }
    /// Returns whether the process has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.reaped.is_some() || self.ended.count() > 0
    }
    /// Waits for the end of the process.
    ///
    /// # Errors
    /// Returns the system's error if the exit status is not available.
    ///
    /// # Panics
    /// Panics after [`crate::PATIENCE`].
    pub fn wait_end(&mut self) -> io::Result<ExitStatus> {
        if let Some(status) = self.reaped {
            return Ok(status);
        }
        self.ended.wait("the end of a process", |ended| ended.first().copied());
        let status = self.child.wait()?;
        self.reaped = Some(status);
        Ok(status)
    }

    /// Starts the program again with a configuration, killing the old process if it still runs.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be written or the program not started.
    pub fn restart(&mut self, disk: Disk, config: &Value) -> io::Result<()> {
        self.kill()?;
        if disk == Disk::Empty {
            folder::create_empty(&self.disk())?;
        }
        fs::write(self.folder.join("config.json"), config.to_string())?;
        let Spawned { child, lines, ended } = spawn(&self.handle, &self.launch, &self.folder)?;
        self.former_lines.push(std::mem::replace(&mut self.lines, lines));
        (self.child, self.ended) = (child, ended);
        (self.reaped, self.read_position) = (None, AtomicUsize::new(0));
        Ok(())
    }
    /// Saves a copy of the disk under a name.
    ///
    /// # Errors
    /// Returns the system's error if the disk cannot be copied.
    pub fn save_disk_copy(&self, name: &str) -> io::Result<()> {
        folder::replace_with_copy(&self.disk(), &self.folder.join(format!("copy-{name}")))
    }
    /// Replaces the disk of a process that is not running by a saved copy.
    ///
    /// # Errors
    /// Returns an error if the process is running or there is no such copy.
    pub fn restore_disk_copy(&self, name: &str) -> io::Result<()> {
        if self.reaped.is_none() {
            return Err(io::Error::other("its process is running"));
        }
        folder::replace_with_copy(&self.folder.join(format!("copy-{name}")), &self.disk())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn parse_address(line: &str) -> SocketAddr {
    let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
    address.unwrap_or_else(|| panic!("no address in {line:?}"))
}

/// A started process with the logs that its output fills.
struct Spawned {
    child: Child,
    lines: EventLog<String>,
    ended: EventLog<()>,
}

fn spawn(handle: &Handle, launch: &Launch, folder: &Path) -> io::Result<Spawned> {
    let mut child = Command::new(&launch.program)
        .arg("serve")
        .arg("--config")
        .arg(folder.join("config.json"))
        .args(&launch.args)
        .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| DEFAULT_LOG_LEVEL.into()))
        .env("TMPDIR", folder.join("disk"))
        .env("SPINDLEBEAM_CLOCK_OFFSET_MS", launch.clock_offset_ms.to_string())
        .envs(launch.variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    let pipe = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let _entered = handle.enter();
    let mut text = BufReader::new(pipe::Receiver::from_owned_fd(OwnedFd::from(pipe))?).lines();
    let (lines, ended) = (EventLog::default(), EventLog::default());
    let (line_log, end_log) = (lines.clone(), ended.clone());
    handle.spawn(async move {
        while let Ok(Some(line)) = text.next_line().await {
            line_log.push(line);
        }
        end_log.push(());
    });
    Ok(Spawned { child, lines, ended })
}
