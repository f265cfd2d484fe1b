//! The one runtime, on a thread of its own, that all stand-ins and relays live on.

use crate::journal::Journal;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// Connections that may wait to be accepted: more than all balancers open at once.
const BACKLOG: u32 = 1024;

/// How often it is looked whether the thread keeps up, and from what delay on it does not.
const LOOKED: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(10));

/// A time in which the thread of the stand-ins stood still: what they did and saw then is booked at its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lag {
    /// From when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// The runtime; what lives on it ends with it.
#[derive(Debug)]
pub struct Ground {
    handle: Handle,
    lags: Journal<Lag>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Ground {
    /// Starts it.
    ///
    /// # Errors
    /// When the system gives no thread or no poller.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel();
        let thread = thread::Builder::new().name("testfleet".into()).spawn(move || {
            let _ = runtime.block_on(ended);
            runtime.shutdown_background();
        })?;
        let lags = Journal::default();
        handle.spawn(look_for_lags(lags.clone()));
        Ok(Self { handle, lags, end: Some(end), thread: Some(thread) })
    }

    /// Where tasks are spawned.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// When the thread stood still.
    #[must_use]
    pub fn lags(&self) -> &Journal<Lag> {
        &self.lags
    }

    /// Leaves a task to the runtime.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }
}

async fn look_for_lags(lags: Journal<Lag>) {
    let (each, late) = LOOKED;
    loop {
        let from = Instant::now();
        tokio::time::sleep(each).await;
        let until = Instant::now();
        if until - from >= each + late {
            lags.push(Lag { from, until });
        }
    }
}

impl Drop for Ground {
    fn drop(&mut self) {
        let _ = self.end.take().map(|end| end.send(()));
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The loopback address with a port that the system picks.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Listens there; an address that was listened on before can be taken again.
///
/// # Errors
/// When the address is taken.
pub fn listen(handle: &Handle, at: SocketAddr) -> io::Result<TcpListener> {
    let _entered = handle.enter();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
