//! This balancer's part: what comes in goes to the package it concerns, and what they yield goes out or to the core.

use crate::entry::{Entry, State};
use crate::file::FleetFile;
use crate::wire::{Body, Envelope, Unheard};
use crate::{Micros, view};
use agreement::{Agreement, ProposeError, Revision, Store, VotingBlock};
use audit::lease::{Lease, LeaseGranter};
use audit::ledger::{ActivityReport, Ledger};
use calendar::{Applied, Calendar, Proposal};
use membership::{Member, MemberSlot, Membership, Roster, Timer};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How often a balancer tells a few others how far it has come: often enough that a lost lease is known within the time
/// that what is heard counts, and the same for each however many there are.
const WORD_EVERY: Micros = 250_000;
/// To how many, drawn anew each time.
const WORD_TO: usize = 3;
/// A tick so much later than it was due: this process stood still, and must not accuse others of it.
const STALLED: Micros = 1_000_000;
/// Proposals of the door under way at most; each comes to an end by itself.
const ASKED_AT_MOST: usize = agreement::MAX_PENDING_PROPOSALS;

/// What the owner has to do, or to know.
#[derive(Debug)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Hand the timer to [`Fleet::handle_timer`] after this span.
    Timer(Micros, Timer),
    /// The lease has changed: the core is to have a copy.
    Lease(Box<Lease>),
    /// The calendar has: so is it of this.
    Calendar(Box<Calendar>),
    /// So many are in, this one included.
    Members(usize),
    /// All that is heard of is applied, up to this revision.
    CaughtUp(Revision),
    /// Whether this one leads the council.
    Leads(bool),
    /// Who votes from now on.
    Council(Vec<u16>),
    /// This member of the council does not vote.
    CannotVote(VotingBlock),
    /// What became of a proposal of [`Fleet::propose`].
    Proposed(u64, Result<(Revision, Option<Applied>), GivenUp>),
}

/// A proposal that was not heard of as decided; it may still be, once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp;

/// What has come of datagrams so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Heard.
    pub heard: u64,
    /// Of another version of the family.
    pub other_version: u64,
    /// In no known form.
    pub unreadable: u64,
    /// From an address that is not the sender's, or of another fleet.
    pub strangers: u64,
    /// Too long to be sent.
    pub too_long: u64,
}

/// What a part starts from.
pub struct Start<S> {
    /// This balancer's number in the file.
    pub me: u16,
    /// Its life: drawn so that it grows from start to start.
    pub incarnation: u64,
    /// Where the log is kept.
    pub store: S,
    /// Seed of all chance.
    pub seed: u64,
}

/// One balancer's part in the fleet.
pub struct Fleet<S: Store> {
    pub(crate) file: FleetFile,
    pub(crate) me: u16,
    incarnation: u64,
    pub(crate) membership: Membership,
    pub(crate) agreement: Agreement<Entry, S>,
    pub(crate) lease: Lease,
    pub(crate) granter: LeaseGranter,
    pub(crate) state: State,
    pub(crate) ledger: Ledger,
    pub(crate) leads: bool,
    pub(crate) counts: Counts,
    pub(crate) random: fastrand::Rng,
    pub(crate) out: VecDeque<Output>,
    /// Proposals of the calendar under way, and what became of those that are applied.
    pub(crate) asked: BTreeMap<u64, Option<(Revision, Option<Applied>)>>,
    pub(crate) snapshot_at: Revision,
    pub(crate) caught_up: bool,
    next_word: Micros,
    ticked: Micros,
}

