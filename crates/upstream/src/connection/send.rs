//! Writes requests, and checks until the last byte whether they may still be sent.

use super::request::EncodedRequest;
use super::socket::Connection;
use bytes::Buf;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};

/// The delay before the last byte of a non-idempotent request is written. An endpoint executes nothing before the last
/// byte, so the request was not executed if the connection breaks during the delay. Most connections that break do so
/// within a round trip of the first bytes.
const LAST_BYTE_DELAY: Duration = Duration::from_micros(2_500);

/// The conditions under which an attempt may still be sent. They are checked until the last byte of the request is
/// written, because an endpoint executes nothing before that byte. Connecting, a slow endpoint and the delay of the
/// last byte all come between the decision to send and that byte.
#[derive(Debug, Clone)]
pub struct SendPermit {
    /// Whether the request still awaits an answer: its client has not left, and no other attempt has answered it.
    pub awaited: Rc<Cell<bool>>,
    /// For a repeat of a request with an idempotency key: the end of the window in which endpoints drop repeats.
    pub deduplication_ends: Option<Instant>,
}

impl SendPermit {
    /// Checks whether the attempt may be sent. Also checks the deadline, which may pass at the moment when the
    /// connection is established or the endpoint reads again.
    pub(super) fn check(&self, deadline: Instant) -> Result<(), SendError> {
        let now = Instant::now();
        if !self.awaited.get() || self.deduplication_ends.is_some_and(|end| now >= end) {
            return Err(SendError::Revoked);
        }
        if now >= deadline {
            return Err(SendError::DeadlinePassed);
        }
        Ok(())
    }
}

/// Why a request was not written completely. A request that was not written completely was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendError {
    /// The answer is not awaited any more, or the request might be executed twice.
    Revoked,
    /// The deadline of the attempt has passed.
    DeadlinePassed,
    /// The connection broke, or input arrived before the request was complete.
    Broken,
}

/// When the last byte of a request is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LastByte {
    /// Written with the rest of the request.
    Immediate,
    /// Written after [`LAST_BYTE_DELAY`] without a fault of the connection.
    Delayed,
}

/// Writes a request completely. Calls `check_permit` before each piece.
pub(super) async fn send_request(
    connection: &mut Connection, request: &EncodedRequest, last_byte: LastByte,
    check_permit: impl Fn() -> Result<(), SendError>,
) -> Result<(), SendError> {
    let mut message = Buf::chain(&request.head[..], &request.body[..]);
    if last_byte == LastByte::Delayed {
        let all_but_one = message.remaining() - 1;
        write(connection, &mut (&mut message).take(all_but_one), &check_permit).await?;
        wait_without_input(connection).await?;
    }
    write(connection, &mut message, &check_permit).await
}

/// Writes a message. Checks the permit before each piece, because it may be revoked while the endpoint reads nothing.
async fn write(
    connection: &mut Connection, message: &mut impl Buf, check_permit: impl Fn() -> Result<(), SendError>,
) -> Result<(), SendError> {
    let mut has_waited = false;
    while message.has_remaining() {
        let piece = poll_fn(|cx| {
            check_permit()?;
            // Input that arrives before the request is complete cannot be its response, so the connection is unusable.
            if std::mem::replace(&mut has_waited, true) && !connection.has_no_input() {
                return Poll::Ready(Err(SendError::Broken));
            }
            let written = ready!(pin!(connection.stream.write_buf(message)).poll(cx));
            Poll::Ready(written.map_err(|_| SendError::Broken))
        });
        piece.await?;
    }
    Ok(())
}

/// Waits for [`LAST_BYTE_DELAY`]. Returns an error if the connection breaks or input arrives during the delay.
async fn wait_without_input(connection: &Connection) -> Result<(), SendError> {
    match timeout(LAST_BYTE_DELAY, connection.stream.peek(&mut [0])).await {
        Err(_) => Ok(()),
        Ok(_) => Err(SendError::Broken),
    }
}
