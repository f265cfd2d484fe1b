//! Lease states under faults of the holder, the quorum group and the clocks.

use audit::Micros;
use audit::lease::{
    Lease, LeaseGrant, LeaseGranter, LeaseHolders, LeaseRequest, LeaseSettings, LeaseState, TimeInterval,
};

const SECOND: Micros = 1_000_000;
const LEASE: Micros = 8 * SECOND;
const REPORT_TTL: Micros = 3 * SECOND;
const START: Micros = 500 * SECOND;
/// Duration of a lease on its holder's clock: shorter by the clock rate error.
const LEASE_AT_HOLDER: Micros = LEASE - LEASE / 1_000;

fn settings(roster: u16) -> LeaseSettings {
    LeaseSettings::new(LEASE, REPORT_TTL, roster)
}

fn grant(request: LeaseRequest) -> LeaseGrant {
    LeaseGrant { number: request.number, incarnation: request.incarnation, serial: request.serial }
}

/// Balancer 0 of 12, which requested a lease at `START` and applied its grant a second later.
fn held() -> Lease {
    let mut lease = Lease::new(0, 7, settings(12), START);
    let request = lease.poll_request(START).unwrap();
    lease.apply_grants(START + SECOND, 1, 90_000, &[grant(request)]);
    lease
}

/// Records reports of `granted_at` from all peers twice a second, from `from` to `to`.
fn report_from_all_peers(
    lease: &mut Lease, from: Micros, to: Micros, granted_at: impl Fn(Micros) -> Option<u64>,
) {
    for now in (from..=to).step_by(SECOND as usize / 2) {
        (1..12).for_each(|number| lease.record_peer_grant(now, number, granted_at(now)));
    }
}

/// The stamp of a grant made now, in the fleet time of [`held`].
fn stamp(now: Micros) -> Option<u64> {
    Some(90_000 + now - START)
}

#[test]
fn lease_counts_from_its_request_and_ends_in_a_stopped_process() {
    let lease = held();
    let until = START + LEASE_AT_HOLDER;
    assert_eq!(lease.state(START + SECOND), (LeaseState::Held, until));
    assert_eq!((lease.serve_until(START + SECOND), lease.change_until(START + SECOND)), (until, until));
    assert_eq!(lease.revision(until - 1), Some(1));
    // The process was stopped, and checks its lease again only after its end.
    for now in [until, START + 900 * SECOND] {
        assert_eq!(lease.state(now), (LeaseState::Fenced, Micros::MAX));
        assert_eq!((lease.serve_until(now), lease.change_until(now), lease.revision(now)), (0, 0, None));
    }
}

#[test]
fn new_balancer_is_fenced_until_first_grant_or_quorum_loss() {
    for last in [None, Some(90_000)] {
        let mut lease = Lease::new(0, 7, settings(12), START);
        assert_eq!(lease.granted_at(), None);
        report_from_all_peers(&mut lease, START, START + LEASE, |_| last);
        let now = START + LEASE;
        assert_eq!((lease.state(now).0, lease.serve_until(now)), (LeaseState::Fenced, 0));
        let mut orphan = lease.clone();
        report_from_all_peers(&mut orphan, now, now + SECOND, |_| last);
        assert_eq!(orphan.state(now + SECOND).0, LeaseState::Orphaned);
        orphan.record_peer_grant(now + SECOND, 3, Some(90_001));
        assert_eq!(orphan.state(now + SECOND).0, LeaseState::Fenced, "a peer was granted a lease");
        let request = lease.poll_request(now).unwrap();
        lease.apply_grants(
            now,
            1,
            0,
            &[LeaseGrant { incarnation: 8, ..grant(request) }, LeaseGrant { number: 1, ..grant(request) }],
        );
        assert_eq!(lease.serve_until(now), 0, "grants of another incarnation or balancer do not count");
        lease.apply_grants(now, 2, 0, &[grant(request)]);
        assert_eq!((lease.state(now).0, lease.granted_at()), (LeaseState::Held, Some(0)));
    }
}

