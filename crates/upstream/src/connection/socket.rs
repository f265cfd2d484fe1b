//! An open connection, and the permit to open one.

use crate::memory::{MemoryBudget, MemoryPermit};
use bytes::{BufMut, BytesMut};
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// How long nothing is written to a connection after a response. An endpoint may send a second copy of a response some
/// milliseconds late, unless the next request has reached it by then. A copy that arrives within this time is seen
/// before the next request is written.
pub const REST_PERIOD: Duration = Duration::from_millis(20);

/// The initial capacity of the buffer for responses.
const RESPONSE_BYTES: usize = 1024;
/// The capacity up to which a response buffer needs no reserved memory: the number of connections bounds it. A buffer
/// that has held more than this is replaced after the response.
const MAX_KEPT_RESPONSE_BYTES: usize = 4 * 1024;

/// How long a response waits for memory. What is not released by then is held by answers that wait themselves, for an
/// earlier answer or for a slow client.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(250);

/// A permit for one open connection. Released when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl ConnectionPermit {
    /// Acquires a permit, which increments the number of open connections.
    pub(super) fn acquire(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open: open.clone() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// An open connection to an endpoint. It carries one attempt at a time: responses arrive in order, so a fast response
/// could otherwise wait behind a slow one.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    /// Received bytes that are not parsed yet.
    pub(super) buffer: BytesMut,
    /// The most bytes that `buffer` has held.
    most_buffered: usize,
    /// The memory reserved for a buffer of more than [`MAX_KEPT_RESPONSE_BYTES`]; `None` outside responses.
    memory: Option<MemoryPermit>,
    permit: ConnectionPermit,
    /// The latest response; `None` if there was none.
    last_response: Option<LastResponse>,
}

/// When the latest response on a connection was complete, and how long recent responses took.
#[derive(Debug, Clone, Copy)]
struct LastResponse {
    completed_at: Instant,
    /// The maximum of the latest latency and half of the previous value: a cache miss among slow responses is quick.
    latency: Duration,
}

