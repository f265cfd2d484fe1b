//! A balancer as a process: started, signalled, restarted with the disk it had, an old one or none; killed on drop.

use crate::folder;
use crate::journal::Journal;
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

/// Lines of the log that a failed wait shows.
const LINES_SHOWN: usize = 20;

/// What programs log unless `RUST_LOG` is set: a run that is traced sets `debug`.
const DEFAULT_LOG_LEVEL: &str = "info";

/// How the program is started.
#[derive(Debug, Clone, Default)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Arguments behind `serve --config FILE`.
    pub args: Vec<String>,
    /// Variables of its environment, beside those of ours.
    pub variables: Vec<(String, String)>,
    /// What its clock is off by: `SPINDLEBEAM_CLOCK_OFFSET_MS`.
    pub clock_offset_ms: i64,
}

/// What a restarted process finds on its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// What the one before has left.
    Kept,
    /// Nothing.
    Empty,
}

/// One process, and those that came before it in its place.
#[derive(Debug)]
pub struct Process {
    handle: Handle,
    launch: Launch,
    folder: PathBuf,
    child: Child,
    reaped: Option<ExitStatus>,
    lines: Journal<String>,
    /// The logs of those that came before it, the oldest first.
    former_lines: Vec<Journal<String>>,
    ended: Journal<()>,
    read: AtomicUsize,
}

impl Process {
    /// Starts the program with this configuration in a folder of its own.
    ///
    /// # Errors
    /// When the folder cannot be written or the program not started.
    pub fn start(handle: &Handle, launch: Launch, folder: &Path, config: &Value) -> io::Result<Self> {
        fs::create_dir_all(folder.join("disk"))?;
        fs::write(folder.join("config.json"), config.to_string())?;
        let (child, lines, ended) = spawn(handle, &launch, folder)?;
        let (handle, folder, read) = (handle.clone(), folder.to_owned(), AtomicUsize::new(0));
        let former_lines = Vec::new();
        Ok(Self { handle, launch, folder, child, reaped: None, lines, former_lines, ended, read })
    }

    /// How it is started; a change counts from the next restart.
    pub fn launch(&mut self) -> &mut Launch {
        &mut self.launch
    }
    /// Its disk.
    #[must_use]
    pub fn disk(&self) -> PathBuf {
        self.folder.join("disk")
    }
    /// Its number with the system.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
    /// Its log.
    #[must_use]
    pub fn log(&self) -> &Journal<String> {
        &self.lines
    }

    /// All lines of its log that have this part, those of the processes before it first.
    #[must_use]
    pub fn lines_with(&self, part: &str) -> Vec<String> {
        let logs = self.former_lines.iter().chain([&self.lines]);
        logs.flat_map(|log| log.all()).filter(|line| line.contains(part)).collect()
    }

