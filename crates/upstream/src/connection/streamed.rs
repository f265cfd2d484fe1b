//! A large answer on its way: the peer's connection, lent to the client's until the value has been passed on.

use super::Connection;
use crate::memory::MemoryPermit;
use bytes::{Buf, Bytes};
use proto::MAX_BUFFERED_VALUE_BYTES;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// What is read ahead of a client at most. Bounds the memory of a stream, whatever its size.
const WINDOW: usize = 32 * 1024;
/// How long a peer may give nothing in the middle of a value. Until then it is not cut off.
const PEER_TIME: Duration = Duration::from_secs(5);

/// How long a client waits for the peer in all, over a whole value. Guards the connection and its client against a value
/// that comes by a byte now and then and never ends; what the client takes for itself does not count.
const PEER_TIME_IN_ALL: Duration = Duration::from_secs(30);

/// A large answer whose length is known. What has not been taken when it is dropped closes the peer's connection.
pub struct StreamedValue {
    length: usize,
    left: usize,
    patience: Duration,
    source: Source,
}

enum Source {
    Peer {
        connection: Connection,
        /// Hands the connection back.
        back: oneshot::Sender<Connection>,
    },
    /// It was held whole, since its length was not stated.
    Memory {
        value: Bytes,
        _held: MemoryPermit,
    },
    Taken,
}

impl StreamedValue {
    /// A value of this length, of which the connection gives the rest; it is handed back when all has come.
    pub(super) fn of_peer(length: usize, connection: Connection) -> (Self, oneshot::Receiver<Connection>) {
        let (back, connection_back) = oneshot::channel();
        let source = Source::Peer { connection, back };
        (Self { length, left: length, patience: PEER_TIME_IN_ALL, source }, connection_back)
    }

    /// A value that was held whole.
    pub(super) fn of_memory(value: Bytes, held: MemoryPermit) -> Self {
        let (length, source) = (value.len(), Source::Memory { value, _held: held });
        Self { length, left: length, patience: PEER_TIME_IN_ALL, source }
    }

    /// The length of the value.
    #[must_use]
    pub fn length(&self) -> usize {
        self.length
    }

    /// Whether all of it has come already.
    #[must_use]
    pub fn whole(&self) -> bool {
        matches!(self.source, Source::Memory { .. })
    }

    /// The memory that it takes until it is done, beyond what the budget for held values covers.
    #[must_use]
    pub fn window(&self) -> usize {
        if self.whole() { 0 } else { WINDOW }
    }

    /// Whether all of it has been taken.
    #[must_use]
    pub fn done(&self) -> bool {
        self.left == 0
    }

    /// What has come of it and was not taken yet, at least a byte; to be called while it is not [`StreamedValue::done`].
    ///
    /// # Errors
    /// When the peer breaks off, or is silent for too long: the rest will not come.
    pub async fn next(&mut self) -> io::Result<&[u8]> {
        let come = match &mut self.source {
            Source::Peer { connection, .. } => {
                let buffer = &mut connection.buffer;
                if buffer.is_empty() {
                    buffer.reserve(WINDOW);
                    let asked = Instant::now();
                    let time = PEER_TIME.min(self.patience);
                    let read = timeout(time, connection.stream.read_buf(buffer)).await;
                    self.patience = self.patience.saturating_sub(asked.elapsed());
                    if read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                &buffer[..]
            }
            Source::Memory { value, .. } => &value[..],
            Source::Taken => &[],
        };
        Ok(&come[..come.len().min(self.left)])
    }

    /// Takes so many bytes of what [`StreamedValue::next`] gave. With the last one, the peer's connection goes back.
    pub fn take(&mut self, bytes: usize) {
        self.left -= bytes;
        match &mut self.source {
            Source::Peer { connection, .. } => connection.buffer.advance(bytes),
            Source::Memory { value, .. } => value.advance(bytes),
            Source::Taken => {}
        }
        if self.done()
            && let Source::Peer { mut connection, back } = std::mem::replace(&mut self.source, Source::Taken)
        {
            if connection.buffer.capacity() > MAX_BUFFERED_VALUE_BYTES {
                connection.buffer = bytes::BytesMut::from(&connection.buffer[..]); // a pool keeps no windows
            }
            let _ = back.send(connection); // its try waits for it
        }
    }
}

impl fmt::Debug for StreamedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} bytes left", self.left, self.length)
    }
}
