//! What is done with what comes in, and what each tick has to do.
use crate::{
    Action, Entry, MAX_MESSAGE_BYTES, Message, Micros, NodeId, Revision, Stamped, Store, StoreChange,
    agreement::Agreement,
    gate::State,
    journal::encode,
    message::{Frame, Image, Leader, Memory, OfYou, Said, What},
    segment::{Item, Voter},
    voter::Replica,
};

/// Bytes of new items told along with a revision; with the rest below [`MAX_MESSAGE_BYTES`].
const NEWS_BYTES: usize = 900;

impl<E: Entry, S: Store> Agreement<E, S> {
    pub(crate) fn begin(&mut self, now: Micros, image: Option<Image>, items: Vec<(Revision, Item<E>)>) {
        if let Some(image) = image {
            self.restored(&image);
            self.log.restore(image);
        }
        for (revision, item) in items {
            self.log.push(item.clone());
            self.applied_item(revision, item);
        }
        self.enter(now);
    }

    /// Takes a message that another balancer sent; `from` is known by its address.
    pub fn handle_message(&mut self, now: Micros, from: NodeId, message: Message<E>) {
        if !self.learn.knows(from) {
            return;
        }
        match message.0 {
            Said::Piece(piece) => {
                let whole = self.pieces.hear(now, from, piece);
                if let Some(said) = whole.and_then(|bytes| postcard::from_bytes(&bytes).ok()) {
                    self.heard(now, from, said);
                }
            }
            said => self.heard(now, from, said),
        }
        self.settle(now);
    }

    fn heard(&mut self, now: Micros, from: NodeId, said: Said<E>) {
        match said {
            Said::Rumour { revision, leader, first, items } => {
                let leader = leader.filter(|leader| self.is_credible(leader));
                self.learn.heard(from, revision, leader);
                self.take_items(now, first, items);
                self.ask(now);
            }
            Said::Ask { have } => self.answer(from, have),
            Said::Items { first, items } => {
                self.take_items(now, first, items);
                self.learn.answered();
                self.ask(now);
            }
            Said::Snapshot(image) => self.take_image(now, image),
            Said::Propose { name, from, after, hops, what } => self.proposed(name, from, after, hops, what),
            Said::WhichStore => {
                let generation = self.shared.lock().head.generation;
                self.say(from, Said::StoreIs { generation });
            }
            Said::StoreIs { generation } => self.proposals.store_is(from, generation),
            Said::MayI(theirs) => self.asked_whether_may_vote(from, theirs),
            Said::Memory { mine, of_you } => {
                let writes = self.shared.lock().head.writes;
                self.gate.answer(from, mine, of_you, writes);
            }
            Said::Vote(frame) => self.vote(now, from, frame),
            Said::Piece(_) => {}
        }
    }

    fn is_credible(&self, leader: &Leader) -> bool {
        let known = self.learn.knows(leader.number) || leader.number == self.settings.node_id;
        known && leader.segment <= self.log.segment().id + 1
    }

    pub(crate) fn say(&mut self, to: NodeId, said: Said<E>) {
        if to == self.settings.node_id {
            return;
        }
        let bytes = encode(&said);
        if bytes.len() <= MAX_MESSAGE_BYTES {
            self.actions.push_back(Action::Send { to, message: Message(said) });
        } else {
            self.pieces.send(to, bytes);
        }
    }

    fn take_items(&mut self, now: Micros, first: Revision, items: Vec<Item<E>>) {
        for (revision, item) in (first..).zip(items) {
            self.take_item(now, revision, item);
        }
    }

    fn take_item(&mut self, now: Micros, revision: Revision, item: Item<E>) {
        if revision != self.log.applied() + 1 {
            return;
        }
        let stop = matches!(item, Item::Stop(_));
        self.shared.lock().note(StoreChange::Items { from: revision, items: vec![encode(&item)] });
        self.log.push(item.clone());
        self.learn.news = true;
        self.applied_item(revision, item);
        if stop {
            self.enter(now);
        }
    }

    fn applied_item(&mut self, revision: Revision, item: Item<E>) {
        let (from, name) = item.name();
        self.actions.push_back(match item {
            Item::Entry(stamped) => Action::Committed { revision, stamped },
            Item::Stop(stop) => Action::VotersChanged { revision, at: stop.timestamp, members: stop.entry },
        });
        if from == self.settings.node_id
            && let Some((id, outcome)) = self.proposals.decided(name, revision)
        {
            self.actions.push_back(Action::ProposalFinished { id, outcome });
        }
    }

