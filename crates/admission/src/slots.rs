//! The places for client connections: who gives way, and how long an idle connection is worth its place.

use crate::Micros;
use crate::addresses::Addresses;
use crate::reuse::Reuse;
use hashlink::LinkedHashMap;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::collections::VecDeque;
use std::net::IpAddr;

/// One whose command has been awaited for this long gives way first. A usual client sends its first as soon as it is
/// connected.
const AWAITED_FOR: Micros = 250_000;
/// How long a command is awaited, from its first byte on, and a connection's first from connecting on. A usual client may
/// take 2 s over the head of one; a bad one is owed an error 3 s after connecting.
const COMMAND_TIME: Micros = 2_500_000;
/// The same for one from an address that opens or holds too many in silence: until it would give way first.
const SUSPECT_TIME: Micros = AWAITED_FOR;
/// One place in so many stays for a connection that has asked but once and is idle, whatever reuse pays: a client that
/// reuses needs a while to show it.
const PROBATION_PART: usize = 8;
/// Of these, one in so many is a witness: left alone to show what an idle one does that nobody closes.
const WITNESS_PART: usize = 4;
/// A witness has shown it after this time, and may be closed like the others; the platform lets an idle connection be
/// closed from here on.
const WITNESS_FOR: Micros = 2_000_000;
/// How many are closed for each newcomer that asks, while there are more than reuse pays for: more than one, so that
/// a heap grown at the turn goes away; not all, so that a burst does not take the pool of a quiet front.
const CLOSED_FOR_ONE: usize = 2;
/// A connection that was used again stays for so many times the longest pause seen of late ...
const PAUSES: Micros = 4;
/// ... within these bounds: a pool that rests for some seconds is no heap.
const REUSED_FOR: (Micros, Micros) = (10_000_000, 120_000_000);
/// One that was asked to close and has not gone by then does not hold up the next.
const CLOSE_TIME: Micros = 20_000;

/// A client connection, named by the owner; never used again for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// How long the first command of a new connection is awaited, and any that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience(pub Micros);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum State {
    /// Its command is awaited, and its address has too many such.
    Suspect,
    /// Its first command, or the rest of one, is awaited; or it ends with an error.
    Awaited,
    /// It has been answered all it asked, and never asked again after a pause.
    Once,
    /// The same, and it is a witness.
    Witness,
    /// The same, but it has been used again after a pause before.
    Reused,
    /// It owes nothing and is owed an answer.
    Busy,
    /// It was asked to close.
    Closing,
}

#[derive(Debug)]
struct Holder {
    address: IpAddr,
    state: State,
    since: Micros,
    suspect: bool,
    asked: bool,
    reused: bool,
    /// Whether its idle spell under way is counted in [`Reuse`].
    counted: bool,
}

/// What has become of connections since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Opened.
    pub opened: u64,
    /// Idle ones used again.
    pub reused: u64,
    /// Asked to close because idle ones like them are not used again.
    pub unused: u64,
    /// Asked to close to make room for a newcomer.
    pub evicted: u64,
    /// Opened by an address beyond its bound of silent ones.
    pub suspects: u64,
    /// Closed by us while a command was on its way, which its client had to send once more.
    pub crossed: u64,
}

type Queue = LinkedHashMap<ConnectionId, (), FxBuildHasher>;

/// The places of one front.
///
/// The owner tells what each connection does; [`Places::poll_close`] yields those to close. One that was asked to close
/// keeps its place until [`Places::left`], and may have a command read meanwhile: that has been taken, so it stays.
#[derive(Debug)]
pub struct Places {
    most: usize,
    probation: usize,
    held: FxHashMap<ConnectionId, Holder>,
    // By state, each in the order of `since`.
    suspects: Queue,
    awaited: Queue,
    once: Queue,
    witnesses: Queue,
    reused: Queue,
    closing: Queue,
    to_close: VecDeque<ConnectionId>,
    reuse: Reuse,
    /// Whether connections idle for the first time are being closed early.
    trimming: bool,
    longest_pause: Micros,
    addresses: Addresses,
    counts: Counts,
}

impl Places {
    /// At most `most` connections, at least one.
    #[must_use]
    pub fn new(most: usize) -> Self {
        let most = most.max(1);
        Self {
            most,
            probation: (most / PROBATION_PART).max(1),
            held: FxHashMap::default(),
            suspects: Queue::default(),
            awaited: Queue::default(),
            once: Queue::default(),
            witnesses: Queue::default(),
            reused: Queue::default(),
            closing: Queue::default(),
            to_close: VecDeque::new(),
            reuse: Reuse::default(),
            trimming: false,
            longest_pause: 0,
            addresses: Addresses::new(most),
            counts: Counts::default(),
        }
    }

