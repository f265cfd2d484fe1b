//! The whole of it: what comes in goes to the part it concerns, and nothing goes out before what it says is durable.
use crate::{
    Action, Entry, MAX_ENTRY_BYTES, MAX_PENDING_PROPOSALS, MAX_SNAPSHOT_BYTES, Micros, NodeId, ProposeError,
    Revision, Settings, Store, VotingBlock,
    gate::{Gate, State},
    journal::{Journal, Shared, encode},
    learn::Learn,
    log::Log,
    message::{Leader, Said, What},
    pieces::Pieces,
    proposals::Proposals,
    segment::{Exchange, Segment, Voter},
    time::FleetClock,
    voter::Replica,
};
use bytes::Bytes;
use std::collections::VecDeque;

/// A balancer's part in the agreement; see the crate's documentation.
pub struct Agreement<E: Entry, S: Store> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) shared: Shared<E>,
    pub(crate) log: Log<E>,
    pub(crate) voter: Option<Replica<E>>,
    pub(crate) gate: Gate,
    pub(crate) learn: Learn,
    pub(crate) proposals: Proposals<E>,
    pub(crate) pieces: Pieces,
    pub(crate) random: fastrand::Rng,
    pub(crate) actions: VecDeque<Action<E>>,
    pub(crate) session: u32,
    /// What a leader stamps with, as of the last tick.
    pub(crate) unix: u64,
    pub(crate) fleet_clock: FleetClock,
    leads: bool,
    told_why: Option<VotingBlock>,
}

