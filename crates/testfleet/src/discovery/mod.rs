//! The stand-in discovery agent. Each balancer has its own agent, so that its view of the endpoints can be changed,
//! delayed or silenced independently of the other balancers.

mod list;
mod state;

use crate::event_log::EventLog;
use crate::runtime::{any_port, listen};
pub use list::{ListEncoding, Member, Phase};
use serde_json::Value;
use state::State;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::timeout;

/// The interval of keep-alive lines on a watch without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum length of a request line, in bytes.
const MAX_LINE_BYTES: u64 = 4 * 1024;

/// The phase of a member that was written to a balancer, in a list or a watch event.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointNotification {
    /// The number of the balancer.
    pub balancer: usize,
    /// The name of the member.
    pub endpoint: String,
    /// The phase that was written.
    pub phase: Phase,
    /// When it was written.
    pub at: Instant,
}

/// A handle to the discovery agent of one balancer.
#[derive(Debug, Clone)]
pub struct DiscoveryAgent {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    balancer: usize,
    state: Mutex<State>,
    changed: watch::Sender<()>,
    requested_paths: EventLog<String>,
    notifications: EventLog<EndpointNotification>,
    /// The number of bytes of lists and changes written so far, without HTTP heads.
    list_bytes: AtomicU64,
}

impl DiscoveryAgent {
    /// Starts the agent of a balancer with an initial list, and records the phases that it writes in `notifications`.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub fn start(
        handle: &Handle, balancer: usize, members: Vec<Member>, notifications: EventLog<EndpointNotification>,
    ) -> io::Result<Self> {
        let state = State::new(members);
        let (state, changed, requested_paths) =
            (Mutex::new(state), watch::Sender::new(()), EventLog::default());
        let list_bytes = AtomicU64::new(0);
        let shared =
            Arc::new(Shared { balancer, state, changed, requested_paths, notifications, list_bytes });
        let addr = Self::spawn_listener(handle, &shared)?;
        Ok(Self { addr, shared })
    }

    fn spawn_listener(handle: &Handle, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
        let listener = listen(handle, any_port())?;
        let addr = listener.local_addr()?;
        handle.spawn(Arc::clone(shared).accept(listener));
        Ok(addr)
    }

    /// Listens on an additional address, to which the balancer can then be moved.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub fn add_listener(&self, handle: &Handle) -> io::Result<SocketAddr> {
        Self::spawn_listener(handle, &self.shared)
    }
    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// Returns the log of requested paths.
    #[must_use]
    pub fn requested_paths(&self) -> &EventLog<String> {
        &self.shared.requested_paths
    }
    /// Returns the number of bytes of lists and changes written so far, without HTTP heads.
    #[must_use]
    pub fn list_bytes(&self) -> u64 {
        self.shared.list_bytes.load(Ordering::Relaxed)
    }
    /// Returns the complete published list, for the configuration of a balancer that starts with a known list.
    #[must_use]
    pub fn list(&self) -> Value {
        self.shared.state().list()
    }
    /// Changes how lists are written.
    pub fn set_encoding(&self, encoding: ListEncoding) {
        self.shared.state().encoding = encoding;
    }
    /// Changes a member's phase.
    pub fn set_phase(&self, name: &str, phase: Phase) {
        self.set_phases(&[name], phase);
    }
    /// Changes the phase of several members at once: a balancer receives all changes in the same list or watch event.
    pub fn set_phases(&self, names: &[&str], phase: Phase) {
        let mut state = self.shared.state();
        for name in names {
            state.update(name, |member| member.phase = phase);
        }
        drop(state);
        self.shared.changed.send_replace(());
    }
    /// Applies an update to a member and publishes it as a change.
    pub fn update(&self, name: &str, update: impl FnOnce(&mut Member)) {
        self.shared.state().update(name, update);
        self.shared.changed.send_replace(());
    }
    /// Stops publishing changes until [`Self::resume_updates`] is called.
    pub fn pause_updates(&self) {
        let mut state = self.shared.state();
        let from = state.changes.len();
        state.paused_from.get_or_insert(from);
    }
    /// Publishes the changes made since [`Self::pause_updates`].
    pub fn resume_updates(&self) {
        self.shared.state().paused_from = None;
        self.shared.changed.send_replace(());
    }
    /// Resets the connections of the open watches.
    pub fn reset_watches(&self) {
        let mut state = self.shared.state();
        state.reset_below = state.watches;
        drop(state);
        self.shared.changed.send_replace(());
    }
    /// Stops writing to the open watches without closing them. Watches that are opened later are not affected.
    pub fn silence_watches(&self) {
        let mut state = self.shared.state();
        state.silent_below = state.watches;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn record_notifications(&self, members: &[Member]) {
        let at = Instant::now();
        for member in members {
            let (endpoint, phase) = (member.name.clone(), member.phase);
            self.notifications.push(EndpointNotification { balancer: self.balancer, endpoint, phase, at });
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let shared = Arc::clone(&self);
                // An error reports only that the connection ended.
                tokio::spawn(async move { drop(shared.answer(stream).await) });
            }
        }
    }

    /// Answers a request for the list, or serves a watch.
    async fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        (&mut reader).take(MAX_LINE_BYTES).read_line(&mut line).await?;
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let from = path.split_once("watch=1&from=").and_then(|(_, from)| from.parse::<usize>().ok());
        let mut stream = reader.into_inner();
        let Some(from) = from else {
            let (list, listed) = {
                let state = self.state();
                (state.encoding.encode(&state.list()), state.published_members())
            };
            self.requested_paths.push(path);
            self.list_bytes.fetch_add(list.len() as u64, Ordering::Relaxed);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all((head + &list).as_bytes()).await?;
            self.record_notifications(&listed);
            return Ok(());
        };
        self.watch(stream, path, from.saturating_sub(1)).await
    }

    /// Serves a watch from the change with index `next` on, until it is reset or the balancer disconnects.
    async fn watch(&self, mut stream: TcpStream, path: String, mut next: usize) -> io::Result<()> {
        let watch = {
            let mut state = self.state();
            state.watches += 1;
            state.watches - 1
        };
        let mut changed = self.changed.subscribe();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        self.requested_paths.push(path);
        loop {
            let Some(event) = self.state().next_event(watch, next) else { return stream.set_zero_linger() };
            if !event.silent {
                self.list_bytes.fetch_add(event.line.len() as u64, Ordering::Relaxed);
                let chunk = format!("{:x}\r\n{}\n\r\n", event.line.len() + 1, event.line);
                for piece in chunk.as_bytes().chunks(event.piece.unwrap_or(chunk.len())) {
                    stream.write_all(piece).await?;
                }
                self.record_notifications(&event.unsent);
                next = next.max(event.published);
            }
            let mut input = [0];
            tokio::select! {
                n = stream.read(&mut input) => if !n.is_ok_and(|n| n > 0) { return Ok(()) },
                _ = timeout(KEEP_ALIVE_INTERVAL, changed.changed()) => {}
            }
        }
    }
}
