//! One try: dial if need be, write the request, read the answer, within its time.

use super::answers::{Broken, Read, read_http, read_resp, read_tail};
use super::{Connection, ConnectionChoice, DialPlace, StreamedValue};
use crate::call::Call;
use crate::endpoints::Endpoint;
use crate::memory::MemoryBudget;
use bytes::{Buf, Bytes, BytesMut};
use decide::api::Outcome;
use log_throttle::LogThrottle;
use proto::{http, resp};
use std::cell::Cell;
use std::future::{pending, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// One attempt of a request at one peer.
#[derive(Debug)]
pub struct Attempt {
    /// Where to.
    pub peer: Rc<Endpoint>,
    /// What is asked.
    pub call: Rc<Call>,
    /// On what.
    pub line: ConnectionChoice,
    /// How long a dial may take.
    pub dial: Duration,
    /// When the balancer stops waiting.
    pub until: Instant,
    /// Whether it may still be sent on.
    pub permit: Permit,
    /// Whether it must never run twice: its last byte is then held back until the connection has shown no fault.
    pub fragile: bool,
    /// What it may log.
    pub lines: Rc<AttemptLogThrottles>,
    /// The room for answers that must be held whole though they are large.
    pub budget: MemoryBudget,
    /// Counts those that were written whole.
    pub written: Rc<Cell<u64>>,
}

/// Whether a try may still be sent on. It is asked until the request's last byte is written: a server runs nothing before
/// that, and the dial, a slow peer and the hold-back all come between the decision to send and that byte.
#[derive(Debug, Clone)]
pub struct Permit {
    /// Whether the request is still owed an answer: its client has not left, and nothing else has answered it.
    pub owed: Rc<Cell<bool>>,
    /// For a repeat that is dropped inside a window only: when that is over.
    pub by: Option<Instant>,
}

impl Permit {
    /// Why it may not be sent on any more, if so. The time of a try is looked at too: the dial, or the peer's window, may
    /// open in the very moment in which it is over.
    fn lapsed(&self, until: Instant) -> Option<Unsent> {
        let now = Instant::now();
        let lapsed = !self.owed.get() || self.by.is_some_and(|by| now >= by);
        if lapsed { Some(Unsent::Lapsed) } else { (now >= until).then_some(Unsent::Late) }
    }
}

/// Log lines that peers can cause at any rate.
#[derive(Debug, Default)]
pub struct AttemptLogThrottles {
    bad_answer: LogThrottle,
    pub(super) refused: LogThrottle,
    none_to_spare: LogThrottle,
    pub(super) no_room: LogThrottle,
    /// Answers given after their time.
    pub late: LogThrottle,
}

/// How a try ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// What was served.
    pub value: Bytes,
    /// The same where it is large and was held whole.
    pub large: Option<Box<StreamedValue>>,
    /// On a miss: another fetch of the key is out.
    pub pending: bool,
    /// It was lost with its connection, which tells nothing of the peer: one that was used before broke without a byte
    /// of an answer, or one that was open broke before the request was written whole.
    pub stale: bool,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
}

/// How long the last byte of a fragile request is held back. A server runs nothing before it, so that a connection which
/// breaks meanwhile proves that the request never ran: most that break do so within a round trip of the first bytes.
const HELD_BACK: Duration = Duration::from_micros(2_500);

/// How far a try has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Opening,
    Writing,
    Written,
    /// Its answer is the client's now: neither its time nor a cancel ends it.
    Begun,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        let (value, large) = Default::default();
        Self { outcome, value, large, pending: false, stale: false, connection: None }
    }
}

