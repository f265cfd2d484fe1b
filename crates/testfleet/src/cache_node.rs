//! A stand-in cache node that speaks RESP2 and records the sender and the time of every command.

use crate::event_log::EventLog;
use crate::relay::{ConnectionRegistry, RelayedConnection};
use crate::runtime::{any_port, listen};
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

/// The maximum number of keys of a node. A node that reaches it removes all its keys, which bounds its memory.
pub const MAX_KEYS: usize = 1_000_000;

/// How a cache node responds to connections and commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheNodeBehaviour {
    /// Answers normally.
    #[default]
    Serves,
    /// Rejects every command with `-BUSY`.
    Drains,
    /// Answers every command with `-ERR`.
    Fails,
    /// Answers every command with a hit.
    AlwaysHits,
    /// Does not answer until its behaviour changes.
    Hangs,
    /// Closes connections on accept.
    Refuses,
}

/// How an attempt ended at its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The receiver answered the attempt.
    Answered,
    /// The connection ended before the answer.
    Closed,
}

/// An attempt at a cache node, or an execution at the origin.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The receiver's name in discovery.
    pub endpoint: String,
    /// The id of the request.
    pub id: String,
    /// The requested key.
    pub key: String,
    /// The request class.
    pub class: String,
    /// The remaining time stated in the request.
    pub remaining_time: Option<Duration>,
    /// The number of the balancer that sent it; `None` if the connection was not relayed.
    pub balancer: Option<usize>,
    /// The number of the connection at this receiver.
    pub connection: u64,
    /// When the relay read the attempt from the balancer.
    pub sent: Instant,
    /// When the receiver read the attempt.
    pub received: Instant,
    /// When and how the attempt ended; `None` while it is in flight.
    pub ended: Option<(Instant, Ending)>,
}

/// Parses the remaining time from a request's options.
pub(crate) fn parse_remaining_time(options: &str) -> Option<Duration> {
    let ms = options.split(',').find_map(|option| option.strip_prefix("d="))?;
    ms.parse().ok().map(Duration::from_millis)
}

/// Parses the request class from a request's options.
pub(crate) fn parse_class(options: &str) -> String {
    options.split(',').find_map(|option| option.strip_prefix("c=")).unwrap_or_default().to_owned()
}

/// The state shared by the handles and connections of a node.
#[derive(Debug)]
struct Shared {
    name: String,
    behaviour: watch::Sender<CacheNodeBehaviour>,
    latency: watch::Sender<Duration>,
    keys: Mutex<FxHashSet<String>>,
    connections: AtomicU64,
    registry: ConnectionRegistry,
    attempts: EventLog<Attempt>,
}

/// A handle to a stand-in cache node. The first command for a key is a miss, later ones are hits.
#[derive(Debug, Clone)]
pub struct CacheNode {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl CacheNode {
    /// Starts a node that is called `name` in discovery and records attempts in `attempts`.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub fn start(
        handle: &Handle, name: &str, registry: ConnectionRegistry, attempts: EventLog<Attempt>,
    ) -> io::Result<Self> {
        let listener = listen(handle, any_port())?;
        let addr = listener.local_addr()?;
        let (behaviour, latency) =
            (watch::Sender::new(CacheNodeBehaviour::Serves), watch::Sender::new(Duration::ZERO));
        let (keys, connections) = (Mutex::default(), AtomicU64::new(0));
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            behaviour,
            latency,
            keys,
            connections,
            registry,
            attempts,
        });
        handle.spawn(Arc::clone(&shared).accept(listener));
        Ok(Self { addr, shared })
    }
    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// Returns the node's name in discovery.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.name
    }
    /// Changes the behaviour of the node.
    pub fn set_behaviour(&self, behaviour: CacheNodeBehaviour) {
        self.shared.behaviour.send_replace(behaviour);
    }
    /// Sets the delay before each answer.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.latency.send_replace(latency);
    }
    /// Removes all keys.
    pub fn clear_keys(&self) {
        self.shared.keys().clear();
    }
    /// Inserts a key.
    pub fn insert_key(&self, key: &str) {
        self.shared.keys().insert(key.to_owned());
    }
}

