//! All orders of up to a dozen events in the leases of three balancers, checked on the real types.
//!
//! The log is an ordered list; asks are lost, late, doubled and reordered, learning is as late as may be, a balancer may stand still
//! for any time while its clock goes on, and one starts anew. Clocks differ in offset and, by one in a thousand, in rate.

use audit::Micros;
use audit::lease::{Lease, LeaseGrant, LeaseGranter, LeaseHolders, LeaseRequest, Settings};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// A tick on a slow clock and on a fast one.
const RATES: [Micros; 3] = [10_000, 10_010, 10_000];
const LEADER_RATE: Micros = 10_010;
/// Two ticks, and a little: a slow clock without a margin for rates still holds when a fast one has ended it.
const LEASE: Micros = 20_010;

/// What is done otherwise than the design says.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    CountedFromHearing,
    CountedBeforeAllIsApplied,
    RatesTakenForEqual,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Grants(Vec<LeaseGrant>, Micros),
    Freeze(Micros),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Balancer {
    incarnation: u64,
    lease: Lease,
    holders: LeaseHolders,
    applied: usize,
    /// Only used where a lease is counted from hearing: its end.
    from_hearing: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    tick: u64,
    balancers: Vec<Balancer>,
    granter: LeaseGranter,
    leader: LeaseHolders,
    log: Vec<Entry>,
    /// All asks ever sent: each may still arrive, again or never.
    asks: BTreeSet<(u16, u64, u64)>,
    /// How many asks arrived: one of all may do so twice.
    arrived: usize,
    restarted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    Ask(usize),
    Arrive(LeaseRequest),
    Propose,
    Freeze,
    Learn(usize),
    /// Learn a grant before what is before it in the log.
    Jump(usize, usize),
    Restart,
}

/// What is played: all of it at once is more than can be looked at in half a minute.
#[derive(Clone, Copy, Debug)]
struct Leases {
    fault: Fault,
    /// How many balancers there are.
    balancers: usize,
    /// How many asks are sent in all.
    asks: usize,
    ticks: u64,
    /// All orders of so many events are looked at, and no longer ones.
    depth: usize,
    restart: bool,
    freeze: bool,
}

const NO_LEASE_ENDS_FIRST: &str = "no lease ends first in others' eyes";
const A_FREEZE_BINDS: &str = "a freeze in force is applied by all that hold a lease";
const HELD_UNDER_FREEZE: &str = "a lease is held under a freeze in force";
const A_RESTART_HOLDS: &str = "a restart holds a lease";

fn clock(balancer: usize, tick: u64) -> Micros {
    (balancer as u64 + 1) * 100_000 + tick * RATES[balancer]
}

fn leader_clock(tick: u64) -> Micros {
    900_000 + tick * LEADER_RATE
}

impl Leases {
    fn settings(&self) -> Settings {
        let mut settings = Settings::new(LEASE, 10_000, self.balancers as u16);
        settings.ask_every = 10_000;
        if self.fault == Fault::RatesTakenForEqual {
            settings.rate_error = u64::MAX;
        }
        settings
    }

    fn start(&self, number: usize, incarnation: u64, tick: u64) -> Balancer {
        Balancer {
            incarnation,
            lease: Lease::new(number as u16, incarnation, self.settings(), clock(number, tick)),
            holders: LeaseHolders::new(self.settings()),
            applied: 0,
            from_hearing: 0,
        }
    }

    /// The entry of the log at `index` comes to a balancer.
    fn hear(&self, fleet: &mut Fleet, number: usize, index: usize) {
        let Entry::Grants(grants, at) = fleet.log[index].clone() else { return };
        let now = clock(number, fleet.tick);
        let balancer = &mut fleet.balancers[number];
        balancer.lease.apply_grants(now, index as u64 + 1, at, &grants);
        balancer.holders.apply_grants(now, index as u64 + 1, &grants);
        if grants.iter().any(|it| usize::from(it.number) == number && it.incarnation == balancer.incarnation)
        {
            balancer.from_hearing = now + LEASE;
        }
    }