impl<S: Store> Fleet<S> {
    /// Starts; `start.local_member` is a number of the file.
    pub fn new(file: FleetFile, start: Start<S>, now: Micros) -> Self {
        let Start { me, incarnation, store, seed } = start;
        let zones = file.zones();
        let leases = file.leases();
        let seat =
            |it: &crate::Listed| MemberSlot { address: it.address, zone: zones[usize::from(it.number)] };
        let council = file.balancers.iter().filter(|it| it.council).map(|it| it.number).collect();
        let everyone = file.balancers.iter().map(|it| (it.number, zones[usize::from(it.number)])).collect();
        let settings = agreement::Settings { node_id: me, incarnation, voters: council, nodes: everyone };
        let roster: Roster = file.balancers.iter().map(|it| (it.number, seat(it))).collect();
        let own = seat(&file.balancers[usize::from(me)]);
        let member = Member { number: me, incarnation, address: own.address, zone: own.zone };
        let count = u16::try_from(file.balancers.len()).unwrap_or(u16::MAX);
        let mut it = Self {
            membership: Membership::new(member, roster, membership::Settings::default(), seed),
            agreement: Agreement::new(settings, store, seed, now),
            lease: Lease::new(me, incarnation, leases, now),
            granter: LeaseGranter::new(count),
            state: State::new(leases),
            ledger: Ledger::new(count),
            leads: false,
            counts: Counts::default(),
            random: fastrand::Rng::with_seed(seed),
            out: VecDeque::new(),
            asked: BTreeMap::new(),
            snapshot_at: 0,
            caught_up: false,
            next_word: now,
            ticked: now,
            file,
            me,
            incarnation,
        };
        let others: Vec<_> =
            it.others().map(|number| it.file.balancers[usize::from(number)].address).collect();
        it.membership.join(now, &others);
        it.settle(now);
        it
    }