impl Shared {
    fn keys(&self) -> MutexGuard<'_, FxHashSet<String>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, remote_addr)) = listener.accept().await else { continue };
            if *self.behaviour.borrow() == CacheNodeBehaviour::Refuses {
                continue;
            }
            let number = self.connections.fetch_add(1, Ordering::Relaxed);
            let relayed = self.registry.find(remote_addr);
            tokio::spawn(Arc::clone(&self).serve(stream, number, relayed));
        }
    }

    /// Serves the commands of a connection in order. The end of the connection ends its attempt in flight.
    async fn serve(self: Arc<Self>, mut stream: TcpStream, number: u64, relayed: Option<RelayedConnection>) {
        let mut buffer = BytesMut::new();
        loop {
            let Ok(command) = decode_command(&mut buffer) else { return };
            let Some(command) = command else {
                match stream.read_buf(&mut buffer).await {
                    Ok(n) if n > 0 => continue,
                    _ => return,
                }
            };
            let Some(attempt) = self.new_attempt(&command, number, relayed.as_ref()) else {
                let _ = stream.write_all(b"+PONG\r\n").await;
                continue;
            };
            let key = attempt.key.clone();
            let index = self.attempts.push(attempt);
            let answered = self.answer(&mut stream, &mut buffer, &key).await;
            let ending = if answered { Ending::Answered } else { Ending::Closed };
            self.attempts.update(index, |it| it.ended = Some((Instant::now(), ending)));
            if !answered {
                return;
            }
        }
    }

    /// Returns the record of an attempt; `None` if the command has too few arguments, such as `PING`.
    fn new_attempt(
        &self, command: &Command, connection: u64, relayed: Option<&RelayedConnection>,
    ) -> Option<Attempt> {
        let argument =
            |index: usize| command.0.get(index).map(|bytes| String::from_utf8_lossy(bytes).into_owned());
        let (key, id, options) = (argument(1)?, argument(2)?, argument(3)?);
        let (class, remaining_time) = (parse_class(&options), parse_remaining_time(&options));
        let at = Instant::now();
        let sent = relayed.map_or(at, RelayedConnection::last_write);
        let (endpoint, balancer) = (self.name.clone(), relayed.map(|it| it.balancer));
        Some(Attempt {
            endpoint,
            id,
            key,
            class,
            remaining_time,
            balancer,
            connection,
            sent,
            received: at,
            ended: None,
        })
    }

    /// Answers a command; returns `false` if the connection ended first.
    async fn answer(&self, stream: &mut TcpStream, buffer: &mut BytesMut, key: &str) -> bool {
        let latency = *self.latency.borrow();
        let mut behaviour = self.behaviour.subscribe();
        let ready = async {
            if *behaviour.borrow() != CacheNodeBehaviour::Drains && !latency.is_zero() {
                tokio::time::sleep(latency).await;
            }
            // A hanging node answers once its behaviour changes.
            let _ = behaviour.wait_for(|behaviour| *behaviour != CacheNodeBehaviour::Hangs).await;
        };
        tokio::pin!(ready);
        loop {
            tokio::select! {
                biased;
                n = stream.read_buf(buffer) => if !n.is_ok_and(|n| n > 0) { return false },
                () = &mut ready => break,
            }
        }
        let behaviour = *self.behaviour.borrow();
        let reply = match behaviour {
            CacheNodeBehaviour::Fails => BytesMut::from(&b"-ERR out of order\r\n"[..]),
            CacheNodeBehaviour::Drains => BytesMut::from(&b"-BUSY\r\n"[..]),
            CacheNodeBehaviour::AlwaysHits => encode_hit(key),
            _ => self.look_up(key),
        };
        stream.write_all(&reply).await.is_ok()
    }

    /// Returns a miss for an absent key, which is then inserted, and a hit for a present key.
    fn look_up(&self, key: &str) -> BytesMut {
        let mut keys = self.keys();
        if keys.len() >= MAX_KEYS {
            keys.clear();
        }
        if keys.insert(key.to_owned()) {
            return BytesMut::from(&b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"[..]);
        }
        encode_hit(key)
    }
}

fn encode_hit(key: &str) -> BytesMut {
    let mut reply = BytesMut::from(&b"*3\r\n"[..]);
    encode_bulk(&mut reply, format!("value of {key}").as_bytes());
    reply.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n");
    reply
}
