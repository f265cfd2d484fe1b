//! One client connection: commands in, answers out in the order of the commands.

use super::Front;
use super::request::{self, Asked};
use crate::call::Answer;
use crate::engine::Ticket;
use crate::proto::resp;
use bytes::{BufMut, BytesMut};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Commands of one connection that may wait for their answers; beyond it nothing is read.
const MOST_WAITING: usize = 32;
/// Bytes of answers that are gathered before they are written.
const MOST_GATHERED: usize = 256 * 1024;
/// How long a client may take to read an answer.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// How long a connection that ends with an error is read on, so that the error is not lost to a reset.
const LINGER: Duration = Duration::from_millis(200);

enum Reply {
    Now(BytesMut),
    Later(Ticket),
}

/// One client's connection.
pub struct Client {
    front: Rc<Front>,
    stream: TcpStream,
    number: u64,
    input: BytesMut,
    replies: VecDeque<Reply>,
    ending: bool,
    asked_to_close: Rc<Notify>,
    idle_key: Option<(Instant, u64)>,
}

fn line(text: &str) -> Reply {
    Reply::Now(BytesMut::from(text.as_bytes()))
}

fn put_answer(out: &mut BytesMut, answer: &Answer) {
    match answer {
        Answer::Served(value) => resp::put_bulk(out, value),
        Answer::Refused(0) => out.put_slice(b"-BUSY\r\n"),
        Answer::Refused(ms) => out.put_slice(format!("-BUSY {ms}\r\n").as_bytes()),
        Answer::Failed => out.put_slice(b"-ERR failed\r\n"),
    }
}

async fn next_answer(replies: &mut VecDeque<Reply>) -> Answer {
    match replies.front_mut() {
        Some(Reply::Later(ticket)) => ticket.await,
        _ => std::future::pending().await,
    }
}

impl Client {
    /// A connection that was just accepted.
    pub fn new(front: Rc<Front>, stream: TcpStream, number: u64) -> Self {
        Self {
            front,
            stream,
            number,
            input: BytesMut::with_capacity(1024),
            replies: VecDeque::new(),
            ending: false,
            asked_to_close: Rc::default(),
            idle_key: None,
        }
    }

    /// Serves the connection until it ends. What is still unanswered then has lost its client.
    pub async fn run(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut out = BytesMut::new();
        loop {
            self.gather(&mut out);
            if !out.is_empty() {
                let written = timeout(WRITE_TIME, self.stream.write_all(&out)).await;
                written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                out.clear();
                continue;
            }
            if self.ending && self.replies.is_empty() {
                return self.linger().await;
            }
            let idle = self.replies.is_empty() && self.input.is_empty();
            self.mark_idle(idle);
            let may_read = !self.ending && self.replies.len() < MOST_WAITING;
            let close = tokio::select! {
                biased;
                answer = next_answer(&mut self.replies) => {
                    let mut bytes = BytesMut::new();
                    put_answer(&mut bytes, &answer);
                    self.replies[0] = Reply::Now(bytes);
                    false
                }
                read = self.stream.read_buf(&mut self.input), if may_read => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.parse();
                    false
                }
                () = self.asked_to_close.notified(), if idle => true,
                () = self.front.closing.cancelled(), if idle => true,
            };
            // Guards a request that arrived as we were about to close: it has been taken.
            if close && self.nothing_came().await? {
                return Ok(());
            }
        }
    }

    /// Moves the answers that are due to `out`, and reads on where that has made room.
    fn gather(&mut self, out: &mut BytesMut) {
        loop {
            while out.len() < MOST_GATHERED {
                match self.replies.pop_front() {
                    Some(Reply::Now(bytes)) if out.is_empty() => *out = bytes,
                    Some(Reply::Now(bytes)) => out.unsplit(bytes),
                    Some(later) => {
                        self.replies.push_front(later);
                        break;
                    }
                    None => break,
                }
            }
            // Guards commands that were read but had no place: each place that falls free is used at once.
            let waiting = self.replies.len();
            self.parse();
            if self.replies.len() == waiting {
                return;
            }
        }
    }

    /// Reads the commands that are whole, as far as there are places for their answers.
    fn parse(&mut self) {
        while !self.ending && self.replies.len() < MOST_WAITING {
            let reply = match resp::next_command(&mut self.input) {
                Ok(None) => return,
                Ok(Some(command)) => match request::read(&command, &self.front.names) {
                    Asked::Request(incoming) => Reply::Later(self.front.handle.submit(incoming)),
                    Asked::Ping if self.front.handle.ready() => line("+PONG\r\n"),
                    Asked::Ping => line("-LOADING the list of peers has not come yet\r\n"),
                    Asked::Ok => line("+OK\r\n"),
                    Asked::Quit => {
                        self.ending = true;
                        line("+OK\r\n")
                    }
                    Asked::Refused(why) => line(&format!("-ERR {why}\r\n")),
                },
                Err(error) => {
                    log::info!("client {}: {error}", self.number);
                    self.ending = true;
                    line(&format!("-ERR {error}\r\n"))
                }
            };
            self.replies.push_back(reply);
        }
    }

    fn mark_idle(&mut self, idle: bool) {
        if idle == self.idle_key.is_some() {
            return;
        }
        let mut all = self.front.idle.borrow_mut();
        if let Some(key) = self.idle_key.take() {
            all.remove(&key);
        } else {
            let key = (Instant::now(), self.number);
            all.insert(key, self.asked_to_close.clone());
            self.idle_key = Some(key);
        }
    }

    async fn nothing_came(&mut self) -> io::Result<bool> {
        Front::breathe().await;
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Ok(true),
            Ok(_) => {
                self.parse();
                Ok(false)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(error) => Err(error),
        }
    }

    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let drain = async {
            self.input.clear();
            while self.stream.read_buf(&mut self.input).await? > 0 {
                self.input.clear();
            }
            io::Result::Ok(())
        };
        timeout(LINGER, drain).await.unwrap_or(Ok(()))
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.mark_idle(false);
    }
}