    fn holds(&self, fleet: &Fleet, number: usize) -> bool {
        let (balancer, now) = (&fleet.balancers[number], clock(number, fleet.tick));
        match self.fault {
            Fault::CountedFromHearing => now < balancer.from_hearing,
            _ => now < balancer.lease.change_until(now) && now < balancer.lease.serve_until(now),
        }
    }

    /// Whoever serves with a lease holds it in the eyes of the leader and of all who have applied its grant.
    fn ended_nowhere(&self, fleet: &Fleet) -> bool {
        (0..self.balancers).filter(|it| self.holds(fleet, *it)).all(|number| {
            let holder = &fleet.balancers[number];
            let (id, incarnation) = (number as u16, holder.incarnation);
            let Some(granted) = holder.lease.revision(clock(number, fleet.tick)) else {
                return fleet.leader.holds(id, incarnation, leader_clock(fleet.tick));
            };
            let sees = |other: usize| {
                let eyes = &fleet.balancers[other];
                eyes.applied < granted as usize
                    || eyes.holders.holds(id, incarnation, clock(other, fleet.tick))
            };
            fleet.leader.holds(id, incarnation, leader_clock(fleet.tick))
                && (0..self.balancers).filter(|other| *other != number).all(sees)
        })
    }

    /// When the freeze is a lease old, and the error of rates, whether all that hold a lease have applied it; none if it is younger.
    fn freeze_binds(&self, fleet: &Fleet) -> Option<Vec<bool>> {
        let (index, agreed) = fleet.log.iter().enumerate().find_map(|(index, it)| match it {
            Entry::Freeze(agreed) => Some((index, *agreed)),
            Entry::Grants(..) => None,
        })?;
        let in_force = leader_clock(fleet.tick) >= agreed + self.settings().longer(LEASE);
        let holding = (0..self.balancers).filter(|it| self.holds(fleet, *it));
        in_force.then(|| holding.map(|it| fleet.balancers[it].applied > index).collect())
    }

    fn fleet_time_is_within(fleet: &Fleet) -> bool {
        fleet.balancers.iter().enumerate().all(|(number, it)| {
            let Some(span) = it.lease.fleet_time(clock(number, fleet.tick)) else { return true };
            (span.earliest..=span.latest).contains(&leader_clock(fleet.tick))
        })
    }
}

