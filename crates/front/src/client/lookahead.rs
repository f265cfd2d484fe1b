//! Reads a client's input, and leaves unread what follows a request whose answer is expected to be a large value.
//!
//! A client sends a request once more that was not read when its connection was closed. One that was read must be
//! answered, which is impossible behind a large value that breaks off.

use super::input::InputBuffer;
use crate::front::Front;
use crate::request::class_of;
use bytes::{BufMut, BytesMut};
use futures_util::FutureExt;
use proto::resp;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;

/// The most bytes that are examined before they are read.
const LOOKAHEAD_BYTES: usize = 1024;

/// Waits for input and reads once. Returns the number of bytes; 0 when the client has closed its sending side.
pub(super) async fn read(
    stream: &mut TcpStream, input: &mut InputBuffer, front: &Front,
) -> io::Result<usize> {
    if !front.handle.expects_large_answers() {
        return stream.read_buf(&mut input.spare()).await;
    }
    loop {
        consume_budget().await; // a client that never stops sending must not occupy the event loop
        stream.readable().await?;
        match try_read(stream, input, front) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Reads once without waiting. Returns the number of bytes; 0 when the client has closed its sending side.
///
/// # Errors
/// Returns an error of kind `WouldBlock` if no input has arrived, or an error of the socket.
pub(super) fn try_read(stream: &TcpStream, input: &mut InputBuffer, front: &Front) -> io::Result<usize> {
    // Of a command longer than this, at most the value is missing; its end is not searched for.
    if !front.handle.expects_large_answers() || input.len() >= LOOKAHEAD_BYTES {
        return stream.try_read_buf(&mut input.spare());
    }
    let mut ahead = [0; LOOKAHEAD_BYTES];
    let peeked = stream.peek(&mut ahead).now_or_never();
    let peeked = peeked.unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()))?;
    if peeked == 0 {
        return Ok(0);
    }
    let length = length_to_read(input, &ahead[..peeked], front);
    stream.try_read_buf(&mut input.spare().limit(length))
}

/// Returns how many of the bytes `ahead` belong to commands up to the first one with a large answer.
fn length_to_read(input: &InputBuffer, ahead: &[u8], front: &Front) -> usize {
    let mut rest = BytesMut::with_capacity(input.len() + ahead.len());
    rest.extend_from_slice(input.bytes());
    rest.extend_from_slice(ahead);
    while let Ok(Some(command)) = resp::decode_command(&mut rest) {
        if class_of(&command, &front.names).is_some_and(|class| front.handle.expects_large_answer(class)) {
            return ahead.len() - rest.len();
        }
    }
    ahead.len()
}