    /// Waits for the next line of the log of which this is so; lines before it are passed over.
    ///
    /// # Panics
    /// When none comes within [`crate::PATIENCE`], with the last lines.
    pub fn wait_for(&self, so: impl Fn(&str) -> bool) -> String {
        let found = self.lines.find(|lines| {
            let from = self.read.load(Ordering::Relaxed);
            let at = lines.iter().skip(from).position(|line| so(line));
            self.read.store(at.map_or(lines.len(), |at| from + at + 1), Ordering::Relaxed);
            at.map(|at| lines[from + at].clone())
        });
        found.unwrap_or_else(|| {
            let last = self.lines.look(|lines| lines[lines.len().saturating_sub(LINES_SHOWN)..].join("\n"));
            panic!("process {}: no such line within {:?}; the last:\n{last}", self.id(), crate::PATIENCE)
        })
    }
    /// Waits for a line with this part.
    pub fn logged(&self, part: &str) -> String {
        self.wait_for(|line| line.contains(part))
    }
    /// Waits for a line with this part, and yields the address at its end.
    ///
    /// # Panics
    /// When there is none.
    pub fn logged_address(&self, part: &str) -> SocketAddr {
        address(&self.logged(part))
    }
    /// Waits until the process has said something of which this is so, now or before; no line is passed over by that.
    ///
    /// # Panics
    /// When it has not within [`crate::PATIENCE`].
    pub fn said_if(&self, so: impl Fn(&str) -> bool) -> String {
        let what = format!("a line of process {}", self.id());
        self.lines.wait(&what, |lines| lines.iter().find(|line| so(line)).cloned())
    }
    /// The same for a part of a line.
    pub fn said(&self, part: &str) -> String {
        self.said_if(|line| line.contains(part))
    }
    /// The same, and yields the address at its end.
    pub fn said_address(&self, part: &str) -> SocketAddr {
        address(&self.said(part))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // Guards others: the number of a process that was waited for may be another's by now.
        if self.reaped.is_some() {
            return Err(io::ErrorKind::NotFound.into());
        }
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
    /// SIGTERM.
    ///
    /// # Errors
    /// This and the following: when it has been waited for.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }
    /// SIGSTOP.
    #[allow(clippy::missing_errors_doc)]
    pub fn halt(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }
    /// SIGCONT.
    #[allow(clippy::missing_errors_doc)]
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }
    /// SIGHUP, with a new configuration in the file.
    #[allow(clippy::missing_errors_doc)]
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        fs::write(self.folder.join("config.json"), config.to_string())?;
        self.signal(Signal::HUP)
    }
    /// SIGKILL, and its end.
    #[allow(clippy::missing_errors_doc)]
    pub fn kill(&mut self) -> io::Result<()> {
        if self.reaped.is_none() {
            self.child.kill()?;
            self.reaped = Some(self.child.wait()?);
        }
        Ok(())
    }
    /// Whether it has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.reaped.is_some() || self.ended.count() > 0
    }
    /// Waits for its end.
    ///
    /// # Errors
    /// When the system does not say how it ended.
    ///
    /// # Panics
    /// When it goes on for [`crate::PATIENCE`].
    pub fn wait_end(&mut self) -> io::Result<ExitStatus> {
        if let Some(status) = self.reaped {
            return Ok(status);
        }
        self.ended.wait("the end of a process", |ended| ended.first().copied());
        let status = self.child.wait()?;
        self.reaped = Some(status);
        Ok(status)
    }

    /// Starts it again with this configuration, after SIGKILL where it still runs.
    ///
    /// # Errors
    /// When the folder cannot be written or the program not started.
    pub fn restart(&mut self, disk: Disk, config: &Value) -> io::Result<()> {
        self.kill()?;
        if disk == Disk::Empty {
            folder::empty(&self.disk())?;
        }
        fs::write(self.folder.join("config.json"), config.to_string())?;
        let (child, lines, ended) = spawn(&self.handle, &self.launch, &self.folder)?;
        self.former_lines.push(std::mem::replace(&mut self.lines, lines));
        (self.child, self.ended) = (child, ended);
        (self.reaped, self.read) = (None, AtomicUsize::new(0));
        Ok(())
    }
    /// Keeps a copy of its disk as it is now, under this name.
    ///
    /// # Errors
    /// When the disk cannot be copied.
    pub fn keep_copy(&self, name: &str) -> io::Result<()> {
        folder::copy(&self.disk(), &self.folder.join(format!("copy-{name}")))
    }
    /// Puts that copy in the place of its disk: for a process that is not running.
    ///
    /// # Errors
    /// When it is running, or there is no such copy.
    pub fn restore_copy(&self, name: &str) -> io::Result<()> {
        if self.reaped.is_none() {
            return Err(io::Error::other("its process is running"));
        }
        folder::copy(&self.folder.join(format!("copy-{name}")), &self.disk())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn address(line: &str) -> SocketAddr {
    let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
    address.unwrap_or_else(|| panic!("no address in {line:?}"))
}

/// The addresses on which a process takes datagrams, as the system tells: for one that does not say itself.
#[must_use]
pub fn udp_addresses(process: u32) -> Vec<SocketAddr> {
    let folder = PathBuf::from(format!("/proc/{process}"));
    let open = fs::read_dir(folder.join("fd")).into_iter().flatten().flatten();
    let links = open.filter_map(|entry| fs::read_link(entry.path()).ok());
    let sockets: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
    let table = fs::read_to_string(folder.join("net/udp")).unwrap_or_default();
    let ours = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (addr, inode) = (words.get(1)?.split_once(':')?, words.get(9)?);
        let host = u32::from_str_radix(addr.0, 16).ok()?.to_ne_bytes();
        let port = u16::from_str_radix(addr.1, 16).ok()?;
        sockets.contains(&format!("socket:[{inode}]")).then(|| SocketAddr::from((host, port)))
    };
    table.lines().filter_map(ours).collect()
}

/// Descriptors that a process has open.
#[must_use]
pub fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Memory that a process has now, in KB, and processor time that it has had, in microseconds.
#[must_use]
pub fn uses(process: u32) -> Option<(u64, u64)> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let times = fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let busy: u64 = times.split(' ').next()?.parse().ok()?;
    Some((resident.trim().trim_end_matches(" kB").parse().ok()?, busy / 1_000))
}

fn spawn(
    handle: &Handle, launch: &Launch, folder: &Path,
) -> io::Result<(Child, Journal<String>, Journal<()>)> {
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
    let (lines, ended) = (Journal::default(), Journal::default());
    let (heard, end) = (lines.clone(), ended.clone());
    handle.spawn(async move {
        while let Ok(Some(line)) = text.next_line().await {
            heard.push(line);
        }
        end.push(());
    });
    Ok((child, lines, ended))
}
