//! A cache node or an origin that does what the test says.

use super::PATIENCE;
use bytes::BytesMut;
use proto::resp::decode_command;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Something that happened at a peer.
pub enum Seen {
    /// A request, and the connection to answer it on.
    Asked(Asked),
    /// The balancer closed a connection.
    Closed,
}

pub struct Asked {
    pub words: Vec<String>,
    stream: TcpStream,
}

impl Asked {
    /// A part of an answer; whoever is not there any more to take it misses it.
    pub fn part(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn answer(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    pub fn value(self, value: &str) {
        self.answer(&format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()));
    }
    pub fn miss(self) {
        self.answer("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
    pub fn http(self, head: &str, body: &str) {
        self.answer(&format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    /// Ends the connection without an answer.
    pub fn hang_up(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
}

pub struct Peer {
    pub addr: SocketAddr,
    seen: Receiver<Seen>,
    opened: Receiver<()>,
}

impl Peer {
    pub fn start(http: bool) -> Self {
        Self::taking(TcpListener::bind("127.0.0.1:0").unwrap(), http, || true)
    }
    /// With the shortest backlog, and taking one connection for each word: further ones are held in their dial.
    pub fn narrow(http: bool) -> (Self, Sender<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).listen(0).unwrap();
        let (admit, admitted) = channel();
        (Self::taking(listener, http, move || admitted.recv().is_ok()), admit)
    }
    fn taking(listener: TcpListener, http: bool, mut takes: impl FnMut() -> bool + Send + 'static) -> Self {
        let addr = listener.local_addr().unwrap();
        let (sender, seen) = channel();
        let (opening, opened) = channel();
        thread::spawn(move || {
            while takes() {
                let Ok((stream, _)) = listener.accept() else { break };
                let _ = opening.send(());
                let sender = sender.clone();
                thread::spawn(move || attend(stream, http, &sender));
            }
        });
        Self { addr, seen, opened }
    }
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the peer hears of something")
    }
    /// The next request; connections that end before it are passed over.
    pub fn asked(&self) -> Asked {
        loop {
            if let Seen::Asked(asked) = self.next() {
                return asked;
            }
        }
    }
    /// The next request within a time, if one comes.
    pub fn asked_within(&self, time: Duration) -> Option<Asked> {
        let until = Instant::now() + time;
        loop {
            match self.seen.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(Seen::Asked(asked)) => return Some(asked),
                Ok(Seen::Closed) => {}
                Err(_) => return None,
            }
        }
    }
    /// Waits for a further connection.
    pub fn opened(&self) -> bool {
        self.opened.recv_timeout(PATIENCE).is_ok()
    }
    /// Whether a further connection has come.
    pub fn opened_more(&self) -> bool {
        self.opened.try_recv().is_ok()
    }
    /// Forgets the connections so far.
    pub fn forget_opened(&self) {
        self.opened.try_iter().for_each(drop);
    }
    pub fn closed(&self) -> bool {
        matches!(self.next(), Seen::Closed)
    }
    pub fn heard_of_nothing_more(&self) -> bool {
        !self.seen.try_iter().any(|seen| matches!(seen, Seen::Asked(_)))
    }
}

/// The next request at any of these, and at which.
pub fn next_asked(peers: &[Peer]) -> (usize, Asked) {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let heard = peers.iter().map(|p| p.seen.try_recv()).enumerate();
        let mut asked = heard.filter_map(|(i, seen)| match seen {
            Ok(Seen::Asked(asked)) => Some((i, asked)),
            _ => None,
        });
        if let Some(found) = asked.next() {
            return found;
        }
        thread::yield_now();
    }
    panic!("none of the peers hears of anything");
}

fn attend(mut stream: TcpStream, http: bool, sender: &Sender<Seen>) {
    let mut buffer = BytesMut::new();
    loop {
        let whole = if http { http_request(&mut buffer) } else { resp_request(&mut buffer) };
        if let Some(words) = whole {
            let stream = stream.try_clone().unwrap();
            let _ = sender.send(Seen::Asked(Asked { words, stream }));
            continue;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => break,
        }
    }
    let _ = sender.send(Seen::Closed);
}

fn resp_request(buffer: &mut BytesMut) -> Option<Vec<String>> {
    let command = decode_command(buffer).expect("the balancer writes commands")?;
    Some(command.0.iter().map(|word| String::from_utf8(word.to_vec()).unwrap()).collect())
}

/// The lines of the head, then the body.
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