impl Model for Leases {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        vec![Fleet {
            tick: 0,
            balancers: (0..self.balancers).map(|number| self.start(number, number as u64, 0)).collect(),
            granter: LeaseGranter::with_interval(self.balancers as u16, 10_000),
            leader: LeaseHolders::new(self.settings()),
            log: Vec::new(),
            asks: BTreeSet::new(),
            arrived: 0,
            restarted: false,
        }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        if fleet.tick < self.ticks {
            steps.push(Step::Tick);
        }
        if fleet.asks.len() < self.asks {
            steps.extend((0..self.balancers).map(Step::Ask));
        }
        if fleet.arrived <= self.asks {
            steps.extend(fleet.asks.iter().map(|&(number, incarnation, serial)| {
                Step::Arrive(LeaseRequest { number, incarnation, serial })
            }));
        }
        steps.push(Step::Propose);
        if self.freeze && !fleet.log.iter().any(|it| matches!(it, Entry::Freeze(_))) {
            steps.push(Step::Freeze);
        }
        let behind = (0..self.balancers).filter(|it| fleet.balancers[*it].applied < fleet.log.len());
        for number in behind {
            steps.push(Step::Learn(number));
            if self.fault == Fault::CountedBeforeAllIsApplied {
                let next = fleet.balancers[number].applied + 1;
                steps.extend((next..fleet.log.len()).map(|index| Step::Jump(number, index)));
            }
        }
        if self.restart && !fleet.restarted {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut fleet = last.clone();
        let (tick, leader_now) = (fleet.tick, leader_clock(fleet.tick));
        match step {
            Step::Tick => fleet.tick += 1,
            Step::Ask(number) => {
                let ask = fleet.balancers[number].lease.poll_request(clock(number, tick))?;
                fleet.asks.insert((ask.number, ask.incarnation, ask.serial));
            }
            Step::Arrive(ask) => {
                fleet.granter.handle_request(ask);
                fleet.arrived += usize::from(fleet.granter != last.granter);
            }
            Step::Propose => {
                let grants = fleet.granter.poll_grants(leader_now)?;
                fleet.leader.apply_grants(leader_now, fleet.log.len() as u64 + 1, &grants);
                fleet.log.push(Entry::Grants(grants, leader_now));
            }
            Step::Freeze => fleet.log.push(Entry::Freeze(leader_now)),
            Step::Learn(number) => {
                let index = fleet.balancers[number].applied;
                self.hear(&mut fleet, number, index);
                fleet.balancers[number].applied += 1;
            }
            Step::Jump(number, index) => self.hear(&mut fleet, number, index),
            Step::Restart => {
                fleet.balancers[0] = self.start(0, 100, tick);
                fleet.restarted = true;
            }
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_LEASE_ENDS_FIRST, |it: &Self, fleet| it.ended_nowhere(fleet)),
            Property::always(A_FREEZE_BINDS, |it: &Self, fleet| {
                it.freeze_binds(fleet).is_none_or(|applied| applied.into_iter().all(|it| it))
            }),
            Property::always("fleet time is within what is known of it", |_, fleet| {
                Self::fleet_time_is_within(fleet)
            }),
            Property::sometimes(HELD_UNDER_FREEZE, |it: &Self, fleet| {
                it.freeze_binds(fleet).is_some_and(|applied| !applied.is_empty())
            }),
            Property::sometimes(A_RESTART_HOLDS, |it: &Self, fleet: &Fleet| {
                fleet.restarted && it.holds(fleet, 0)
            }),
        ]
    }
}

fn check(model: Leases, until: HasDiscoveries) -> (usize, Vec<&'static str>) {
    let checker =
        model.checker().threads(2).target_max_depth(model.depth).finish_when(until).spawn_bfs().join();
    let states = checker.unique_state_count();
    let found: BTreeSet<_> = checker.discoveries().into_keys().collect();
    println!("{model:?}: {states} states, found {found:?}");
    (states, found.into_iter().collect())
}

#[test]
fn no_order_of_events_lets_a_lease_outlive_itself_or_a_freeze_be_missed() {
    let of = |balancers, asks, depth| Leases {
        fault: Fault::None,
        balancers,
        asks,
        ticks: 4,
        depth,
        restart: true,
        freeze: true,
    };
    for model in [of(3, 2, 11), of(2, 2, 12), of(3, 1, 13)] {
        let (states, found) = check(model, HasDiscoveries::AnyFailures);
        assert_eq!(found, [HELD_UNDER_FREEZE, A_RESTART_HOLDS], "{model:?}");
        assert!(states > 10_000, "only {states} states were looked at");
    }
}

#[test]
fn every_fault_is_found() {
    for (fault, expected) in [
        (Fault::CountedFromHearing, NO_LEASE_ENDS_FIRST),
        (Fault::CountedFromHearing, A_FREEZE_BINDS),
        (Fault::RatesTakenForEqual, NO_LEASE_ENDS_FIRST),
        (Fault::CountedBeforeAllIsApplied, A_FREEZE_BINDS),
    ] {
        let model = Leases { fault, balancers: 3, asks: 2, ticks: 4, depth: 11, restart: true, freeze: true };
        let (_, found) = check(model, HasDiscoveries::AnyOf(BTreeSet::from([expected])));
        assert!(found.contains(&expected), "{fault:?} was not found, but {found:?}");
    }
}
