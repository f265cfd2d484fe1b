//! A relay for the streams to one address: holds, delays, resets or refuses them.

use super::faults::Faults;
use crate::ground::{any_port, listen};
use bytes::{Bytes, BytesMut};
use rustc_hash::FxHashMap;
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

/// Pieces of one direction of a stream that are under way; its sender waits beyond that.
const MOST_PIECES: usize = 64;
/// Bytes of a piece.
const PIECE: usize = 16 * 1024;

/// Who is at the other end of a relayed connection, and when it last wrote.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The balancer that called.
    pub balancer: usize,
    wrote: Arc<Mutex<Instant>>,
}

impl Caller {
    /// When the relay last read something from it: however long the relay has held that.
    #[must_use]
    pub fn wrote(&self) -> Instant {
        *self.wrote.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The callers behind the addresses that relays call from: by this a host tells balancers apart.
#[derive(Debug, Clone, Default)]
pub struct Callers(Arc<Mutex<FxHashMap<SocketAddr, Caller>>>);

impl Callers {
    /// Who calls from there.
    #[must_use]
    pub fn of(&self, addr: SocketAddr) -> Option<Caller> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&addr).cloned()
    }
    fn enter(&self, addr: SocketAddr, caller: Caller) -> Entered {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(addr, caller);
        Entered(self.clone(), addr)
    }
}

struct Entered(Callers, SocketAddr);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
    }
}

#[derive(Debug, Clone, Copy)]
struct State {
    target: SocketAddr,
    refused: bool,
    resets: u64,
    to: Faults,
    back: Faults,
}

#[derive(Debug, Default)]
struct Counts {
    connections: AtomicU64,
    to: AtomicU64,
    back: AtomicU64,
}

/// The link. Its streams end with it.
#[derive(Debug)]
pub struct TcpLink {
    addr: SocketAddr,
    state: watch::Sender<State>,
    counts: Arc<Counts>,
}

/// What every connection of a link knows.
#[derive(Debug, Clone)]
struct Link {
    state: watch::Receiver<State>,
    counts: Arc<Counts>,
    callers: Option<(Callers, usize)>,
}

impl TcpLink {
    /// To this address. With callers, each connection is entered as one of that balancer.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn start(
        handle: &Handle, target: SocketAddr, callers: Option<(Callers, usize)>, seed: u64,
    ) -> io::Result<Self> {
        // Bound as long as the link lives, and never listened on: the port stays ours while calls are refused.
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

    /// Where to call.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// New connections go there from now on.
    pub fn aim(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }
    /// What goes wrong on the way there, and back. Bytes are held while a way is stalled or cut; that a caller has gone
    /// passes even so, and then what was held never arrives.
    pub fn set(&self, to: Faults, back: Faults) {
        self.state.send_modify(|state| (state.to, state.back) = (to, back));
    }
    /// Both ways silent: nothing passes, and new connections get no further than the relay.
    pub fn cut(&self) {
        let faults = Faults { cut: true, ..Faults::default() };
        self.set(faults, faults);
    }
    /// Calls are refused, as where nobody listens, until [`TcpLink::heal`]; connections that are open go on.
    pub fn refuse(&self) {
        self.state.send_modify(|state| state.refused = true);
    }
    /// Ends every open connection with a reset.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
    /// Ends all faults.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.refused = false);
        self.set(Faults::default(), Faults::default());
    }
    /// Connections so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }
    /// Bytes that have gone there, and back.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        (self.counts.to.load(Ordering::Relaxed), self.counts.back.load(Ordering::Relaxed))
    }
}

/// Accepts until calls are to be refused; no when the link is gone.
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

async fn connection(near: TcpStream, link: Link, rng: fastrand::Rng) {
    let mut state = link.state.clone();
    let resets = state.borrow().resets;
    tokio::select! {
        // What is left of an ended connection goes without a reset only where both sides have ended it.
        _ = relayed(near, link, rng) => {}
        _ = state.wait_for(|state| state.resets != resets) => {}
    }
}

/// The writing half of a stream that is reset where it is dropped before its time: the half by itself would end it well.
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

