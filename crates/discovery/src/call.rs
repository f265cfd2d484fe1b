//! One call to the agent: for the whole list, or for a watch, and the lines that a watch brings.

use anyhow::{Result, bail, ensure};
use bytes::BytesMut;
use futures_util::FutureExt;
use proto::ProtoError;
use proto::discovery::{self, EndpointList, ListError, MAX_LIST_BYTES, WatchLine, WatchReader};
use proto::http::{self, BodyEvent, Decoder, ResponseReader};
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::task::yield_now;
use tokio::time::Instant;

/// Bytes that are read at a time.
const READ: usize = 16 * 1024;
/// Reads of a list behind which others have a turn: a list of the largest fleet is worked on a piece at a time.
const READS_A_TURN: usize = 4;

/// An answer of the agent that is none.
#[derive(Debug, thiserror::Error)]
#[error("status {0}")]
struct Status(u16);

/// Whether a call failed because discovery is up and has too much to do.
pub(crate) fn too_busy(error: &anyhow::Error) -> bool {
    error.downcast_ref::<Status>().is_some_and(|it| it.0 == 503 || it.0 == 429)
}

/// Whether a call or a watch failed because what it brought is no list, or one that is too long.
pub(crate) fn unusable(error: &anyhow::Error) -> bool {
    error.is::<ListError>() || error.is::<ProtoError>()
}

/// What it took to read a list.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reading {
    /// Its bytes, those of the answer around it included.
    pub(crate) bytes: usize,
    /// In how many pieces it was read.
    pub(crate) reads: usize,
    /// When the last of them was read.
    pub(crate) last: Instant,
}

impl Reading {
    fn begin() -> Self {
        Self { bytes: 0, reads: 0, last: Instant::now() }
    }

    fn read(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.reads += 1;
        self.last = Instant::now();
    }

    /// Says what a list has taken, up to now: it is handed on.
    pub(crate) fn log(&self, list: &EndpointList) {
        let (revision, members, behind) = (list.revision, list.members.len(), self.last.elapsed());
        let Self { bytes, reads, .. } = self;
        log::debug!(
            "discovery: revision {revision}, {members} members, {bytes} bytes in {reads} reads, \
             handed on {behind:?} behind the last"
        );
    }
}

/// What a call came to.
pub(crate) enum Answered<S> {
    /// The whole list.
    Listed(EndpointList),
    /// A watch from the revision asked for.
    Watching(Watch<S>),
}

/// Asks for the whole list, or for a watch from this revision on.
pub(crate) async fn call<S: AsyncRead + AsyncWrite + Unpin>(
    mut stream: S, addr: SocketAddr, from: Option<u64>,
) -> Result<Answered<S>> {
    let path = match from {
        None => "/v1/endpoints".to_owned(),
        Some(revision) => format!("/v1/endpoints?watch=1&from={revision}"),
    };
    stream.write_all(&http::encode_request("GET", path.as_bytes(), &addr.to_string(), &[])).await?;
    match from {
        None => whole(stream).await.map(Answered::Listed),
        Some(_) => Watch::open(stream).await.map(Answered::Watching),
    }
}

/// Whether others have a turn behind a few reads.
#[derive(Clone, Copy, PartialEq)]
enum Turns {
    Given,
    Kept,
}

async fn read(
    stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut, reading: &mut Reading, turns: Turns,
) -> Result<()> {
    if turns == Turns::Given && reading.reads % READS_A_TURN == READS_A_TURN - 1 {
        yield_now().await;
    }
    buffer.reserve(READ);
    let read = stream.read_buf(buffer).await?;
    ensure!(read > 0, "the connection ended");
    reading.read(read);
    Ok(())
}

async fn whole(mut stream: impl AsyncRead + Unpin) -> Result<EndpointList> {
    let (mut whole, mut buffer, mut reading) =
        (ResponseReader::new(MAX_LIST_BYTES), BytesMut::new(), Reading::begin());
    let (head, body) = loop {
        match whole.next(&mut buffer)? {
            Some(answer) => break answer,
            None => read(&mut stream, &mut buffer, &mut reading, Turns::Given).await?,
        }
    };
    ensure!(head.status == 200, Status(head.status));
    let list = discovery::parse_endpoint_list(&body)?;
    reading.log(&list);
    Ok(list)
}

/// A watch that is open.
pub(crate) struct Watch<S> {
    stream: S,
    decoder: Decoder,
    buffer: BytesMut,
    lines: BytesMut,
    reader: WatchReader,
    /// Since the last line.
    reading: Reading,
}

impl<S: AsyncRead + Unpin> Watch<S> {
    async fn open(stream: S) -> Result<Self> {
        let (decoder, buffer, lines) = (Decoder::default(), BytesMut::new(), BytesMut::new());
        let (reader, reading) = (WatchReader::default(), Reading::begin());
        let mut it = Self { stream, decoder, buffer, lines, reader, reading };
        loop {
            match it.decoder.next(&mut it.buffer)? {
                None => read(&mut it.stream, &mut it.buffer, &mut it.reading, Turns::Given).await?,
                Some(BodyEvent::Head(head)) => {
                    ensure!(head.status == 200, Status(head.status));
                    return Ok(it);
                }
                Some(BodyEvent::Data(_) | BodyEvent::End) => bail!("an answer without a head"),
            }
        }
    }

    /// The next line. Nothing is lost where this is dropped before it is done: what has come stays in the buffers.
    pub(crate) async fn next(&mut self) -> Result<WatchLine> {
        self.line(Turns::Given).await
    }

    /// The next line that has come whole already; none where it has not, or the watch is broken.
    pub(crate) fn next_come(&mut self) -> Option<WatchLine> {
        self.line(Turns::Kept).now_or_never()?.ok()
    }

    async fn line(&mut self, turns: Turns) -> Result<WatchLine> {
        loop {
            if let Some(line) = self.reader.next(&mut self.lines)? {
                let reading = std::mem::replace(&mut self.reading, Reading::begin());
                if let WatchLine::Update(list) = &line {
                    reading.log(list);
                }
                return Ok(line);
            }
            match self.decoder.next(&mut self.buffer)? {
                None => read(&mut self.stream, &mut self.buffer, &mut self.reading, turns).await?,
                Some(BodyEvent::Data(part)) => self.lines.extend_from_slice(&part),
                Some(BodyEvent::End) => bail!("the watch ended"),
                Some(BodyEvent::Head(_)) => bail!("a second head"),
            }
        }
    }
}
