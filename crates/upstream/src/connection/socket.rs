//! An open connection, and the permission to open one.

use bytes::BytesMut;
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpStream;

/// Permission to hold one open connection, released when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl ConnectionPermit {
    /// Takes a permit, which counts as one more open connection.
    pub(super) fn acquire(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open: open.clone() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// An open connection. It carries one attempt at a time: responses arrive in order, and a quick one must not wait for a slow one.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    /// Received bytes that are not parsed yet.
    pub(super) buffer: BytesMut,
    permit: ConnectionPermit,
}

impl Connection {
    /// A new connection.
    pub(super) fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        Self { stream, buffer: BytesMut::new(), permit }
    }

    /// The stream, and the permit for a connection that replaces this one.
    pub(super) fn into_parts(self) -> (TcpStream, ConnectionPermit) {
        (self.stream, self.permit)
    }

    /// Whether nothing has arrived since the last response, neither bytes nor an end. Guards the next request against being
    /// answered with bytes that followed an earlier response.
    pub(super) fn has_no_input(&self) -> bool {
        self.check_no_input().is_ok()
    }

    /// The same, with what has arrived. The system is asked, since the runtime's readiness is as old as its last poll.
    pub(super) fn check_no_input(&self) -> Result<(), UnexpectedInput> {
        if !self.buffer.is_empty() {
            return Err(UnexpectedInput::Bytes);
        }
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(UnexpectedInput::Error(error)),
            Ok(0) => Err(UnexpectedInput::End),
            Ok(_) => Err(UnexpectedInput::Bytes),
        }
    }
}

/// What has arrived on a connection on which no response is due.
#[derive(Debug, Error)]
pub(super) enum UnexpectedInput {
    #[error("unexpected bytes")]
    Bytes,
    #[error("closed by the endpoint")]
    End,
    #[error(transparent)]
    Error(std::io::Error),
}