#[test]
fn quorum_loss_keeps_requests_and_stops_changes() {
    let mut lease = held();
    let ends = START + LEASE_AT_HOLDER;
    report_from_all_peers(&mut lease, START, ends, |now| stamp(now.min(START + 2 * SECOND)));
    assert!(lease.serve_until(ends - 1) > ends, "the lease end needs no further call");
    assert_eq!(lease.change_until(ends - 1), ends);
    let (state, until) = lease.state(ends);
    assert_eq!(state, LeaseState::Orphaned);
    assert_eq!((lease.serve_until(ends), lease.change_until(ends)), (until, 0));
    assert!(until <= ends + REPORT_TTL);
    assert_eq!(lease.state(until).0, LeaseState::Fenced, "a stopped process is fenced without a call");
    // Reports that were queued in the socket of the stopped process do not show a stall.
    let resumed = until + 60 * SECOND;
    (1..12).for_each(|number| lease.record_peer_grant(resumed, number, stamp(START)));
    assert_eq!(lease.state(resumed), (LeaseState::Fenced, resumed + REPORT_TTL));
}

#[test]
fn balancer_with_lost_requests_is_fenced_if_stopped_at_expiry() {
    // A new leader's clock may be behind: fleet time then advances by single microseconds.
    // In a small fleet, up to a request interval and a second pass without a reported grant.
    for (pause, step) in [(1, 1), (SECOND, 1), (3 * SECOND, 1), (3 * SECOND, 3 * SECOND)] {
        let reported = |now: Micros| Some(90_000 + (now - START) / pause * step);
        for stopped in (0..REPORT_TTL).step_by(SECOND as usize / 4) {
            let (mut lease, ends) = (held(), START + LEASE_AT_HOLDER);
            // Ten of eleven peers report an old grant, which is enough for the orphan quorum.
            for now in (START..ends - stopped).step_by(SECOND as usize / 4) {
                (1..12).for_each(|it| {
                    lease.record_peer_grant(now, it, if it == 1 { reported(now) } else { reported(START) })
                });
                assert!(
                    lease.serve_until(now) <= ends,
                    "at {now}, requests are admitted past the end of the lease"
                );
            }
            assert_eq!((lease.state(ends).0, lease.serve_until(ends)), (LeaseState::Fenced, 0));
            // These reports were sent while the process was stopped, and are read when it resumes.
            (2..12).for_each(|it| lease.record_peer_grant(ends, it, reported(START)));
            assert_eq!(lease.state(ends).0, LeaseState::Fenced, "stopped for {stopped}");
        }
    }
}

#[test]
fn balancer_with_an_old_grant_or_too_few_reports_is_fenced() {
    let (mut lease, ends) = (held(), START + LEASE_AT_HOLDER);
    report_from_all_peers(&mut lease, START, ends, |_| stamp(START + 5 * SECOND));
    assert_eq!(
        lease.state(ends).0,
        LeaseState::Orphaned,
        "the difference is within one lost, late and batched request"
    );
    let mut late = held();
    report_from_all_peers(&mut late, START, ends, |_| stamp(START + 5 * SECOND + 1));
    assert_eq!(
        late.state(ends).0,
        LeaseState::Fenced,
        "peers were granted leases much later, so the fault is local"
    );
    report_from_all_peers(&mut late, ends, ends + SECOND, |_| stamp(START));
    assert_eq!(late.state(ends + SECOND).0, LeaseState::Orphaned, "the leases of the peers have ended too");
    let mut isolated = held();
    for now in (START..=ends).step_by(SECOND as usize / 2) {
        [1, 2, 0, 12, 99].into_iter().for_each(|number| isolated.record_peer_grant(now, number, None));
    }
    let state = isolated.state(ends).0;
    assert_eq!(
        state,
        LeaseState::Fenced,
        "two of eleven peers are too few; reports of itself and of unknown numbers do not count"
    );
    isolated.record_peer_grant(ends, 3, None);
    assert_eq!(isolated.state(ends).0, LeaseState::Orphaned);
    isolated.apply_grants(ends, 2, 95_000, &[LeaseGrant { number: 3, incarnation: 3, serial: 3 }]);
    assert_eq!(isolated.state(ends).0, LeaseState::Fenced, "a logged grant outweighs the reports of peers");
}

