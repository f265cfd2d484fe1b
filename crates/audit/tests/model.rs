//! A model of the leases of up to three balancers, checked on the real types in all orders of about a dozen events.
//!
//! The log is an ordered list. Requests are lost, late, duplicated and reordered. Entries are applied at any later
//! time. A balancer may stall while its clock runs, and one restarts. Clocks differ in offset and, by one part in a
//! thousand, in rate.

use audit::Micros;
use audit::lease::{Lease, LeaseGrant, LeaseGranter, LeaseHolders, LeaseRequest, LeaseSettings};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// The duration of a tick on the clock of each balancer: slow, fast, slow.
const RATES: [Micros; 3] = [10_000, 10_010, 10_000];
const LEADER_RATE: Micros = 10_010;
/// Slightly more than two ticks: without a margin for clock rates, a lease still runs on a slow clock when it has
/// ended on a fast one.
const LEASE: Micros = 20_010;

/// A fault that is injected into the model.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    CountedFromGrant,
    AppliedOutOfOrder,
    ClockRatesAssumedEqual,
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
    /// The end of the lease, if it is counted from its grant.
    counted_from_grant: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    tick: u64,
    balancers: Vec<Balancer>,
    granter: LeaseGranter,
    leader: LeaseHolders,
    log: Vec<Entry>,
    /// All requests sent so far. Each may arrive at any later time, repeatedly or never.
    requests: BTreeSet<(u16, u64, u64)>,
    /// The number of requests that arrived. One of them may arrive twice.
    arrived: usize,
    restarted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    Request(usize),
    Arrive(LeaseRequest),
    Propose,
    Freeze,
    Apply(usize),
    /// A balancer applies a log entry before the preceding ones.
    ApplyOutOfOrder(usize, usize),
    Restart,
}

/// The limits of a model. A model with all limits at their largest cannot be checked within half a minute.
#[derive(Clone, Copy, Debug)]
struct LeaseModel {
    fault: Fault,
    /// The number of balancers.
    balancers: usize,
    /// The number of requests sent in total.
    requests: usize,
    ticks: u64,
    /// The maximum number of events in an order.
    depth: usize,
    restart: bool,
    freeze: bool,
}

const HOLDER_SEES_END_FIRST: &str = "a holder sees its lease end first";
const FREEZE_IS_APPLIED: &str = "a freeze in force is applied by every lease holder";
const HELD_UNDER_FREEZE: &str = "a lease is held under a freeze in force";
const HELD_AFTER_RESTART: &str = "a restarted balancer holds a lease";

fn clock(balancer: usize, tick: u64) -> Micros {
    (balancer as u64 + 1) * 100_000 + tick * RATES[balancer]
}

fn leader_clock(tick: u64) -> Micros {
    900_000 + tick * LEADER_RATE
}

impl LeaseModel {
    fn settings(&self) -> LeaseSettings {
        let mut settings = LeaseSettings::new(LEASE, 10_000, self.balancers as u16);
        settings.request_interval = 10_000;
        if self.fault == Fault::ClockRatesAssumedEqual {
            settings.rate_error = u64::MAX;
        }
        settings
    }

    fn new_balancer(&self, number: usize, incarnation: u64, tick: u64) -> Balancer {
        Balancer {
            incarnation,
            lease: Lease::new(number as u16, incarnation, self.settings(), clock(number, tick)),
            holders: LeaseHolders::new(self.settings()),
            applied: 0,
            counted_from_grant: 0,
        }
    }

    /// Applies the log entry at `index` at a balancer.
    fn apply_entry(&self, fleet: &mut Fleet, number: usize, index: usize) {
        let Entry::Grants(grants, at) = fleet.log[index].clone() else { return };
        let now = clock(number, fleet.tick);
        let balancer = &mut fleet.balancers[number];
        balancer.lease.apply_grants(now, index as u64 + 1, at, &grants);
        balancer.holders.apply_grants(now, index as u64 + 1, &grants);
        if grants.iter().any(|it| usize::from(it.number) == number && it.incarnation == balancer.incarnation)
        {
            balancer.counted_from_grant = now + LEASE;
        }
    }

