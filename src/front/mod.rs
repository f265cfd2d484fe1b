//! The platform's RESP front: the listener, and the places for client connections.

mod client;
mod parking;
mod request;

use crate::config::Names;
use crate::engine::Handle;
use crate::seldom::Seldom;
use parking::Parking;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The wait after a failed accept, when descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What all client connections share.
pub struct Front {
    /// The way to the core.
    pub handle: Handle,
    names: Names,
    most: usize,
    open: RefCell<usize>,
    next: RefCell<u64>,
    parking: RefCell<Parking>,
    malformed: Seldom,
    full: Seldom,
    failed: Seldom,
    freed: Notify,
    /// Set when connections are to close as they fall idle.
    pub closing: CancellationToken,
}

impl Front {
    /// A front of at most `most` client connections.
    #[must_use]
    pub fn new(handle: Handle, names: Names, most: usize) -> Rc<Self> {
        Rc::new(Self {
            handle,
            names,
            most,
            open: RefCell::default(),
            next: RefCell::default(),
            parking: RefCell::default(),
            malformed: Seldom::default(),
            full: Seldom::default(),
            failed: Seldom::default(),
            freed: Notify::new(),
            closing: CancellationToken::new(),
        })
    }

    /// Accepts until `stop` fires, then takes what has been dialled already, and lets the listener go.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, mut stop: oneshot::Receiver<()>) {
        loop {
            self.make_room().await;
            tokio::select! {
                biased;
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.clone().serve(stream),
                    Err(error) => {
                        // Guards against a spin on EMFILE: the client stays in the backlog meanwhile.
                        if let Some(more) = self.failed.line() {
                            log::warn!("accepting: {error}{more}");
                        }
                        self.parking.borrow_mut().evict();
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = &mut stop => break,
            }
        }
        while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(5), listener.accept()).await {
            self.clone().serve(stream);
        }
    }

    /// Waits for a place for one more client, at the cost of one that [`Parking::evict`] picks.
    async fn make_room(&self) {
        while *self.open.borrow() >= self.most {
            if !self.parking.borrow_mut().evict() {
                if let Some(more) = self.full.line() {
                    log::warn!("all {} client connections are busy{more}", self.most);
                }
            }
            // Guards against waiting for one that was asked to close just as its next request came.
            let _ = timeout(ACCEPT_PAUSE, self.freed.notified()).await;
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream) {
        *self.open.borrow_mut() += 1;
        *self.next.borrow_mut() += 1;
        let number = *self.next.borrow();
        tokio::task::spawn_local(async move {
            if let Err(error) = client::Client::new(self.clone(), stream, number).run().await {
                log::debug!("client {number}: {error}");
            }
            *self.open.borrow_mut() -= 1;
            self.freed.notify_one();
        });
    }

    /// Waits until no client connection is open.
    pub async fn emptied(&self) {
        while *self.open.borrow() > 0 {
            self.freed.notified().await;
        }
    }

    /// Lets the runtime look at its sockets once more.
    async fn breathe() {
        let mut polled = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut polled, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }
}
