//! One member of the fleet. Its inputs are datagrams, timers and calls; its outputs are datagrams, timers and
//! changes of the member list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use foca::{
    AccumulatingRuntime, Foca, Header, Incarnation, Message, NoCustomBroadcast, PostcardCodec, State,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::action::{Action, DownReason, Timer, TimerKind};
use crate::counters::Counters;
use crate::health::Health;
use crate::identity::{LEAVING, MemberId};
use crate::roster::{Member, Roster};
use crate::settings::Settings;
use crate::suspicions::Suspicions;
use crate::wire;

mod foca_output;
mod probing;
mod receive;
mod rejoin;

/// Upper bound on the actions that wait for the owner. Datagrams beyond it are dropped, as by a full socket
/// buffer. An input yields some tens of actions.
const MAX_PENDING_ACTIONS: usize = 8_192;

/// Number of members that are notified of a leave. Each is notified once, and some of the datagrams may be lost.
const LEAVE_FANOUT: usize = 8;

/// The state of one member of the fleet.
pub struct Membership {
    local: Member,
    roster: Roster,
    settings: Settings,
    foca: Foca<MemberId, PostcardCodec, SmallRng, NoCustomBroadcast>,
    foca_output: AccumulatingRuntime<MemberId>,
    random: fastrand::Rng,
    actions: VecDeque<Action>,
    /// The members that are up, this one included.
    up: BTreeMap<u16, Member>,
    /// The highest known incarnation of each other number.
    incarnations: BTreeMap<u16, u64>,
    suspicions: Suspicions,
    health: Health,
    counters: Counters,
    swim_incarnation: Incarnation,
    /// Whether another member that is up knows this member's current incarnation.
    connected: bool,
    /// Whether this member left or was replaced. It then ignores all inputs.
    silent: bool,
    first_received_at: Option<Micros>,
    incarnation_bumps: u32,
    fast_rejoin_until: Micros,
    rejoin_round: u64,
    /// The ping of the current probe, kept so that it can be repeated.
    last_ping: Option<(MemberId, Bytes)>,
    /// The timer that starts the indirect probes of the current probe.
    indirect_probe: Option<foca::Timer<MemberId>>,
}

impl Membership {
    /// Creates a member that does not know any other member. `local` must be on the roster. The same seed and
    /// inputs yield the same actions.
    pub fn new(local: Member, roster: Roster, settings: Settings, seed: u64) -> Self {
        let id = MemberId { number: local.number, incarnation: local.incarnation };
        let random = SmallRng::seed_from_u64(seed);
        Self {
            local,
            foca: Foca::new(id, settings.to_foca_config(), random, PostcardCodec),
            roster,
            settings,
            foca_output: AccumulatingRuntime::new(),
            random: fastrand::Rng::with_seed(seed),
            actions: VecDeque::new(),
            up: BTreeMap::from([(local.number, local)]),
            incarnations: BTreeMap::new(),
            suspicions: Suspicions::default(),
            health: Health::default(),
            counters: Counters::default(),
            swim_incarnation: 0,
            connected: false,
            silent: false,
            first_received_at: None,
            incarnation_bumps: 0,
            fast_rejoin_until: 0,
            rejoin_round: 0,
            last_ping: None,
            indirect_probe: None,
        }
    }