    /// What the owner has to do next.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// What has come of datagrams so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// This balancer's own lease.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// The last revision of the log that is applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.agreement.applied()
    }

    /// Whether this one votes in the council.
    #[must_use]
    pub fn votes(&self) -> bool {
        self.agreement.is_voting()
    }

    /// The calendar as far as the log is applied.
    #[must_use]
    pub fn calendar(&self) -> &Calendar {
        &self.state.calendar
    }

    /// The state for staff, as JSON.
    #[must_use]
    pub fn view(&self, now: Micros) -> serde_json::Value {
        view::of(self, now)
    }

    /// Takes in a datagram. Only the addresses that the file names are heard, each as the balancer that it is.
    pub fn hear(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        let envelope = match Envelope::read(datagram) {
            Ok(envelope) => envelope,
            Err(Unheard::Version) => return self.counts.other_version += 1,
            Err(Unheard::Form) => return self.counts.unreadable += 1,
        };
        let listed = self.file.balancers.get(usize::from(envelope.from));
        if envelope.fleet != self.file.tag()
            || envelope.from == self.me
            || listed.is_none_or(|it| it.address != from)
        {
            return self.counts.strangers += 1;
        }
        self.counts.heard += 1;
        match envelope.body {
            Body::Membership(bytes) => self.membership.handle_datagram(now, &bytes),
            Body::Agreement(message) => self.agreement.handle_message(now, envelope.from, *message),
            Body::Ask(ask)
                if self.leads && (ask.number == envelope.from || self.of_council(envelope.from)) =>
            {
                self.granter.handle_request(ask);
            }
            Body::Ask(ask) if ask.number == envelope.from => self.hand_on(ask),
            Body::Ask(_) => {} // was handed on once, to one that leads no more
            Body::Word(granted_at) => self.lease.record_peer_grant(now, envelope.from, granted_at),
            Body::Report(report) => {
                self.ledger.record_report(&report);
            }
        }
        self.settle(now);
    }

    /// A timer has fallen due.
    pub fn fell_due(&mut self, now: Micros, timer: Timer) {
        self.membership.handle_timer(now, timer);
        self.settle(now);
    }

    /// Time goes on; `unix` is this machine's clock, of which only a leader's is looked at.
    pub fn tick(&mut self, now: Micros, unix: u64) {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = now;
        if gap > STALLED {
            self.membership.handle_stall(now, gap);
        }
        self.agreement.tick(now, unix);
        if let Some(ask) = self.lease.poll_request(now) {
            let council: Vec<u16> = self.agreement.voters().iter().map(|it| it.node_id).collect();
            for number in council {
                match number == self.me {
                    true if self.leads => self.granter.handle_request(ask),
                    true => {}
                    false => self.send(number, Body::Ask(ask)),
                }
            }
            self.out.push_back(Output::Lease(Box::new(self.lease.clone()))); // it remembers what was asked, and when
        }
        if self.leads
            && let Some(grants) = self.granter.poll_grants(now)
        {
            // One that is not taken now is not missed: whoever got no lease asks again.
            let _ = self.agreement.propose(now, Entry::Leases(grants));
        }
        if now >= self.next_word {
            self.next_word = now + WORD_EVERY;
            self.tell();
        }
        self.settle(now);
    }

    /// Proposes a change of the calendar; what becomes of it comes out as [`Output::Proposed`] under the number returned.
    ///
    /// # Errors
    /// When too many are under way.
    pub fn propose(&mut self, now: Micros, proposal: Box<Proposal>) -> Result<u64, ProposeError> {
        if self.asked.len() >= ASKED_AT_MOST {
            return Err(ProposeError::TooManyPending);
        }
        let id = self.agreement.propose(now, Entry::Calendar(proposal))?;
        self.asked.insert(id, None);
        self.settle(now);
        Ok(id)
    }

    /// Proposes that members of the council change, one at a time.
    ///
    /// # Errors
    /// When that is no change, or too many are under way.
    pub fn change_council(
        &mut self, now: Micros, out: Option<u16>, taken_in: Option<u16>,
    ) -> Result<u64, ProposeError> {
        let id = self.agreement.change_voters(now, out, taken_in)?;
        self.settle(now);
        Ok(id)
    }

    /// Tells the fleet what this balancer decided on which version: the council, which sees all, and a few drawn others.
    pub fn report(&mut self, now: Micros, report: ActivityReport) {
        self.ledger.record_report(&report);
        let mut to: Vec<u16> =
            self.agreement.voters().iter().map(|it| it.node_id).filter(|it| *it != self.me).collect();
        to.extend(self.drawn(1));
        to.iter().for_each(|number| self.send(*number, Body::Report(report.clone())));
        self.settle(now);
    }

    /// Takes in a span of this balancer's own whose place its counts need.
    pub fn take_span(&mut self, span: audit::ledger::LedgerEntry) {
        self.ledger.record_own_entry(span);
    }

    /// Spans of the ledger that are not on disk yet, as bytes.
    pub fn take_spans(&mut self) -> Vec<Vec<u8>> {
        self.ledger.take_unsaved().iter().map(audit::ledger::LedgerEntry::to_bytes).collect()
    }

    /// Takes in a span from disk; bytes that are none are passed over.
    pub fn restore_span(&mut self, bytes: &[u8]) {
        if let Some(entry) = audit::ledger::LedgerEntry::from_bytes(bytes) {
            self.ledger.restore(entry);
        }
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = u16> + use<S> {
        let (me, count) = (self.me, self.file.balancers.len());
        (0..count).filter_map(|n| u16::try_from(n).ok()).filter(move |number| *number != me)
    }

    /// Some of the others, drawn anew: of those that are in, or of all where nobody is.
    fn drawn(&mut self, count: usize) -> Vec<u16> {
        let known: Vec<u16> =
            self.membership.members().map(|it| it.number).filter(|it| *it != self.me).collect();
        let among = if known.is_empty() { self.others().collect() } else { known };
        let count = count.min(among.len());
        self.random.choose_multiple(among, count)
    }

    fn tell(&mut self) {
        let granted_at = self.lease.granted_at();
        self.drawn(WORD_TO).iter().for_each(|number| self.send(*number, Body::Word(granted_at)));
    }

    pub(crate) fn send(&mut self, to: u16, body: Body) {
        let Some(listed) = self.file.balancers.get(usize::from(to)) else { return };
        let envelope =
            Envelope { fleet: self.file.tag(), from: self.me, incarnation: self.incarnation, body };
        match envelope.write() {
            Some(datagram) => {
                self.counts.sent += 1;
                self.counts.sent_bytes += datagram.len() as u64;
                self.out.push_back(Output::Send(listed.address, datagram));
            }
            None => self.counts.too_long += 1,
        }
    }

    fn of_council(&self, number: u16) -> bool {
        self.agreement.voters().iter().any(|it| it.node_id == number)
    }

    /// Of the council only the leader grants, but one bad link to it must not cost a lease that all others would vouch for.
    fn hand_on(&mut self, ask: audit::lease::LeaseRequest) {
        let leader = self.agreement.leader().filter(|it| *it != self.me && *it != ask.number);
        if let Some(leader) = leader.filter(|_| self.of_council(self.me)) {
            self.send(leader, Body::Ask(ask));
        }
    }
}
