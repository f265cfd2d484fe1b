//! Cache hosts that speak RESP2 and record every command with who sent it, and when.

use crate::ground::{any_port, listen};
use crate::journal::Journal;
use crate::relay::{Caller, Callers};
use bytes::BytesMut;
use proto::resp::{Command, decode_command, encode_bulk};
use rustc_hash::FxHashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Most keys that a host holds; it then begins anew, cold.
pub const MOST_KEYS: usize = 1_000_000;

/// How a host behaves to what comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Manner {
    /// Answers.
    #[default]
    Serves,
    /// Turns away what is new (`-BUSY`), and answers what it has.
    Drains,
    /// Fails everything (`-ERR`).
    Fails,
    /// Answers with a value, whatever it holds.
    HoldsAll,
    /// Answers nothing.
    Hangs,
    /// Ends connections as soon as they come.
    Refuses,
}

/// How an attempt ended, as its host saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It was answered.
    Answered,
    /// Its connection ended first.
    Closed,
}

/// An attempt of a request at a host, or a run at the archive.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The host's name in discovery.
    pub host: String,
    /// The request's id.
    pub id: String,
    /// Its key.
    pub key: String,
    /// Its class.
    pub class: String,
    /// The time that it tells.
    pub time: Option<Duration>,
    /// The balancer that sent it; none where it came past the relays.
    pub balancer: Option<usize>,
    /// Number of the connection at this host.
    pub connection: u64,
    /// When the relay had it from the balancer.
    pub sent: Instant,
    /// When it came here.
    pub at: Instant,
    /// When and how it ended.
    pub ended: Option<(Instant, Ending)>,
}

/// The time that a request's options tell.
pub(crate) fn time_of(options: &str) -> Option<Duration> {
    let ms = options.split(',').find_map(|option| option.strip_prefix("d="))?;
    ms.parse().ok().map(Duration::from_millis)
}

/// The class that a request's options name.
pub(crate) fn class_of(options: &str) -> String {
    options.split(',').find_map(|option| option.strip_prefix("c=")).unwrap_or_default().to_owned()
}

#[derive(Debug)]
struct Shared {
    name: String,
    manner: watch::Sender<Manner>,
    takes: watch::Sender<Duration>,
    keys: Mutex<FxHashSet<String>>,
    connections: AtomicU64,
    callers: Callers,
    attempts: Journal<Attempt>,
}

/// A cache host. It holds a key after its first miss.
#[derive(Debug, Clone)]
pub struct Host {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Host {
    /// One of this name that writes into this record.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn start(
        handle: &Handle, name: &str, callers: Callers, attempts: Journal<Attempt>,
    ) -> io::Result<Self> {
        let listener = listen(handle, any_port())?;
        let addr = listener.local_addr()?;
        let (manner, takes) = (watch::Sender::new(Manner::Serves), watch::Sender::new(Duration::ZERO));
        let (keys, connections) = (Mutex::default(), AtomicU64::new(0));
        let shared =
            Arc::new(Shared { name: name.to_owned(), manner, takes, keys, connections, callers, attempts });
        handle.spawn(Arc::clone(&shared).accept(listener));
        Ok(Self { addr, shared })
    }
    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.name
    }
    /// How it behaves from now on.
    pub fn behave(&self, manner: Manner) {
        self.shared.manner.send_replace(manner);
    }
    /// How long an answer takes from now on.
    pub fn take(&self, time: Duration) {
        self.shared.takes.send_replace(time);
    }
    /// Forgets all keys.
    pub fn forget(&self) {
        self.shared.keys().clear();
    }
    /// Holds a key.
    pub fn hold(&self, key: &str) {
        self.shared.keys().insert(key.to_owned());
    }
}

impl Shared {
    fn keys(&self) -> MutexGuard<'_, FxHashSet<String>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            if *self.manner.borrow() == Manner::Refuses {
                continue;
            }
            let number = self.connections.fetch_add(1, Ordering::Relaxed);
            let caller = self.callers.of(from);
            tokio::spawn(Arc::clone(&self).serve(stream, number, caller));
        }
    }

    /// One command after the other; whatever ends the connection ends the attempt that is out on it.
    async fn serve(self: Arc<Self>, mut stream: TcpStream, number: u64, caller: Option<Caller>) {
        let mut buffer = BytesMut::new();
        loop {
            let Ok(command) = decode_command(&mut buffer) else { return };
            let Some(command) = command else {
                match stream.read_buf(&mut buffer).await {
                    Ok(n) if n > 0 => continue,
                    _ => return,
                }
            };
            let Some(entry) = self.entry(&command, number, caller.as_ref()) else {
                let _ = stream.write_all(b"+PONG\r\n").await;
                continue;
            };
            let key = entry.key.clone();
            let place = self.attempts.push(entry);
            let answered = self.answer(&mut stream, &mut buffer, &key).await;
            let ending = if answered { Ending::Answered } else { Ending::Closed };
            self.attempts.change(place, |it| it.ended = Some((Instant::now(), ending)));
            if !answered {
                return;
            }
        }
    }

    fn entry(&self, command: &Command, connection: u64, caller: Option<&Caller>) -> Option<Attempt> {
        let word = |at: usize| command.0.get(at).map(|word| String::from_utf8_lossy(word).into_owned());
        let (key, id, options) = (word(1)?, word(2)?, word(3)?);
        let (class, time) = (class_of(&options), time_of(&options));
        let at = Instant::now();
        let sent = caller.map_or(at, Caller::wrote);
        let (host, balancer) = (self.name.clone(), caller.map(|it| it.balancer));
        Some(Attempt { host, id, key, class, time, balancer, connection, sent, at, ended: None })
    }

    /// No when the connection ended before the answer.
    async fn answer(&self, stream: &mut TcpStream, buffer: &mut BytesMut, key: &str) -> bool {
        let takes = *self.takes.borrow();
        let mut manner = self.manner.subscribe();
        let ready = async {
            if *manner.borrow() != Manner::Drains && !takes.is_zero() {
                tokio::time::sleep(takes).await;
            }
            // Whoever hangs answers when it hangs no more.
            let _ = manner.wait_for(|manner| *manner != Manner::Hangs).await;
        };
        tokio::pin!(ready);
        loop {
            tokio::select! {
                biased;
                n = stream.read_buf(buffer) => if !n.is_ok_and(|n| n > 0) { return false },
                () = &mut ready => break,
            }
        }
        let manner = *self.manner.borrow();
        let out = match manner {
            Manner::Fails => BytesMut::from(&b"-ERR out of order\r\n"[..]),
            Manner::Drains => BytesMut::from(&b"-BUSY\r\n"[..]),
            Manner::HoldsAll => hit(key),
            _ => self.value(key),
        };
        stream.write_all(&out).await.is_ok()
    }

    fn value(&self, key: &str) -> BytesMut {
        let mut keys = self.keys();
        if keys.len() >= MOST_KEYS {
            keys.clear();
        }
        if keys.insert(key.to_owned()) {
            return BytesMut::from(&b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"[..]);
        }
        hit(key)
    }
}

fn hit(key: &str) -> BytesMut {
    let mut out = BytesMut::from(&b"*3\r\n"[..]);
    encode_bulk(&mut out, format!("value of {key}").as_bytes());
    out.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n");
    out
}
