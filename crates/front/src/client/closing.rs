//! Closes client connections without losing a reply, or a command in transit, unnoticed.

use super::connection::{Client, ReportedState};
use super::lookahead::try_read;
use super::socket::wait_for_client_close;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

/// The most reads of input that has arrived before the end of reading. A client that writes without a pause is cut off
/// after them.
const MAX_FINAL_READS: usize = 8;
/// How long a command that races the close of an idle connection may take to arrive after the close.
const RACE_WINDOW: Duration = Duration::from_millis(20);
/// How long the receiving side stays open after the sending side is closed, when a reset would destroy bytes in
/// transit: an error reply while the client goes on sending, or an answer while the client sends another command.
const LINGER_PERIOD: Duration = Duration::from_secs(2);
/// The shortest time for which the receiving side stays open, when the deadline for the close is near or has passed.
const MIN_LINGER_PERIOD: Duration = Duration::from_millis(100);
/// The size of the reads whose bytes are discarded during a lingering close.
const LINGER_READ_BYTES: usize = 16 * 1024;
/// The pause after each read of a lingering close, so that a client that sends at full speed does not occupy the event
/// loop.
const LINGER_READ_PAUSE: Duration = Duration::from_millis(2);

/// The reason why a connection is closed between requests.
#[derive(Debug, Clone, Copy)]
pub(super) enum CloseReason {
    /// The balancer is draining, or the process ends.
    Shutdown,
    /// Another connection needs the slot.
    SlotNeeded,
    /// The connection was idle for longer than its timeout, or its first command did not arrive in time.
    IdleTimeout,
}

impl CloseReason {
    fn label(self) -> &'static str {
        match self {
            Self::Shutdown => "the balancer is draining or shutting down",
            Self::SlotNeeded => "its slot is needed for another connection",
            Self::IdleTimeout => "idle timeout",
        }
    }
}

impl Client {
    /// Reads once, without waiting, and handles what was read. Returns whether input had arrived.
    pub(super) async fn read_available_input(&mut self) -> io::Result<bool> {
        yield_now().await; // lets the runtime poll its sockets first
        match try_read(&self.stream, &mut self.input, &self.front) {
            Ok(0) => Ok(false),
            Ok(_) => {
                self.handle_input();
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads the input that has arrived before the end of reading; called once. When the event loop is busy, the end of
    /// reading may pass before the socket is read for the first time.
    pub(super) async fn read_final_input(&mut self) -> io::Result<()> {
        self.has_read_final_input = true;
        for _ in 0..MAX_FINAL_READS {
            if !self.accepts_commands() || !self.read_available_input().await? {
                break;
            }
        }
        Ok(())
    }

    /// Closes the connection between requests.
    ///
    /// A command that races the close is counted and left unread, so that the client sends it again. In that case, or
    /// if an answer may still be in transit, this waits for the client to close: closing with unread bytes sends a
    /// reset, which destroys the rest of that answer.
    pub(super) async fn close_between_requests(mut self, reason: CloseReason) -> io::Result<()> {
        log::debug!("front: client {}: closing: {}", self.id.0, reason.label());
        self.stream.shutdown().await?;
        let now = Instant::now();
        let until = self.schedule().linger_until(now, MIN_LINGER_PERIOD, LINGER_PERIOD);
        let has_written_recently = self.last_written_at.is_some_and(|at| at.elapsed() < LINGER_PERIOD);
        if self.slotless.is_some() && !has_written_recently {
            return Ok(()); // no answer can be in transit, and other connections wait for the descriptor
        }
        let race_deadline = if has_written_recently { until } else { until.min(now + RACE_WINDOW) };
        let Ok(ready) = timeout_at(race_deadline, self.stream.ready(Interest::READABLE)).await else {
            return Ok(());
        };
        if !ready?.is_read_closed() {
            self.front.count_close_race();
            let _ = timeout_at(until, wait_for_client_close(&self.stream)).await;
        }
        Ok(())
    }

    /// Closes the sending side, then reads and discards input until the client closes or the lingering close ends.
    /// Closing with unread bytes would reset the connection, and the client might lose the error that was just sent.
    pub(super) async fn lingering_close(&mut self) -> io::Result<()> {
        self.report_state(ReportedState::AwaitingCommand);
        self.stream.shutdown().await?;
        let until = self.schedule().linger_until(Instant::now(), MIN_LINGER_PERIOD, LINGER_PERIOD);
        self.input.clear();
        let discard_input = async {
            loop {
                self.stream.readable().await?;
                match discard_once(&self.stream) {
                    Ok(0) => return Ok(()),
                    Ok(_) => sleep(LINGER_READ_PAUSE).await,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        };
        tokio::select! {
            discarded = timeout_at(until, discard_input) => discarded.unwrap_or(Ok(())),
            () = self.close_signal.notified() => Ok(()),
        }
    }
}

/// Reads and discards input that has arrived. The connection keeps no buffer for it. Returns the number of bytes; 0 when
/// the client has closed its sending side.
fn discard_once(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; LINGER_READ_BYTES])
}