    fn holds(&self, fleet: &Fleet, number: usize) -> bool {
        let (balancer, now) = (&fleet.balancers[number], clock(number, fleet.tick));
        match self.fault {
            Fault::CountedFromGrant => now < balancer.counted_from_grant,
            _ => now < balancer.lease.change_until(now) && now < balancer.lease.serve_until(now),
        }
    }

    /// Whether every lease holder also holds its lease in the view of the leader and of each balancer that has
    /// applied its grant.
    fn no_lease_ended_for_others(&self, fleet: &Fleet) -> bool {
        (0..self.balancers).filter(|it| self.holds(fleet, *it)).all(|number| {
            let holder = &fleet.balancers[number];
            let (id, incarnation) = (number as u16, holder.incarnation);
            let Some(granted) = holder.lease.revision(clock(number, fleet.tick)) else {
                return fleet.leader.holds(id, incarnation, leader_clock(fleet.tick));
            };
            let sees = |other: usize| {
                let observer = &fleet.balancers[other];
                observer.applied < granted as usize
                    || observer.holders.holds(id, incarnation, clock(other, fleet.tick))
            };
            fleet.leader.holds(id, incarnation, leader_clock(fleet.tick))
                && (0..self.balancers).filter(|other| *other != number).all(sees)
        })
    }

    /// Whether each lease holder has applied the freeze. `None` until the freeze is older than a lease and the clock
    /// rate error.
    fn holders_with_freeze_applied(&self, fleet: &Fleet) -> Option<Vec<bool>> {
        let (index, agreed) = fleet.log.iter().enumerate().find_map(|(index, it)| match it {
            Entry::Freeze(agreed) => Some((index, *agreed)),
            Entry::Grants(..) => None,
        })?;
        let in_force = leader_clock(fleet.tick) >= agreed + self.settings().max_elapsed(LEASE);
        let holding = (0..self.balancers).filter(|it| self.holds(fleet, *it));
        in_force.then(|| holding.map(|it| fleet.balancers[it].applied > index).collect())
    }

    fn fleet_time_is_within_bounds(fleet: &Fleet) -> bool {
        fleet.balancers.iter().enumerate().all(|(number, it)| {
            let Some(interval) = it.lease.fleet_time(clock(number, fleet.tick)) else { return true };
            (interval.earliest..=interval.latest).contains(&leader_clock(fleet.tick))
        })
    }
}

