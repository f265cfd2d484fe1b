//! How a client's connection comes to its end: the client leaves, or it is closed so that nothing on its way is lost.

use super::{Client, SlotState};
use crate::Room;
use bytes::BytesMut;
use futures_util::FutureExt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, Ready};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a client may take nothing of an answer.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// How often a client of which nothing is read is looked at for having left: nothing may be sent on for it 0.1 s later.
const LOOKED_AT: Duration = Duration::from_millis(40);
/// How long a client that was closed while idle is looked at for a command that crossed the close.
const CROSSING: Duration = Duration::from_millis(20);
/// How long a connection is left open behind our end of it where a reset would take with it what is on its way: an error
/// that its client sends on after, or an answer that a command of the client crosses.
const LINGER: Duration = Duration::from_secs(2);
/// And how long at least where it should be closed by now.
const SHORT_LINGER: Duration = Duration::from_millis(100);
/// What is read meanwhile is thrown away, so many bytes at a time with a pause after each: guards the core against
/// one that goes on sending at full speed.
const LINGER_READ: (usize, Duration) = (16 * 1024, Duration::from_millis(2));

/// Whether the client has ended its sending, by what the runtime was last told: also where bytes lie unread before it.
fn has_left(stream: &TcpStream) -> bool {
    let looked = stream.ready(Interest::READABLE).now_or_never();
    looked.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
}

/// Waits until the client has ended its sending, and reads nothing. The first look is now: a timer that is due has yet to
/// be fired, and meanwhile the core sends on what came in one piece with that end.
pub(super) async fn client_left(stream: &TcpStream) {
    while !has_left(stream) {
        sleep(LOOKED_AT).await;
    }
}

/// Why a connection is closed between requests.
#[derive(Debug, Clone, Copy)]
pub(super) enum Close {
    /// The balancer drains, or the process ends.
    Shutdown,
    /// Another client needs its slot.
    GivesWay,
    /// It rested too long, or its first command did not come in time.
    Rested,
}

impl Close {
    fn reason(self) -> &'static str {
        match self {
            Self::Shutdown => "the balancer drains or ends",
            Self::GivesWay => "its slot goes to another",
            Self::Rested => "it rested too long",
        }
    }
}

/// What is heard of a client.
pub(super) enum ClientEvent {
    /// Bytes were read.
    Bytes,
    /// It has ended its sending.
    End,
    /// It sends on, unread.
    SentOn,
}

/// Reads more, where more may be taken; else waits until the client has left, or, where that is asked, has sent on.
pub(super) async fn read_or_watch(
    stream: &mut TcpStream, input: &mut BytesMut, may_read: bool, look_for_more: bool,
) -> io::Result<ClientEvent> {
    if may_read {
        let read = stream.read_buf(input).await?;
        return Ok(if read == 0 { ClientEvent::End } else { ClientEvent::Bytes });
    }
    while !has_left(stream) {
        if look_for_more && has_unread(stream) {
            return Ok(ClientEvent::SentOn);
        }
        sleep(LOOKED_AT).await;
    }
    Ok(ClientEvent::End)
}

/// Whether something lies unread.
fn has_unread(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).now_or_never().is_some_and(|peeked| peeked.is_ok_and(|bytes| bytes > 0))
}

/// Writes all of it, for as long as the client is there and goes on taking some: one that reads slowly is not cut off.
pub(super) async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => tokio::select! {
                writable = timeout(WRITE_TIME, stream.writable()) => {
                    writable.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                }
                () = client_left(stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
            },
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

impl Client {
    pub(super) async fn nothing_more_came(&mut self) -> io::Result<bool> {
        yield_now().await; // the runtime looks at its sockets before it goes on here
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Ok(true),
            Ok(_) => {
                self.take_in_bytes();
                Ok(false)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(error) => Err(error),
        }
    }

    /// Closes a connection between requests. A command that crosses is left unread, which tells its client to send it
    /// once more; it is counted. Where one has crossed, or an answer may still be on its way, the close waits for the
    /// client's: over unread bytes it would be a reset, which takes with it what is left of that answer.
    pub(super) async fn close_between_requests(mut self, why: Close) -> io::Result<()> {
        log::debug!("client {}: closing: {}", self.id.0, why.reason());
        self.stream.shutdown().await?;
        let now = Instant::now();
        let until = self.schedule().linger_until(now, SHORT_LINGER, LINGER);
        let wrote_lately = self.written_at.is_some_and(|at| at.elapsed() < LINGER);
        if self.slot == Room::None && !wrote_lately {
            return Ok(()); // it said nothing, and others wait
        }
        let crossing = if wrote_lately { until } else { until.min(now + CROSSING) };
        let Ok(ready) = timeout_at(crossing, self.stream.ready(Interest::READABLE)).await else {
            return Ok(());
        };
        if !ready?.is_read_closed() {
            self.front.slots.borrow_mut().count_close_race();
            let _ = timeout_at(until, client_left(&self.stream)).await;
        }
        Ok(())
    }

    /// Ends our sending, then reads on for a while: closing with bytes unread would reset the connection, and the
    /// client might lose the error that it was just sent.
    pub(super) async fn lingering_close(&mut self) -> io::Result<()> {
        self.notify_slots(SlotState::Awaits);
        self.stream.shutdown().await?;
        let until = self.schedule().linger_until(Instant::now(), SHORT_LINGER, LINGER);
        self.input = BytesMut::with_capacity(LINGER_READ.0);
        let drain = async {
            while self.stream.read_buf(&mut self.input).await? > 0 {
                self.input.clear();
                sleep(LINGER_READ.1).await;
            }
            io::Result::Ok(())
        };
        tokio::select! {
            drained = timeout_at(until, drain) => drained.unwrap_or(Ok(())),
            () = self.close_signal.notified() => Ok(()),
        }
    }
}
