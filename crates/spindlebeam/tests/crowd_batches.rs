//! Clients without a connection slot that write a batch of commands, each in a write of its own: every command is
//! answered.

mod platform;

use platform::*;
use rstest::rstest;
use std::fmt;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Sockets of the process, and its resulting connection slots.
const SOCKETS: u64 = 100;
const SLOTS: usize = 40;
/// Number of commands in a batch.
const BATCH: usize = 6;
/// Number of groups of clients, one after the other.
const ROUNDS: usize = 2;
/// Delay from the last write until a late client begins to read.
const LATE_READ: Duration = Duration::from_millis(100);

/// When a client reads its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    AtOnce,
    Late,
}

/// The record of one client; times are since it began to connect.
struct BatchClient {
    connected: Duration,
    written: Vec<Duration>,
    answers: Vec<(Duration, String)>,
    ended: Duration,
    failure: Option<ErrorKind>,
    /// Whether the connection had ended before the first write, so that no command can have been read.
    ended_before_writing: bool,
}

impl fmt::Debug for BatchClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { connected, written, answers, ended, failure, .. } = self;
        write!(
            f,
            "connected {connected:.1?}, written {written:.1?}, answers {answers:.1?}, ended {ended:.1?}"
        )?;
        failure.map_or(Ok(()), |kind| write!(f, " by {kind:?}"))
    }
}

impl BatchClient {
    /// Connects, writes a batch with `gap` between commands, and reads until the connection ends.
    fn run(balancer: SocketAddr, gap: Duration, reading: Reading) -> Self {
        let started = Instant::now();
        let stream = TcpStream::connect(balancer).unwrap();
        stream.set_nodelay(true).unwrap();
        let mut writer = stream.try_clone().unwrap();
        let connected = started.elapsed();
        let ended_before_writing = is_closed(&stream);
        let reader = (reading == Reading::AtOnce).then(|| thread::spawn(move || read(stream, started)));
        let mut seen = Self {
            connected,
            written: vec![],
            answers: vec![],
            ended: connected,
            failure: None,
            ended_before_writing,
        };
        for number in 0..BATCH {
            if number > 0 {
                pause(gap);
            }
            match writer.write_all(&read_command(&format!("{number:x}"))) {
                Ok(()) => seen.written.push(started.elapsed()),
                Err(error) => seen.failure = seen.failure.or(Some(error.kind())),
            }
        }
        let read = match reader {
            Some(reader) => reader.join().unwrap(),
            None => {
                pause(LATE_READ);
                read(writer, started)
            }
        };
        let failure = seen.failure.or(read.failure);
        Self { answers: read.answers, ended: read.ended, failure, ..seen }
    }

    fn was_cut_off(&self) -> bool {
        let was_answered = self.failure.is_none()
            && self.answers.len() == BATCH
            && self.answers.iter().all(|(_, answer)| answer.starts_with("-BUSY"));
        !was_answered && !self.ended_before_writing
    }
}

/// Returns whether the connection is closed, without waiting.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    peeked.map_or_else(|error| error.kind() != ErrorKind::WouldBlock, |bytes| bytes == 0)
}

/// The answers read from a connection, and how it ended.
struct ReadResult {
    answers: Vec<(Duration, String)>,
    ended: Duration,
    failure: Option<ErrorKind>,
}

fn read(stream: TcpStream, started: Instant) -> ReadResult {
    let mut client = Client::from_stream(stream);
    let mut answers = vec![];
    let failure = loop {
        match client.try_read_line() {
            Ok(line) if line.is_empty() => break None,
            Ok(line) => answers.push((started.elapsed(), line.trim_end().to_owned())),
            Err(error) => break Some(error.kind()),
        }
    };
    ReadResult { answers, ended: started.elapsed(), failure }
}

/// Waits for this time.
fn pause(time: Duration) {
    let until = Instant::now() + time;
    while let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
        thread::park_timeout(left);
    }
}

#[rstest]
fn client_without_slot_gets_answer_to_each_batched_command(
    #[values(0, 200, 2_000, 10_000)] gap_us: u64, #[values(Reading::AtOnce, Reading::Late)] reading: Reading,
    #[values(4, 40)] clients: usize,
) {
    let platform = Platform::with_config(1, 1024, |config| config["limits"]["sockets"] = SOCKETS.into());
    let _busy = platform.take_all_slots(SLOTS);
    let gap = Duration::from_micros(gap_us);
    let address = platform.balancer.addr;
    for round in 0..ROUNDS {
        let threads: Vec<_> =
            (0..clients).map(|_| thread::spawn(move || BatchClient::run(address, gap, reading))).collect();
        let seen: Vec<BatchClient> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
        let cut: Vec<&BatchClient> = seen.iter().filter(|client| client.was_cut_off()).collect();
        assert!(cut.is_empty(), "round {round}: {} of {clients} were cut off: {cut:#?}", cut.len());
    }
}
