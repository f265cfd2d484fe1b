//! [`ConnectionSlots`] with simulated clients on a virtual clock, and with random sequences of operations.

use admission::{ConnectionId, ConnectionSlots, Micros};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::IpAddr;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn address(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

/// The behaviour of a client on its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ClientBehaviour {
    /// Sends another command after a pause, without end. The first pause is limited by [`Simulation::max_first_pause`].
    Reuse { pause: Micros },
    /// Sends one command, and closes the connection after an idle time.
    SendOnce { idle_time: Micros },
    /// Sends no command.
    Silent,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Connect(ClientBehaviour),
    SendCommand(u64),
    Answer(u64),
    Close(u64),
}

/// A front with connection slots that answers after 30 ms, and its clients.
struct Simulation {
    slots: ConnectionSlots,
    /// Maximum number of open connections of clients that send commands.
    max_sending: usize,
    now: Micros,
    events: BinaryHeap<std::cmp::Reverse<(Micros, u64, Event)>>,
    open: BTreeMap<u64, ClientBehaviour>,
    last_id: u64,
    /// Number of scheduled events, which orders those of equal time.
    scheduled: u64,
    /// Number of clients that could not connect.
    refused: usize,
    commands: usize,
    /// Connections that the front closed.
    closed: Vec<(Micros, ClientBehaviour)>,
    /// Whether clients of closed connections connect again and send nothing.
    reconnects_silent: bool,
    /// Connections with at least one answer.
    answered: BTreeSet<u64>,
    max_first_pause: Micros,
}

