//! The following itself: the watch, the calls that are out beside it, and what is made of their answers.
//!
//! One [`Agent`] owns all that is open to one address; `docs/design/crossings-parse_endpoint_list.md` has its states by what may come.

use crate::call::{Answered, Watch, call, too_busy, unusable};
use crate::held::Held;
use crate::pace::{Failure, MOST_LINES, MOST_WATCHES, MOVED, Pace, Way};
use anyhow::{Context, Result};
use futures_util::StreamExt;
use futures_util::future::{LocalBoxFuture, OptionFuture, select_all};
use futures_util::stream::FuturesUnordered;
use proto::discovery::{EndpointList, WatchEvent, WatchLine};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// A way to reach the agent.
pub trait Dial: Clone + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Connects.
    fn dial(&self, addr: SocketAddr) -> LocalBoxFuture<'static, Result<Self::Stream>>;
}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static, F> Dial for F
where
    F: Fn(SocketAddr) -> LocalBoxFuture<'static, Result<S>> + Clone + 'static,
{
    type Stream = S;
    fn dial(&self, addr: SocketAddr) -> LocalBoxFuture<'static, Result<S>> {
        self(addr)
    }
}

/// Follows discovery for ever, at the address named last. The list stays as it is until another one has come. One known
/// from before is brought up to date by the watch alone: one call in place of two, when a hundred balancers start at once.
///
/// After a move the agent before is heard until the new one has told its list, since what it says still counts as told. What it
/// has told holds as well against a new one that is behind it ([`Held`]).
pub async fn follow<D: Dial>(
    mut found_at: watch::Receiver<SocketAddr>, known: Option<EndpointList>, way: Way, balancers: u32,
    dial: D, news: impl Fn(WatchEvent),
) {
    let pace = || Pace::new(way, balancers);
    let revision = known.as_ref().map(|list| list.revision);
    let mut current = Agent::new(*found_at.borrow_and_update(), revision, pace(), dial.clone());
    let mut former: Option<Agent<D>> = None;
    let mut held = Held::new(known);
    loop {
        let heard_before = OptionFuture::from(former.as_mut().map(Agent::next));
        tokio::select! {
            biased; // what the agent before has said already goes before the list that ends it
            Some(told) = heard_before => news(match told {
                WatchEvent::List(list) => WatchEvent::List(held.told_before(list)),
                other => other,
            }),
            told = current.next() => news(match told {
                WatchEvent::List(list) => {
                    former = None;
                    WatchEvent::List(held.told(list, Instant::now()))
                }
                other => other,
            }),
            Ok(()) = found_at.changed() => {
                let addr = *found_at.borrow_and_update();
                if addr == current.addr {
                    continue; // moved away and back before it was seen: what is open is sound
                }
                let before = std::mem::replace(&mut current, Agent::new(addr, None, pace(), dial.clone()));
                // Of two moves in a row, the one that has told something is the one to hear on.
                former = former.or(Some(before)).map(Agent::retired);
                held.moved();
            }
        }
    }
}

type Calls<S> = FuturesUnordered<LocalBoxFuture<'static, Result<Answered<S>>>>;

/// The agent at one address. A broken watch is begun again from the last revision; an agent at another address counts
/// its own revisions, so that its first answer is a whole list.
struct Agent<D: Dial> {
    addr: SocketAddr,
    dial: D,
    pace: Pace,
    revision: Option<u64>,
    /// The watch that spoke last, and behind it one that was asked for as that fell silent, and has given its head alone.
    /// The first of them to speak is kept.
    watches: VecDeque<Watch<D::Stream>>,
    /// Told on a watch that was closed since, and not handed on as yet.
    due: VecDeque<EndpointList>,
    calls: Calls<D::Stream>,
    asked_at: Instant,
    /// When the next call is made; at a sound watch, when its silence counts.
    ask_at: Instant,
    silence_said: bool,
    /// Where discovery has moved away from it: until when it is asked anew. It is heard on after that.
    asked_until: Option<Instant>,
}

impl<D: Dial> Agent<D> {
    fn new(addr: SocketAddr, revision: Option<u64>, pace: Pace, dial: D) -> Self {
        let (watches, due, calls, now) = (VecDeque::new(), VecDeque::new(), Calls::new(), Instant::now());
        let (asked_at, ask_at, asked_until) = (now, now, None);
        let silence_said = false;
        Self { addr, dial, pace, revision, watches, due, calls, asked_at, ask_at, silence_said, asked_until }
    }

    fn retired(mut self) -> Self {
        self.asked_until.get_or_insert_with(|| Instant::now() + MOVED);
        self
    }

    fn may_ask(&self) -> bool {
        let room = self.calls.len() < self.pace.most_calls();
        room && self.asked_until.is_none_or(|until| self.ask_at < until)
    }

    /// The next news. Nothing is lost where this is dropped before it is done.
    async fn next(&mut self) -> WatchEvent {
        loop {
            if let Some(list) = self.due.pop_front() {
                return self.took(list);
            }
            let may_ask = self.may_ask();
            tokio::select! {
                biased; // what has come goes before what is asked for; a call's answer first, since a line closes the calls
                Some(answered) = self.calls.next() => match answered {
                    Ok(answered) => return self.answered(answered),
                    // Beside others that are out, one that failed changes nothing: the next is due already.
                    Err(error) if self.calls.is_empty() => self.back_off(&error),
                    Err(_) => {}
                },
                Some((at, line)) = next_line(&mut self.watches) => match line {
                    Ok(line) => self.spoke(at, line),
                    Err(error) => self.broke(at, &error),
                },
                () = sleep_until(self.ask_at), if may_ask => self.ask(),
                else => std::future::pending().await, // not asked any more, and its watch has ended
            }
        }
    }

