//! One member's part: datagrams, timers and orders in; datagrams, timers, and who came and went out.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foca::{
    AccumulatingRuntime, Foca, Header, Incarnation, Message, NoCustomBroadcast, OwnedNotification,
    PostcardCodec, State,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::accusations::Accusations;
use crate::counters::{Counters, DatagramError};
use crate::edge::{Action, DownReason, Timer, What};
use crate::health::Health;
use crate::roster::{Member, Roster};
use crate::settings::Settings;
use crate::wire::{self, Heard, Id};

mod probing;
mod seeking;
mod settle;

/// Actions that wait for the owner at most; datagrams beyond are dropped, as a full socket would. An input yields some tens.
const MOST_WAITING: usize = 8_192;

/// Times a member goes beyond a ghost of its number: two processes that bear one number must not outbid one another for good.
const MOST_OVERTAKES: u32 = 3;

/// How many hear from one that leaves: it says so once, and some of it may be lost.
const TOLD_OF_LEAVING: usize = 8;

/// Marks the news of a member that left by itself; no other member comes to this incarnation alive.
const LEAVING: Incarnation = Incarnation::MAX;

/// One member of the fleet.
pub struct Membership {
    me: Member,
    roster: Roster,
    settings: Settings,
    foca: Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>,
    out: AccumulatingRuntime<Id>,
    random: fastrand::Rng,
    actions: VecDeque<Action>,
    /// Who is in, this one included.
    view: BTreeMap<u16, Member>,
    /// The highest life heard of, of each number of the roster.
    incarnations: BTreeMap<u16, u64>,
    accusations: Accusations,
    health: Health,
    counts: Counters,
    swim_incarnation: Incarnation,
    /// Somebody who is in knows this life.
    connected: bool,
    /// It left, or was replaced: nothing is heard or sent any more.
    silent: bool,
    first_heard: Option<Micros>,
    overtakes: u32,
    hurry_until: Micros,
    round: u64,
    /// The probe that is under way: the datagram to send again, and the timer that asks others.
    ping: Option<(Id, Bytes)>,
    asking: Option<foca::Timer<Id>>,
}

impl Membership {
    /// A member that knows of nobody yet. `local_member` is to be on the roster; the same seed and inputs yield the same actions.
    pub fn new(me: Member, roster: Roster, settings: Settings, seed: u64) -> Self {
        let id = Id { number: me.number, incarnation: me.incarnation };
        let random = SmallRng::seed_from_u64(seed);
        Self {
            me,
            foca: Foca::new(id, settings.for_foca(), random, PostcardCodec),
            roster,
            settings,
            out: AccumulatingRuntime::new(),
            random: fastrand::Rng::with_seed(seed),
            actions: VecDeque::new(),
            view: BTreeMap::from([(me.number, me)]),
            incarnations: BTreeMap::new(),
            accusations: Accusations::default(),
            health: Health::default(),
            counts: Counters::default(),
            swim_incarnation: 0,
            connected: false,
            silent: false,
            first_heard: None,
            overtakes: 0,
            hurry_until: 0,
            round: 0,
            ping: None,
            asking: None,
        }
    }

