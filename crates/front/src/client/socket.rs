//! Reading and writing of a client's socket, and how it is noticed that the client has left.

use bytes::BytesMut;
use futures_util::FutureExt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a client may accept no byte of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a client that nothing is read from is checked for having left: nothing may be forwarded for it 0.1 s later.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// What a client did.
pub(super) enum ClientEvent {
    /// Bytes were read.
    Bytes,
    /// It has ended its sending.
    End,
    /// It has sent more, which was not read.
    Unread,
}

/// What is waited for on the socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// More is read.
    Read,
    /// Nothing is read; the end of the client's sending is waited for.
    WatchForEnd,
    /// The same, or that the client has sent more.
    WatchForBytes,
}

/// Whether the client has ended its sending, as far as the runtime has been notified: also if bytes before it are unread.
fn has_left(stream: &TcpStream) -> bool {
    let checked = stream.ready(Interest::READABLE).now_or_never();
    checked.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
}

/// Waits until the client has ended its sending, and reads nothing. The first check is made at once: before the next timer
/// fires, the core would forward what arrived together with that end.
pub(super) async fn client_left(stream: &TcpStream) {
    while !has_left(stream) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reads into `input`, or waits for what `mode` says.
pub(super) async fn read_or_watch(
    stream: &mut TcpStream, input: &mut BytesMut, mode: ReadMode,
) -> io::Result<ClientEvent> {
    if mode == ReadMode::Read {
        let read = stream.read_buf(input).await?;
        return Ok(if read == 0 { ClientEvent::End } else { ClientEvent::Bytes });
    }
    while !has_left(stream) {
        if mode == ReadMode::WatchForBytes && has_unread(stream) {
            return Ok(ClientEvent::Unread);
        }
        sleep(CHECK_INTERVAL).await;
    }
    Ok(ClientEvent::End)
}

/// Whether there are unread bytes.
fn has_unread(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).now_or_never().is_some_and(|peeked| peeked.is_ok_and(|bytes| bytes > 0))
}

/// Writes all bytes, as long as the client is there and goes on reading: one that reads slowly is not cut off.
pub(super) async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => tokio::select! {
                writable = timeout(WRITE_TIMEOUT, stream.writable()) => {
                    writable.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                }
                () = client_left(stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
            },
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
