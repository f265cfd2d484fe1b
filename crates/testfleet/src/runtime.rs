//! The single-threaded runtime of all stand-ins and relays.

use crate::event_log::EventLog;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// The accept backlog of a listener: more connections than all balancers open at once.
const BACKLOG: u32 = 1024;

/// The timer interval of the stall monitor.
const MONITOR_INTERVAL: Duration = Duration::from_millis(5);
/// The minimum delay of the stall monitor's timer that counts as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// A period in which the event loop was stalled. Events at the stand-ins during a stall are recorded
/// with the time of its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stall {
    /// The start of the stall.
    pub from: Instant,
    /// The end of the stall.
    pub until: Instant,
}

/// The runtime of the stand-ins and relays. Its tasks end when it is dropped.
#[derive(Debug)]
pub struct Runtime {
    handle: Handle,
    stalls: EventLog<Stall>,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts the runtime on its own thread.
    ///
    /// # Errors
    /// Returns the system's error if no thread or poller is available.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (shutdown, shut_down) = oneshot::channel();
        let thread = thread::Builder::new().name("testfleet".into()).spawn(move || {
            let _ = runtime.block_on(shut_down);
            runtime.shutdown_background();
        })?;
        let stalls = EventLog::default();
        handle.spawn(monitor_stalls(stalls.clone()));
        Ok(Self { handle, stalls, shutdown: Some(shutdown), thread: Some(thread) })
    }

    /// Returns the handle to spawn tasks on.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the log of event-loop stalls.
    #[must_use]
    pub fn stalls(&self) -> &EventLog<Stall> {
        &self.stalls
    }

    /// Spawns a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }
}

/// Records each delay of a periodic timer as a stall of the event loop.
async fn monitor_stalls(stalls: EventLog<Stall>) {
    loop {
        let from = Instant::now();
        tokio::time::sleep(MONITOR_INTERVAL).await;
        let until = Instant::now();
        if until - from >= MONITOR_INTERVAL + STALL_THRESHOLD {
            stalls.push(Stall { from, until });
        }
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        let _ = self.shutdown.take().map(|shutdown| shutdown.send(()));
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Returns the loopback address with port 0, for which the system picks a free port.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Listens on an address, with `SO_REUSEADDR` so that the address can be bound again after the listener is closed.
///
/// # Errors
/// Returns the system's error if the address is in use.
pub fn listen(handle: &Handle, at: SocketAddr) -> io::Result<TcpListener> {
    let _entered = handle.enter();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
