//! A TCP relay to one target address that can buffer or delay data, and reset or refuse connections.

use super::callers::{Caller, Callers};
use super::faults::Faults;
use crate::runtime::{any_port, listen};
use bytes::{Bytes, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

/// The maximum number of queued chunks of one direction of a connection. Reading pauses while the queue is full.
const MAX_QUEUED_CHUNKS: usize = 64;
/// The buffer space reserved for reading a chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// The target and the faults of a link.
#[derive(Debug, Clone, Copy)]
struct State {
    target: SocketAddr,
    refused: bool,
    resets: u64,
    to: Faults,
    back: Faults,
}

/// The number of connections of a link, and the bytes relayed to the target and back.
#[derive(Debug, Default)]
struct Counts {
    connections: AtomicU64,
    to: AtomicU64,
    back: AtomicU64,
}

/// A handle to a relayed link. Dropping it stops the relay and closes its connections.
#[derive(Debug)]
pub struct TcpLink {
    addr: SocketAddr,
    state: watch::Sender<State>,
    counts: Arc<Counts>,
}

/// The state shared by the connections of a link.
#[derive(Debug, Clone)]
struct Link {
    state: watch::Receiver<State>,
    counts: Arc<Counts>,
    callers: Option<(Callers, usize)>,
}

impl TcpLink {
    /// Starts a relay to a target address. With `callers`, each connection is registered for the balancer with that
    /// number.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub fn start(
        handle: &Handle, target: SocketAddr, callers: Option<(Callers, usize)>, seed: u64,
    ) -> io::Result<Self> {
        // This socket is bound but does not listen: it reserves the port while connections are refused.
        let guard = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        guard.set_reuse_address(true)?;
        guard.bind(&any_port().into())?;
        let addr = guard.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = listen(handle, addr)?;
        let (to, back) = (Faults::default(), Faults::default());
        let (state, follows) = watch::channel(State { target, refused: false, resets: 0, to, back });
        let counts = Arc::new(Counts::default());
        let link = Link { state: follows, counts: Arc::clone(&counts), callers };
        let again = handle.clone();
        handle.spawn(async move {
            let mut listener = listener;
            let rng = fastrand::Rng::with_seed(seed);
            while accept_on(listener, link.clone(), rng.clone()).await {
                let mut state = link.state.clone();
                if state.wait_for(|state| !state.refused).await.is_err() {
                    break;
                }
                match listen(&again, addr) {
                    Ok(listens) => listener = listens,
                    Err(_) => break,
                }
            }
            drop(guard);
        });
        Ok(Self { addr, state, counts })
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// Changes the target of new connections. Open connections keep their target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }
    /// Changes the faults of both directions. Data is buffered while a direction is stalled or cut, and discarded if
    /// its sender disconnects in the meantime.
    pub fn set_faults(&self, to: Faults, back: Faults) {
        self.state.send_modify(|state| (state.to, state.back) = (to, back));
    }
    /// Partitions the link: no data passes, and new connections are accepted by the relay but do not reach the target.
    pub fn cut(&self) {
        let faults = Faults { cut: true, ..Faults::default() };
        self.set_faults(faults, faults);
    }
    /// Refuses new connections until [`TcpLink::heal`]. Open connections continue.
    pub fn refuse(&self) {
        self.state.send_modify(|state| state.refused = true);
    }
    /// Resets every open connection.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
    /// Removes all faults.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.refused = false);
        self.set_faults(Faults::default(), Faults::default());
    }
    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }
    /// Returns the number of bytes relayed to the target and the number relayed back.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        (self.counts.to.load(Ordering::Relaxed), self.counts.back.load(Ordering::Relaxed))
    }
}

/// Accepts connections until they are to be refused. Returns `false` if the link was dropped.
async fn accept_on(listener: TcpListener, link: Link, mut rng: fastrand::Rng) -> bool {
    let mut state = link.state.clone();
    loop {
        tokio::select! {
            ended = state.wait_for(|state| state.refused) => return ended.is_ok(),
            Ok((stream, _)) = listener.accept() => {
                link.counts.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(connection(stream, link.clone(), rng.fork()));
            }
        }
    }
}

/// Relays a connection until it ends, is reset, or the link is dropped.
async fn connection(near: TcpStream, link: Link, rng: fastrand::Rng) {
    let mut state = link.state.clone();
    let resets = state.borrow().resets;
    tokio::select! {
        // The relay closes the connection without a reset only if both sides have shut it down.
        _ = relay_connection(near, link, rng) => {}
        _ = state.wait_for(|state| state.resets != resets) => {}
    }
}

/// The write half of a stream. Dropping it resets the connection, where [`OwnedWriteHalf`] would shut it down cleanly.
struct Writer(Option<OwnedWriteHalf>);

impl Writer {
    fn io(&mut self) -> io::Result<&mut OwnedWriteHalf> {
        self.0.as_mut().ok_or_else(|| io::ErrorKind::BrokenPipe.into())
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let _ = self.0.take().map(OwnedWriteHalf::forget);
    }
}