    /// A whole line or list has come. Other calls end with that, so that a watch never begins behind what was told already.
    fn sound(&mut self) {
        self.pace.sound();
        self.opened();
    }

    fn opened(&mut self) {
        self.calls.clear();
        self.silence_said = false;
        self.ask_at = Instant::now() + self.pace.silence(fastrand::f64());
    }

    /// One watch is kept: that which has told the latest, or else spoke first. What has come on the other counts as told, and
    /// is taken off it before it is closed; and off both, so that which is the latest is known.
    fn spoke(&mut self, at: usize, line: WatchLine) {
        let mut spoken = vec![(at, line)];
        let doubted = self.watches.len() > 1;
        for (from, watch) in self.watches.iter_mut().enumerate().filter(|_| doubted) {
            let lines = std::iter::from_fn(|| watch.next_come()).take(MOST_LINES);
            spoken.extend(lines.map(|line| (from, line)));
        }
        let lists = spoken.into_iter().filter_map(|(from, line)| match line {
            WatchLine::Update(list) => Some((from, list)),
            WatchLine::KeepAlive => None,
        });
        let mut lists: Vec<_> = lists.collect();
        lists.sort_by_key(|(_, list)| list.revision);
        let kept = lists.last().map_or(at, |(from, _)| *from);
        self.watches = self.watches.remove(kept).into_iter().collect();
        self.due.extend(lists.into_iter().map(|(_, list)| list));
        self.sound();
    }

    fn broke(&mut self, at: usize, error: &anyhow::Error) {
        self.watches.remove(at);
        // Where a call is out or a watch was opened since, what this one missed is asked for already.
        if self.calls.is_empty() && at == self.watches.len() {
            self.back_off(error);
        }
    }

    fn answered(&mut self, answered: Answered<D::Stream>) -> WatchEvent {
        match answered {
            Answered::Listed(list) => {
                log::info!("discovery: revision {}, {} members", list.revision, list.members.len());
                self.sound();
                self.ask_at = Instant::now();
                self.took(list)
            }
            Answered::Watching(watch) => {
                let doubted = !self.watches.is_empty();
                self.watches.push_back(watch);
                while self.watches.len() > MOST_WATCHES {
                    self.watches.pop_front();
                }
                // A head tells nothing: beside a watch that fell silent it may be one more that does.
                match self.pace.unspoken() {
                    _ if !doubted => self.opened(),
                    Some(unspoken) => {
                        self.calls.clear();
                        self.ask_at = Instant::now() + unspoken;
                    }
                    None => {}
                }
                WatchEvent::Subscribed
            }
        }
    }

    /// Takes in a list. A change that goes back counts from a list that is not held, as after a restart of the agent: it is
    /// told, since it is the latest, and the whole list is asked for.
    fn took(&mut self, list: EndpointList) -> WatchEvent {
        let back = !list.complete && self.revision.is_some_and(|held| list.revision < held);
        self.revision = (!back).then_some(list.revision);
        if back {
            log::warn!("discovery: went back to revision {}; asking for the whole list", list.revision);
            self.watches.clear();
            self.ask_at =
                Instant::now() + self.pace.backoff(Failure::NoAnswer, Duration::ZERO, fastrand::f64());
        }
        WatchEvent::List(list)
    }

    /// Makes a call, beside those that are out where calls are free.
    fn ask(&mut self) {
        if !self.watches.is_empty() && !self.silence_said {
            self.silence_said = true;
            log::warn!("discovery: the watch is silent; asking anew");
        }
        let (dialling, addr, from) = (self.dial.dial(self.addr), self.addr, self.revision);
        let (up, most) = (self.pace.dial(), self.pace.answer());
        self.calls.push(Box::pin(async move {
            let calling = async {
                let stream = timeout(up, dialling).await.context("dialling: silence")??;
                call(stream, addr, from).await
            };
            timeout(most, calling).await.context("silence")?
        }));
        self.asked_at = Instant::now();
        self.ask_at = self.asked_at + self.pace.again();
    }

    fn back_off(&mut self, error: &anyhow::Error) {
        log::warn!("discovery: {error:#}; the list stays as it is");
        let failure = match error {
            error if too_busy(error) => Failure::Rejected,
            error if unusable(error) => Failure::Unusable,
            _ => Failure::NoAnswer,
        };
        let made = self.asked_at.elapsed();
        self.ask_at = Instant::now() + self.pace.backoff(failure, made, fastrand::f64());
    }
}

/// The next line of any of these watches, and of which; none where none is open.
async fn next_line<S: AsyncRead + Unpin>(
    watches: &mut VecDeque<Watch<S>>,
) -> Option<(usize, Result<WatchLine>)> {
    if watches.is_empty() {
        return None;
    }
    let (line, at, _) = select_all(watches.iter_mut().map(|watch| Box::pin(watch.next()))).await;
    Some((at, line))
}
