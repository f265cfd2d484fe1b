//! The inventory: an agent of discovery for each balancer, which can be told apart from the others or silenced.

use crate::ground::{any_port, listen};
use crate::journal::Journal;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::timeout;

/// A watch says at least so often that nothing has changed.
const QUIET: Duration = Duration::from_secs(2);
/// The longest line of a request that is read.
const LONGEST_LINE: u64 = 4 * 1024;

/// The phase of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Completes what it has.
    Draining,
    /// Removed.
    Gone,
}

impl Phase {
    fn word(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// A host or the archive, as one balancer is told of it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where that balancer reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind: `m`, or `origin`.
    pub kind: String,
    /// Its phase.
    pub phase: Phase,
    /// Its listed weight.
    pub weight: f64,
    /// Under how many ids it is listed: a stand-in for as many endpoints, which change together.
    pub ids: usize,
}

impl Member {
    fn entries(&self) -> impl Iterator<Item = Value> {
        (0..self.ids).map(|number| {
            let id = if self.ids == 1 { self.name.clone() } else { format!("{}-{number}", self.name) };
            json!({"id": id, "host_port": self.addr.to_string(), "locality": self.zone, "flavor": self.kind,
                   "cell": 0, "phase": self.phase.word(), "size": self.weight, "up_since_ms": 0})
        })
    }
}

/// A list, or a change of it, as discovery words it.
fn list(revision: usize, complete: bool, members: &[Member]) -> Value {
    let members: Vec<_> = members.iter().flat_map(Member::entries).collect();
    json!({"revision": revision, "complete": complete, "members": members})
}

/// In what form an agent tells lists on its watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Form {
    /// Over several lines.
    pub indented: bool,
    /// The whole list in place of each change.
    pub whole: bool,
    /// In pieces of so many bytes; in one, where there is none.
    pub piece: Option<usize>,
}

impl Form {
    fn worded(self, list: &Value) -> String {
        if self.indented { format!("{list:#}") } else { list.to_string() }
    }
}

/// A change that was written to a balancer, or a list with it.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// The balancer.
    pub balancer: usize,
    /// The member.
    pub host: String,
    /// What it is told.
    pub phase: Phase,
    /// When it was written.
    pub at: Instant,
}

#[derive(Debug)]
struct State {
    /// The list at the start.
    first: Vec<Member>,
    /// The first is revision 2: the list before it is revision 1.
    changes: Vec<Member>,
    /// Changes from this one on are held back.
    held_from: Option<usize>,
    /// Watches of a lower number say nothing any more.
    silent_below: u64,
    /// Watches of a lower number are reset.
    reset_below: u64,
    watches: u64,
    form: Form,
}

/// The agent of one balancer.
#[derive(Debug, Clone)]
pub struct Agent {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    balancer: usize,
    state: Mutex<State>,
    changed: watch::Sender<()>,
    asked: Journal<String>,
    told: Journal<Told>,
    /// Bytes of lists and changes written so far, without the heads of answers.
    list_bytes: AtomicU64,
}

impl Agent {
    /// The agent of this balancer, with its first list.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn start(
        handle: &Handle, balancer: usize, members: Vec<Member>, told: Journal<Told>,
    ) -> io::Result<Self> {
        let form = Form::default();
        let state = State {
            first: members,
            changes: Vec::new(),
            held_from: None,
            silent_below: 0,
            reset_below: 0,
            watches: 0,
            form,
        };
        let (state, changed, asked) = (Mutex::new(state), watch::Sender::new(()), Journal::default());
        let list_bytes = AtomicU64::new(0);
        let shared = Arc::new(Shared { balancer, state, changed, asked, told, list_bytes });
        let addr = Self::listen_for(handle, &shared)?;
        Ok(Self { addr, shared })
    }

    fn listen_for(handle: &Handle, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
        let listener = listen(handle, any_port())?;
        let addr = listener.local_addr()?;
        handle.spawn(Arc::clone(shared).accept(listener));
        Ok(addr)
    }

    /// A further address at which the same agent listens: discovery can be moved there.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn further_addr(&self, handle: &Handle) -> io::Result<SocketAddr> {
        Self::listen_for(handle, &self.shared)
    }
    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
    /// The paths that it was asked for.
    #[must_use]
    pub fn asked(&self) -> &Journal<String> {
        &self.shared.asked
    }
    /// Bytes of lists and changes that it has written so far.
    #[must_use]
    pub fn list_bytes(&self) -> u64 {
        self.shared.list_bytes.load(Ordering::Relaxed)
    }
    /// The whole list as it is now, for a balancer that is to start with one known from before.
    #[must_use]
    pub fn list(&self) -> Value {
        self.shared.state().list()
    }
    /// In what form it tells lists from now on.
    pub fn speak(&self, form: Form) {
        self.shared.state().form = form;
    }
    /// Changes a member's phase.
    pub fn change(&self, name: &str, phase: Phase) {
        self.change_all(&[name], phase);
    }
    /// Changes the phase of several members in one list.
    pub fn change_all(&self, names: &[&str], phase: Phase) {
        let mut state = self.shared.state();
        for name in names {
            state.update(name, |member| member.phase = phase);
        }
        drop(state);
        self.shared.changed.send_replace(());
    }
    /// Changes a member in any way.
    pub fn update(&self, name: &str, update: impl FnOnce(&mut Member)) {
        self.shared.state().update(name, update);
        self.shared.changed.send_replace(());
    }
    /// Holds back what changes from now on.
    pub fn hold_back(&self) {
        let mut state = self.shared.state();
        let from = state.changes.len();
        state.held_from.get_or_insert(from);
    }
    /// Tells what was held back.
    pub fn let_go(&self) {
        self.shared.state().held_from = None;
        self.shared.changed.send_replace(());
    }
    /// Resets the watches that are open now.
    pub fn reset_watches(&self) {
        let mut state = self.shared.state();
        state.reset_below = state.watches;
        drop(state);
        self.shared.changed.send_replace(());
    }
    /// The watches open now say nothing any more, and stay open; one begun later speaks.
    pub fn silence(&self) {
        let mut state = self.shared.state();
        state.silent_below = state.watches;
    }
}