#[test]
fn holder_sees_lease_end_first_at_max_clock_rate_error() {
    let mut lease = Lease::new(0, 7, settings(12), 0);
    let mut holders = LeaseHolders::new(settings(12));
    let request = lease.poll_request(0).unwrap();
    lease.apply_grants(0, 1, 0, &[grant(request)]);
    holders.apply_grants(0, 1, &[grant(request)]);
    // The holder's clock is slow by one part in a thousand. The other clock is exact.
    for real in (0..2 * LEASE).step_by(1_000) {
        let at_holder = real - real / 1_000;
        assert!(lease.change_until(at_holder) == 0 || holders.holds(0, 7, real), "at {real}");
    }
    assert!(!holders.holds(0, 8, 0), "a restarted balancer does not inherit the lease");
    assert!(!holders.holds(0, 7, 2 * LEASE));
    assert_eq!(holders.grants(), [grant(request)]);
}

#[test]
fn fleet_time_is_bounded_and_stamp_jumps_move_no_lease() {
    let mut lease = held();
    let now = START + 3 * SECOND;
    let interval =
        TimeInterval { earliest: 90_000 + 2 * SECOND - 2_000, latest: 90_000 + 3 * SECOND + 3_000 };
    assert_eq!(lease.fleet_time(now), Some(interval));
    let before = lease.state(now);
    let other = LeaseGrant { number: 3, incarnation: 3, serial: 3 };
    lease.apply_grants(now, 2, 3_600 * SECOND, &[other]);
    assert_eq!((lease.state(now), lease.fleet_time(now)), (before, Some(interval)));
    let request = lease.poll_request(now).unwrap();
    lease.apply_grants(now, 3, 7_200 * SECOND, &[grant(request)]);
    assert_eq!(lease.state(now).1, now + LEASE_AT_HOLDER, "counted on the local clock, not the leader's");
    lease.apply_grants(now, 3, 9_000 * SECOND, &[grant(request)]);
    assert_eq!(lease.fleet_time(now).unwrap().earliest, 7_200 * SECOND, "a revision is applied once");
}

#[test]
fn lease_is_requested_four_times_and_counts_from_its_request() {
    let mut lease = Lease::new(0, 7, settings(12), START);
    let requests: Vec<_> = (START..START + LEASE)
        .step_by(1_000)
        .filter_map(|now| Some((now, lease.poll_request(now)?)))
        .collect();
    assert!((4..=6).contains(&requests.len()), "{requests:?}");
    assert!(
        requests.windows(2).any(|it| it[1].0 - it[0].0 != requests[1].0 - requests[0].0),
        "all intervals are equal, so there is no jitter"
    );
    lease.apply_grants(START + LEASE - 1, 1, 0, &[grant(requests[2].1)]);
    assert_eq!(lease.state(START + LEASE - 1).1, requests[2].0 + LEASE_AT_HOLDER);
    lease.apply_grants(START + LEASE - 1, 2, 0, &[grant(requests[1].1)]);
    assert_eq!(
        lease.state(START + LEASE - 1).1,
        requests[2].0 + LEASE_AT_HOLDER,
        "an older grant does not shorten the lease"
    );
}

#[test]
fn granter_batches_newest_request_of_each_balancer() {
    let mut granter = LeaseGranter::new(3);
    let request = |number, incarnation, serial| LeaseRequest { number, incarnation, serial };
    assert_eq!(granter.poll_grants(START), None);
    granter.handle_request(request(1, 1, 1));
    assert_eq!(granter.poll_grants(START), Some(vec![grant(request(1, 1, 1))]));
    for late in [request(1, 1, 3), request(1, 1, 2), request(0, 5, 9), request(0, 6, 1), request(3, 1, 1)] {
        granter.handle_request(late);
    }
    assert_eq!(
        (granter.poll_grants(START + 499_999), granter.next_grant_at()),
        (None, Some(START + 500_000))
    );
    assert_eq!(
        granter.poll_grants(START + 500_000),
        Some(vec![grant(request(0, 6, 1)), grant(request(1, 1, 3))])
    );
    granter.handle_request(request(2, 1, 1));
    granter.clear();
    assert_eq!((granter.poll_grants(START + 5_000_000), granter.next_grant_at()), (None, None));
}