    /// Whether there is a place for one more. If not, one is asked to close for it, unless one is closing already or
    /// all are busy; false in all these cases.
    pub fn has_room(&mut self, now: Micros) -> bool {
        if self.held.len() < self.most {
            return true;
        }
        let pending = self.closing.front().map(|(id, ())| self.held[id].since);
        if pending.is_none_or(|since| now >= since + CLOSE_TIME) {
            self.evict(now);
        }
        false
    }

    /// Asks one connection to close, for want of places or descriptors; false if every one is busy or closing.
    ///
    /// Suspects go first, then those that owe a command for long, then idle ones that were never used again, then the
    /// others. Guards usual clients, whose next request may be on its way, against those that open many and say
    /// nothing.
    pub fn evict(&mut self, now: Micros) -> bool {
        let first = |queue: &Queue| queue.front().map(|(id, ())| *id);
        let (suspect, awaited) = (first(&self.suspects), first(&self.awaited));
        let (once, reused) = (self.longest_unused(), first(&self.reused));
        let age = |id: ConnectionId| now.saturating_sub(self.held[&id].since);
        let overdue = awaited.filter(|id| age(*id) >= AWAITED_FOR);
        // A command may be on its way on the one that is younger; of those idle, one never used again goes first.
        // While others are closing already, a newcomer whose first command is on its way is no gain.
        let awaited = awaited.filter(|_| self.closing.is_empty());
        let older = match (awaited, once) {
            (Some(a), Some(o)) => Some(if age(a) > age(o) { a } else { o }),
            (a, o) => a.or(o),
        };
        let Some(id) = suspect.or(overdue).or(older).or(reused) else { return false };
        self.counts.evicted += 1;
        self.ask_to_close(now, id);
        true
    }

    /// A connection was accepted.
    pub fn enter(&mut self, now: Micros, id: ConnectionId, address: IpAddr) -> Patience {
        self.counts.opened += 1;
        let suspect = !self.addresses.opened(now, address);
        self.counts.suspects += u64::from(suspect);
        let (asked, reused, counted) = (false, false, false);
        let state = State::Busy;
        self.held.insert(id, Holder { address, state, since: now, suspect, asked, reused, counted });
        self.move_to(now, id, if suspect { State::Suspect } else { State::Awaited });
        Patience(if suspect { SUSPECT_TIME } else { COMMAND_TIME })
    }

    /// The first bytes of a command came, or the connection ends with an error and is read on for a while.
    pub fn awaits(&mut self, now: Micros, id: ConnectionId) {
        self.end_spell(now, id, None);
        let suspect = self.held.get(&id).is_some_and(|it| it.suspect && !it.asked);
        self.move_to(now, id, if suspect { State::Suspect } else { State::Awaited });
    }

    /// A whole command was read.
    pub fn asked(&mut self, now: Micros, id: ConnectionId) {
        let Some(holder) = self.held.get_mut(&id) else { return };
        let (address, newcomer) = (holder.address, !holder.asked);
        let pause = now.saturating_sub(holder.since);
        let was_idle = matches!(holder.state, State::Once | State::Witness | State::Reused)
            || (holder.state == State::Closing && holder.asked);
        holder.asked = true;
        if was_idle {
            holder.reused = true;
            self.counts.reused += 1;
            self.longest_pause = pause.max(self.longest_pause - self.longest_pause / 64);
        }
        self.end_spell(now, id, Some(true));
        self.move_to(now, id, State::Busy);
        if newcomer {
            self.addresses.asked(now, address);
            self.trim(now);
        }
    }

    /// All that was asked has been answered.
    pub fn answered(&mut self, now: Micros, id: ConnectionId) {
        let Some(holder) = self.held.get_mut(&id) else { return };
        if holder.state != State::Busy {
            return; // idle since it was first so, or to be closed
        }
        if holder.reused {
            return self.move_to(now, id, State::Reused);
        }
        let witness = self.witnesses.len() < (self.probation / WITNESS_PART).max(1);
        holder.counted = witness || !self.trimming;
        if holder.counted {
            self.reuse.begin();
        }
        self.move_to(now, id, if witness { State::Witness } else { State::Once });
    }

    /// A connection has ended, by its client or by us; its place is free.
    pub fn left(&mut self, now: Micros, id: ConnectionId) {
        let by_client = self.held.get(&id).is_some_and(|it| it.state != State::Closing);
        self.end_spell(now, id, by_client.then_some(false));
        if let Some(holder) = self.held.remove(&id) {
            self.queue(holder.state).map(|queue| queue.remove(&id));
            if !holder.asked {
                self.addresses.left_silent(now, holder.address);
            }
        }
    }