impl State {
    fn update(&mut self, name: &str, update: impl FnOnce(&mut Member)) {
        let now = self.behind(self.changes.len());
        if let Some(mut member) = now.into_iter().find(|member| member.name == name) {
            update(&mut member);
            self.changes.push(member);
        }
    }
    /// Changes that may be told.
    fn open(&self) -> usize {
        self.held_from.unwrap_or(self.changes.len())
    }
    /// The members behind so many changes.
    fn behind(&self, changes: usize) -> Vec<Member> {
        let changes = &self.changes[..changes];
        let last = |member: &Member| changes.iter().rfind(|change| change.name == member.name).cloned();
        self.first.iter().map(|member| last(member).unwrap_or_else(|| member.clone())).collect()
    }
    /// The members as far as they may be told.
    fn shown(&self) -> Vec<Member> {
        self.behind(self.open())
    }
    fn list(&self) -> Value {
        let listed = self.shown().into_iter().filter(|it| it.phase != Phase::Gone);
        list(self.open() + 1, true, &listed.collect::<Vec<_>>())
    }
    /// The line that a watch tells next, behind so many changes.
    fn line(&self, news: &[Member]) -> String {
        match news {
            [] => String::new(),
            _ if self.form.whole => self.form.worded(&self.list()),
            _ => self.form.worded(&list(self.open() + 1, false, news)),
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn tell(&self, members: &[Member]) {
        let at = Instant::now();
        for member in members {
            let (host, phase) = (member.name.clone(), member.phase);
            self.told.push(Told { balancer: self.balancer, host, phase, at });
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let shared = Arc::clone(&self);
                // An ended connection is all that an error tells.
                tokio::spawn(async move { drop(shared.answer(stream).await) });
            }
        }
    }

    async fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        (&mut reader).take(LONGEST_LINE).read_line(&mut line).await?;
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let from = path.split_once("watch=1&from=").and_then(|(_, from)| from.parse::<usize>().ok());
        let mut stream = reader.into_inner();
        let Some(from) = from else {
            let (list, shown) = {
                let state = self.state();
                (state.form.worded(&state.list()), state.shown())
            };
            self.asked.push(path);
            self.list_bytes.fetch_add(list.len() as u64, Ordering::Relaxed);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all((head + &list).as_bytes()).await?;
            self.tell(&shown);
            return Ok(());
        };
        self.watch(stream, path, from.saturating_sub(1)).await
    }

    async fn watch(&self, mut stream: TcpStream, path: String, mut next: usize) -> io::Result<()> {
        let number = {
            let mut state = self.state();
            state.watches += 1;
            state.watches - 1
        };
        let mut changed = self.changed.subscribe();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        self.asked.push(path);
        loop {
            let (silent, news, line, open, piece) = {
                let state = self.state();
                if number < state.reset_below {
                    return stream.set_zero_linger();
                }
                let news = state.changes[..state.open()].get(next..).unwrap_or_default().to_vec();
                let line = state.line(&news);
                (number < state.silent_below, news, line, state.open(), state.form.piece)
            };
            if !silent {
                self.list_bytes.fetch_add(line.len() as u64, Ordering::Relaxed);
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                for piece in chunk.as_bytes().chunks(piece.unwrap_or(chunk.len())) {
                    stream.write_all(piece).await?;
                }
                self.tell(&news);
                next = next.max(open);
            }
            let mut end = [0];
            tokio::select! {
                n = stream.read(&mut end) => if !n.is_ok_and(|n| n > 0) { return Ok(()) },
                _ = timeout(QUIET, changed.changed()) => {}
            }
        }
    }
}