impl Simulation {
    fn new(max_connections: usize, max_sending: usize) -> Self {
        Self {
            slots: ConnectionSlots::new(max_connections),
            max_sending,
            now: 0,
            events: BinaryHeap::new(),
            open: BTreeMap::new(),
            last_id: 0,
            scheduled: 0,
            refused: 0,
            commands: 0,
            closed: Vec::new(),
            reconnects_silent: false,
            answered: BTreeSet::new(),
            max_first_pause: 100 * MS,
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.push(std::cmp::Reverse((at, self.scheduled, event)));
    }

    /// Schedules connects at an even rate of `per_second` between `from` and `until`.
    fn connect_clients(&mut self, per_second: u64, from: Micros, until: Micros, behaviour: ClientBehaviour) {
        (0..(until - from) * per_second / SECOND)
            .for_each(|n| self.schedule(from + n * SECOND / per_second, Event::Connect(behaviour)));
    }

    fn run(&mut self, until: Micros) {
        while self.events.peek().is_some_and(|next| next.0.0 <= until) {
            let std::cmp::Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            self.handle_event(event);
            while let Some(id) = self.slots.poll_close() {
                self.close(id);
            }
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Connect(behaviour) => {
                let is_sending = |behaviour: &ClientBehaviour| *behaviour != ClientBehaviour::Silent;
                let sending = self.open.values().filter(|behaviour| is_sending(behaviour)).count();
                if is_sending(&behaviour) && sending >= self.max_sending {
                    self.refused += 1;
                    return;
                }
                if !self.slots.has_free_slot(self.now) {
                    let closing = self.slots.poll_close();
                    self.refused += usize::from(closing.is_none());
                    let Some(id) = closing else { return };
                    self.close(id);
                }
                self.last_id += 1;
                self.open.insert(self.last_id, behaviour);
                let from = if is_sending(&behaviour) { address(1) } else { address(9) };
                let timeout = self.slots.accepted(self.now, ConnectionId(self.last_id), from);
                match behaviour {
                    ClientBehaviour::Silent => {
                        self.schedule(self.now + timeout.0, Event::Close(self.last_id))
                    }
                    _ => self.schedule(self.now, Event::SendCommand(self.last_id)),
                }
            }
            Event::SendCommand(id) if self.open.contains_key(&id) => {
                self.commands += 1;
                self.slots.command_received(self.now, ConnectionId(id));
                self.schedule(self.now + 30 * MS, Event::Answer(id));
            }
            Event::Answer(id) if self.open.contains_key(&id) => {
                self.slots.answered(self.now, ConnectionId(id));
                let is_first = self.answered.insert(id);
                match self.open[&id] {
                    ClientBehaviour::Reuse { pause } if is_first => {
                        self.schedule(self.now + pause.min(self.max_first_pause), Event::SendCommand(id))
                    }
                    ClientBehaviour::Reuse { pause } => {
                        self.schedule(self.now + pause, Event::SendCommand(id))
                    }
                    ClientBehaviour::SendOnce { idle_time } => {
                        self.schedule(self.now + idle_time, Event::Close(id))
                    }
                    ClientBehaviour::Silent => {}
                }
            }
            Event::Close(id) if self.open.remove(&id).is_some() => {
                self.slots.closed(self.now, ConnectionId(id));
            }
            _ => {} // the connection was closed before the event
        }
    }

    fn close(&mut self, id: ConnectionId) {
        assert!(self.slots.is_closing(id));
        self.slots.closed(self.now, id);
        let behaviour = self.open.remove(&id.0).expect("the front closes an open connection");
        self.closed.push((self.now, behaviour));
        match behaviour {
            // The client's next command needs a new connection.
            ClientBehaviour::Reuse { pause } => self.schedule(self.now + pause, Event::Connect(behaviour)),
            _ if self.reconnects_silent => self.schedule(self.now, Event::Connect(ClientBehaviour::Silent)),
            _ => {}
        }
    }

    /// The number of closed connections of clients with this behaviour.
    fn closed_count(&self, behaviour: ClientBehaviour) -> usize {
        self.closed.iter().filter(|(_, closed)| *closed == behaviour).count()
    }
}

#[test]
fn clients_that_send_once_and_linger_do_not_exhaust_the_slots() {
    // Reproduces an incident with 256 and more descriptors: each request opened a new connection, which stayed idle
    // until its client closed it.
    for (max_connections, max_sending) in [(145, 85), (225, 128), (625, 341)] {
        let mut simulation = Simulation::new(max_connections, max_sending);
        let send_once = ClientBehaviour::SendOnce { idle_time: 1_200 * MS };
        simulation.connect_clients(320, 0, 20 * SECOND, send_once);
        simulation.run(20 * SECOND);
        let Simulation { refused, commands, .. } = simulation;
        assert!(refused * 100 < commands, "{refused} refused, {commands} served, {max_connections} slots");
    }
}

#[test]
fn reusing_clients_keep_connections_beside_ones_that_send_once() {
    let reuse = ClientBehaviour::Reuse { pause: 200 * MS };
    let send_once = ClientBehaviour::SendOnce { idle_time: 1_200 * MS };
    let mut simulation = Simulation::new(225, 128);
    simulation.max_first_pause = 200 * MS;
    simulation.connect_clients(24, 0, SECOND, reuse);
    simulation.connect_clients(200, SECOND / 2, 20 * SECOND, send_once);
    simulation.run(20 * SECOND);
    let (reused, refused) = (simulation.closed_count(reuse), simulation.refused);
    assert!(reused <= 4, "{reused} connections of 24 reusing clients were closed");
    assert!(simulation.closed_count(send_once) > 2_000 && refused == 0, "{refused} refused");
}

#[test]
fn pool_that_is_idle_for_three_seconds_stays_open() {
    let mut simulation = Simulation::new(225, 128);
    let pool = ClientBehaviour::Reuse { pause: 3 * SECOND };
    let send_once = ClientBehaviour::SendOnce { idle_time: 1_200 * MS };
    simulation.connect_clients(24, 0, SECOND, pool);
    simulation.connect_clients(200, 2 * SECOND, 20 * SECOND, send_once);
    simulation.run(20 * SECOND);
    assert_eq!(simulation.closed_count(pool), 0);
}

#[test]
fn slow_reusing_clients_need_not_reconnect_for_each_request() {
    // 200 clients each send one command a second. A limit on the number of idle connections alone would close each
    // connection before it is reused.
    let mut simulation = Simulation::new(625, 341);
    simulation.max_first_pause = SECOND;
    let slow = ClientBehaviour::Reuse { pause: SECOND };
    simulation.connect_clients(200, 0, SECOND, slow);
    simulation.run(20 * SECOND);
    let closed = simulation.closed.len();
    let closed_late = simulation.closed.iter().filter(|(at, _)| *at > 5 * SECOND).count();
    assert!(closed < 400 && closed_late == 0, "{closed} closed, {closed_late} of them after 5 s");
}

#[test]
fn silent_connect_after_a_close_causes_no_further_close() {
    let mut simulation = Simulation::new(225, 128);
    simulation.reconnects_silent = true;
    simulation.connect_clients(200, 0, SECOND, ClientBehaviour::SendOnce { idle_time: 60 * SECOND });
    simulation.run(SECOND);
    let closed = simulation.closed.len();
    simulation.run(SECOND + SECOND / 2);
    let closed_later = simulation.closed.len();
    assert!(closed <= 200 && closed_later == closed, "{closed} closed, later {closed_later}");
}

#[test]
fn silent_connections_are_closed_before_ones_that_send_commands() {
    let sending = ClientBehaviour::Reuse { pause: 100 * MS };
    let mut simulation = Simulation::new(145, 85);
    simulation.connect_clients(40, 0, SECOND, sending);
    // 300 silent clients within a second, then 40 a second.
    simulation.connect_clients(300, 3 * SECOND, 4 * SECOND, ClientBehaviour::Silent);
    simulation.connect_clients(40, 4 * SECOND, 20 * SECOND, ClientBehaviour::Silent);
    simulation.run(20 * SECOND);
    let silent = simulation.open.values().filter(|behaviour| **behaviour == ClientBehaviour::Silent).count();
    assert_eq!((simulation.closed_count(sending), simulation.refused), (0, 0));
    assert!(
        silent <= 145 / 4 + 40 / 4 + 1,
        "one address holds {silent} silent connections: a quarter of the slots, and suspects for 250 ms"
    );
}

#[test]
fn connection_stays_open_if_a_command_races_its_close() {
    let mut slots = ConnectionSlots::new(2);
    for id in [1, 2].map(ConnectionId) {
        slots.accepted(0, id, address(1));
        slots.command_received(0, id);
        slots.answered(0, id);
    }
    assert!(!slots.has_free_slot(SECOND));
    let closing = slots.poll_close().unwrap();
    slots.command_received(SECOND, closing);
    assert!(!slots.is_closing(closing), "a connection with a command that was read stays open");
    assert!(!slots.has_free_slot(SECOND));
    let other = slots.poll_close().unwrap();
    assert_ne!(closing, other);
    slots.closed(SECOND, other);
    assert!(slots.has_free_slot(SECOND));
}

#[derive(Debug, Clone)]
enum Operation {
    Accept(u8),
    ReceiveCommand(usize),
    Answer(usize),
    StartCommand(usize),
    Close(usize),
    Evict,
    Wait(u32),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        4 => (0..4_u8).prop_map(Operation::Accept),
        6 => (0..64_usize).prop_map(Operation::ReceiveCommand),
        6 => (0..64_usize).prop_map(Operation::Answer),
        1 => (0..64_usize).prop_map(Operation::StartCommand),
        2 => (0..64_usize).prop_map(Operation::Close),
        1 => Just(Operation::Evict),
        3 => (1..3_000_000_u32).prop_map(Operation::Wait),
    ];
    proptest::collection::vec(operation, 1..400)
}