impl Model for LeaseModel {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        vec![Fleet {
            tick: 0,
            balancers: (0..self.balancers)
                .map(|number| self.new_balancer(number, number as u64, 0))
                .collect(),
            granter: LeaseGranter::with_interval(self.balancers as u16, 10_000),
            leader: LeaseHolders::new(self.settings()),
            log: Vec::new(),
            requests: BTreeSet::new(),
            arrived: 0,
            restarted: false,
        }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        if fleet.tick < self.ticks {
            steps.push(Step::Tick);
        }
        if fleet.requests.len() < self.requests {
            steps.extend((0..self.balancers).map(Step::Request));
        }
        if fleet.arrived <= self.requests {
            steps.extend(fleet.requests.iter().map(|&(number, incarnation, serial)| {
                Step::Arrive(LeaseRequest { number, incarnation, serial })
            }));
        }
        steps.push(Step::Propose);
        if self.freeze && !fleet.log.iter().any(|it| matches!(it, Entry::Freeze(_))) {
            steps.push(Step::Freeze);
        }
        let behind = (0..self.balancers).filter(|it| fleet.balancers[*it].applied < fleet.log.len());
        for number in behind {
            steps.push(Step::Apply(number));
            if self.fault == Fault::AppliedOutOfOrder {
                let next = fleet.balancers[number].applied + 1;
                steps.extend((next..fleet.log.len()).map(|index| Step::ApplyOutOfOrder(number, index)));
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
            Step::Request(number) => {
                let request = fleet.balancers[number].lease.poll_request(clock(number, tick))?;
                fleet.requests.insert((request.number, request.incarnation, request.serial));
            }
            Step::Arrive(request) => {
                fleet.granter.handle_request(request);
                fleet.arrived += usize::from(fleet.granter != last.granter);
            }
            Step::Propose => {
                let grants = fleet.granter.poll_grants(leader_now)?;
                fleet.leader.apply_grants(leader_now, fleet.log.len() as u64 + 1, &grants);
                fleet.log.push(Entry::Grants(grants, leader_now));
            }
            Step::Freeze => fleet.log.push(Entry::Freeze(leader_now)),
            Step::Apply(number) => {
                let index = fleet.balancers[number].applied;
                self.apply_entry(&mut fleet, number, index);
                fleet.balancers[number].applied += 1;
            }
            Step::ApplyOutOfOrder(number, index) => self.apply_entry(&mut fleet, number, index),
            Step::Restart => {
                fleet.balancers[0] = self.new_balancer(0, 100, tick);
                fleet.restarted = true;
            }
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(HOLDER_SEES_END_FIRST, |it: &Self, fleet| it.no_lease_ended_for_others(fleet)),
            Property::always(FREEZE_IS_APPLIED, |it: &Self, fleet| {
                it.holders_with_freeze_applied(fleet).is_none_or(|applied| applied.into_iter().all(|it| it))
            }),
            Property::always("fleet time is within its bounds", |_, fleet| {
                Self::fleet_time_is_within_bounds(fleet)
            }),
            Property::sometimes(HELD_UNDER_FREEZE, |it: &Self, fleet| {
                it.holders_with_freeze_applied(fleet).is_some_and(|applied| !applied.is_empty())
            }),
            Property::sometimes(HELD_AFTER_RESTART, |it: &Self, fleet: &Fleet| {
                fleet.restarted && it.holds(fleet, 0)
            }),
        ]
    }
}

fn check(model: LeaseModel, until: HasDiscoveries) -> (usize, Vec<&'static str>) {
    let checker =
        model.checker().threads(2).target_max_depth(model.depth).finish_when(until).spawn_bfs().join();
    let states = checker.unique_state_count();
    let found: BTreeSet<_> = checker.discoveries().into_keys().collect();
    println!("{model:?}: {states} states, found {found:?}");
    (states, found.into_iter().collect())
}

#[test]
fn no_order_of_events_extends_a_lease_or_misses_a_freeze() {
    let model = |balancers, requests, depth| LeaseModel {
        fault: Fault::None,
        balancers,
        requests,
        ticks: 4,
        depth,
        restart: true,
        freeze: true,
    };
    for model in [model(3, 2, 11), model(2, 2, 12), model(3, 1, 13)] {
        let (states, found) = check(model, HasDiscoveries::AnyFailures);
        assert_eq!(found, [HELD_UNDER_FREEZE, HELD_AFTER_RESTART], "{model:?}");
        assert!(states > 10_000, "only {states} states were checked");
    }
}

#[test]
fn every_injected_fault_is_detected() {
    for (fault, expected) in [
        (Fault::CountedFromGrant, HOLDER_SEES_END_FIRST),
        (Fault::CountedFromGrant, FREEZE_IS_APPLIED),
        (Fault::ClockRatesAssumedEqual, HOLDER_SEES_END_FIRST),
        (Fault::AppliedOutOfOrder, FREEZE_IS_APPLIED),
    ] {
        let model =
            LeaseModel { fault, balancers: 3, requests: 2, ticks: 4, depth: 11, restart: true, freeze: true };
        let (_, found) = check(model, HasDiscoveries::AnyOf(BTreeSet::from([expected])));
        assert!(found.contains(&expected), "{fault:?} was not found, but {found:?}");
    }
}
