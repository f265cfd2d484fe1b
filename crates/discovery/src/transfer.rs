//! Reads from a connection in bounded pieces, and keeps statistics of each received list.

use crate::error::RequestError;
use bytes::BytesMut;
use proto::discovery::EndpointList;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::Instant;

/// The buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// The number of reads after which the task yields. Otherwise the list of a very large set of endpoints would occupy
/// the event loop until it is complete, and delay requests.
const READS_PER_YIELD: usize = 4;

/// Whether reading yields to other tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Yielding {
    /// Yields after every [`READS_PER_YIELD`] reads.
    Periodic,
    /// Never yields: only bytes that have already arrived are read.
    Never,
}

/// Statistics of the transfer of one list.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TransferStats {
    bytes: usize,
    reads: usize,
    last_read: Instant,
}

impl TransferStats {
    pub(crate) fn new() -> Self {
        Self { bytes: 0, reads: 0, last_read: Instant::now() }
    }

    fn record_read(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.reads += 1;
        self.last_read = Instant::now();
    }

    /// Logs the statistics of a complete list.
    pub(crate) fn log(&self, list: &EndpointList) {
        let revision = list.revision;
        let endpoints = list.members.len();
        let delay = self.last_read.elapsed();
        let Self { bytes, reads, .. } = self;
        log::debug!(
            "discovery: received revision {revision}, {endpoints} endpoints, {bytes} bytes in {reads} reads, \
             dispatched {delay:?} after the last read"
        );
    }
}

/// Reads once into the buffer, and yields first if `yielding` requires it.
pub(crate) async fn read_more(
    stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut, stats: &mut TransferStats,
    yielding: Yielding,
) -> Result<(), RequestError> {
    if yielding == Yielding::Periodic && stats.reads % READS_PER_YIELD == READS_PER_YIELD - 1 {
        yield_now().await;
    }
    buffer.reserve(READ_BYTES);
    let read = stream.read_buf(buffer).await?;
    if read == 0 {
        return Err(RequestError::Closed);
    }
    stats.record_read(read);
    Ok(())
}