fn split(stream: TcpStream) -> io::Result<(OwnedReadHalf, Writer)> {
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    let (reader, writer) = stream.into_split();
    Ok((reader, Writer(Some(writer))))
}

async fn relay_connection(near: TcpStream, link: Link, mut rng: fastrand::Rng) -> io::Result<()> {
    near.set_zero_linger()?;
    let mut state = link.state.clone();
    // Data written while the link is cut stays unread in the socket buffer. Its write time is the time at which the
    // socket became readable.
    let mut came = None;
    let target = loop {
        tokio::select! {
            biased;
            ready = state.wait_for(|state| !state.to.cut && !state.back.cut) => {
                break ready.map_err(|_| io::ErrorKind::BrokenPipe)?.target;
            }
            readable = near.readable(), if came.is_none() => {
                readable?;
                came = Some(Instant::now());
            }
        }
    };
    let socket = TcpSocket::new_v4()?;
    socket.bind(any_port())?; // before connecting, so that the connection is registered when the target accepts it
    let wrote = Arc::new(Mutex::new(Instant::now()));
    let _registration = match &link.callers {
        Some((callers, balancer)) => {
            let caller = Caller { balancer: *balancer, wrote: Arc::clone(&wrote) };
            Some(callers.register(socket.local_addr()?, caller))
        }
        None => None,
    };
    let far = socket.connect(target).await?;
    let ((near_read, near_write), (far_read, far_write)) = (split(near)?, split(far)?);
    let to = StreamDirection { link: &link, pick: |state| state.to, count: &link.counts.to, rng: rng.fork() };
    let back = StreamDirection { link: &link, pick: |state| state.back, count: &link.counts.back, rng };
    let there = to.copy(near_read, far_write, Some((&wrote, came)));
    let (there, back) = tokio::try_join!(there, back.copy(far_read, near_write, None))?;
    for stream in [there.0.as_ref(), back.0.as_ref()] {
        // Both sides have shut down: closing must still deliver unsent data.
        socket2::SockRef::from(stream).set_linger(None)?;
    }
    Ok(())
}

/// One direction of a relayed connection.
struct StreamDirection<'a> {
    link: &'a Link,
    pick: fn(&State) -> Faults,
    count: &'a AtomicU64,
    rng: fastrand::Rng,
}

impl StreamDirection<'_> {
    async fn copy(
        self, reader: OwnedReadHalf, writer: Writer, wrote: Option<(&Mutex<Instant>, Option<Instant>)>,
    ) -> io::Result<(OwnedReadHalf, Writer)> {
        let (chunks, taken) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let (over, ended) = watch::channel(false);
        let (state, pick, count) = (self.link.state.clone(), self.pick, self.count);
        let reads = self.read(reader, chunks, over, wrote);
        tokio::try_join!(reads, write(writer, taken, ended, state, pick, count))
    }

    async fn read(
        mut self, mut reader: OwnedReadHalf, chunks: mpsc::Sender<(Instant, Bytes)>,
        over: watch::Sender<bool>, mut wrote: Option<(&Mutex<Instant>, Option<Instant>)>,
    ) -> io::Result<OwnedReadHalf> {
        let mut buffer = BytesMut::new();
        let mut last = Instant::now();
        loop {
            buffer.reserve(CHUNK_BYTES);
            let n = reader.read_buf(&mut buffer).await.unwrap_or_default();
            if n == 0 {
                over.send_replace(true);
                drop(chunks);
                return Ok(reader);
            }
            let now = Instant::now();
            if let Some((wrote, came)) = &mut wrote {
                *wrote.lock().unwrap_or_else(PoisonError::into_inner) = came.take().unwrap_or(now);
            }
            let faults = (self.pick)(&self.link.state.borrow());
            last = last.max(now + faults.delay + faults.jitter.mul_f64(self.rng.f64()));
            if chunks.send((last, buffer.split().freeze())).await.is_err() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
    }
}

/// Writes queued chunks when they are due, and holds them while the direction is stalled or cut.
async fn write(
    mut writer: Writer, mut chunks: mpsc::Receiver<(Instant, Bytes)>, mut ended: watch::Receiver<bool>,
    mut state: watch::Receiver<State>, pick: fn(&State) -> Faults, count: &AtomicU64,
) -> io::Result<Writer> {
    while let Some((due, chunk)) = chunks.recv().await {
        if due > Instant::now() {
            sleep_until(due.into()).await;
        }
        let held = |state: &State| pick(state).stalled || pick(state).cut;
        if held(&state.borrow_and_update()) {
            tokio::select! {
                free = state.wait_for(|state| !held(state)) => { free.map_err(|_| io::ErrorKind::BrokenPipe)?; }
                // The sender has disconnected: its data must not arrive after the fault ends.
                _ = ended.wait_for(|ended| *ended) => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        writer.io()?.write_all(&chunk).await?;
        count.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    writer.io()?.shutdown().await?;
    Ok(writer)
}