    /// This member, in its current incarnation.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// The members that are up, this one included, by number.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.up.values()
    }

    /// The number of members that are up, this one included.
    pub fn len(&self) -> usize {
        self.up.len()
    }

    /// Always false, since this member counts as up.
    pub fn is_empty(&self) -> bool {
        self.up.is_empty()
    }

    /// The counters of this member.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the next action; `None` if no action is pending.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Announces this member to the members of the roster at these addresses, and starts the rejoin rounds,
    /// which cover the rest of the roster.
    pub fn join(&mut self, now: Micros, addresses: &[SocketAddr]) {
        if self.silent {
            return;
        }
        let numbers = addresses.iter().filter_map(|&address| self.roster.number_at(address));
        let numbers: Vec<u16> = numbers.collect();
        for number in numbers {
            self.announce(number);
        }
        self.start_fast_rejoin(now);
        self.process_foca_output(now, DownReason::Gossip);
    }

    /// Notifies some members that this one leaves. All further inputs are ignored.
    pub fn leave(&mut self, now: Micros) {
        if self.silent {
            return;
        }
        let left = foca::Member::new(*self.foca.identity(), LEAVING, State::Down);
        for number in self.sample_members(LEAVE_FANOUT, |it, number| it.up.contains_key(&number)) {
            let to = MemberId { number, incarnation: self.up[&number].incarnation };
            self.send_update(to, left.clone());
        }
        self.process_foca_output(now, DownReason::Gossip);
        self.silent = true;
    }

    /// Handles a stall of the process that lasted `gap`. After it, answers may be queued unread and timers are overdue.
    pub fn handle_stall(&mut self, now: Micros, gap: Micros) {
        if self.silent || gap < self.settings.probe_timeout {
            return;
        }
        self.counters.stalls += 1;
        self.health.record_stall(now.saturating_add(2 * self.settings.probe_interval));
        // Pings the probed member again, because its answer may be lost.
        if let Some(timer) = self.indirect_probe.take() {
            // foca returns an error if it has already ended that probe.
            let _stale = self.foca.handle_timer(timer, &mut self.foca_output);
            self.repeat_ping();
        }
        // Other members may have declared this one down meanwhile. Their answers to an announcement would show it.
        if self.rejoin_round > 0 {
            let fanout = self.settings.rejoin_fanout;
            for number in self.sample_members(fanout, |it, number| it.up.contains_key(&number)) {
                self.announce(number);
            }
            self.start_fast_rejoin(now);
        }
        self.process_foca_output(now, DownReason::Gossip);
    }

    /// Handles a timer that [`Action::Timer`] requested and that is due.
    pub fn handle_timer(&mut self, now: Micros, timer: Timer) {
        if self.silent {
            return;
        }
        let late = now.saturating_sub(timer.due);
        if late > self.settings.probe_interval && self.health.quiet_for(now).is_none() {
            self.handle_stall(now, late);
        }
        let reason = match timer.kind {
            TimerKind::Rejoin { round } => {
                if round == self.rejoin_round {
                    self.run_rejoin_round(now);
                }
                DownReason::Gossip
            }
            TimerKind::Suspicion(step) => {
                self.advance_suspicion(now, step);
                DownReason::Unresponsive
            }
            TimerKind::Foca(timer) => {
                self.handle_foca_timer(now, late, timer);
                DownReason::Gossip
            }
        };
        self.process_foca_output(now, reason);
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8]) {
        if self.silent {
            return;
        }
        self.counters.received += 1;
        self.counters.received_bytes += datagram.len() as u64;
        match wire::decode(datagram).and_then(|decoded| self.admit(decoded)) {
            Ok(decoded) => self.receive(now, decoded, datagram),
            Err(error) => self.counters.record_dropped(error),
        }
        self.process_foca_output(now, DownReason::Gossip);
    }

    /// Stops this member, because a later incarnation of its number is up.
    fn handle_replacement(&mut self, incarnation: u64) {
        self.silent = true;
        self.actions.push_back(Action::Replaced(incarnation));
    }

    /// Continues under the new incarnation that foca has adopted.
    fn handle_renewal(&mut self, now: Micros) {
        self.local.incarnation = self.foca.identity().incarnation;
        self.swim_incarnation = 0;
        self.connected = false;
        self.counters.renewals += 1;
        self.up.insert(self.local.number, self.local);
        self.actions.push_back(Action::Renewed(self.local));
        self.start_fast_rejoin(now);
    }

    fn send_update(&mut self, to: MemberId, update: foca::Member<MemberId>) {
        let header = self.header(to, Message::Gossip);
        self.send(to, wire::encode(&header, &[update]));
    }

    fn header(&self, dst: MemberId, message: Message<MemberId>) -> Header<MemberId> {
        Header { src: *self.foca.identity(), src_incarnation: self.swim_incarnation, dst, message }
    }

    fn send(&mut self, to: MemberId, datagram: Bytes) {
        let Some(to) = self.roster.member(to) else { return };
        if self.actions.len() >= MAX_PENDING_ACTIONS {
            self.counters.unsent += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.actions.push_back(Action::Send { to: to.address, datagram });
    }

    fn schedule(&mut self, now: Micros, after: Micros, kind: TimerKind) {
        let timer = Timer { due: now.saturating_add(after), kind };
        self.actions.push_back(Action::Timer { after, timer });
    }
}
