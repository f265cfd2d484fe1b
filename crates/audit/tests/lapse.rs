//! 300 leases whose asks are spread, when their council stops at once and when only one's asks are lost.

use audit::Micros;
use audit::lease::{Lease, LeaseGrant, LeaseGranter, LeaseState, Settings};

const FLEET: u16 = 300;
const LEASE: Micros = 8_000_000;
const FRESH: Micros = 3_000_000;
const TURN: Micros = 50_000;
/// From the leader's stamp until all have applied the entry.
const LOG_DELAY: Micros = 200_000;
/// Every so often each tells so many drawn others.
const TELL_EVERY: Micros = 250_000;
const TOLD: usize = 3;

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
        let settings = Settings::new(LEASE, FRESH, FLEET);
        let mut random = fastrand::Rng::with_seed(seed);
        let leases = (0..FLEET).map(|number| Lease::new(number, random.u64(..), settings, 0)).collect();
        Self { now: 0, leases, granter: LeaseGranter::new(FLEET), log: Vec::new(), applied: 0, random }
    }

    /// One turn of all; `arrives` says whose ask comes to a leader, `granting` whether there is one.
    fn turn(&mut self, granting: bool, mut arrives: impl FnMut(u16, &mut fastrand::Rng) -> bool) {
        self.now += TURN;
        for lease in &mut self.leases {
            if let Some(ask) = lease.poll_request(self.now)
                && arrives(ask.number, &mut self.random)
            {
                self.granter.handle_request(ask);
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
        for teller in 0..FLEET {
            let turn = self.now / TURN + u64::from(teller);
            if turn.is_multiple_of(TELL_EVERY / TURN) {
                let granted_at = self.leases[usize::from(teller)].granted_at();
                for _ in 0..TOLD {
                    let told = self.random.usize(..usize::from(FLEET));
                    self.leases[told].record_peer_grant(self.now, teller, granted_at);
                }
            }
        }
    }

    fn count(&self, standing: LeaseState) -> usize {
        self.leases.iter().filter(|it| it.state(self.now).0 == standing).count()
    }
}

/// The most that were fenced at one moment after the council stopped, of a fleet that lost so many of 100 asks before.
fn most_fenced(seed: u64, lost: u8) -> usize {
    let mut fleet = Fleet::new(seed);
    let stops = 20_000_000 + seed * 370_000;
    let mut most = 0;
    while fleet.now < stops + 4 * LEASE {
        fleet.turn(fleet.now < stops, |_, random| random.u8(..100) >= lost);
        if fleet.now > stops {
            most = most.max(fleet.count(LeaseState::Fenced));
        }
        // Whoever waits for its turn at the lease's end takes requests meanwhile.
        let serving = fleet.leases.iter().filter(|it| it.serve_until(fleet.now) > 0).count();
        assert_eq!(serving, usize::from(FLEET) - fleet.count(LeaseState::Fenced), "seed {seed}");
    }
    assert_eq!(fleet.count(LeaseState::Orphaned), usize::from(FLEET), "seed {seed}");
    most
}

#[test]
fn no_balancer_is_fenced_at_any_moment_after_the_council_of_300_stops_at_once() {
    for seed in 0..4 {
        assert_eq!(most_fenced(seed, 0), 0, "seed {seed}");
    }
}

#[test]
fn of_a_fleet_that_lost_every_tenth_ask_no_more_than_that_part_is_fenced_when_its_council_stops() {
    for seed in 10..12 {
        let most = most_fenced(seed, 10);
        println!("seed {seed}: {most} of {FLEET}");
        assert!(most <= usize::from(FLEET) / 10, "seed {seed}: {most}");
    }
}

#[test]
fn one_whose_asks_alone_are_lost_is_fenced_within_a_lease_and_stays_so() {
    let mut fleet = Fleet::new(1);
    while fleet.now < 20_000_000 {
        fleet.turn(true, |_, _| true);
    }
    assert_eq!(fleet.count(LeaseState::Held), usize::from(FLEET));
    let lost = fleet.now;
    while fleet.now < lost + 3 * LEASE {
        fleet.turn(true, |number, _| number != 7);
        let (standing, _) = fleet.leases[7].state(fleet.now);
        assert_ne!(standing, LeaseState::Orphaned, "{} after its last ask came in", fleet.now - lost);
        assert!(fleet.now < lost + LEASE || standing == LeaseState::Fenced);
    }
    assert_eq!(fleet.count(LeaseState::Held), usize::from(FLEET) - 1);
}
