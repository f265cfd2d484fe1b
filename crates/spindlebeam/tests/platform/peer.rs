//! A scripted cache node or origin.

use super::WAIT_TIMEOUT;
use bytes::BytesMut;
use proto::resp::decode_command;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// An event at a peer.
pub enum PeerEvent {
    /// A request arrived.
    Request(PeerRequest),
    /// The balancer closed a connection.
    Closed,
}

/// A request at a peer, and the connection to answer it on.
pub struct PeerRequest {
    /// The words of a RESP command, or the lines of an HTTP head and the body.
    pub words: Vec<String>,
    stream: TcpStream,
}

impl PeerRequest {
    /// Returns whether both requests came on one connection.
    pub fn shares_connection_with(&self, other: &PeerRequest) -> bool {
        self.stream.peer_addr().unwrap() == other.stream.peer_addr().unwrap()
    }
    /// Writes a part of an answer. Errors are ignored: the connection may be closed.
    pub fn write_part(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn respond(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    pub fn respond_value(self, value: &str) {
        self.respond(&format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()));
    }
    pub fn respond_miss(self) {
        self.respond("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
    pub fn respond_http(self, head: &str, body: &str) {
        self.respond(&format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    /// Closes the connection without an answer.
    pub fn hang_up(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
}

/// A cache node that speaks RESP, or an origin that speaks HTTP.
pub struct Peer {
    pub addr: SocketAddr,
    events: Receiver<PeerEvent>,
    opened: Receiver<()>,
}

impl Peer {
    pub fn start(http: bool) -> Self {
        Self::accept_while(TcpListener::bind("127.0.0.1:0").unwrap(), http, || true)
    }
    /// Starts a peer with the shortest backlog that accepts one connection for each message of the returned sender.
    /// Further connections remain in their dial.
    pub fn with_short_backlog(http: bool) -> (Self, Sender<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).listen(0).unwrap();
        let (permit, permits) = channel();
        (Self::accept_while(listener, http, move || permits.recv().is_ok()), permit)
    }
    fn accept_while(
        listener: TcpListener, http: bool, mut may_accept: impl FnMut() -> bool + Send + 'static,
    ) -> Self {
        let addr = listener.local_addr().unwrap();
        let (sender, events) = channel();
        let (opened_sender, opened) = channel();
        thread::spawn(move || {
            while may_accept() {
                let Ok((stream, _)) = listener.accept() else { break };
                let _ = opened_sender.send(());
                let sender = sender.clone();
                thread::spawn(move || serve_connection(stream, http, &sender));
            }
        });
        Self { addr, events, opened }
    }
    /// Waits for the next event.
    pub fn next(&self) -> PeerEvent {
        self.events
            .recv_timeout(WAIT_TIMEOUT)
            .expect("no request came and no connection ended at the peer in time")
    }
    /// Waits for the next request; closed connections before it are skipped.
    pub fn next_request(&self) -> PeerRequest {
        loop {
            if let PeerEvent::Request(request) = self.next() {
                return request;
            }
        }
    }
    /// Waits for the next request for at most `time`.
    pub fn next_request_within(&self, time: Duration) -> Option<PeerRequest> {
        let until = Instant::now() + time;
        loop {
            match self.events.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(PeerEvent::Request(request)) => return Some(request),
                Ok(PeerEvent::Closed) => {}
                Err(_) => return None,
            }
        }
    }
    /// Waits for a further connection, and returns whether one came.
    pub fn wait_for_connection(&self) -> bool {
        self.opened.recv_timeout(WAIT_TIMEOUT).is_ok()
    }
    /// Returns whether a further connection has come, without waiting.
    pub fn has_new_connection(&self) -> bool {
        self.opened.try_recv().is_ok()
    }
    /// Clears the record of accepted connections.
    pub fn clear_connections(&self) {
        self.opened.try_iter().for_each(drop);
    }
    /// Waits for the next event, and returns whether it is a closed connection.
    pub fn next_is_close(&self) -> bool {
        matches!(self.next(), PeerEvent::Closed)
    }
    /// Returns whether no further request has arrived, without waiting.
    pub fn has_no_more_requests(&self) -> bool {
        !self.events.try_iter().any(|event| matches!(event, PeerEvent::Request(_)))
    }
}

/// Waits for the next request at any of the peers, and returns the index of the peer with it.
pub fn next_request_of_any(peers: &[Peer]) -> (usize, PeerRequest) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        let events = peers.iter().map(|peer| peer.events.try_recv()).enumerate();
        let mut requests = events.filter_map(|(i, event)| match event {
            Ok(PeerEvent::Request(request)) => Some((i, request)),
            _ => None,
        });
        if let Some(found) = requests.next() {
            return found;
        }
        thread::yield_now();
    }
    panic!("no request came at any of {} peers within {WAIT_TIMEOUT:?}", peers.len());
}

fn serve_connection(mut stream: TcpStream, http: bool, sender: &Sender<PeerEvent>) {
    let mut buffer = BytesMut::new();
    loop {
        let decoded = if http { http_request(&mut buffer) } else { resp_request(&mut buffer) };
        if let Some(words) = decoded {
            let stream = stream.try_clone().unwrap();
            let _ = sender.send(PeerEvent::Request(PeerRequest { words, stream }));
            continue;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => break,
        }
    }
    let _ = sender.send(PeerEvent::Closed);
}

fn resp_request(buffer: &mut BytesMut) -> Option<Vec<String>> {
    let command = decode_command(buffer).expect("the balancer sent a malformed command")?;
    Some(command.0.iter().map(|word| String::from_utf8(word.to_vec()).unwrap()).collect())
}

/// Decodes a request into the lines of its head and its body.
fn http_request(buffer: &mut BytesMut) -> Option<Vec<String>> {
    let text = String::from_utf8(buffer.to_vec()).unwrap();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length = length.map_or(0, |n| n.parse().unwrap());
    let body = rest.get(..length)?;
    let mut words: Vec<String> = head.lines().map(str::to_owned).collect();
    words.push(body.to_owned());
    let _ = buffer.split_to(head.len() + 4 + length);
    Some(words)
}
