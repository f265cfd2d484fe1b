//! One caller's connection: hyper reads its call and writes the answer. What hyper leaves without one is answered here, and
//! the close resets no answer.

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

/// How long a call may take from connecting to its last byte. Its answer is due within 1 s.
pub(super) const CALL_READ: Duration = Duration::from_millis(800);
/// How long it may take to the last byte of its answer.
const CALL_TIME: Duration = Duration::from_secs(2);
/// How long a caller that sends on behind its answer is read from: a close over unread bytes would reset the answer.
const LINGER: Duration = Duration::from_millis(500);
/// What is read meanwhile is thrown away, so many bytes at a time.
const LINGER_READ: usize = 4 * 1024;

const CUT_SHORT: &str = "400 Bad Request";
const TOO_SLOW: &str = "408 Request Timeout";

/// How far a caller has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// Its call has not come, or it has been answered: it gives way to others.
    Waiting,
    /// Its call is being answered.
    Called,
}

/// A caller's socket, and what has gone through it.
struct CallerStream {
    stream: TcpStream,
    has_read: bool,
    has_written: bool,
}

/// Reads a call, has it answered and closes the connection.
pub(super) async fn serve<F>(
    stream: TcpStream, progress: Rc<Cell<Progress>>, answer: impl Fn(Request<Incoming>, Instant) -> F,
) where
    F: Future<Output = Response<Full<Bytes>>>,
{
    let opened = Instant::now();
    let service = service_fn(|request| {
        progress.set(Progress::Called);
        let answer = answer(request, opened + CALL_READ);
        Box::pin(async move { Ok::<_, Infallible>(answer.await) })
    });
    let stream = CallerStream { stream, has_read: false, has_written: false };
    // A caller may end its sending behind its call, and reads on all the same.
    let mut connection = http1::Builder::new()
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let answered = async {
        tokio::select! {
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                if let Err(error) = ended {
                    log::debug!("operators: {error}");
                }
                CUT_SHORT
            }
            () = no_call_until(opened + CALL_READ, &progress) => TOO_SLOW,
        }
    };
    let unanswered = timeout_at(opened + CALL_TIME, answered).await.unwrap_or(TOO_SLOW);
    let mut caller = connection.into_parts().io.into_inner();
    progress.set(Progress::Waiting);
    if caller.has_read && !caller.has_written {
        let head = format!("HTTP/1.1 {unanswered}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        let _ = caller.stream.try_write(head.as_bytes()); // nothing was written before: there is room
    }
    let _ = timeout_at(Instant::now() + LINGER, caller.close()).await;
}

/// Waits until a call is overdue; for ever if it has come.
async fn no_call_until(overdue: Instant, progress: &Cell<Progress>) {
    sleep_until(overdue).await;
    if progress.get() == Progress::Called {
        std::future::pending().await
    }
}

impl CallerStream {
    /// Ends our sending, then reads to the caller's end.
    async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut thrown_away = [0; LINGER_READ];
        while self.stream.read(&mut thrown_away).await? > 0 {}
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
