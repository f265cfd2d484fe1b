//! [`ConnectionSlots`] against scripted clients on a clock of their own, and against any sequence of events.

use admission::{ConnectionId, ConnectionSlots, Micros};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::IpAddr;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn address(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

/// What a client does with a connection after an answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    /// Asks again after a pause, for ever; the first time after a tenth of a second at the latest.
    Reuses { pause: Micros },
    /// Never asks again, and ends the connection after a while.
    AsksOnce { ends: Micros },
    /// Connects and says nothing.
    Silent,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Connects(Way),
    Asks(u64),
    IsAnswered(u64),
    Ends(u64),
}

/// A front of `most` places, clients that hold at most `cap` of them for requests, and answers after 30 ms.
struct Play {
    slots: ConnectionSlots,
    cap: usize,
    now: Micros,
    steps: BinaryHeap<std::cmp::Reverse<(Micros, u64, Step)>>,
    open: BTreeMap<u64, Way>,
    next: u64,
    order: u64,
    lost: usize,
    asked: usize,
    closed: Vec<(Micros, Way)>,
    redial: bool,
    reused: BTreeSet<u64>,
    first_pause: Micros,
}

impl Play {
    fn new(most: usize, cap: usize) -> Self {
        Self {
            slots: ConnectionSlots::new(most),
            cap,
            now: 0,
            steps: BinaryHeap::new(),
            open: BTreeMap::new(),
            next: 0,
            order: 0,
            lost: 0,
            asked: 0,
            closed: Vec::new(),
            redial: false,
            reused: BTreeSet::new(),
            first_pause: 100 * MS,
        }
    }

    fn at(&mut self, at: Micros, step: Step) {
        self.order += 1;
        self.steps.push(std::cmp::Reverse((at, self.order, step)));
    }

    /// `a_second` of them connect evenly from `from` to `until`.
    fn arrivals(&mut self, a_second: u64, from: Micros, until: Micros, way: Way) {
        (0..(until - from) * a_second / SECOND)
            .for_each(|n| self.at(from + n * SECOND / a_second, Step::Connects(way)));
    }

    fn run(&mut self, until: Micros) {
        while self.steps.peek().is_some_and(|next| next.0.0 <= until) {
            let std::cmp::Reverse((at, _, step)) = self.steps.pop().unwrap();
            self.now = at;
            self.take(step);
            while let Some(id) = self.slots.poll_close() {
                self.close(id);
            }
        }
        self.now = until;
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Connects(way) => {
                let usual = self.open.values().filter(|way| **way != Way::Silent).count();
                if way != Way::Silent && usual >= self.cap {
                    self.lost += 1;
                    return;
                }
                if !self.slots.has_free_slot(self.now) {
                    let room = self.slots.poll_close();
                    self.lost += usize::from(room.is_none());
                    let Some(id) = room else { return };
                    self.close(id);
                }
                self.next += 1;
                self.open.insert(self.next, way);
                let from = if way == Way::Silent { address(9) } else { address(1) };
                let patience = self.slots.accepted(self.now, ConnectionId(self.next), from);
                match way {
                    Way::Silent => self.at(self.now + patience.0, Step::Ends(self.next)),
                    _ => self.at(self.now, Step::Asks(self.next)),
                }
            }
            Step::Asks(id) if self.open.contains_key(&id) => {
                self.asked += 1;
                self.slots.command_received(self.now, ConnectionId(id));
                self.at(self.now + 30 * MS, Step::IsAnswered(id));
            }
            Step::IsAnswered(id) if self.open.contains_key(&id) => {
                self.slots.answered(self.now, ConnectionId(id));
                let first = self.reused.insert(id);
                match self.open[&id] {
                    Way::Reuses { pause } if first => {
                        self.at(self.now + pause.min(self.first_pause), Step::Asks(id))
                    }
                    Way::Reuses { pause } => self.at(self.now + pause, Step::Asks(id)),
                    Way::AsksOnce { ends } => self.at(self.now + ends, Step::Ends(id)),
                    Way::Silent => {}
                }
            }
            Step::Ends(id) if self.open.remove(&id).is_some() => {
                self.slots.closed(self.now, ConnectionId(id));
            }
            _ => {} // closed meanwhile
        }
    }

    fn close(&mut self, id: ConnectionId) {
        assert!(self.slots.is_closing(id));
        self.slots.closed(self.now, id);
        let way = self.open.remove(&id.0).expect("an open connection");
        self.closed.push((self.now, way));
        match way {
            // Its next request needs a new connection.
            Way::Reuses { pause } => self.at(self.now + pause, Step::Connects(way)),
            _ if self.redial => self.at(self.now, Step::Connects(Way::Silent)),
            _ => {}
        }
    }

    fn closed_of(&self, way: Way) -> usize {
        self.closed.iter().filter(|(_, closed)| *closed == way).count()
    }
}