    fn restored(&mut self, image: &Image) {
        let (revision, at, snapshot) = (image.revision, image.at, image.bytes.clone());
        self.actions.push_back(Action::Restore { revision, at, snapshot });
    }

    fn take_image(&mut self, now: Micros, image: Image) {
        if image.revision <= self.log.applied() || image.segment.id < self.log.segment().id {
            return;
        }
        {
            let mut journal = self.shared.lock();
            journal.note(StoreChange::Snapshot(encode(&image)));
            journal.note(StoreChange::Trim(image.revision));
        }
        self.restored(&image);
        self.log.restore(image);
        self.learn.answered();
        self.learn.news = true;
        self.enter(now);
        self.ask(now);
    }

    /// Goes over to the log's segment, if it is another than the one voted in so far.
    fn enter(&mut self, now: Micros) {
        let segment = self.log.segment().clone();
        let me = segment.member(self.settings.node_id).copied();
        let mut led = self.voter.as_ref().is_some_and(Replica::was_leader);
        let mut journal = self.shared.lock();
        if journal.head.segment.id < segment.id {
            journal.enter(segment);
            if let Some(voter) = self.voter.take() {
                self.session = voter.session() + 1;
            }
        } else {
            led = false;
        }
        self.gate.enter(now, me.as_ref(), &journal.head);
        drop(journal);
        if self.gate.state == State::Open && self.voter.is_none() {
            self.make_voter();
            if let Some(voter) = self.voter.as_mut().filter(|_| led) {
                voter.lead();
            }
        }
    }

    fn make_voter(&mut self) {
        self.session += 1;
        self.voter = Replica::new(self.settings.node_id, self.shared.clone(), self.session);
    }

    pub(crate) fn take_decided(&mut self, now: Micros) {
        while let Some(voter) = &mut self.voter {
            let decided = voter.decided();
            if decided.is_empty() {
                return;
            }
            for (revision, item) in decided {
                self.take_item(now, revision, item);
            }
        }
    }

    pub(crate) fn open(&mut self, now: Micros) {
        let mut journal = self.shared.lock();
        let segment = self.log.segment();
        // A snapshot or items may have come from a segment that the journal has not entered yet.
        if journal.head.segment.id == segment.id
            && self.gate.opens(now, self.settings.node_id, segment, &journal.head)
        {
            let head = journal.head();
            if !head.founded {
                for founder in self.gate.founders() {
                    if !head.founders.iter().any(|known| known.node_id == founder.node_id) {
                        head.founders.push(founder);
                    }
                }
            }
            head.founded = true;
            drop(journal);
            self.make_voter();
        }
    }

    fn memory(&self) -> Memory {
        let head = &self.shared.lock().head;
        let any = head.founded || self.log.applied() > 0;
        Memory { generation: head.generation, any, writes: head.writes }
    }

    pub(crate) fn ask_whether_may_vote(&mut self, now: Micros) {
        if !self.gate.asks(now) {
            return;
        }
        let memory = self.memory();
        for member in self.log.segment().members.clone() {
            self.say(member.node_id, Said::MayI(memory));
        }
    }

    fn asked_whether_may_vote(&mut self, from: NodeId, theirs: Memory) {
        let mine = self.memory();
        let mut journal = self.shared.lock();
        let known = journal.head.founders.iter().find(|founder| founder.node_id == from).copied();
        let founder = Voter { node_id: from, generation: theirs.generation };
        // Only the first one counts: a second store without memory under the same number has lost the first one's votes.
        if known.is_none() && !theirs.any && !mine.any && self.log.segment().member(from).is_some() {
            journal.head().founders.push(founder);
        }
        let founded = known.or((!mine.any).then_some(founder)).map(|founder| founder.generation);
        let of_you = OfYou { writes: journal.heard_of(from, theirs.generation), founded };
        drop(journal);
        self.say(from, Said::Memory { mine, of_you });
    }

    fn vote(&mut self, now: Micros, from: NodeId, frame: Frame) {
        let segment = self.log.segment();
        if frame.segment > segment.id {
            let next = self.log.applied() + 1;
            self.learn.heard(from, next, None);
            return;
        }
        let member = segment.member(from).is_some_and(|m| [0, frame.generation].contains(&m.generation));
        if frame.segment < segment.id || !member {
            if self.learn.may_answer() {
                let said = self.rumour(false);
                self.say(from, said);
            }
            return;
        }
        self.shared.lock().heard(Voter { node_id: from, generation: frame.generation }, frame.writes);
        if let Some(voter) = &mut self.voter {
            self.fleet_clock.heard(now, frame.fleet_time);
            voter.hear(from, frame.body);
        }
    }

