//! An open watch of the endpoint list.

use crate::error::RequestError;
use crate::transfer::{TransferStats, Yielding, read_more};
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::future::select_all;
use proto::discovery::{WatchLine, WatchReader};
use proto::http::{BodyEvent, Decoder};
use std::collections::VecDeque;
use tokio::io::AsyncRead;

/// A watch whose response head has been received.
pub(crate) struct Watch<S> {
    stream: S,
    decoder: Decoder,
    /// Received bytes that were not decoded yet.
    received: BytesMut,
    /// Decoded bytes of the body that do not form a complete line yet.
    body: BytesMut,
    line_reader: WatchReader,
    /// Statistics of the transfer since the last line.
    stats: TransferStats,
}

impl<S: AsyncRead + Unpin> Watch<S> {
    /// Opens a watch on a connection on which the request was sent: reads the head of the response.
    pub(crate) async fn open(stream: S) -> Result<Self, RequestError> {
        let mut watch = Self {
            stream,
            decoder: Decoder::default(),
            received: BytesMut::new(),
            body: BytesMut::new(),
            line_reader: WatchReader::default(),
            stats: TransferStats::new(),
        };
        loop {
            match watch.decoder.next(&mut watch.received)? {
                None => watch.read(Yielding::Periodic).await?,
                Some(BodyEvent::Head(head)) => {
                    RequestError::check_status(head.status)?;
                    return Ok(watch);
                }
                Some(BodyEvent::Data(_) | BodyEvent::End) => return Err(RequestError::MalformedResponse),
            }
        }
    }

    /// Waits for the next line. Cancel safe: received bytes stay in the buffers.
    pub(crate) async fn next_line(&mut self) -> Result<WatchLine, RequestError> {
        self.read_line(Yielding::Periodic).await
    }

    /// Returns the next line if it was completely received; `None` if not, or if the watch is broken.
    pub(crate) fn next_received_line(&mut self) -> Option<WatchLine> {
        self.read_line(Yielding::Never).now_or_never()?.ok()
    }

    async fn read_line(&mut self, yielding: Yielding) -> Result<WatchLine, RequestError> {
        loop {
            if let Some(line) = self.line_reader.next(&mut self.body)? {
                let stats = std::mem::replace(&mut self.stats, TransferStats::new());
                if let WatchLine::Update(list) = &line {
                    stats.log(list);
                }
                return Ok(line);
            }
            match self.decoder.next(&mut self.received)? {
                None => self.read(yielding).await?,
                Some(BodyEvent::Data(part)) => self.body.extend_from_slice(&part),
                Some(BodyEvent::End) => return Err(RequestError::WatchEnded),
                Some(BodyEvent::Head(_)) => return Err(RequestError::MalformedResponse),
            }
        }
    }

    async fn read(&mut self, yielding: Yielding) -> Result<(), RequestError> {
        read_more(&mut self.stream, &mut self.received, &mut self.stats, yielding).await
    }
}

/// Waits for the next line of any of these watches, and returns it with the index of its watch; `None` if no watch is
/// open.
pub(crate) async fn next_line<S: AsyncRead + Unpin>(
    watches: &mut VecDeque<Watch<S>>,
) -> Option<(usize, Result<WatchLine, RequestError>)> {
    if watches.is_empty() {
        return None;
    }
    let lines = watches.iter_mut().map(|watch| Box::pin(watch.next_line()));
    let (line, index, _) = select_all(lines).await;
    Some((index, line))
}
