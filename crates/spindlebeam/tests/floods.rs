//! Clients that send at full speed, beside usual ones: the usual ones get their answers in time, and memory stays
//! bounded.

mod platform;
use platform::*;
use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_LIMIT_MB: u64 = 32;
const FLOODING_THREADS: usize = 4;
const COMMANDS_AT_ONCE: usize = 200;
/// How long the clients send at full speed.
const SPAN: Duration = Duration::from_secs(3);
/// The deadline of the usual requests, and how late after it an answer may come.
const DEADLINE: Duration = Duration::from_secs(1);
const LATEST: Duration = Duration::from_millis(500);
const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

/// Held by the case that is played: the clients of another case would take its processor time.
static PLAYING: Mutex<()> = Mutex::new(());

/// What a client sends at full speed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flood {
    Pings,
    /// Commands that do not exist, under ever new names.
    UnknownCommands,
    /// Reads of classes that do not exist, under ever new names.
    UnknownClasses,
    /// Sound reads of ever new keys.
    Reads,
}

impl Flood {
    fn batch(self, first: usize) -> Vec<u8> {
        let command = |n: usize| match self {
            Self::Pings => encode_command(&["PING"]),
            Self::UnknownCommands => encode_command(&[&format!("NAME{n}")]),
            Self::UnknownClasses => {
                encode_command(&["CACHE.GET", "1", &format!("{n:x}"), &format!("c=clase{n},t=acme,d=1000")])
            }
            Self::Reads => {
                encode_command(&["CACHE.GET", &format!("{n:x}"), &format!("f{n:x}"), "c=leer,t=acme,d=1000"])
            }
        };
        (first..first + COMMANDS_AT_ONCE).flat_map(command).collect()
    }
}

/// One client that sends at full speed and reads what it is sent.
struct FloodingClient {
    stream: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
}

impl FloodingClient {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        Self { stream, unsent: Vec::new(), sent: 0 }
    }

    /// Sends and reads what the socket takes and has.
    fn step(&mut self, flood: Flood, next: &mut usize) -> std::io::Result<()> {
        if self.sent == self.unsent.len() {
            (self.unsent, self.sent) = (flood.batch(*next), 0);
            *next += COMMANDS_AT_ONCE;
        }
        let is_blocked = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
        match self.stream.write(&self.unsent[self.sent..]) {
            Ok(bytes) => self.sent += bytes,
            Err(error) if is_blocked(&error) => {}
            Err(error) => return Err(error),
        }
        match self.stream.read(&mut [0; 64 * 1024]) {
            Err(error) if !is_blocked(&error) => Err(error),
            _ => Ok(()),
        }
    }
}

/// Guards against answers that come seconds late, or memory that grows, while others send without a pause: a connection
/// with input was served until the runtime interrupted it, some thousands of commands later.
#[rstest]
fn usual_client_is_answered_in_time_beside_flood(
    #[values(Flood::Pings, Flood::UnknownCommands, Flood::UnknownClasses, Flood::Reads)] flood: Flood,
    #[values(1, 75)] clients_per_thread: usize,
) {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut platform = Platform::with_limits(1, MEMORY_LIMIT_MB, 1024, 1024);
    let peer = platform.peers.remove(0);
    thread::spawn(move || {
        while let Some(request) = peer.next_request_within(WAIT_TIMEOUT) {
            request.respond(VALUE);
        }
    });
    let (address, is_over) = (platform.balancer.addr, AtomicBool::new(false));
    let mut latest = Duration::ZERO;
    thread::scope(|scope| {
        for thread in 0..FLOODING_THREADS {
            let is_over = &is_over;
            scope.spawn(move || {
                let mut clients: Vec<FloodingClient> =
                    (0..clients_per_thread).map(|_| FloodingClient::connect(address)).collect();
                let mut next = thread << 32;
                while !is_over.load(Ordering::Relaxed) {
                    clients.retain_mut(|client| client.step(flood, &mut next).is_ok());
                }
            });
        }
        let started_at = Instant::now();
        while started_at.elapsed() < SPAN {
            let mut usual = platform.balancer.client();
            let asked_at = Instant::now();
            usual.get_with_deadline("leer", "ab", DEADLINE);
            assert!(!usual.read_answer().is_empty());
            latest = latest.max(asked_at.elapsed());
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let peak_kb = platform.balancer.resident_kb();
    assert!(latest < DEADLINE + LATEST, "latest answer after {latest:?}, {peak_kb} KB");
    assert!(peak_kb < MEMORY_LIMIT_MB * 1024, "{peak_kb} KB");
}
