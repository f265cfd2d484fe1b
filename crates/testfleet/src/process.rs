//! A balancer process: its start, signals and log lines, and restarts with a kept, restored or empty disk.

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

/// The number of last log lines printed when a wait fails.
const LINES_SHOWN: usize = 20;

/// The log level of processes if `RUST_LOG` is not set.
const DEFAULT_LOG_LEVEL: &str = "info";

/// The program, arguments and environment with which a process is started.
#[derive(Debug, Clone, Default)]
pub struct Launch {
    /// The path of the program.
    pub program: PathBuf,
    /// The arguments after `serve --config FILE`.
    pub args: Vec<String>,
    /// Additional environment variables.
    pub variables: Vec<(String, String)>,
    /// The offset of the process's clock, passed as `SPINDLEBEAM_CLOCK_OFFSET_MS`.
    pub clock_offset_ms: i64,
}

/// The disk of a restarted process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// The files of the previous process are kept.
    Kept,
    /// The disk is emptied.
    Empty,
}

/// A process and the logs of its predecessors. The process is killed on drop.
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
    /// Starts the program with a configuration; `folder` holds the files of the process.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be written or the program cannot be started.
    pub fn start(handle: &Handle, launch: Launch, folder: &Path, config: &Value) -> io::Result<Self> {
        fs::create_dir_all(folder.join("disk"))?;
        fs::write(folder.join("config.json"), config.to_string())?;
        let Spawned { child, lines, ended } = spawn(handle, &launch, folder)?;
        let (handle, folder, read_position) = (handle.clone(), folder.to_owned(), AtomicUsize::new(0));
        let former_lines = Vec::new();
        Ok(Self { handle, launch, folder, child, reaped: None, lines, former_lines, ended, read_position })
    }

    /// Returns the launch options. Changes take effect at the next restart.
    pub fn launch(&mut self) -> &mut Launch {
        &mut self.launch
    }
    /// Returns the folder that serves as the disk of the process.
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

    /// Waits for the next log line that matches, and moves the read position to the line after it.
    ///
    /// # Panics
    /// Panics with the last log lines after [`crate::WAIT_TIMEOUT`].
    pub fn next_line(&self, matches: impl Fn(&str) -> bool) -> String {
        let found = self.lines.find(|lines| {
            let from = self.read_position.load(Ordering::Relaxed);
            let offset = lines.iter().skip(from).position(|line| matches(line));
            self.read_position
                .store(offset.map_or(lines.len(), |offset| from + offset + 1), Ordering::Relaxed);
            offset.map(|offset| lines[from + offset].clone())
        });
        found.unwrap_or_else(|| {
            let last =
                self.lines.with_entries(|lines| lines[lines.len().saturating_sub(LINES_SHOWN)..].join("\n"));
            panic!(
                "process {}: no matching log line within {:?}; the last log lines:\n{last}",
                self.id(),
                crate::WAIT_TIMEOUT
            )
        })
    }
    /// Waits for the next log line that contains `part`, and moves the read position to the line after it.
    ///
    /// # Panics
    /// Panics with the last log lines after [`crate::WAIT_TIMEOUT`].
    pub fn next_line_with(&self, part: &str) -> String {
        self.next_line(|line| line.contains(part))
    }
    /// Waits for the next log line that contains `part`, and returns the address at its end.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`], or if the line does not end with an address.
    pub fn next_address(&self, part: &str) -> SocketAddr {
        parse_address(&self.next_line_with(part))
    }
    /// Waits until any log line matches, also one before the read position, and does not move the read position.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn find_line(&self, matches: impl Fn(&str) -> bool) -> String {
        let what = format!("a matching log line of process {}", self.id());
        self.lines.wait(&what, |lines| lines.iter().find(|line| matches(line)).cloned())
    }
    /// Waits until any log line contains `part`, also one before the read position, and does not move the read
    /// position.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn find_line_with(&self, part: &str) -> String {
        self.find_line(|line| line.contains(part))
    }
    /// Waits until any log line contains `part`, and returns the address at its end.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`], or if the line does not end with an address.
    pub fn find_address(&self, part: &str) -> SocketAddr {
        parse_address(&self.find_line_with(part))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // The id of a reaped process may belong to another process by now.
        if self.reaped.is_some() {
            let ended =
                format!("cannot send {signal:?} to process {}: it has ended and was reaped", self.id());
            return Err(io::Error::new(io::ErrorKind::NotFound, ended));
        }
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
    /// Sends SIGTERM.
    ///
    /// # Errors
    /// Returns an error if the process was reaped or the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }
    /// Sends SIGSTOP.
    ///
    /// # Errors
    /// Returns an error if the process was reaped or the signal cannot be sent.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }
    /// Sends SIGCONT.
    ///
    /// # Errors
    /// Returns an error if the process was reaped or the signal cannot be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }
    /// Writes a new configuration file and sends SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written, the process was reaped or the signal cannot be sent.
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        fs::write(self.folder.join("config.json"), config.to_string())?;
        self.signal(Signal::HUP)
    }
    /// Sends SIGKILL and reaps the process. Does nothing if it was reaped before.
    ///
    /// # Errors
    /// Returns the system's error if the process cannot be killed or reaped.
    pub fn kill(&mut self) -> io::Result<()> {
        if self.reaped.is_none() {
            self.child.kill()?;
            self.reaped = Some(self.child.wait()?);
        }
        Ok(())
    }
    /// Returns whether the process was reaped or has closed its log.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.reaped.is_some() || self.ended.count() > 0
    }
    /// Waits for the end of the process and reaps it.
    ///
    /// # Errors
    /// Returns the system's error if the exit status is not available.
    ///
    /// # Panics
    /// Panics after [`crate::WAIT_TIMEOUT`].
    pub fn wait_end(&mut self) -> io::Result<ExitStatus> {
        if let Some(status) = self.reaped {
            return Ok(status);
        }
        self.ended.wait(&format!("the end of process {}", self.id()), |ended| ended.first().copied());
        let status = self.child.wait()?;
        self.reaped = Some(status);
        Ok(status)
    }

    /// Kills the process if it is running, and starts the program again with a configuration.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be written or the program cannot be started.
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
    /// Saves a copy of the disk under a name, replacing an earlier copy of that name.
    ///
    /// # Errors
    /// Returns the system's error if the disk cannot be copied.
    pub fn save_disk_copy(&self, name: &str) -> io::Result<()> {
        folder::replace_with_copy(&self.disk(), &self.folder.join(format!("copy-{name}")))
    }
    /// Replaces the disk of a killed or reaped process by a saved copy.
    ///
    /// # Errors
    /// Returns an error if the process was not killed or reaped before, or there is no copy of that name.
    pub fn restore_disk_copy(&self, name: &str) -> io::Result<()> {
        if self.reaped.is_none() {
            return Err(io::Error::other(format!(
                "cannot restore the disk copy {name:?}: process {} is running",
                self.id()
            )));
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
    address.unwrap_or_else(|| panic!("log line does not end with an address: {line:?}"))
}

/// A started process with the logs of its output and of its end.
struct Spawned {
    child: Child,
    lines: EventLog<String>,
    /// Has an entry once the process has closed its log.
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
    let mut output = BufReader::new(pipe::Receiver::from_owned_fd(OwnedFd::from(pipe))?).lines();
    let (lines, ended) = (EventLog::default(), EventLog::default());
    let (line_log, end_log) = (lines.clone(), ended.clone());
    handle.spawn(async move {
        while let Ok(Some(line)) = output.next_line().await {
            line_log.push(line);
        }
        end_log.push(());
    });
    Ok(Spawned { child, lines, ended })
}
