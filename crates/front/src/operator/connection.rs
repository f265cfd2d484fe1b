//! Serves one connection of the admin endpoint. hyper reads the call and writes the response. A call to which hyper
//! writes no response is answered here, and the connection is closed so that a reset destroys no response.

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How long a call may take to arrive after the connection opens. The response is due within 1 s.
const CALL_READ_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a call may take until its response is written, after the connection opens.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest buffer for the head of a call, or for a part of its body.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// How long input after a call is read and discarded: closing with unread bytes would reset the connection and destroy
/// the response.
const LINGER_PERIOD: Duration = Duration::from_millis(500);
/// The size of the reads whose bytes are discarded during a lingering close.
const LINGER_READ_BYTES: usize = 4 * 1024;

/// The status of a call that is not valid HTTP or ends early.
const BAD_REQUEST: &str = "400 Bad Request";
/// The status of a call that is not complete in time.
const REQUEST_TIMEOUT: &str = "408 Request Timeout";

/// The progress of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No call has arrived, or the call was answered: the connection may be closed for another one.
    Waiting,
    /// The call is being answered.
    Answering,
}

/// A caller's socket, which records whether bytes were read or written.
struct CallerStream {
    stream: TcpStream,
    has_read: bool,
    has_written: bool,
}

/// Reads a call, answers it with `answer`, and closes the connection.
pub(super) async fn serve<F>(
    stream: TcpStream, progress: Rc<Cell<Progress>>, answer: impl Fn(Request<Incoming>, Instant) -> F,
) where
    F: Future<Output = Response<Full<Bytes>>>,
{
    let opened = Instant::now();
    let service = service_fn(|request| {
        progress.set(Progress::Answering);
        let answer = answer(request, opened + CALL_READ_TIMEOUT);
        Box::pin(async move { Ok::<_, Infallible>(answer.await) })
    });
    let stream = CallerStream { stream, has_read: false, has_written: false };
    // A caller may close its sending side after its call and still read the answer.
    let mut connection = http1::Builder::new()
        .keep_alive(false)
        .half_close(true)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let answered = async {
        tokio::select! {
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                if let Err(error) = ended {
                    log::debug!("operators: {error}");
                }
                BAD_REQUEST
            }
            () = wait_for_overdue_call(opened + CALL_READ_TIMEOUT, &progress) => REQUEST_TIMEOUT,
        }
    };
    let status = timeout_at(opened + CALL_TIMEOUT, answered).await.unwrap_or(REQUEST_TIMEOUT);
    let mut caller = connection.into_parts().io.into_inner();
    progress.set(Progress::Waiting);
    if caller.has_read && !caller.has_written {
        let header = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        let _ = caller.stream.try_write(header.as_bytes()); // fits: nothing was written to the socket before
    }
    let _ = timeout_at(Instant::now() + LINGER_PERIOD, caller.close()).await;
}

/// Waits until `overdue`, then returns if no call has arrived; otherwise never returns.
async fn wait_for_overdue_call(overdue: Instant, progress: &Cell<Progress>) {
    sleep_until(overdue).await;
    if progress.get() == Progress::Answering {
        std::future::pending().await
    }
}

impl CallerStream {
    /// Closes the sending side, then reads until the caller closes its sending side.
    async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut discarded = [0; LINGER_READ_BYTES];
        while self.stream.read(&mut discarded).await? > 0 {}
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.has_read |= buffer.filled().len() > before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.has_written = true;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
