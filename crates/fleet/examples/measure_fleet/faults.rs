//! Injects temporary faults, which a seed determines: cut links, stopped and restarted processes, wrong clocks and
//! loss. Also makes the proposals of operators.

use crate::common::{SECOND, Simulation, freeze};
use crate::{VOTERS, referee::Referee};
use calendar::{ChangeKind, Entry, Override, Proposal, Revoke, Scope, ScopeTarget};
use fleet::Micros;
use std::collections::BTreeSet;

/// The time after a balancer's fault until it must behave like the others. It covers one or two lost lease requests and
/// a commit.
const RECOVERY_TIME: Micros = 5 * SECOND;
const STOP_DURATION: Micros = 20 * SECOND;
const MAX_CLOCK_DIFFERENCE: i64 = 30 * SECOND as i64;

/// The links that a fault cuts.
enum Cut {
    /// All links between these balancers and the others.
    Partition(BTreeSet<usize>),
    /// All links from this balancer.
    Outgoing(usize),
    /// All links to this balancer.
    Incoming(usize),
    /// These links, as pairs of sender and receiver.
    Links(Vec<(usize, usize)>),
}

pub(crate) struct Faults {
    random: fastrand::Rng,
    cuts: Vec<(Micros, Cut)>,
    stops: Vec<(Micros, usize)>,
    killed: Vec<(Micros, usize)>,
    /// The end of the last fault of each balancer's own, which may lie in the future.
    own_fault_ends: Vec<Micros>,
    proposed: u32,
    /// The log of faults and proposals.
    pub(crate) events: Vec<String>,
}

impl Faults {
    pub(crate) fn new(simulation: &mut Simulation) -> Self {
        let mut random = fastrand::Rng::with_seed(simulation.seed ^ 0x5eed);
        let count = simulation.members.len();
        for n in 0..count {
            simulation.wall_clock_offsets_us[n] =
                random.i64(-MAX_CLOCK_DIFFERENCE / 2..=MAX_CLOCK_DIFFERENCE / 2);
            simulation.clock_rates_ppm[n] = random.i64(-490..=490);
        }
        let own_fault_ends = vec![0; count];
        Self {
            random,
            cuts: vec![],
            stops: vec![],
            killed: vec![],
            own_fault_ends,
            proposed: 0,
            events: vec![],
        }
    }

    /// Returns whether a balancer is running and has had no fault of its own for [`RECOVERY_TIME`].
    pub(crate) fn is_faultless(&self, simulation: &Simulation, n: usize) -> bool {
        simulation.members[n].is_some() && self.own_fault_ends[n] + RECOVERY_TIME <= simulation.now
    }

    fn log_event(&mut self, simulation: &Simulation, event: String) {
        self.events.push(format!("{} ms: {event}", simulation.now / 1_000));
    }

    /// Injects the faults of one second, and ends those that are over.
    pub(crate) fn step(&mut self, simulation: &mut Simulation, referee: &mut Referee) {
        self.end_faults(simulation, referee, simulation.now);
        let count = simulation.members.len();
        if self.random.u32(0..10) == 0 {
            simulation.loss = *self.random.choice(&[0.0, 0.05, 0.1, 0.2]).unwrap_or(&0.0);
            self.log_event(simulation, format!("loss {}", simulation.loss));
        }
        match self.random.u32(0..100) {
            0..8 => self.cut_links(simulation),
            8..14 => self.stop_processes(simulation, 1, false),
            14..18 => self.stop_processes(simulation, 1, true),
            18..21 => {
                let draws = 1 + self.random.usize(0..count / 10);
                self.stop_processes(simulation, draws, false);
            }
            21..29 => self.kill_processes(simulation),
            29..34 => {
                let n = self.random.usize(0..count);
                simulation.wall_clock_offsets_us[n] =
                    self.random.i64(-MAX_CLOCK_DIFFERENCE / 2..=MAX_CLOCK_DIFFERENCE / 2);
                self.log_event(
                    simulation,
                    format!("clock of {n} is set to {} us", simulation.wall_clock_offsets_us[n]),
                );
            }
            34..50 => self.propose(simulation, referee),
            _ => {}
        }
        self.restore_voters(simulation);
    }

