//! A TCP relay to one target address that can buffer or delay data, and reset or refuse connections.

use super::callers::{ConnectionRegistry, RelayedConnection};
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
    /// The number of resets so far. Connections accepted before the last one are reset.
    resets: u64,
    to_target: Faults,
    to_client: Faults,
}

/// The number of connections of a link, and the bytes relayed to the target and back.
#[derive(Debug, Default)]
struct Counts {
    connections: AtomicU64,
    to_target: AtomicU64,
    to_client: AtomicU64,
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
    registry: Option<(ConnectionRegistry, usize)>,
}

impl TcpLink {
    /// Starts a relay to a target address. With `registry`, each connection is registered for the balancer with that
    /// number.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub fn start(
        handle: &Handle, target: SocketAddr, registry: Option<(ConnectionRegistry, usize)>, seed: u64,
    ) -> io::Result<Self> {
        // This socket is bound but does not listen: it reserves the port while connections are refused.
        let port_reservation = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        port_reservation.set_reuse_address(true)?;
        port_reservation.bind(&any_port().into())?;
        let addr = port_reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = listen(handle, addr)?;
        let (to_target, to_client) = (Faults::default(), Faults::default());
        let (state, state_receiver) =
            watch::channel(State { target, refused: false, resets: 0, to_target, to_client });
        let counts = Arc::new(Counts::default());
        let link = Link { state: state_receiver, counts: Arc::clone(&counts), registry };
        let listener_handle = handle.clone();
        handle.spawn(async move {
            let mut listener = listener;
            let rng = fastrand::Rng::with_seed(seed);
            while accept_on(listener, link.clone(), rng.clone()).await {
                let mut state = link.state.clone();
                if state.wait_for(|state| !state.refused).await.is_err() {
                    break;
                }
                match listen(&listener_handle, addr) {
                    Ok(new_listener) => listener = new_listener,
                    Err(_) => break,
                }
            }
            drop(port_reservation);
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
    pub fn set_faults(&self, to_target: Faults, to_client: Faults) {
        self.state.send_modify(|state| (state.to_target, state.to_client) = (to_target, to_client));
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
        (self.counts.to_target.load(Ordering::Relaxed), self.counts.to_client.load(Ordering::Relaxed))
    }
}

/// Accepts connections until they are to be refused. Returns `false` if the link was dropped.
async fn accept_on(listener: TcpListener, link: Link, mut rng: fastrand::Rng) -> bool {
    let mut state = link.state.clone();
    loop {
        tokio::select! {
            refused = state.wait_for(|state| state.refused) => return refused.is_ok(),
            Ok((stream, _)) = listener.accept() => {
                link.counts.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve_connection(stream, link.clone(), rng.fork()));
            }
        }
    }
}

/// Relays a connection until it ends, is reset, or the link is dropped.
async fn serve_connection(client: TcpStream, link: Link, rng: fastrand::Rng) {
    let mut state = link.state.clone();
    let resets = state.borrow().resets;
    tokio::select! {
        // The relay closes the connection without a reset only if both sides have shut it down.
        _ = relay_connection(client, link, rng) => {}
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

/// Splits a stream into halves that reset the connection on drop.
fn split(stream: TcpStream) -> io::Result<(OwnedReadHalf, Writer)> {
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    let (reader, writer) = stream.into_split();
    Ok((reader, Writer(Some(writer))))
}

/// Connects to the target once the link is not cut, and relays both directions until both have ended.
async fn relay_connection(client: TcpStream, link: Link, mut rng: fastrand::Rng) -> io::Result<()> {
    client.set_zero_linger()?;
    let mut state = link.state.clone();
    // Data written while the link is cut stays unread in the socket buffer. Its write time is the time at which the
    // socket became readable.
    let mut readable_at = None;
    let target = loop {
        tokio::select! {
            biased;
            ready = state.wait_for(|state| !state.to_target.cut && !state.to_client.cut) => {
                break ready.map_err(|_| io::ErrorKind::BrokenPipe)?.target;
            }
            readable = client.readable(), if readable_at.is_none() => {
                readable?;
                readable_at = Some(Instant::now());
            }
        }
    };
    let socket = TcpSocket::new_v4()?;
    socket.bind(any_port())?; // before connecting, so that the connection is registered when the target accepts it
    let last_write = Arc::new(Mutex::new(Instant::now()));
    let _registration = match &link.registry {
        Some((registry, balancer)) => {
            let connection = RelayedConnection { balancer: *balancer, last_write: Arc::clone(&last_write) };
            Some(registry.register(socket.local_addr()?, connection))
        }
        None => None,
    };
    let target_stream = socket.connect(target).await?;
    let ((client_reader, client_writer), (target_reader, target_writer)) =
        (split(client)?, split(target_stream)?);
    let to_target = StreamDirection {
        link: &link,
        select_faults: |state| state.to_target,
        count: &link.counts.to_target,
        rng: rng.fork(),
    };
    let to_client = StreamDirection {
        link: &link,
        select_faults: |state| state.to_client,
        count: &link.counts.to_client,
        rng,
    };
    let from_client = to_target.relay(client_reader, target_writer, Some((&last_write, readable_at)));
    let (from_client, to_client) =
        tokio::try_join!(from_client, to_client.relay(target_reader, client_writer, None))?;
    for stream in [from_client.0.as_ref(), to_client.0.as_ref()] {
        // Both sides have shut down: closing must still deliver unsent data.
        socket2::SockRef::from(stream).set_linger(None)?;
    }
    Ok(())
}

/// One direction of a relayed connection.
struct StreamDirection<'a> {
    link: &'a Link,
    select_faults: fn(&State) -> Faults,
    count: &'a AtomicU64,
    rng: fastrand::Rng,
}

impl StreamDirection<'_> {
    /// Relays data from a reader to a writer until the reader ends. With `last_write`, see [`Self::read_chunks`].
    async fn relay(
        self, reader: OwnedReadHalf, writer: Writer, last_write: Option<(&Mutex<Instant>, Option<Instant>)>,
    ) -> io::Result<(OwnedReadHalf, Writer)> {
        let (chunks, queued) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let (end_sender, end_receiver) = watch::channel(false);
        let (state, select_faults, count) = (self.link.state.clone(), self.select_faults, self.count);
        let reading = self.read_chunks(reader, chunks, end_sender, last_write);
        tokio::try_join!(reading, write_chunks(writer, queued, end_receiver, state, select_faults, count))
    }

    /// Reads chunks and queues each with the time at which it is due. With `last_write`, stores in its first field the
    /// time at which each chunk was written: for the first chunk its second field, if set, and otherwise the time of
    /// reading.
    async fn read_chunks(
        mut self, mut reader: OwnedReadHalf, chunks: mpsc::Sender<(Instant, Bytes)>,
        end_sender: watch::Sender<bool>, mut last_write: Option<(&Mutex<Instant>, Option<Instant>)>,
    ) -> io::Result<OwnedReadHalf> {
        let mut buffer = BytesMut::new();
        let mut last_due = Instant::now();
        loop {
            buffer.reserve(CHUNK_BYTES);
            let n = reader.read_buf(&mut buffer).await.unwrap_or_default();
            if n == 0 {
                end_sender.send_replace(true);
                drop(chunks);
                return Ok(reader);
            }
            let now = Instant::now();
            if let Some((last_write, readable_at)) = &mut last_write {
                *last_write.lock().unwrap_or_else(PoisonError::into_inner) =
                    readable_at.take().unwrap_or(now);
            }
            let faults = (self.select_faults)(&self.link.state.borrow());
            last_due = last_due.max(now + faults.delay + faults.jitter.mul_f64(self.rng.f64()));
            if chunks.send((last_due, buffer.split().freeze())).await.is_err() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
    }
}

/// Writes queued chunks when they are due, and holds them while the direction is stalled or cut.
async fn write_chunks(
    mut writer: Writer, mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    mut end_receiver: watch::Receiver<bool>, mut state: watch::Receiver<State>,
    select_faults: fn(&State) -> Faults, count: &AtomicU64,
) -> io::Result<Writer> {
    while let Some((due, chunk)) = chunks.recv().await {
        if due > Instant::now() {
            sleep_until(due.into()).await;
        }
        let is_held = |state: &State| select_faults(state).stalled || select_faults(state).cut;
        if is_held(&state.borrow_and_update()) {
            tokio::select! {
                released = state.wait_for(|state| !is_held(state)) => {
                    released.map_err(|_| io::ErrorKind::BrokenPipe)?;
                }
                // The sender has disconnected: its data must not arrive after the fault ends.
                _ = end_receiver.wait_for(|ended| *ended) => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        writer.io()?.write_all(&chunk).await?;
        count.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    writer.io()?.shutdown().await?;
    Ok(writer)
}
