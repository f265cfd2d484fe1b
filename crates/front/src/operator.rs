//! The admin endpoint for operators: HTTP/1.1 with one call per connection, served without waiting for client traffic.

mod call;
mod connection;
mod response;

use crate::front::Front;
use call::CallHandler;
use connection::Progress;
use gateway::engine::Handle;
use log_throttle::LogThrottle;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// The most connections that are open at a time. Beyond it the oldest silent connection is closed for a new one, so
/// that silent callers do not keep others out. The configuration reserves as many descriptors.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// The pause after a failed accept, when descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connection of one caller.
struct Caller {
    number: u64,
    progress: Rc<Cell<Progress>>,
    task: AbortHandle,
}

/// The state of the admin endpoint. `callers` holds the open connections, oldest first.
struct AdminEndpoint {
    calls: CallHandler,
    callers: RefCell<VecDeque<Caller>>,
    caller_ended: Notify,
    accept_failed: LogThrottle,
    silent_closed: LogThrottle,
}

/// Serves the admin endpoint until the future is dropped.
pub async fn serve(listener: TcpListener, handle: Handle, front: Rc<Front>) {
    let endpoint = Rc::new(AdminEndpoint {
        calls: CallHandler::new(handle, front),
        callers: RefCell::default(),
        caller_ended: Notify::new(),
        accept_failed: LogThrottle::default(),
        silent_closed: LogThrottle::default(),
    });
    for number in 0.. {
        endpoint.wait_for_capacity().await;
        match listener.accept().await {
            Ok((stream, _)) => endpoint.clone().spawn_connection(number, stream),
            Err(error) => endpoint.handle_accept_error(&error).await,
        }
        // Lets a complete call be read before the next connection is accepted, which may close this connection as
        // silent.
        tokio::task::yield_now().await;
    }
}

impl AdminEndpoint {
    /// Waits until another connection may be accepted. At the limit, closes the oldest silent connection.
    async fn wait_for_capacity(&self) {
        while self.callers.borrow().len() >= MAX_ADMIN_CONNECTIONS {
            match self.remove_oldest_silent() {
                Some(caller) => {
                    caller.task.abort();
                    if let Some(suppressed) = self.silent_closed.admit_line() {
                        log::warn!("operators: closed a silent connection for a new one{suppressed}");
                    }
                }
                None => self.caller_ended.notified().await,
            }
        }
    }

    fn remove_oldest_silent(&self) -> Option<Caller> {
        let mut callers = self.callers.borrow_mut();
        let silent = callers.iter().position(|caller| caller.progress.get() == Progress::Waiting)?;
        callers.remove(silent)
    }

    fn spawn_connection(self: Rc<Self>, number: u64, stream: TcpStream) {
        let progress = Rc::new(Cell::new(Progress::Waiting));
        let (endpoint, reported) = (self.clone(), progress.clone());
        let task = tokio::task::spawn_local(async move {
            let answer = |request, until| {
                let endpoint = endpoint.clone();
                async move { endpoint.calls.answer(request, until).await }
            };
            connection::serve(stream, reported, answer).await;
            endpoint.callers.borrow_mut().retain(|caller| caller.number != number);
            endpoint.caller_ended.notify_one();
        });
        self.callers.borrow_mut().push_back(Caller { number, progress, task: task.abort_handle() });
    }

    async fn handle_accept_error(&self, error: &io::Error) {
        if let Some(suppressed) = self.accept_failed.admit_line() {
            log::warn!("operators: accept failed: {error}{suppressed}");
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}