    /// Draws the end of a fault.
    fn draw_end(&mut self, simulation: &Simulation) -> Micros {
        simulation.now + self.random.u64(5..25) * SECOND
    }

    fn cut_links(&mut self, simulation: &mut Simulation) {
        if self.cuts.len() >= 2 {
            return;
        }
        let (until, count) = (self.draw_end(simulation), simulation.members.len());
        let cut = match self.random.u32(0..4) {
            0 | 1 => {
                let draws = 1 + self.random.usize(0..count / 2);
                let mut some: BTreeSet<usize> =
                    (0..draws).map(|_| self.random.usize(VOTERS..count)).collect();
                // Two voters, a minority, one of which may be the leader. The other voters keep their links.
                let leader = simulation.leader().filter(|_| self.random.bool());
                some.extend(leader);
                some.extend((0..2 - some.range(..VOTERS).count()).map(|_| self.random.usize(0..VOTERS)));
                Cut::Partition(some)
            }
            2 if self.random.bool() => Cut::Outgoing(self.random.usize(0..count)),
            2 => Cut::Incoming(self.random.usize(0..count)),
            _ => {
                let pair = |random: &mut fastrand::Rng| (random.usize(0..count), random.usize(0..count));
                Cut::Links((0..count).map(|_| pair(&mut self.random)).collect())
            }
        };
        let (event, some) = match &cut {
            Cut::Partition(some) => (
                format!("cut off voters {:?}, {} balancers in all", some.range(..VOTERS), some.len()),
                some.clone(),
            ),
            Cut::Outgoing(n) => (format!("cut all links from {n}"), [*n].into()),
            Cut::Incoming(n) => (format!("cut all links to {n}"), [*n].into()),
            Cut::Links(_) => ("cut random one-way links".into(), BTreeSet::new()),
        };
        some.iter().for_each(|n| self.own_fault_ends[*n] = self.own_fault_ends[*n].max(until));
        self.log_event(simulation, event);
        self.cuts.push((until, cut));
        self.apply_cuts(simulation);
    }

    /// Replaces the cut links of the simulation by those of all current cuts.
    fn apply_cuts(&self, simulation: &mut Simulation) {
        simulation.cut_links.clear();
        let count = simulation.members.len();
        for (_, cut) in &self.cuts {
            match cut {
                Cut::Partition(some) => simulation.isolate(some.iter().copied()),
                Cut::Outgoing(n) => simulation.cut_links.extend((0..count).map(|to| (*n, to))),
                Cut::Incoming(n) => simulation.cut_links.extend((0..count).map(|from| (from, *n))),
                Cut::Links(pairs) => simulation.cut_links.extend(pairs),
            }
        }
    }

    /// Stops the processes of `draws` drawn balancers, or of the leader if `leader` is true.
    fn stop_processes(&mut self, simulation: &mut Simulation, draws: usize, leader: bool) {
        let until = simulation.now + STOP_DURATION;
        for _ in 0..draws {
            let drawn = self.random.usize(0..simulation.members.len());
            let n = if leader { simulation.leader().unwrap_or(drawn) } else { drawn };
            if simulation.members[n].is_some() && simulation.stopped.insert(n) {
                self.log_event(simulation, format!("stop {n}"));
                self.stops.push((until, n));
                self.own_fault_ends[n] = self.own_fault_ends[n].max(until);
            }
        }
    }

    fn kill_processes(&mut self, simulation: &mut Simulation) {
        let count = simulation.members.len();
        for _ in 0..1 + self.random.usize(0..count / 20 + 1) {
            // A quarter of the draws are among the voters, however large the fleet is.
            let n = if self.random.u32(0..4) == 0 {
                self.random.usize(0..VOTERS)
            } else {
                self.random.usize(0..count)
            };
            if simulation.members[n].is_some() && !simulation.stopped.contains(&n) {
                let until = self.random.u64(1..10) * SECOND + simulation.now;
                self.log_event(simulation, format!("kill {n}"));
                simulation.kill(n);
                self.killed.push((until, n));
                self.own_fault_ends[n] = self.own_fault_ends[n].max(until);
            }
        }
    }

