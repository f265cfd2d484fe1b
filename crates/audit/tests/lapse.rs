//! The leases of 300 balancers when the quorum group stops, and when the requests of one balancer are lost.

use audit::Micros;
use audit::lease::{Lease, LeaseGrant, LeaseGranter, LeaseSettings, LeaseState};

const FLEET_SIZE: u16 = 300;
const LEASE: Micros = 8_000_000;
const REPORT_TTL: Micros = 3_000_000;
const STEP: Micros = 50_000;
/// Time from the leader's stamp until all balancers have applied the entry.
const LOG_DELAY: Micros = 200_000;
/// Each balancer reports its last grant to [`REPORT_FANOUT`] random peers in this interval.
const REPORT_INTERVAL: Micros = 250_000;
const REPORT_FANOUT: usize = 3;

struct Fleet {
    now: Micros,
    leases: Vec<Lease>,
    granter: LeaseGranter,
    log: Vec<(Micros, Vec<LeaseGrant>)>,
    applied: usize,
    random: fastrand::Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let settings = LeaseSettings::new(LEASE, REPORT_TTL, FLEET_SIZE);
        let mut random = fastrand::Rng::with_seed(seed);
        let leases = (0..FLEET_SIZE).map(|number| Lease::new(number, random.u64(..), settings, 0)).collect();
        Self { now: 0, leases, granter: LeaseGranter::new(FLEET_SIZE), log: Vec::new(), applied: 0, random }
    }

    /// Advances all balancers by one time step. `arrives` decides whether a balancer's request reaches the leader.
    /// While `granting` is false, there is no leader.
    fn step(&mut self, granting: bool, mut arrives: impl FnMut(u16, &mut fastrand::Rng) -> bool) {
        self.now += STEP;
        for lease in &mut self.leases {
            if let Some(request) = lease.poll_request(self.now)
                && arrives(request.number, &mut self.random)
            {
                self.granter.handle_request(request);
            }
        }
        if granting && let Some(grants) = self.granter.poll_grants(self.now) {
            self.log.push((self.now, grants));
        }
        while let Some((stamp, grants)) = self.log.get(self.applied).filter(|it| it.0 + LOG_DELAY <= self.now)
        {
            self.applied += 1;
            for lease in &mut self.leases {
                lease.apply_grants(self.now, self.applied as u64, *stamp, grants);
            }
        }
        for reporter in 0..FLEET_SIZE {
            let step = self.now / STEP + u64::from(reporter);
            if step.is_multiple_of(REPORT_INTERVAL / STEP) {
                let granted_at = self.leases[usize::from(reporter)].granted_at();
                for _ in 0..REPORT_FANOUT {
                    let peer = self.random.usize(..usize::from(FLEET_SIZE));
                    self.leases[peer].record_peer_grant(self.now, reporter, granted_at);
                }
            }
        }
    }

    fn count(&self, state: LeaseState) -> usize {
        self.leases.iter().filter(|it| it.state(self.now).0 == state).count()
    }
}

/// The largest number of balancers fenced at one time after the quorum group stops, in a fleet that loses
/// `lost_percent` of its requests until then.
fn max_fenced(seed: u64, lost_percent: u8) -> usize {
    let mut fleet = Fleet::new(seed);
    let stops_at = 20_000_000 + seed * 370_000;
    let mut most_fenced = 0;
    while fleet.now < stops_at + 4 * LEASE {
        fleet.step(fleet.now < stops_at, |_, random| random.u8(..100) >= lost_percent);
        if fleet.now > stops_at {
            most_fenced = most_fenced.max(fleet.count(LeaseState::Fenced));
        }
        // A balancer whose lease state has not been checked since its lease ended still serves requests.
        let serving = fleet.leases.iter().filter(|it| it.serve_until(fleet.now) > 0).count();
        assert_eq!(serving, usize::from(FLEET_SIZE) - fleet.count(LeaseState::Fenced), "seed {seed}");
    }
    assert_eq!(fleet.count(LeaseState::Orphaned), usize::from(FLEET_SIZE), "seed {seed}");
    most_fenced
}

#[test]
fn no_balancer_is_fenced_after_quorum_group_stops() {
    for seed in 0..4 {
        assert_eq!(max_fenced(seed, 0), 0, "seed {seed}");
    }
}

#[test]
fn at_most_a_tenth_is_fenced_when_a_tenth_of_requests_is_lost() {
    for seed in 10..12 {
        let most_fenced = max_fenced(seed, 10);
        println!("seed {seed}: {most_fenced} of {FLEET_SIZE}");
        assert!(most_fenced <= usize::from(FLEET_SIZE) / 10, "seed {seed}: {most_fenced}");
    }
}

#[test]
fn balancer_with_lost_requests_is_fenced_within_a_lease() {
    let mut fleet = Fleet::new(1);
    while fleet.now < 20_000_000 {
        fleet.step(true, |_, _| true);
    }
    assert_eq!(fleet.count(LeaseState::Held), usize::from(FLEET_SIZE));
    let last_arrival = fleet.now;
    while fleet.now < last_arrival + 3 * LEASE {
        fleet.step(true, |number, _| number != 7);
        let (state, _) = fleet.leases[7].state(fleet.now);
        assert_ne!(
            state,
            LeaseState::Orphaned,
            "{} µs after its last request arrived",
            fleet.now - last_arrival
        );
        assert!(fleet.now < last_arrival + LEASE || state == LeaseState::Fenced);
    }
    assert_eq!(fleet.count(LeaseState::Held), usize::from(FLEET_SIZE) - 1);
}
