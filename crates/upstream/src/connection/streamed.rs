//! A large value that is forwarded as it arrives: the endpoint's connection, lent to the client's until the value is complete.

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

/// How many bytes are read ahead of the client. Bounds the memory of a stream, whatever its size.
const READ_AHEAD: usize = 32 * 1024;
/// How long an endpoint may send nothing within a value before it is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client waits for the endpoint in total, over a whole value. Guards the connection and its client against a value that
/// arrives by a byte now and then and never ends. The time that the client takes itself does not count.
const TOTAL_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A large value of known length. If it is dropped before it is complete, the endpoint's connection is closed.
pub struct StreamedValue {
    length: usize,
    remaining: usize,
    /// What is left of [`TOTAL_READ_TIMEOUT`].
    time_left: Duration,
    source: ValueSource,
}

enum ValueSource {
    Connection {
        connection: Connection,
        /// Hands the connection back.
        return_sender: oneshot::Sender<Connection>,
    },
    /// It was buffered completely, since its length was not stated.
    Memory {
        value: Bytes,
        _memory: MemoryPermit,
    },
    Finished,
}

impl StreamedValue {
    /// A value of this length that the connection delivers. The receiver gets the connection back when the value is complete.
    pub(super) fn from_connection(
        length: usize, connection: Connection,
    ) -> (Self, oneshot::Receiver<Connection>) {
        let (return_sender, returned) = oneshot::channel();
        (Self::new(length, ValueSource::Connection { connection, return_sender }), returned)
    }

    /// A value that was buffered completely.
    pub(super) fn from_memory(value: Bytes, memory: MemoryPermit) -> Self {
        Self::new(value.len(), ValueSource::Memory { value, _memory: memory })
    }

    fn new(length: usize, source: ValueSource) -> Self {
        Self { length, remaining: length, time_left: TOTAL_READ_TIMEOUT, source }
    }

    /// The length of the value.
    #[must_use]
    pub fn length(&self) -> usize {
        self.length
    }

    /// Whether the value has arrived completely.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.source, ValueSource::Memory { .. })
    }

    /// The memory that it needs until it is forwarded, beyond what the memory budget covers.
    #[must_use]
    pub fn read_ahead_bytes(&self) -> usize {
        if self.is_complete() { 0 } else { READ_AHEAD }
    }

    /// Whether all of it has been taken.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.remaining == 0
    }

    /// The bytes that have arrived and were not taken, at least one. To be called while it is not [`StreamedValue::is_finished`].
    ///
    /// # Errors
    /// When the endpoint breaks off or is silent for too long: the rest will not arrive.
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

    /// Takes bytes that [`StreamedValue::next_chunk`] returned. With the last one, the endpoint's connection is handed back.
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
                connection.buffer = BytesMut::from(&connection.buffer[..]); // idle connections keep no large buffers
            }
            let _ = return_sender.send(connection); // its attempt waits for it
        }
    }
}

/// Reads into the connection's empty buffer, and subtracts the time from `time_left`.
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