/// The expected state of a connection.
#[derive(Clone, Copy, PartialEq, Debug)]
struct ExpectedConnection {
    idle_since: Option<Micros>,
    busy: bool,
    has_sent_command: bool,
    reused: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn bounds_and_closing_order_hold_and_accepting_never_starves(
        max_connections in 1..24_usize, operations in operations(),
    ) {
        let (mut slots, mut now, mut last_id) = (ConnectionSlots::new(max_connections), 0, 0);
        let mut open: BTreeMap<u64, ExpectedConnection> = BTreeMap::new();
        for operation in operations {
            let pick = |n: usize, open: &BTreeMap<u64, ExpectedConnection>| {
                open.keys().nth(n % open.len().max(1)).copied()
            };
            match operation {
                Operation::Wait(us) => now += Micros::from(us),
                Operation::Evict => {
                    let any = open.values().any(|connection| !connection.busy);
                    prop_assert_eq!(slots.evict(now), any, "a connection that is not busy can be closed");
                }
                Operation::Accept(from) => {
                    if slots.has_free_slot(now) {
                        last_id += 1;
                        slots.accepted(now, ConnectionId(last_id), address(from));
                        let connection = ExpectedConnection {
                            idle_since: None, busy: false, has_sent_command: false, reused: false,
                        };
                        open.insert(last_id, connection);
                    } else {
                        prop_assert_eq!(open.len(), max_connections);
                        let all_busy = open.values().all(|connection| connection.busy);
                        prop_assert_eq!(slots.all_busy(), all_busy);
                    }
                }
                Operation::ReceiveCommand(n) => if let Some(id) = pick(n, &open) {
                    slots.command_received(now, ConnectionId(id));
                    let connection = open.get_mut(&id).unwrap();
                    connection.reused |= connection.idle_since.is_some();
                    connection.has_sent_command = true;
                    (connection.idle_since, connection.busy) = (None, true);
                },
                Operation::Answer(n) => if let Some(id) = pick(n, &open) {
                    slots.answered(now, ConnectionId(id));
                    let connection = open.get_mut(&id).unwrap();
                    if connection.busy {
                        (connection.idle_since, connection.busy) = (Some(now), false);
                    }
                },
                Operation::StartCommand(n) => if let Some(id) = pick(n, &open) {
                    slots.command_started(now, ConnectionId(id));
                    let connection = open.get_mut(&id).unwrap();
                    (connection.idle_since, connection.busy) = (None, false);
                },
                Operation::Close(n) => if let Some(id) = pick(n, &open) {
                    slots.closed(now, ConnectionId(id));
                    open.remove(&id);
                },
            }
            while let Some(ConnectionId(id)) = slots.poll_close() {
                let Some(closing) = open.get(&id).copied() else { continue };
                prop_assert!(!closing.busy, "a connection with a command in progress is closed");
                let is_idle_for_longer = |other: &ExpectedConnection| {
                    other.idle_since.zip(closing.idle_since).is_some_and(|(other, closing)| other < closing)
                };
                let closes_before = |other: &ExpectedConnection| {
                    other.has_sent_command && !other.reused && is_idle_for_longer(other)
                };
                prop_assert!(
                    !closing.reused || !open.values().any(closes_before),
                    "{closing:?} was closed first of {open:?}"
                );
                slots.closed(now, ConnectionId(id));
                open.remove(&id);
            }
            prop_assert!(slots.open_connections() <= max_connections);
            prop_assert_eq!(slots.open_connections(), open.len());
        }
    }
}