#[test]
fn clients_that_send_one_command_and_linger_do_not_use_up_the_slots() {
    // The incident: 256 descriptors and up, a new connection for each request, idle until its client ends it.
    for (most, cap) in [(145, 85), (225, 128), (625, 341)] {
        let mut play = Play::new(most, cap);
        play.arrivals(320, 0, 20 * SECOND, Way::AsksOnce { ends: 1_200 * MS });
        play.run(20 * SECOND);
        assert!(play.lost * 100 < play.asked, "{} lost of {} asked, {most} slots", play.lost, play.asked);
    }
}

#[test]
fn clients_that_reuse_keep_their_connections_beside_others_that_do_not() {
    let (reuses, once) = (Way::Reuses { pause: 200 * MS }, Way::AsksOnce { ends: 1_200 * MS });
    let mut play = Play::new(225, 128);
    play.first_pause = 200 * MS;
    play.arrivals(24, 0, SECOND, reuses);
    play.arrivals(200, SECOND / 2, 20 * SECOND, once);
    play.run(20 * SECOND);
    assert!(play.closed_of(reuses) <= 4, "of 24 reused ones, {} were closed", play.closed_of(reuses));
    assert!(play.closed_of(once) > 2_000 && play.lost == 0, "{} lost", play.lost);
}

#[test]
fn pool_that_rests_for_three_seconds_stays_open() {
    let mut play = Play::new(225, 128);
    let rests = Way::Reuses { pause: 3 * SECOND };
    play.arrivals(24, 0, SECOND, rests);
    play.arrivals(200, 2 * SECOND, 20 * SECOND, Way::AsksOnce { ends: 1_200 * MS });
    play.run(20 * SECOND);
    assert_eq!(play.closed_of(rests), 0);
}

#[test]
fn many_clients_with_slow_cycles_need_not_connect_for_each_request() {
    // Two hundred that each ask once a second: a bound on idle ones alone would close each before it is used again.
    let mut play = Play::new(625, 341);
    play.first_pause = SECOND;
    let slow = Way::Reuses { pause: SECOND };
    play.arrivals(200, 0, SECOND, slow);
    play.run(20 * SECOND);
    let late = play.closed.iter().filter(|(at, _)| *at > 5 * SECOND).count();
    assert!(play.closed.len() < 400 && late == 0, "{} closed, {late} of them late", play.closed.len());
}

#[test]
fn silent_connect_after_a_close_causes_no_further_close() {
    let mut play = Play::new(225, 128);
    play.redial = true;
    play.arrivals(200, 0, SECOND, Way::AsksOnce { ends: 60 * SECOND });
    play.run(SECOND);
    let closed = play.closed.len();
    play.run(SECOND + SECOND / 2);
    assert!(closed <= 200 && play.closed.len() == closed, "{closed}, then {}", play.closed.len());
}

#[test]
fn silent_connections_are_closed_before_clients_that_send_commands() {
    let usual = Way::Reuses { pause: 100 * MS };
    let mut play = Play::new(145, 85);
    play.arrivals(40, 0, SECOND, usual);
    play.arrivals(300, 3 * SECOND, 4 * SECOND, Way::Silent); // three hundred at once, then forty a second
    play.arrivals(40, 4 * SECOND, 20 * SECOND, Way::Silent);
    play.run(20 * SECOND);
    let silent = play.open.values().filter(|way| **way == Way::Silent).count();
    assert_eq!((play.closed_of(usual), play.lost), (0, 0));
    assert!(
        silent <= 145 / 4 + 40 / 4 + 1,
        "one address holds {silent} in silence: a quarter, and suspects briefly"
    );
}