impl<E: Entry, S: Store> Agreement<E, S> {
    /// Starts from what the store holds; what that is comes out as actions first.
    pub fn new(settings: Settings, mut store: S, seed: u64, now: Micros) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ settings.incarnation);
        let members =
            settings.voters.iter().map(|number| Voter { node_id: *number, generation: 0 }).collect();
        let mut founding = Segment { id: 1, base: 0, members };
        founding.members.sort_by_key(|member| member.node_id);
        let (loaded, failed) = match crate::load::load(&mut store, &founding, &mut random) {
            Ok(loaded) => (loaded, None),
            Err(error) => (crate::load::Loaded::empty(&founding, &mut random), Some(error)),
        };
        let learn = Learn::new(settings.node_id, &settings.nodes);
        let mut agreement = Agreement {
            shared: Shared::new(Journal::new(loaded.head, loaded.accepted)),
            log: Log::new(founding),
            voter: None,
            gate: Gate::new(),
            learn,
            proposals: Proposals::new(random.u64(..)),
            pieces: Pieces::new(random.u64(..)),
            random,
            actions: VecDeque::new(),
            session: 0,
            unix: 0,
            fleet_clock: FleetClock::default(),
            leads: false,
            told_why: None,
            settings,
            store,
        };
        agreement.begin(now, loaded.image, loaded.items);
        if let Some(error) = failed {
            agreement.gate.fail(VotingBlock::StorageFailed(error));
        }
        agreement.settle(now);
        agreement
    }

    /// Time goes on: to be called each [`crate::TICK_INTERVAL_US`], with the machine's Unix time in microseconds.
    pub fn tick(&mut self, now: Micros, unix: u64) {
        // Guards fleet time against standing still where the leader's clock is behind, or set back: it goes on from where it was.
        self.fleet_clock.heard(now, self.log.last_at());
        self.unix = unix.max(self.fleet_clock.now(now));
        if self.leads {
            self.fleet_clock.heard(now, unix);
        }
        self.learn.tick();
        self.pieces.tick(now);
        if let Some(voter) = &mut self.voter {
            voter.tick();
        }
        self.ask_whether_may_vote(now);
        self.end_long_segment();
        self.send_proposals(now);
        self.ask(now);
        self.settle(now);
    }

    /// Proposes an entry; what becomes of it comes out as [`Action::ProposalFinished`].
    pub fn propose(&mut self, now: Micros, entry: E) -> Result<u64, ProposeError> {
        let bytes = encode(&entry).len();
        if bytes > MAX_ENTRY_BYTES {
            return Err(ProposeError::EntryTooLong(bytes));
        }
        self.add_proposal(now, What::Entry(entry), None)
    }

    /// Proposes that one member leaves the council and another is taken in (one of them may be left out). Taking in one that
    /// is a member already renews it under the store that it has now.
    pub fn change_voters(
        &mut self, now: Micros, out: Option<NodeId>, taken_in: Option<NodeId>,
    ) -> Result<u64, ProposeError> {
        let member = taken_in.map(|number| Voter { node_id: number, generation: 1 });
        let mut exchange = Exchange { out, taken_in: member };
        exchange.apply(&self.log.segment().members).ok_or(ProposeError::InvalidVoterChange)?;
        let mut asks = taken_in;
        if let Some(member) =
            exchange.taken_in.as_mut().filter(|member| member.node_id == self.settings.node_id)
        {
            member.generation = self.shared.lock().head.generation;
            asks = None;
        }
        self.add_proposal(now, What::Exchange(exchange), asks)
    }

    fn add_proposal(
        &mut self, now: Micros, what: What<E>, asks: Option<NodeId>,
    ) -> Result<u64, ProposeError> {
        if self.proposals.count() >= MAX_PENDING_PROPOSALS {
            return Err(ProposeError::TooManyPending);
        }
        let id = self.proposals.add(now, self.log.applied(), what, asks);
        self.send_proposals(now);
        self.settle(now);
        Ok(id)
    }

    /// What the owner has to do next.
    pub fn poll(&mut self) -> Option<Action<E>> {
        self.actions.pop_front()
    }

    /// Takes a snapshot of the owner's state with all up to `up_to` applied, at most [`MAX_SNAPSHOT_BYTES`]; what lies well before
    /// it is trimmed.
    pub fn snapshot(&mut self, now: Micros, up_to: Revision, bytes: Bytes) {
        if bytes.len() <= MAX_SNAPSHOT_BYTES {
            self.log.snapshot(up_to, bytes, &mut self.shared.lock());
            self.settle(now);
        }
    }

    /// The last revision that came out.
    pub fn applied(&self) -> Revision {
        self.log.applied()
    }

    /// The highest revision heard of, when it is above ours.
    pub fn lag(&self) -> Option<Revision> {
        Some(self.learn.best()).filter(|best| *best > self.log.applied())
    }

    /// Who leads the council, as far as is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader_known().map(|leader| leader.number)
    }

    /// Who votes now.
    pub fn voters(&self) -> &[Voter] {
        &self.log.segment().members
    }

    /// Whether this balancer votes.
    pub fn is_voting(&self) -> bool {
        self.voter.is_some()
    }

    pub(crate) fn leader_known(&self) -> Option<Leader> {
        let voter = self.voter.as_ref().and_then(Replica::leader);
        let segment = self.log.segment().id;
        let own = voter.map(|(number, round)| Leader { segment, round, number });
        own.max(self.learn.leader)
    }

    /// Brings all to rest: what is decided is taken, what is to be durable is written, and only then is spoken.
    pub(crate) fn settle(&mut self, now: Micros) {
        self.take_decided(now);
        self.open(now);
        let written = self.shared.lock().flush(&mut self.store);
        if let Err(error) = written {
            self.gate.fail(VotingBlock::StorageFailed(error));
        }
        if let State::Shut(why) = &self.gate.state
            && self.told_why.as_ref() != Some(why)
        {
            self.told_why = Some(why.clone());
            self.actions.push_back(Action::VotingBlocked(why.clone()));
        }
        if self.gate.state != State::Open {
            self.voter = None;
        }
        self.speak(now);
        let leads = self.voter.as_ref().is_some_and(Replica::leads);
        if leads != self.leads {
            self.leads = leads;
            self.actions.push_back(Action::LeadershipChanged(leads));
        }
        self.tell(now);
        for (to, piece) in self.pieces.take() {
            self.actions.push_back(Action::Send { to, message: crate::Message(Said::Piece(piece)) });
        }
    }
}
