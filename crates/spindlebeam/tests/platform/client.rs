//! A RESP client of the balancer.

use super::WAIT_TIMEOUT;
use bytes::BytesMut;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A connection to the balancer with a read timeout.
pub struct Client(BufReader<TcpStream>);

/// Returns a request id that no other request of this test program has.
fn new_id() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed))
}

fn command(words: &[&str]) -> BytesMut {
    let mut bytes = BytesMut::new();
    let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
    proto::resp::encode_command(&mut bytes, &words);
    bytes
}

/// The options of a write with an idempotency key.
pub const WRITE_OPTIONS: &str = "c=alta,t=acme,d=60000,k=5c0f";

/// Encodes a command with these words.
pub fn encode_command(words: &[&str]) -> Vec<u8> {
    command(words).to_vec()
}

/// Encodes a read of the key with a new request id.
pub fn read_command(key: &str) -> Vec<u8> {
    command(&["CACHE.GET", key, &new_id(), "c=leer,t=acme,d=60000"]).to_vec()
}

impl Client {
    pub(super) fn connect(addr: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(addr).unwrap())
    }
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }
    pub fn send(&mut self, words: &[&str]) {
        self.write_raw(&command(words));
    }
    /// Sends `count` write commands in one piece; their values are the numbers from 0.
    pub fn send_writes(&mut self, class: &str, count: usize) {
        let options = format!("c={class},t=acme,d=60000,k=5c0f");
        let commands = (0..count).map(|n| command(&["CACHE.SET", "7f", &new_id(), &options, &n.to_string()]));
        let bytes: Vec<u8> = commands.flatten().collect();
        self.write_raw(&bytes);
    }
    pub fn write_raw(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }
    /// Sends as much as the socket accepts in one write. Errors are ignored: the connection may be closed.
    pub fn try_write_raw(&mut self, bytes: &[u8]) {
        let mut stream = self.0.get_ref();
        let _ = stream.write(bytes);
    }
    /// Sends the bytes repeatedly on a separate thread until the connection is closed.
    pub fn send_without_pause(&self, bytes: Vec<u8>) {
        let mut stream = self.0.get_ref().try_clone().unwrap();
        thread::spawn(move || while stream.write_all(&bytes).is_ok() {});
    }
    /// Resets the connection when it is closed.
    pub fn reset_on_close(&self) {
        socket2::SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
    /// Writes the bytes on a separate thread. Errors are ignored: the connection may be closed.
    pub fn write_on_thread(&self, bytes: Vec<u8>) {
        let mut stream = self.0.get_ref().try_clone().unwrap();
        thread::spawn(move || stream.write_all(&bytes));
    }
    /// Sends a read command. Errors are ignored: the connection may be closed.
    pub fn try_get(&mut self, class: &str, key: &str) {
        self.try_write_raw(&command(&["CACHE.GET", key, &new_id(), &format!("c={class},t=acme,d=60000")]));
    }
    /// Reads all further answers on a separate thread until the connection ends.
    pub fn collect_answers(&self) -> JoinHandle<Vec<String>> {
        let mut reader = Client::from_stream(self.0.get_ref().try_clone().unwrap());
        thread::spawn(move || {
            let answers =
                std::iter::from_fn(|| Some(reader.read_answer()).filter(|answer| !answer.is_empty()));
            answers.collect()
        })
    }
    pub fn port(&self) -> u16 {
        self.0.get_ref().local_addr().unwrap().port()
    }
    pub fn reader(&mut self) -> &mut impl Read {
        &mut self.0
    }
    /// Reads a line, without its line end.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }
    /// Reads a line with its line end; empty if the connection was closed without a reset.
    pub fn try_read_line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).map(|_| line)
    }
    /// Reads a bulk string of `length` bytes whose length line has been read.
    pub fn read_bulk(&mut self, length: usize) -> String {
        let mut body = vec![0; length + 2];
        self.0.read_exact(&mut body).unwrap();
        assert_eq!(body.split_off(length), b"\r\n");
        String::from_utf8(body).unwrap()
    }
    /// Reads a line of an answer, or a whole bulk string; empty if the connection has ended.
    pub fn read_answer(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            // A timeout must not count as the end of the connection: tests that wait for the end would pass without it.
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                panic!("no answer within {WAIT_TIMEOUT:?}")
            }
            Err(_) => return String::new(),
            Ok(_) => {}
        }
        if let Some(len) = line.strip_prefix('$') {
            return self.read_bulk(len.trim().parse().unwrap());
        }
        line.trim_end().to_owned()
    }
    /// Returns whether an answer has begun within `time`.
    pub fn has_answer_within(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let has_begun = self.0.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0);
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        has_begun
    }
    pub fn get(&mut self, class: &str, key: &str) {
        self.get_with_id(&new_id(), class, key);
    }
    pub fn get_with_id(&mut self, id: &str, class: &str, key: &str) {
        self.send(&["CACHE.GET", key, id, &format!("c={class},t=acme,d=60000")]);
    }
    /// Sends a read with this deadline.
    pub fn get_with_deadline(&mut self, class: &str, key: &str, time: Duration) {
        let options = format!("c={class},t=acme,d={}", time.as_millis());
        self.send(&["CACHE.GET", key, &new_id(), &options]);
    }
    pub fn set(&mut self, class: &str, value: &str) {
        self.send(&["CACHE.SET", "7f", &new_id(), &format!("c={class},t=acme,d=60000,k=5c0f"), value]);
    }
    pub fn shutdown(&mut self, direction: Shutdown) {
        let _ = self.0.get_mut().shutdown(direction); // the connection may already be closed
    }
    /// Reads on, and returns whether the connection has ended instead of giving an answer.
    pub fn reads_end(&mut self) -> bool {
        self.read_answer().is_empty()
    }
    /// Returns whether the connection is closed, without waiting.
    pub fn is_closed(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        peeked.map_or_else(|error| error.kind() != ErrorKind::WouldBlock, |n| n == 0)
    }
}
