//! Opens connections to the agent, even when the process has run out of file descriptors.

use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Error number of the system for "too many open files".
const EMFILE: i32 = 24;

/// Opens connections to the agent.
pub trait Dial: Clone + 'static {
    /// The type of a connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Opens a connection to `addr`.
    fn dial(&self, addr: SocketAddr) -> LocalBoxFuture<'static, io::Result<Self::Stream>>;
}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static, F> Dial for F
where
    F: Fn(SocketAddr) -> LocalBoxFuture<'static, io::Result<S>> + Clone + 'static,
{
    type Stream = S;
    fn dial(&self, addr: SocketAddr) -> LocalBoxFuture<'static, io::Result<S>> {
        self(addr)
    }
}

/// Opens TCP connections to the agent, and reserves one file descriptor for them.
///
/// The reserve guards against a descriptor limit that is lower than configured. Connections to clients and endpoints
/// then use up all descriptors, and may not release them soon, since they may wait for the changes that discovery would
/// deliver.
#[derive(Debug, Clone)]
pub struct Dialer(Rc<RefCell<Option<File>>>);

impl Dialer {
    /// Creates a dialer that reserves a descriptor if one is available.
    #[must_use]
    pub fn new() -> Self {
        let dialer = Self(Rc::default());
        dialer.reserve_descriptor();
        dialer
    }

    fn reserve_descriptor(&self) {
        let mut reserved = self.0.borrow_mut();
        if reserved.is_none() {
            *reserved = File::open("/dev/null").ok();
        }
    }

    /// Connects to the agent at this address.
    ///
    /// # Errors
    /// When the connection cannot be established.
    pub async fn connect(self, addr: SocketAddr) -> io::Result<Connection> {
        self.reserve_descriptor();
        let (stream, loan) = match TcpStream::connect(addr).await {
            Err(error) if error.raw_os_error() == Some(EMFILE) && self.0.take().is_some() => {
                // No other task can take the descriptor: the new socket is opened without an await in between.
                let loan = DescriptorLoan(self);
                (TcpStream::connect(addr).await?, Some(loan))
            }
            stream => (stream?, None),
        };
        stream.set_nodelay(true)?;
        Ok(Connection { stream, _loan: loan })
    }
}

impl Default for Dialer {
    fn default() -> Self {
        Self::new()
    }
}

/// Marks the reserved descriptor as in use. Dropping this reserves a descriptor again.
#[derive(Debug)]
struct DescriptorLoan(Dialer);

impl Drop for DescriptorLoan {
    fn drop(&mut self) {
        self.0.reserve_descriptor();
    }
}

/// A connection to the agent.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Declared after `stream`, so that the stream is closed before a descriptor is reserved again.
    _loan: Option<DescriptorLoan>,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut task::Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>, cx: &mut task::Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