impl Attempt {
    /// Runs the try. When it returns without its connection, that is already closed: nothing of it is out. `begun` is handed a
    /// large answer whose value follows: the try has served from then on, and ends when that has come.
    pub async fn run(
        self, cancelled: oneshot::Receiver<()>, begun: impl FnOnce(Box<StreamedValue>),
    ) -> AttemptResult {
        let (until, by, stage) = (self.until, self.permit.by, Cell::new(Stage::Opening));
        let exchange = self.exchange(&stage, begun);
        tokio::pin!(exchange);
        let given_up = tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled,
            () = over(by, &stage) => Outcome::NotSent,
            ended = timeout_at(until, &mut exchange) => match ended {
                Ok(ended) => return ended,
                Err(_) => Outcome::Timeout,
            }
        };
        let ended = if stage.get() == Stage::Begun { exchange.await } else { given_up.into() };
        match (ended.outcome, stage.get()) {
            // The request's time ended before the dial's did: that is no proof of an unreachable peer.
            (Outcome::Timeout, Stage::Opening) => Outcome::NotSent.into(),
            // Guards writes that never went out whole against counting as perhaps run.
            (Outcome::Timeout, Stage::Writing) => Outcome::ConnectFailed.into(),
            _ => ended,
        }
    }

    async fn exchange(self, stage: &Cell<Stage>, begun: impl FnOnce(Box<StreamedValue>)) -> AttemptResult {
        let reused = matches!(self.line, ConnectionChoice::Open(_));
        let mut connection = match open(self.line, &self.peer, self.dial, &self.lines).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        if !self.peer.ready() {
            return Outcome::Rejected.into(); // guards drains: it began to drain or went while we dialled
        }
        if self.permit.lapsed(self.until).is_some() {
            return AttemptResult { connection: Some(connection), ..Outcome::NotSent.into() }; // it serves another
        }
        let ms = self.until.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
        let (head, body) = if self.peer.origin {
            http_request(&self.call, &self.peer, ms)
        } else {
            resp_request(&self.call, ms)
        };
        stage.set(Stage::Writing);
        let mut message = Buf::chain(&head[..], body);
        let lapsed = || self.permit.lapsed(self.until);
        let written = async {
            if self.fragile {
                let but_one = message.remaining() - 1;
                write(&mut connection, &mut (&mut message).take(but_one), lapsed).await?;
                holds(&connection).await?;
            }
            write(&mut connection, &mut message, lapsed).await
        };
        match written.await {
            Ok(()) => {}
            Err(Unsent::Lapsed) => return Outcome::NotSent.into(),
            Err(Unsent::Late) => return Outcome::ConnectFailed.into(),
            // The peer had taken the connection: that it broke is no proof of an unreachable one.
            Err(Unsent::Broken) => return AttemptResult { stale: true, ..Outcome::ConnectFailed.into() },
        }
        stage.set(Stage::Written);
        self.written.set(self.written.get() + 1);
        let answer = if self.peer.origin {
            read_http(&mut connection, &self.budget, &self.peer.name, &self.lines).await
        } else {
            read_resp(&mut connection, &self.peer.name, &self.lines).await
        };
        match answer {
            Ok(Read::Whole(ended, keep)) => AttemptResult { connection: keep.then_some(connection), ..ended },
            Ok(Read::Large { length, keep, tail }) => {
                let (streamed, back) = StreamedValue::of_peer(length, connection);
                stage.set(Stage::Begun);
                begun(Box::new(streamed));
                // One that does not come back broke off in the value, or its client did.
                let Ok(connection) = back.await else { return Outcome::Reset.into() };
                let connection = if keep { read_tail(connection, tail).await } else { None };
                AttemptResult { connection, ..Outcome::Ok.into() }
            }
            Err(Broken::Reset) => {
                AttemptResult { stale: reused && connection.buffer.is_empty(), ..Outcome::Reset.into() }
            }
            Err(Broken::Malformed(error)) => {
                if let Some(more) = self.lines.bad_answer.line() {
                    log::warn!("peer {}: bad answer: {error}{more}", self.peer.name);
                }
                Outcome::Error.into()
            }
        }
    }
}

async fn open(
    line: ConnectionChoice, peer: &Endpoint, time: Duration, lines: &AttemptLogThrottles,
) -> Result<Connection, Outcome> {
    match line {
        ConnectionChoice::Open(connection) if connection.quiet() => Ok(connection),
        // Something came between the choice of the connection and now: another takes its place.
        ConnectionChoice::Open(Connection { _place: place, .. }) => {
            dial(DialPlace(place), peer, time).await.ok_or(Outcome::ConnectFailed)
        }
        ConnectionChoice::Dial(place) => dial(place, peer, time).await.ok_or(Outcome::ConnectFailed),
        ConnectionChoice::None => {
            // Our own limit, never sent: it says nothing of the peer's health, and another is no nearer.
            if let Some(more) = lines.none_to_spare.line() {
                log::warn!("peer {}: no connection to spare{more}", peer.name);
            }
            Err(Outcome::NotSent)
        }
    }
}