async fn relayed(near: TcpStream, link: Link, mut rng: fastrand::Rng) -> io::Result<()> {
    near.set_zero_linger()?;
    let mut state = link.state.clone();
    // What is written while the link is cut lies unread in our system: it was written when it came there.
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
    socket.bind(any_port())?; // before the call, so that who is called knows at once who calls
    let wrote = Arc::new(Mutex::new(Instant::now()));
    let _entered = match &link.callers {
        Some((callers, balancer)) => {
            let caller = Caller { balancer: *balancer, wrote: Arc::clone(&wrote) };
            Some(callers.enter(socket.local_addr()?, caller))
        }
        None => None,
    };
    let far = socket.connect(target).await?;
    let ((near_read, near_write), (far_read, far_write)) = (split(near)?, split(far)?);
    let to = Way { link: &link, pick: |state| state.to, count: &link.counts.to, rng: rng.fork() };
    let back = Way { link: &link, pick: |state| state.back, count: &link.counts.back, rng };
    let there = to.pass(near_read, far_write, Some((&wrote, came)));
    let (there, back) = tokio::try_join!(there, back.pass(far_read, near_write, None))?;
    for stream in [there.0.as_ref(), back.0.as_ref()] {
        // Both have ended it well: what one of them has not read yet must still reach it.
        socket2::SockRef::from(stream).set_linger(None)?;
    }
    Ok(())
}

/// One way of one connection.
struct Way<'a> {
    link: &'a Link,
    pick: fn(&State) -> Faults,
    count: &'a AtomicU64,
    rng: fastrand::Rng,
}

impl Way<'_> {
    async fn pass(
        self, reader: OwnedReadHalf, writer: Writer, wrote: Option<(&Mutex<Instant>, Option<Instant>)>,
    ) -> io::Result<(OwnedReadHalf, Writer)> {
        let (pieces, taken) = mpsc::channel(MOST_PIECES);
        let (over, ended) = watch::channel(false);
        let (state, pick, count) = (self.link.state.clone(), self.pick, self.count);
        let reads = self.read(reader, pieces, over, wrote);
        tokio::try_join!(reads, write(writer, taken, ended, state, pick, count))
    }

    async fn read(
        mut self, mut reader: OwnedReadHalf, pieces: mpsc::Sender<(Instant, Bytes)>,
        over: watch::Sender<bool>, mut wrote: Option<(&Mutex<Instant>, Option<Instant>)>,
    ) -> io::Result<OwnedReadHalf> {
        let mut buffer = BytesMut::new();
        let mut last = Instant::now();
        loop {
            buffer.reserve(PIECE);
            let n = reader.read_buf(&mut buffer).await.unwrap_or_default();
            if n == 0 {
                over.send_replace(true);
                drop(pieces);
                return Ok(reader);
            }
            let now = Instant::now();
            if let Some((wrote, came)) = &mut wrote {
                *wrote.lock().unwrap_or_else(PoisonError::into_inner) = came.take().unwrap_or(now);
            }
            let faults = (self.pick)(&self.link.state.borrow());
            last = last.max(now + faults.delay + faults.jitter.mul_f64(self.rng.f64()));
            if pieces.send((last, buffer.split().freeze())).await.is_err() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
    }
}

async fn write(
    mut writer: Writer, mut pieces: mpsc::Receiver<(Instant, Bytes)>, mut ended: watch::Receiver<bool>,
    mut state: watch::Receiver<State>, pick: fn(&State) -> Faults, count: &AtomicU64,
) -> io::Result<Writer> {
    while let Some((due, piece)) = pieces.recv().await {
        if due > Instant::now() {
            sleep_until(due.into()).await;
        }
        let held = |state: &State| pick(state).stalled || pick(state).cut;
        if held(&state.borrow_and_update()) {
            tokio::select! {
                free = state.wait_for(|state| !held(state)) => { free.map_err(|_| io::ErrorKind::BrokenPipe)?; }
                // It has given up: what it wrote must not arrive later, as a thing that it does now.
                _ = ended.wait_for(|ended| *ended) => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        writer.io()?.write_all(&piece).await?;
        count.fetch_add(piece.len() as u64, Ordering::Relaxed);
    }
    writer.io()?.shutdown().await?;
    Ok(writer)
}
