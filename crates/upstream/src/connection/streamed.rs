//! A large value that is forwarded to the client as it arrives on the endpoint's connection.

use super::response::LargeResponse;
use super::socket::Connection;
use crate::memory::{MemoryBudget, MemoryPermit};
use bytes::{Buf, Bytes, BytesMut};
use proto::ProtoError;
use proto::resp::{self, ReplyTail};
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// The number of bytes that are read ahead of the client, while there is memory for them. Bounds the memory of a stream
/// of any length.
const READ_AHEAD: usize = 32 * 1024;
/// The timeout of one read: the stream fails if the endpoint sends nothing for this long.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The total time that a client waits for the endpoint beyond the time that its bytes take at [`MIN_BYTES_PER_SECOND`].
/// Otherwise, an endpoint that sends single bytes could occupy its connection and the client's indefinitely. The time
/// that the client takes to receive the value does not count.
const TOTAL_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// An endpoint that sends a value at this rate or faster is waited for to the end of the value.
const MIN_BYTES_PER_SECOND: f64 = 1024.0;

/// How long the end of a value is held back while the part of the response after its line end is incomplete. Must be
/// less than the 2 s after which a value that is held back counts as lost.
const TAIL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A large value of known length. If it is dropped before [`StreamedValue::finish`] returns, the endpoint's connection
/// is closed.
pub struct StreamedValue {
    length: usize,
    remaining: usize,
    /// The remainder of [`TOTAL_READ_TIMEOUT`].
    time_left: Duration,
    /// When the head of the response had been read.
    started_at: Instant,
    /// How long after `started_at` the request must be answered.
    time_limit: Duration,
    source: ValueSource,
}

/// The source of the bytes of a value.
enum ValueSource {
    /// The bytes are read from the endpoint's connection.
    Connection {
        connection: Connection,
        /// When the request was written.
        written_at: Instant,
        /// The rest of the response after the value.
        end: ValueEnd,
        /// Tells the attempt how the response has ended.
        end_sender: oneshot::Sender<StreamEnd>,
    },
    /// The value was buffered completely, because its length was not stated.
    Memory { value: Bytes, _memory: MemoryPermit },
}

/// What follows a value in its response.
#[derive(Debug, Clone, Copy)]
enum ValueEnd {
    /// Nothing: the response ends with the value.
    Nothing,
    /// The line end of the value, and then the tail.
    LineEnd(ReplyTail),
}

/// How the response with a streamed value has ended. Not sent if the connection broke or the value was dropped.
#[derive(Debug)]
pub(super) enum StreamEnd {
    /// The value is complete. Contains the connection if the response is complete too.
    Complete(Option<Connection>),
    /// The bytes after the value are malformed, so its stated length may be wrong.
    Malformed(ProtoError),
}

/// Why the end of a response could not be read.
enum EndError {
    Io(io::Error),
    Malformed(ProtoError),
}

impl From<io::Error> for EndError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<ProtoError> for EndError {
    fn from(error: ProtoError) -> Self {
        Self::Malformed(error)
    }
}

impl StreamedValue {
    /// Creates the value of `head`, which is read from `connection`. The receiver gets the connection back when the
    /// response is complete.
    pub(super) fn from_connection(
        head: &LargeResponse, connection: Connection, written_at: Instant,
    ) -> (Self, oneshot::Receiver<StreamEnd>) {
        let (end_sender, ended) = oneshot::channel();
        let end = head.tail.map_or(ValueEnd::Nothing, ValueEnd::LineEnd);
        (Self::new(head.length, ValueSource::Connection { connection, written_at, end, end_sender }), ended)
    }

    /// Creates a value that was buffered completely.
    pub(super) fn from_memory(value: Bytes, memory: MemoryPermit) -> Self {
        Self::new(value.len(), ValueSource::Memory { value, _memory: memory })
    }

    fn new(length: usize, source: ValueSource) -> Self {
        let (started_at, time_limit) = (Instant::now(), Duration::ZERO);
        Self { length, remaining: length, time_left: TOTAL_READ_TIMEOUT, started_at, time_limit, source }
    }