impl Connection {
    /// Creates a connection with an empty buffer.
    pub(super) fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        Self { stream, buffer: BytesMut::new(), most_buffered: 0, memory: None, permit, last_response: None }
    }

    /// Begins a response, whose memory is reserved from `budget`.
    pub(super) fn begin_response(&mut self, budget: &MemoryBudget) {
        self.memory = Some(budget.empty_permit());
    }

    /// Ends a response. Returns the memory that is reserved for the bytes read so far.
    pub(super) fn take_memory(&mut self) -> Option<MemoryPermit> {
        self.memory.take().filter(|memory| memory.bytes() > 0)
    }

    /// Reads once into the buffer. Waits while there is no memory for a larger buffer. Returns the number of bytes; 0 at
    /// the end of the connection.
    ///
    /// # Errors
    /// Returns an error of the socket, or one of kind `OutOfMemory` if there will never be enough memory.
    pub(super) async fn read(&mut self) -> std::io::Result<usize> {
        let length = self.buffer.len();
        if length == 0 && self.buffer.capacity() < RESPONSE_BYTES {
            self.buffer = BytesMut::with_capacity(RESPONSE_BYTES);
        } else if length == self.buffer.capacity() {
            self.replace_buffer((2 * length).max(RESPONSE_BYTES)).await?;
        }
        let space = self.buffer.capacity() - length;
        let bytes = self.stream.read_buf(&mut (&mut self.buffer).limit(space)).await?;
        self.most_buffered = self.most_buffered.max(self.buffer.len());
        Ok(bytes)
    }

    /// Makes room for `bytes` unparsed bytes in all. Reserving all that a response needs at once keeps responses from
    /// waiting for one another's memory.
    ///
    /// # Errors
    /// Returns an error of kind `OutOfMemory` if there is not enough memory in time.
    pub(super) async fn make_room(&mut self, bytes: usize) -> std::io::Result<()> {
        if bytes <= self.buffer.capacity() { Ok(()) } else { self.replace_buffer(bytes).await }
    }

    /// Moves the unparsed bytes to a buffer of this capacity, and reserves its memory.
    async fn replace_buffer(&mut self, capacity: usize) -> std::io::Result<()> {
        if let Some(memory) = &mut self.memory {
            let missing = capacity.saturating_sub(MAX_KEPT_RESPONSE_BYTES + memory.bytes());
            let reserved = timeout(MEMORY_TIMEOUT, memory.grow_when_available(missing)).await;
            if reserved != Ok(true) {
                return Err(ErrorKind::OutOfMemory.into());
            }
        }
        let mut buffer = BytesMut::with_capacity(capacity);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        Ok(())
    }

    /// Makes room for `capacity` bytes in an empty buffer, if the memory is available at once.
    pub(super) fn enlarge_empty_buffer(&mut self, capacity: usize) {
        if !self.buffer.is_empty() || self.buffer.capacity() >= capacity {
            return;
        }
        let Some(memory) = &mut self.memory else { return };
        if memory.try_grow(capacity.saturating_sub(MAX_KEPT_RESPONSE_BYTES + memory.bytes())) {
            self.buffer = BytesMut::with_capacity(capacity);
        }
    }

    /// Replaces a buffer that has grown by one with the rest of its bytes, so that an idle connection does not keep it.
    pub(super) fn release_buffer(&mut self) {
        if self.most_buffered > MAX_KEPT_RESPONSE_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
            self.most_buffered = self.buffer.len();
        }
    }

    /// Records that the response to a request written at `written_at` was read completely.
    pub(super) fn record_response(&mut self, written_at: Instant) {
        let completed_at = Instant::now();
        let previous = self.last_response.map_or(Duration::ZERO, |response| response.latency);
        let latency = completed_at.saturating_duration_since(written_at).max(previous / 2);
        self.last_response = Some(LastResponse { completed_at, latency });
    }

    /// Returns whether a response was read on this connection. A second copy of it may still arrive.
    pub(super) fn has_carried_response(&self) -> bool {
        self.last_response.is_some()
    }

    /// Returns when the connection will have rested for [`REST_PERIOD`] since the latest response; `None` if it may be
    /// used at `now`.
    pub(super) fn rests_until(&self, now: Instant) -> Option<Instant> {
        let until = self.last_response?.completed_at + REST_PERIOD;
        (until > now).then_some(until)
    }

    /// Returns whether a request should wait until the connection has rested, rather than for a new connection: the
    /// endpoint takes longer for a response than the connection rests, so that the wait is short compared with it. A
    /// new connection costs the endpoint work.
    pub(super) fn is_worth_waiting_for(&self) -> bool {
        self.last_response.is_none_or(|response| response.latency > REST_PERIOD)
    }

    /// Returns the stream, and the permit for a connection that replaces this one.
    pub(super) fn into_parts(self) -> (TcpStream, ConnectionPermit) {
        (self.stream, self.permit)
    }

    /// Returns whether no input has arrived since the last response: no bytes, no end of the connection and no error.
    /// Otherwise, the next request could be answered with bytes that followed an earlier response.
    pub(super) fn has_no_input(&self) -> bool {
        self.check_no_input().is_ok()
    }

    /// Checks that no input has arrived since the last response. Returns the input as an error. Peeks at the socket
    /// itself, because the readiness known to the runtime is as old as its last poll.
    pub(super) fn check_no_input(&self) -> Result<(), UnexpectedInput> {
        if !self.buffer.is_empty() {
            return Err(UnexpectedInput::Bytes);
        }
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(UnexpectedInput::Error(error)),
            Ok(0) => Err(UnexpectedInput::End),
            Ok(_) => Err(UnexpectedInput::Bytes),
        }
    }
}

/// Input that has arrived on a connection on which no response is expected.
#[derive(Debug, Error)]
pub(super) enum UnexpectedInput {
    #[error("unexpected bytes")]
    Bytes,
    #[error("closed by the endpoint")]
    End,
    #[error(transparent)]
    Error(std::io::Error),
}