    /// A command came to a connection that we were closing and could not be read any more.
    pub fn crossed(&mut self) {
        self.counts.crossed += 1;
    }

    /// The next connection to close.
    pub fn poll_close(&mut self) -> Option<ConnectionId> {
        self.to_close.pop_front()
    }

    /// Whether it is still to be closed: a command may have been read since it was asked to.
    #[must_use]
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.held.get(&id).is_some_and(|it| it.state == State::Closing)
    }

    /// Whether every place is taken by one that may not be closed.
    #[must_use]
    pub fn all_busy(&self) -> bool {
        let parked =
            [&self.suspects, &self.awaited, &self.once, &self.witnesses, &self.reused, &self.closing];
        self.held.len() >= self.most && parked.iter().all(|queue| queue.is_empty())
    }

    /// Connections that hold a place.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// What has become of connections so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The share of connections that were used again after their first idle spell, of late.
    #[must_use]
    pub fn reuse(&self, now: Micros) -> f64 {
        self.reuse.share(now)
    }

    /// A newcomer has asked though idle ones are there: closes those that reuse does not pay for.
    ///
    /// It is the first command and not the connecting that brings this about, so that a client which dials anew at
    /// each close without anything to ask feeds nothing.
    fn trim(&mut self, now: Micros) {
        // Reuse pays while the share that is used again is above the square of the share of places taken: where half
        // are taken, one in four is enough. Linear, it closed clients that reuse beside many that do not.
        let taken = self.held.len() as f64 / self.most as f64;
        self.trimming = self.once.len() > self.probation && self.reuse.share(now) < taken * taken;
        for _ in 0..CLOSED_FOR_ONE {
            let Some(id) = self.unpaid(now) else { return };
            self.counts.unused += 1;
            self.ask_to_close(now, id);
        }
    }

    /// An idle connection that is not worth its place.
    fn unpaid(&self, now: Micros) -> Option<ConnectionId> {
        let since = |queue: &Queue| queue.front().map(|(id, ())| (self.held[id].since, *id));
        if self.trimming {
            let witness = since(&self.witnesses).filter(|(at, _)| now >= at + WITNESS_FOR);
            let once = since(&self.once).filter(|_| self.once.len() > self.probation);
            if let Some((_, id)) = witness.or(once) {
                return Some(id);
            }
        }
        let (shortest, longest) = REUSED_FOR;
        let keep = (PAUSES * self.longest_pause).clamp(shortest, longest);
        let (reused_since, reused) = since(&self.reused).filter(|_| self.reused.len() > self.probation)?;
        if now < reused_since + keep {
            return None;
        }
        // One that was never used again goes first if it is idle for longer, witness or not.
        let unused = self.longest_unused().filter(|id| self.held[id].since <= reused_since);
        Some(unused.unwrap_or(reused))
    }

    /// Of those never used again, the one idle for longest.
    fn longest_unused(&self) -> Option<ConnectionId> {
        let first = |queue: &Queue| queue.front().map(|(id, ())| (self.held[id].since, *id));
        [first(&self.once), first(&self.witnesses)].into_iter().flatten().min().map(|(_, id)| id)
    }

    fn ask_to_close(&mut self, now: Micros, id: ConnectionId) {
        self.end_spell(now, id, None);
        self.move_to(now, id, State::Closing);
        self.to_close.push_back(id);
    }

    fn end_spell(&mut self, now: Micros, id: ConnectionId, used: Option<bool>) {
        if self.held.get_mut(&id).is_some_and(|it| std::mem::take(&mut it.counted)) {
            self.reuse.end(now, used);
        }
    }

    fn queue(&mut self, state: State) -> Option<&mut Queue> {
        match state {
            State::Suspect => Some(&mut self.suspects),
            State::Awaited => Some(&mut self.awaited),
            State::Once => Some(&mut self.once),
            State::Witness => Some(&mut self.witnesses),
            State::Reused => Some(&mut self.reused),
            State::Closing => Some(&mut self.closing),
            State::Busy => None,
        }
    }

    fn move_to(&mut self, now: Micros, id: ConnectionId, state: State) {
        let Some(holder) = self.held.get_mut(&id) else { return };
        if holder.state == state && state != State::Busy {
            return; // since it first was so
        }
        let old = std::mem::replace(&mut holder.state, state);
        holder.since = now;
        self.queue(old).map(|queue| queue.remove(&id));
        self.queue(state).map(|queue| queue.insert(id, ()));
    }
}