    /// Sets the deadline of the request that this value answers.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.time_limit = deadline.saturating_duration_since(self.started_at);
    }

    /// Returns how long the request could be answered when the value arrived. The time for which the value has waited
    /// behind earlier answers of its connection does not count.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        self.time_limit
    }

    /// Reads the whole value into memory reserved from `budget`, and returns it as a complete one. Waits while the
    /// budget has too few bytes left.
    ///
    /// # Errors
    /// Returns an error if the value does not arrive whole, or if it is larger than the budget.
    pub async fn buffer(mut self, budget: &MemoryBudget) -> io::Result<Self> {
        if self.is_complete() {
            return Ok(self);
        }
        let memory = budget.reserve_when_available(self.length).await.ok_or(io::ErrorKind::OutOfMemory)?;
        let mut value = BytesMut::with_capacity(self.length);
        while !self.is_consumed() {
            let bytes = self.next_chunk().await?;
            let count = bytes.len();
            value.extend_from_slice(bytes);
            self.consume(count);
        }
        self.finish().await?;
        Ok(Self::from_memory(value.freeze(), memory))
    }

    /// Returns the length of the value.
    #[must_use]
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns whether the value has been buffered completely.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.source, ValueSource::Memory { .. })
    }

    /// Returns the memory in bytes that the value needs while it is forwarded, except for memory reserved from the
    /// memory budget.
    #[must_use]
    pub fn read_ahead_bytes(&self) -> usize {
        if self.is_complete() { 0 } else { READ_AHEAD }
    }

    /// Returns whether all bytes have been consumed. [`StreamedValue::finish`] tells whether the value is complete.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the bytes that have arrived and are not consumed yet. Waits until there is at least one. Must not be
    /// called once [`StreamedValue::is_consumed`] returns `true`.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or a read times out. The rest of the value will not arrive.
    pub async fn next_chunk(&mut self) -> io::Result<&[u8]> {
        let available = match &mut self.source {
            ValueSource::Connection { connection, .. } => {
                if connection.buffer.is_empty() {
                    read_more(connection, &mut self.time_left).await?;
                }
                &connection.buffer[..]
            }
            ValueSource::Memory { value, .. } => &value[..],
        };
        Ok(&available[..available.len().min(self.remaining)])
    }

    /// Consumes bytes returned by [`StreamedValue::next_chunk`].
    pub fn consume(&mut self, bytes: usize) {
        self.remaining -= bytes;
        match &mut self.source {
            ValueSource::Connection { connection, .. } => connection.buffer.advance(bytes),
            ValueSource::Memory { value, .. } => value.advance(bytes),
        }
    }

    /// Checks that the value ends where its stated length says, by the rest of the response. Returns the endpoint's
    /// connection to its attempt. Call it when all bytes have been consumed; until it returns `Ok`, the client must not
    /// get the end of the value.
    ///
    /// # Errors
    /// Returns an error if the rest of the response is malformed, if the connection breaks, or if the line end of the
    /// value does not arrive in time. The bytes of the value may be wrong.
    pub async fn finish(self) -> io::Result<()> {
        let ValueSource::Connection { mut connection, written_at, end, end_sender } = self.source else {
            return Ok(());
        };
        let is_complete = match read_end(&mut connection, end, self.time_left).await {
            Ok(is_complete) => is_complete,
            Err(EndError::Io(error)) => return Err(error),
            Err(EndError::Malformed(error)) => {
                let _ = end_sender.send(StreamEnd::Malformed(error)); // fails if the attempt was dropped
                return Err(io::Error::new(io::ErrorKind::InvalidData, error));
            }
        };
        connection.record_response(written_at);
        let _ = end_sender.send(StreamEnd::Complete(is_complete.then_some(connection)));
        Ok(())
    }
}

/// Reads the rest of a response after its value. Returns `false` if the line end of the value has arrived, but the rest
/// was still incomplete after [`TAIL_TIMEOUT`].
async fn read_end(
    connection: &mut Connection, end: ValueEnd, mut time_left: Duration,
) -> Result<bool, EndError> {
    let ValueEnd::LineEnd(tail) = end else { return Ok(true) };
    while resp::decode_value_end(&mut connection.buffer)?.is_none() {
        read_more(connection, &mut time_left).await?;
    }
    let read_tail = async {
        while resp::decode_reply_tail(&mut connection.buffer, tail)?.is_none() {
            read_more(connection, &mut time_left).await?;
        }
        Ok(())
    };
    match timeout(TAIL_TIMEOUT, read_tail).await {
        Ok(result) => result.map(|()| true),
        Err(_) => Ok(false),
    }
}

/// Reads into the connection's buffer, and subtracts the elapsed time from `time_left`.
async fn read_more(connection: &mut Connection, time_left: &mut Duration) -> io::Result<()> {
    connection.enlarge_empty_buffer(READ_AHEAD);
    let started_at = Instant::now();
    let result = timeout(READ_TIMEOUT.min(*time_left), connection.read()).await;
    *time_left = time_left.saturating_sub(started_at.elapsed());
    match result {
        Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(Ok(bytes)) => {
            let earned = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
            *time_left = (*time_left + earned).min(TOTAL_READ_TIMEOUT);
            Ok(())
        }
        Ok(Err(error)) => Err(error),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

impl fmt::Debug for StreamedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} bytes left", self.remaining, self.length)
    }
}