    /// Ends the faults that are over at `by`. Each resumed balancer is checked before it receives a datagram.
    fn end_faults(&mut self, simulation: &mut Simulation, referee: &mut Referee, by: Micros) {
        let before = self.cuts.len();
        self.cuts.retain(|cut| cut.0 > by);
        if self.cuts.len() != before {
            self.log_event(simulation, "a cut ends".into());
            self.apply_cuts(simulation);
        }
        let (over, stops) = std::mem::take(&mut self.stops).into_iter().partition(|stop| stop.0 <= by);
        self.stops = stops;
        let over: Vec<(Micros, usize)> = over;
        for (_, n) in over {
            simulation.stopped.remove(&n);
            self.own_fault_ends[n] = self.own_fault_ends[n].max(simulation.now);
            self.log_event(simulation, format!("resume {n}"));
            referee.check(simulation, n);
        }
        let (over, killed) = std::mem::take(&mut self.killed).into_iter().partition(|killed| killed.0 <= by);
        self.killed = killed;
        let over: Vec<(Micros, usize)> = over;
        for (_, n) in over {
            // Only one voter at a time may lose its store. If several did, a majority might lack committed entries.
            let all_vote = (0..VOTERS)
                .filter(|it| *it != n)
                .all(|it| simulation.members[it].as_ref().is_some_and(|it| it.is_voting()));
            let loses_store = n >= VOTERS || (all_vote && self.random.bool());
            self.log_event(simulation, format!("start {n}, with an empty store: {loses_store}"));
            if loses_store {
                simulation.start_empty(n)
            } else {
                simulation.start(n)
            }
            self.own_fault_ends[n] = self.own_fault_ends[n].max(simulation.now);
        }
    }

    /// Ends all faults.
    pub(crate) fn end_all(&mut self, simulation: &mut Simulation, referee: &mut Referee) {
        self.log_event(simulation, "all faults end".into());
        self.end_faults(simulation, referee, Micros::MAX);
        simulation.loss = 0.0;
    }

    /// Proposes, as operators do, to add each blocked voter, which has lost its store, as a voter again.
    pub(crate) fn restore_voters(&mut self, simulation: &mut Simulation) {
        for n in simulation.blocked_voters.clone() {
            if simulation.members[n].as_ref().is_none_or(|it| it.is_voting()) {
                simulation.blocked_voters.remove(&n);
            } else if let Some(by) = self.draw_running_balancer(simulation) {
                let now = simulation.local(by);
                if let Some(member) = &mut simulation.members[by] {
                    _ = member.change_voters(now, None, Some(n as u16));
                }
                self.log_event(simulation, format!("{by} proposes to add {n} as a voter again"));
            }
        }
    }

    /// Draws a balancer that runs and is not stopped.
    fn draw_running_balancer(&mut self, simulation: &Simulation) -> Option<usize> {
        let running: Vec<usize> = (0..simulation.members.len())
            .filter(|n| simulation.members[*n].is_some() && !simulation.stopped.contains(n))
            .collect();
        self.random.choice(running)
    }

    fn propose(&mut self, simulation: &mut Simulation, referee: &Referee) {
        let Some(by) = self.draw_running_balancer(simulation) else { return };
        self.proposed += 1;
        let id = self.proposed;
        let active = referee.active_entries();
        let proposal = match self.random.u32(0..10) {
            0..4 => freeze(&format!("freeze-{id}")),
            4 => override_freezes(&format!("leave-{id}")),
            _ => match self.random.choice(active) {
                Some(id) => revoke(&id),
                None => freeze(&format!("freeze-{id}")),
            },
        };
        self.log_event(simulation, format!("{by} proposes {proposal:?}").chars().take(90).collect());
        let now = simulation.local(by);
        if let Some(member) = &mut simulation.members[by] {
            _ = member.propose(now, proposal.into());
        }
    }
}

fn override_freezes(id: &str) -> Proposal {
    Proposal::Add(Entry::Override(Override {
        id: id.into(),
        person: "r.ortiz".into(),
        reason: "replacement".into(),
        end: "2026-01-31T00:00".parse().unwrap(),
        zone: "America/Mexico_City".into(),
        scope: Scope { kinds: ChangeKind::PLANNED.to_vec(), place: ScopeTarget::Fleet },
    }))
}

fn revoke(id: &str) -> Proposal {
    Proposal::Revoke(Revoke { id: id.into(), asked_by: "valle-alto".into(), reason: "moved".into() })
}