#[test]
fn connection_whose_command_races_the_request_to_close_stays_open() {
    let mut slots = ConnectionSlots::new(2);
    for id in [1, 2].map(ConnectionId) {
        slots.accepted(0, id, address(1));
        slots.command_received(0, id);
        slots.answered(0, id);
    }
    assert!(!slots.has_free_slot(SECOND));
    let asked = slots.poll_close().unwrap();
    slots.command_received(SECOND, asked);
    assert!(!slots.is_closing(asked), "its command was read: it has been taken");
    assert!(!slots.has_free_slot(SECOND));
    let other = slots.poll_close().unwrap();
    assert_ne!(asked, other);
    slots.closed(SECOND, other);
    assert!(slots.has_free_slot(SECOND));
}

#[derive(Debug, Clone)]
enum Act {
    Enter(u8),
    Asked(usize),
    Answered(usize),
    Awaits(usize),
    Left(usize),
    Evict,
    Wait(u32),
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let act = prop_oneof![
        4 => (0..4_u8).prop_map(Act::Enter),
        6 => (0..64_usize).prop_map(Act::Asked),
        6 => (0..64_usize).prop_map(Act::Answered),
        1 => (0..64_usize).prop_map(Act::Awaits),
        2 => (0..64_usize).prop_map(Act::Left),
        1 => Just(Act::Evict),
        3 => (1..3_000_000_u32).prop_map(Act::Wait),
    ];
    proptest::collection::vec(act, 1..400)
}

/// What the test knows of a connection.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Known {
    idle_since: Option<Micros>,
    busy: bool,
    asked: bool,
    reused: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn bounds_hold_and_reused_connections_are_closed_last_and_accepting_never_starves(most in 1..24_usize, acts in acts()) {
        let (mut slots, mut now, mut next) = (ConnectionSlots::new(most), 0, 0);
        let mut open: BTreeMap<u64, Known> = BTreeMap::new();
        for act in acts {
            let pick = |n: usize, open: &BTreeMap<u64, Known>| open.keys().nth(n % open.len().max(1)).copied();
            match act {
                Act::Wait(us) => now += Micros::from(us),
                Act::Evict => {
                    let any = open.values().any(|known| !known.busy);
                    prop_assert_eq!(slots.evict(now), any, "one that is not busy can always be closed");
                }
                Act::Enter(from) => {
                    if slots.has_free_slot(now) {
                        next += 1;
                        slots.accepted(now, ConnectionId(next), address(from));
                        let known = Known { idle_since: None, busy: false, asked: false, reused: false };
                        open.insert(next, known);
                    } else {
                        prop_assert_eq!(open.len(), most);
                        let all_busy = open.values().all(|known| known.busy);
                        prop_assert_eq!(slots.all_busy(), all_busy);
                    }
                }
                Act::Asked(n) => if let Some(id) = pick(n, &open) {
                    slots.command_received(now, ConnectionId(id));
                    let known = open.get_mut(&id).unwrap();
                    known.reused |= known.idle_since.is_some();
                    (known.idle_since, known.busy, known.asked) = (None, true, true);
                },
                Act::Answered(n) => if let Some(id) = pick(n, &open) {
                    slots.answered(now, ConnectionId(id));
                    let known = open.get_mut(&id).unwrap();
                    if known.busy {
                        (known.idle_since, known.busy) = (Some(now), false);
                    }
                },
                Act::Awaits(n) => if let Some(id) = pick(n, &open) {
                    slots.command_started(now, ConnectionId(id));
                    let known = open.get_mut(&id).unwrap();
                    (known.idle_since, known.busy) = (None, false);
                },
                Act::Left(n) => if let Some(id) = pick(n, &open) {
                    slots.closed(now, ConnectionId(id));
                    open.remove(&id);
                },
            }
            while let Some(ConnectionId(id)) = slots.poll_close() {
                let Some(closing) = open.get(&id).copied() else { continue };
                prop_assert!(!closing.busy, "nothing is closed that is owed an answer");
                let longer = |known: &Known| {
                    known.asked && !known.reused && known.idle_since.zip(closing.idle_since).is_some_and(|(a, b)| a < b)
                };
                prop_assert!(!closing.reused || !open.values().any(longer), "{:?} of {:?}", closing, open);
                slots.closed(now, ConnectionId(id));
                open.remove(&id);
            }
            prop_assert!(slots.open_connections() <= most);
            prop_assert_eq!(slots.open_connections(), open.len());
        }
    }
}