/// Opens a connection within `time`.
pub async fn dial(place: DialPlace, peer: &Endpoint, time: Duration) -> Option<Connection> {
    match timeout(time, TcpStream::connect(peer.addr)).await {
        Ok(Ok(stream)) => {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("peer {}: dialled, and broken: {error}", peer.name);
                return None;
            }
            let connection = Connection { stream, buffer: BytesMut::new(), _place: place.0 };
            if let Err(heard) = connection.heard_nothing() {
                // Whatever speaks first would be taken for an answer.
                log::debug!("peer {}: dialled, and not quiet: {heard}", peer.name);
                return None;
            }
            Some(connection)
        }
        Ok(Err(error)) => {
            log::debug!("peer {}: dialling: {error}", peer.name);
            None
        }
        Err(_) => None,
    }
}

fn resp_request(call: &Call, ms: u64) -> (BytesMut, Bytes) {
    let (mut head, options) = (BytesMut::with_capacity(256), call.options_with_time(ms));
    let mut words: Vec<&[u8]> = vec![&call.command, &call.key, &call.id, &options];
    words.extend(call.value.as_deref());
    resp::encode_command(&mut head, &words);
    (head, Bytes::new())
}

fn http_request(call: &Call, peer: &Endpoint, ms: u64) -> (BytesMut, Bytes) {
    let (path, host) = ([b"/", &call.key[..]].concat(), peer.addr.to_string());
    let options = call.options_with_time(ms);
    let headers: [(&str, &[u8]); 2] = [("Req-Id", &call.id), ("Req-Extra", &options)];
    match &call.value {
        None => (http::encode_request("GET", &path, &host, &headers), Bytes::new()),
        Some(value) => {
            let length = value.len().to_string();
            let [id, extra] = headers;
            let headers = [id, extra, ("Content-Length", length.as_bytes())];
            (http::encode_request("PUT", &path, &host, &headers), value.clone())
        }
    }
}

/// Why a request was not written whole: either way it never ran.
enum Unsent {
    /// Nobody waits for it, or it might run a second time.
    Lapsed,
    /// The try's time is over.
    Late,
    Broken,
}

/// Writes a message, or its rest. The permit is asked in front of every piece: it may lapse while the peer takes none.
async fn write(
    connection: &mut Connection, message: &mut impl Buf, lapsed: impl Fn() -> Option<Unsent>,
) -> Result<(), Unsent> {
    let mut waited = false;
    while message.has_remaining() {
        let piece = poll_fn(|cx| {
            if let Some(why) = lapsed() {
                return Poll::Ready(Err(why));
            }
            // Guards against what comes before the request is whole: it is no answer to it.
            if std::mem::replace(&mut waited, true) && !connection.quiet() {
                return Poll::Ready(Err(Unsent::Broken));
            }
            let written = ready!(pin!(connection.stream.write_buf(message)).poll(cx));
            Poll::Ready(written.map_err(|_| Unsent::Broken))
        });
        piece.await?;
    }
    Ok(())
}

/// Waits until a window is over, for as long as the request is not written whole.
async fn over(by: Option<Instant>, stage: &Cell<Stage>) {
    match by {
        Some(by) => sleep_until(by).await,
        None => pending().await,
    }
    if stage.get() >= Stage::Written {
        pending().await
    }
}

/// Waits for a while; an error if the connection breaks, or says anything, before it was asked anything whole.
async fn holds(connection: &Connection) -> Result<(), Unsent> {
    match timeout(HELD_BACK, connection.stream.peek(&mut [0])).await {
        Err(_) => Ok(()),
        Ok(_) => Err(Unsent::Broken),
    }
}
