//! A large value that is forwarded to the client as it arrives on the endpoint's connection.

use super::socket::Connection;
use crate::memory::MemoryPermit;
use bytes::{Buf, Bytes, BytesMut};
use proto::MAX_BUFFERED_VALUE_BYTES;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// The number of bytes that are read ahead of the client. Bounds the memory of a stream of any length.
const READ_AHEAD: usize = 32 * 1024;
/// The timeout of one read: the stream fails if the endpoint sends nothing for this long.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The total time that a client waits for the endpoint, over all reads of a value. Otherwise, an endpoint that sends
/// single bytes could occupy its connection and the client's indefinitely. The time that the client takes to receive
/// the value does not count.
const TOTAL_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A large value of known length. If it is dropped before it is read completely, the endpoint's connection is closed.
pub struct StreamedValue {
    length: usize,
    remaining: usize,
    /// The remainder of [`TOTAL_READ_TIMEOUT`].
    time_left: Duration,
    source: ValueSource,
}

/// The source of the bytes of a value.
enum ValueSource {
    /// The bytes are read from the endpoint's connection.
    Connection {
        connection: Connection,
        /// Returns the connection to its attempt.
        return_sender: oneshot::Sender<Connection>,
    },
    /// The value was buffered completely, because its length was not stated.
    Memory { value: Bytes, _memory: MemoryPermit },
    /// All bytes were consumed, and the connection was returned.
    Finished,
}

impl StreamedValue {
    /// Creates a value of this length that is read from `connection`. The receiver gets the connection back when the
    /// value is complete.
    pub(super) fn from_connection(
        length: usize, connection: Connection,
    ) -> (Self, oneshot::Receiver<Connection>) {
        let (return_sender, returned) = oneshot::channel();
        (Self::new(length, ValueSource::Connection { connection, return_sender }), returned)
    }

    /// Creates a value that was buffered completely.
    pub(super) fn from_memory(value: Bytes, memory: MemoryPermit) -> Self {
        Self::new(value.len(), ValueSource::Memory { value, _memory: memory })
    }

    fn new(length: usize, source: ValueSource) -> Self {
        Self { length, remaining: length, time_left: TOTAL_READ_TIMEOUT, source }
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

    /// Returns whether all bytes have been consumed.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the bytes that have arrived and are not consumed yet. Waits until there is at least one. Must not be
    /// called once [`StreamedValue::is_finished`] returns `true`.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or a read times out. The rest of the value will not arrive.
    pub async fn next_chunk(&mut self) -> io::Result<&[u8]> {
        let available = match &mut self.source {
            ValueSource::Connection { connection, .. } => {
                if connection.buffer.is_empty() {
                    read_ahead(connection, &mut self.time_left).await?;
                }
                &connection.buffer[..]
            }
            ValueSource::Memory { value, .. } => &value[..],
            ValueSource::Finished => &[],
        };
        Ok(&available[..available.len().min(self.remaining)])
    }

    /// Consumes bytes returned by [`StreamedValue::next_chunk`]. After the last byte, the endpoint's connection is
    /// returned to its attempt.
    pub fn consume(&mut self, bytes: usize) {
        self.remaining -= bytes;
        match &mut self.source {
            ValueSource::Connection { connection, .. } => connection.buffer.advance(bytes),
            ValueSource::Memory { value, .. } => value.advance(bytes),
            ValueSource::Finished => {}
        }
        if self.is_finished()
            && let ValueSource::Connection { mut connection, return_sender } =
                std::mem::replace(&mut self.source, ValueSource::Finished)
        {
            if connection.buffer.capacity() > MAX_BUFFERED_VALUE_BYTES {
                // An idle connection must not keep a large buffer.
                connection.buffer = BytesMut::from(&connection.buffer[..]);
            }
            let _ = return_sender.send(connection); // fails if the attempt was dropped
        }
    }
}

/// Reads into the connection's empty buffer, and subtracts the elapsed time from `time_left`.
async fn read_ahead(connection: &mut Connection, time_left: &mut Duration) -> io::Result<()> {
    connection.buffer.reserve(READ_AHEAD);
    let started_at = Instant::now();
    let reading = connection.stream.read_buf(&mut connection.buffer);
    let result = timeout(READ_TIMEOUT.min(*time_left), reading).await;
    *time_left = time_left.saturating_sub(started_at.elapsed());
    match result {
        Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

impl fmt::Debug for StreamedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} bytes left", self.remaining, self.length)
    }
}
