//! Reads and writes a client's socket, and detects that the client has closed its sending side.

use super::input::InputBuffer;
use super::lookahead::read;
use crate::front::Front;
use futures_util::FutureExt;
use std::io;
use std::time::Duration;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The longest time in which a client accepts no byte of a reply before its connection ends.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a connection that is not read is checked for a close by its client: 0.1 s after the close no
/// request may be forwarded for it.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// An event on a client's socket.
pub(super) enum ClientEvent {
    /// Input was read.
    Input,
    /// The client has closed its sending side.
    Closed,
    /// Input has arrived and was not read.
    UnreadInput,
}

/// The events that are awaited on a client's socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// Input is read.
    Read,
    /// Nothing is read; only the close of the client's sending side is awaited.
    WatchForClose,
    /// Nothing is read; the close of the client's sending side or the arrival of input is awaited.
    WatchForInput,
}

/// Returns whether the client has closed its sending side, as far as the runtime was notified, even with unread input.
pub(super) fn has_client_closed(stream: &TcpStream) -> bool {
    let checked = stream.ready(Interest::READABLE).now_or_never();
    checked.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
}

/// Waits until the client has closed its sending side, and reads nothing. The first check is made at once: by the time
/// of the next timer the core would have forwarded a request that arrived together with the close.
pub(super) async fn wait_for_client_close(stream: &TcpStream) {
    while !has_client_closed(stream) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reads into `input`, or waits for the events of `mode` without reading.
pub(super) async fn read_or_watch(
    stream: &mut TcpStream, input: &mut InputBuffer, front: &Front, mode: ReadMode,
) -> io::Result<ClientEvent> {
    if mode == ReadMode::Read {
        let read = read(stream, input, front).await?;
        return Ok(if read == 0 { ClientEvent::Closed } else { ClientEvent::Input });
    }
    while !has_client_closed(stream) {
        if mode == ReadMode::WatchForInput && has_unread_input(stream) {
            return Ok(ClientEvent::UnreadInput);
        }
        sleep(CHECK_INTERVAL).await;
    }
    Ok(ClientEvent::Closed)
}

/// Returns whether input has arrived that was not read.
fn has_unread_input(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).now_or_never().is_some_and(|peeked| peeked.is_ok_and(|bytes| bytes > 0))
}

/// Writes all bytes. Fails when the client closes its sending side, or accepts no byte for [`WRITE_TIMEOUT`]; a client
/// that reads slowly is not cut off.
pub(super) async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => tokio::select! {
                writable = timeout(WRITE_TIMEOUT, stream.writable()) => {
                    writable.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                }
                () = wait_for_client_close(stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
            },
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