    /// This member, under the life that it has now.
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// Who is in, this one included, by number.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.view.values()
    }

    /// How many are in, this one included.
    pub fn len(&self) -> usize {
        self.view.len()
    }

    /// Never: this one is always in its own view.
    pub fn is_empty(&self) -> bool {
        self.view.is_empty()
    }

    /// What it did and heard.
    pub fn counters(&self) -> Counters {
        self.counts
    }

    /// The next thing to do; none once all is done that follows from the inputs.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Comes in through whoever of the roster is at these addresses, and asks for all others from now on.
    pub fn join(&mut self, now: Micros, at: &[SocketAddr]) {
        if self.silent {
            return;
        }
        let asked: Vec<u16> = at.iter().filter_map(|&address| self.roster.at(address)).collect();
        for number in asked {
            self.announce(number);
        }
        self.seek_anew(now);
        self.settle(now, DownReason::Gossip);
    }

    /// Says to some that it leaves, and falls silent.
    pub fn leave(&mut self, now: Micros) {
        if self.silent {
            return;
        }
        let gone = foca::Member::new(*self.foca.identity(), LEAVING, State::Down);
        for number in self.some_of(TOLD_OF_LEAVING, |it, number| it.view.contains_key(&number)) {
            let to = Id { number, incarnation: self.view[&number].incarnation };
            self.tell(to, gone.clone());
        }
        self.settle(now, DownReason::Gossip);
        self.silent = true;
    }

    /// The owner saw that the process stood still for `gap`: answers may lie unread, and timers are overdue because of it.
    pub fn handle_stall(&mut self, now: Micros, gap: Micros) {
        if self.silent || gap < self.settings.probe_wait {
            return;
        }
        self.counts.stalls += 1;
        self.health.stalled(now.saturating_add(2 * self.settings.probe_period));
        // Whoever was being probed gets another chance: its answer may have come and gone.
        if let Some(asking) = self.asking.take() {
            let _stale = self.foca.handle_timer(asking, &mut self.out);
            self.ping_again();
        }
        // And it may have been declared down meanwhile: those asked say so.
        if self.round > 0 {
            for number in self.some_of(self.settings.seek, |it, number| it.view.contains_key(&number)) {
                self.announce(number);
            }
            self.seek_anew(now);
        }
        self.settle(now, DownReason::Gossip);
    }

    /// A timer of this membership is due.
    pub fn handle_timer(&mut self, now: Micros, timer: Timer) {
        if self.silent {
            return;
        }
        let late = now.saturating_sub(timer.due);
        if late > self.settings.probe_period && self.health.quiet(now).is_none() {
            self.handle_stall(now, late);
        }
        let why = match timer.what {
            What::Seek(round) => {
                if round == self.round {
                    self.seek(now);
                }
                DownReason::Gossip
            }
            What::Accused { id, swim_incarnation, reminders, verdict } => {
                self.accused(now, id, swim_incarnation, reminders, verdict);
                DownReason::Unresponsive
            }
            What::Foca(timer) => {
                self.foca_due(now, late, timer);
                DownReason::Gossip
            }
        };
        self.settle(now, why);
    }

    /// A datagram came in.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8]) {
        if self.silent {
            return;
        }
        self.counts.heard += 1;
        self.counts.heard_bytes += datagram.len() as u64;
        let mut heard = match wire::read(datagram).and_then(|heard| self.admit(heard)) {
            Ok(heard) => heard,
            Err(why) => {
                self.counts.bad(why);
                return self.settle(now, DownReason::Gossip);
            }
        };
        self.first_heard.get_or_insert(now);
        let (ours, said) = (*self.foca.identity(), heard.news.len());
        let later = heard
            .news
            .iter()
            .map(|it| *it.id())
            .filter(|id| id.number == ours.number)
            .map(|id| id.incarnation);
        let later = later.max().filter(|&incarnation| incarnation > ours.incarnation);
        self.counts.unknown_told +=
            heard.news.iter().filter(|it| !self.roster.has(it.id().number)).count() as u64;
        // What is told of other lives of ours is never held as a member: it is our own ghost, or our replacement.
        let roster = &self.roster;
        heard
            .news
            .retain(|it| roster.has(it.id().number) && (it.id().number != ours.number || *it.id() == ours));
        for id in heard.news.iter().map(|it| *it.id()).chain([heard.header.src]) {
            self.knows_life(id);
        }
        let whole = said == heard.news.len();
        let kept = if whole { None } else { Some(wire::write(&heard.header, &heard.news)) };
        let before = self.counts.refutations;
        if self.foca.handle_data(kept.as_deref().unwrap_or(datagram), &mut self.out).is_err() {
            self.counts.bad(DatagramError::Garbled);
        }
        let left = heard.news.iter().any(|it| it.state() == State::Down && it.incarnation() == LEAVING);
        self.settle_news(now, if left { &heard.news } else { &[] }, DownReason::Gossip);
        if self.counts.refutations > before {
            // Whoever passed the suspicion on hears at once that it is wrong, before chance brings the news there.
            self.announce(heard.header.src.number);
        }
        if let Some(incarnation) = later {
            self.meet_later_life(now, incarnation);
        }
        self.settle(now, DownReason::Gossip);
    }

    /// Lets through what is for this life, from a member of the roster that no later life has replaced.
    fn admit(&mut self, heard: Heard) -> Result<Heard, DatagramError> {
        let (from, to, ours) = (heard.header.src, heard.header.dst, *self.foca.identity());
        if from.number == ours.number {
            return Err(DatagramError::OurOwn);
        }
        if !wire::rostered(&heard.header, &self.roster) {
            return Err(DatagramError::Unknown);
        }
        let any_life = heard.header.message == Message::Announce;
        if to.number != ours.number || (to != ours && !any_life) {
            return Err(DatagramError::NotForUs);
        }
        match self.incarnations.get(&from.number) {
            Some(&incarnation) if incarnation > from.incarnation => {
                // A late datagram, or one who started without memory and a clock gone back: the latter learns what to exceed.
                self.tell(from, foca::Member::alive(Id { number: from.number, incarnation }));
                Err(DatagramError::OldLife)
            }
            _ => Ok(heard),
        }
    }

    fn knows_life(&mut self, id: Id) {
        if id.number != self.me.number {
            let known = self.incarnations.entry(id.number).or_default();
            *known = id.incarnation.max(*known);
        }
    }

    /// A higher life of our number: soon after the start the ghost of an earlier process, later our replacement.
    fn meet_later_life(&mut self, now: Micros, incarnation: u64) {
        let young = self.first_heard.is_none_or(|at| now.saturating_sub(at) < self.settings.ghosts);
        let beyond = incarnation.checked_add(1).filter(|_| young && self.overtakes < MOST_OVERTAKES);
        match beyond {
            Some(beyond) => {
                self.overtakes += 1;
                let id = Id { number: self.me.number, incarnation: beyond };
                if self.foca.change_identity(id, &mut self.out).is_ok() {
                    self.renewed(now);
                }
            }
            None => self.replaced(incarnation),
        }
    }

    fn replaced(&mut self, incarnation: u64) {
        self.silent = true;
        self.actions.push_back(Action::Replaced(incarnation));
    }

    fn renewed(&mut self, now: Micros) {
        self.me.incarnation = self.foca.identity().incarnation;
        self.swim_incarnation = 0;
        self.connected = false;
        self.counts.renewals += 1;
        self.view.insert(self.me.number, self.me);
        self.actions.push_back(Action::Renewed(self.me));
        self.seek_anew(now);
    }

    fn tell(&mut self, to: Id, news: foca::Member<Id>) {
        let header = self.header(to, Message::Gossip);
        self.send(to, wire::write(&header, &[news]));
    }

    fn header(&self, dst: Id, message: Message<Id>) -> Header<Id> {
        Header { src: *self.foca.identity(), src_incarnation: self.swim_incarnation, dst, message }
    }

    fn send(&mut self, to: Id, datagram: Bytes) {
        let Some(to) = self.roster.member(to) else { return };
        if self.actions.len() >= MOST_WAITING {
            self.counts.unsent += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        self.actions.push_back(Action::Send { to: to.address, datagram });
    }

    fn schedule(&mut self, now: Micros, after: Micros, what: What) {
        let timer = Timer { due: now.saturating_add(after), what };
        self.actions.push_back(Action::Timer { after, timer });
    }
}