    pub(crate) fn speak(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let bodies = voter.outgoing(now);
        let (segment, writes, generation) = {
            let head = &self.shared.lock().head;
            (head.segment.id, head.writes, head.generation)
        };
        let fleet_time = self.fleet_clock.now(now);
        for (to, body) in bodies {
            self.say(to, Said::Vote(Frame { segment, writes, generation, fleet_time, body }));
        }
    }

    fn rumour(&self, news: bool) -> Said<E> {
        let most = if news { NEWS_BYTES } else { 0 };
        let (first, items) = self.log.newest(most);
        Said::Rumour { revision: self.log.applied(), leader: self.leader_known(), first, items }
    }

    pub(crate) fn tell(&mut self, now: Micros) {
        let told = self.learn.tell(now, &mut self.random);
        let said = (!told.is_empty()).then(|| self.rumour(self.learn.news));
        self.learn.news = false;
        for to in told {
            said.iter().for_each(|said| self.say(to, said.clone()));
        }
    }

    pub(crate) fn ask(&mut self, now: Micros) {
        let have = self.log.applied();
        if let Some(to) = self.learn.ask(now, have, &mut self.random) {
            self.say(to, Said::Ask { have });
        }
    }

    fn answer(&mut self, from: NodeId, have: Revision) {
        if have >= self.log.applied() || !self.learn.may_answer() {
            return;
        }
        if let Some(items) = self.log.from(have + 1) {
            self.say(from, Said::Items { first: have + 1, items });
        } else if let Some(image) = self.log.image().cloned() {
            self.say(from, Said::Snapshot(image));
        }
    }

    pub(crate) fn send_proposals(&mut self, now: Micros) {
        for (id, outcome) in self.proposals.given_up(now) {
            self.actions.push_back(Action::ProposalFinished { id, outcome });
        }
        let me = self.settings.node_id;
        let due: Vec<_> =
            self.proposals.due(now).map(|p| (p.name, p.after, p.what.clone(), p.asks, p.tries)).collect();
        for (name, after, what, asks, tries) in due {
            if let Some(store) = asks {
                self.say(store, Said::WhichStore);
            } else if self.voter.as_ref().is_some_and(Replica::leads) {
                self.proposed(name, me, after, 0, what);
            } else if let Some(to) = self.proposed_to(tries) {
                self.say(to, Said::Propose { name, from: me, after, hops: 0, what });
            }
        }
    }

    /// The leader, or at each third try some member: what is known of the leader may be old.
    fn proposed_to(&mut self, tries: u32) -> Option<NodeId> {
        let leader =
            self.leader_known().map(|leader| leader.number).filter(|leader| *leader != self.settings.node_id);
        if let Some(leader) = leader.filter(|_| !tries.is_multiple_of(3)) {
            return Some(leader);
        }
        self.random.choice(&self.log.segment().members).map(|member| member.node_id)
    }

    fn proposed(&mut self, name: u64, from: NodeId, after: Revision, hops: u8, what: What<E>) {
        let Some(voter) = &mut self.voter else { return };
        if !voter.leads() {
            let leader = voter.leader().map(|leader| leader.0);
            if let (0, Some(leader)) = (hops, leader) {
                self.say(leader, Said::Propose { name, from, after, hops: 1, what });
            }
            return;
        }
        let new = self.log.has((from, name), after) == Some(false) && !voter.has((from, name));
        if !new || self.log.full() || !voter.takes() {
            return;
        }
        let at = self.unix.max(self.log.last_at() + 1).max(voter.last_at() + 1);
        match what {
            What::Entry(entry) => {
                voter.append(Stamped { timestamp: at, proposer: from, proposal_id: name, entry })
            }
            What::Exchange(exchange) => {
                let known = exchange.taken_in.is_none_or(|member| member.generation != 0);
                if let Some(entry) = exchange.apply(&self.log.segment().members).filter(|_| known) {
                    voter.stop(&Stamped { timestamp: at, proposer: from, proposal_id: name, entry });
                }
            }
        }
    }

    pub(crate) fn end_long_segment(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        if voter.takes() && voter.is_long() {
            let at = self.unix.max(self.log.last_at() + 1).max(voter.last_at() + 1);
            let entry = self.log.segment().members.clone();
            voter.stop(&Stamped {
                timestamp: at,
                proposer: self.settings.node_id,
                proposal_id: self.random.u64(..),
                entry,
            });
        }
    }
}
